//! Fractional times: [`Seconds`] for dmClock tags and [`Latency`] for latencies.
//!
//! Events and timers use whole [`Micros`]. All conversions between the three types are in this
//! file.

use crate::api::{Micros, Units, UnitsPerSecond, MICROS_PER_SECOND};
use derive_more::{Add, Div, Mul, Sub, SubAssign, Sum};
use std::ops::{Div, Mul};

/// Time in seconds since the scheduler started, as used by the dmClock tags. Also a span of time.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Add, Sub, SubAssign)]
pub struct Seconds(pub f64);

impl Seconds {
    /// The earliest representable time.
    pub const MIN: Seconds = Seconds(f64::MIN);

    /// Returns the time from `start` to `end`.
    pub fn between(start: Micros, end: Micros) -> Seconds {
        Seconds((end - start) as f64 / MICROS_PER_SECOND)
    }

    /// Returns the later of two times.
    pub fn max(self, other: Seconds) -> Seconds {
        Seconds(self.0.max(other.0))
    }

    /// Returns the earlier of two times.
    pub fn min(self, other: Seconds) -> Seconds {
        Seconds(self.0.min(other.0))
    }
}

/// Time that it takes to serve an amount of units at a rate.
impl Div<UnitsPerSecond> for Units {
    type Output = Seconds;

    fn div(self, rate: UnitsPerSecond) -> Seconds {
        Seconds(self.0 / rate.0)
    }
}

/// Units served at a rate within a time.
impl Mul<Seconds> for UnitsPerSecond {
    type Output = Units;

    fn mul(self, time: Seconds) -> Units {
        Units(self.0 * time.0)
    }
}

/// A latency in fractional microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Add, Mul, Div, Sum)]
pub struct Latency(f64);

impl Latency {
    /// No latency.
    pub const ZERO: Latency = Latency(0.0);
    /// One microsecond.
    pub const ONE_MICROSECOND: Latency = Latency(1.0);

    /// Creates a latency from whole microseconds.
    pub fn from_micros(micros: Micros) -> Latency {
        Latency(micros as f64)
    }

    /// Returns the latency in whole microseconds; the fraction is dropped.
    pub fn to_micros(self) -> Micros {
        self.0 as Micros
    }

    /// Returns the larger of two latencies.
    pub fn max(self, other: Latency) -> Latency {
        Latency(self.0.max(other.0))
    }

    /// Returns the absolute difference of two latencies.
    pub fn abs_difference(self, other: Latency) -> Latency {
        Latency((self.0 - other.0).abs())
    }

    /// Returns the latency moved towards `sample` by the fraction `gain` (0 to 1) of their
    /// difference.
    pub fn moved_towards(self, sample: Latency, gain: f64) -> Latency {
        Latency(self.0 + gain * (sample.0 - self.0))
    }
}
