//! The command `gateway-soak`.

use clap::Parser;
use gateway_soak::arguments::Arguments;
use gateway_soak::plan::{plan, Scenario};
use gateway_soak::report::{format_seed, format_summary, SeedResult, Verdict};
use gateway_soak::rig::RigOptions;
use gateway_soak::seed::run_and_judge;
use std::collections::BTreeSet;
use std::process::ExitCode;
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// The scenarios that seeds choose from.
const SCENARIOS: [Scenario; 4] = [
    Scenario::Mixed,
    Scenario::Shutdown,
    Scenario::Drain,
    Scenario::Restart,
];

/// Runs all seeds, prints the results and writes them as JSON.
fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let results = run_seeds(&arguments);
    print!("{}", format_summary(&results));
    if let Some(path) = &arguments.json {
        let text = serde_json::to_string_pretty(&results).unwrap_or_default();
        if let Err(error) = std::fs::write(path, text) {
            eprintln!("gateway-soak: {}: {error}", path.display());
            return ExitCode::FAILURE;
        }
    }
    let has_failed =
        |result: &SeedResult| matches!(result.verdict, Verdict::Violated(_) | Verdict::NotRun(_));
    if results.iter().any(has_failed) {
        ExitCode::FAILURE
    } else {
        ExitCode::SUCCESS
    }
}

/// Runs the seeds, several at a time, and returns the results by seed.
fn run_seeds(arguments: &Arguments) -> Vec<SeedResult> {
    let started = Instant::now();
    let time_limit = arguments.time_limit.map(Duration::from_secs);
    let next_seed = Mutex::new(arguments.seeds.first);
    let results = Mutex::new(Vec::new());
    let take_seed = || {
        let mut next = next_seed.lock().unwrap_or_else(PoisonError::into_inner);
        let is_over = time_limit.is_some_and(|limit| started.elapsed() >= limit);
        (*next <= arguments.seeds.last && !is_over).then(|| {
            *next += 1;
            *next - 1
        })
    };
    thread::scope(|scope| {
        for _ in 0..arguments.parallel.max(1) {
            scope.spawn(|| {
                while let Some(seed) = take_seed() {
                    let result = run_seed(seed, arguments);
                    print!("{}", format_seed(&result));
                    let mut results = results.lock().unwrap_or_else(PoisonError::into_inner);
                    results.push(result);
                }
            });
        }
    });
    let mut results = results.into_inner().unwrap_or_else(PoisonError::into_inner);
    results.sort_by_key(|result| result.plan.seed);
    results
}

/// Runs a seed and judges it.
fn run_seed(seed: u64, arguments: &Arguments) -> SeedResult {
    let position = seed as usize % SCENARIOS.len();
    let scenario = arguments.scenario.unwrap_or(SCENARIOS[position]);
    let without: BTreeSet<_> = arguments.without.iter().copied().collect();
    let plan = plan(seed, scenario, &without);
    let options = RigOptions {
        program: arguments.gateway.clone(),
        logs: arguments.logs.clone(),
    };
    run_and_judge(plan, &options)
}
