//! When to poll the discovery service for the endpoint list, that is, to open a watch of it.
//!
//! Inputs: the number of hosts that poll the same service, the longest time between two polls that
//! the settings allow (microseconds), and the ends of polls and watches. The service handles polls
//! one by one, and also works on those that have timed out. So hosts that poll for the same reason
//! spread their polls by a random jitter, and wait before they repeat one (backoff); both grow with
//! the number of hosts up to a maximum, since every change has to arrive within the time that the
//! deployment allows.

use crate::api::{Micros, Settings};
use crate::hash::{fibonacci_hash, unit_hash};

/// Jitter for each other host that polls the same service, in microseconds.
const JITTER_PER_HOST: Micros = 50_000;
/// Longest jitter of a first poll and after a failed one, in microseconds.
const MAX_JITTER: Micros = 3_000_000;
/// Longest jitter after a watch that was lost, in microseconds.
const MAX_JITTER_AFTER_WATCH: Micros = 1_000_000;
/// The jitter takes at most the longest time between two polls divided by this.
const MAX_JITTER_DIVISOR: i64 = 2;
/// Time after which a poll without a response is repeated, in microseconds: two polls fit into the
/// 6 s in which a change has to arrive.
const POLL_TIMEOUT: Micros = 3_000_000;
/// Backoff for each host that polls the same service, in microseconds.
const BACKOFF_PER_HOST: Micros = 100_000;
/// Longest backoff, in microseconds.
const MAX_BACKOFF: Micros = 500_000;

/// The schedule of polls.
pub struct EndpointPolling {
    /// Number of hosts that poll the same service, this one included; 0 where no polls are needed.
    clients: u32,
    /// Longest time between two polls without a watch; 0 for no maximum.
    max_poll_interval: Micros,
    /// Input of the hash that stands in for random numbers; should differ from host to
    /// host.
    seed: u64,
    /// When the next poll is due, or is repeated; `None` after an update of the list until the
    /// watch ends, or if no polls are needed.
    next_poll_at: Option<Micros>,
}

impl EndpointPolling {
    /// Schedules the first poll.
    pub fn new(settings: &Settings, seed: u64, now: Micros) -> Self {
        let mut polling = EndpointPolling {
            clients: settings.discovery_clients,
            max_poll_interval: settings.max_poll_interval,
            seed,
            next_poll_at: None,
        };
        polling.schedule(now, fibonacci_hash(seed), MAX_JITTER);
        polling
    }

    /// Notes that a complete list or changes to it were received, from wherever: no poll follows
    /// until one fails or a watch ends.
    pub fn record_update(&mut self) {
        self.next_poll_at = None;
    }

    /// Schedules the next poll after one that failed.
    pub fn record_failed_poll(&mut self, now: Micros) {
        self.back_off(now, MAX_JITTER);
    }

    /// Schedules the next poll after the end of a watch.
    pub fn record_lost_watch(&mut self, now: Micros) {
        self.back_off(now, MAX_JITTER_AFTER_WATCH);
    }

    /// Whether a poll is due; it is repeated if there is no response to it.
    pub fn start_poll_if_due(&mut self, now: Micros) -> bool {
        let is_due = self.next_poll_at.is_some_and(|at| at <= now);
        if is_due {
            self.next_poll_at = Some(now + POLL_TIMEOUT);
        }
        is_due
    }

    /// When the next poll is due.
    pub fn next_poll_at(&self) -> Option<Micros> {
        self.next_poll_at
    }

    /// Schedules the next poll after a backoff.
    fn back_off(&mut self, now: Micros, max_jitter: Micros) {
        let backoff = (BACKOFF_PER_HOST * Micros::from(self.clients)).min(MAX_BACKOFF);
        self.schedule(now + backoff, self.seed ^ now as u64, max_jitter);
    }

    /// Schedules a poll at a time or later by a jitter taken from `random`.
    fn schedule(&mut self, earliest: Micros, random: u64, max_jitter: Micros) {
        let Some(other_hosts) = self.clients.checked_sub(1) else {
            self.next_poll_at = None;
            return;
        };
        let max_jitter = self.limit_jitter(max_jitter);
        let span = (JITTER_PER_HOST * Micros::from(other_hosts)).min(max_jitter);
        let jitter = unit_hash(random) * span as f64;
        self.next_poll_at = Some(earliest + jitter as Micros);
    }

    /// The longest jitter that the longest time between two polls allows.
    fn limit_jitter(&self, max_jitter: Micros) -> Micros {
        if self.max_poll_interval > 0 {
            max_jitter.min(self.max_poll_interval / MAX_JITTER_DIVISOR)
        } else {
            max_jitter
        }
    }
}
