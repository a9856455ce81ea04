//! Limits the units dispatched to a node that is warming up (slow start).
//!
//! A node that is warming up can serve only a limited number of units per window, for all hosts
//! together. Hosts do not coordinate, so each host keeps to a quota, which is its part of that
//! number. The quota depends on the time at which the node's process started, the slow-start
//! settings, the provisioned rates of the volumes that have a flow at the node's shard, the number
//! of hosts, and the units that this host sent to the node within the last window. Service is in
//! units, times are in microseconds.
//!
//! Surplus requests and late requests may use only a part of the quota. A surplus request is beyond
//! its volume's provisioned rate and not covered by a reservation (`dmclock::selection`).
//!
//! A quota can be smaller than a single request. A pseudorandom number for each window therefore
//! admits such a request in some of the windows, so that the quota is met on average.

use super::Node;
use crate::api::{Micros, Settings, SlowStart, Units, UnitsPerSecond};
use crate::collections::SlidingWindow;
use crate::hash::{fibonacci_hash, hash_to_unit_interval};

/// Factor applied to the provisioned rates in a host's quota, because a volume's requests are not
/// spread evenly over the hosts.
const HOST_IMBALANCE_FACTOR: f64 = 1.25;
/// Lower bound of the initial capacity, which is a divisor in the node's quota.
const MIN_INITIAL_CAPACITY: f64 = 1e-9;

/// Fraction of a host's quota that surplus and late requests may use.
const SURPLUS_QUOTA_FRACTION: f64 = 0.5;

/// Part of a host's slow-start quota that a request may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlowStartQuotaPart {
    /// The whole quota.
    Full,
    /// The part for surplus and late requests; the rest of the quota is left to the other requests.
    Surplus,
}

impl SlowStartQuotaPart {
    /// Returns the part as a fraction of the quota.
    fn fraction(self) -> f64 {
        match self {
            SlowStartQuotaPart::Full => 1.0,
            SlowStartQuotaPart::Surplus => SURPLUS_QUOTA_FRACTION,
        }
    }
}

/// Units that this host dispatched to a node while it was warming up.
#[derive(Default)]
pub struct SlowStartUsage {
    /// Units of each dispatch, with its time.
    dispatched: SlidingWindow<Units>,
}

impl SlowStartUsage {
    /// Records a dispatch.
    pub fn record(&mut self, units: Units, slow_start: &SlowStart, now: Micros) {
        self.dispatched.record(units, slow_start.window, now);
    }

    /// Returns the units dispatched within the last window.
    fn units_within_window(&self, slow_start: &SlowStart, now: Micros) -> Units {
        self.dispatched
            .within(slow_start.window, now)
            .copied()
            .sum()
    }
}

/// Returns the start time of the node's process if the node is still warming up, else `None`.
pub fn warming_up_since(node: &Node, slow_start: &SlowStart, now: Micros) -> Option<Micros> {
    let started_at = node.endpoint().started_at?;
    if now - started_at < slow_start.duration {
        Some(started_at)
    } else {
        None
    }
}

/// Inputs of the slow-start rule for one node at one moment.
pub struct SlowStartLimiter<'a> {
    /// Settings of the deployment.
    pub settings: &'a Settings,
    /// Seed of the hash that replaces random numbers. Hosts should use different seeds.
    pub seed: u64,
    /// The node that is warming up.
    pub node: &'a Node,
    /// Sum, over the volumes with a flow at the node's shard, of the volume's provisioned rate
    /// divided by the number of its hosts and by the number of its shards. A flow exists until its
    /// volume is removed.
    pub provisioned_rate_of_host: UnitsPerSecond,
    /// The current time, in microseconds.
    pub now: Micros,
}

impl SlowStartLimiter<'_> {
    /// Returns whether a request of `units` may be dispatched if it may use only `quota_part` of
    /// this host's quota. `started_at` is the start time of the node's process.
    pub fn admits(&self, units: Units, quota_part: SlowStartQuotaPart, started_at: Micros) -> bool {
        let slow_start = &self.settings.slow_start;
        let capacity = capacity(slow_start, started_at, self.now);
        let node_quota = node_quota(slow_start, capacity);
        let host_quota = self.host_quota(capacity, node_quota) * quota_part.fraction();
        let dispatched = self
            .node
            .slow_start_usage()
            .units_within_window(slow_start, self.now);
        self.is_within_host_quota(units, host_quota, dispatched)
            && is_within_node_quota(units, node_quota, dispatched)
    }

    /// Returns whether this host's quota admits a request of `units`. A request larger than the
    /// remaining quota is admitted with a probability equal to the remaining quota divided by
    /// `units`.
    fn is_within_host_quota(&self, units: Units, host_quota: Units, dispatched: Units) -> bool {
        let random_part = units * self.random_number();
        host_quota + random_part - dispatched >= units
    }

    /// Returns this host's part of `node_quota`, as a weighted mean of two quotas: one based on the
    /// provisioned rates of the node's volumes, and an even split among the hosts. The even split
    /// has the weight 1 / sqrt(number of hosts).
    fn host_quota(&self, capacity: f64, node_quota: Units) -> Units {
        let slow_start = &self.settings.slow_start;
        let provisioned_units = self
            .provisioned_rate_of_host
            .units_within(slow_start.window);
        let rate_quota =
            provisioned_units * HOST_IMBALANCE_FACTOR * slow_start.burst_factor * capacity;
        let rate_quota = rate_quota.min(node_quota);
        let host_count = f64::from(self.settings.host_count.max(1));
        let even_quota = node_quota / host_count;
        rate_quota + (even_quota - rate_quota) / host_count.sqrt()
    }

    /// Returns a pseudorandom number from 0 to 1 that differs between nodes and stays the same
    /// within a window. Windows are fixed intervals of the clock. With a new number at each call, a
    /// waiting request would soon be admitted, because it is checked repeatedly.
    fn random_number(&self) -> f64 {
        let window_length = self.settings.slow_start.window.max(1);
        let window_number = (self.now / window_length) as u64;
        let node_and_window = window_number ^ fibonacci_hash(self.node.endpoint().node.0);
        hash_to_unit_interval(self.seed ^ fibonacci_hash(node_and_window))
    }
}

/// Returns the capacity of a node that is warming up, as a fraction of its full capacity, at the
/// start of the window that ends now.
fn capacity(slow_start: &SlowStart, started_at: Micros, now: Micros) -> f64 {
    let age = now - started_at - slow_start.window;
    let progress = (age as f64 / slow_start.duration as f64).max(0.0);
    slow_start.initial_capacity + (1.0 - slow_start.initial_capacity) * progress
}

/// Returns whether the node's quota admits a request of `units`, counting only the units that this
/// host dispatched. The first request within a window is always allowed, because a request larger
/// than the whole quota must be dispatched at some time.
fn is_within_node_quota(units: Units, node_quota: Units, dispatched: Units) -> bool {
    let is_first_of_window = dispatched <= Units::ZERO;
    is_first_of_window || node_quota - dispatched >= units
}

/// Returns the units that a node of this capacity can serve within a window, for all hosts
/// together.
fn node_quota(slow_start: &SlowStart, capacity: f64) -> Units {
    slow_start.initial_units_per_window * capacity
        / slow_start.initial_capacity.max(MIN_INITIAL_CAPACITY)
}
