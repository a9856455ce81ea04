//! Registers a received request and queues it for the shard that holds its object.

use super::Scheduler;
use crate::api::{Request, RequestId, Shard};
use crate::dmclock::Position;
use crate::node::latency_estimate::relative_latency;
use crate::placement::Placement;
use crate::request::shedding::reject_at;
use crate::request::UnfinishedRequest;

impl Scheduler {
    /// Limits the deadline of a request to the answer deadline of a shutdown, then registers it.
    pub(super) fn on_request(&mut self, request: &Request) {
        let mut request = request.clone();
        request.deadline = self.shutdown.limit(request.deadline);
        self.register(&request);
    }

    /// Registers a request with its volume and queues it, unless an earlier request with the same
    /// key has to be executed first. A request whose class or plan is not in the settings is
    /// ignored.
    fn register(&mut self, request: &Request) {
        let known_shard = self.served_shard(request);
        let Some(class) = self.settings.classes.get(request.class.0) else {
            return;
        };
        let Some(plan) = self.settings.plans.get(request.plan.0) else {
            return;
        };
        self.volumes
            .entry(request.volume, plan, &self.settings, self.started_at)
            .record_request(plan, request.host_count, known_shard, self.now);
        self.retry_budget.record_request(self.now);
        let unfinished = UnfinishedRequest::new(
            request,
            class,
            relative_latency(request.units, self.settings.mean_units),
            self.objectives.assign(request, class, self.now),
            reject_at(request.deadline, self.now),
        );
        let key = unfinished.ordering_key();
        self.rejections.add(&unfinished);
        self.requests.insert(request.id, unfinished);
        let may_be_queued = match key {
            Some(key) => self.key_sequences.add(key, request.id, self.now),
            None => true,
        };
        if may_be_queued {
            self.enqueue(request.id, Position::ByPriority);
        }
    }

    /// Returns the shard that a request names, if a node in service holds it.
    fn served_shard(&self, request: &Request) -> Option<Shard> {
        let shard = request.shard?;
        self.nodes.node_of(shard)?;
        Some(shard)
    }

    /// Queues an open request for the node of its shard. For a new object, the shard is chosen
    /// here.
    pub(super) fn enqueue(&mut self, id: RequestId, position: Position) {
        let tag_time = self.tag_time();
        let Some(unfinished) = self.requests.get(&id) else {
            return;
        };
        if !unfinished.can_be_enqueued() {
            return;
        }
        let Some(shard) = self.shard_of(unfinished) else {
            self.unroutable.insert(id);
            return;
        };
        let volume = &self.volumes[unfinished.request().volume];
        self.queues
            .insert(shard, unfinished, position, volume, tag_time);
        if let Some(unfinished) = self.requests.get_mut(&id) {
            unfinished.mark_queued(shard);
        }
    }

    /// Returns the shard that a request names, whether or not a node holds it. For a new object,
    /// returns the chosen shard, or `None` if no node may execute the request.
    fn shard_of(&self, unfinished: &UnfinishedRequest) -> Option<Shard> {
        let named_shard = unfinished.request().shard;
        named_shard.or_else(|| self.placement().choose_shard(unfinished))
    }

    /// Returns the inputs for choosing the node of a new object now.
    fn placement(&self) -> Placement<'_> {
        Placement {
            nodes: &self.nodes,
            queues: &self.queues,
            slow_start: &self.settings.slow_start,
            now: self.now,
        }
    }

    /// Queues the first request of a key, unless it was already dispatched.
    pub(super) fn enqueue_first_of_key(&mut self, first: Option<RequestId>) {
        let Some(id) = first else {
            return;
        };
        let was_dispatched = self
            .requests
            .get(&id)
            .is_none_or(|unfinished| unfinished.attempts() > 0);
        if !was_dispatched {
            self.enqueue(id, Position::ByPriority);
        }
    }
}
