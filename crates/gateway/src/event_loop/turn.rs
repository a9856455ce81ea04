//! The main loop, and the order of work in each turn.

use super::error::GatewayError;
use super::gateway::Gateway;
use super::turn_statistics::TurnWork;
use crate::connection_token::ConnectionToken;
use crate::dispatcher::Command;
use io_scheduler::Micros;
use rustix::event::epoll::Event;

/// Maximum number of poller events that are handled in one turn.
const MAX_EVENTS_PER_TURN: usize = 256;

impl Gateway {
    /// Runs the event loop until a graceful shutdown is complete.
    ///
    /// # Errors
    ///
    /// Returns an error if the poller fails.
    pub fn run(&mut self) -> Result<(), GatewayError> {
        let mut events: Vec<Event> = Vec::with_capacity(MAX_EVENTS_PER_TURN);
        let mut commands = Vec::new();
        loop {
            self.context.poller.wait(&mut events, self.poll_timeout())?;
            self.context.update_now();
            let work = self.run_turn(&events, &mut commands);
            let started_at = self.context.now;
            self.turn_statistics
                .record(started_at, self.context.clock_time(), work);
            if self.update_shutdown(&events) {
                log::info!("shutdown complete");
                return Ok(());
            }
        }
    }

    /// Returns how long the poller may wait for events, in microseconds; `None` for no limit, if no
    /// timer is set. The poller does not wait if the dispatcher still has events or commands from
    /// this turn.
    fn poll_timeout(&self) -> Option<Micros> {
        if self.context.dispatcher.has_pending_events_or_commands() {
            return Some(0);
        }
        let next_timer = self.context.timers.next_expiry();
        let shutdown_end = self.context.shutdown.completes_at();
        let next = [next_timer, shutdown_end].into_iter().flatten().min()?;
        Some(self.context.time_until(next))
    }

    /// Runs one turn: handles ready connections and expired timers, calls the scheduler with the
    /// resulting events, runs the commands of the dispatcher, and closes excess client connections.
    /// `commands` is a reused buffer, empty between turns. Returns what was handled.
    fn run_turn(&mut self, events: &[Event], commands: &mut Vec<Command>) -> TurnWork {
        let mut work = TurnWork {
            events: events.len(),
            ..TurnWork::default()
        };
        for event in events {
            let flags = event.flags;
            let token = ConnectionToken::from(event.data.u64());
            self.handle_ready(token, flags);
        }
        while let Some(timer) = self.context.timers.pop_expired(self.context.now) {
            self.handle_timer(timer);
            work.timers += 1;
        }
        self.context
            .dispatcher
            .run_scheduler(self.context.now, &mut self.context.timers, commands);
        work.commands = commands.len();
        for command in commands.drain(..) {
            self.run_command(command);
        }
        self.client_connections
            .close_excess_requesting_clients(&mut self.context);
        work
    }
}
