//! The gateway's timers, ordered by expiry time. The event loop handles the expired ones in every
//! turn.

use crate::connection_token::ConnectionToken;
use crate::storage_request::AttemptId;
use io_scheduler::{Micros, RequestId};
use std::collections::BTreeSet;

/// What to do when a timer expires.
///
/// Timers that expire at the same time are handled in the order of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// A timer of the dispatcher.
    Dispatcher(DispatcherTimer),
    /// Close a connection that was not established in time or has made no progress for too long.
    Connection(ConnectionToken),
    /// Close the discovery watch, on which nothing has arrived for too long.
    DiscoveryWatch,
    /// Close idle client connections during a graceful shutdown, first when its grace period ends.
    Shutdown,
    /// Resume accepting on the listeners that were paused because a connection could not be
    /// accepted.
    ResumeAccepting,
}

/// What the dispatcher does when a timer expires.
///
/// Timers that expire at the same time are handled in the order of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DispatcherTimer {
    /// Abort an attempt that has timed out.
    AttemptTimeout(AttemptId),
    /// Call the scheduler, which requested this timer by [`io_scheduler::Action::SetTimer`].
    Scheduler,
    /// Fail a request that still has no final response a short time (`OVERDUE_GRACE`) after its
    /// deadline.
    RequestOverdue(RequestId),
}

impl From<DispatcherTimer> for Timer {
    fn from(timer: DispatcherTimer) -> Timer {
        Timer::Dispatcher(timer)
    }
}

/// The pending timers, ordered by expiry time. Times are in microseconds.
#[derive(Debug, Default)]
pub struct TimerQueue {
    /// The expiry time of each timer, and the timer.
    pending: BTreeSet<(Micros, Timer)>,
}

impl TimerQueue {
    /// Sets a timer that expires at the time `at`.
    pub fn set(&mut self, at: Micros, timer: Timer) {
        self.pending.insert((at, timer));
    }

    /// Cancels a timer that was set to expire at the time `at`. Does nothing if it is not pending.
    pub fn cancel(&mut self, at: Micros, timer: Timer) {
        self.pending.remove(&(at, timer));
    }

    /// Moves a timer to `new_time`, or cancels it if `new_time` is `None`.
    ///
    /// `expires_at` is where the caller stores the expiry time of the timer, `None` while the timer
    /// is not set. The call replaces it with `new_time`.
    pub fn reschedule(
        &mut self,
        expires_at: &mut Option<Micros>,
        new_time: Option<Micros>,
        timer: Timer,
    ) {
        if let Some(at) = expires_at.take() {
            self.cancel(at, timer);
        }
        if let Some(at) = new_time {
            self.set(at, timer);
        }
        *expires_at = new_time;
    }

    /// Returns the time at which the next pending timer expires; `None` if no timer is pending.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Micros> {
        self.pending.first().map(|(at, _)| *at)
    }

    /// Removes and returns the earliest timer if it has expired by the time `now`.
    pub fn pop_expired(&mut self, now: Micros) -> Option<Timer> {
        let (at, _) = self.pending.first()?;
        if *at > now {
            return None;
        }
        self.pending.pop_first().map(|(_, timer)| timer)
    }
}
