//! Peers on real sockets for tests that force two events to cross.
//!
//! A peer says nothing until it is told to, and a gateway that is held ([`Gateway::hold`]) does nothing until
//! it is let go: all that happened meanwhile lies before it in one turn. Nothing sleeps; the only time
//! measured is the one after which a test gives up.
#![allow(dead_code)]

use rustix::event::{poll, PollFd, PollFlags, Timespec};
use rustix::process::{kill_process, waitpid, Pid, Signal, WaitOptions};
use std::fmt::Write as _;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};

/// What does not come within this does not come.
pub const PATIENCE: Duration = Duration::from_secs(12);

/// How a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Closed,
    Reset,
}

/// A connection of a peer's.
pub struct Conn {
    stream: TcpStream,
    input: Vec<u8>,
}

impl Conn {
    pub fn to(address: SocketAddr) -> Conn {
        Conn::new(TcpStream::connect(address).expect("it listens"))
    }

    fn new(stream: TcpStream) -> Conn {
        stream.set_read_timeout(Some(PATIENCE)).expect("a time");
        stream.set_nodelay(true).expect("a flag");
        Conn { stream, input: Vec::new() }
    }

    pub fn say(&mut self, words: impl AsRef<[u8]>) {
        self.stream.write_all(words.as_ref()).expect("the other side is there");
    }

    /// Says something to a side that may have gone.
    pub fn say_late(&mut self, words: impl AsRef<[u8]>) {
        let _ = self.stream.write_all(words.as_ref());
    }

    /// Reads more; how it ended, if it has.
    fn more(&mut self) -> Option<End> {
        let mut bytes = [0; 64 << 10];
        match self.stream.read(&mut bytes) {
            Ok(0) => Some(End::Closed),
            Ok(n) => {
                self.input.extend_from_slice(&bytes[..n]);
                None
            }
            Err(e) if e.kind() == ErrorKind::ConnectionReset => Some(End::Reset),
            Err(e) => panic!("{e}; so far: {}", self.input.escape_ascii()),
        }
    }

    /// One RESP value; the words of an array with a space between them.
    pub fn value(&mut self) -> String {
        loop {
            let mut at = 0;
            if let Some(words) = value(&self.input, &mut at) {
                self.input.drain(..at);
                return words;
            }
            assert_eq!(self.more(), None, "it ended with {}", self.input.escape_ascii());
        }
    }

    /// The head of an HTTP request: its first line.
    pub fn head(&mut self) -> String {
        loop {
            if let Some(end) = self.input.windows(4).position(|w| w == b"\r\n\r\n") {
                let head: Vec<u8> = self.input.drain(..end + 4).collect();
                return String::from_utf8(head).expect("text").lines().next().unwrap_or_default().to_owned();
            }
            assert_eq!(self.more(), None, "it ended with {}", self.input.escape_ascii());
        }
    }

    /// Waits for the end, ahead of which nothing may come.
    pub fn end(&mut self) -> End {
        loop {
            assert!(self.input.is_empty(), "came: {}", self.input.escape_ascii());
            if let Some(end) = self.more() {
                return end;
            }
        }
    }

    pub fn close(self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }

    /// Ends sending, and nothing else.
    pub fn half_close(&mut self) {
        self.stream.shutdown(Shutdown::Write).expect("it is open");
    }

    pub fn reset(self) {
        rustix::net::sockopt::set_socket_linger(&self.stream, Some(Duration::ZERO)).expect("a time");
    }
}

fn value(input: &[u8], at: &mut usize) -> Option<String> {
    let end = *at + input.get(*at..)?.windows(2).position(|w| w == b"\r\n")?;
    let line = String::from_utf8_lossy(&input[*at..end]).into_owned();
    *at = end + 2;
    let n = || line[1..].parse::<usize>().expect("a length");
    match line.as_bytes()[0] {
        b'*' => (0..n()).map(|_| value(input, at)).collect::<Option<Vec<_>>>().map(|w| w.join(" ")),
        b'$' => {
            let bulk = input.get(*at..*at + n() + 2)?;
            *at += bulk.len();
            Some(String::from_utf8_lossy(&bulk[..bulk.len() - 2]).into_owned())
        }
        _ => Some(line),
    }
}

/// A command on the wire.
pub fn command(words: &str) -> String {
    let bulk = |w: &str| format!("${}\r\n{w}\r\n", w.len());
    let words: Vec<String> = words.split(' ').map(bulk).collect();
    format!("*{}\r\n{}", words.len(), words.concat())
}

/// A read of shard 0 that its client gives five seconds.
pub fn read(id: &str) -> String {
    read_within(id, 5_000)
}

