//! A process is ready in time after its start, and ends only after a signal.

use super::history::{History, ProcessHistory};
use super::{Rule, Violation};
use std::time::Duration;

/// How long a process may take until it replies to a client.
const MAX_READY_TIME: Duration = Duration::from_secs(10);

/// Returns the violations of all processes.
pub(super) fn violations(history: &History<'_>) -> Vec<Violation> {
    history.processes.iter().filter_map(violation).collect()
}

/// Returns the violation of a process, if there is one.
fn violation(process: &ProcessHistory) -> Option<Violation> {
    let gateway = process.gateway;
    if let Some((at, success)) = process.exited {
        if process.shutdown_requested_at.is_none() || !success {
            return Some(process_violation(
                at,
                format!("gateway {gateway} has crashed"),
            ));
        }
    }
    let due_at = process.started_at + MAX_READY_TIME;
    let ends_before_due = |at: Option<Duration>| at.is_some_and(|at| at <= due_at);
    if ends_before_due(process.shutdown_requested_at) || ends_before_due(process.ended_at()) {
        return None;
    }
    let is_ready = process.ready_at.is_some_and(|at| at <= due_at);
    let text = format!("gateway {gateway} was not ready {MAX_READY_TIME:?} after its start");
    (!is_ready).then(|| process_violation(due_at, text))
}

/// Creates a violation that concerns no request.
fn process_violation(at: Duration, text: String) -> Violation {
    Violation {
        rule: Rule::Process,
        at,
        request: None,
        text,
        timeline: Vec::new(),
    }
}
