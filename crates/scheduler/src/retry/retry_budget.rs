//! How many retries this host may dispatch.
//!
//! Inputs: the requests received and the retries dispatched within a sliding window (microseconds).
//! The settings allow a fixed number of retries, and more in proportion to the requests.

use crate::api::{Micros, RetryBudget};
use crate::collections::SlidingWindow;

/// Time in microseconds by which the window is shorter for requests than for retries: an entry
/// exactly one window old counts as a retry but not as a request, the stricter reading of the
/// window's end.
const REQUEST_WINDOW_MARGIN: Micros = 1;

/// What of the retry budget is in use.
pub struct RetryBudgetUsage {
    /// `None` where retries are not limited.
    budget: Option<RetryBudget>,
    /// Requests received within the window.
    recent_requests: SlidingWindow<()>,
    /// Retries dispatched within the window.
    recent_retries: SlidingWindow<()>,
}

impl RetryBudgetUsage {
    /// An unused budget.
    pub fn new(budget: Option<RetryBudget>) -> Self {
        RetryBudgetUsage {
            budget,
            recent_requests: SlidingWindow::default(),
            recent_retries: SlidingWindow::default(),
        }
    }

    /// Counts a request that was received.
    pub fn record_request(&mut self, now: Micros) {
        if let Some(budget) = &self.budget {
            self.recent_requests.record((), budget.window, now);
        }
    }

    /// Counts a retry that is dispatched.
    pub fn record_retry(&mut self, now: Micros) {
        if let Some(budget) = &self.budget {
            self.recent_retries.record((), budget.window, now);
        }
    }

    /// Whether one more retry is within the budget.
    pub fn allows_retry(&self, now: Micros) -> bool {
        let Some(budget) = &self.budget else {
            return true;
        };
        let request_window = budget.window - REQUEST_WINDOW_MARGIN;
        let requests = self.recent_requests.within(request_window, now).count();
        let retries = self.recent_retries.within(budget.window, now).count();
        let retries_with_this_one = (retries + 1) as f64;
        retries_with_this_one <= budget.allowance + budget.ratio * requests as f64
    }
}