pub fn read_within(id: &str, ms: u32) -> String {
    command(&format!(
        "IO.IN 7f3a9c21e0b4d655 {id} c=read,t=gold,d={ms},volume=00000000000000a1,units=2,shard=0,hosts=1"
    ))
}

/// A write of a new object, which any node may take.
pub fn write(id: &str) -> String {
    command(&format!(
        "IO.OUT 7f3a9c21e0b4d656 {id} c=write,t=gold,d=5000,volume=00000000000000a1,units=2,shard=-1,hosts=1 note"
    ))
}

/// What a node answers with a value.
pub fn served(value: &str) -> String {
    format!("*3\r\n${}\r\n{value}\r\n$-1\r\n$-1\r\n", value.len())
}

/// The next connection, which must come in time.
fn accept(listener: &TcpListener) -> Conn {
    let mut ready = [PollFd::new(listener, PollFlags::IN)];
    let patience = Timespec { tv_sec: PATIENCE.as_secs() as i64, tv_nsec: 0 };
    assert_eq!(poll(&mut ready, Some(&patience)), Ok(1), "nobody connects");
    Conn::new(listener.accept().expect("a connection").0)
}

/// A node that listens.
pub struct Node {
    pub name: &'static str,
    listener: TcpListener,
    pub shard: u64,
}

impl Node {
    pub fn new(name: &'static str, shard: u64) -> Node {
        Node { name, listener: TcpListener::bind("127.0.0.1:0").expect("a port"), shard }
    }

    pub fn accept(&self) -> Conn {
        accept(&self.listener)
    }

    /// Whether nobody has connected but those accepted.
    pub fn untouched(&self) -> bool {
        self.listener.set_nonblocking(true).expect("a flag");
        let none = self.listener.accept().is_err_and(|e| e.kind() == ErrorKind::WouldBlock);
        self.listener.set_nonblocking(false).expect("a flag");
        none
    }

    /// Lets no connection come up from now on, and none that has begun: returns what fills its queue. Once
    /// that is let go, what has begun comes up when the system tries again.
    pub fn fill_queue(&self) -> Vec<TcpStream> {
        rustix::net::listen(&self.listener, 0).expect("a listener");
        let address = self.listener.local_addr().expect("a port");
        let mut queued = vec![TcpStream::connect(address).expect("the queue has a place")];
        // A queue of no length has room for one; whatever room there is beyond, the next finds none.
        while let Ok(one) = TcpStream::connect_timeout(&address, Duration::from_millis(100)) {
            queued.push(one);
        }
        queued
    }

    /// Takes what filled the queue out of it.
    pub fn empty_queue(&self, queued: Vec<TcpStream>) {
        let ports: Vec<SocketAddr> = queued.iter().map(|s| s.local_addr().expect("a port")).collect();
        for _ in &ports {
            let (_, from) = self.listener.accept().expect("what fills the queue");
            assert!(ports.contains(&from), "it was not full");
        }
        rustix::net::listen(&self.listener, 16).expect("a listener");
    }

    pub fn entry(&self, status: &str) -> String {
        let address = self.listener.local_addr().expect("a port");
        format!(
            r#"{{"name":"{}","address":"{address}","zone":"a","group":{},"status":"{status}","since_ms":0}}"#,
            self.name, self.shard
        )
    }
}

/// Discovery, as far as it listens.
pub struct Discovery {
    listener: Option<TcpListener>,
    pub address: SocketAddr,
}

pub const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// A list or changes, as one line.
pub fn update(index: u64, snapshot: bool, entries: &[String]) -> String {
    format!("{{\"index\":{index},\"snapshot\":{snapshot},\"endpoints\":[{}]}}\n", entries.join(","))
}

impl Discovery {
    pub fn new() -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("a port");
        Discovery { listener: Some(listener), address }
    }

    /// Refuses connections from now on.
    pub fn go_down(&mut self) {
        self.listener = None;
    }

    pub fn come_back(&mut self) {
        self.listener = Some(TcpListener::bind(self.address).expect("its own port"));
    }

    /// The next call: its connection and the first line of its request.
    pub fn call(&self) -> (Conn, String) {
        let mut conn = accept(self.listener.as_ref().expect("it is up"));
        let head = conn.head();
        (conn, head)
    }

    /// Takes the next call and answers it with the whole list.
    pub fn watched(&self, index: u64, entries: &[String]) -> Conn {
        let (mut conn, _) = self.call();
        conn.say(CHUNKED.to_owned() + &chunk(&update(index, true, entries)));
        conn
    }
}

