//! Reads the lines that the operator enters at the console.
//!
//! A thread of its own copies standard input to a pipe, so that the event loop never blocks on
//! standard input.

use crate::connection_token::ConnectionToken;
use crate::connections::nonblocking::{read_chunk, ReadOutcome};
use crate::context::{Context, DescriptorKind};
use rustix::event::epoll::EventFlags;
use std::io;
use std::os::unix::net::UnixStream;

/// Maximum length of an incomplete line, in bytes. A longer one is discarded.
const MAX_LINE_BYTES: usize = 4096;
/// Maximum number of bytes that one `read` call returns.
const READ_CHUNK_BYTES: usize = 1024;

/// Input of the console, split into lines.
pub(super) struct ConsoleInput {
    /// Token by which the poller reports the pipe.
    token: ConnectionToken,
    /// The read end of the pipe from the thread that reads standard input.
    stream: UnixStream,
    /// The received bytes of a line that is still incomplete.
    buffer: Vec<u8>,
}

/// The input of the console has ended or cannot be read.
pub(super) struct InputClosed;

impl ConsoleInput {
    /// Starts the thread that reads standard input, and registers its pipe with the poller.
    pub(super) fn open(context: &mut Context) -> io::Result<ConsoleInput> {
        let (stream, writer) = UnixStream::pair()?;
        stream.set_nonblocking(true)?;
        let token = context.register(&stream, DescriptorKind::Console, EventFlags::IN)?;
        std::thread::Builder::new()
            .name("console".into())
            .spawn(move || copy_standard_input(writer))?;
        Ok(ConsoleInput {
            token,
            stream,
            buffer: Vec::new(),
        })
    }

    /// Returns the token by which the poller reports the pipe.
    pub(super) fn token(&self) -> ConnectionToken {
        self.token
    }

    /// Reads the available input and returns the complete lines. If the end of the input is among
    /// it, returns an error, and the lines before the end are lost.
    pub(super) fn read_lines(&mut self) -> Result<Vec<String>, InputClosed> {
        self.read_available()?;
        Ok(self.take_lines())
    }

    /// Appends the available input to the buffer.
    fn read_available(&mut self) -> Result<(), InputClosed> {
        let mut bytes = [0; READ_CHUNK_BYTES];
        loop {
            match read_chunk(&mut self.stream, &mut bytes) {
                Ok(ReadOutcome::Bytes(count)) => self.buffer.extend_from_slice(&bytes[..count]),
                Ok(ReadOutcome::WouldBlock) => return Ok(()),
                Ok(ReadOutcome::Ended) | Err(_) => return Err(InputClosed),
            }
        }
    }

    /// Removes the complete lines from the buffer and returns them. The rest is discarded if it is
    /// too long.
    fn take_lines(&mut self) -> Vec<String> {
        let mut lines = Vec::new();
        while let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.buffer.drain(..=end).collect();
            lines.push(String::from_utf8_lossy(&line).into_owned());
        }
        if self.buffer.len() > MAX_LINE_BYTES {
            self.buffer.clear();
        }
        lines
    }
}

/// Copies standard input to the pipe until standard input ends. Runs on its own thread.
fn copy_standard_input(mut writer: UnixStream) {
    // An error means that standard input failed or that the event loop has ended. The thread ends
    // in both cases.
    let _ = io::copy(&mut io::stdin().lock(), &mut writer);
}
