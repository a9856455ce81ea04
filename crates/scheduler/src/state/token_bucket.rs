//! A token bucket: refilled at a steady rate up to its capacity.

use crate::api::Micros;

/// The level of a bucket; rate and capacity may change between calls.
#[derive(Default)]
pub struct TokenBucket {
    tokens: f64,
    refilled_at: Micros,
}

impl TokenBucket {
    /// A bucket that is empty at a time.
    pub fn empty(now: Micros) -> Self {
        TokenBucket { tokens: 0.0, refilled_at: now }
    }

    /// Tokens in it at a time; `rate` is in tokens a second.
    pub fn level(&self, rate: f64, capacity: f64, now: Micros) -> f64 {
        let refilled = self.tokens + rate * (now - self.refilled_at) as f64 / 1e6;
        refilled.min(capacity)
    }

    /// Sets the level at a time.
    pub fn set(&mut self, tokens: f64, now: Micros) {
        self.tokens = tokens;
        self.refilled_at = now;
    }

    /// When its level was last set.
    pub fn last_set(&self) -> Micros {
        self.refilled_at
    }
}
