//! Converts the scheduler's actions to messages for the simulator.

use super::Instance;
use crate::wire::{ActionMessage, TimerName};
use deployment_settings::milliseconds;
use io_scheduler::{Action, Micros, NodeId, RequestId};

impl Instance {
    /// Converts an action to a message and updates the tracked request. Returns `None` if the
    /// request is not tracked.
    pub fn encode_action(&mut self, action: &Action, now: Micros) -> Option<ActionMessage> {
        match *action {
            Action::Dispatch {
                request,
                node,
                times_out_at,
                ..
            } => self.encode_dispatch(request, node, times_out_at),
            Action::Reject {
                request,
                retry_after,
            } => self.encode_rejection(request, retry_after),
            Action::Fail(request) => self.encode_failure(request),
            Action::Cancel { request, attempt } => self.encode_cancellation(request, attempt),
            // The simulator's lists are never unconfirmed, and it requests no shutdown.
            Action::AcceptClients | Action::CloseClients => None,
            Action::OpenWatch => Some(ActionMessage::OpenWatch { open: true }),
            Action::SetTimer(at) => Some(encode_timer(at, now)),
        }
    }

    /// Converts a dispatch and adds one to the request's attempts in flight.
    fn encode_dispatch(
        &mut self,
        request: RequestId,
        node: NodeId,
        times_out_at: Micros,
    ) -> Option<ActionMessage> {
        let request = self.requests.start_attempt(request)?;
        Some(ActionMessage::Dispatch {
            request: request.clone(),
            node: self.nodes.name(node).clone(),
            times_out_at_ms: milliseconds(times_out_at),
        })
    }

    /// Converts the rejection of a request and closes the request.
    fn encode_rejection(
        &mut self,
        request: RequestId,
        retry_after: Micros,
    ) -> Option<ActionMessage> {
        let request = self.requests.close(request)?;
        Some(ActionMessage::Reject {
            request: request.clone(),
            retry_after_ms: milliseconds(retry_after),
        })
    }

    /// Converts the failure of a request and closes the request.
    fn encode_failure(&mut self, request: RequestId) -> Option<ActionMessage> {
        let request = self.requests.close(request)?;
        Some(ActionMessage::Fail {
            request: request.clone(),
        })
    }

    /// Converts the cancellation of an attempt. The attempt counts as in flight until its outcome
    /// is received.
    fn encode_cancellation(&self, request: RequestId, attempt: u32) -> Option<ActionMessage> {
        let request = self.requests.name(request)?;
        Some(ActionMessage::Cancel {
            request: request.clone(),
            attempt,
        })
    }
}

/// Converts the time at which the timer fires to a delay from `now`, because the wire has relative
/// times for timers. The delay is 0 if that time has passed.
fn encode_timer(at: Micros, now: Micros) -> ActionMessage {
    let delay = (at - now).max(0);
    ActionMessage::SetTimer {
        timer: TimerName::Scheduler,
        delay_ms: milliseconds(delay),
    }
}
