//! How many requests of this host may be in flight at a node at once.
//!
//! Inputs: latency and outcome of each completed attempt, and the latency objective of its class,
//! in microseconds. The limit follows AIMD: it rises with quick responses and falls with slow ones
//! and timeouts, since a slow response is a sign of a queue at the node. A limit below one spaces
//! dispatches out in time instead (pacing). The node's own queue is first in, first out; a low
//! limit leaves the order to dmClock.

use super::Measurement;
use crate::api::{Micros, Outcome};
use crate::time::Latency;

/// Highest concurrency limit: enough requests to keep a node busy.
pub const MAX_IN_FLIGHT: usize = 5;
/// [`MAX_IN_FLIGHT`] as a limit.
const MAX_CONCURRENCY_LIMIT: f64 = MAX_IN_FLIGHT as f64;
/// Lowest concurrency limit: one request in ten pacing intervals.
const MIN_CONCURRENCY_LIMIT: f64 = 0.1;
/// Limit at the start: if all hosts started at the maximum, they would overfill the node's queue.
const INITIAL_CONCURRENCY_LIMIT: f64 = 1.0;
/// Limit below which dispatches are paced.
const PACING_THRESHOLD: f64 = 1.0;
/// Requests that may always be in flight, however low the limit is.
const MIN_IN_FLIGHT: usize = 1;
/// Fraction of the latency objective above which a response is slow.
const SLOW_RESPONSE_FRACTION: f64 = 0.25;
/// Factor on the limit at a slow response or a timeout.
const MULTIPLICATIVE_DECREASE: f64 = 0.75;
/// Amount by which the limit rises while as many quick responses as the limit are received.
const ADDITIVE_INCREASE: f64 = 0.3;

/// Limit on the requests in flight at one node, with its pacing.
pub struct ConcurrencyLimit {
    /// The limit, in requests; below one, dispatches are paced.
    limit: f64,
    /// When the limit was last decreased.
    decreased_at: Micros,
    /// Latency of the last response, at most its latency objective: the unit of pacing.
    pacing_interval: Latency,
    /// When that response was received.
    pacing_started_at: Micros,
}

impl Default for ConcurrencyLimit {
    fn default() -> Self {
        ConcurrencyLimit {
            limit: INITIAL_CONCURRENCY_LIMIT,
            decreased_at: 0,
            pacing_interval: Latency::ZERO,
            pacing_started_at: 0,
        }
    }
}

impl ConcurrencyLimit {
    /// The limit, in requests; may be below one.
    pub fn get(&self) -> f64 {
        self.limit
    }

    /// The limit, at most one. Below one it is the rate of dispatches relative to that of a node
    /// which always has one request in flight.
    pub fn limit_up_to_one(&self) -> f64 {
        self.limit.min(PACING_THRESHOLD)
    }

    /// Whether the limit has its maximum.
    pub fn is_at_maximum(&self) -> bool {
        self.limit >= MAX_CONCURRENCY_LIMIT
    }

    /// Whether one more request may be dispatched while so many are in flight.
    ///
    /// `value` is the value of the request relative to reserved work, from 0 to 1. A low one scales
    /// down a limit that is below its maximum, so that hosts leave a busy node to reserved work
    /// without coordination.
    pub fn has_capacity(&self, in_flight: usize, value: f64, now: Micros) -> bool {
        let limit = self.limit_for_value(value);
        has_slot(limit, in_flight) && self.pacing_delay_is_over(limit, now)
    }

    /// The limit that holds for a request of this relative value.
    fn limit_for_value(&self, value: f64) -> f64 {
        let scale = value + (1.0 - value) * self.limit / MAX_CONCURRENCY_LIMIT;
        self.limit * scale
    }

    /// Whether enough time has passed since the last response for the next dispatch at a limit.
    fn pacing_delay_is_over(&self, limit: f64, now: Micros) -> bool {
        now >= self.pacing_started_at + self.pacing_delay(limit).to_micros()
    }

    /// Time between a response and the next dispatch at a limit; zero for a limit of one or more.
    fn pacing_delay(&self, limit: f64) -> Latency {
        self.pacing_interval * (PACING_THRESHOLD / limit - 1.0).max(0.0)
    }

    /// Adjusts the limit and restarts the pacing after an attempt.
    pub fn record(&mut self, measurement: &Measurement, now: Micros) {
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
        let interval = measurement.elapsed.min(measurement.latency_objective);
        self.pacing_interval = Latency::from_micros(interval);
        self.pacing_started_at = now;
    }

    /// Raises the limit after a quick response.
    fn increase(&mut self) {
        let responses_per_round = self.limit.max(1.0);
        let increased = self.limit + ADDITIVE_INCREASE / responses_per_round;
        self.limit = increased.min(MAX_CONCURRENCY_LIMIT);
    }

    /// Decreases the limit, at most once for all attempts that were dispatched before a decrease.
    fn decrease(&mut self, dispatched_at: Micros, now: Micros) {
        if dispatched_at >= self.decreased_at {
            let decreased = self.limit * MULTIPLICATIVE_DECREASE;
            self.limit = decreased.max(MIN_CONCURRENCY_LIMIT);
            self.decreased_at = now;
        }
    }
}

/// Whether a limit allows one more request while so many are in flight.
fn has_slot(limit: f64, in_flight: usize) -> bool {
    let max_in_flight = (limit as usize).max(MIN_IN_FLIGHT);
    in_flight < max_in_flight
}

/// Whether a response took a noticeable part of its latency objective.
fn is_slow(measurement: &Measurement) -> bool {
    let slow_from = Latency::from_micros(measurement.latency_objective) * SLOW_RESPONSE_FRACTION;
    Latency::from_micros(measurement.elapsed) > slow_from
}
