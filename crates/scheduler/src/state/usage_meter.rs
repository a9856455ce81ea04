//! Service of a volume at all nodes, put together from what is seen here and from usage reports.

use crate::api::{CompletedAttempt, Micros};

/// Counts the units served.
#[derive(Default)]
pub struct UsageMeter {
    /// Units served at all nodes, as far as known.
    pub served_units: f64,
    /// Units in usage reports beyond those known otherwise; below zero the reports lag.
    surplus_units: f64,
    /// Units served since the last usage report.
    unreported_units: f64,
    reported_at: Option<Micros>,
}

impl UsageMeter {
    /// Counts `units` served here, those that the node served for other hosts, and what a usage report shows
    /// beyond both. A report tells the utilization of `rate` (units a second) since the report before; where
    /// that is older than `max_age`, it tells nothing.
    pub fn record(
        &mut self,
        units: f64,
        completed: &CompletedAttempt,
        rate: f64,
        max_age: Micros,
        now: Micros,
    ) {
        self.unreported_units += units + completed.remote_units;
        self.served_units += units + completed.remote_units;
        let Some(utilization) = completed.utilization else { return };
        let elapsed = self.reported_at.map_or(Micros::MAX, |at| now - at);
        if elapsed <= max_age {
            let reported_units = utilization * rate * elapsed as f64 / 1e6;
            self.surplus_units += reported_units - self.unreported_units;
            self.served_units += self.surplus_units.max(0.0);
            self.surplus_units = self.surplus_units.min(0.0);
        } else {
            self.surplus_units = 0.0;
        }
        self.reported_at = Some(now);
        self.unreported_units = 0.0;
    }
}
