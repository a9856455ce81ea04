//! State that all parts of the event loop share: the configuration, the clock, the poller, the
//! timers and the dispatcher.
//!
//! `Context` is passed to the components that own connections. It stores only the token and
//! the kind of each descriptor; the connections themselves are owned by [`crate::connections`].
//! This module therefore imports neither them nor the event loop.

mod clock;
mod poller;
mod shutdown;
pub mod slab;

pub(crate) use clock::{Clock, MICROS_PER_MILLISECOND};
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

/// Use of a registered descriptor. It determines which component handles its events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DescriptorKind {
    /// A socket that accepts client connections.
    Listener,
    /// A client's connection.
    Client,
    /// A connection to a storage node.
    Node,
    /// The connection to the discovery service.
    Discovery,
    /// A pipe through which signals arrive.
    Signal,
    /// The pipe from the operator's console.
    Console,
}

/// State that all parts of the event loop share. It is passed to the components that own the rest
/// of the state.
pub(crate) struct Context {
    /// The configuration; parts of it can be reloaded.
    pub(crate) config: Config,
    /// The clock that [`Context::now`] is read from.
    clock: Clock,
    /// Time of the current turn of the event loop, in microseconds since the Unix epoch. It is read
    /// once per turn, so that all components use the same time within a turn.
    pub(crate) now: Micros,
    /// Reports which descriptors are ready.
    pub(crate) poller: Poller,
    /// The kind of each registered descriptor, by token.
    descriptor_kinds: Slab<DescriptorKind>,
    /// Owns the unfinished requests, the nodes and the scheduler.
    pub(crate) dispatcher: Dispatcher,
    /// All pending timers.
    pub(crate) timers: TimerQueue,
    /// Progress of a graceful shutdown.
    pub(crate) shutdown: Shutdown,
}

impl Context {
    /// Creates a context with a new poller, without connections or timers.
    ///
    /// # Errors
    ///
    /// Returns an error if the poller cannot be created.
    pub(crate) fn new(config: Config, clock: Clock, dispatcher: Dispatcher) -> io::Result<Context> {
        Ok(Context {
            config,
            now: clock.now(),
            clock,
            poller: Poller::new()?,
            descriptor_kinds: Slab::default(),
            dispatcher,
            timers: TimerQueue::default(),
            shutdown: Shutdown::default(),
        })
    }

    /// Sets [`Context::now`] to the current time.
    pub(crate) fn update_now(&mut self) {
        self.now = self.clock.now();
    }

    /// Returns the actual time, which is later than [`Context::now`] if the turn has lasted.
    pub(crate) fn clock_time(&self) -> Micros {
        self.clock.now()
    }

    /// Returns the microseconds from the actual time, not [`Context::now`], until `at`; 0 if `at`
    /// has passed.
    pub(crate) fn time_until(&self, at: Micros) -> Micros {
        (at - self.clock.now()).max(0)
    }

    /// Registers a descriptor with the poller and returns the token by which its events are
    /// reported.
    ///
    /// # Errors
    ///
    /// Returns an error if the poller cannot register the descriptor. No token stays reserved then.
    pub(crate) fn register(
        &mut self,
        descriptor: impl AsFd,
        kind: DescriptorKind,
        events: EventFlags,
    ) -> io::Result<ConnectionToken> {
        let token = self.descriptor_kinds.reserve();
        if let Err(error) = self.poller.register(descriptor, token, events) {
            self.descriptor_kinds.free(token);
            return Err(error);
        }
        self.descriptor_kinds.put(token, kind);
        Ok(token)
    }

    /// Frees the token of a closed descriptor. Events that were already reported for it are ignored
    /// from then on.
    pub(crate) fn free(&mut self, token: ConnectionToken) {
        self.descriptor_kinds.free(token);
    }

    /// Returns the kind of a descriptor; `None` if it was closed.
    pub(crate) fn descriptor_kind(&self, token: ConnectionToken) -> Option<DescriptorKind> {
        self.descriptor_kinds.get(token).copied()
    }

    /// Returns the tokens of all open descriptors of a kind, in the order of their slots.
    pub(crate) fn tokens_of(
        &self,
        kind: DescriptorKind,
    ) -> impl Iterator<Item = ConnectionToken> + '_ {
        self.descriptor_kinds
            .iter()
            .filter(move |(_, entry)| **entry == kind)
            .map(|(token, _)| token)
    }

    /// Submits a request to the dispatcher. Its final response is sent to `reply_slot`.
    pub(crate) fn submit(&mut self, request: StorageRequest, reply_slot: ReplySlot) -> RequestId {
        self.dispatcher
            .submit(request, reply_slot, self.now, &mut self.timers)
    }

    /// Notifies the dispatcher that the client of a request has disconnected or no longer needs
    /// its response.
    pub(crate) fn record_response_not_needed(&mut self, id: RequestId) {
        self.dispatcher
            .record_response_not_needed(id, self.now, &mut self.timers);
    }

    /// Reports the result of an attempt to the dispatcher.
    pub(crate) fn complete_attempt(&mut self, attempt: AttemptId, result: AttemptResult) {
        self.dispatcher
            .complete_attempt(attempt, result, self.now, &mut self.timers);
    }

    /// Aborts an attempt that has no result, and reports the cause to the dispatcher.
    pub(crate) fn abort_attempt(&mut self, attempt: AttemptId, cause: AbortCause) {
        self.dispatcher
            .abort_attempt(attempt, cause, self.now, &mut self.timers);
    }
}
