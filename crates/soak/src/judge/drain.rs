//! No request goes to a node later than the drain grace after the gateway was notified that the
//! node drains or is removed.

use super::history::{History, StatusChange};
use super::{Rule, Violation, PROTOCOL_SLACK};
use crate::record::{GatewayIndex, NodeStatus};
use std::time::Duration;

/// A change counts as notified at the latest this long after discovery had it and could be reached.
const MAX_NOTIFICATION_DELAY: Duration = Duration::from_secs(6);

/// Returns the requests that went to a node too late.
pub(super) fn violations(history: &History<'_>, drain_grace: Duration) -> Vec<Violation> {
    let mut violations = Vec::new();
    for request in history.requests.values() {
        for attempt in &request.attempts {
            let sent_at = attempt.first_byte_at;
            let notified_at =
                out_of_service_since(history, request.gateway, &attempt.node, sent_at);
            let Some(notified_at) = notified_at else {
                continue;
            };
            if sent_at <= notified_at + drain_grace + PROTOCOL_SLACK {
                continue;
            }
            let text = format!(
                "sent to {} {:?} after the gateway was notified that it is out of service",
                attempt.node,
                sent_at - notified_at
            );
            violations.push(history.request_violation(Rule::Drain, request, sent_at, text));
        }
    }
    violations
}

/// Returns since when a gateway counts as notified, at `at`, that a node is out of service; `None`
/// if the node is in service as far as the gateway was notified.
fn out_of_service_since(
    history: &History<'_>,
    gateway: GatewayIndex,
    node: &str,
    at: Duration,
) -> Option<Duration> {
    let started_at = history.process_at(gateway, at)?.started_at;
    let mut out_since = None;
    for change in history.changes.get(node)? {
        let Some(notified_at) = notified_at(history, gateway, node, *change, started_at) else {
            continue;
        };
        if notified_at > at {
            continue;
        }
        if change.status == NodeStatus::InService {
            out_since = None;
        } else {
            out_since.get_or_insert(notified_at);
        }
    }
    out_since
}

/// Returns when a process that was started at `started_at` counts as notified of a change: when
/// discovery wrote it to the process, and at the latest a stated time after it could have.
fn notified_at(
    history: &History<'_>,
    gateway: GatewayIndex,
    node: &str,
    change: StatusChange,
    started_at: Duration,
) -> Option<Duration> {
    let latest = history
        .reachable_from(change.at)
        .map(|at| at + MAX_NOTIFICATION_DELAY);
    let notifications = history.notifications.get(&(gateway, node));
    let written = notifications.and_then(|notifications| {
        let mut written = notifications.iter();
        // A new process has the list of the process before it.
        let is_of_change = |notification: &&StatusChange| {
            let is_received = history.is_running(gateway, notification.at);
            is_received && notification.at >= change.at && notification.status == change.status
        };
        written
            .find(is_of_change)
            .map(|notification| notification.at)
    });
    let notified_at = [latest, written].into_iter().flatten().min()?;
    Some(notified_at.max(started_at))
}
