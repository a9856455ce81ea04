//! Decides when to poll the discovery service for the endpoint list. A poll is a request that opens
//! a watch: its response starts with the list, then stays open and carries each change. After
//! an update, no poll is due until a poll fails or the watch is lost.
//!
//! The discovery service handles polls one at a time, and also works on polls that have timed out.
//! Hosts that poll for the same reason therefore spread their polls by a pseudorandom jitter, and
//! wait before they repeat a poll (backoff). Jitter and backoff both grow with the number of hosts
//! that poll the same service, up to a maximum. The maximum exists because every change has to
//! arrive within the time that the deployment allows. If the settings have a maximum poll interval
//! (microseconds), the jitter is also at most half of it.

use crate::api::{Micros, Settings};
use crate::hash::{fibonacci_hash, hash_to_unit_interval};

/// Jitter per other host that polls the same service, in microseconds.
const JITTER_PER_HOST: Micros = 50_000;
/// Maximum jitter of the first poll and after a failed poll, in microseconds.
const MAX_JITTER: Micros = 3_000_000;
/// Maximum jitter after a watch was lost, in microseconds.
const MAX_JITTER_AFTER_WATCH: Micros = 1_000_000;
/// The jitter is at most the maximum poll interval divided by this.
const MAX_JITTER_DIVISOR: i64 = 2;
/// Time after which a poll without a response is repeated, in microseconds. Two polls fit into the
/// 6 s within which a change has to arrive.
const POLL_TIMEOUT: Micros = 3_000_000;
/// Backoff per host that polls the same service, in microseconds.
const BACKOFF_PER_HOST: Micros = 100_000;
/// Maximum backoff, in microseconds.
const MAX_BACKOFF: Micros = 500_000;

/// Schedule of polls.
pub struct EndpointPolling {
    /// Number of hosts that poll the same service, this one included; 0 if no polls are needed.
    polling_hosts: u32,
    /// Maximum poll interval of the settings, in microseconds; 0 for none. It limits only the
    /// jitter.
    max_poll_interval: Micros,
    /// Seed of the hash that replaces random numbers. Hosts should use different seeds.
    seed: u64,
    /// Time at which the next poll is due or the current one is repeated. `None` after an update of
    /// the list until a poll fails or the watch ends, or if no polls are needed.
    next_poll_at: Option<Micros>,
}

impl EndpointPolling {
    /// Creates a schedule and schedules the first poll.
    pub fn new(settings: &Settings, seed: u64, now: Micros) -> Self {
        let mut polling = EndpointPolling {
            polling_hosts: settings.discovery_clients,
            max_poll_interval: settings.max_poll_interval,
            seed,
            next_poll_at: None,
        };
        polling.schedule(now, fibonacci_hash(seed), MAX_JITTER);
        polling
    }

    /// Records that a complete list or changes to it were received from any source. No poll is
    /// scheduled until a failed poll or a lost watch is recorded.
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

    /// Returns whether a poll is due. If it is, schedules its repetition, in case there is no
    /// response.
    pub fn start_poll_if_due(&mut self, now: Micros) -> bool {
        let is_due = self.next_poll_at.is_some_and(|at| at <= now);
        if is_due {
            self.next_poll_at = Some(now + POLL_TIMEOUT);
        }
        is_due
    }

    /// Returns the time at which the next poll is due.
    pub fn next_poll_at(&self) -> Option<Micros> {
        self.next_poll_at
    }

    /// Schedules the next poll after a backoff.
    fn back_off(&mut self, now: Micros, max_jitter: Micros) {
        let backoff = (BACKOFF_PER_HOST * Micros::from(self.polling_hosts)).min(MAX_BACKOFF);
        self.schedule(now + backoff, self.seed ^ now as u64, max_jitter);
    }

    /// Schedules a poll at `earliest` plus a jitter computed from a hash of `jitter_seed`.
    fn schedule(&mut self, earliest: Micros, jitter_seed: u64, max_jitter: Micros) {
        let Some(other_hosts) = self.polling_hosts.checked_sub(1) else {
            self.next_poll_at = None;
            return;
        };
        let max_jitter = self.limit_jitter(max_jitter);
        let jitter_range = (JITTER_PER_HOST * Micros::from(other_hosts)).min(max_jitter);
        let jitter = hash_to_unit_interval(jitter_seed) * jitter_range as f64;
        self.next_poll_at = Some(earliest + jitter as Micros);
    }

    /// Returns `max_jitter`, limited by the maximum poll interval.
    fn limit_jitter(&self, max_jitter: Micros) -> Micros {
        if self.max_poll_interval > 0 {
            max_jitter.min(self.max_poll_interval / MAX_JITTER_DIVISOR)
        } else {
            max_jitter
        }
    }
}
