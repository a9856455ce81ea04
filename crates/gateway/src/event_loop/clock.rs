//! The time that the program goes by.

use io_scheduler::Micros;
use std::time::{Duration, Instant, SystemTime};

/// The system's clock as it was at the start, continued by a monotonic clock: it never jumps.
#[derive(Debug)]
pub(crate) struct Clock {
    /// Microseconds since the Unix epoch at the start.
    started_at: Micros,
    start: Instant,
}

impl Clock {
    /// Starts at the system's current time.
    pub(crate) fn new() -> Clock {
        let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or(Duration::ZERO);
        Clock { started_at: since_epoch.as_micros() as Micros, start: Instant::now() }
    }

    /// Microseconds since the Unix epoch.
    pub(crate) fn now(&self) -> Micros {
        self.started_at + self.start.elapsed().as_micros() as Micros
    }
}
