//! What all parts of the event loop share.

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

/// Everything that is registered with the poller, by kind.
pub(crate) enum Connection {
    /// Accepts client connections.
    Listener(Listener),
    /// A client's connection.
    Client(ClientConnection),
    /// A connection to a storage node.
    Node(NodeConnection),
    /// The connection to discovery.
    Watch(WatchConnection),
    /// Reports signals.
    Signal(SignalPipe),
    /// The operator's console.
    Console(ConsoleInput),
}

/// What all parts of the event loop share.
pub(crate) struct Context {
    /// The configuration; some of it can be reloaded.
    pub(crate) config: Config,
    clock: Clock,
    /// The time of this turn.
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

    /// Reads the clock: what follows happens at this time.
    pub(crate) fn update_now(&mut self) {
        self.now = self.clock.now();
    }

    /// The time until a timer fires, 0 if it should have by now. The clock is read anew.
    pub(crate) fn time_until(&self, at: Micros) -> Micros {
        (at - self.clock.now()).max(0)
    }

    /// Tells the dispatcher that a client no longer waits for a request.
    pub(crate) fn client_disconnected(&mut self, id: RequestId) {
        self.dispatcher.client_disconnected(id, self.now, &mut self.timers);
    }

    /// Tells the dispatcher how an attempt ended.
    pub(crate) fn complete_attempt(&mut self, attempt: AttemptId, result: AttemptResult) {
        self.dispatcher.complete_attempt(attempt, result, self.now, &mut self.timers);
    }

    /// Tells the dispatcher that an attempt failed without a response.
    pub(crate) fn abort_attempt(&mut self, attempt: AttemptId, outcome: Outcome) {
        self.dispatcher.abort_attempt(attempt, outcome, self.now, &mut self.timers);
    }
}
