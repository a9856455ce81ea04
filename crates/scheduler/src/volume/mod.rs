//! Volumes: their plans, limits and usage.
//!
//! A [`Volume`] combines the rates of its plan, a [`token_bucket`] that enforces its limit, and
//! its [`usage`]: the service that it received from all nodes through all hosts. `dmclock::tags`
//! explains the nominal tag, which tells whether a volume exceeds its provisioned rate. Rates
//! are in units per second.

mod table;
mod token_bucket;
mod usage;

pub use table::{VolumeTable, CLEANUP_INTERVAL};

use crate::api::{CompletedAttempt, Micros, Settings, Shard, Units, UnitsPerSecond, VolumePlan};
use std::collections::BTreeSet;
use token_bucket::TokenBucket;
use usage::Usage;

/// Lower bound of the rate by which service is divided in the nominal tag; prevents a division by
/// zero.
const MIN_NOMINAL_TAG_RATE: UnitsPerSecond = UnitsPerSecond(1e-9);
/// Lower bound of the number of hosts that receive a volume's requests.
const MIN_HOST_COUNT: f64 = 1.0;

/// A volume with recent requests.
pub struct Volume {
    /// Reservation, weight, limit and provisioned rate of the volume.
    plan: VolumePlan,
    /// Number of hosts that receive the volume's requests, at least 1.
    host_count: f64,
    /// Shards that the volume's requests named and that a node in service held.
    shards: BTreeSet<Shard>,
    /// Idle credit (sigma): one request of the largest size.
    idle_credit: Units,
    /// Whether this host receives reports of the volume's service through other hosts.
    receives_remote_usage: bool,
    /// Token bucket that enforces the limit.
    bucket: TokenBucket,
    /// Service that the volume received from all nodes through all hosts.
    usage: Usage,
    /// Number of requests received.
    received_requests: u64,
}

impl Volume {
    /// Creates a volume without usage.
    pub fn new(plan: &VolumePlan, settings: &Settings, started_at: Micros) -> Self {
        Volume {
            plan: plan.clone(),
            host_count: MIN_HOST_COUNT,
            shards: BTreeSet::new(),
            idle_credit: settings.max_units,
            receives_remote_usage: settings.usage_report_period > 0
                || settings.reports_remote_units,
            bucket: TokenBucket::empty(started_at),
            usage: Usage::default(),
            received_requests: 0,
        }
    }

    /// Records a received request: the number of hosts that it states, and its shard if a node in
    /// service holds it. The token bucket is refilled up to now with the plan of this request and
    /// the previous number of hosts. Only the refill uses the plan of this request; the stored
    /// plan, which is that of the volume's first request, is not replaced.
    pub fn record_request(
        &mut self,
        plan: &VolumePlan,
        host_count: f64,
        shard: Option<Shard>,
        now: Micros,
    ) {
        self.received_requests += 1;
        self.bucket.refill(plan, self.host_count, now);
        self.host_count = host_count.max(MIN_HOST_COUNT);
        self.shards.extend(shard);
    }

    /// Returns the reservation, weight, limit and provisioned rate of the volume.
    pub fn plan(&self) -> &VolumePlan {
        &self.plan
    }

    /// Returns the idle credit (dmClock's sigma): how far, in units, the share tag of a volume that
    /// was idle may be behind the current time.
    pub fn idle_credit(&self) -> Units {
        self.idle_credit
    }

    /// Returns the units served at all nodes, as far as reported to this host.
    pub fn served_units(&self) -> Units {
        self.usage.served_units()
    }

    /// Returns whether the token bucket holds `units`, or the volume has no limit.
    pub fn has_tokens(&self, units: Units, now: Micros) -> bool {
        !self.plan.limit.is_positive()
            || self.bucket.level(&self.plan, self.host_count, now) >= units
    }

    /// Consumes tokens for the first attempt of a request, if the volume has a limit.
    pub fn consume_tokens(&mut self, units: Units, now: Micros) {
        if self.plan.limit.is_positive() {
            self.bucket.consume(units, &self.plan, self.host_count, now);
        }
    }

    /// Records the service that a completed attempt reports. `units` were served by the attempt
    /// itself. If the attempt brings a usage report (`utilization`), the report counts only if
    /// there is a previous one that is at most `max_report_age` old.
    pub fn record_usage(
        &mut self,
        units: Units,
        completed: &CompletedAttempt,
        max_report_age: Micros,
        now: Micros,
    ) {
        self.usage.record_served(units + completed.remote_units);
        if let Some(utilization) = completed.utilization {
            let rate = self.plan.provisioned_rate * utilization;
            self.usage.record_report(rate, max_report_age, now);
        }
    }

    /// Returns this host's part of the limit.
    pub fn limit_per_host(&self) -> UnitsPerSecond {
        self.plan.limit / self.host_count
    }

    /// Returns the rate at which the nominal tag advances: the volume's whole provisioned rate if
    /// this host receives reports of service through other hosts, otherwise that rate divided by
    /// the number of hosts.
    pub fn nominal_tag_rate(&self) -> UnitsPerSecond {
        let host_count = if self.receives_remote_usage {
            1.0
        } else {
            self.host_count
        };
        (self.plan.provisioned_rate / host_count).max(MIN_NOMINAL_TAG_RATE)
    }

    /// Returns the provisioned rate divided by the number of hosts and by the number of the
    /// volume's shards.
    pub fn rate_per_shard(&self) -> UnitsPerSecond {
        let shards = self.shards.len().max(1);
        self.plan.provisioned_rate / self.host_count / shards as f64
    }

    /// Returns whether the volume can be removed without losing state: its token bucket is full or
    /// it has no limit, and for `retention`, no request was received and no tokens were consumed.
    fn is_removable(&self, retention: Micros, now: Micros) -> bool {
        self.has_full_bucket(now) && now - self.active_at() >= retention
    }

    /// Returns whether the token bucket is full, or the volume has no limit.
    fn has_full_bucket(&self, now: Micros) -> bool {
        let capacity = self.plan.burst_capacity / self.host_count;
        self.has_tokens(capacity, now)
    }

    /// Returns when a request was last received or tokens were last consumed.
    fn active_at(&self) -> Micros {
        self.bucket.refilled_at()
    }

    /// Returns the number of requests received.
    fn received_requests(&self) -> u64 {
        self.received_requests
    }
}
