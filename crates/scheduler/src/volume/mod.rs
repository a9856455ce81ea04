//! Volumes: what each may use, and what it has used.
//!
//! A [`Volume`] joins a [`token_bucket`] for its limit and the [`usage`] of its service over all
//! hosts and nodes with the rates that its plan provisions. Rates are in units a second.

mod table;
mod token_bucket;
mod usage;

pub use table::{VolumeTable, CLEANUP_INTERVAL};

use crate::api::{CompletedAttempt, Micros, Settings, Shard, Units, UnitsPerSecond, VolumePlan};
use std::collections::BTreeSet;
use token_bucket::TokenBucket;
use usage::Usage;

/// Lower bound of a provisioned rate, which divides service in dmClock's nominal tag.
const MIN_NOMINAL_RATE: UnitsPerSecond = UnitsPerSecond(1e-9);
/// Lower bound of the number of hosts that receive a volume's requests.
const MIN_HOSTS: f64 = 1.0;

/// A volume with recent requests.
pub struct Volume {
    /// Its reservation, weight, limit and provisioned rate.
    plan: VolumePlan,
    /// Number of hosts that receive its requests, at least 1.
    hosts: f64,
    /// Shards to which its requests went.
    shards: BTreeSet<Shard>,
    /// Idle credit (dmClock's sigma): one request of the largest size.
    idle_credit: Units,
    /// Whether its service through other hosts is reported to this host.
    receives_remote_usage: bool,
    /// Enforces the limit.
    bucket: TokenBucket,
    /// Its service over all nodes and hosts.
    usage: Usage,
}

impl Volume {
    /// A volume without usage.
    pub fn new(plan: &VolumePlan, settings: &Settings, started_at: Micros) -> Self {
        Volume {
            plan: plan.clone(),
            hosts: MIN_HOSTS,
            shards: BTreeSet::new(),
            idle_credit: settings.max_units,
            receives_remote_usage: settings.usage_report_period > 0
                || settings.reports_remote_units,
            bucket: TokenBucket::empty(started_at),
            usage: Usage::default(),
        }
    }

    /// Notes a request that was received: the number of hosts that it states, and its shard if a
    /// node in service holds it. The token bucket is filled up to now by the request's plan and the
    /// former number of hosts; for all else the plan of the volume's first request applies.
    pub fn record_request(
        &mut self,
        plan: &VolumePlan,
        hosts: f64,
        shard: Option<Shard>,
        now: Micros,
    ) {
        self.bucket.refill(plan, self.hosts, now);
        self.hosts = hosts.max(MIN_HOSTS);
        self.shards.extend(shard);
    }

    /// Its reservation, weight, limit and provisioned rate.
    pub fn plan(&self) -> &VolumePlan {
        &self.plan
    }

    /// Idle credit (dmClock's sigma): the service by which the share tag of a volume that was idle
    /// may lie before the current time.
    pub fn idle_credit(&self) -> Units {
        self.idle_credit
    }

    /// Units served at all nodes, as far as reported to this host.
    pub fn served_units(&self) -> Units {
        self.usage.served_units()
    }

    /// Whether the token bucket holds so many units, or the volume has no limit.
    pub fn has_tokens(&self, units: Units, now: Micros) -> bool {
        !self.plan.limit.is_positive() || self.bucket.level(&self.plan, self.hosts, now) >= units
    }

    /// Counts the units of a request's first attempt against the limit.
    pub fn consume_tokens(&mut self, units: Units, now: Micros) {
        if self.plan.limit.is_positive() {
            self.bucket.consume(units, &self.plan, self.hosts, now);
        }
    }

    /// Counts the service that an attempt reports.
    ///
    /// `units` were served by the attempt itself. A usage report is ignored if the last one is
    /// older than `max_report_age`.
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

    /// This host's part of the limit.
    pub fn limit_per_host(&self) -> UnitsPerSecond {
        self.plan.limit / self.hosts
    }

    /// Provisioned rate: of all hosts if their service is reported to this host, else this host's
    /// part.
    pub fn nominal_rate(&self) -> UnitsPerSecond {
        let hosts = if self.receives_remote_usage {
            1.0
        } else {
            self.hosts
        };
        (self.plan.provisioned_rate / hosts).max(MIN_NOMINAL_RATE)
    }

    /// This host's part of the provisioned rate, at each of the volume's shards.
    pub fn rate_per_shard(&self) -> UnitsPerSecond {
        let shards = self.shards.len().max(1);
        self.plan.provisioned_rate / self.hosts / shards as f64
    }

    /// Whether nothing is lost if the volume is forgotten: its token bucket is full, and it has had
    /// no request for `retention`.
    fn is_removable(&self, retention: Micros, now: Micros) -> bool {
        let capacity = self.plan.burst_capacity / self.hosts;
        self.has_tokens(capacity, now) && now - self.bucket.refilled_at() >= retention
    }
}
