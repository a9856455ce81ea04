//! Starts attempts as long as nodes have capacity.

use super::admission::DispatchAdmission;
use super::Scheduler;
use crate::api::{Action, NodeId, Shard};
use crate::dmclock::{Position, Selected, Selection};
use crate::node::attempt_timeout::{times_out_at, TimeoutInputs};
use crate::node::outlier_ejection::exceeds_panic_threshold;
use crate::node::Node;
use crate::request::latency_objective::misses_objective;
use crate::request::UnfinishedRequest;
use crate::retry::idempotency::write_before;

impl Scheduler {
    /// Queues the next request of each key whose quiesce period has ended, and the requests for
    /// which a node is available again. Then dispatches requests from all queues.
    pub(super) fn dispatch_pending(&mut self) {
        while let Some(key) = self.key_sequences.pop_quiesced(self.now) {
            let first = self.key_sequences.first_ready(key, self.now);
            self.enqueue_first_of_key(first);
        }
        for id in std::mem::take(&mut self.unroutable) {
            self.enqueue(id, Position::ByPriority);
        }
        if !self.list_confirmation.allows_dispatch() {
            return;
        }
        let backlogged: Vec<Shard> = self.queues.backlogged().collect();
        for shard in backlogged {
            self.dispatch_from(shard);
            self.queues.unmark_backlogged_if_empty(shard);
        }
    }

    /// Dispatches requests from a shard's queue until its node accepts no more, or none of the
    /// queued requests may be dispatched.
    fn dispatch_from(&mut self, shard: Shard) {
        self.move_late_requests(shard);
        while let Some(node) = self.nodes.node_of(shard) {
            let node_id = node.endpoint().node;
            let is_trial = self.is_limited_to_trials(node);
            if self.is_blocked(node, is_trial) {
                return;
            }
            let Some(selected) = self.select_next(shard, node) else {
                return;
            };
            self.dispatch(&selected, node_id);
            if is_trial {
                self.start_trial_interval(node_id);
            }
        }
    }

    /// Returns whether a node receives only trial attempts: it is ejected, and the panic threshold
    /// is not exceeded, as at most half of the nodes in service are ejected.
    fn is_limited_to_trials(&self, node: &Node) -> bool {
        node.is_ejected() && !exceeds_panic_threshold(self.nodes.in_service())
    }

    /// Returns whether nothing can be dispatched to a node now, whatever is queued for it.
    fn is_blocked(&self, node: &Node, is_trial: bool) -> bool {
        node.is_at_max_in_flight()
            || node.is_paused(self.now)
            || (is_trial && node.is_at_trial_limit())
    }

    /// Pauses an ejected node until its next trial attempt.
    fn start_trial_interval(&mut self, node: NodeId) {
        if let Some(node) = self.nodes.get_mut(node) {
            node.start_trial_interval(self.now);
        }
    }

    /// Moves requests that can no longer meet their latency objective from the heads of the flows
    /// in a shard's queue, one per volume, to its late requests.
    fn move_late_requests(&mut self, shard: Shard) {
        let Some(node) = self.nodes.node_of(shard) else {
            return;
        };
        let expected_latency = node.latency().expected(self.now);
        let Some(queue) = self.queues.get_mut(shard) else {
            return;
        };
        let late = queue.requests_at_heads_while(|id| {
            let unfinished = &self.requests[&id];
            misses_objective(unfinished, expected_latency, self.now)
        });
        for id in late {
            let request = self.requests[&id].request();
            queue.move_to_late(request, &self.volumes[request.volume]);
        }
    }

    /// Selects the request of a shard that is dispatched to its node next.
    fn select_next(&self, shard: Shard, node: &Node) -> Option<Selected> {
        let queue = &self.queues[shard];
        let admission = DispatchAdmission {
            scheduler: self,
            queue,
            node,
        };
        let selection = Selection {
            queue,
            volumes: &self.volumes,
            node,
            settings: &self.settings,
            admission,
            now: self.now,
            tag_time: self.tag_time(),
        };
        selection.next()
    }

    /// Starts an attempt of the selected request.
    fn dispatch(&mut self, selected: &Selected, node_id: NodeId) {
        self.remove_from_queue(selected);
        let unfinished = self
            .requests
            .get_mut(&selected.request)
            .expect("invariant: queued requests are unfinished");
        let node = self
            .nodes
            .get_mut(node_id)
            .expect("invariant: the node of a shard is listed");
        let request = unfinished.request();
        if unfinished.attempts() > 0 {
            self.retry_budget.record_retry(self.now);
        } else if let Some(volume) = self.volumes.get_mut(request.volume) {
            volume.consume_tokens(request.units, self.now);
        }
        node.start_attempt(request.units, &self.settings.slow_start, self.now);
        let timeout = times_out_at(node, &timeout_inputs(unfinished), self.now);
        let times_out_at = timeout.min(request.deadline);
        let write_before = write_before(unfinished);
        unfinished.start_attempt(node_id, self.now);
        self.actions.push(Action::Dispatch {
            request: selected.request,
            node: node_id,
            times_out_at,
            write_before,
        });
    }

    /// Removes the selected request from its queue.
    fn remove_from_queue(&mut self, selected: &Selected) {
        let unfinished = self
            .requests
            .get_mut(&selected.request)
            .expect("invariant: queued requests are unfinished");
        let shard = unfinished
            .mark_dequeued()
            .expect("invariant: the selected request is queued");
        let request = unfinished.request();
        let reservation = self.volumes[request.volume].plan().reservation;
        self.queues
            .get_mut(shard)
            .expect("invariant: the queue of a request exists")
            .remove_for_dispatch(request, selected.phase, reservation);
    }
}

/// Returns the properties of a request that determine the timeout of its attempt.
fn timeout_inputs(unfinished: &UnfinishedRequest) -> TimeoutInputs {
    TimeoutInputs {
        relative_latency: unfinished.relative_latency(),
        latency_objective: unfinished.class().latency_objective,
        objective_ends_at: unfinished.objective_ends_at(),
    }
}
