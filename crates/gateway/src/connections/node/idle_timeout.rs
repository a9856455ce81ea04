//! An estimate of how long a node keeps an idle connection open, learned from resets and
//! responses.
//!
//! The settings state the node's idle timeout. Some nodes drop the state of a connection earlier
//! and answer the next request with a TCP reset, after which the gateway cannot know whether the
//! request has run. So a connection that was idle for longer than the estimate is not used again:
//! a new one is opened instead.

use io_scheduler::Micros;

/// Lower bound of the estimate, in microseconds. A reset after a shorter idle time is put down to
/// another cause.
const MIN_IDLE_TIMEOUT: Micros = 20_000;
/// A reset that comes later than this, in microseconds, after the start of a request is not caused
/// by the idle time before it.
const MAX_RESET_DELAY: Micros = 10_000;

/// A non-idempotent request may use a connection that was idle for at most the estimate divided by
/// this: such a request cannot be retried after a reset.
const NON_IDEMPOTENT_DIVISOR: Micros = 2;
/// A reset that is put down to another cause divides the longest answered idle time by this.
const CONTRADICTED_DIVISOR: Micros = 2;
/// The highest estimate after a reset, in percent of the idle time before the request.
const AFTER_RESET_PERCENT: Micros = 75;
/// A response raises the estimate if the idle time before its request was more than the estimate
/// divided by this.
const RAISING_RESPONSE_DIVISOR: Micros = 2;
/// A response raises the estimate by the estimate divided by this.
const RAISE_DIVISOR: Micros = 8;

/// The estimated idle timeout of one node; see the [module](self). All times are in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct IdleTimeoutEstimate {
    /// The current estimate.
    estimate: Micros,
    /// Upper bound of the estimate, from the settings.
    maximum: Micros,
    /// The longest idle time after which a request got its response; lowered after a reset
    /// that contradicts it.
    longest_answered: Micros,
}

impl IdleTimeoutEstimate {
    /// Starts with `maximum`, the longest idle time that the settings allow.
    #[must_use]
    pub fn new(maximum: Micros) -> IdleTimeoutEstimate {
        IdleTimeoutEstimate {
            estimate: maximum,
            maximum,
            longest_answered: 0,
        }
    }

    /// The estimate: for how long a connection may be idle before the gateway closes it.
    #[must_use]
    pub fn max_idle_time(&self) -> Micros {
        self.estimate
    }

    /// Whether an idempotent request can use a connection that was idle for this long.
    #[must_use]
    pub fn allows_idempotent(&self, idle: Micros) -> bool {
        idle <= self.estimate
    }

    /// Whether a non-idempotent request can use a connection that was idle for this long. The
    /// bound is lower, as such a request cannot be retried after a reset.
    #[must_use]
    pub fn allows_non_idempotent(&self, idle: Micros) -> bool {
        idle <= self.estimate / NON_IDEMPOTENT_DIVISOR
    }

    /// Records a reset: it came `after` the start of a request on a connection that had been idle
    /// for `idle`.
    pub fn record_reset(&mut self, idle: Micros, after: Micros) {
        if idle <= MIN_IDLE_TIMEOUT || after > MAX_RESET_DELAY {
            return;
        }
        // A request got its response after a longer idle time, so a single reset is put down to
        // another cause. Each such reset lowers the contrary evidence: repeated resets lower the
        // estimate in the end.
        if idle < self.longest_answered {
            self.longest_answered /= CONTRADICTED_DIVISOR;
        } else {
            let highest = idle * AFTER_RESET_PERCENT / 100;
            self.estimate = self.estimate.min(highest).max(MIN_IDLE_TIMEOUT);
        }
    }

    /// Records a response to a request on a connection that had been idle for `idle`. The estimate
    /// rises if that was a large part of it.
    pub fn record_response(&mut self, idle: Micros) {
        self.longest_answered = self.longest_answered.max(idle);
        if idle > self.estimate / RAISING_RESPONSE_DIVISOR {
            let raised = self.estimate + self.estimate / RAISE_DIVISOR;
            self.estimate = raised.min(self.maximum);
        }
    }
}
