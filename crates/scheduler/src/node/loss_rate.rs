//! How often attempts at a node end without a response.
//!
//! Inputs: served attempts and those without a response. Decided: whether a noticeable part of the
//! responses is lost, so that attempts should time out early (`attempt_timeout`).

use crate::collections::MovingFraction;

/// Weight of a new attempt in the moving average.
const LOSS_GAIN: f64 = 0.03;
/// Fraction of lost attempts above which the rate is high.
const HIGH_LOSS_RATE: f64 = 0.16;

/// Moving average of the fraction of attempts without a response.
#[derive(Default)]
pub struct LossRate {
    /// Fraction of the attempts without a response.
    lost: MovingFraction,
}

impl LossRate {
    /// Counts an attempt that ended without a response.
    pub fn record_lost(&mut self) {
        self.lost.record_hit(LOSS_GAIN);
    }

    /// Counts an attempt that was served.
    pub fn record_served(&mut self) {
        self.lost.record_miss(LOSS_GAIN);
    }

    /// Whether a noticeable part of the attempts is lost.
    pub fn is_high(&self) -> bool {
        self.lost.fraction() > HIGH_LOSS_RATE
    }
}
