//! What a node reports on the service that the volume of a request has got.

use crate::resp_wire_names::usage_report::{REMOTE_UNITS, UTILIZATION};
use crate::storage_request::{AttemptResult, ResponseBody};
use io_scheduler::{Outcome, Units};

/// Largest accepted utilization, in percent. A larger value cannot be a measurement, and would be
/// charged to the volume for a long time.
const MAX_UTILIZATION_PERCENT: f64 = 10_000.0;
/// Largest accepted number of remote units in one reply, for the same reason.
const MAX_REMOTE_UNITS: f64 = 10_000.0;
/// A utilization of 1 as a percentage.
const PERCENT: f64 = 100.0;

/// A usage report, such as `used=37,cost=4` on the wire.
#[derive(Default)]
pub(super) struct UsageReport {
    /// See [`AttemptResult::utilization`].
    utilization: Option<f64>,
    /// See [`AttemptResult::remote_units`].
    remote_units: Units,
}

impl UsageReport {
    /// Parses a report. Words with unknown names are skipped, and so are values that are not
    /// numbers or out of range.
    pub(super) fn parse(text: &[u8]) -> UsageReport {
        let mut report = UsageReport::default();
        let text = String::from_utf8_lossy(text);
        for word in text.split([',', ' ']) {
            if let Some((name, value)) = word.split_once('=') {
                report.set(name, value);
            }
        }
        report
    }

    /// Sets the field that a word of the report states.
    fn set(&mut self, name: &str, value: &str) {
        let Ok(value) = value.parse::<f64>() else {
            return;
        };
        match name {
            UTILIZATION if (0.0..=MAX_UTILIZATION_PERCENT).contains(&value) => {
                self.utilization = Some(value / PERCENT);
            }
            REMOTE_UNITS if (0.0..=MAX_REMOTE_UNITS).contains(&value) => {
                self.remote_units = Units(value);
            }
            _ => {}
        }
    }

    /// The result of an attempt whose reply contained the report.
    pub(super) fn into_result(self, outcome: Outcome, body: Option<ResponseBody>) -> AttemptResult {
        AttemptResult {
            outcome,
            body,
            remote_units: self.remote_units,
            utilization: self.utilization,
        }
    }
}
