//! A request that may not be repeated is executed at most once. An attempt that the node rejects is
//! not executed.

use super::history::{History, RequestHistory};
use super::{Rule, Violation};

/// Returns the requests that were executed more often than allowed.
pub(super) fn violations(history: &History<'_>) -> Vec<Violation> {
    let requests = history.requests.values();
    requests
        .filter(|request| !request.sent.is_idempotent)
        .filter_map(|request| violation(history, request))
        .collect()
}

/// Returns the violation of a request that may not be repeated, if there is one.
fn violation(history: &History<'_>, request: &RequestHistory<'_>) -> Option<Violation> {
    let mut executed = request
        .attempts
        .iter()
        .filter(|attempt| attempt.is_executed);
    executed.next()?;
    let second = executed.next()?;
    let text = format!("{} executed it once more", second.node);
    Some(history.request_violation(Rule::Duplicate, request, second.first_byte_at, text))
}