/// A gateway process.
pub struct Gateway {
    child: Child,
    pid: Pid,
    pub address: SocketAddr,
    log: Receiver<String>,
    folder: PathBuf,
    config: String,
    discovery: SocketAddr,
}

impl Gateway {
    /// Starts a gateway that knows the nodes; `change` edits its configuration.
    pub fn start(
        name: &str,
        nodes: &[&Node],
        discovery: &Discovery,
        change: impl Fn(String) -> String,
    ) -> Gateway {
        let folder = std::env::temp_dir().join(format!("storage-gateway-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let known: Vec<String> = nodes.iter().map(|n| n.entry("in_service")).collect();
        let settings = include_str!("../common/settings.json");
        let mut config = String::new();
        let _ = write!(
            config,
            r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{}","seed":"1","limits":{{"sockets":256}},"known":{{"index":1,"snapshot":true,"endpoints":[{}]}},"settings":{settings}}}"#,
            discovery.address,
            known.join(",")
        );
        let config = change(config);
        let path = folder.join("config.json");
        std::fs::write(&path, &config).expect("a file");
        let mut child = Command::new(env!("CARGO_BIN_EXE_storage-gateway"))
            .env("ROUTER_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the gateway starts");
        let lines = BufReader::new(child.stderr.take().expect("piped"));
        let (tell, log) = channel();
        std::thread::spawn(move || {
            for line in lines.lines().map_while(Result::ok) {
                let _ = tell.send(line);
            }
        });
        let pid = Pid::from_child(&child);
        let address = "127.0.0.1:0".parse().expect("an address");
        let mut gateway = Gateway { child, pid, address, log, folder, config, discovery: discovery.address };
        let line = gateway.says("listens for RESP2 on");
        gateway.address = line.rsplit(' ').next().and_then(|a| a.parse().ok()).expect("an address");
        gateway
    }

    /// Waits for a line of the log.
    pub fn says(&mut self, words: &str) -> String {
        let begun = Instant::now();
        loop {
            let left = PATIENCE.saturating_sub(begun.elapsed());
            let line = self.log.recv_timeout(left).unwrap_or_else(|_| panic!("never said: {words}"));
            if line.contains(words) {
                return line;
            }
        }
    }

    pub fn client(&self) -> Conn {
        Conn::to(self.address)
    }

    /// A client whose connection and first words come at once: one that retires waits for neither for long.
    pub fn asked(&self, words: impl AsRef<[u8]>) -> Conn {
        self.hold();
        let mut client = self.client();
        client.say(words);
        self.let_go();
        client
    }

    /// Returns when the gateway has seen all that was there on its sockets before.
    pub fn has_seen(&self) {
        self.asked(command("PING")).value();
    }

    fn signal(&self, signal: Signal) {
        kill_process(self.pid, signal).expect("it runs");
    }

    /// SIGTERM, taken in.
    pub fn shutdown_requested(&mut self) {
        self.signal(Signal::TERM);
        self.says("told to end");
    }

    /// SIGTERM, and the time is over in which all goes on as before: a client that rests is ended.
    pub fn retires(&mut self) {
        let mut resting = self.client();
        resting.say(command("PING"));
        resting.value();
        self.shutdown_requested();
        assert_eq!(resting.end(), End::Closed);
    }

    /// SIGTERM or SIGHUP to a gateway that is held.
    pub fn will_end(&self) {
        self.signal(Signal::TERM);
    }

    pub fn will_reload(&self) {
        self.signal(Signal::HUP);
    }

    /// SIGHUP, with another address of discovery in the configuration; taken in.
    pub fn moved_to(&mut self, discovery: &Discovery) {
        self.write_moved(discovery);
        self.signal(Signal::HUP);
        self.says("configuration read again");
    }

    /// Writes another address of discovery into the configuration.
    pub fn write_moved(&mut self, discovery: &Discovery) {
        let (from, to) = (self.discovery.to_string(), discovery.address.to_string());
        self.config = self.config.replace(&from, &to);
        self.discovery = discovery.address;
        std::fs::write(self.folder.join("config.json"), &self.config).expect("a file");
    }

    /// Stops the process where it is; what happens from here on lies before it at once when it goes on.
    pub fn hold(&self) {
        self.signal(Signal::STOP);
        let stopped = waitpid(Some(self.pid), WaitOptions::UNTRACED).expect("a child");
        assert!(stopped.is_some_and(|(_, status)| status.stopped()), "it runs on");
    }

    pub fn let_go(&self) {
        self.signal(Signal::CONT);
    }

    /// Waits for the process to end as it should.
    pub fn ends(&mut self) {
        self.says("done");
        assert!(self.child.wait().expect("a child").success());
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
