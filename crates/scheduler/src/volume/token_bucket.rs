//! Token bucket that enforces a volume's limit at this host.
//!
//! Hosts do not know each other's dispatches. Each host therefore has a bucket of its own, whose
//! rate and capacity are the plan's limit (units per second) and burst capacity (units) divided by
//! the number of hosts that receive the volume's requests.

use crate::api::{Micros, Units, VolumePlan};

/// Token bucket of one volume.
pub struct TokenBucket {
    /// Level at `refilled_at`, in units; negative after more units were consumed than it held.
    level: Units,
    /// Time at which the level was last updated, in microseconds.
    refilled_at: Micros,
}

impl TokenBucket {
    /// Creates an empty bucket, because the units consumed before the scheduler started are not
    /// known.
    pub fn empty(started_at: Micros) -> Self {
        TokenBucket {
            level: Units::ZERO,
            refilled_at: started_at,
        }
    }

    /// Returns the level at `now`, if the bucket is refilled at the rate of `plan` and capped at
    /// its capacity.
    pub fn level(&self, plan: &VolumePlan, host_count: f64, now: Micros) -> Units {
        let rate = plan.limit / host_count;
        let refilled = self.level + rate.units_within(now - self.refilled_at);
        refilled.min(plan.burst_capacity / host_count)
    }

    /// Updates the level to `now`.
    pub fn refill(&mut self, plan: &VolumePlan, host_count: f64, now: Micros) {
        self.level = self.level(plan, host_count, now);
        self.refilled_at = now;
    }

    /// Consumes units. The level may become negative.
    pub fn consume(&mut self, units: Units, plan: &VolumePlan, host_count: f64, now: Micros) {
        self.refill(plan, host_count, now);
        self.level -= units;
    }

    /// Returns the time at which the level was last updated.
    pub fn refilled_at(&self) -> Micros {
        self.refilled_at
    }
}
