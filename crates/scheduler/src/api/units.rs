//! Types for time, service and rates.
//!
//! A service unit measures the size of a request. Units and rates are separate types, so that they
//! cannot be confused with each other, with a time or with a plain factor.

use derive_more::{Add, AddAssign, Div, Mul, Sub, SubAssign, Sum};

/// A point in time or a span of time, in microseconds of the caller's clock.
pub type Micros = i64;

/// Microseconds in a second.
pub(crate) const MICROS_PER_SECOND: f64 = 1e6;

/// An amount of service, in units.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    PartialOrd,
    Add,
    AddAssign,
    Sub,
    SubAssign,
    Mul,
    Div,
    Sum,
)]
pub struct Units(pub f64);

impl Units {
    /// Zero units.
    pub const ZERO: Units = Units(0.0);

    /// Returns the larger of two amounts.
    #[must_use]
    pub fn max(self, other: Units) -> Units {
        Units(self.0.max(other.0))
    }

    /// Returns the smaller of two amounts.
    #[must_use]
    pub fn min(self, other: Units) -> Units {
        Units(self.0.min(other.0))
    }

    /// Returns the amount as a multiple of `other`.
    #[must_use]
    pub fn ratio_to(self, other: Units) -> f64 {
        self.0 / other.0
    }
}

/// A service rate in units per second.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Add, Mul, Div, Sum)]
pub struct UnitsPerSecond(pub f64);

impl UnitsPerSecond {
    /// Returns the larger of two rates.
    #[must_use]
    pub fn max(self, other: UnitsPerSecond) -> UnitsPerSecond {
        UnitsPerSecond(self.0.max(other.0))
    }

    /// Returns whether the rate is above zero. A reservation or limit of zero means that there is
    /// none.
    #[must_use]
    pub fn is_positive(self) -> bool {
        self.0 > 0.0
    }

    /// Returns the units served at this rate within a span of time.
    #[must_use]
    pub fn units_within(self, span: Micros) -> Units {
        Units(self.0 * span as f64 / MICROS_PER_SECOND)
    }
}
