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
    pub fn limit(&self) -> Micros {
        self.estimate
    }

    /// Whether a connection may be used after it was idle for this long. A request that is not `repeatable`
    /// must not run twice: it trusts a connection for half the time only.
    #[must_use]
    pub fn trusts(&self, idle: Micros, repeatable: bool) -> bool {
        let limit = if repeatable { self.estimate } else { self.estimate / 2 };
        idle <= limit
    }

    /// The connection was reset `after` a request was started on it that followed `idle` time.
    pub fn was_reset(&mut self, idle: Micros, after: Micros) {
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
    pub fn was_good(&mut self, idle: Micros) {
        self.longest_answered = self.longest_answered.max(idle);
        if idle > self.estimate / 2 {
            self.estimate = (self.estimate + self.estimate / 8).min(self.maximum);
        }
    }
}
