//! Graceful shutdown.
//!
//! After the request the gateway serves unchanged for a grace period, [`SHUTDOWN_GRACE`], as
//! clients may still connect. Then it drains: client connections are closed as soon as they are
//! idle, and the gateway ends once it has been idle for [`EXIT_IDLE_TIME`].

use crate::timer_queue::{Timer, TimerQueue};
use io_scheduler::Micros;

/// How long, in microseconds, the gateway serves unchanged after the request: clients may not know
/// yet that it ends.
const SHUTDOWN_GRACE: Micros = 750_000;
/// How long, in microseconds, the gateway must be idle before it ends. A client whose request
/// crossed the close of its connection on the wire repeats it on a new connection, which the
/// gateway must still accept.
pub(crate) const EXIT_IDLE_TIME: Micros = 100_000;

/// Progress of a graceful shutdown.
#[derive(Debug, Default)]
pub(crate) struct Shutdown {
    /// Whether a shutdown was requested.
    is_requested: bool,
    /// Whether the grace period is over.
    is_draining: bool,
    /// Since when there is no client connection and no open request while draining.
    idle_since: Option<Micros>,
}

impl Shutdown {
    /// Starts the grace period; further requests change nothing.
    pub(crate) fn request(&mut self, now: Micros, timers: &mut TimerQueue) {
        if self.is_requested {
            return;
        }
        log::info!("shutdown requested: serving until idle");
        self.is_requested = true;
        timers.set(now + SHUTDOWN_GRACE, Timer::Shutdown);
    }

    /// Whether a shutdown was requested.
    pub(crate) fn is_requested(&self) -> bool {
        self.is_requested
    }

    /// Whether connections are closed as soon as they are idle.
    pub(crate) fn is_draining(&self) -> bool {
        self.is_draining
    }

    /// Starts draining; further calls change nothing. Returns for how many microseconds a client
    /// connection must have been idle to be closed now: 0 when draining starts, later
    /// [`EXIT_IDLE_TIME`], so that new connections have time to send a request.
    pub(crate) fn start_draining(&mut self) -> Micros {
        let was_draining = std::mem::replace(&mut self.is_draining, true);
        if was_draining {
            EXIT_IDLE_TIME
        } else {
            0
        }
    }

    /// When the gateway will have been idle for long enough to end; `None` if it is not idle.
    pub(crate) fn completes_at(&self) -> Option<Micros> {
        self.idle_since.map(|since| since + EXIT_IDLE_TIME)
    }

    /// Records that the gateway is not idle.
    pub(crate) fn note_busy(&mut self) {
        self.idle_since = None;
    }

    /// Records that the gateway is idle; returns whether it has been so for long enough to end.
    pub(crate) fn note_idle(&mut self, now: Micros) -> bool {
        let idle_since = *self.idle_since.get_or_insert(now);
        now - idle_since >= EXIT_IDLE_TIME
    }
}
