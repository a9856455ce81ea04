//! The timers of the gateway, sorted by time. The event loop handles the expired ones in every
//! turn.

use crate::connection_token::ConnectionToken;
use crate::storage_request::AttemptId;
use io_scheduler::{Micros, RequestId};
use std::collections::BTreeSet;

/// What to do when a timer expires.
///
/// Timers that are set for the same time expire in the order of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// A timer of the dispatcher.
    Dispatcher(DispatcherTimer),
    /// Close a connection that has not been established in time or has made no progress for too
    /// long.
    Connection(ConnectionToken),
    /// Close the watch on the discovery service, on which nothing has arrived for too long.
    DiscoveryWatch,
    /// Take the next step of the graceful shutdown.
    Shutdown,
    /// Accept connections again after the process ran out of file descriptors.
    ResumeAccepting,
}

/// What the dispatcher does when a timer expires.
///
/// Timers that are set for the same time expire in the order of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DispatcherTimer {
    /// Abort an attempt that has timed out.
    AttemptTimeout(AttemptId),
    /// Call the scheduler, which has set this timer by [`io_scheduler::Action::SetTimer`].
    Scheduler,
    /// Fail a request that has no final response some time after its deadline.
    RequestOverdue(RequestId),
}

impl From<DispatcherTimer> for Timer {
    fn from(timer: DispatcherTimer) -> Timer {
        Timer::Dispatcher(timer)
    }
}

/// The pending timers in the order of their times, in microseconds.
#[derive(Debug, Default)]
pub struct TimerQueue {
    /// The timers, each with the time for which it is set.
    pending: BTreeSet<(Micros, Timer)>,
}

impl TimerQueue {
    /// Sets a timer for the time `at`.
    pub fn set(&mut self, at: Micros, timer: Timer) {
        self.pending.insert((at, timer));
    }

    /// Cancels a timer that was set for the time `at`. Has no effect if it is not pending.
    pub fn cancel(&mut self, at: Micros, timer: Timer) {
        self.pending.remove(&(at, timer));
    }

    /// Moves a timer to `new_time`, or cancels it if that is `None`.
    ///
    /// `set_for` is where the caller stores the time for which the timer is set, `None` if it is
    /// not set. The call replaces it by `new_time`.
    pub fn reschedule(
        &mut self,
        set_for: &mut Option<Micros>,
        new_time: Option<Micros>,
        timer: Timer,
    ) {
        if let Some(at) = set_for.take() {
            self.cancel(at, timer);
        }
        if let Some(at) = new_time {
            self.set(at, timer);
        }
        *set_for = new_time;
    }

    /// The time of the first pending timer.
    #[must_use]
    pub fn next(&self) -> Option<Micros> {
        self.pending.first().map(|(at, _)| *at)
    }

    /// Removes and returns the first timer if it has expired at the time `now`.
    pub fn pop_expired(&mut self, now: Micros) -> Option<Timer> {
        let (at, _) = self.pending.first()?;
        if *at > now {
            return None;
        }
        self.pending.pop_first().map(|(_, timer)| timer)
    }
}
