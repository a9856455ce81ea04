//! Conversion of the scheduler's actions to messages for the simulator.

use super::Instance;
use crate::wire::ActionMessage;
use deployment_settings::milliseconds;
use io_scheduler::{Action, Micros, NodeId, RequestId};

/// Name of the timer of an instance; each instance has only this one.
const TIMER_NAME: &str = "wake";

impl Instance {
    /// Converts an action and updates its request's entry. Returns `None` if the request is no longer tracked.
    pub fn encode_action(&mut self, action: &Action, now: Micros) -> Option<ActionMessage> {
        match *action {
            Action::Dispatch {
                request,
                node,
                deadline,
            } => self.encode_dispatch(request, node, deadline),
            Action::Reject {
                request,
                retry_after,
            } => {
                let request = self.close_request(request)?;
                Some(ActionMessage::Reject {
                    request,
                    retry_after_ms: milliseconds(retry_after),
                })
            }
            Action::Fail(request) => {
                let request = self.close_request(request)?;
                Some(ActionMessage::Fail { request })
            }
            Action::Cancel { request, attempt } => {
                let request = self.requests.get_mut(request)?.name.clone();
                Some(ActionMessage::Cancel { request, attempt })
            }
            Action::OpenWatch => Some(ActionMessage::OpenWatch { open: true }),
            Action::SetTimer(at) => {
                let delay_ms = milliseconds((at - now).max(0));
                Some(ActionMessage::SetTimer {
                    timer: TIMER_NAME.to_owned(),
                    delay_ms,
                })
            }
        }
    }

    /// Converts a dispatch, which adds one to the request's attempts in flight.
    fn encode_dispatch(
        &mut self,
        id: RequestId,
        node: NodeId,
        deadline: Micros,
    ) -> Option<ActionMessage> {
        let request = self.requests.get_mut(id)?;
        request.attempts_in_flight += 1;
        Some(ActionMessage::Dispatch {
            request: request.name.clone(),
            node: self.node_name(node),
            deadline_ms: milliseconds(deadline),
        })
    }

    /// Marks a request as closed and returns its name.
    fn close_request(&mut self, id: RequestId) -> Option<String> {
        let request = self.requests.get_mut(id)?;
        request.open = false;
        Some(request.name.clone())
    }

    /// Name of a node on the wire.
    fn node_name(&self, node: NodeId) -> String {
        self.nodes.name(node.0).to_owned()
    }
}
