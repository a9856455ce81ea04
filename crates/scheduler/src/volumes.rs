//! What is known of a volume over all nodes: its service, its token bucket, the shards of its data.

use crate::api::{CompletedAttempt, Micros, Settings, VolumePlan};
use crate::state::Volume;

/// A volume without requests for this long is forgotten: clients may name ever new ones.
pub const VOLUME_RETENTION: Micros = 60_000_000;

impl Volume {
    /// What was spent before the scheduler started is not known: the token bucket starts empty.
    pub fn new(plan: &VolumePlan, settings: &Settings, started_at: Micros) -> Self {
        Volume {
            plan: plan.clone(),
            hosts: 1.0,
            idle_credit: settings.max_units,
            sees_other_hosts: settings.usage_report_period > 0 || settings.reports_remote_units,
            refilled_at: started_at,
            ..Volume::default()
        }
    }

    /// Takes in the plan and the number of hosts that a new request names.
    pub fn record_request(&mut self, plan: &VolumePlan, hosts: f64, now: Micros) {
        self.tokens = self.tokens_under(plan, now);
        self.refilled_at = now;
        self.hosts = hosts.max(1.0);
    }

    fn tokens_under(&self, plan: &VolumePlan, now: Micros) -> f64 {
        let refilled = self.tokens + plan.limit / self.hosts * (now - self.refilled_at) as f64 / 1e6;
        refilled.min(plan.burst_capacity / self.hosts)
    }

    /// Whether its limit, if it has one, lets so many units go now.
    pub fn has_tokens(&self, units: f64, now: Micros) -> bool {
        self.plan.limit <= 0.0 || self.tokens_under(&self.plan, now) >= units
    }

    /// Takes the units of a request's first attempt out of the token bucket.
    pub fn spend_tokens(&mut self, units: f64, now: Micros) {
        if self.plan.limit > 0.0 {
            self.tokens = self.tokens_under(&self.plan, now) - units;
            self.refilled_at = now;
        }
    }

    /// Whether it may be forgotten: a new one may spend a whole bucket, so this one has to be full.
    pub fn is_idle(&self, now: Micros) -> bool {
        let is_full = self.has_tokens(self.plan.burst_capacity / self.hosts, now);
        is_full && now - self.refilled_at >= VOLUME_RETENTION
    }

    /// Counts the units of a response and those served for other hosts, and what a usage report shows beyond
    /// both. A report tells the utilization since the one before; where that is too old, it tells nothing.
    pub fn record_usage(&mut self, units: f64, completed: &CompletedAttempt, max_age: Micros, now: Micros) {
        self.unreported_units += units + completed.remote_units;
        self.served_units += units + completed.remote_units;
        let Some(utilization) = completed.utilization else { return };
        let elapsed = self.reported_at.map_or(Micros::MAX, |at| now - at);
        if elapsed <= max_age {
            let reported_units = utilization * self.plan.provisioned_rate * elapsed as f64 / 1e6;
            self.surplus_units += reported_units - self.unreported_units;
            self.served_units += self.surplus_units.max(0.0);
            self.surplus_units = self.surplus_units.min(0.0);
        } else {
            self.surplus_units = 0.0;
        }
        self.reported_at = Some(now);
        self.unreported_units = 0.0;
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
