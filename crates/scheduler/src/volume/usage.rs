//! A volume's service over all nodes and hosts, from which dmClock's rho and delta are taken.
//!
//! Inputs: the units served by this host's attempts, the units that responses report for other
//! hosts, and usage reports, which state the service of a past period at all nodes. Responses are
//! counted at once; a report adds only what it shows beyond them. Reports come late, so that a
//! shortfall of one is set off against the next.

use crate::api::{Micros, Units, UnitsPerSecond};

/// Service of a volume, in units.
#[derive(Default)]
pub struct Usage {
    /// Served at all nodes, as far as known.
    served: Units,
    /// Served since the last usage report.
    served_since_report: Units,
    /// Reported beyond what responses have counted; zero or, while reports lag behind, negative.
    report_excess: Units,
    /// When the last usage report was received.
    reported_at: Option<Micros>,
}

impl Usage {
    /// Units served at all nodes, as far as known.
    pub fn served_units(&self) -> Units {
        self.served
    }

    /// Counts units that a response reports.
    pub fn record_served(&mut self, units: Units) {
        self.served_since_report += units;
        self.served += units;
    }

    /// Counts what a usage report shows beyond the responses. `rate` is the mean rate of the
    /// reported period, which is taken for that since the last report; if that is older than
    /// `max_age`, the report is ignored.
    pub fn record_report(&mut self, rate: UnitsPerSecond, max_age: Micros, now: Micros) {
        match self.reported_at {
            Some(reported_at) if now - reported_at <= max_age => {
                let reported = rate.units_within(now - reported_at);
                self.report_excess += reported - self.served_since_report;
                self.served += self.report_excess.max(Units::ZERO);
                self.report_excess = self.report_excess.min(Units::ZERO);
            }
            _ => self.report_excess = Units::ZERO,
        }
        self.reported_at = Some(now);
        self.served_since_report = Units::ZERO;
    }
}
