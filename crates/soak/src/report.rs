//! The results of all seeds, as text and as JSON.

use crate::judge::{Rule, Violation};
use crate::plan::Plan;
use crate::record::{Event, Record, ReplyKind};
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

/// Times in the records of a run whose threads ran later than this are not judged.
pub const MAX_LATENESS: Duration = Duration::from_millis(50);

/// The verdict on a seed.
#[derive(Clone, Debug, Serialize)]
pub enum Verdict {
    /// No rule was violated.
    Passed,
    /// Rules were violated.
    Violated(Vec<Violation>),
    /// Violations were found, but threads of the rig ran so late that the times in the records are
    /// not exact.
    NotJudged {
        /// How late a thread ran.
        lateness: Duration,
        /// What was found.
        found: Vec<Violation>,
    },
    /// The run failed.
    NotRun(String),
}

/// How many requests were sent, and how they ended.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct RequestCounts {
    /// Requests sent.
    pub sent: usize,
    /// Requests that a node served.
    pub served: usize,
    /// Requests that were rejected.
    pub rejected: usize,
    /// Requests that failed.
    pub failed: usize,
    /// Attempts that nodes received.
    pub attempts: usize,
}

/// The result of a seed.
#[derive(Clone, Debug, Serialize)]
pub struct SeedResult {
    /// The plan.
    pub plan: Plan,
    /// The verdict.
    pub verdict: Verdict,
    /// The requests.
    pub counts: RequestCounts,
}

impl Verdict {
    /// Returns the verdict on a run.
    #[must_use]
    pub fn of(violations: Vec<Violation>, lateness: Duration) -> Verdict {
        if violations.is_empty() {
            Verdict::Passed
        } else if lateness > MAX_LATENESS {
            let found = violations;
            Verdict::NotJudged { lateness, found }
        } else {
            Verdict::Violated(violations)
        }
    }
}

/// Counts the requests in the records of a run.
#[must_use]
pub fn count_requests(records: &[Record]) -> RequestCounts {
    let mut counts = RequestCounts::default();
    for record in records {
        match &record.event {
            Event::RequestSent(_) => counts.sent += 1,
            Event::AttemptReceived(_) => counts.attempts += 1,
            Event::ReplyReceived { reply, .. } => match reply {
                ReplyKind::Served => counts.served += 1,
                ReplyKind::Rejected => counts.rejected += 1,
                ReplyKind::Failed | ReplyKind::WrongValue => counts.failed += 1,
            },
            _ => {}
        }
    }
    counts
}

/// Returns the line for a seed, followed by its violations with their timelines.
#[must_use]
pub fn format_seed(result: &SeedResult) -> String {
    let RequestCounts {
        sent,
        served,
        rejected,
        failed,
        ..
    } = result.counts;
    let (verdict, violations) = match &result.verdict {
        Verdict::Passed => ("passed".to_owned(), &[][..]),
        Verdict::Violated(found) => (format!("{} violations", found.len()), found.as_slice()),
        Verdict::NotJudged { lateness, found } => {
            let text = format!("not judged, {} found, late by {lateness:?}", found.len());
            (text, found.as_slice())
        }
        Verdict::NotRun(error) => (format!("not run: {error}"), &[][..]),
    };
    let mut text = format!(
        "seed {}: {verdict} ({sent} sent, {served} served, {rejected} rejected, {failed} failed)\n",
        result.plan.seed
    );
    for violation in violations {
        let request = violation.request.as_deref().unwrap_or("-");
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "  {:?} at {:.3?}, request {request}: {}",
            violation.rule, violation.at, violation.text
        );
        for record in &violation.timeline {
            let _ = writeln!(text, "    {:.3?} {:?}", record.at, record.event);
        }
    }
    text
}

/// Returns the summary of all seeds, by verdict and by rule.
#[must_use]
pub fn format_summary(results: &[SeedResult]) -> String {
    let mut by_rule: BTreeMap<Rule, usize> = BTreeMap::new();
    let (mut passed, mut violated, mut not_judged, mut not_run) = (0, 0, 0, 0);
    for result in results {
        match &result.verdict {
            Verdict::Passed => passed += 1,
            Verdict::Violated(violations) => {
                violated += 1;
                for violation in violations {
                    *by_rule.entry(violation.rule).or_default() += 1;
                }
            }
            Verdict::NotJudged { .. } => not_judged += 1,
            Verdict::NotRun(_) => not_run += 1,
        }
    }
    let mut text = format!(
        "{} seeds: {passed} passed, {violated} violated, {not_judged} not judged, \
         {not_run} not run\n",
        results.len()
    );
    for (rule, count) in by_rule {
        let _ = writeln!(text, "  {rule:?}: {count}");
    }
    text
}
