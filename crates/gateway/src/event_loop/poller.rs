//! Waits until file descriptors are ready, by epoll (level-triggered).

use crate::connection_token::ConnectionToken;
use io_scheduler::Micros;
use rustix::event::epoll::{self, Event, EventData, EventFlags};
use rustix::event::Timespec;
use rustix::fd::{AsFd, OwnedFd};
use rustix::io::Errno;
use std::io;

/// An epoll instance. It reports each descriptor with the token that was given at its registration.
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

    /// Registers a descriptor: `events` of it are reported until it is closed.
    pub(crate) fn register(
        &self,
        descriptor: impl AsFd,
        token: ConnectionToken,
        events: EventFlags,
    ) -> io::Result<()> {
        epoll::add(
            &self.epoll,
            descriptor,
            EventData::new_u64(token.into()),
            events,
        )?;
        Ok(())
    }

    /// Changes which events of a registered descriptor are reported.
    pub(crate) fn modify(
        &self,
        descriptor: impl AsFd,
        token: ConnectionToken,
        events: EventFlags,
    ) -> io::Result<()> {
        epoll::modify(
            &self.epoll,
            descriptor,
            EventData::new_u64(token.into()),
            events,
        )?;
        Ok(())
    }

    /// Waits until a descriptor is ready or `timeout` microseconds have passed; without a timeout, for any
    /// time.
    ///
    /// `events` is replaced by the events that are ready, at most as many as its capacity. It is empty after
    /// a timeout, and if a signal has interrupted the wait.
    pub(crate) fn wait(&self, events: &mut Vec<Event>, timeout: Option<Micros>) -> io::Result<()> {
        let timeout = timeout.map(|micros| Timespec {
            tv_sec: micros / 1_000_000,
            tv_nsec: (micros % 1_000_000) * 1_000,
        });
        events.clear();
        match epoll::wait(
            &self.epoll,
            rustix::buffer::spare_capacity(events),
            timeout.as_ref(),
        ) {
            Ok(_) | Err(Errno::INTR) => Ok(()),
            Err(error) => Err(error.into()),
        }
    }
}
