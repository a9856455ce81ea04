//! Limits how many requests of this host may be in flight at a node at once.
//!
//! The limit follows additive increase, multiplicative decrease (AIMD). Its inputs are the latency
//! and outcome of each completed attempt and the latency objective of the request's class; all
//! times are in microseconds. The limit rises with fast responses and falls with slow responses and
//! timeouts, because a slow response is a sign of a queue at the node. With a limit below one,
//! dispatches are spaced out in time (pacing). Since the node's own queue is first in, first out, a
//! low limit keeps requests at the host, where dmClock orders them.
//!
//! The limit is lowered further for requests of low value. The value of a request, from 0 to 1,
//! states how much its units are worth compared with reserved units; `dmclock::selection` explains
//! it.

use super::AttemptMeasurement;
use crate::api::{Micros, Outcome};
use crate::time::Latency;

/// Maximum concurrency limit: enough requests to keep a node busy.
pub const MAX_IN_FLIGHT: usize = 5;
/// [`MAX_IN_FLIGHT`] as a fractional limit.
const MAX_CONCURRENCY_LIMIT: f64 = MAX_IN_FLIGHT as f64;
/// Minimum concurrency limit: with pacing, a request is in flight for at most about a tenth of the
/// time.
const MIN_CONCURRENCY_LIMIT: f64 = 0.1;
/// Initial limit. If all hosts started at the maximum, they would overload the node's queue.
const INITIAL_CONCURRENCY_LIMIT: f64 = 1.0;
/// Limit below which dispatches are paced.
const PACING_THRESHOLD: f64 = 1.0;
/// Number of requests that may always be in flight, however low the limit is.
const MIN_IN_FLIGHT: usize = 1;
/// A response is slow if it takes more than this fraction of the latency objective.
const SLOW_RESPONSE_FRACTION: f64 = 0.25;
/// Factor applied to the limit after a slow response or a timeout.
const MULTIPLICATIVE_DECREASE: f64 = 0.75;
/// Amount by which the limit rises per round of fast responses; a round has as many responses as
/// the limit, but at least one.
const ADDITIVE_INCREASE: f64 = 0.3;

/// Limit on the requests in flight at one node, and the pacing of dispatches.
pub struct ConcurrencyLimit {
    /// The limit, in requests. Below one, dispatches are paced.
    limit: f64,
    /// Time at which the limit was last decreased.
    decreased_at: Micros,
    /// Unit of the pacing delay: the duration of the last attempt that was served, ended with an
    /// error or timed out, but at most its latency objective.
    last_attempt_duration: Latency,
    /// Time at which that attempt ended.
    pacing_started_at: Micros,
}

impl Default for ConcurrencyLimit {
    fn default() -> Self {
        ConcurrencyLimit {
            limit: INITIAL_CONCURRENCY_LIMIT,
            decreased_at: 0,
            last_attempt_duration: Latency::ZERO,
            pacing_started_at: 0,
        }
    }
}

impl ConcurrencyLimit {
    /// Returns the limit in requests, which may be below one.
    pub fn get(&self) -> f64 {
        self.limit
    }

    /// Returns the limit, capped at one. A result below one is approximately the fraction of time
    /// for which pacing allows a request to be in flight at the node.
    pub fn limit_capped_at_one(&self) -> f64 {
        self.limit.min(PACING_THRESHOLD)
    }

    /// Returns whether the limit is at its maximum.
    pub fn is_at_maximum(&self) -> bool {
        self.limit >= MAX_CONCURRENCY_LIMIT
    }

    /// Returns whether one more request may be dispatched while `in_flight` requests are in flight.
    ///
    /// `request_value` is the value of the request; it is 1 if the request is covered by a
    /// reservation. While the limit is below its maximum, a lower value reduces it further. Thus
    /// all hosts send a busy node fewer of the requests that no reservation covers, without
    /// coordination.
    pub fn has_capacity(&self, in_flight: usize, request_value: f64, now: Micros) -> bool {
        let limit = self.limit_for_value(request_value);
        has_slot(limit, in_flight) && self.pacing_delay_is_over(limit, now)
    }

    /// Returns the limit that applies to a request of this value.
    fn limit_for_value(&self, request_value: f64) -> f64 {
        let scale = request_value + (1.0 - request_value) * self.limit / MAX_CONCURRENCY_LIMIT;
        self.limit * scale
    }

    /// Returns whether the pacing delay for this limit has passed.
    fn pacing_delay_is_over(&self, limit: f64, now: Micros) -> bool {
        now >= self.pacing_started_at + self.pacing_delay(limit).to_micros()
    }

    /// Returns the time by which the next dispatch is delayed after an attempt has ended; zero for
    /// a limit of one or more.
    fn pacing_delay(&self, limit: f64) -> Latency {
        self.last_attempt_duration * (PACING_THRESHOLD / limit - 1.0).max(0.0)
    }

    /// Adjusts the limit and restarts the pacing delay after an attempt.
    pub fn record(&mut self, measurement: &AttemptMeasurement, now: Micros) {
        match measurement.outcome {
            Outcome::Served | Outcome::Error if !is_slow(measurement) => self.increase(),
            Outcome::Served | Outcome::Error | Outcome::TimedOut => {
                self.decrease(measurement.dispatched_at, now);
            }
            Outcome::Overloaded
            | Outcome::ConnectFailed
            | Outcome::Reset
            | Outcome::Cancelled
            | Outcome::NotDispatched => return,
        }
        let duration = measurement.elapsed.min(measurement.latency_objective);
        self.last_attempt_duration = Latency::from_micros(duration);
        self.pacing_started_at = now;
    }

    /// Increases the limit after a fast response.
    fn increase(&mut self) {
        let responses_per_round = self.limit.max(1.0);
        let increased = self.limit + ADDITIVE_INCREASE / responses_per_round;
        self.limit = increased.min(MAX_CONCURRENCY_LIMIT);
    }

    /// Decreases the limit, unless the attempt was dispatched before the last decrease. Attempts
    /// that were in flight at a decrease thus do not decrease the limit again.
    fn decrease(&mut self, dispatched_at: Micros, now: Micros) {
        if dispatched_at >= self.decreased_at {
            let decreased = self.limit * MULTIPLICATIVE_DECREASE;
            self.limit = decreased.max(MIN_CONCURRENCY_LIMIT);
            self.decreased_at = now;
        }
    }
}

/// Returns whether a limit allows one more request while `in_flight` requests are in flight.
fn has_slot(limit: f64, in_flight: usize) -> bool {
    let max_in_flight = (limit as usize).max(MIN_IN_FLIGHT);
    in_flight < max_in_flight
}

/// Returns whether a response took more than [`SLOW_RESPONSE_FRACTION`] of its latency objective.
fn is_slow(measurement: &AttemptMeasurement) -> bool {
    let slow_threshold =
        Latency::from_micros(measurement.latency_objective) * SLOW_RESPONSE_FRACTION;
    Latency::from_micros(measurement.elapsed) > slow_threshold
}
