//! Sizes of the tables whose keys clients choose, and the log line about evictions from them.

use super::state::Dispatcher;
use io_scheduler::{Micros, TableSize};

/// Minimum time between two log lines about evictions, in microseconds.
const LOG_INTERVAL: Micros = 10_000_000;

/// A table and its size.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NamedTableSize {
    /// What the entries of the table are.
    pub name: &'static str,
    /// The size of the table.
    pub size: TableSize,
}

/// Number of tables.
const TABLES: usize = 6;

/// What was logged about evictions, by table.
pub(super) type EvictionLogs = [EvictionLog; TABLES];

/// What was logged about evictions from one table.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct EvictionLog {
    /// Number of evictions at the last log line.
    evicted: u64,
    /// When the last line was logged; `None` if none was.
    logged_at: Option<Micros>,
}

impl EvictionLog {
    /// Returns whether evictions are to be logged now, and records that they are.
    fn is_due(&mut self, evicted: u64, now: Micros) -> bool {
        let is_too_early = self.logged_at.is_some_and(|at| now - at < LOG_INTERVAL);
        if evicted == self.evicted || is_too_early {
            return false;
        }
        self.evicted = evicted;
        self.logged_at = Some(now);
        true
    }
}

impl Dispatcher {
    /// Returns the sizes of the tables whose keys clients choose.
    #[must_use]
    pub fn table_sizes(&self) -> [NamedTableSize; TABLES] {
        let scheduler = self.scheduler.table_sizes();
        [
            ("requests", self.requests.size()),
            ("volumes", scheduler.volumes),
            ("shards", scheduler.shards),
            ("flows", scheduler.flows),
            ("objectives", scheduler.objectives),
            ("executed ids", self.executed_requests.size()),
        ]
        .map(|(name, size)| NamedTableSize { name, size })
    }

    /// Logs that entries of a table were evicted since the last line about it, if any were.
    pub(super) fn log_evictions(&mut self, now: Micros) {
        let tables = self.table_sizes();
        for (log, NamedTableSize { name, size }) in self.eviction_logs.iter_mut().zip(tables) {
            if log.is_due(size.evicted, now) {
                log::warn!(
                    "clients use too many different {name}: {} evicted since the start, {} of {} \
                     are kept",
                    size.evicted,
                    size.entries,
                    size.limit
                );
            }
        }
    }
}
