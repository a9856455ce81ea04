//! The time that a node is told to have for a request is at most what is left to the client.

use super::history::History;
use super::{Rule, Violation, PROTOCOL_SLACK};
use std::time::Duration;

/// How much more than what is left to the client may be stated.
const STATED_SLACK: Duration = Duration::from_millis(150);

/// Returns the attempts that state too much time.
pub(super) fn violations(history: &History<'_>) -> Vec<Violation> {
    let mut violations = Vec::new();
    for request in history.requests.values() {
        let ends_at = request.sent_at + request.sent.timeout;
        for attempt in &request.attempts {
            let left = ends_at.saturating_sub(attempt.first_byte_at);
            if attempt.stated_timeout <= left + STATED_SLACK + PROTOCOL_SLACK {
                continue;
            }
            let stated = attempt.stated_timeout;
            let text = format!("{} was told {stated:?}, with {left:?} left", attempt.node);
            let at = attempt.first_byte_at;
            violations.push(history.request_violation(Rule::Deadline, request, at, text));
        }
    }
    violations
}
