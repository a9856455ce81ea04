//! The order in which timers expire, rescheduling and cancellation.

use io_scheduler::RequestId;
use storage_gateway::connection_token::ConnectionToken;
use storage_gateway::storage_request::AttemptId;
use storage_gateway::timer_queue::{DispatcherTimer, Timer, TimerQueue};

/// If an attempt timeout and the scheduler's timer expire at the same time, the attempt timeout is
/// handled first.
#[test]
fn timers_expire_in_time_order_with_attempt_timeouts_before_the_scheduler() {
    let mut timers = TimerQueue::default();
    let attempt_timeout = Timer::from(DispatcherTimer::AttemptTimeout(AttemptId {
        request: RequestId(1),
        number: 0,
    }));
    let scheduler = Timer::from(DispatcherTimer::Scheduler);
    let mut scheduler_expires_at = None;
    timers.reschedule(&mut scheduler_expires_at, Some(9), scheduler);
    timers.reschedule(&mut scheduler_expires_at, Some(5), scheduler);
    timers.set(5, attempt_timeout);
    timers.set(4, Timer::DiscoveryWatch);
    timers.set(3, Timer::Connection(ConnectionToken::from(7)));
    timers.cancel(3, Timer::Connection(ConnectionToken::from(7)));
    assert_eq!(timers.next_expiry(), Some(4));
    let expired: Vec<Timer> = std::iter::from_fn(|| timers.pop_expired(5)).collect();
    assert_eq!(expired, [Timer::DiscoveryWatch, attempt_timeout, scheduler]);
    assert_eq!(timers.next_expiry(), None);
}
