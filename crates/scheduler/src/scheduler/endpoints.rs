//! Following the endpoint list: when to call the discovery service for it, and which nodes hold the shards.

use super::Scheduler;
use crate::api::{Action, Endpoint, EndpointListEvent, EndpointStatus, Micros, NodeId, Settings};
use crate::hash::unit_hash;
use crate::state::{Node, NodeHealth, State};
use std::collections::BTreeSet;

/// The service takes calls in turn, and one that waited too long costs it as much as one that is served. So
/// hosts spread calls with the same reason: so much for each other host, up to a bound, lower after a watch.
const SPREAD_PER_HOST: Micros = 50_000;
pub(super) const MAX_SPREAD: Micros = 3_000_000;
const MAX_SPREAD_AFTER_WATCH: Micros = 1_000_000;
/// A call without an answer is repeated after this; the list counts as seen after 6 s, so two calls fit in.
const POLL_TIMEOUT: Micros = 3_000_000;
/// Pause after a call that failed or ended: so much for each host, up to the most.
const BACKOFF_PER_HOST: Micros = 100_000;
const MAX_BACKOFF: Micros = 500_000;

/// When a host makes its next call after a time, spread by `random`; never where the list comes by itself.
pub(super) fn poll_at(settings: &Settings, after: Micros, random: u64, max_spread: Micros) -> Option<Micros> {
    let other_hosts = Micros::from(settings.discovery_clients.checked_sub(1)?);
    let interval = settings.max_poll_interval;
    let max_spread = if interval > 0 { max_spread.min(interval / 2) } else { max_spread };
    let spread = unit_hash(random) * (SPREAD_PER_HOST * other_hosts).min(max_spread) as f64;
    Some(after + spread as Micros)
}

impl Scheduler {
    pub(super) fn on_endpoint_list(&mut self, event: EndpointListEvent, endpoints: &[Endpoint]) {
        match event {
            EndpointListEvent::PollFailed => return self.plan_poll(MAX_SPREAD),
            EndpointListEvent::WatchLost => return self.plan_poll(MAX_SPREAD_AFTER_WATCH),
            EndpointListEvent::Snapshot | EndpointListEvent::Delta => self.next_poll_at = None,
            EndpointListEvent::Cached => {}
        }
        self.state.update_nodes(event, endpoints);
        self.state.assign_nodes(endpoints);
    }

    /// Plans the next call after one that failed or ended.
    fn plan_poll(&mut self, max_spread: Micros) {
        let hosts = Micros::from(self.settings.discovery_clients);
        let resume_at = self.now + (BACKOFF_PER_HOST * hosts).min(MAX_BACKOFF);
        self.next_poll_at = poll_at(&self.settings, resume_at, self.seed ^ self.now as u64, max_spread);
    }

    pub(super) fn poll_if_due(&mut self) {
        if self.next_poll_at.is_some_and(|at| at <= self.now) {
            self.next_poll_at = Some(self.now + POLL_TIMEOUT);
            self.actions.push(Action::OpenWatch);
        }
    }
}

impl State {
    /// Takes in the endpoint list, or changes to it.
    fn update_nodes(&mut self, event: EndpointListEvent, endpoints: &[Endpoint]) {
        if event != EndpointListEvent::Delta {
            let listed: BTreeSet<NodeId> = endpoints.iter().map(|endpoint| endpoint.node).collect();
            for (_, node) in self.nodes.iter_mut().filter(|(id, _)| !listed.contains(id)) {
                node.endpoint.status = EndpointStatus::Removed;
            }
        }
        for endpoint in endpoints {
            let node = self.nodes.entry(endpoint.node).or_insert_with(|| Node::new(endpoint.clone()));
            // What was known of a process says nothing of the one that was started after it.
            if endpoint.started_at.is_some() && endpoint.started_at != node.endpoint.started_at {
                node.health = NodeHealth::new();
            }
            node.endpoint = endpoint.clone();
        }
        // With ever new ids, removed nodes would pile up; attempts in flight are waited for.
        self.nodes.retain(|_, node| node.endpoint.status != EndpointStatus::Removed || node.in_flight > 0);
    }

    /// Finds the node of each shard anew: of several in service, the one that started last.
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
