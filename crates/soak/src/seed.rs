//! Runs the plan of a seed and judges it.

use crate::judge::judge;
use crate::plan::Plan;
use crate::report::{count_requests, RequestCounts, SeedResult, Verdict};
use crate::rig::{run, RigOptions};

/// Runs a plan and judges the records. A run that fails is a result, too.
#[must_use]
pub fn run_and_judge(plan: Plan, options: &RigOptions) -> SeedResult {
    let (verdict, counts) = match run(&plan, options) {
        Ok(result) => (
            Verdict::of(judge(&result.records, result.bounds), result.lateness),
            count_requests(&result.records),
        ),
        Err(error) => (Verdict::NotRun(error.to_string()), RequestCounts::default()),
    };
    SeedResult {
        plan,
        verdict,
        counts,
    }
}
