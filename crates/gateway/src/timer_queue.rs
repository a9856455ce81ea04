//! The timers of the whole program, sorted by time; the event loop takes the expired ones in every turn.

use crate::connections::ConnectionToken;
use io_scheduler::{Micros, RequestId};
use std::collections::BTreeSet;

/// One attempt of a request at a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// Number of the attempt within its request, from 0.
    pub number: u32,
}

/// What to do when a timer expires.
///
/// Timers that expire at the same time are taken in the order of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// Give an attempt up. Sorts before [`Timer::Scheduler`]: the scheduler learns of the timeout in the
    /// same turn.
    AttemptTimeout(AttemptId),
    /// Call the scheduler, which asked for it with [`io_scheduler::Action::SetTimer`].
    Scheduler,
    /// Fail a request that has no final response although its deadline has passed.
    RequestOverdue(RequestId),
    /// Close a connection that has not been established in time or has been idle for too long.
    Connection(ConnectionToken),
    /// End the watch on the discovery service, which has been silent for too long.
    DiscoveryWatch,
    /// Take the next step of the graceful shutdown.
    Shutdown,
    /// Accept connections again after the process ran out of file descriptors.
    ResumeAccepting,
}

/// Pending timers in the order of their time.
#[derive(Debug, Default)]
pub struct TimerQueue {
    pending: BTreeSet<(Micros, Timer)>,
}

impl TimerQueue {
    /// Sets a timer for the time `at`.
    pub fn set(&mut self, at: Micros, timer: Timer) {
        self.pending.insert((at, timer));
    }

    /// Cancels a timer that was set for the time `at`; without effect if it is not pending.
    pub fn cancel(&mut self, at: Micros, timer: Timer) {
        self.pending.remove(&(at, timer));
    }

    /// Moves a timer from the time in `set_for`, if it is set, to `new_time`, and notes the new time there.
    /// Without a `new_time` the timer is only cancelled.
    pub fn reschedule(&mut self, set_for: &mut Option<Micros>, new_time: Option<Micros>, timer: Timer) {
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

    /// Removes and returns the first timer whose time has come.
    pub fn pop_expired(&mut self, now: Micros) -> Option<Timer> {
        let (at, _) = self.pending.first()?;
        if *at > now {
            return None;
        }
        self.pending.pop_first().map(|(_, timer)| timer)
    }
}
