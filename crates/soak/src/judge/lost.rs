//! Every request gets its final reply: at most half a second after its time, and before the kill if
//! it was sent more than 0.7 s after SIGTERM. The time for which its reply waits behind that to an
//! earlier request of its connection does not count.

use super::history::{History, ProcessHistory, RequestHistory};
use super::{Rule, Violation, PROTOCOL_SLACK};
use crate::record::ReplyKind;
use std::time::Duration;

/// How long after the client's time a reply still counts as the final reply.
const LATE_REPLY: Duration = Duration::from_millis(500);
/// A request that was sent within this time after SIGTERM may be unanswered at the kill.
const SHUTDOWN_NOTICE: Duration = Duration::from_millis(700);

/// Returns when a reply is due. `client_time` is when the client's time is over, and
/// `previous_reply_at` when the request before it on its connection was answered, or was due if it
/// was not.
pub(super) fn due_at(client_time: Duration, previous_reply_at: Option<Duration>) -> Duration {
    let due_at = client_time + LATE_REPLY + PROTOCOL_SLACK;
    previous_reply_at.map_or(due_at, |at| due_at.max(at + PROTOCOL_SLACK))
}

/// Returns the lost requests.
pub(super) fn violations(history: &History<'_>) -> Vec<Violation> {
    let requests = history.requests.values();
    requests
        .filter_map(|request| violation(history, request))
        .collect()
}

/// Returns the violation of a request, if there is one.
fn violation(history: &History<'_>, request: &RequestHistory<'_>) -> Option<Violation> {
    let due_at = request.reply_due_at;
    let text = match request.reply {
        Some((_, ReplyKind::WrongValue)) => "the value is not that of the request".to_owned(),
        Some((at, _)) if at <= due_at => return None,
        Some((at, _)) => format!("the reply came {:?} after it was due", at - due_at),
        None => reason_of_no_reply(history, request, due_at)?,
    };
    Some(history.request_violation(Rule::Lost, request, due_at, text))
}

/// Returns why a request without a reply is lost; `None` if it is not.
fn reason_of_no_reply(
    history: &History<'_>,
    request: &RequestHistory<'_>,
    due_at: Duration,
) -> Option<String> {
    let connection = history.connections.get(&request.sent.connection);
    let connection = connection.copied().unwrap_or_default();
    if connection.closed_at.is_some_and(|at| at < due_at) && connection.ended_at.is_none() {
        return None;
    }
    let process = history.process_at(request.gateway, request.sent_at)?;
    if let Some(killed_at) = process.killed_at.filter(|at| *at <= due_at) {
        return reason_at_kill(process, request, killed_at);
    }
    if connection.ended_at.is_some() && request.attempts.is_empty() {
        // The close crossed the request: the client sends it again.
        return None;
    }
    if connection.ended_at.is_some() {
        return Some("it was forwarded, and its connection closed without a reply".to_owned());
    }
    Some("no reply".to_owned())
}

/// Returns why a request that is unanswered at the kill is lost; `None` if it is not.
fn reason_at_kill(
    process: &ProcessHistory,
    request: &RequestHistory<'_>,
    killed_at: Duration,
) -> Option<String> {
    let shutdown_at = process.shutdown_requested_at?;
    let is_late = request.sent_at > shutdown_at + SHUTDOWN_NOTICE;
    let is_forwarded = !request.attempts.is_empty();
    (is_late && is_forwarded).then(|| {
        format!(
            "it was sent {:?} after SIGTERM, forwarded, and unanswered at the kill at \
             {killed_at:?}",
            request.sent_at.saturating_sub(shutdown_at)
        )
    })
}
