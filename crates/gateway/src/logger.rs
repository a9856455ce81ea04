//! The logger: each record becomes one line on standard error, which starts with the seconds since
//! the start.

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
        // If the log cannot be written, there is no other place to report the error.
        let _ = writeln!(
            std::io::stderr().lock(),
            "{seconds:10.4} {:5} {}",
            record.level(),
            record.args()
        );
    }

    fn flush(&self) {}
}

/// Installs the logger. A further call keeps the installed logger and changes its level.
pub fn install(level: LevelFilter) {
    // An error means that a logger is already installed; it keeps counting the seconds from its
    // own start.
    let _ = log::set_boxed_logger(Box::new(Logger {
        started_at: Instant::now(),
    }));
    log::set_max_level(level);
}
