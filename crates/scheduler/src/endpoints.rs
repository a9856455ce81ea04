//! Following the endpoint list: when to call the discovery service for it, and which nodes hold the shards.

use crate::api::{Endpoint, EndpointListEvent, Micros, NodeId, Settings};
use crate::hash::{scatter, unit_hash};
use crate::state::{NodeTable, ShardQueues};

/// The service takes calls in turn, and one that waited too long costs it as much as one that is served. So
/// hosts spread calls with the same reason: so much for each other host, up to a bound, lower after a watch.
const SPREAD_PER_HOST: Micros = 50_000;
const MAX_SPREAD: Micros = 3_000_000;
const MAX_SPREAD_AFTER_WATCH: Micros = 1_000_000;
/// A call without an answer is repeated after this; the list counts as seen after 6 s, so two calls fit in.
const POLL_TIMEOUT: Micros = 3_000_000;
/// Pause after a call that failed or ended: so much for each host, up to the most.
const BACKOFF_PER_HOST: Micros = 100_000;
const MAX_BACKOFF: Micros = 500_000;

/// Plans the calls to the discovery service.
pub struct EndpointListPoller {
    /// When the next call is due.
    pub next_poll_at: Option<Micros>,
    seed: u64,
}

impl EndpointListPoller {
    pub fn new(settings: &Settings, seed: u64, now: Micros) -> Self {
        let first = now + spread(scatter(seed), MAX_SPREAD, settings);
        EndpointListPoller { next_poll_at: (settings.discovery_clients > 0).then_some(first), seed }
    }

    /// Whether a call is due now; it is then taken as made.
    pub fn start_poll(&mut self, now: Micros) -> bool {
        let is_due = self.next_poll_at.is_some_and(|at| at <= now);
        if is_due {
            self.next_poll_at = Some(now + POLL_TIMEOUT);
        }
        is_due
    }

    /// Plans the next call after an event of the list.
    pub fn on_list_event(&mut self, event: EndpointListEvent, settings: &Settings, now: Micros) {
        let max_spread = match event {
            EndpointListEvent::Snapshot | EndpointListEvent::Delta => {
                self.next_poll_at = None;
                return;
            }
            EndpointListEvent::Cached => return,
            EndpointListEvent::PollFailed => MAX_SPREAD,
            EndpointListEvent::WatchLost => MAX_SPREAD_AFTER_WATCH,
        };
        if settings.discovery_clients > 0 {
            let backoff = (BACKOFF_PER_HOST * Micros::from(settings.discovery_clients)).min(MAX_BACKOFF);
            self.next_poll_at = Some(now + backoff + spread(self.seed ^ now as u64, max_spread, settings));
        }
    }
}

/// This host's part of the time over which hosts spread their calls.
fn spread(random: u64, max_spread: Micros, settings: &Settings) -> Micros {
    let other_hosts = Micros::from(settings.discovery_clients.saturating_sub(1));
    let interval = settings.max_poll_interval;
    let max_spread = if interval > 0 { max_spread.min(interval / 2) } else { max_spread };
    (unit_hash(random) * (SPREAD_PER_HOST * other_hosts).min(max_spread) as f64) as Micros
}

/// Finds the node of each shard anew.
pub fn assign_nodes(queues: &mut ShardQueues, endpoints: &[Endpoint], nodes: &NodeTable) {
    for endpoint in endpoints {
        queues.entry(endpoint.shard).or_default();
    }
    for queue in queues.values_mut() {
        queue.node = None;
    }
    let start = |id: NodeId| (nodes.get(id).and_then(|node| node.endpoint.started_at), id);
    for node in nodes.in_service() {
        let queue = queues.entry(node.endpoint.shard).or_default();
        // Of two that hold the same shard, the one that started last succeeds the other.
        if queue.node.is_none_or(|other| start(other) < start(node.endpoint.node)) {
            queue.node = Some(node.endpoint.node);
        }
    }
}
