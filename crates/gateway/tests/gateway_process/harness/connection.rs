//! One end of a TCP connection, held by a test.

use super::gateway_process::without_spawning;
use super::requests::value_response;
use super::resp::{decode_value, encode_command};
use super::TEST_TIMEOUT;
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// How the other side ended a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// In order, with a FIN.
    Closed,
    /// With a reset.
    Reset,
}

/// A connection, with the bytes that were received on it and not examined yet.
pub struct Connection {
    stream: TcpStream,
    input: Vec<u8>,
}

impl Connection {
    /// Connects to a listener.
    pub fn connect(address: SocketAddr) -> Self {
        Self::new(TcpStream::connect(address).expect("the other side listens"))
    }

    /// Accepts the next connection, which must come in time.
    pub fn accept(listener: &TcpListener) -> Self {
        let mut ready = [PollFd::new(listener, PollFlags::IN)];
        let timeout = Timespec {
            tv_sec: TEST_TIMEOUT.as_secs().cast_signed(),
            tv_nsec: 0,
        };
        assert_eq!(poll(&mut ready, Some(&timeout)), Ok(1), "nobody connects");
        Self::new(listener.accept().expect("a connection").0)
    }

    fn new(stream: TcpStream) -> Self {
        stream
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("a valid timeout");
        stream.set_nodelay(true).expect("a socket option");
        Self {
            stream,
            input: Vec::new(),
        }
    }

    /// Sends bytes.
    pub fn send(&mut self, bytes: impl AsRef<[u8]>) {
        self.stream
            .write_all(bytes.as_ref())
            .expect("the other side is connected");
    }

    /// Sends bytes to a side that may have closed the connection.
    pub fn send_after_close(&mut self, bytes: impl AsRef<[u8]>) {
        let _ = self.stream.write_all(bytes.as_ref());
    }

    /// As a client: sends `PING`, which the gateway answers itself.
    pub fn send_ping(&mut self) {
        self.send(encode_command("PING"));
    }

    /// As a node: sends a response with a value.
    pub fn respond(&mut self, value: &str) {
        self.send(value_response(value));
    }

    /// Reads once; says how the connection ended, if it has.
    fn read_once(&mut self) -> Option<ConnectionEnd> {
        let mut bytes = [0; 64 << 10];
        match self.stream.read(&mut bytes) {
            Ok(0) => Some(ConnectionEnd::Closed),
            Ok(count) => {
                self.input.extend_from_slice(&bytes[..count]);
                None
            }
            Err(error) if error.kind() == ErrorKind::ConnectionReset => Some(ConnectionEnd::Reset),
            Err(error) => panic!("{error}; received so far: {}", self.input.escape_ascii()),
        }
    }

    /// Reads more, which must come.
    fn read_more(&mut self) {
        let end = self.read_once();
        assert_eq!(
            end,
            None,
            "the connection ended with {}",
            self.input.escape_ascii()
        );
    }

    /// Waits for one RESP value (see [`decode_value`] for its form).
    pub fn receive_value(&mut self) -> String {
        loop {
            let mut position = 0;
            if let Some(value) = decode_value(&self.input, &mut position) {
                self.input.drain(..position);
                return value;
            }
            self.read_more();
        }
    }

    /// Waits for the head of an HTTP request; returns its first line.
    pub fn receive_request_line(&mut self) -> String {
        loop {
            if let Some(end) = self.input.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                let head: Vec<u8> = self.input.drain(..end + 4).collect();
                let head = String::from_utf8(head).expect("text");
                return head.lines().next().unwrap_or_default().to_owned();
            }
            self.read_more();
        }
    }

    /// As a client: the next value is this one.
    #[track_caller]
    pub fn expect_value(&mut self, value: &str) {
        assert_eq!(self.receive_value(), value);
    }

    /// As a client: the next value is the answer to `PING`.
    #[track_caller]
    pub fn expect_pong(&mut self) {
        self.expect_value("+PONG");
    }

    /// As a client: the request is rejected.
    #[track_caller]
    pub fn expect_busy(&mut self) {
        let value = self.receive_value();
        assert!(
            value.starts_with("-BUSY"),
            "the request is rejected: {value}"
        );
    }

    /// As a node: the next request is the client's with this id.
    #[track_caller]
    pub fn expect_request(&mut self, id: &str) -> String {
        let request = self.receive_value();
        assert!(
            request.contains(&format!(" {id} ")),
            "the request {id} is forwarded next: {request}"
        );
        request
    }

    /// Waits for the end of the connection, before which nothing more may be received; returns how
    /// it ended.
    pub fn wait_for_end(&mut self) -> ConnectionEnd {
        loop {
            assert!(
                self.input.is_empty(),
                "received: {}",
                self.input.escape_ascii()
            );
            if let Some(end) = self.read_once() {
                return end;
            }
        }
    }

    /// The other side closes the connection in order and sends nothing more before.
    #[track_caller]
    pub fn expect_closed(&mut self) {
        assert_eq!(self.wait_for_end(), ConnectionEnd::Closed);
    }

    /// As a client: the next value is this one, and the gateway closes the connection after it.
    #[track_caller]
    pub fn expect_last_value(&mut self, value: &str) {
        self.expect_value(value);
        self.expect_closed();
    }

    /// Closes the connection in order.
    pub fn close(self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }

    /// Ends the connection with a reset, which has been sent when this returns.
    pub fn reset(self) {
        rustix::net::sockopt::set_socket_linger(&self.stream, Some(Duration::ZERO))
            .expect("a socket option");
        without_spawning(|| drop(self));
    }
}
