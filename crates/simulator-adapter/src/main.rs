//! Adapter through which the simulator runs the scheduler.
//!
//! The simulator sends batches of events to standard input, one JSON object per line. The adapter
//! replies to each batch with one line of actions on standard output.
//!
//! One process hosts any number of simulated gateways, called instances ([`registry`]). Each
//! instance has its own scheduler and shares no state with the others ([`instance`]). [`wire`]
//! defines the messages.

#![warn(clippy::missing_docs_in_private_items)]

mod error;
mod instance;
mod registry;
mod wire;

use error::{AdapterError, LineError, LineNumber};
use registry::InstanceRegistry;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;
use wire::ActionBatch;

fn main() -> ExitCode {
    match run(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Handles the lines of the input and writes the replies, until the end or the first error.
fn run(input: impl BufRead, mut output: impl Write) -> Result<(), AdapterError> {
    let mut registry = InstanceRegistry::default();
    for (index, line) in input.split(b'\n').enumerate() {
        let reply = handle_line(&mut registry, line).map_err(|source| AdapterError::Line {
            line: LineNumber::of_index(index),
            source,
        })?;
        if let Some(reply) = reply {
            write_reply(&mut output, &reply)?;
        }
    }
    Ok(())
}

/// Parses and handles the batch in a line. Returns the reply, or `None` for a blank line.
fn handle_line(
    registry: &mut InstanceRegistry,
    line: io::Result<Vec<u8>>,
) -> Result<Option<ActionBatch>, LineError> {
    let line = line.map_err(LineError::Read)?;
    if line.iter().all(u8::is_ascii_whitespace) {
        return Ok(None);
    }
    let batch = wire::parse(&line)?;
    let reply = registry.handle(batch)?;
    Ok(Some(reply))
}

/// Writes a reply as one line and flushes the output, because the simulator waits for the reply
/// before it sends the next batch.
fn write_reply(output: &mut impl Write, reply: &ActionBatch) -> Result<(), AdapterError> {
    serde_json::to_writer(&mut *output, reply).map_err(AdapterError::Encode)?;
    output.write_all(b"\n").map_err(AdapterError::Write)?;
    output.flush().map_err(AdapterError::Write)
}
