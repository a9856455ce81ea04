//! Service that a volume received from all nodes through all hosts, from which dmClock's rho and
//! delta are computed.
//!
//! There are three sources:
//!
//! - the units served by this host's attempts;
//! - remote units: the units that a node served for the volume through other hosts since its
//!   previous response to this host;
//! - usage reports: the service at all nodes in a past period, as a fraction of the volume's
//!   provisioned rate (utilization).
//!
//! A response can carry both remote units and a usage report. Served and remote units are counted
//! at once; a usage report adds only the units beyond those. Usage reports arrive late. If a report
//! shows fewer units than were counted since the last report, the difference is subtracted from the
//! next one.

use crate::api::{Micros, Units, UnitsPerSecond};

/// Service of one volume, in units.
#[derive(Default)]
pub struct Usage {
    /// Units served at all nodes, as far as known.
    served: Units,
    /// Served and remote units since the last usage report.
    served_since_report: Units,
    /// Units of usage reports minus served and remote units, if negative, else zero; added to the
    /// next report.
    report_balance: Units,
    /// Time at which the last usage report was received.
    reported_at: Option<Micros>,
}

impl Usage {
    /// Returns the units served at all nodes, as far as known.
    pub fn served_units(&self) -> Units {
        self.served
    }

    /// Records units that were served by an attempt of this host, and remote units.
    pub fn record_served(&mut self, units: Units) {
        self.served_since_report += units;
        self.served += units;
    }

    /// Records a usage report and counts the units that it shows beyond those already counted.
    /// `rate` is the mean rate of the reported period; it is assumed to apply to the time since the
    /// last report. If there is no last report, or it is older than `max_age`, this one is ignored.
    pub fn record_report(&mut self, rate: UnitsPerSecond, max_age: Micros, now: Micros) {
        match self.reported_at {
            Some(reported_at) if now - reported_at <= max_age => {
                let reported = rate.units_within(now - reported_at);
                self.report_balance += reported - self.served_since_report;
                self.served += self.report_balance.max(Units::ZERO);
                self.report_balance = self.report_balance.min(Units::ZERO);
            }
            _ => self.report_balance = Units::ZERO,
        }
        self.reported_at = Some(now);
        self.served_since_report = Units::ZERO;
    }
}
