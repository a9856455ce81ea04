//! Limits how many retries this host may dispatch.
//!
//! The settings allow a fixed number of retries within a sliding window (microseconds), plus a
//! number proportional to the requests received in that window.

use crate::api::{Micros, RetryBudget};
use crate::collections::SlidingWindow;

/// Time in microseconds by which the window for requests is shorter than the one for retries. At
/// the age of exactly one window, a retry still counts and a request no longer does; both
/// make the budget stricter.
const REQUEST_WINDOW_MARGIN: Micros = 1;

/// The retry budget and its usage.
pub struct RetryBudgetUsage {
    /// The budget; `None` if retries are not limited.
    budget: Option<RetryBudget>,
    /// Requests received within the window.
    recent_requests: SlidingWindow<()>,
    /// Retries dispatched within the window.
    recent_retries: SlidingWindow<()>,
}

impl RetryBudgetUsage {
    /// Creates an unused budget.
    pub fn new(budget: Option<RetryBudget>) -> Self {
        RetryBudgetUsage {
            budget,
            recent_requests: SlidingWindow::default(),
            recent_retries: SlidingWindow::default(),
        }
    }

    /// Records a received request.
    pub fn record_request(&mut self, now: Micros) {
        if let Some(budget) = &self.budget {
            self.recent_requests.record((), budget.window, now);
        }
    }

    /// Records a dispatched retry.
    pub fn record_retry(&mut self, now: Micros) {
        if let Some(budget) = &self.budget {
            self.recent_retries.record((), budget.window, now);
        }
    }

    /// Returns whether one more retry is within the budget.
    pub fn allows_retry(&self, now: Micros) -> bool {
        let Some(budget) = &self.budget else {
            return true;
        };
        let request_window = budget.window - REQUEST_WINDOW_MARGIN;
        let requests = self.recent_requests.count_within(request_window, now);
        let retries = self.recent_retries.count_within(budget.window, now);
        let retries_with_this_one = (retries + 1) as f64;
        retries_with_this_one <= budget.allowance + budget.ratio * requests as f64
    }
}
