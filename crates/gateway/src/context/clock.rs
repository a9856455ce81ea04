//! The clock of the gateway.

use io_scheduler::Micros;
use std::time::{Duration, Instant, SystemTime};

/// Microseconds per millisecond.
pub(crate) const MICROS_PER_MILLISECOND: Micros = 1_000;
/// Microseconds per second.
pub(super) const MICROS_PER_SECOND: Micros = 1_000_000;

/// A monotonic clock that starts at the system time. Later changes of the system time do not affect
/// it.
#[derive(Debug)]
pub(crate) struct Clock {
    /// The system time when the clock was created, in microseconds since the Unix epoch.
    unix_time_at_start: Micros,
    /// The monotonic time when the clock was created.
    instant_at_start: Instant,
}

impl Clock {
    /// Creates a clock that starts at the current system time.
    pub(crate) fn new() -> Clock {
        let since_epoch = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or(Duration::ZERO);
        Clock {
            unix_time_at_start: since_epoch.as_micros() as Micros,
            instant_at_start: Instant::now(),
        }
    }

    /// Returns the current time in microseconds since the Unix epoch.
    pub(crate) fn now(&self) -> Micros {
        self.unix_time_at_start + self.instant_at_start.elapsed().as_micros() as Micros
    }
}
