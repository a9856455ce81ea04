//! Time, service and rates in the interface.
//!
//! A service unit measures the size of a request. Units and rates have types of their own, so that
//! neither is taken for the other, for a time or for a plain factor.

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
    /// No service.
    pub const ZERO: Units = Units(0.0);

    /// The greater of two amounts.
    #[must_use]
    pub fn max(self, other: Units) -> Units {
        Units(self.0.max(other.0))
    }

    /// The smaller of two amounts.
    #[must_use]
    pub fn min(self, other: Units) -> Units {
        Units(self.0.min(other.0))
    }

    /// The amount as a multiple of another.
    #[must_use]
    pub fn ratio_to(self, other: Units) -> f64 {
        self.0 / other.0
    }
}

/// A rate of service, in units a second.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Add, Mul, Div, Sum)]
pub struct UnitsPerSecond(pub f64);

impl UnitsPerSecond {
    /// The greater of two rates.
    #[must_use]
    pub fn max(self, other: UnitsPerSecond) -> UnitsPerSecond {
        UnitsPerSecond(self.0.max(other.0))
    }

    /// Whether the rate is above zero; a reservation or limit of zero stands for none.
    #[must_use]
    pub fn is_positive(self) -> bool {
        self.0 > 0.0
    }

    /// The service within a span of time at this rate.
    #[must_use]
    pub fn units_within(self, span: Micros) -> Units {
        Units(self.0 * span as f64 / MICROS_PER_SECOND)
    }
}
