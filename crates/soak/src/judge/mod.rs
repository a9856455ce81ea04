//! Finds violations of the rules in the records of a run.
//!
//! Each rule is in a module of its own and reads the [`History`], which arranges the records by
//! request, connection, node and process.

mod abandoned;
mod deadline;
mod drain;
mod duplicate;
mod history;
mod lost;
mod process;

pub use history::History;

use crate::record::Record;
use serde::Serialize;
use std::time::Duration;

/// The protocol extends every time limit by this.
pub const PROTOCOL_SLACK: Duration = Duration::from_millis(50);

/// The rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum Rule {
    /// Every request gets its final reply in time.
    Lost,
    /// A request that may not be repeated reaches nodes once.
    Duplicate,
    /// No request goes to a node after the drain grace.
    Drain,
    /// The time stated to a node is at most what is left to the client.
    Deadline,
    /// No attempt begins after the client has closed its connection.
    Abandoned,
    /// A process is ready in time, and ends only when it was asked to.
    Process,
}

/// Bounds of the rules that the settings of the deployment state.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// How long a gateway may send to a node after the notification that it drains.
    pub drain_grace: Duration,
}

/// A violation of a rule.
#[derive(Clone, Debug, Serialize)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// When it was violated.
    pub at: Duration,
    /// The request concerned, if there is one.
    pub request: Option<String>,
    /// What happened, in one sentence.
    pub text: String,
    /// All records of the request, or of the process if there is no request.
    pub timeline: Vec<Record>,
}

/// Returns all violations in the records, which must be ordered by time.
#[must_use]
pub fn judge(records: &[Record], bounds: Bounds) -> Vec<Violation> {
    let history = History::new(records);
    let mut violations = lost::violations(&history);
    violations.extend(duplicate::violations(&history));
    violations.extend(drain::violations(&history, bounds.drain_grace));
    violations.extend(deadline::violations(&history));
    violations.extend(abandoned::violations(&history));
    violations.extend(process::violations(&history));
    violations.sort_by_key(|violation| (violation.at, violation.rule));
    violations
}
