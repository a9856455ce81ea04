//! Tracks how often attempts at a node end without a response.
//!
//! Served attempts and attempts without a response are counted. If the loss rate is high, attempts
//! at the node may time out early (`attempt_timeout`).

use crate::collections::MovingAverageFraction;

/// Weight of a new attempt in the moving average.
const LOSS_GAIN: f64 = 0.03;
/// The loss rate is high if more than this fraction of the attempts is lost.
const HIGH_LOSS_RATE: f64 = 0.16;

/// Loss rate of one node.
#[derive(Default)]
pub struct LossRate {
    /// Moving average of the fraction of attempts without a response.
    lost: MovingAverageFraction,
}

impl LossRate {
    /// Records an attempt that ended without a response.
    pub fn record_lost(&mut self) {
        self.lost.record_occurrence(LOSS_GAIN);
    }

    /// Records an attempt that was served.
    pub fn record_served(&mut self) {
        self.lost.record_non_occurrence(LOSS_GAIN);
    }

    /// Returns whether the loss rate is above [`HIGH_LOSS_RATE`].
    pub fn is_high(&self) -> bool {
        self.lost.fraction() > HIGH_LOSS_RATE
    }
}
