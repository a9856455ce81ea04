//! A gateway as a child process: its log, signals and exit status.

use super::{log_lines, TEST_TIMEOUT};
use rustix::process::{
    getrlimit, kill_process, prlimit, waitpid, Pid, Resource, Rlimit, Signal, WaitOptions,
};
use std::collections::BTreeSet;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, ChildStdin, ChildStdout, Command, ExitStatus, Stdio};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError};
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

/// The path of the program under test.
pub const GATEWAY_PROGRAM: &str = env!("CARGO_BIN_EXE_storage-gateway");

/// Held while a child process is started. Between fork and exec, the child has copies of all file
/// descriptors of this process: a connection that another test closes in that time stays open.
static SPAWN_LOCK: Mutex<()> = Mutex::new(());

/// Calls `action` with [`SPAWN_LOCK`] held, so that no child process has copies of this process's
/// file descriptors.
pub fn with_spawn_lock<T>(action: impl FnOnce() -> T) -> T {
    let _guard = SPAWN_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    action()
}

/// A gateway process. It is killed when this value is dropped.
pub struct GatewayProcess {
    child: Child,
    pid: Pid,
    log: Receiver<String>,
}

impl GatewayProcess {
    /// Starts the process, and a thread that reads its log from standard error.
    pub fn spawn(command: &mut Command) -> Self {
        command.stderr(Stdio::piped());
        // `spawn` returns after the exec.
        let mut child = with_spawn_lock(|| command.spawn()).expect("the gateway should start");
        let lines = BufReader::new(child.stderr.take().expect("stderr should be piped")).lines();
        let (sender, log) = channel();
        std::thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                let _ = sender.send(line);
            }
        });
        let pid = Pid::from_child(&child);
        Self { child, pid, log }
    }

    /// Takes the standard input of the process, which must be piped.
    pub fn take_stdin(&mut self) -> ChildStdin {
        self.child.stdin.take().expect("stdin should be piped")
    }

    /// Takes the standard output of the process, which must be piped.
    pub fn take_stdout(&mut self) -> ChildStdout {
        self.child.stdout.take().expect("stdout should be piped")
    }

    /// Waits for a log line that contains the text, skips all lines before it and returns it.
    #[track_caller]
    pub fn wait_for_log(&mut self, text: &str) -> String {
        let started = Instant::now();
        loop {
            let remaining = TEST_TIMEOUT.saturating_sub(started.elapsed());
            let line = self.log.recv_timeout(remaining);
            let line =
                line.unwrap_or_else(|error| panic!("no log line contains {text:?}: {error}"));
            if line.contains(text) {
                return line;
            }
        }
    }

    /// Waits until the gateway accepts RESP2 clients and returns its address.
    pub fn wait_for_resp_listener(&mut self) -> SocketAddr {
        self.wait_for_listener(log_lines::LISTENING_FOR_RESP)
    }

    /// Waits until the gateway accepts SFTP clients and returns its address.
    pub fn wait_for_sftp_listener(&mut self) -> SocketAddr {
        self.wait_for_listener(log_lines::LISTENING_FOR_SFTP)
    }

    fn wait_for_listener(&mut self, log_line: &str) -> SocketAddr {
        let line = self.wait_for_log(log_line);
        let address = line
            .rsplit(' ')
            .next()
            .expect("the line should not be empty");
        address
            .parse()
            .expect("the line should end with an address")
    }

    /// Sends a signal to the process.
    pub fn send_signal(&self, signal: Signal) {
        kill_process(self.pid, signal).expect("the process should be running");
    }

    /// Sets the limit on open descriptors of the running process; `None` sets it so that no further
    /// one can be opened.
    pub fn limit_descriptors(&self, limit: Option<u64>) {
        let limit = limit.unwrap_or_else(|| self.lowest_free_descriptor());
        let limits = Rlimit {
            current: Some(limit),
            ..getrlimit(Resource::Nofile)
        };
        prlimit(Some(self.pid), Resource::Nofile, limits)
            .expect("setting a limit of a child process should succeed");
    }

    /// Returns the lowest descriptor that is not open, which the system uses next.
    fn lowest_free_descriptor(&self) -> u64 {
        let path = format!("/proc/{}/fd", self.pid.as_raw_nonzero());
        let entries = std::fs::read_dir(path).expect("the process should be running");
        let open: BTreeSet<u64> = entries
            .filter_map(|entry| entry.ok()?.file_name().to_str()?.parse().ok())
            .collect();
        (0..)
            .find(|number| !open.contains(number))
            .expect("a number should be free")
    }

    /// Returns the processor time that the process has used, in clock ticks of 10 ms.
    pub fn processor_ticks(&self) -> u64 {
        let path = format!("/proc/{}/stat", self.pid.as_raw_nonzero());
        let stat = std::fs::read_to_string(path).expect("the process should be running");
        // The fields after the name of the program, which is in parentheses; the 12th and 13th are
        // the times in user and system mode.
        let (_, fields) = stat
            .rsplit_once(')')
            .expect("the name should be in parentheses");
        let times = fields.split_whitespace().skip(11).take(2);
        times
            .map(|time| time.parse::<u64>().expect("a time should be a number"))
            .sum()
    }

    /// Returns the largest resident memory of the process so far, in bytes.
    pub fn peak_memory_bytes(&self) -> u64 {
        let path = format!("/proc/{}/status", self.pid.as_raw_nonzero());
        let status = std::fs::read_to_string(path).expect("the process should be running");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kibibytes = line.and_then(|line| line.split_whitespace().next());
        let kibibytes: u64 = kibibytes
            .and_then(|number| number.parse().ok())
            .expect("the status should state the peak");
        kibibytes << 10
    }

    /// Pauses the process with SIGSTOP until [`Self::resume`], and waits until it is stopped.
    pub fn pause(&self) {
        self.send_signal(Signal::STOP);
        let stopped = waitpid(Some(self.pid), WaitOptions::UNTRACED)
            .expect("waiting for the child process should succeed");
        assert!(
            stopped.is_some_and(|(_, status)| status.stopped()),
            "the process was not stopped"
        );
    }

    /// Resumes a paused process with SIGCONT.
    pub fn resume(&self) {
        self.send_signal(Signal::CONT);
    }

    /// Waits until the process has exited, which closes its log, and returns its exit status.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        let started = Instant::now();
        loop {
            let remaining = TEST_TIMEOUT.saturating_sub(started.elapsed());
            match self.log.recv_timeout(remaining) {
                Ok(_) => {}
                Err(RecvTimeoutError::Disconnected) => break,
                Err(RecvTimeoutError::Timeout) => panic!("the gateway did not exit in time"),
            }
        }
        self.child
            .wait()
            .expect("waiting for the child process should succeed")
    }
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
