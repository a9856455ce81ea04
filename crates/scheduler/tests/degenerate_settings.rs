//! Settings and events with values at the end of their range.

mod common;

use common::{attempt, dispatched, served, settings, volume_plan, SchedulerHarness, MILLISECOND};
use io_scheduler::{Event, Request, Units};

#[test]
fn rates_units_and_periods_of_zero_still_let_every_request_through() {
    let mut settings = settings();
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
        assert_eq!(dispatched(&actions), [attempt(id, 0)]);
        let mut end = served(id, 0);
        if let Event::AttemptCompleted(attempt) = &mut end {
            attempt.utilization = Some(0.0);
        }
        harness.handle(&[end]);
    }
}
