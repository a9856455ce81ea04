//! Reading from a non-blocking stream.

use std::io::{self, Read};

/// The result of one read.
pub(crate) enum ReadOutcome {
    /// This many bytes were read.
    Bytes(usize),
    /// No input is available at the moment; the read would block.
    WouldBlock,
    /// The peer has closed its sending side, and all of its input has been read.
    Ended,
}

/// Reads once. Repeats the call if it was interrupted by a signal.
pub(crate) fn read_chunk(stream: &mut impl Read, buffer: &mut [u8]) -> io::Result<ReadOutcome> {
    loop {
        match stream.read(buffer) {
            Ok(0) => return Ok(ReadOutcome::Ended),
            Ok(count) => return Ok(ReadOutcome::Bytes(count)),
            Err(error) => match error.kind() {
                io::ErrorKind::WouldBlock => return Ok(ReadOutcome::WouldBlock),
                io::ErrorKind::Interrupted => {}
                _ => return Err(error),
            },
        }
    }
}
