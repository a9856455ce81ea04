//! Calls the scheduler with the pending events and applies its actions.

use super::abort_cause::AbortCause;
use super::command::Command;
use super::state::Dispatcher;
use crate::storage_request::{AttemptId, AttemptLimits, Response};
use crate::timer_queue::{DispatcherTimer, TimerQueue};
use io_scheduler::{Action, Event, Micros};

impl Dispatcher {
    /// Handles an expired timer of the dispatcher.
    pub fn handle_timer(&mut self, timer: DispatcherTimer, now: Micros, timers: &mut TimerQueue) {
        match timer {
            DispatcherTimer::AttemptTimeout(attempt) => {
                self.abort_attempt(attempt, AbortCause::TimedOut, now, timers);
            }
            DispatcherTimer::Scheduler => {
                self.scheduler_timer = None;
                self.events.push(Event::TimerFired);
            }
            DispatcherTimer::RequestOverdue(id) => {
                // The turn may be late, so that the scheduler has not been called since the
                // deadline.
                self.events.push(Event::TimerFired);
                self.overdue.push(id);
            }
        }
    }

    /// Reports to the scheduler that a graceful shutdown was requested.
    pub fn request_shutdown(&mut self) {
        self.events.push(Event::ShutdownRequested);
    }

    /// Returns whether events for the scheduler or commands for the event loop are pending.
    #[must_use]
    pub fn has_pending_events_or_commands(&self) -> bool {
        !self.events.is_empty() || !self.commands.is_empty()
    }

    /// Calls the scheduler once with all pending events, if there are any, and moves the pending
    /// commands to `commands`.
    pub fn run_scheduler(
        &mut self,
        now: Micros,
        timers: &mut TimerQueue,
        commands: &mut Vec<Command>,
    ) {
        if !self.events.is_empty() {
            self.call_scheduler(now, timers);
        }
        for id in std::mem::take(&mut self.overdue) {
            self.fail_overdue(id);
        }
        commands.append(&mut self.commands);
    }

    /// Passes the pending events to the scheduler and applies its actions.
    fn call_scheduler(&mut self, now: Micros, timers: &mut TimerQueue) {
        let events = std::mem::take(&mut self.events);
        let mut actions = std::mem::take(&mut self.actions);
        self.scheduler.handle(now, &events, &mut actions);
        // A request that needs no response any more must stay in the table until the scheduler has
        // handled the event.
        for event in events {
            if let Event::ResponseNotNeeded(id) = event {
                self.remove_if_finished(id, now, timers);
            }
        }
        for action in actions.drain(..) {
            self.apply_action(&action, now, timers);
        }
        self.actions = actions;
        self.log_evictions(now);
    }

    /// Applies one action that the scheduler returned.
    fn apply_action(&mut self, action: &Action, now: Micros, timers: &mut TimerQueue) {
        match *action {
            Action::Dispatch {
                request,
                node,
                times_out_at,
                write_before,
            } => {
                let limits = AttemptLimits {
                    times_out_at,
                    write_before,
                };
                self.dispatch(request, node, limits, now, timers);
            }
            Action::Reject {
                request,
                retry_after,
            } => {
                self.respond_and_remove_if_finished(
                    request,
                    Response::Rejected { retry_after },
                    now,
                    timers,
                );
            }
            Action::Fail(request) => self.fail(request, now, timers),
            Action::Cancel {
                request,
                attempt: number,
            } => {
                let attempt = AttemptId { request, number };
                self.abort_attempt(attempt, AbortCause::Cancelled, now, timers);
            }
            Action::AcceptClients => self.commands.push(Command::AcceptClients),
            Action::CloseClients => self.commands.push(Command::CloseClients),
            Action::OpenWatch => self.commands.push(Command::OpenWatch),
            Action::SetTimer(at) => {
                let timer = DispatcherTimer::Scheduler.into();
                timers.reschedule(&mut self.scheduler_timer, Some(at), timer);
            }
        }
    }
}
