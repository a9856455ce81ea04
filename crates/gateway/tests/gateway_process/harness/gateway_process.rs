//! A gateway as a child process: its log, its signals and its end.

use super::{log_lines, TEST_TIMEOUT};
use rustix::process::{kill_process, waitpid, Pid, Signal, WaitOptions};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, ChildStdin, ChildStdout, Command, ExitStatus, Stdio};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError};
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

/// The path of the program under test.
pub const GATEWAY_PROGRAM: &str = env!("CARGO_BIN_EXE_storage-gateway");

/// Held while a child process is started. Until the child executes its program, it has copies of
/// all descriptors of this process, and a connection that another test closes meanwhile stays open.
static SPAWN_LOCK: Mutex<()> = Mutex::new(());

/// Does something while no child process has copies of this process's descriptors.
pub fn without_spawning<T>(action: impl FnOnce() -> T) -> T {
    let _guard = SPAWN_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    action()
}

/// A gateway process, which is killed when the test ends before it.
pub struct GatewayProcess {
    child: Child,
    pid: Pid,
    log: Receiver<String>,
}

impl GatewayProcess {
    /// Starts the process and a thread that reads its log from the standard error stream.
    pub fn spawn(command: &mut Command) -> Self {
        command.stderr(Stdio::piped());
        // `spawn` returns once the child executes its program.
        let mut child = without_spawning(|| command.spawn()).expect("the gateway starts");
        let lines = BufReader::new(child.stderr.take().expect("stderr is piped")).lines();
        let (sender, log) = channel();
        std::thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                let _ = sender.send(line);
            }
        });
        let pid = Pid::from_child(&child);
        Self { child, pid, log }
    }

    /// Its standard input, where it is piped.
    pub fn take_stdin(&mut self) -> ChildStdin {
        self.child.stdin.take().expect("stdin is piped")
    }

    /// Its standard output, where it is piped.
    pub fn take_stdout(&mut self) -> ChildStdout {
        self.child.stdout.take().expect("stdout is piped")
    }

    /// Waits for a log line that contains the text; skips others.
    #[track_caller]
    pub fn wait_for_log(&mut self, text: &str) -> String {
        let started = Instant::now();
        loop {
            let remaining = TEST_TIMEOUT.saturating_sub(started.elapsed());
            let line = self.log.recv_timeout(remaining);
            let line =
                line.unwrap_or_else(|error| panic!("the log has no line with {text:?}: {error}"));
            if line.contains(text) {
                return line;
            }
        }
    }

    /// Waits until the gateway accepts RESP2 clients, and says where.
    pub fn wait_for_resp_listener(&mut self) -> SocketAddr {
        self.wait_for_listener(log_lines::LISTENING_FOR_RESP)
    }

    /// Waits until the gateway accepts SFTP clients, and says where.
    pub fn wait_for_sftp_listener(&mut self) -> SocketAddr {
        self.wait_for_listener(log_lines::LISTENING_FOR_SFTP)
    }

    fn wait_for_listener(&mut self, log_line: &str) -> SocketAddr {
        let line = self.wait_for_log(log_line);
        let address = line.rsplit(' ').next().expect("a line has a last word");
        address.parse().expect("the line ends with an address")
    }

    /// Sends a signal.
    pub fn send_signal(&self, signal: Signal) {
        kill_process(self.pid, signal).expect("the process runs");
    }

    /// Stops the process where it is (SIGSTOP) until [`Self::resume`].
    pub fn pause(&self) {
        self.send_signal(Signal::STOP);
        let stopped = waitpid(Some(self.pid), WaitOptions::UNTRACED).expect("a child process");
        assert!(
            stopped.is_some_and(|(_, status)| status.stopped()),
            "the process still runs"
        );
    }

    /// Lets a paused process go on (SIGCONT).
    pub fn resume(&self) {
        self.send_signal(Signal::CONT);
    }

    /// Waits until the process has ended: its log ends with it.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        let started = Instant::now();
        loop {
            let remaining = TEST_TIMEOUT.saturating_sub(started.elapsed());
            match self.log.recv_timeout(remaining) {
                Ok(_) => {}
                Err(RecvTimeoutError::Disconnected) => break,
                Err(RecvTimeoutError::Timeout) => panic!("the gateway does not end"),
            }
        }
        self.child.wait().expect("a child process")
    }
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
