//! Conversion between milliseconds, which the settings and the wire protocols use, and
//! microseconds, which the scheduler uses.

use io_scheduler::Micros;

/// Microseconds in one millisecond.
const MICROS_PER_MILLISECOND: f64 = 1000.0;

/// Converts milliseconds to microseconds, rounded to the nearest integer. A value outside the range
/// of [`Micros`] saturates at its bounds, and NaN becomes 0.
#[must_use]
pub fn micros(milliseconds: f64) -> Micros {
    (milliseconds * MICROS_PER_MILLISECOND).round() as Micros
}

/// Converts microseconds to milliseconds without rounding to an integer.
#[must_use]
pub fn milliseconds(micros: Micros) -> f64 {
    micros as f64 / MICROS_PER_MILLISECOND
}
