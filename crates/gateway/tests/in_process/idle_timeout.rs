//! The estimate of how long a node keeps an idle connection open.

use io_scheduler::Micros;
use storage_gateway::connections::node::idle_timeout::IdleTimeoutEstimate;

/// Microseconds in one millisecond.
const MS: Micros = 1_000;
/// Maximum of the estimate, which the settings specify, in microseconds.
const MAX_IDLE_TIMEOUT: Micros = 21_000 * MS;

/// A node may drop idle connections before the idle timeout of the settings. The gateway must not
/// reuse a connection that was idle for longer than the estimate, or than half of it for a
/// non-idempotent request. Resets after a sufficient idle time lower the estimate, and responses
/// after a long idle time raise it again. A single reset after a shorter idle time than that of an
/// answered request is ignored, because it has another cause.
#[test]
fn resets_lower_and_responses_raise_the_idle_timeout_estimate() {
    let mut estimate = IdleTimeoutEstimate::new(MAX_IDLE_TIMEOUT);
    assert!(
        estimate.allows_non_idempotent(10_000 * MS) && !estimate.allows_non_idempotent(11_000 * MS)
    );
    estimate.record_reset(200 * MS, 80 * MS);
    estimate.record_reset(5 * MS, MS);
    assert_eq!(
        estimate.max_idle_time(),
        MAX_IDLE_TIMEOUT,
        "resets should be ignored 80 ms after the request or after an idle time of only 5 ms"
    );
    estimate.record_reset(200 * MS, MS);
    assert!(estimate.allows_idempotent(150 * MS));
    assert!(!estimate.allows_idempotent(151 * MS));
    assert!(!estimate.allows_non_idempotent(76 * MS));
    for _ in 0..100 {
        estimate.record_response(10 * MS);
    }
    assert_eq!(
        estimate.max_idle_time(),
        150 * MS,
        "responses after a short idle time should not change the estimate"
    );
    for _ in 0..100 {
        estimate.record_response(estimate.max_idle_time());
    }
    assert_eq!(estimate.max_idle_time(), MAX_IDLE_TIMEOUT);
    estimate.record_reset(200 * MS, MS);
    assert_eq!(
        estimate.max_idle_time(),
        MAX_IDLE_TIMEOUT,
        "a single reset should be ignored after responses on connections that were idle for longer"
    );
    for _ in 0..10 {
        estimate.record_reset(200 * MS, MS);
    }
    assert_eq!(
        estimate.max_idle_time(),
        150 * MS,
        "repeated resets should lower the estimate despite responses after longer idle times"
    );
}
