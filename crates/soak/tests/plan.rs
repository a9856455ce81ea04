//! Plans and arguments.

use gateway_soak::arguments::{Arguments, SeedRange};
use gateway_soak::plan::{plan, Action, FaultClass, Scenario, RUN_TIME};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use clap::Parser;

#[test]
fn seed_gives_the_same_plan_and_another_seed_a_different_one() {
    let none = BTreeSet::new();
    let first = plan(7, Scenario::Mixed, &none);
    assert_eq!(first, plan(7, Scenario::Mixed, &none));
    assert_ne!(first.steps, plan(8, Scenario::Mixed, &none).steps);
}

#[test]
fn steps_are_ordered_by_time_and_faults_begin_within_the_run() {
    for seed in 0..50 {
        let plan = plan(seed, Scenario::Mixed, &BTreeSet::new());
        assert!(plan.steps.is_sorted_by_key(|step| step.at));
        let first = plan.steps.first().expect("a plan should have steps");
        assert!(first.at < RUN_TIME);
    }
}

#[test]
fn hold_is_at_most_150_ms_long() {
    for seed in 0..50 {
        for step in plan(seed, Scenario::Drain, &BTreeSet::new()).steps {
            if let Action::Hold { hold_ms, .. } = step.action {
                assert!(hold_ms <= 150);
            }
        }
    }
}

/// Two holds in a row, with no time to run in between, are one longer hold, which the terms do not
/// have. The second one of a pair that overlaps has no effect: the end of the first continues the
/// process.
#[test]
fn holds_in_a_row_do_not_add_up_to_a_longer_one() {
    const MIN_RUN: Duration = Duration::from_millis(20);
    for seed in 0..300 {
        let steps = plan(seed, Scenario::Drain, &BTreeSet::new()).steps;
        let mut held_until: BTreeMap<usize, Duration> = BTreeMap::new();
        for step in steps {
            let Action::Hold { gateway, hold_ms } = step.action else {
                continue;
            };
            let end = step.at + Duration::from_millis(hold_ms);
            let until = held_until.entry(gateway).or_default();
            if step.at >= *until {
                assert!(step.at >= *until + MIN_RUN, "seed {seed} at {:?}", step.at);
                *until = end;
            }
        }
    }
}

#[test]
fn class_that_is_left_out_has_no_steps() {
    let without = BTreeSet::from([FaultClass::Signals, FaultClass::Holds]);
    for seed in 0..50 {
        for step in plan(seed, Scenario::Mixed, &without).steps {
            assert!(!matches!(
                step.action,
                Action::Hold { .. }
                    | Action::ShutDown { .. }
                    | Action::Kill { .. }
                    | Action::Reload { .. }
            ));
        }
    }
}

#[test]
fn range_of_seeds_is_parsed() {
    let seeds = |text: &str| text.parse::<SeedRange>().ok();
    let range = |first, last| Some(SeedRange { first, last });
    assert_eq!(seeds("1..50"), range(1, 50));
    assert_eq!(seeds("7"), range(7, 7));
    assert_eq!(seeds("9..1"), None);
    assert_eq!(seeds("a..1"), None);
}

#[test]
fn command_line_is_accepted() {
    let line = "gateway-soak --seeds 1..50 --scenario drain --without nodes,holds --time-limit 60";
    let arguments = Arguments::try_parse_from(line.split(' ')).expect("the line should be valid");
    assert_eq!(arguments.scenario, Some(Scenario::Drain));
    assert_eq!(arguments.without, [FaultClass::Nodes, FaultClass::Holds]);
}
