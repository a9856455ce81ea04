//! The clock of the gateway.

use io_scheduler::Micros;
use std::time::{Duration, Instant, SystemTime};

/// Microseconds per millisecond.
pub(crate) const MICROS_PER_MILLI: Micros = 1_000;
/// Microseconds per second.
pub(super) const MICROS_PER_SECOND: Micros = 1_000_000;

/// A clock that starts at the system's time and continues by a monotonic clock: later changes of
/// the system's time have no effect.
#[derive(Debug)]
pub(crate) struct Clock {
    /// The system's time at the start, in microseconds since the Unix epoch.
    started_at: Micros,
    /// The monotonic time at the start.
    start: Instant,
}

impl Clock {
    /// Starts at the system's current time.
    pub(crate) fn new() -> Clock {
        let since_epoch = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or(Duration::ZERO);
        Clock {
            started_at: since_epoch.as_micros() as Micros,
            start: Instant::now(),
        }
    }

    /// Microseconds since the Unix epoch.
    pub(crate) fn now(&self) -> Micros {
        self.started_at + self.start.elapsed().as_micros() as Micros
    }
}
