//! A non-blocking TCP stream with its input and output buffers.

use crate::connections::ConnectionToken;
use crate::event_loop::Poller;
use rustix::event::epoll::EventFlags;
use rustix::fd::OwnedFd;
use rustix::net::{AddressFamily, SocketFlags, SocketType};
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};

/// Bytes read at a time.
const READ_CHUNK: usize = 16 << 10;
/// Capacity that an empty buffer keeps. Idle connections are many, so it is small.
const RETAINED_CAPACITY: usize = 1 << 10;

/// What a socket waits for. The peer's end of the stream is always reported, and so is being writable while
/// there is unsent output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Interest {
    /// The connection to be established, and input.
    Connect,
    /// Input.
    Read,
    /// No input for now.
    Paused,
}

/// What a read says about the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StreamStatus {
    /// More input may come.
    Open,
    /// There is nothing more to read.
    Ended,
}

/// A non-blocking TCP stream with its buffers.
#[derive(Debug)]
pub(crate) struct Socket {
    stream: TcpStream,
    /// Bytes that were read and not consumed yet.
    pub(crate) input: Vec<u8>,
    output: Vec<u8>,
    /// Bytes of `output` that are written already.
    flushed: usize,
    /// Bytes handed to the system since the socket was opened.
    pub(crate) bytes_sent: u64,
    /// What the poller reports; empty before the socket is registered.
    registered: EventFlags,
}

impl Socket {
    /// Takes over an accepted or connecting stream.
    pub(crate) fn new(stream: TcpStream) -> io::Result<Socket> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        Ok(Socket {
            stream,
            input: Vec::new(),
            output: Vec::new(),
            flushed: 0,
            bytes_sent: 0,
            registered: EventFlags::empty(),
        })
    }

    /// Starts to connect; the socket becomes writable when it is connected.
    pub(crate) fn connect(address: SocketAddr) -> io::Result<Socket> {
        let family = if address.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
        let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
        let descriptor: OwnedFd = rustix::net::socket_with(family, SocketType::STREAM, flags, None)?;
        match rustix::net::connect(&descriptor, &address) {
            Ok(()) | Err(rustix::io::Errno::INPROGRESS) => Socket::new(TcpStream::from(descriptor)),
            Err(error) => Err(error.into()),
        }
    }

    /// Whether the connection is established; an error if that has failed.
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

    /// Registers with the poller what this socket waits for, if that has changed.
    pub(crate) fn set_interest(
        &mut self,
        poller: &Poller,
        token: ConnectionToken,
        interest: Interest,
    ) -> io::Result<()> {
        let mut wanted = EventFlags::RDHUP;
        wanted.set(EventFlags::IN, interest != Interest::Paused);
        wanted.set(EventFlags::OUT, interest == Interest::Connect || self.unsent_bytes() > 0);
        if self.registered.is_empty() {
            poller.register(&self.stream, token, wanted)?;
        } else if wanted != self.registered {
            poller.modify(&self.stream, token, wanted)?;
        }
        self.registered = wanted;
        Ok(())
    }

    /// Reads what has arrived until `input` holds `max_buffered` bytes. A reset is an error only if nothing
    /// arrived before it: otherwise what arrived counts first.
    pub(crate) fn read_available(&mut self, max_buffered: usize) -> io::Result<StreamStatus> {
        let mut chunk = [0; READ_CHUNK];
        let length_before = self.input.len();
        while self.input.len() < max_buffered {
            let wanted = READ_CHUNK.min(max_buffered - self.input.len());
            match self.stream.read(&mut chunk[..wanted]) {
                Ok(0) => return Ok(StreamStatus::Ended),
                Ok(count) => {
                    self.input.extend_from_slice(&chunk[..count]);
                    if count < wanted {
                        return Ok(StreamStatus::Open);
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(StreamStatus::Open),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) if self.input.len() > length_before => return Ok(StreamStatus::Ended),
                Err(error) => return Err(error),
            }
        }
        Ok(StreamStatus::Open)
    }

    /// Reads and drops what has arrived, at most `remaining` bytes over all calls. Beyond them the stream
    /// counts as ended.
    pub(crate) fn discard_available(&mut self, remaining: &mut usize) -> io::Result<StreamStatus> {
        let mut chunk = [0; READ_CHUNK];
        loop {
            match self.stream.read(&mut chunk) {
                Ok(0) => return Ok(StreamStatus::Ended),
                Ok(count) if count >= *remaining => return Ok(StreamStatus::Ended),
                Ok(count) => *remaining -= count,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(StreamStatus::Open),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
    }

    /// Tells the peer that nothing more will be sent.
    pub(crate) fn shutdown_write(&self) -> io::Result<()> {
        self.stream.shutdown(Shutdown::Write)
    }

    /// The buffer to which output is appended; [`Socket::flush`] writes it.
    pub(crate) fn output(&mut self) -> &mut Vec<u8> {
        &mut self.output
    }

    /// Bytes of the output that are not written yet.
    pub(crate) fn unsent_bytes(&self) -> usize {
        self.output.len() - self.flushed
    }

    /// Writes as much of the output as the system takes now.
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
        // The memory of a large value must not stay with an idle connection.
        self.output.shrink_to(RETAINED_CAPACITY);
        Ok(())
    }

    /// Drops the first `count` bytes of the input.
    pub(crate) fn consume(&mut self, count: usize) {
        self.input.drain(..count);
        if self.input.is_empty() {
            self.input.shrink_to(RETAINED_CAPACITY);
        }
    }
}
