//! Runs the scheduler under the simulator: reads batches of events from standard input, one JSON object a line,
//! and writes one line of actions to standard output for each batch.
//!
//! The process hosts any number of simulated gateways ([`registry`]); each has a scheduler of its own and
//! shares no state with the others ([`instance`]). [`wire`] defines the messages.

mod error;
mod instance;
mod registry;
mod wire;

use error::AdapterError;
use registry::InstanceRegistry;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;
use wire::ActionBatch;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Answers every line of standard input until it ends.
fn run() -> Result<(), AdapterError> {
    let mut registry = InstanceRegistry::default();
    let mut output = io::stdout().lock();
    for (index, line) in io::stdin().lock().split(b'\n').enumerate() {
        let line_number = index + 1;
        let line = line.map_err(|source| AdapterError::Read {
            line: line_number,
            source,
        })?;
        if line.iter().all(u8::is_ascii_whitespace) {
            continue;
        }
        let batch = wire::parse(&line).map_err(|source| AdapterError::Parse {
            line: line_number,
            source,
        })?;
        let reply = registry
            .handle(batch)
            .map_err(|source| AdapterError::Event {
                line: line_number,
                source,
            })?;
        write_reply(&mut output, &reply)?;
    }
    Ok(())
}

/// Writes one line and flushes it, because the simulator waits for each reply before it sends the next batch.
fn write_reply(output: &mut impl Write, reply: &ActionBatch) -> Result<(), AdapterError> {
    serde_json::to_writer(&mut *output, reply).map_err(AdapterError::Encode)?;
    output.write_all(b"\n").map_err(AdapterError::Write)?;
    output.flush().map_err(AdapterError::Write)
}
