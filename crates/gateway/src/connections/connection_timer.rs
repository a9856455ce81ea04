//! The timer of one connection.

use crate::connection_token::ConnectionToken;
use crate::timer_queue::{Timer, TimerQueue};
use io_scheduler::Micros;

/// The [`Timer::Connection`] of one connection. Depending on the state of the connection it is a
/// connect timeout, an idle timeout, or another of its timeouts.
#[derive(Debug)]
pub(crate) struct ConnectionTimer {
    /// Token of the connection, which identifies the timer in the queue.
    token: ConnectionToken,
    /// When the timer expires; `None` if it is not set.
    expires_at: Option<Micros>,
}

impl ConnectionTimer {
    /// Creates the timer of the connection with this token. It is not set.
    pub(crate) fn new(token: ConnectionToken) -> ConnectionTimer {
        ConnectionTimer {
            token,
            expires_at: None,
        }
    }

    /// Sets the timer to expire at `at`, or cancels it if `at` is `None`.
    pub(crate) fn set(&mut self, at: Option<Micros>, timers: &mut TimerQueue) {
        if at != self.expires_at {
            timers.reschedule(&mut self.expires_at, at, Timer::Connection(self.token));
        }
    }

    /// Cancels the timer, if it is set.
    pub(crate) fn cancel(&mut self, timers: &mut TimerQueue) {
        self.set(None, timers);
    }

    /// Records that the timer has expired and was removed from the queue.
    pub(crate) fn mark_expired(&mut self) {
        self.expires_at = None;
    }
}
