//! Logger that writes each record as one line on standard error. A line starts with the seconds
//! since the logger was installed.

use log::{LevelFilter, Log, Metadata, Record};
use std::io::Write;
use std::time::Instant;

/// Writes records to standard error.
struct Logger {
    /// When the logger was installed.
    started_at: Instant,
}

impl Log for Logger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= log::max_level()
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let seconds = self.started_at.elapsed().as_secs_f64();
        // If standard error cannot be written, there is nowhere else to report the error.
        let _ = writeln!(
            std::io::stderr().lock(),
            "{seconds:10.4} {:5} {}",
            record.level(),
            record.args()
        );
    }

    fn flush(&self) {}
}

/// Installs the logger with the given level. Later calls only change the level.
pub fn install(level: LevelFilter) {
    // `set_boxed_logger` fails if a logger is already installed. That logger stays, and its
    // start time does not change.
    let _ = log::set_boxed_logger(Box::new(Logger {
        started_at: Instant::now(),
    }));
    log::set_max_level(level);
}
