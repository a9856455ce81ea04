//! The running gateway: what each turn of the event loop does.

use super::context::{Connection, Context};
use super::discovery_watch::DiscoveryWatch;
use super::endpoint_table::EndpointTable;
use super::listener::{listen, resume_accepting, ListenerProtocol};
use super::shutdown::DRAIN_GRACE;
use super::signals::{register_signals, SignalKind, SignalPipe};
use super::GatewayError;
use crate::config::Config;
use crate::connection_token::ConnectionToken;
use crate::connections::client::ClientConnections;
use crate::connections::descriptors::ConnectionLimits;
use crate::connections::node::NodeConnections;
use crate::dispatcher::Command;
use crate::timer_queue::Timer;
use io_scheduler::{EndpointListEvent, Micros};
use rustix::event::epoll::{Event, EventFlags};

/// How many events of the poller are handled in one turn.
const MAX_EVENTS_PER_TURN: usize = 256;

/// The running gateway: the owners of its state, joined by the event loop.
pub struct Gateway {
    /// The state that the others share.
    pub(super) context: Context,
    /// The client connections.
    pub(super) client_connections: ClientConnections,
    /// The connections to storage nodes.
    pub(super) node_connections: NodeConnections,
    /// The endpoint list.
    pub(super) endpoints: EndpointTable,
    /// The watch on discovery.
    pub(super) watch: DiscoveryWatch,
}

impl Gateway {
    /// Starts the gateway: applies the cached endpoint list or the inventory, and listens for clients.
    ///
    /// # Errors
    ///
    /// If the settings or the inventory can't be used, or the system refuses an address or a resource.
    pub fn new(mut config: Config) -> Result<Gateway, GatewayError> {
        let cached = std::mem::take(&mut config.cached_endpoints);
        let limits = ConnectionLimits::for_descriptors(config.descriptors);
        let mut context = Context::new(config)?;
        context.update_now();
        let mut gateway = Gateway {
            client_connections: ClientConnections::new(&context.config, limits, context.now),
            node_connections: NodeConnections::new(limits.nodes),
            endpoints: EndpointTable::default(),
            watch: DiscoveryWatch::new(cached.index),
            context,
        };
        gateway.context.update_now();
        let cached_event = EndpointListEvent::Cached;
        gateway.endpoints.apply_update(
            &cached,
            cached_event,
            &mut gateway.node_connections,
            &mut gateway.context,
        );
        gateway.open()?;
        Ok(gateway)
    }

    /// Opens the listeners, reads the inventory and registers the signals.
    fn open(&mut self) -> Result<(), GatewayError> {
        if let Some(address) = self.context.config.listen {
            listen(address, ListenerProtocol::Resp, &mut self.context)?;
        }
        if self.context.config.inventory.is_some() {
            self.context.update_now();
            self.reload_inventory()?;
        }
        if let Some(sftp) = &self.context.config.sftp {
            listen(sftp.listen, ListenerProtocol::Sftp, &mut self.context)?;
        }
        register_signals(&mut self.context)?;
        Ok(())
    }

    /// Serves until a graceful shutdown is complete.
    ///
    /// # Errors
    ///
    /// If the system can't say which connections are ready.
    pub fn run(&mut self) -> Result<(), GatewayError> {
        let mut events: Vec<Event> = Vec::with_capacity(MAX_EVENTS_PER_TURN);
        let mut commands = Vec::new();
        loop {
            self.context.poller.wait(&mut events, self.poll_timeout())?;
            self.context.update_now();
            self.run_turn(&events, &mut commands);
            if self.update_shutdown(&events) {
                log::info!("shutdown complete");
                return Ok(());
            }
        }
    }

    /// How long the poller may wait for events, in microseconds; `None` for no limit if no timer is set. It
    /// does not wait while the dispatcher has events or commands left from this turn.
    fn poll_timeout(&self) -> Option<Micros> {
        if self.context.dispatcher.has_work() {
            return Some(0);
        }
        let next_timer = self.context.timers.next();
        let next = [next_timer, self.context.shutdown.completes_at()]
            .into_iter()
            .flatten()
            .min();
        next.map(|at| self.context.time_until(at))
    }

    /// Runs one turn: handles the connections that are ready and the timers that have expired, calls the
    /// scheduler with all events that came of it, carries out the commands, and closes excess connections.
    fn run_turn(&mut self, events: &[Event], commands: &mut Vec<Command>) {
        for event in events {
            let (flags, data) = (event.flags, event.data);
            self.handle_ready(ConnectionToken::from(data.u64()), flags);
        }
        while let Some(timer) = self.context.timers.pop_expired(self.context.now) {
            self.handle_timer(timer);
        }
        self.context
            .dispatcher
            .run_scheduler(self.context.now, &mut self.context.timers, commands);
        for command in commands.drain(..) {
            self.run_command(command);
        }
        self.client_connections
            .close_excess_requesters(&mut self.context);
    }

