//! The order of work in a turn of the event loop.

use super::error::GatewayError;
use super::gateway::Gateway;
use crate::connection_token::ConnectionToken;
use crate::dispatcher::Command;
use io_scheduler::Micros;
use rustix::event::epoll::Event;

/// How many events of the poller are handled in one turn.
const MAX_EVENTS_PER_TURN: usize = 256;

impl Gateway {
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

    /// How long the poller may wait for events, in microseconds; `None` for no limit if no timer
    /// is set. It does not wait while the dispatcher has events or commands left from this turn.
    fn poll_timeout(&self) -> Option<Micros> {
        if self.context.dispatcher.has_work() {
            return Some(0);
        }
        let next_timer = self.context.timers.next_expiry();
        let shutdown_end = self.context.shutdown.completes_at();
        let next = [next_timer, shutdown_end].into_iter().flatten().min()?;
        Some(self.context.time_until(next))
    }

    /// Runs one turn: handles the connections that are ready and the timers that have expired,
    /// calls the scheduler with all events that came of it, carries out the commands, and closes
    /// excess connections. `commands` is a buffer, empty between turns.
    fn run_turn(&mut self, events: &[Event], commands: &mut Vec<Command>) {
        for event in events {
            let flags = event.flags;
            let token = ConnectionToken::from(event.data.u64());
            self.handle_ready(token, flags);
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
}
