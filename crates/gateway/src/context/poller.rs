//! Waits for file descriptors to become ready, with level-triggered epoll.

use super::clock::MICROS_PER_SECOND;
use crate::connection_token::ConnectionToken;
use io_scheduler::Micros;
use rustix::event::epoll::{self, Event, EventData, EventFlags};
use rustix::event::Timespec;
use rustix::fd::{AsFd, OwnedFd};
use rustix::io::Errno;
use std::io;

/// Nanoseconds per microsecond.
const NANOS_PER_MICROSECOND: Micros = 1_000;

/// An epoll instance. It reports each descriptor with the token that was passed when it was
/// registered.
#[derive(Debug)]
pub(crate) struct Poller {
    /// The epoll instance.
    epoll: OwnedFd,
}

impl Poller {
    /// Creates an epoll instance.
    pub(crate) fn new() -> io::Result<Poller> {
        let epoll = epoll::create(epoll::CreateFlags::CLOEXEC)?;
        Ok(Poller { epoll })
    }

    /// Registers a descriptor. The given `events` are reported until [`Self::modify`] changes them
    /// or the descriptor is closed.
    pub(super) fn register(
        &self,
        descriptor: impl AsFd,
        token: ConnectionToken,
        events: EventFlags,
    ) -> io::Result<()> {
        Ok(epoll::add(
            &self.epoll,
            descriptor,
            event_data(token),
            events,
        )?)
    }

    /// Changes the events that are reported for a registered descriptor.
    pub(crate) fn modify(
        &self,
        descriptor: impl AsFd,
        token: ConnectionToken,
        events: EventFlags,
    ) -> io::Result<()> {
        Ok(epoll::modify(
            &self.epoll,
            descriptor,
            event_data(token),
            events,
        )?)
    }

    /// Waits until a descriptor is ready or `timeout` microseconds have passed. Without a timeout,
    /// it waits indefinitely.
    ///
    /// `events` is overwritten with the ready events, at most as many as its capacity. It is empty
    /// after a timeout or if a signal interrupted the wait.
    pub(crate) fn wait(&self, events: &mut Vec<Event>, timeout: Option<Micros>) -> io::Result<()> {
        let timeout = timeout.map(timespec);
        events.clear();
        let buffer = rustix::buffer::spare_capacity(events);
        match epoll::wait(&self.epoll, buffer, timeout.as_ref()) {
            Ok(_) | Err(Errno::INTR) => Ok(()),
            Err(error) => Err(error.into()),
        }
    }
}

/// Returns the data that epoll stores with a descriptor and returns with its events: the token.
fn event_data(token: ConnectionToken) -> EventData {
    EventData::new_u64(token.into())
}

/// Converts a duration in microseconds to the form that epoll takes.
fn timespec(micros: Micros) -> Timespec {
    Timespec {
        tv_sec: micros / MICROS_PER_SECOND,
        tv_nsec: (micros % MICROS_PER_SECOND) * NANOS_PER_MICROSECOND,
    }
}
