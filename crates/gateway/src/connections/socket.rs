//! A non-blocking TCP stream with its input and output buffers, registered with the poller.

use super::nonblocking::{read_chunk, ReadOutcome};
use crate::connection_token::ConnectionToken;
use crate::context::{Context, DescriptorKind, Poller};
use rustix::event::epoll::EventFlags;
use rustix::fd::OwnedFd;
use rustix::net::{AddressFamily, SocketFlags, SocketType};
use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};

/// Maximum number of bytes that one `read` call returns.
const READ_CHUNK_BYTES: usize = 16 << 10;
/// Capacity in bytes that an empty buffer keeps. It is small because many connections are idle.
const RETAINED_CAPACITY_BYTES: usize = 1 << 10;

/// The events to wait for on a socket. Two events are always added: the peer has closed its sending
/// side (`RDHUP`), and, as long as there is unsent output, the socket is writable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Interest {
    /// Wait until the socket is writable, which means that the connection is established or has
    /// failed, or until input arrives.
    Connect,
    /// Wait for input.
    Read,
    /// Do not wait for input, because reading is paused.
    Paused,
}

impl Interest {
    /// Returns the events to register with the poller.
    fn events(self, has_unsent_output: bool) -> EventFlags {
        let mut events = EventFlags::RDHUP;
        events.set(EventFlags::IN, self != Interest::Paused);
        events.set(
            EventFlags::OUT,
            self == Interest::Connect || has_unsent_output,
        );
        events
    }
}

/// State of the receiving side of a stream after a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StreamStatus {
    /// More input may arrive.
    Open,
    /// The peer has closed its sending side, and all of its input has been read.
    Ended,
}

/// A non-blocking TCP stream with its input and output buffers, registered with the poller.
#[derive(Debug)]
pub(crate) struct Socket {
    /// The TCP stream.
    stream: TcpStream,
    /// The token by which the poller reports it.
    token: ConnectionToken,
    /// Received bytes that have not been consumed yet.
    pub(crate) input: Vec<u8>,
    /// Bytes to write. Cleared once all of them have been written.
    output: Vec<u8>,
    /// Number of bytes at the front of `output` that have been written.
    flushed: usize,
    /// Total number of bytes written since the socket was opened.
    pub(crate) bytes_sent: u64,
    /// The events that are registered with the poller.
    registered_events: EventFlags,
}

/// Starts a non-blocking connect. The socket becomes writable once the connection is established or
/// has failed; see [`Socket::is_connected`].
pub(crate) fn start_connecting(address: SocketAddr) -> io::Result<TcpStream> {
    let family = if address.is_ipv4() {
        AddressFamily::INET
    } else {
        AddressFamily::INET6
    };
    let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
    let descriptor: OwnedFd = rustix::net::socket_with(family, SocketType::STREAM, flags, None)?;
    match rustix::net::connect(&descriptor, &address) {
        Ok(()) | Err(rustix::io::Errno::INPROGRESS) => Ok(TcpStream::from(descriptor)),
        Err(error) => Err(error.into()),
    }
}

