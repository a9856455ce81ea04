//! The token bucket that enforces a volume's limit at this host.
//!
//! Input: the volume's plan (rate in units a second, capacity in units) and the number of hosts
//! that receive its requests. Each host fills a bucket of its own at an even part of the rate, up
//! to an even part of the capacity, since hosts don't know each other's dispatches. Decided: how
//! many units may be dispatched now.

use crate::api::{Micros, Units, VolumePlan};

/// Level of a token bucket, in units, when it was last set.
pub struct TokenBucket {
    /// Level at that time.
    level: Units,
    /// When the level was set, in microseconds.
    refilled_at: Micros,
}

impl TokenBucket {
    /// An empty bucket: the units spent before the scheduler started are not known.
    pub fn empty(started_at: Micros) -> Self {
        TokenBucket {
            level: Units::ZERO,
            refilled_at: started_at,
        }
    }

    /// Level at a time if the bucket is filled and capped by `plan`.
    pub fn level(&self, plan: &VolumePlan, hosts: f64, now: Micros) -> Units {
        let rate = plan.limit / hosts;
        let refilled = self.level + rate.units_within(now - self.refilled_at);
        refilled.min(plan.burst_capacity / hosts)
    }

    /// Sets the level to that of now.
    pub fn refill(&mut self, plan: &VolumePlan, hosts: f64, now: Micros) {
        self.level = self.level(plan, hosts, now);
        self.refilled_at = now;
    }

    /// Takes units, which may bring the level below zero.
    pub fn consume(&mut self, units: Units, plan: &VolumePlan, hosts: f64, now: Micros) {
        self.refill(plan, hosts, now);
        self.level -= units;
    }

    /// When the level was set.
    pub fn refilled_at(&self) -> Micros {
        self.refilled_at
    }
}
