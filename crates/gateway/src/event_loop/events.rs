//! Passes ready connections, expired timers and commands of the dispatcher to the components that
//! handle them.

use super::gateway::Gateway;
use super::signals::SignalKind;
use crate::connection_token::ConnectionToken;
use crate::connections::client::AcceptOutcome;
use crate::connections::discovery_watch::WatchOutcome;
use crate::connections::node::AttemptSpec;
use crate::context::DescriptorKind;
use crate::dispatcher::Command;
use crate::timer_queue::Timer;
use rustix::event::epoll::EventFlags;

impl Gateway {
    /// Handles a connection that the poller reported as ready. The event is ignored if the
    /// connection was closed earlier in the turn.
    pub(super) fn handle_ready(&mut self, token: ConnectionToken, flags: EventFlags) {
        let context = &mut self.context;
        match context.descriptor_kind(token) {
            None => {}
            Some(DescriptorKind::Listener) => self.handle_listener_ready(token),
            Some(DescriptorKind::Client) => {
                self.client_connections.handle_ready(token, flags, context);
            }
            Some(DescriptorKind::Node) => self.node_connections.handle_ready(token, context),
            Some(DescriptorKind::Discovery) => self.handle_watch_ready(),
            Some(DescriptorKind::Signal) => self.handle_signal(token),
            Some(DescriptorKind::Console) => self.handle_console_ready(),
        }
    }

    /// Accepts the connections that are pending at a listener.
    fn handle_listener_ready(&mut self, token: ConnectionToken) {
        let context = &mut self.context;
        let Some(listener) = self.listeners.get(token) else {
            return;
        };
        match self.client_connections.accept(listener, context) {
            AcceptOutcome::Done => {}
            AcceptOutcome::Blocked => self.listeners.pause_briefly(context),
        }
    }

    /// Applies the endpoint list updates that have arrived from discovery.
    fn handle_watch_ready(&mut self) {
        let WatchOutcome { updates, failure } = self.watch.handle_ready(&mut self.context);
        for update in &updates {
            self.apply_endpoint_update(update, update.event());
        }
        // Close the watch only after applying the updates that arrived before its failure.
        if let Some(failure) = failure {
            self.watch.fail(&failure, &mut self.context);
        }
    }

    /// Starts the action that a signal requests.
    fn handle_signal(&mut self, token: ConnectionToken) {
        match self.signals.read_signals(token) {
            Some(SignalKind::Shutdown) => self.request_shutdown(),
            Some(SignalKind::Reload) => self.reload_config(),
            None => {}
        }
    }

    /// Handles an expired timer.
    pub(super) fn handle_timer(&mut self, timer: Timer) {
        let context = &mut self.context;
        match timer {
            Timer::Dispatcher(timer) => {
                context
                    .dispatcher
                    .handle_timer(timer, context.now, &mut context.timers);
            }
            Timer::Connection(token) => self.handle_connection_timer(token),
            Timer::DiscoveryWatch => self.watch.handle_timeout(context),
            Timer::Shutdown => self.close_idle_clients(),
            Timer::ResumeAccepting => self.listeners.resume(context),
        }
    }

    /// Handles the timeout of a client or node connection.
    fn handle_connection_timer(&mut self, token: ConnectionToken) {
        let context = &mut self.context;
        match context.descriptor_kind(token) {
            Some(DescriptorKind::Client) => self.client_connections.handle_timeout(token, context),
            Some(DescriptorKind::Node) => self.node_connections.handle_timeout(token, context),
            // Connections of the other kinds set no `Timer::Connection`; a closed one needs no
            // timeout.
            Some(
                DescriptorKind::Listener
                | DescriptorKind::Discovery
                | DescriptorKind::Signal
                | DescriptorKind::Console,
            )
            | None => {}
        }
    }

    /// Runs a command of the dispatcher.
    pub(super) fn run_command(&mut self, command: Command) {
        let context = &mut self.context;
        match command {
            Command::StartAttempt {
                attempt,
                node,
                limits,
                request,
            } => {
                let attempt = AttemptSpec {
                    id: attempt,
                    node,
                    limits,
                    request,
                };
                self.node_connections.start_attempt(attempt, context);
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
            Command::AcceptClients => self.accept_clients(),
            Command::CloseClients => self.close_all_clients(),
            Command::OpenWatch => self.watch.open(context),
        }
    }
}
