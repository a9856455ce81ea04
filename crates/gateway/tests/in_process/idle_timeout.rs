//! The estimate of how long a node keeps an idle connection.

use io_scheduler::Micros;
use storage_gateway::connections::node::idle_timeout::IdleTimeoutEstimate;

const MS: Micros = 1_000;
/// The longest idle timeout that the settings allow.
const MAX_IDLE_TIMEOUT: Micros = 21_000 * MS;

/// A node that closes idle connections sooner than its settings say gets no request on a
/// connection that was idle for so long, least of all a write. A single reset with another cause
/// has no lasting effect.
#[test]
fn connections_idle_beyond_the_estimate_are_not_reused() {
    let mut estimate = IdleTimeoutEstimate::new(MAX_IDLE_TIMEOUT);
    assert!(
        estimate.allows_non_idempotent(10_000 * MS) && !estimate.allows_non_idempotent(11_000 * MS)
    );
    estimate.record_reset(200 * MS, 80 * MS);
    estimate.record_reset(5 * MS, MS);
    assert_eq!(
        estimate.max_idle_time(),
        MAX_IDLE_TIMEOUT,
        "the first reset came long after the request, \
         the second on a connection that was hardly idle"
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
        "responses on busy connections say nothing"
    );
    for _ in 0..100 {
        estimate.record_response(estimate.max_idle_time());
    }
    assert_eq!(estimate.max_idle_time(), MAX_IDLE_TIMEOUT);
    estimate.record_reset(200 * MS, MS);
    assert_eq!(
        estimate.max_idle_time(),
        MAX_IDLE_TIMEOUT,
        "longer idle times did no harm"
    );
    for _ in 0..10 {
        estimate.record_reset(200 * MS, MS);
    }
    assert_eq!(
        estimate.max_idle_time(),
        150 * MS,
        "repeated resets outweigh them"
    );
}
