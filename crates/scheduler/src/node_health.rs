//! Health of a node, measured by its attempts: latency, losses, concurrency limit (AIMD), outlier ejection.

use crate::api::{CompletedAttempt, Micros, Outcome, Settings};
use crate::state::{Attempt, NodeHealth, PendingRequest};

/// Maximum of requests that one host has in flight at a node: enough to keep it busy, and few enough that
/// the order is decided by dmClock here rather than by the node's own queue, which is first in, first out.
pub const MAX_IN_FLIGHT: usize = 5;
/// Time (microseconds) without a response that halves the expected latency, so that a slow node is retried.
const LATENCY_HALF_LIFE: f64 = 250_000.0;
/// Fraction of the latency objective above which a response is slow, a sign of a queue at the node.
const SLOW_RESPONSE: f64 = 0.25;
/// AIMD of the concurrency limit: factor for a slow response, increase for a round of quick ones, minimum.
const MULTIPLICATIVE_DECREASE: f64 = 0.75;
const ADDITIVE_INCREASE: f64 = 0.3;
const MIN_CONCURRENCY_LIMIT: f64 = 0.1;
/// Attempt timeout as a multiple of the node's latency: lost responses must not occupy its few slots.
const ATTEMPT_TIMEOUT_FACTOR: f64 = 4.0;
/// Weight of a new sample in the moving averages: of latency and error rate, and of the loss rate.
const LATENCY_GAIN: f64 = 0.1;
const LOSS_GAIN: f64 = 0.03;
/// Above this loss rate, attempts time out at the mean latency and so many deviations, if that is less than
/// `MAX_LOSS_TIMEOUT` as a fraction of the latency objective.
const LOSS_RATE_THRESHOLD: f64 = 0.16;
const LOSS_TIMEOUT_DEVIATIONS: f64 = 4.0;
const MAX_LOSS_TIMEOUT: f64 = 0.6;
/// Fraction of a latency that is proportional to the request's units; the rest does not depend on them.
const SIZE_DEPENDENT_LATENCY: f64 = 0.5;
/// An ejected node gets one trial attempt per half-open interval, which doubles with each further failure.
const CONSECUTIVE_FAILURES_TO_EJECT: u32 = 3;
const MIN_HALF_OPEN_INTERVAL: Micros = 100_000;
const MAX_HALF_OPEN_INTERVAL: Micros = 1_000_000;
/// Pause after a node responded that it is overloaded.
const OVERLOAD_PAUSE: Micros = 20_000;

/// Expected latency of a request of this size, as a multiple of the latency of a request of mean size.
pub fn relative_latency(units: f64, settings: &Settings) -> f64 {
    1.0 - SIZE_DEPENDENT_LATENCY + SIZE_DEPENDENT_LATENCY * units / settings.mean_units.max(1e-9)
}

impl NodeHealth {
    /// The limit starts at one: if all hosts started at the maximum, they would overfill the node's queue.
    pub fn new() -> Self {
        NodeHealth { concurrency_limit: 1.0, ..NodeHealth::default() }
    }

    /// Whether the node is an outlier, which gets trial attempts only.
    pub fn is_ejected(&self) -> bool {
        self.consecutive_failures >= CONSECUTIVE_FAILURES_TO_EJECT
    }

    /// Pauses an ejected node until its next trial attempt.
    pub fn start_half_open_interval(&mut self, now: Micros) {
        let doublings = (self.consecutive_failures - CONSECUTIVE_FAILURES_TO_EJECT).min(5);
        self.paused_until = now + (MIN_HALF_OPEN_INTERVAL << doublings).min(MAX_HALF_OPEN_INTERVAL);
    }

    /// Whether nothing is in flight and the concurrency limit is at its maximum.
    pub fn is_idle(&self, in_flight: usize) -> bool {
        in_flight == 0 && self.concurrency_limit >= MAX_IN_FLIGHT as f64
    }

    /// Whether the concurrency limit allows one more request; a limit below 1 spaces dispatches out instead.
    /// `value` below 1 scales a reduced limit down, so that hosts prefer reserved work without coordination.
    pub fn has_capacity(&self, in_flight: usize, value: f64, now: Micros) -> bool {
        let scale = value + (1.0 - value) * self.concurrency_limit / MAX_IN_FLIGHT as f64;
        let limit = self.concurrency_limit * scale;
        let pause = self.pacing_interval * (1.0 / limit - 1.0).max(0.0);
        in_flight < (limit as usize).max(1) && now >= self.paced_since + pause as Micros
    }

