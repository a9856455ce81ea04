//! A non-blocking TCP stream with its input and output buffers, registered with the poller.

use super::nonblocking::{read_chunk, Chunk};
use crate::connection_token::ConnectionToken;
use crate::context::{ConnectionKind, Context, Poller};
use rustix::event::epoll::EventFlags;
use rustix::fd::OwnedFd;
use rustix::net::{AddressFamily, SocketFlags, SocketType};
use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};

/// Most bytes that one call of `read` returns.
const READ_CHUNK_BYTES: usize = 16 << 10;
/// Bytes of capacity that an empty buffer keeps; small, as there are many idle connections.
const RETAINED_CAPACITY_BYTES: usize = 1 << 10;

/// The events that a socket waits for. Two more are always included: that the peer has closed its
/// side (`RDHUP`), and that the socket is writable while there is unsent output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Interest {
    /// The connection is established (the socket becomes writable), or input arrives.
    Connect,
    /// Input arrives.
    Read,
    /// No further event: input is not read for now.
    Paused,
}

impl Interest {
    /// The events to register with the poller.
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

/// State of the receiving side of the stream after a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StreamStatus {
    /// More input may arrive.
    Open,
    /// The peer has closed its side, and all input has been read.
    Ended,
}

/// A non-blocking TCP stream with its buffers, registered with the poller.
#[derive(Debug)]
pub(crate) struct Socket {
    /// The TCP stream.
    stream: TcpStream,
    /// The token by which the poller reports it.
    token: ConnectionToken,
    /// Bytes that were read and not consumed yet.
    pub(crate) input: Vec<u8>,
    /// Bytes to write; emptied once all of them are written.
    output: Vec<u8>,
    /// How many bytes at the front of `output` are written already.
    flushed: usize,
    /// Bytes written to the socket since it was opened.
    pub(crate) bytes_sent: u64,
    /// The events registered with the poller.
    registered_events: EventFlags,
}

/// Starts to connect. The socket becomes writable once the connection is established or has
/// failed; see [`Socket::is_connected`].
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
    /// Registers an accepted or connecting stream with the poller. It becomes non-blocking and
    /// sends without delay (`TCP_NODELAY`).
    pub(crate) fn register(
        stream: TcpStream,
        kind: ConnectionKind,
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

    /// The token by which the poller reports the socket.
    pub(crate) fn token(&self) -> ConnectionToken {
        self.token
    }

    /// Whether the connection is established. Returns the error if connecting has failed.
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

    /// Sets the events that the poller reports. Calls the system only if they have changed.
    pub(crate) fn set_interest(&mut self, interest: Interest, poller: &Poller) -> io::Result<()> {
        let events = interest.events(self.unsent_bytes() > 0);
        if events != self.registered_events {
            poller.modify(&self.stream, self.token, events)?;
            self.registered_events = events;
        }
        Ok(())
    }

    /// Reads what has arrived, until `input` holds `max_buffered` bytes.
    ///
    /// An error such as a reset is returned only if this call has read nothing before it.
    /// Otherwise the result is [`StreamStatus::Ended`], and the caller handles the bytes that
    /// arrived before the error.
    pub(crate) fn read_available(&mut self, max_buffered: usize) -> io::Result<StreamStatus> {
        let mut buffer = [0; READ_CHUNK_BYTES];
        let length_before = self.input.len();
        while self.input.len() < max_buffered {
            let wanted = READ_CHUNK_BYTES.min(max_buffered - self.input.len());
            match read_chunk(&mut self.stream, &mut buffer[..wanted]) {
                Ok(Chunk::Bytes(count)) => {
                    self.input.extend_from_slice(&buffer[..count]);
                    if count < wanted {
                        return Ok(StreamStatus::Open);
                    }
                }
                Ok(Chunk::NoneAvailable) => return Ok(StreamStatus::Open),
                Ok(Chunk::Ended) => return Ok(StreamStatus::Ended),
                Err(_) if self.input.len() > length_before => return Ok(StreamStatus::Ended),
                Err(error) => return Err(error),
            }
        }
        Ok(StreamStatus::Open)
    }

    /// Reads and drops what has arrived. `remaining` is lowered by the bytes dropped; the stream
    /// counts as ended once they reach it.
    pub(crate) fn discard_available(&mut self, remaining: &mut usize) -> io::Result<StreamStatus> {
        let mut buffer = [0; READ_CHUNK_BYTES];
        loop {
            match read_chunk(&mut self.stream, &mut buffer)? {
                Chunk::Bytes(count) if count >= *remaining => return Ok(StreamStatus::Ended),
                Chunk::Bytes(count) => *remaining -= count,
                Chunk::NoneAvailable => return Ok(StreamStatus::Open),
                Chunk::Ended => return Ok(StreamStatus::Ended),
            }
        }
    }

    /// Closes the sending side of the connection; the peer reads the end of the stream.
    pub(crate) fn shutdown_write(&self) -> io::Result<()> {
        self.stream.shutdown(Shutdown::Write)
    }

    /// The output buffer. Append to it; [`Socket::flush`] writes it.
    pub(crate) fn output(&mut self) -> &mut Vec<u8> {
        &mut self.output
    }

    /// Bytes of the output that are not written yet.
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
        // An idle connection must not keep the memory of a large value.
        self.output.shrink_to(RETAINED_CAPACITY_BYTES);
        Ok(())
    }

    /// Drops the first `count` bytes of the input, and shrinks the input buffer once it is empty.
    pub(crate) fn consume(&mut self, count: usize) {
        self.input.drain(..count);
        self.shrink_empty_input();
    }

    /// Drops all input.
    pub(crate) fn consume_all(&mut self) {
        self.consume(self.input.len());
    }

    /// Shrinks the input buffer if it is empty: an idle connection must not keep the memory of a
    /// large value.
    pub(crate) fn shrink_empty_input(&mut self) {
        if self.input.is_empty() {
            self.input.shrink_to(RETAINED_CAPACITY_BYTES);
        }
    }
}
