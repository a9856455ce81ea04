//! The main loop, and the order of work in each turn.

use super::error::GatewayError;
use super::gateway::Gateway;
use super::turn_statistics::TurnWork;
use crate::connection_token::ConnectionToken;
use crate::context::DescriptorKind;
use crate::dispatcher::Command;
use io_scheduler::Micros;
use rustix::event::epoll::{Event, EventFlags};

/// Maximum number of poller events that are handled in one turn.
const MAX_EVENTS_PER_TURN: usize = 256;

/// Maximum number of client connections in one turn whose clients send more than is read in a turn.
/// The others stay ready for the next turn; those that were read longest ago come first.
const MAX_BULK_CLIENTS_PER_TURN: usize = 16;

/// The order in which the ready descriptors of a turn are handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EventPriority {
    /// The discovery watch.
    Discovery,
    /// A client connection that has ended.
    ClientClose,
    /// Everything else, in the order of the poller.
    Other,
    /// A client connection from which as much was read at this time as is allowed in one turn.
    BulkClient(Micros),
}

impl EventPriority {
    /// Returns the priority of an event of a descriptor of this kind. `bulk_read_at` is when a
    /// client connection was last read, if its client sends more than is read in one turn.
    fn of(
        kind: Option<DescriptorKind>,
        flags: EventFlags,
        bulk_read_at: Option<Micros>,
    ) -> EventPriority {
        let is_end = flags.intersects(EventFlags::RDHUP | EventFlags::HUP | EventFlags::ERR);
        match (kind, bulk_read_at) {
            (Some(DescriptorKind::Discovery), _) => EventPriority::Discovery,
            (Some(DescriptorKind::Client), _) if is_end => EventPriority::ClientClose,
            (Some(DescriptorKind::Client), Some(read_at)) => EventPriority::BulkClient(read_at),
            _ => EventPriority::Other,
        }
    }

    /// Returns whether only some of the events with this priority are handled in one turn.
    fn is_bulk(self) -> bool {
        matches!(self, EventPriority::BulkClient(_))
    }
}

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

    /// Handles the ready descriptors. Notifications that forbid an attempt come first, in whatever
    /// order the poller reports them: endpoint lists, then the closes of clients. Clients that send
    /// without a pause come last, and only some of them; the poller reports the others again.
    fn handle_events(&mut self, events: &[Event]) {
        let priority = |event: &Event| {
            let token = ConnectionToken::from(event.data.u64());
            let kind = self.context.descriptor_kind(token);
            EventPriority::of(
                kind,
                event.flags,
                self.client_connections.bulk_read_at(token),
            )
        };
        let mut ordered: Vec<(EventPriority, &Event)> = events
            .iter()
            .map(|event| (priority(event), event))
            .collect();
        ordered.sort_by_key(|(priority, _)| *priority);
        let first_bulk = ordered.partition_point(|(priority, _)| !priority.is_bulk());
        ordered.truncate(first_bulk + MAX_BULK_CLIENTS_PER_TURN);
        for (_, event) in ordered {
            let flags = event.flags;
            let token = ConnectionToken::from(event.data.u64());
            self.handle_ready(token, flags);
        }
    }

    /// Runs one turn: handles ready connections and expired timers, calls the scheduler with the
    /// resulting events, runs the commands of the dispatcher, and closes excess client connections.
    /// `commands` is a reused buffer, empty between turns. Returns what was handled.
    fn run_turn(&mut self, events: &[Event], commands: &mut Vec<Command>) -> TurnWork {
        let mut work = TurnWork {
            events: events.len(),
            ..TurnWork::default()
        };
        self.handle_events(events);
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
