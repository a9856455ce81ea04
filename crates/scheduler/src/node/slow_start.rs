//! How much a node that warms up may be sent (slow start).
//!
//! Inputs: when the node's process started, the deployment's slow-start settings, the rates that
//! the volumes with a flow at the node's shard are provisioned for, the number of hosts, and the
//! units that this host sent the node within the last window. A node bears only so many units
//! within a window from all hosts together, and hosts do not coordinate, so each keeps to a quota:
//! its part of what the node bears. Units and microseconds.
//!
//! A quota can be smaller than one request. A random number for each window then admits a request
//! now and then, so that the quota is kept in the mean.

use super::Node;
use crate::api::{Micros, Settings, SlowStart, Units, UnitsPerSecond};
use crate::collections::SlidingWindow;
use crate::hash::{fibonacci_hash, unit_hash};

/// Factor on the provisioned rates in a host's quota, as volumes use their hosts unevenly.
const HOST_IMBALANCE_FACTOR: f64 = 1.25;
/// Lower bound of the initial capacity, which divides the units that a node bears at its start.
const MIN_INITIAL_CAPACITY: f64 = 1e-9;

/// Fraction of a host's quota that surplus and late requests may use.
const SURPLUS_QUOTA_FRACTION: f64 = 0.5;

/// How much of a host's quota a request may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaPart {
    /// All of it.
    Full,
    /// A part, for surplus and late requests: the rest is left to the others.
    Surplus,
}

impl QuotaPart {
    /// The part as a fraction of the quota.
    fn fraction(self) -> f64 {
        match self {
            QuotaPart::Full => 1.0,
            QuotaPart::Surplus => SURPLUS_QUOTA_FRACTION,
        }
    }
}

/// Units that this host dispatched to a node while it was warming up.
#[derive(Default)]
pub struct SlowStartUsage {
    /// Units of the dispatches.
    dispatched: SlidingWindow<Units>,
}

impl SlowStartUsage {
    /// Counts a dispatch.
    pub fn record(&mut self, units: Units, slow_start: &SlowStart, now: Micros) {
        self.dispatched.record(units, slow_start.window, now);
    }

    /// Units dispatched within the last window.
    fn within_window(&self, slow_start: &SlowStart, now: Micros) -> Units {
        self.dispatched
            .within(slow_start.window, now)
            .copied()
            .sum()
    }
}

/// When a node's process started, if that was so recently that it lacks its full capacity.
pub fn warming_up_since(node: &Node, slow_start: &SlowStart, now: Micros) -> Option<Micros> {
    let started_at = node.endpoint().started_at?;
    if now - started_at < slow_start.duration {
        Some(started_at)
    } else {
        None
    }
}

/// The slow-start rule at one moment, for one node.
pub struct SlowStartLimiter<'a> {
    /// Settings of the deployment.
    pub settings: &'a Settings,
    /// Input of the hash that stands in for random numbers; should differ from host to
    /// host.
    pub seed: u64,
    /// The node that warms up.
    pub node: &'a Node,
    /// Rate at the node's shard that the volumes with a flow there are provisioned for through this
    /// host; a flow stays until its volume is forgotten.
    pub nominal_rate: UnitsPerSecond,
    /// The current time, in microseconds.
    pub now: Micros,
}

impl SlowStartLimiter<'_> {
    /// Whether a request of so many units may be dispatched; it may use `quota_part` of this host's
    /// quota.
    pub fn admits(&self, units: Units, quota_part: QuotaPart, started_at: Micros) -> bool {
        let slow_start = &self.settings.slow_start;
        let capacity = capacity(slow_start, started_at, self.now);
        let node_quota = node_quota(slow_start, capacity);
        let host_quota = self.host_quota(capacity, node_quota) * quota_part.fraction();
        let dispatched = self
            .node
            .slow_start_usage()
            .within_window(slow_start, self.now);
        self.is_within_host_quota(units, host_quota, dispatched)
            && is_within_node_quota(units, node_quota, dispatched)
    }

    /// Whether the units fit into this host's quota, to which a random part of them is added. A
    /// request that is larger than the rest of the quota is thus admitted as often as that rest is
    /// a part of it.
    fn is_within_host_quota(&self, units: Units, host_quota: Units, dispatched: Units) -> bool {
        let random_part = units * self.random_number();
        host_quota + random_part - dispatched >= units
    }

    /// This host's part of `node_quota`: a mean of what the provisioned rates of the node's volumes
    /// give and of an even part, in which the even part has the weight of one over the square root
    /// of the number of hosts.
    fn host_quota(&self, capacity: f64, node_quota: Units) -> Units {
        let slow_start = &self.settings.slow_start;
        let nominal_units = self.nominal_rate.units_within(slow_start.window);
        let by_rate = nominal_units * HOST_IMBALANCE_FACTOR * slow_start.burst_factor * capacity;
        let by_rate = by_rate.min(node_quota);
        let hosts = f64::from(self.settings.hosts.max(1));
        let even_part = node_quota / hosts;
        by_rate + (even_part - by_rate) / hosts.sqrt()
    }

    /// A number from 0 to 1 that differs from node to node and is the same for a window's length,
    /// counted in fixed windows of the clock: one that is drawn at each call would admit a waiting
    /// request after a few calls.
    fn random_number(&self) -> f64 {
        let window_length = self.settings.slow_start.window.max(1);
        let window_number = (self.now / window_length) as u64;
        let node_and_window = window_number ^ fibonacci_hash(self.node.endpoint().node.0);
        unit_hash(self.seed ^ fibonacci_hash(node_and_window))
    }
}

/// Capacity of a node that warms up, as a fraction of its full one, at the start of the window that
/// ends now.
fn capacity(slow_start: &SlowStart, started_at: Micros, now: Micros) -> f64 {
    let age = now - started_at - slow_start.window;
    let progress = (age as f64 / slow_start.duration as f64).max(0.0);
    slow_start.initial_capacity + (1.0 - slow_start.initial_capacity) * progress
}

/// Whether the units fit into what the node bears, apart from the other hosts. A request that is
/// larger than all that the node bears must be dispatched some time, so the first one within a
/// window may be.
fn is_within_node_quota(units: Units, node_quota: Units, dispatched: Units) -> bool {
    let is_first_of_window = dispatched <= Units::ZERO;
    is_first_of_window || node_quota - dispatched >= units
}

/// Units that a node of this capacity bears within a window, from all hosts together.
fn node_quota(slow_start: &SlowStart, capacity: f64) -> Units {
    slow_start.units * capacity / slow_start.initial_capacity.max(MIN_INITIAL_CAPACITY)
}
