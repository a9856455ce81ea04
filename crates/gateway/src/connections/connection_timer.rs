//! The timer of one connection.

use crate::connection_token::ConnectionToken;
use crate::timer_queue::{Timer, TimerQueue};
use io_scheduler::Micros;

/// The [`Timer::Connection`] of one connection. What it stands for depends on the state of the
/// connection: a connect timeout, an idle timeout or the like.
#[derive(Debug)]
pub(crate) struct ConnectionTimer {
    /// Token of the connection.
    token: ConnectionToken,
    /// The time for which it is set, if it is set.
    expires_at: Option<Micros>,
}

impl ConnectionTimer {
    /// The timer of the connection with this token; it is not set.
    pub(crate) fn new(token: ConnectionToken) -> ConnectionTimer {
        ConnectionTimer {
            token,
            expires_at: None,
        }
    }

    /// Sets the timer for another time, or cancels it if that is `None`.
    pub(crate) fn set(&mut self, at: Option<Micros>, timers: &mut TimerQueue) {
        if at != self.expires_at {
            timers.reschedule(&mut self.expires_at, at, Timer::Connection(self.token));
        }
    }

    /// Cancels the timer, if it is set.
    pub(crate) fn cancel(&mut self, timers: &mut TimerQueue) {
        self.set(None, timers);
    }

    /// Records that the timer has expired and is no longer in the queue.
    pub(crate) fn note_expired(&mut self) {
        self.expires_at = None;
    }
}
