//! Readiness of descriptors, by epoll.

use crate::connections::ConnectionToken;
use io_scheduler::Micros;
use rustix::event::epoll::{self, Event, EventData, EventFlags};
use rustix::event::Timespec;
use rustix::fd::{AsFd, OwnedFd};
use rustix::io::Errno;
use std::io;

/// An epoll instance. It reports each descriptor by the token under which it was registered.
#[derive(Debug)]
pub(crate) struct Poller {
    epoll: OwnedFd,
}

impl Poller {
    /// Creates an epoll instance.
    pub(crate) fn new() -> io::Result<Poller> {
        let epoll = epoll::create(epoll::CreateFlags::CLOEXEC)?;
        Ok(Poller { epoll })
    }

    /// Reports `events` of a descriptor from here on, until it is closed.
    pub(crate) fn register(
        &self,
        descriptor: impl AsFd,
        token: ConnectionToken,
        events: EventFlags,
    ) -> io::Result<()> {
        epoll::add(&self.epoll, descriptor, EventData::new_u64(token.into()), events)?;
        Ok(())
    }

    /// Changes which events of a registered descriptor are reported.
    pub(crate) fn modify(
        &self,
        descriptor: impl AsFd,
        token: ConnectionToken,
        events: EventFlags,
    ) -> io::Result<()> {
        epoll::modify(&self.epoll, descriptor, EventData::new_u64(token.into()), events)?;
        Ok(())
    }

    /// Waits until a descriptor is ready, or for `timeout` microseconds if there is one. `events` holds what
    /// is ready then, at most as much as its capacity; a signal may end the wait with nothing.
    pub(crate) fn wait(&self, events: &mut Vec<Event>, timeout: Option<Micros>) -> io::Result<()> {
        let timeout = timeout
            .map(|micros| Timespec { tv_sec: micros / 1_000_000, tv_nsec: (micros % 1_000_000) * 1_000 });
        events.clear();
        match epoll::wait(&self.epoll, rustix::buffer::spare_capacity(events), timeout.as_ref()) {
            Ok(_) | Err(Errno::INTR) => Ok(()),
            Err(error) => Err(error.into()),
        }
    }
}
