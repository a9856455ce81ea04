//! The logger: one line a record on standard error, with the seconds since the start.

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
        // There is nowhere left to report that the log cannot be written.
        let _ = writeln!(std::io::stderr().lock(), "{seconds:10.4} {:5} {}", record.level(), record.args());
    }

    fn flush(&self) {}
}

/// Installs the logger; a second call keeps the first logger and changes its level.
pub fn install(level: LevelFilter) {
    // An error means that a logger is installed already: it stays, and its time of start with it.
    let _ = log::set_boxed_logger(Box::new(Logger { started_at: Instant::now() }));
    log::set_max_level(level);
}
