//! Requests and retries of late, for the retry budget.

use super::SlidingWindow;
use crate::api::Micros;

/// Counts requests and retries within a sliding window.
pub struct RetryHistory {
    window: Micros,
    requests: SlidingWindow<()>,
    retries: SlidingWindow<()>,
}

impl RetryHistory {
    /// An empty history with the given window.
    pub fn new(window: Micros) -> Self {
        RetryHistory { window, requests: SlidingWindow::default(), retries: SlidingWindow::default() }
    }

    /// Counts a request received.
    pub fn record_request(&mut self, now: Micros) {
        self.requests.record((), self.window, now);
    }

    /// Counts an attempt beyond a request's first.
    pub fn record_retry(&mut self, now: Micros) {
        self.retries.record((), self.window, now);
    }

    /// Requests within the window, its far end left out.
    pub fn requests(&self, now: Micros) -> usize {
        self.requests.within(self.window - 1, now).count()
    }

    /// Retries within the window, its far end included.
    pub fn retries(&self, now: Micros) -> usize {
        self.retries.within(self.window, now).count()
    }
}
