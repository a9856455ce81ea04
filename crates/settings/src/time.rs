//! Conversion between milliseconds, the unit of the settings and of the wire protocols, and the
//! scheduler's microseconds.

use io_scheduler::Micros;

/// Microseconds in one millisecond.
const MICROS_PER_MILLISECOND: f64 = 1000.0;

/// Converts milliseconds to whole microseconds. A value beyond the range of [`Micros`] becomes its
/// nearest end, and NaN becomes 0.
#[must_use]
pub fn micros(milliseconds: f64) -> Micros {
    (milliseconds * MICROS_PER_MILLISECOND).round() as Micros
}

/// Converts microseconds to milliseconds, with the fraction.
#[must_use]
pub fn milliseconds(micros: Micros) -> f64 {
    micros as f64 / MICROS_PER_MILLISECOND
}
