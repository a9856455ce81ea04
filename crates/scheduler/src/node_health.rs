//! What completed attempts show of a node: latency, losses, concurrency limit (AIMD), outlier ejection.

use crate::api::{CompletedAttempt, Micros, Outcome, Settings};
use crate::state::{Attempt, NodeHealth, PendingRequest};

/// Requests that one host has in flight at one node: enough to keep its slots busy, few enough that the
/// next one is still chosen here and not by the node's queue, which serves in order of arrival.
pub const MAX_IN_FLIGHT: usize = 5;
/// Microseconds without a response that halve the latency estimate, so that a slow node is tried again.
const LATENCY_HALF_LIFE: f64 = 250_000.0;
/// Part of the latency objective beyond which a response is slow: requests then wait in the node's queue.
const SLOW_RESPONSE: f64 = 0.25;
/// AIMD: what a slow response makes of the concurrency limit, a full round of quick ones adds, and the least.
const MULTIPLICATIVE_DECREASE: f64 = 0.75;
const ADDITIVE_INCREASE: f64 = 0.3;
const MIN_CONCURRENCY_LIMIT: f64 = 0.1;
/// Attempts may take this many times the node's latency: lost responses must not take up its few slots.
const ATTEMPT_TIMEOUT_FACTOR: f64 = 4.0;
/// Weight of the newest sample in the latency estimate and the error rate, and in the loss rate.
const LATENCY_GAIN: f64 = 0.1;
const LOSS_GAIN: f64 = 0.03;
/// Loss rate from which attempts end so many deviations after the mean, if within this part of the objective.
const LOSS_RATE_THRESHOLD: f64 = 0.16;
const LOSS_TIMEOUT_DEVIATIONS: f64 = 4.0;
const MAX_LOSS_TIMEOUT: f64 = 0.6;
/// Part of a latency that grows with the request's units; the rest is waiting and the like.
const SIZE_DEPENDENT_LATENCY: f64 = 0.5;
/// An ejected node gets single attempts, spaced by an interval that doubles from the first to the last.
const CONSECUTIVE_FAILURES_TO_EJECT: u32 = 3;
const MIN_HALF_OPEN_INTERVAL: Micros = 100_000;
const MAX_HALF_OPEN_INTERVAL: Micros = 1_000_000;
/// An overloaded node gets nothing for this long.
const OVERLOAD_PAUSE: Micros = 20_000;

/// Latency that a request's size lets expect, as a multiple of that of mean size.
pub fn relative_latency(units: f64, settings: &Settings) -> f64 {
    1.0 - SIZE_DEPENDENT_LATENCY + SIZE_DEPENDENT_LATENCY * units / settings.mean_units.max(1e-9)
}

impl NodeHealth {
    /// The limit starts at one: from the most, many hosts fill the node's queue before decreases reach them.
    pub fn new() -> Self {
        NodeHealth { concurrency_limit: 1.0, ..NodeHealth::default() }
    }

    /// Whether the node is an outlier that gets trial attempts only.
    pub fn is_ejected(&self) -> bool {
        self.consecutive_failures >= CONSECUTIVE_FAILURES_TO_EJECT
    }

    /// Spaces the trial attempts at an ejected node.
    pub fn start_half_open_interval(&mut self, now: Micros) {
        let doublings = (self.consecutive_failures - CONSECUTIVE_FAILURES_TO_EJECT).min(5);
        self.paused_until = now + (MIN_HALF_OPEN_INTERVAL << doublings).min(MAX_HALF_OPEN_INTERVAL);
    }

    /// Whether nothing is in flight and the concurrency limit is the highest.
    pub fn is_idle(&self, in_flight: usize) -> bool {
        in_flight == 0 && self.concurrency_limit >= MAX_IN_FLIGHT as f64
    }

    /// Whether one more request may join those in flight. While the limit is decreased, it is less for work
    /// that earns a part of its value: hosts that don't see each other let reserved work go first.
    pub fn has_capacity(&self, in_flight: usize, value: f64, now: Micros) -> bool {
        let part = value + (1.0 - value) * self.concurrency_limit / MAX_IN_FLIGHT as f64;
        let limit = self.concurrency_limit * part;
        let pause = self.pacing_interval * (1.0 / limit - 1.0).max(0.0);
        in_flight < (limit as usize).max(1) && now >= self.paced_since + pause as Micros
    }

    /// Latency in microseconds that a request of mean size is likely to meet now.
    pub fn expected_latency(&self, now: Micros) -> f64 {
        let Some(latency) = self.latency.mean else { return 0.0 };
        let half_lives = (now - self.last_served_at) as f64 / LATENCY_HALF_LIFE;
        (latency + self.latency.deviation) * 0.5f64.powf(half_lives)
    }

    /// When an attempt that is dispatched now is given up, the request's deadline aside: early where some
    /// responses get lost while the others come quickly.
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

    /// Takes in how an attempt ended.
    pub fn record(
        &mut self,
        pending: &PendingRequest,
        attempt: Attempt,
        end: &CompletedAttempt,
        now: Micros,
    ) {
        let (elapsed, objective) = (end.elapsed as f64, pending.class.latency_objective);
        let is_slow = elapsed > SLOW_RESPONSE * objective as f64;
        match end.outcome {
            Outcome::Served => self.record_latency(elapsed / pending.relative_latency, now),
            Outcome::Error => self.error_rate += LATENCY_GAIN * (1.0 - self.error_rate),
            Outcome::Overloaded => self.paused_until = self.paused_until.max(now + OVERLOAD_PAUSE),
            Outcome::TimedOut | Outcome::ConnectFailed | Outcome::Reset => {
                self.consecutive_failures += 1;
                self.loss_rate += LOSS_GAIN * (1.0 - self.loss_rate);
            }
            Outcome::Cancelled | Outcome::NotDispatched => {}
        }
        match end.outcome {
            Outcome::Served | Outcome::Error if !is_slow => self.increase_limit(),
            Outcome::Served | Outcome::Error | Outcome::TimedOut => self.decrease_limit(attempt, now),
            _ => return,
        }
        self.pacing_interval = end.elapsed.min(objective) as f64;
        self.paced_since = now;
    }

    fn record_latency(&mut self, latency: f64, now: Micros) {
        // A trial attempt that is served ends the wait for the next one.
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

    /// Of the attempts dispatched before a decrease, none decreases the limit again.
    fn decrease_limit(&mut self, attempt: Attempt, now: Micros) {
        if attempt.dispatched_at >= self.decreased_at {
            let decreased = self.concurrency_limit * MULTIPLICATIVE_DECREASE;
            self.concurrency_limit = decreased.max(MIN_CONCURRENCY_LIMIT);
            self.decreased_at = now;
        }
    }
}
