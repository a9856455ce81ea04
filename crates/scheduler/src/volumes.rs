//! A volume's token bucket, its usage over all nodes and hosts, and its provisioned rates.

use crate::api::{CompletedAttempt, Micros, Settings, VolumePlan};
use crate::state::Volume;

/// Time without requests after which a volume is removed, as clients may name an unbounded number of them.
pub const VOLUME_RETENTION: Micros = 60_000_000;

impl Volume {
    /// The token bucket starts empty, as the units spent before the scheduler started are not known.
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

    /// Refills the token bucket under the plan that a new request names, and takes over its number of hosts.
    pub fn record_request(&mut self, plan: &VolumePlan, hosts: f64, now: Micros) {
        self.tokens = self.tokens_under(plan, now);
        self.refilled_at = now;
        self.hosts = hosts.max(1.0);
    }

    /// Level of the token bucket at a time if it is refilled and capped by `plan`, in units.
    fn tokens_under(&self, plan: &VolumePlan, now: Micros) -> f64 {
        let refilled = self.tokens + plan.limit / self.hosts * (now - self.refilled_at) as f64 / 1e6;
        refilled.min(plan.burst_capacity / self.hosts)
    }

    /// Whether the token bucket holds so many units, or the volume has no limit.
    pub fn has_tokens(&self, units: f64, now: Micros) -> bool {
        self.plan.limit <= 0.0 || self.tokens_under(&self.plan, now) >= units
    }

    /// Takes the units of a request's first attempt from the token bucket.
    pub fn spend_tokens(&mut self, units: f64, now: Micros) {
        if self.plan.limit > 0.0 {
            self.tokens = self.tokens_under(&self.plan, now) - units;
            self.refilled_at = now;
        }
    }

    /// Whether it may be removed: only with a full token bucket, so that nothing of its state is lost.
    pub fn is_removable(&self, now: Micros) -> bool {
        let is_full = self.has_tokens(self.plan.burst_capacity / self.hosts, now);
        is_full && now - self.refilled_at >= VOLUME_RETENTION
    }

    /// Counts units served through this host and others, and those that a usage report shows beyond them. A
    /// report covers the time since the last one; if that is older than `max_age`, the report is ignored.
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

    /// Provisioned rate in units a second: of all hosts if their service is known here, else of this host.
    pub fn nominal_rate(&self) -> f64 {
        let hosts = if self.sees_other_hosts { 1.0 } else { self.hosts };
        (self.plan.provisioned_rate / hosts).max(1e-9)
    }

    /// Provisioned rate in units a second at each of its shards through this host.
    pub fn rate_at_shard(&self) -> f64 {
        self.plan.provisioned_rate / self.hosts / self.shards.len().max(1) as f64
    }
}
