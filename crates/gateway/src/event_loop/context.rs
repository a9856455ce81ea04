//! The state that all parts of the event loop share.

use super::clock::Clock;
use super::console::ConsoleInput;
use super::discovery_watch::WatchConnection;
use super::listener::Listener;
use super::poller::Poller;
use super::shutdown::Shutdown;
use super::signals::SignalPipe;
use super::GatewayError;
use crate::config::Config;
use crate::connections::client::ClientConnection;
use crate::connections::node::NodeConnection;
use crate::connections::slab::Slab;
use crate::dispatcher::{AttemptResult, Dispatcher};
use crate::timer_queue::{AttemptId, TimerQueue};
use io_scheduler::{Micros, Outcome, RequestId};

/// An entry of the connection table. Everything that is registered with the poller has one.
pub(crate) enum Connection {
    /// Accepts client connections.
    Listener(Listener),
    /// A client's connection.
    Client(ClientConnection),
    /// A connection to a storage node.
    Node(NodeConnection),
    /// The connection to discovery.
    Watch(WatchConnection),
    /// A pipe that becomes readable when a signal arrives.
    Signal(SignalPipe),
    /// The operator's console.
    Console(ConsoleInput),
}

/// The state that all parts of the event loop share; passed to the owners of the other state.
pub(crate) struct Context {
    /// The configuration; some of it can be reloaded.
    pub(crate) config: Config,
    clock: Clock,
    /// The time of this turn, in microseconds since the Unix epoch. Read once a turn, so that everything in a
    /// turn happens at the same time.
    pub(crate) now: Micros,
    /// Reports which connections are ready.
    pub(crate) poller: Poller,
    /// All connections by token.
    pub(crate) connections: Slab<Connection>,
    /// Requests in flight and the scheduler.
    pub(crate) dispatcher: Dispatcher,
    /// All timers.
    pub(crate) timers: TimerQueue,
    /// Progress of a graceful shutdown.
    pub(crate) shutdown: Shutdown,
}

impl Context {
    /// Starts the clock, the dispatcher and the poller.
    pub(crate) fn new(config: Config) -> Result<Context, GatewayError> {
        let clock = Clock::new();
        let now = clock.now();
        let dispatcher = Dispatcher::new(&config.settings, config.budget, config.seed, now)?;
        Ok(Context {
            config,
            clock,
            now,
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

    /// Notifies the dispatcher that the client of a request has disconnected or no longer needs its response.
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
    pub(crate) fn abort_attempt(&mut self, attempt: AttemptId, outcome: Outcome) {
        self.dispatcher
            .abort_attempt(attempt, outcome, self.now, &mut self.timers);
    }
}
