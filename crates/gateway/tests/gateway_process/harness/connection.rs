//! A TCP connection between a test and the gateway.

use super::gateway_process::with_spawn_lock;
use super::requests::encode_value_response;
use super::resp::{decode_value, encode_command};
use super::TEST_TIMEOUT;
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// How the gateway ended a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// Closed with a FIN.
    Closed,
    /// Reset, with an RST.
    Reset,
}

/// The test's end of a connection, with the received bytes that are not decoded yet.
pub struct Connection {
    stream: TcpStream,
    input: Vec<u8>,
}

impl Connection {
    /// Connects to a listening address.
    pub fn connect(address: SocketAddr) -> Self {
        Self::new(TcpStream::connect(address).expect("the address should be listening"))
    }

    /// Accepts the next connection; panics if there is none within [`TEST_TIMEOUT`].
    pub fn accept(listener: &TcpListener) -> Self {
        let mut ready = [PollFd::new(listener, PollFlags::IN)];
        let timeout = Timespec {
            tv_sec: TEST_TIMEOUT.as_secs().cast_signed(),
            tv_nsec: 0,
        };
        assert_eq!(
            poll(&mut ready, Some(&timeout)),
            Ok(1),
            "no connection was opened in time"
        );
        Self::new(
            listener
                .accept()
                .expect("accepting the connection should succeed")
                .0,
        )
    }

    /// Accepts the next connection, however long it takes.
    pub fn accept_at_any_time(listener: &TcpListener) -> Self {
        let accepted = listener.accept();
        Self::new(accepted.expect("accepting the connection should succeed").0)
    }

    fn new(stream: TcpStream) -> Self {
        stream
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("the timeout should be valid");
        stream
            .set_nodelay(true)
            .expect("setting TCP_NODELAY should succeed");
        Self {
            stream,
            input: Vec::new(),
        }
    }

    /// Sends bytes; panics if the write fails.
    pub fn send(&mut self, bytes: impl AsRef<[u8]>) {
        self.stream
            .write_all(bytes.as_ref())
            .expect("the connection should be open");
    }

    /// Sends bytes, and ignores the error if the gateway has closed the connection.
    pub fn send_after_close(&mut self, bytes: impl AsRef<[u8]>) {
        let _ = self.stream.write_all(bytes.as_ref());
    }

    /// As a client: sends `PING`, to which the gateway replies without a node.
    pub fn send_ping(&mut self) {
        self.send(encode_command("PING"));
    }

    /// As a node: sends a successful response with a value.
    pub fn respond(&mut self, value: &str) {
        self.send(encode_value_response(value));
    }

    /// As a node: responds to each request with the same bytes, and to each barrier, until the
    /// gateway ends the connection. Counts the requests.
    pub fn respond_until_closed(&mut self, response: &str, count: &AtomicUsize) {
        loop {
            let mut position = 0;
            let Some(command) = decode_value(&self.input, &mut position) else {
                let mut bytes = [0; 16 << 10];
                match self.stream.read(&mut bytes) {
                    Ok(length) if length > 0 => self.input.extend_from_slice(&bytes[..length]),
                    _ => return,
                }
                continue;
            };
            self.input.drain(..position);
            if command.starts_with("SELECT") {
                self.send_after_close("+OK\r\n");
                continue;
            }
            count.fetch_add(1, Ordering::SeqCst);
            self.send_after_close(response);
        }
    }

    /// As a node: responds to all further requests with this value, on a thread that ends with the
    /// connection or the test process.
    pub fn respond_in_background(mut self, value: &str) {
        let response = encode_value_response(value);
        thread::spawn(move || self.respond_until_closed(&response, &AtomicUsize::new(0)));
    }

    /// As a client: sends the same bytes again and again without a pause, and discards all replies,
    /// on two threads that end with the connection or the test process.
    pub fn send_repeatedly_in_background(self, bytes: String) {
        let mut reader = self
            .stream
            .try_clone()
            .expect("the connection should be usable by two threads");
        thread::spawn(move || {
            let mut discarded = [0; 16 << 10];
            while reader.read(&mut discarded).is_ok_and(|length| length > 0) {}
        });
        let mut writer = self.stream;
        thread::spawn(move || while writer.write_all(bytes.as_bytes()).is_ok() {});
    }

    /// Reads once; returns how the connection ended, or `None` if bytes were received.
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

