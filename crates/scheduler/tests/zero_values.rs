//! Settings and events whose values are zero.

mod common;

use common::{
    attempt, default_settings, dispatched_attempts, served, volume_plan, SchedulerHarness,
    MILLISECOND,
};
use io_scheduler::{Event, Request, Units};

#[test]
fn requests_are_dispatched_if_rates_units_and_periods_are_zero() {
    let mut settings = default_settings();
    settings.plans = vec![volume_plan(0.0, 0.0, 0.0)];
    settings.mean_units = Units::ZERO;
    settings.max_units = Units::ZERO;
    settings.slow_start.initial_capacity = 0.0;
    settings.slow_start.duration = 0;
    settings.slow_start.initial_units_per_window = Units::ZERO;
    settings.host_count = 0;
    let mut harness = SchedulerHarness::new(settings, 1);
    for _ in 0..20 {
        let request = Request {
            units: Units::ZERO,
            host_count: 0.0,
            ..harness.request(Some(0))
        };
        let id = request.id.0;
        let now = harness.now + MILLISECOND;
        let actions = harness.handle_at(now, &[Event::RequestReceived(request)]);
        assert_eq!(dispatched_attempts(&actions), [attempt(id, 0)]);
        let mut completion = served(id, 0);
        if let Event::AttemptCompleted(attempt) = &mut completion {
            attempt.utilization = Some(0.0);
        }
        harness.handle(&[completion]);
    }
}
