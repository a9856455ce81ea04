//! The steps of a graceful shutdown; see [`crate::context::Shutdown`].

use super::gateway::Gateway;
use crate::context::EXIT_IDLE_TIME;
use crate::timer_queue::Timer;
use rustix::event::epoll::Event;

impl Gateway {
    /// Requests a graceful shutdown.
    pub(super) fn request_shutdown(&mut self) {
        self.context
            .shutdown
            .request(self.context.now, &mut self.context.timers);
        self.context.dispatcher.request_shutdown();
        // Clients that are waiting to be accepted need a response before the process ends.
        self.listeners.resume(&self.context);
    }

    /// Closes idle client connections, and sets the shutdown timer to do so again until the
    /// shutdown is complete.
    pub(super) fn close_idle_clients(&mut self) {
        let min_idle_time = self.context.shutdown.start_or_continue_closing_clients();
        log::debug!(
            "shutdown: {} client connections and {} requests without a response are open",
            self.client_connections.count(),
            self.context.dispatcher.open_requests()
        );
        self.client_connections
            .close_idle_for(min_idle_time, &mut self.context);
        self.context
            .timers
            .set(self.context.now + EXIT_IDLE_TIME, Timer::Shutdown);
    }

    /// Closes all client connections after their last reply, because the process is killed soon.
    pub(super) fn close_all_clients(&mut self) {
        log::info!(
            "shutdown: closing all {} client connections, {} requests without a response are open",
            self.client_connections.count(),
            self.context.dispatcher.open_requests()
        );
        self.client_connections.close_all(&mut self.context);
    }

    /// Updates the idle state of the shutdown after a turn. Returns whether the gateway can exit:
    /// it is closing idle clients, has been idle for long enough, and the poller reported no event
    /// in this turn.
    pub(super) fn update_shutdown(&mut self, events: &[Event]) -> bool {
        if !(self.context.shutdown.is_closing_clients() && self.is_idle()) {
            self.context.shutdown.record_busy();
            return false;
        }
        self.context.shutdown.record_idle(self.context.now) && events.is_empty()
    }

    /// Returns whether no client connection is open and no request awaits its final response.
    fn is_idle(&self) -> bool {
        self.client_connections.count() == 0 && self.context.dispatcher.open_requests() == 0
    }
}
