//! What is known of a volume over all nodes: its service, its token bucket, the shards of its data.

use crate::api::{Micros, Settings, Shard, VolumePlan};
use crate::state::{TokenBucket, UsageMeter};
use std::collections::BTreeSet;

/// A volume without requests for this long is forgotten: clients may name ever new ones.
pub const VOLUME_RETENTION: Micros = 60_000_000;

/// One volume.
#[derive(Default)]
pub struct Volume {
    pub plan: VolumePlan,
    /// Hosts through which its requests come.
    pub hosts: f64,
    /// Where its data was asked for.
    pub shards: BTreeSet<Shard>,
    /// Idle credit (sigma) when it wakes up, in units: one request of the largest size.
    pub idle_credit: f64,
    /// Whether its service through other hosts is known here.
    sees_other_hosts: bool,
    bucket: TokenBucket,
    pub usage: UsageMeter,
}

impl Volume {
    /// What was spent before the scheduler started is not known: the token bucket starts empty.
    pub fn new(plan: &VolumePlan, settings: &Settings, started_at: Micros) -> Self {
        let (plan, bucket) = (plan.clone(), TokenBucket::empty(started_at));
        let (hosts, idle_credit) = (1.0, settings.max_units);
        let sees_other_hosts = settings.usage_report_period > 0 || settings.reports_remote_units;
        Volume { plan, hosts, idle_credit, sees_other_hosts, bucket, ..Volume::default() }
    }

    /// Takes in the plan and the number of hosts that a new request names.
    pub fn record_request(&mut self, plan: &VolumePlan, hosts: f64, now: Micros) {
        self.bucket.set(self.tokens_under(plan, now), now);
        self.hosts = hosts.max(1.0);
    }

    fn tokens_under(&self, plan: &VolumePlan, now: Micros) -> f64 {
        self.bucket.level(plan.limit / self.hosts, plan.burst_capacity / self.hosts, now)
    }

    /// Whether its limit, if it has one, lets so many units go now.
    pub fn has_tokens(&self, units: f64, now: Micros) -> bool {
        self.plan.limit <= 0.0 || self.tokens_under(&self.plan, now) >= units
    }

    /// Takes the units of a request's first attempt out of the token bucket.
    pub fn spend_tokens(&mut self, units: f64, now: Micros) {
        if self.plan.limit > 0.0 {
            self.bucket.set(self.tokens_under(&self.plan, now) - units, now);
        }
    }

    /// Whether it may be forgotten: a new one may spend a whole bucket, so this one has to be full.
    pub fn is_idle(&self, now: Micros) -> bool {
        let is_full = self.has_tokens(self.plan.burst_capacity / self.hosts, now);
        is_full && now - self.bucket.last_set() >= VOLUME_RETENTION
    }

    /// Units a second for which it is provisioned, as far as its service is known here.
    pub fn nominal_rate(&self) -> f64 {
        let hosts = if self.sees_other_hosts { 1.0 } else { self.hosts };
        (self.plan.provisioned_rate / hosts).max(1e-9)
    }

    /// Units a second for which it is provisioned at one of its shards through this host.
    pub fn rate_at_shard(&self) -> f64 {
        self.plan.provisioned_rate / self.hosts / self.shards.len().max(1) as f64
    }
}
