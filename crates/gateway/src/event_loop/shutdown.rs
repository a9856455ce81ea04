//! Graceful shutdown.
//!
//! After the request everything goes on unchanged for a grace period, as clients may still connect. Then the
//! gateway drains: idle connections are closed, and it ends once it has been idle for a while.

use crate::timer_queue::{Timer, TimerQueue};
use io_scheduler::Micros;

/// How long everything goes on unchanged after SIGTERM: new connections may still come.
const SHUTDOWN_GRACE: Micros = 750_000;
/// How long the gateway must have been idle before it ends. A request that crossed the closing of its
/// connection is sent again on a new one, and would be lost in the listener's queue.
pub(super) const DRAIN_GRACE: Micros = 100_000;

/// Progress of a graceful shutdown.
#[derive(Debug, Default)]
pub(crate) struct Shutdown {
    is_requested: bool,
    /// Whether the grace period is over.
    is_draining: bool,
    /// Since when there is no client connection and no open request while draining.
    idle_since: Option<Micros>,
}

impl Shutdown {
    /// Starts the grace period; further requests change nothing.
    pub(super) fn request(&mut self, now: Micros, timers: &mut TimerQueue) {
        if !self.is_requested {
            log::info!("shutdown requested: serving until idle");
            self.is_requested = true;
            timers.set(now + SHUTDOWN_GRACE, Timer::Shutdown);
        }
    }

    /// Whether a shutdown was requested.
    pub(super) fn is_requested(&self) -> bool {
        self.is_requested
    }

    /// Whether connections are closed as soon as they are idle.
    pub(crate) fn is_draining(&self) -> bool {
        self.is_draining
    }

    /// Begins or goes on to drain. Returns how long a connection must have been idle to be closed now: the
    /// first time every idle one is, later those that were opened since and stay idle.
    pub(super) fn drain(&mut self) -> Micros {
        let min_idle_time = if self.is_draining { DRAIN_GRACE } else { 0 };
        self.is_draining = true;
        min_idle_time
    }

    /// When the gateway has been idle for long enough, if it is idle.
    pub(super) fn completes_at(&self) -> Option<Micros> {
        self.idle_since.map(|since| since + DRAIN_GRACE)
    }

    /// The gateway is not idle.
    pub(super) fn note_busy(&mut self) {
        self.idle_since = None;
    }

    /// The gateway is idle; returns whether it has been so for long enough.
    pub(super) fn note_idle(&mut self, now: Micros) -> bool {
        let idle_since = *self.idle_since.get_or_insert(now);
        now - idle_since >= DRAIN_GRACE
    }
}
