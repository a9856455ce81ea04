//! Reading from a non-blocking stream.

use std::io::{self, Read};

/// The result of one read.
pub(crate) enum Chunk {
    /// This many bytes were read.
    Bytes(usize),
    /// No input is available at the moment; the read would block.
    NoneAvailable,
    /// The peer has closed its sending side, and all of its input has been read.
    Ended,
}

/// Reads once. Repeats the call if it was interrupted by a signal.
pub(crate) fn read_chunk(stream: &mut impl Read, buffer: &mut [u8]) -> io::Result<Chunk> {
    loop {
        match stream.read(buffer) {
            Ok(0) => return Ok(Chunk::Ended),
            Ok(count) => return Ok(Chunk::Bytes(count)),
            Err(error) => match error.kind() {
                io::ErrorKind::WouldBlock => return Ok(Chunk::NoneAvailable),
                io::ErrorKind::Interrupted => {}
                _ => return Err(error),
            },
        }
    }
}
