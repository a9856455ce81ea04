//! Conversion of the time unit of the settings and of the simulator's messages.

use io_scheduler::Micros;

const MICROS_PER_MILLISECOND: f64 = 1000.0;

/// Converts milliseconds to whole microseconds. A value beyond the range of [`Micros`] becomes its nearest
/// end, and NaN becomes 0.
#[must_use]
pub fn micros(milliseconds: f64) -> Micros {
    (milliseconds * MICROS_PER_MILLISECOND).round() as Micros
}
