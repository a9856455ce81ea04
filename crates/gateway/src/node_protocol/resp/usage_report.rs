//! Usage reports: the part of a node's reply that states how much service the volume that the
//! request belongs to has received.
//!
//! A report has up to two values: the volume's utilization and its remote units. The scheduler
//! counts them separately, and calls only the utilization a usage report (its `volume::usage`).

use crate::resp_wire_names::usage_report::{REMOTE_UNITS, UTILIZATION};
use crate::storage_request::{AttemptResult, ResponseBody};
use io_scheduler::{Outcome, Units};

/// Maximum accepted utilization in percent. A larger value cannot be a measurement. If it were
/// accepted, it would move the tags of the volume far ahead of the current time, and the volume's
/// requests would have to wait until the time has caught up.
const MAX_UTILIZATION_PERCENT: f64 = 10_000.0;
/// Maximum accepted number of remote units in one reply. Larger values are ignored for the same
/// reason.
const MAX_REMOTE_UNITS: f64 = 10_000.0;
/// The percentage that corresponds to a utilization of 1.
const FULL_UTILIZATION_PERCENT: f64 = 100.0;

/// A usage report. On the wire it looks like `used=37,cost=4`.
#[derive(Default)]
pub(super) struct UsageReport {
    /// Fraction of the volume's provisioned rate that was served; see
    /// [`AttemptResult::utilization`].
    utilization: Option<f64>,
    /// Units that the node served for the volume through other gateways; see
    /// [`AttemptResult::remote_units`].
    remote_units: Units,
}

impl UsageReport {
    /// Parses a report. Skips entries with unknown names and values that are not numbers or out of
    /// range.
    pub(super) fn parse(text: &[u8]) -> UsageReport {
        let mut report = UsageReport::default();
        let text = String::from_utf8_lossy(text);
        for entry in text.split([',', ' ']) {
            if let Some((name, value)) = entry.split_once('=') {
                report.set(name, value);
            }
        }
        report
    }

    /// Sets the field that an entry of the report specifies.
    fn set(&mut self, name: &str, value: &str) {
        let Ok(value) = value.parse::<f64>() else {
            return;
        };
        match name {
            UTILIZATION if (0.0..=MAX_UTILIZATION_PERCENT).contains(&value) => {
                self.utilization = Some(value / FULL_UTILIZATION_PERCENT);
            }
            REMOTE_UNITS if (0.0..=MAX_REMOTE_UNITS).contains(&value) => {
                self.remote_units = Units(value);
            }
            _ => {}
        }
    }

    /// Returns the result of an attempt whose reply contained the report.
    pub(super) fn into_result(self, outcome: Outcome, body: Option<ResponseBody>) -> AttemptResult {
        AttemptResult {
            outcome,
            body,
            remote_units: self.remote_units,
            utilization: self.utilization,
        }
    }
}