impl Socket {
    /// Registers an accepted or connecting stream with the poller, after making it non-blocking and
    /// setting `TCP_NODELAY`.
    pub(crate) fn register(
        stream: TcpStream,
        kind: DescriptorKind,
        interest: Interest,
        context: &mut Context,
    ) -> io::Result<Socket> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        let events = interest.events(false);
        let token = context.register(&stream, kind, events)?;
        Ok(Socket {
            stream,
            token,
            input: Vec::new(),
            output: Vec::new(),
            flushed: 0,
            bytes_sent: 0,
            registered_events: events,
        })
    }

    /// Returns the token by which the poller reports the socket.
    pub(crate) fn token(&self) -> ConnectionToken {
        self.token
    }

    /// Returns whether the connection is established. Returns the error if connecting has failed.
    pub(crate) fn is_connected(&self) -> io::Result<bool> {
        if let Some(error) = self.stream.take_error()? {
            return Err(error);
        }
        match self.stream.peer_addr() {
            Ok(_) => Ok(true),
            Err(error) if error.kind() == io::ErrorKind::NotConnected => Ok(false),
            Err(error) => Err(error),
        }
    }

    /// Sets the events that the poller reports. Makes a system call only if they have changed.
    pub(crate) fn set_interest(&mut self, interest: Interest, poller: &Poller) -> io::Result<()> {
        let events = interest.events(self.unsent_bytes() > 0);
        if events != self.registered_events {
            poller.modify(&self.stream, self.token, events)?;
            self.registered_events = events;
        }
        Ok(())
    }

    /// Reads all available input, but stops when `input` contains `max_buffered` bytes.
    ///
    /// An error such as a connection reset is returned only if this call has read nothing before
    /// it. Otherwise the result is [`StreamStatus::Ended`], so that the caller handles the bytes
    /// that arrived before the error.
    pub(crate) fn read_available(&mut self, max_buffered: usize) -> io::Result<StreamStatus> {
        let mut buffer = [0; READ_CHUNK_BYTES];
        let length_before = self.input.len();
        while self.input.len() < max_buffered {
            let wanted = READ_CHUNK_BYTES.min(max_buffered - self.input.len());
            match read_chunk(&mut self.stream, &mut buffer[..wanted]) {
                Ok(ReadOutcome::Bytes(count)) => {
                    self.input.extend_from_slice(&buffer[..count]);
                    if count < wanted {
                        return Ok(StreamStatus::Open);
                    }
                }
                Ok(ReadOutcome::WouldBlock) => return Ok(StreamStatus::Open),
                Ok(ReadOutcome::Ended) => return Ok(StreamStatus::Ended),
                Err(_) if self.input.len() > length_before => return Ok(StreamStatus::Ended),
                Err(error) => return Err(error),
            }
        }
        Ok(StreamStatus::Open)
    }

    /// Reads and discards all available input, and subtracts its length in bytes from `remaining`.
    /// The result is [`StreamStatus::Ended`] as soon as the input uses up `remaining`.
    pub(crate) fn discard_available(&mut self, remaining: &mut usize) -> io::Result<StreamStatus> {
        let mut buffer = [0; READ_CHUNK_BYTES];
        loop {
            match read_chunk(&mut self.stream, &mut buffer)? {
                ReadOutcome::Bytes(count) if count >= *remaining => return Ok(StreamStatus::Ended),
                ReadOutcome::Bytes(count) => *remaining -= count,
                ReadOutcome::WouldBlock => return Ok(StreamStatus::Open),
                ReadOutcome::Ended => return Ok(StreamStatus::Ended),
            }
        }
    }

    /// Shuts down the sending side of the connection. The peer then reads the end of the stream.
    pub(crate) fn shutdown_write(&self) -> io::Result<()> {
        self.stream.shutdown(Shutdown::Write)
    }

    /// Returns the output buffer, for appending. [`Socket::flush`] writes it.
    pub(crate) fn output(&mut self) -> &mut Vec<u8> {
        &mut self.output
    }

    /// Returns the number of output bytes that have not been written yet.
    pub(crate) fn unsent_bytes(&self) -> usize {
        self.output.len() - self.flushed
    }

    /// Writes as much of the output as the socket accepts without blocking.
    pub(crate) fn flush(&mut self) -> io::Result<()> {
        while self.flushed < self.output.len() {
            match self.stream.write(&self.output[self.flushed..]) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(count) => {
                    self.flushed += count;
                    self.bytes_sent += count as u64;
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        self.output.clear();
        self.flushed = 0;
        // Do not let an idle connection keep the memory of a large value.
        self.output.shrink_to(RETAINED_CAPACITY_BYTES);
        Ok(())
    }

    /// Discards the first `count` bytes of the input, and shrinks the input buffer if it is empty
    /// then.
    pub(crate) fn consume(&mut self, count: usize) {
        self.input.drain(..count);
        self.shrink_empty_input();
    }

    /// Discards all input.
    pub(crate) fn consume_all(&mut self) {
        self.consume(self.input.len());
    }

    /// Shrinks the input buffer if it is empty, so that an idle connection does not keep the memory
    /// of a large value.
    pub(crate) fn shrink_empty_input(&mut self) {
        if self.input.is_empty() {
            self.input.shrink_to(RETAINED_CAPACITY_BYTES);
        }
    }
}
