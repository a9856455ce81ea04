//! No attempt begins more than 0.1 s after the client has closed its connection.

use super::history::History;
use super::{Rule, Violation, PROTOCOL_SLACK};
use std::time::Duration;

/// How long after the close an attempt may begin.
const CLOSE_NOTICE: Duration = Duration::from_millis(100);

/// Returns the attempts that began too late.
pub(super) fn violations(history: &History<'_>) -> Vec<Violation> {
    let mut violations = Vec::new();
    for request in history.requests.values() {
        let connection = history.connections.get(&request.sent.connection);
        let Some(closed_at) = connection.and_then(|connection| connection.closed_at) else {
            continue;
        };
        for attempt in &request.attempts {
            let began_at = attempt.first_byte_at;
            if began_at <= closed_at + CLOSE_NOTICE + PROTOCOL_SLACK {
                continue;
            }
            let after = began_at - closed_at;
            let text = format!(
                "an attempt at {} began {after:?} after the close",
                attempt.node
            );
            violations.push(history.request_violation(Rule::Abandoned, request, began_at, text));
        }
    }
    violations
}