    /// Handles a connection that the poller reported; it may have been closed earlier in the turn.
    fn handle_ready(&mut self, token: ConnectionToken, flags: EventFlags) {
        let context = &mut self.context;
        match context.connections.take(token) {
            None => {}
            Some(Connection::Listener(listener)) => {
                self.client_connections.accept(&listener, context);
                context
                    .connections
                    .put(token, Connection::Listener(listener));
            }
            Some(Connection::Client(client)) => {
                self.client_connections
                    .handle_ready(token, client, flags, context);
            }
            Some(Connection::Node(connection)) => {
                self.node_connections
                    .handle_ready(token, connection, context);
            }
            Some(Connection::Watch(connection)) => {
                self.watch.handle_ready(
                    token,
                    connection,
                    &mut self.endpoints,
                    &mut self.node_connections,
                    context,
                );
            }
            Some(Connection::Console(console)) => self.handle_console_ready(token, console),
            Some(Connection::Signal(pipe)) => self.handle_signal(token, pipe),
        }
    }

    /// Starts what a signal asks for.
    fn handle_signal(&mut self, token: ConnectionToken, mut pipe: SignalPipe) {
        pipe.drain();
        let kind = pipe.kind;
        self.context
            .connections
            .put(token, Connection::Signal(pipe));
        match kind {
            SignalKind::Shutdown => self.request_shutdown(),
            SignalKind::Reload => self.reload_config(),
        }
    }

    /// Passes an expired timer to its owner.
    fn handle_timer(&mut self, timer: Timer) {
        let context = &mut self.context;
        match timer {
            Timer::AttemptTimeout(_) | Timer::Scheduler | Timer::RequestOverdue(_) => {
                context
                    .dispatcher
                    .handle_timer(timer, context.now, &mut context.timers);
            }
            Timer::Connection(token) => self.handle_connection_timer(token),
            Timer::DiscoveryWatch => self.watch.handle_timeout(context),
            Timer::Shutdown => self.drain_clients(),
            Timer::ResumeAccepting => resume_accepting(context),
        }
    }

    /// Handles the timer of a client's or node's connection.
    fn handle_connection_timer(&mut self, token: ConnectionToken) {
        let context = &mut self.context;
        match context.connections.take(token) {
            Some(Connection::Node(connection)) => {
                self.node_connections
                    .handle_timeout(token, connection, context);
            }
            Some(Connection::Client(client)) => {
                self.client_connections
                    .handle_timeout(token, client, context);
            }
            Some(other) => context.connections.put(token, other),
            None => {}
        }
    }

    /// Carries out a command of the dispatcher.
    fn run_command(&mut self, command: Command) {
        let context = &mut self.context;
        match command {
            Command::StartAttempt {
                attempt,
                node,
                deadline,
                request,
            } => {
                self.node_connections
                    .start_attempt(attempt, node, deadline, request, context);
            }
            Command::AbandonAttempt(attempt) => {
                self.node_connections.abandon_attempt(attempt, context);
            }
            Command::Respond {
                reply_slot,
                response,
            } => {
                self.client_connections
                    .respond(reply_slot, response, context);
            }
            // A watch that is open already keeps its own timeout.
            Command::OpenWatch if self.watch.is_open() => {}
            Command::OpenWatch => self.watch.open(context),
        }
    }

    /// Requests a graceful shutdown.
    pub(super) fn request_shutdown(&mut self) {
        self.context
            .shutdown
            .request(self.context.now, &mut self.context.timers);
    }

    /// Closes idle client connections, and sets the timer to do so again until the shutdown is complete.
    fn drain_clients(&mut self) {
        let min_idle_time = self.context.shutdown.drain();
        self.client_connections
            .close_idle_for(min_idle_time, &mut self.context);
        self.context
            .timers
            .set(self.context.now + DRAIN_GRACE, Timer::Shutdown);
    }

    /// Updates the idle state of the shutdown after a turn. Returns whether the gateway can end: it is
    /// draining, has been idle for long enough, and the poller reported no event in this turn.
    fn update_shutdown(&mut self, events: &[Event]) -> bool {
        if !(self.context.shutdown.is_draining() && self.is_idle()) {
            self.context.shutdown.note_busy();
            return false;
        }
        self.context.shutdown.note_idle(self.context.now) && events.is_empty()
    }

    /// Whether there is no client connection and no open request.
    fn is_idle(&self) -> bool {
        self.client_connections.count() == 0 && self.context.dispatcher.open_requests() == 0
    }
}
