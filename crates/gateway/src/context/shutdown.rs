//! State of a graceful shutdown.
//!
//! After a shutdown is requested, the gateway continues to serve for a grace period,
//! [`SHUTDOWN_GRACE`], because clients may still connect. Then it closes client connections as soon
//! as they are idle, and exits once it has been idle for [`EXIT_IDLE_TIME`].

use crate::timer_queue::{Timer, TimerQueue};
use io_scheduler::Micros;

/// How long the gateway continues to serve after the request, in microseconds, because clients may
/// not know yet that it is shutting down.
const SHUTDOWN_GRACE: Micros = 750_000;
/// How long the gateway must be idle before it exits, in microseconds. A client that sent a request
/// just as its connection was closed repeats the request on a new connection, which the gateway
/// must still accept.
pub(crate) const EXIT_IDLE_TIME: Micros = 100_000;

/// Progress of a graceful shutdown.
#[derive(Debug, Default)]
pub(crate) struct Shutdown {
    /// Whether a shutdown was requested.
    is_requested: bool,
    /// Whether the grace period is over.
    is_closing_clients: bool,
    /// Time since which the gateway has been idle, that is, without client connections and open
    /// requests; `None` while it is not idle or the grace period lasts.
    idle_since: Option<Micros>,
}

impl Shutdown {
    /// Starts the grace period. Has no effect if a shutdown was already requested.
    pub(crate) fn request(&mut self, now: Micros, timers: &mut TimerQueue) {
        if self.is_requested {
            return;
        }
        log::info!("shutdown requested: exiting once no client connection and no request is open");
        self.is_requested = true;
        timers.set(now + SHUTDOWN_GRACE, Timer::Shutdown);
    }

    /// Returns whether a shutdown was requested.
    pub(crate) fn is_requested(&self) -> bool {
        self.is_requested
    }

    /// Returns whether client connections are closed as soon as they are idle.
    pub(crate) fn is_closing_clients(&self) -> bool {
        self.is_closing_clients
    }

    /// Records that idle client connections are being closed. Returns how long a client connection
    /// must have been idle to be closed now, in microseconds: 0 at the first call, and
    /// [`EXIT_IDLE_TIME`] later, so that new connections have time to send a request.
    pub(crate) fn start_or_continue_closing_clients(&mut self) -> Micros {
        let was_closing_clients = std::mem::replace(&mut self.is_closing_clients, true);
        if !was_closing_clients {
            log::info!("shutdown: closing idle client connections from now on");
        }
        if was_closing_clients {
            EXIT_IDLE_TIME
        } else {
            0
        }
    }

    /// Returns the time at which the gateway will have been idle for long enough to exit; `None` if
    /// it is not idle.
    pub(crate) fn completes_at(&self) -> Option<Micros> {
        self.idle_since.map(|since| since + EXIT_IDLE_TIME)
    }

    /// Records that the gateway is not idle.
    pub(crate) fn record_busy(&mut self) {
        self.idle_since = None;
    }

    /// Records that the gateway is idle. Returns whether it has been idle for long enough to exit.
    pub(crate) fn record_idle(&mut self, now: Micros) -> bool {
        let idle_since = *self.idle_since.get_or_insert(now);
        now - idle_since >= EXIT_IDLE_TIME
    }
}