    /// Expected latency of a request of mean size dispatched now, in microseconds; 0 before any sample.
    pub fn expected_latency(&self, now: Micros) -> f64 {
        let Some(latency) = self.latency.mean else { return 0.0 };
        let half_lives = (now - self.last_served_at) as f64 / LATENCY_HALF_LIFE;
        (latency + self.latency.deviation) * 0.5f64.powf(half_lives)
    }

    /// When an attempt dispatched now times out, apart from the request's deadline. The timeout is shorter
    /// where a part of the responses is lost and the others are quick.
    pub fn attempt_deadline(&self, pending: &PendingRequest, now: Micros) -> Micros {
        let scale = pending.relative_latency;
        let Some(latency) = self.latency.mean else { return pending.objective_at.max(now) };
        let loss_timeout = latency + LOSS_TIMEOUT_DEVIATIONS * self.latency.deviation;
        let is_quick = loss_timeout < MAX_LOSS_TIMEOUT * pending.class.latency_objective as f64;
        if is_quick && self.loss_rate > LOSS_RATE_THRESHOLD && !self.is_ejected() {
            return now + (loss_timeout * scale.max(1.0)) as Micros;
        }
        pending.objective_at.max(now + (ATTEMPT_TIMEOUT_FACTOR * scale * latency) as Micros)
    }

    /// Updates the moving averages, the count of failures and the pause after an attempt.
    pub fn record(&mut self, pending: &PendingRequest, completed: &CompletedAttempt, now: Micros) {
        match completed.outcome {
            Outcome::Served => self.record_served(completed.elapsed as f64 / pending.relative_latency, now),
            Outcome::Error => self.error_rate += LATENCY_GAIN * (1.0 - self.error_rate),
            Outcome::Overloaded => self.paused_until = self.paused_until.max(now + OVERLOAD_PAUSE),
            Outcome::TimedOut | Outcome::ConnectFailed | Outcome::Reset => {
                self.consecutive_failures += 1;
                self.loss_rate += LOSS_GAIN * (1.0 - self.loss_rate);
            }
            Outcome::Cancelled | Outcome::NotDispatched => {}
        }
    }

    /// Adjusts the concurrency limit (AIMD) and restarts the pacing after an attempt.
    pub fn adjust_limit(&mut self, attempt: Attempt, end: &CompletedAttempt, objective: Micros, now: Micros) {
        let is_slow = end.elapsed as f64 > SLOW_RESPONSE * objective as f64;
        match end.outcome {
            Outcome::Served | Outcome::Error if !is_slow => self.increase_limit(),
            Outcome::Served | Outcome::Error | Outcome::TimedOut => self.decrease_limit(attempt, now),
            _ => return,
        }
        self.pacing_interval = end.elapsed.min(objective) as f64;
        self.paced_since = now;
    }

    fn record_served(&mut self, latency: f64, now: Micros) {
        // A served trial attempt ends the ejection and with it the half-open interval.
        if self.is_ejected() {
            self.paused_until = now;
        }
        self.consecutive_failures = 0;
        self.last_served_at = now;
        self.error_rate *= 1.0 - LATENCY_GAIN;
        self.loss_rate *= 1.0 - LOSS_GAIN;
        self.latency.record(latency, LATENCY_GAIN);
    }

    fn increase_limit(&mut self) {
        let increase = ADDITIVE_INCREASE / self.concurrency_limit.max(1.0);
        self.concurrency_limit = (self.concurrency_limit + increase).min(MAX_IN_FLIGHT as f64);
    }

    /// Decreases the limit, at most once for all attempts that were dispatched before a decrease.
    fn decrease_limit(&mut self, attempt: Attempt, now: Micros) {
        if attempt.dispatched_at >= self.decreased_at {
            let decreased = self.concurrency_limit * MULTIPLICATIVE_DECREASE;
            self.concurrency_limit = decreased.max(MIN_CONCURRENCY_LIMIT);
            self.decreased_at = now;
        }
    }
}
