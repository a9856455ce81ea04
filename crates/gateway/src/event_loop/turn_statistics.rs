//! How long the turns of the event loop take.
//!
//! While a turn runs, nothing else is handled: notifications of discovery, timers and the closes of
//! clients wait. A process that the system holds up shows here as a slow turn.

use io_scheduler::Micros;

/// A turn that takes longer than this, in microseconds, is logged and counted as slow.
const SLOW_TURN: Micros = 50_000;
/// Minimum time between two log lines about slow turns, in microseconds.
const LOG_INTERVAL: Micros = 1_000_000;

/// What a turn handled, for its log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct TurnWork {
    /// Ready descriptors.
    pub(super) events: usize,
    /// Expired timers.
    pub(super) timers: usize,
    /// Commands of the dispatcher.
    pub(super) commands: usize,
}

/// Durations of the turns since the start of the gateway.
#[derive(Debug, Default)]
pub(super) struct TurnStatistics {
    /// The longest turn, in microseconds.
    longest: Micros,
    /// Number of turns longer than [`SLOW_TURN`].
    slow: u64,
    /// When a slow turn was last logged; `None` if none was.
    logged_at: Option<Micros>,
}

impl TurnStatistics {
    /// Records a turn that lasted from `started_at` to `ended_at`.
    pub(super) fn record(&mut self, started_at: Micros, ended_at: Micros, work: TurnWork) {
        let duration = ended_at - started_at;
        self.longest = self.longest.max(duration);
        if duration <= SLOW_TURN {
            return;
        }
        self.slow += 1;
        if self
            .logged_at
            .is_some_and(|at| ended_at - at < LOG_INTERVAL)
        {
            return;
        }
        self.logged_at = Some(ended_at);
        let TurnWork {
            events,
            timers,
            commands,
        } = work;
        log::warn!(
            "event loop: a turn took {duration} us ({events} events, {timers} timers, \
             {commands} commands; {} slow turns so far)",
            self.slow
        );
    }

    /// Returns the longest turn, in microseconds.
    pub(super) fn longest(&self) -> Micros {
        self.longest
    }

    /// Returns the number of slow turns.
    pub(super) fn slow(&self) -> u64 {
        self.slow
    }
}
