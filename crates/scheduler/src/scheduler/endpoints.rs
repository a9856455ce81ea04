//! The endpoint list: when to poll the discovery service for it, and which nodes hold the shards.

use super::Scheduler;
use crate::api::{Action, Endpoint, EndpointListEvent, EndpointStatus, Micros, NodeId, Settings};
use crate::hash::unit_hash;
use crate::state::{Node, NodeHealth, State};
use std::collections::BTreeSet;

/// Jitter of polls that several hosts start for the same reason, in proportion to the number of other hosts
/// up to a maximum: the service handles polls one by one, and also works on those that have timed out.
const JITTER_PER_HOST: Micros = 50_000;
pub(super) const MAX_JITTER: Micros = 3_000_000;
const MAX_JITTER_AFTER_WATCH: Micros = 1_000_000;
/// A poll without a response is repeated after this: two fit into the 6 s in which a change has to arrive.
const POLL_TIMEOUT: Micros = 3_000_000;
/// Backoff after a failed poll or a lost watch, in proportion to the number of hosts up to a maximum.
const BACKOFF_PER_HOST: Micros = 100_000;
const MAX_BACKOFF: Micros = 500_000;

/// When to poll after a time, with a jitter taken from `random`; `None` where the list needs no polls.
pub(super) fn poll_at(settings: &Settings, after: Micros, random: u64, max_jitter: Micros) -> Option<Micros> {
    let other_hosts = Micros::from(settings.discovery_clients.checked_sub(1)?);
    let interval = settings.max_poll_interval;
    let max_jitter = if interval > 0 { max_jitter.min(interval / 2) } else { max_jitter };
    let jitter = unit_hash(random) * (JITTER_PER_HOST * other_hosts).min(max_jitter) as f64;
    Some(after + jitter as Micros)
}

impl Scheduler {
    /// Applies an endpoint list, or schedules the next poll if there is none.
    pub(super) fn on_endpoint_list(&mut self, event: EndpointListEvent, endpoints: &[Endpoint]) {
        match event {
            EndpointListEvent::PollFailed => return self.schedule_poll(MAX_JITTER),
            EndpointListEvent::WatchLost => return self.schedule_poll(MAX_JITTER_AFTER_WATCH),
            EndpointListEvent::Snapshot | EndpointListEvent::Delta => self.next_poll_at = None,
            EndpointListEvent::Cached => {}
        }
        self.state.update_nodes(event, endpoints);
        self.state.assign_nodes(endpoints);
    }

    /// Schedules the next poll after a failed poll or a lost watch.
    fn schedule_poll(&mut self, max_jitter: Micros) {
        let hosts = Micros::from(self.settings.discovery_clients);
        let resume_at = self.now + (BACKOFF_PER_HOST * hosts).min(MAX_BACKOFF);
        self.next_poll_at = poll_at(&self.settings, resume_at, self.seed ^ self.now as u64, max_jitter);
    }

    pub(super) fn poll_if_due(&mut self) {
        if self.next_poll_at.is_some_and(|at| at <= self.now) {
            self.next_poll_at = Some(self.now + POLL_TIMEOUT);
            self.actions.push(Action::OpenWatch);
        }
    }
}

impl State {
    /// Updates the nodes by an endpoint list, or by changes to it.
    fn update_nodes(&mut self, event: EndpointListEvent, endpoints: &[Endpoint]) {
        if event != EndpointListEvent::Delta {
            let listed: BTreeSet<NodeId> = endpoints.iter().map(|endpoint| endpoint.node).collect();
            for (_, node) in self.nodes.iter_mut().filter(|(id, _)| !listed.contains(id)) {
                node.endpoint.status = EndpointStatus::Removed;
            }
        }
        for endpoint in endpoints {
            let node = self.nodes.entry(endpoint.node).or_insert_with(|| Node::new(endpoint.clone()));
            // The measurements belong to the process: a restarted one begins without any.
            if endpoint.started_at.is_some() && endpoint.started_at != node.endpoint.started_at {
                node.health = NodeHealth::new();
            }
            node.endpoint = endpoint.clone();
        }
        // Removed nodes are dropped once they have no attempts in flight, as new nodes come with new ids.
        self.nodes.retain(|_, node| node.endpoint.status != EndpointStatus::Removed || node.in_flight > 0);
    }

    /// Reassigns the node of each shard: among several in service, the one that started last.
    fn assign_nodes(&mut self, endpoints: &[Endpoint]) {
        for endpoint in endpoints {
            self.queues.entry(endpoint.shard).or_default();
        }
        self.queues.values_mut().for_each(|queue| queue.node = None);
        let mut nodes = Vec::from_iter(self.nodes.values().filter(|node| node.is_in_service()));
        nodes.sort_by_key(|node| (node.endpoint.started_at, node.endpoint.node));
        for endpoint in nodes.into_iter().map(|node| &node.endpoint) {
            self.queues.entry(endpoint.shard).or_default().node = Some(endpoint.node);
        }
    }
}
