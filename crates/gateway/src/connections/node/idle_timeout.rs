//! An estimate of how long a node keeps an idle connection open, derived from resets and responses.
//!
//! The settings specify the idle timeout of the nodes. Some nodes discard the state of a connection
//! earlier and answer the next request with a TCP reset. The gateway then cannot tell whether the
//! node has executed the request. To avoid this, a connection that was idle for longer than the
//! estimate is not reused; a new one is opened instead.

use io_scheduler::Micros;

/// Minimum of the estimate, in microseconds. A reset after a shorter idle time is attributed to
/// another cause.
const MIN_IDLE_TIMEOUT: Micros = 20_000;
/// Maximum time, in microseconds, from the start of a request to a reset caused by the preceding
/// idle time. A later reset has another cause.
const MAX_RESET_DELAY: Micros = 10_000;

/// A non-idempotent request may use a connection that was idle for at most the estimate divided by
/// this. The bound is lower because such a request cannot be retried after a reset.
const NON_IDEMPOTENT_DIVISOR: Micros = 2;
/// When a connection is reset after an idle time shorter than `longest_answered_idle_time`, this
/// field is divided by this constant.
const LONGEST_ANSWERED_DIVISOR: Micros = 2;
/// Maximum of the estimate after a reset, in percent of the idle time before the request that was
/// reset.
const RESET_IDLE_PERCENT: Micros = 75;
/// A response raises the estimate if its connection was idle, before the request, for more than the
/// estimate divided by this.
const RAISE_THRESHOLD_DIVISOR: Micros = 2;
/// Each such response raises the estimate by the estimate divided by this.
const RAISE_DIVISOR: Micros = 8;

/// The estimated idle timeout of one node; see the [module](self). All times are in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct IdleTimeoutEstimate {
    /// The current estimate.
    estimate: Micros,
    /// Maximum of the estimate, from the settings.
    maximum: Micros,
    /// The longest idle time after which a request got a response, divided by
    /// [`LONGEST_ANSWERED_DIVISOR`] at each reset after a shorter idle time.
    longest_answered_idle_time: Micros,
}

impl IdleTimeoutEstimate {
    /// Creates an estimate that starts at `maximum`, the longest idle time that the settings allow.
    #[must_use]
    pub fn new(maximum: Micros) -> IdleTimeoutEstimate {
        IdleTimeoutEstimate {
            estimate: maximum,
            maximum,
            longest_answered_idle_time: 0,
        }
    }

    /// Returns the estimate: how long a connection may be idle before the gateway closes it.
    #[must_use]
    pub fn max_idle_time(&self) -> Micros {
        self.estimate
    }

    /// Returns whether an idempotent request may use a connection that was idle for this long.
    #[must_use]
    pub fn allows_idempotent(&self, idle: Micros) -> bool {
        idle <= self.estimate
    }

    /// Returns whether a non-idempotent request may use a connection that was idle for this long.
    /// The bound is lower than for idempotent requests, because such a request cannot be retried
    /// after a reset.
    #[must_use]
    pub fn allows_non_idempotent(&self, idle: Micros) -> bool {
        idle <= self.estimate / NON_IDEMPOTENT_DIVISOR
    }

    /// Records a reset that arrived `delay` after the start of a request, on a connection that had
    /// been idle for `idle` before the request.
    pub fn record_reset(&mut self, idle: Micros, delay: Micros) {
        if idle <= MIN_IDLE_TIMEOUT || delay > MAX_RESET_DELAY {
            return;
        }
        // Another request got its response after a longer idle time, so a single reset is
        // attributed to another cause. Each such reset reduces the longest answered idle time, so
        // that repeated resets eventually lower the estimate.
        if idle < self.longest_answered_idle_time {
            self.longest_answered_idle_time /= LONGEST_ANSWERED_DIVISOR;
        } else {
            let highest = idle * RESET_IDLE_PERCENT / 100;
            self.estimate = self.estimate.min(highest).max(MIN_IDLE_TIMEOUT);
        }
    }

    /// Records a response on a connection that had been idle for `idle` before the request. Raises
    /// the estimate if `idle` was a large part of it.
    pub fn record_response(&mut self, idle: Micros) {
        self.longest_answered_idle_time = self.longest_answered_idle_time.max(idle);
        if idle > self.estimate / RAISE_THRESHOLD_DIVISOR {
            let raised = self.estimate + self.estimate / RAISE_DIVISOR;
            self.estimate = raised.min(self.maximum);
        }
    }
}