    /// Reads at least one byte; panics if the connection has ended.
    fn read_more(&mut self) {
        let end = self.read_once();
        assert_eq!(
            end,
            None,
            "the connection ended; undecoded input: {}",
            self.input.escape_ascii()
        );
    }

    /// Waits for one complete RESP2 value and returns it as text (see [`decode_value`]).
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

    /// Waits for the head of an HTTP request and returns the request line.
    pub fn receive_request_line(&mut self) -> String {
        loop {
            if let Some(end) = self.input.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                let head: Vec<u8> = self.input.drain(..end + 4).collect();
                let head = String::from_utf8(head).expect("the request should be UTF-8");
                return head.lines().next().unwrap_or_default().to_owned();
            }
            self.read_more();
        }
    }

    /// As a client: checks that the next value is this one.
    #[track_caller]
    pub fn expect_value(&mut self, value: &str) {
        assert_eq!(self.receive_value(), value);
    }

    /// As a client: returns whether the gateway replies or closes the connection with a FIN before
    /// `time`. Consumes the reply.
    pub fn gets_reply_or_close_before(&mut self, time: Instant) -> bool {
        loop {
            let mut position = 0;
            if decode_value(&self.input, &mut position).is_some() {
                self.input.drain(..position);
                return true;
            }
            self.set_read_timeout_until(time);
            let mut bytes = [0; 1 << 10];
            match self.stream.read(&mut bytes) {
                Ok(0) => return true,
                Ok(count) => self.input.extend_from_slice(&bytes[..count]),
                Err(_) => return false,
            }
        }
    }

    /// As a client: checks that the next value is the reply to `PING`.
    #[track_caller]
    pub fn expect_pong(&mut self) {
        self.expect_value("+PONG");
    }

    /// As a client: checks that the request is rejected with a `BUSY` error.
    #[track_caller]
    pub fn expect_busy(&mut self) {
        let value = self.receive_value();
        assert!(
            value.starts_with("-BUSY"),
            "expected a BUSY error, received: {value}"
        );
    }

    /// As a node: checks that the next request has this id, and returns it.
    #[track_caller]
    pub fn expect_request(&mut self, id: &str) -> String {
        let request = self.receive_value();
        assert!(
            request.contains(&format!(" {id} ")),
            "expected the request {id}, received: {request}"
        );
        request
    }

    /// Waits until the gateway ends the connection and returns how. Panics if anything is received
    /// before that.
    pub fn wait_for_close(&mut self) -> ConnectionEnd {
        loop {
            assert!(
                self.input.is_empty(),
                "received before the end of the connection: {}",
                self.input.escape_ascii()
            );
            if let Some(end) = self.read_once() {
                return end;
            }
        }
    }

    /// Checks that the gateway closes the connection with a FIN and sends nothing before it.
    #[track_caller]
    pub fn expect_closed(&mut self) {
        assert_eq!(self.wait_for_close(), ConnectionEnd::Closed);
    }

    /// As a client: checks that the next value is this one and that the gateway then closes the
    /// connection.
    #[track_caller]
    pub fn expect_value_and_close(&mut self, value: &str) {
        self.expect_value(value);
        self.expect_closed();
    }

    /// Waits until the gateway sends bytes or ends the connection, or until `time`. Returns whether
    /// bytes were sent.
    pub fn receives_bytes_before(&mut self, time: Instant) -> bool {
        self.set_read_timeout_until(time);
        matches!(self.stream.read(&mut [0; 1 << 10]), Ok(count) if count > 0)
    }

    /// Lets reads wait until `time`.
    fn set_read_timeout_until(&self, time: Instant) {
        let timeout = time
            .saturating_duration_since(Instant::now())
            .max(Duration::from_millis(1));
        self.stream
            .set_read_timeout(Some(timeout))
            .expect("the timeout should be valid");
    }

    /// Closes the connection with a FIN.
    pub fn close(self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }

    /// Closes the sending side with a FIN. The connection can still receive.
    pub fn close_sending_side(&self) {
        self.stream
            .shutdown(Shutdown::Write)
            .expect("the connection should be open");
    }

    /// Resets the connection. The RST has been sent when this returns, because no child process
    /// holds a copy of the socket.
    pub fn reset(self) {
        rustix::net::sockopt::set_socket_linger(&self.stream, Some(Duration::ZERO))
            .expect("setting SO_LINGER should succeed");
        with_spawn_lock(|| drop(self));
    }
}
