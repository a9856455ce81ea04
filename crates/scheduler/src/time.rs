//! Times with fractions: the seconds of dmClock's tags, and latencies.
//!
//! Events and timers use whole [`Micros`]. The conversions between the three stand here and nowhere
//! else.

use crate::api::{Micros, Units, UnitsPerSecond, MICROS_PER_SECOND};
use derive_more::{Add, Div, Mul, Sub, SubAssign, Sum};
use std::ops::{Div, Mul};

/// Time in seconds on the axis of dmClock's tags, which begins when the scheduler starts.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Add, Sub, SubAssign)]
pub struct Seconds(pub f64);

impl Seconds {
    /// Before every other time.
    pub const MIN: Seconds = Seconds(f64::MIN);

    /// The span from `start` to `end`.
    pub fn between(start: Micros, end: Micros) -> Seconds {
        Seconds((end - start) as f64 / MICROS_PER_SECOND)
    }

    /// The later of two times.
    pub fn max(self, other: Seconds) -> Seconds {
        Seconds(self.0.max(other.0))
    }

    /// The earlier of two times.
    pub fn min(self, other: Seconds) -> Seconds {
        Seconds(self.0.min(other.0))
    }
}

/// The time that an amount of service takes at a rate.
impl Div<UnitsPerSecond> for Units {
    type Output = Seconds;

    fn div(self, rate: UnitsPerSecond) -> Seconds {
        Seconds(self.0 / rate.0)
    }
}

/// The service within a time at a rate.
impl Mul<Seconds> for UnitsPerSecond {
    type Output = Units;

    fn mul(self, time: Seconds) -> Units {
        Units(self.0 * time.0)
    }
}

/// A latency, in microseconds with fractions.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Add, Mul, Div, Sum)]
pub struct Latency(f64);

impl Latency {
    /// No latency.
    pub const ZERO: Latency = Latency(0.0);
    /// One microsecond.
    pub const ONE_MICROSECOND: Latency = Latency(1.0);

    /// A latency of whole microseconds.
    pub fn from_micros(micros: Micros) -> Latency {
        Latency(micros as f64)
    }

    /// The whole microseconds of the latency.
    pub fn to_micros(self) -> Micros {
        self.0 as Micros
    }

    /// The greater of two latencies.
    pub fn max(self, other: Latency) -> Latency {
        Latency(self.0.max(other.0))
    }

    /// The absolute difference of two latencies.
    pub fn abs_difference(self, other: Latency) -> Latency {
        Latency((self.0 - other.0).abs())
    }

    /// Moves the latency towards a sample by `gain`, a fraction from 0 to 1.
    pub fn moved_towards(self, sample: Latency, gain: f64) -> Latency {
        Latency(self.0 + gain * (sample.0 - self.0))
    }
}
