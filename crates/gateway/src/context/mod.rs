//! What everything in the event loop shares: configuration, time, readiness, timers, dispatcher.
//!
//! The `Context` is passed to the owners of connections. It knows a connection by its token and
//! its kind only; the connections themselves belong to their owners, in [`crate::connections`]. So
//! this module imports neither them nor the event loop.

mod clock;
mod poller;
mod shutdown;
pub mod slab;

pub(crate) use clock::{Clock, MICROS_PER_MILLI};
pub(crate) use poller::Poller;
pub(crate) use shutdown::{Shutdown, EXIT_IDLE_TIME};

use crate::config::Config;
use crate::connection_token::ConnectionToken;
use crate::dispatcher::{AbortCause, Dispatcher};
use crate::storage_request::{AttemptId, AttemptResult, ReplySlot, StorageRequest};
use crate::timer_queue::TimerQueue;
use io_scheduler::{Micros, RequestId};
use rustix::event::epoll::EventFlags;
use rustix::fd::AsFd;
use slab::Slab;
use std::io;

/// What a registered descriptor belongs to, and so which owner handles its events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionKind {
    /// A socket that accepts client connections.
    Listener,
    /// A client's connection.
    Client,
    /// A connection to a storage node.
    Node,
    /// The connection to discovery.
    Discovery,
    /// A pipe that becomes readable when a signal arrives.
    Signal,
    /// The pipe from the operator's console.
    Console,
}

/// The state that all parts of the event loop share; passed to the owners of the other state.
pub(crate) struct Context {
    /// The configuration; some of it can be reloaded.
    pub(crate) config: Config,
    /// Reads the time.
    clock: Clock,
    /// The time of this turn, in microseconds since the Unix epoch. Read once a turn, so that
    /// everything in a turn happens at the same time.
    pub(crate) now: Micros,
    /// Reports which connections are ready.
    pub(crate) poller: Poller,
    /// The kind of each open connection, by token.
    connections: Slab<ConnectionKind>,
    /// The unfinished requests, the nodes and the scheduler.
    pub(crate) dispatcher: Dispatcher,
    /// All timers.
    pub(crate) timers: TimerQueue,
    /// Progress of a graceful shutdown.
    pub(crate) shutdown: Shutdown,
}

impl Context {
    /// Creates the poller. No connection is open and no timer is set at first.
    ///
    /// # Errors
    ///
    /// If the system refuses the poller.
    pub(crate) fn new(config: Config, clock: Clock, dispatcher: Dispatcher) -> io::Result<Context> {
        Ok(Context {
            config,
            now: clock.now(),
            clock,
            poller: Poller::new()?,
            connections: Slab::default(),
            dispatcher,
            timers: TimerQueue::default(),
            shutdown: Shutdown::default(),
        })
    }

    /// Sets [`Context::now`] to the current time.
    pub(crate) fn update_now(&mut self) {
        self.now = self.clock.now();
    }

    /// Microseconds from the current time, not [`Context::now`], to `at`; 0 if that has passed.
    pub(crate) fn time_until(&self, at: Micros) -> Micros {
        (at - self.clock.now()).max(0)
    }

    /// Registers a descriptor with the poller and returns the token by which its events are
    /// reported.
    ///
    /// # Errors
    ///
    /// If the system refuses the registration; no token is in use then.
    pub(crate) fn register(
        &mut self,
        descriptor: impl AsFd,
        kind: ConnectionKind,
        events: EventFlags,
    ) -> io::Result<ConnectionToken> {
        let token = self.connections.reserve();
        if let Err(error) = self.poller.register(descriptor, token, events) {
            self.connections.free(token);
            return Err(error);
        }
        self.connections.put(token, kind);
        Ok(token)
    }

    /// Frees the token of a connection that is closed. Events for it that were reported before are
    /// ignored from here on.
    pub(crate) fn free(&mut self, token: ConnectionToken) {
        self.connections.free(token);
    }

    /// The kind of a connection; `None` if it is closed.
    pub(crate) fn connection_kind(&self, token: ConnectionToken) -> Option<ConnectionKind> {
        self.connections.get(token).copied()
    }

    /// The tokens of all open connections of a kind, in the order of their slots.
    pub(crate) fn tokens_of(
        &self,
        kind: ConnectionKind,
    ) -> impl Iterator<Item = ConnectionToken> + '_ {
        self.connections
            .iter()
            .filter(move |(_, entry)| **entry == kind)
            .map(|(token, _)| token)
    }

    /// Submits a request to the dispatcher. Its final response goes to `reply_slot`.
    pub(crate) fn submit(&mut self, request: StorageRequest, reply_slot: ReplySlot) -> RequestId {
        self.dispatcher
            .submit(request, reply_slot, self.now, &mut self.timers)
    }

    /// Notifies the dispatcher that the client of a request has disconnected or no longer needs
    /// its response.
    pub(crate) fn client_disconnected(&mut self, id: RequestId) {
        self.dispatcher
            .client_disconnected(id, self.now, &mut self.timers);
    }

    /// Notifies the dispatcher that the response to an attempt is complete.
    pub(crate) fn complete_attempt(&mut self, attempt: AttemptId, result: AttemptResult) {
        self.dispatcher
            .complete_attempt(attempt, result, self.now, &mut self.timers);
    }

    /// Notifies the dispatcher that an attempt failed without a response.
    pub(crate) fn abort_attempt(&mut self, attempt: AttemptId, cause: AbortCause) {
        self.dispatcher
            .abort_attempt(attempt, cause, self.now, &mut self.timers);
    }
}
