//! An estimate of how long a node keeps an idle connection, learned from resets and answers.
//!
//! The settings state when a node closes such a connection at the latest. Some nodes forget it sooner and
//! reset the next request, which may then have run. A request that would follow a longer idle time goes out
//! on a new connection.

use io_scheduler::Micros;

/// The estimate never falls below this: a reset after so short an idle time has another cause.
const MIN_IDLE_TIMEOUT: Micros = 20_000;
/// A reset later than this after a request was written is not caused by the idle time before the request.
const MAX_RESET_DELAY: Micros = 10_000;

/// The estimated idle timeout of one node; see the module.
#[derive(Clone, Copy, Debug)]
pub struct IdleTimeoutEstimate {
    estimate: Micros,
    /// The longest idle time that the settings allow.
    maximum: Micros,
    /// The longest recent idle time after which a request was answered.
    longest_answered: Micros,
}

impl IdleTimeoutEstimate {
    /// Starts with `maximum`, the longest idle time that the settings allow.
    #[must_use]
    pub fn new(maximum: Micros) -> IdleTimeoutEstimate {
        IdleTimeoutEstimate { estimate: maximum, maximum, longest_answered: 0 }
    }

    /// How long an idle connection is kept open by the gateway.
    #[must_use]
    pub fn idle_timeout(&self) -> Micros {
        self.estimate
    }

    /// Whether a request that may run twice can use a connection that was idle for this long.
    #[must_use]
    pub fn allows_repeatable(&self, idle: Micros) -> bool {
        idle <= self.estimate
    }

    /// Whether a request that must not run twice can use a connection that was idle for this long: half of the
    /// estimate, for safety.
    #[must_use]
    pub fn allows_non_repeatable(&self, idle: Micros) -> bool {
        idle <= self.estimate / 2
    }

    /// The connection was reset `after` a request was started on it that followed `idle` time.
    pub fn record_reset(&mut self, idle: Micros, after: Micros) {
        if idle <= MIN_IDLE_TIMEOUT || after > MAX_RESET_DELAY {
            return;
        }
        // Longer idle times did no harm: a single reset has another cause, repeated ones have not.
        if idle < self.longest_answered {
            self.longest_answered /= 2;
        } else {
            self.estimate = self.estimate.min(idle * 3 / 4).max(MIN_IDLE_TIMEOUT);
        }
    }

    /// A request that followed `idle` time was answered: the estimate rises a little if that was near it.
    pub fn record_response(&mut self, idle: Micros) {
        self.longest_answered = self.longest_answered.max(idle);
        if idle > self.estimate / 2 {
            self.estimate = (self.estimate + self.estimate / 8).min(self.maximum);
        }
    }
}
