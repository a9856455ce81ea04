//! The timer queue.

use io_scheduler::RequestId;
use storage_gateway::connection_token::ConnectionToken;
use storage_gateway::storage_request::AttemptId;
use storage_gateway::timer_queue::{DispatcherTimer, Timer, TimerQueue};

#[test]
fn timers_expire_in_order_of_time_and_attempts_before_the_scheduler() {
    let mut timers = TimerQueue::default();
    let attempt = Timer::from(DispatcherTimer::AttemptTimeout(AttemptId {
        request: RequestId(1),
        number: 0,
    }));
    let scheduler = Timer::from(DispatcherTimer::Scheduler);
    let mut scheduler_timer = None;
    timers.reschedule(&mut scheduler_timer, Some(9), scheduler);
    timers.reschedule(&mut scheduler_timer, Some(5), scheduler);
    timers.set(5, attempt);
    timers.set(4, Timer::DiscoveryWatch);
    timers.set(3, Timer::Connection(ConnectionToken::from(7)));
    timers.cancel(3, Timer::Connection(ConnectionToken::from(7)));
    assert_eq!(timers.next_expiry(), Some(4));
    let expired: Vec<Timer> = std::iter::from_fn(|| timers.pop_expired(5)).collect();
    assert_eq!(expired, [Timer::DiscoveryWatch, attempt, scheduler]);
    assert_eq!(timers.next_expiry(), None);
}
