//! The process of a gateway over its starts, signals and ends.

use super::config::GatewayConfig;
use super::discovery::{Discovery, ListSnapshot};
use super::{RigOptions, Shared};
use crate::plan::{Action, Plan, NODE_COUNT, RUN_TIME};
use crate::record::{Event, GatewayIndex};
use rustix::process::{kill_process, Pid, Signal};
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// The kill comes this long after the longest deadline, counted from SIGTERM.
const KILL_DELAY: Duration = Duration::from_millis(700);
/// A longest deadline above this counts as this.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// How long a gateway is down between a kill after SIGTERM and its restart.
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// How often it is checked whether the process has exited.
const EXIT_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// What precedes the address in the log line of a listener.
const LISTENING: &str = "listening for RESP2 on ";

/// The rig cannot run a plan.
#[derive(Debug, thiserror::Error)]
pub enum RigError {
    /// A socket, a file or a process could not be created.
    #[error(transparent)]
    System(#[from] io::Error),
    /// A thread of the rig has panicked.
    #[error("a thread of the rig has panicked")]
    ThreadPanicked,
}

/// The address of a gateway; `None` while it is down.
pub(super) type SharedAddress = Arc<Mutex<Option<GatewayAddress>>>;

/// Where a gateway listens, and whether it is known to be ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct GatewayAddress {
    /// The address.
    pub(super) address: SocketAddr,
    /// Whether a client has received a reply.
    pub(super) is_ready: bool,
}

/// What is done with a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProcessStep {
    /// Start it, unless it runs.
    Start,
    /// Send SIGTERM.
    Terminate,
    /// Send SIGKILL.
    Kill,
    /// Send SIGHUP.
    Reload,
    /// Send SIGSTOP.
    Stop,
    /// Send SIGCONT.
    Continue,
}

/// Runs the process of one gateway by its plan.
pub(super) struct GatewayRunner {
    /// The number of the gateway.
    index: GatewayIndex,
    /// The plan.
    plan: Plan,
    /// The discovery service.
    discovery: Discovery,
    /// The program and the folder for logs.
    options: RigOptions,
    /// The folder of the configuration file.
    folder: PathBuf,
    /// The state of the run.
    shared: Shared,
    /// The address of the running process.
    address: SharedAddress,
    /// The running process.
    child: Option<Child>,
    /// The endpoint list that the process had last.
    cached: ListSnapshot,
}

impl GatewayRunner {
    /// Creates a runner whose gateway is not started yet.
    pub(super) fn new(
        index: GatewayIndex,
        plan: &Plan,
        discovery: &Discovery,
        options: &RigOptions,
        shared: &Shared,
    ) -> io::Result<GatewayRunner> {
        let name = format!("gateway-soak-{}-{}-{index}", std::process::id(), plan.seed);
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder)?;
        Ok(GatewayRunner {
            index,
            plan: plan.clone(),
            discovery: discovery.clone(),
            options: options.clone(),
            folder,
            shared: shared.clone(),
            address: Arc::default(),
            child: None,
            cached: discovery.written_to(index),
        })
    }

    /// Returns where the address of the running process is stored.
    pub(super) fn address(&self) -> SharedAddress {
        Arc::clone(&self.address)
    }

    /// Takes all steps of the process, and removes its files.
    pub(super) fn run(mut self) -> Result<(), RigError> {
        let mut result = Ok(());
        for (at, step) in self.steps() {
            self.wait_until(at);
            result = result.and_then(|()| self.take_step(step));
        }
        if let Some(mut child) = self.child.take() {
            child.kill()?;
            child.wait()?;
        }
        fs::remove_dir_all(&self.folder)?;
        Ok(result?)
    }

    /// Returns how long after SIGTERM the kill comes.
    fn kill_after(&self) -> Duration {
        let longest = Duration::from_millis(self.plan.longest_timeout_ms);
        longest.min(MAX_COUNTED_DEADLINE) + KILL_DELAY
    }

    /// Returns the steps of the process in the order of their time. The last ones end the run: the
    /// process is shut down while its clients go on.
    fn steps(&self) -> Vec<(Duration, ProcessStep)> {
        let mut steps = vec![(Duration::ZERO, ProcessStep::Start)];
        for step in &self.plan.steps {
            steps.extend(self.steps_of(step.action, step.at));
        }
        steps.retain(|(at, _)| *at < RUN_TIME);
        steps.push((RUN_TIME, ProcessStep::Terminate));
        steps.push((RUN_TIME + self.kill_after(), ProcessStep::Kill));
        steps.sort_by_key(|(at, _)| *at);
        steps
    }

    /// Returns the steps that follow from an action.
    fn steps_of(&self, action: Action, at: Duration) -> Vec<(Duration, ProcessStep)> {
        match action {
            Action::ShutDown { gateway } if gateway == self.index => {
                let killed_at = at + self.kill_after();
                vec![
                    (at, ProcessStep::Terminate),
                    (killed_at, ProcessStep::Kill),
                    (killed_at + RESTART_DELAY, ProcessStep::Start),
                ]
            }
            Action::Kill { gateway, down_ms } if gateway == self.index => {
                let started_at = at + Duration::from_millis(down_ms);
                vec![(at, ProcessStep::Kill), (started_at, ProcessStep::Start)]
            }
            Action::Reload { gateway } if gateway == self.index => {
                vec![(at, ProcessStep::Reload)]
            }
            Action::Hold { gateway, hold_ms } if gateway == self.index => {
                let continued_at = at + Duration::from_millis(hold_ms);
                vec![
                    (at, ProcessStep::Stop),
                    (continued_at, ProcessStep::Continue),
                ]
            }
            _ => Vec::new(),
        }
    }

    /// Takes a step. Signals to a process that does not run are left out.
    fn take_step(&mut self, step: ProcessStep) -> io::Result<()> {
        match step {
            ProcessStep::Start => self.start()?,
            ProcessStep::Terminate => {
                if self.signal(Signal::TERM) {
                    self.record(Event::ShutdownRequested);
                }
            }
            ProcessStep::Kill => self.kill()?,
            ProcessStep::Reload => _ = self.signal(Signal::HUP),
            ProcessStep::Stop => _ = self.signal(Signal::STOP),
            ProcessStep::Continue => _ = self.signal(Signal::CONT),
        }
        Ok(())
    }

    /// Records an event of the gateway that occurs now.
    fn record(&self, event: Event) {
        self.shared.recorder.add(self.index, event);
    }

    /// Sends a signal; returns whether the process runs.
    fn signal(&self, signal: Signal) -> bool {
        let Some(child) = &self.child else {
            return false;
        };
        kill_process(Pid::from_child(child), signal).is_ok()
    }

    /// Starts the process, unless it runs.
    fn start(&mut self) -> io::Result<()> {
        if self.child.is_some() {
            return Ok(());
        }
        let config = GatewayConfig {
            index: self.index,
            fleet_size: self.plan.fleet_size,
            shards: NODE_COUNT,
            longest_timeout_ms: self.plan.longest_timeout_ms,
            discovery: self.discovery.address(self.index),
            cached_version: self.cached.version,
            cached_entries: &self.cached.entries,
        };
        let path = self.folder.join("config.json");
        fs::write(&path, config.encode())?;
        let spawn_began_at = self.shared.recorder.now();
        let mut child = Command::new(&self.options.program)
            .env("ROUTER_CONFIG", path)
            .env("STORAGE_GATEWAY_LOG", "debug")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()?;
        self.record(Event::Started { spawn_began_at });
        if let Some(stderr) = child.stderr.take() {
            self.read_log(stderr)?;
        }
        self.child = Some(child);
        Ok(())
    }

    /// Starts a thread that reads the log: it stores the address of the listener, and copies the
    /// lines to a file if a folder for logs is given.
    fn read_log(&self, stderr: ChildStderr) -> io::Result<()> {
        let mut file = self.open_log()?;
        let address = Arc::clone(&self.address);
        thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                if let Some((_, text)) = line.split_once(LISTENING) {
                    let parsed = text.parse().ok();
                    *address.lock().unwrap_or_else(PoisonError::into_inner) =
                        parsed.map(|address| GatewayAddress {
                            address,
                            is_ready: false,
                        });
                }
                if let Some(file) = &mut file {
                    // The log is for a reader only; the run goes on without it.
                    let _ = writeln!(file, "{line}");
                }
            }
        });
        Ok(())
    }

    /// Opens the file for the log, if a folder is given.
    fn open_log(&self) -> io::Result<Option<File>> {
        let Some(folder) = &self.options.logs else {
            return Ok(None);
        };
        fs::create_dir_all(folder)?;
        let path = folder.join(format!("seed-{}-n{}.log", self.plan.seed, self.index));
        let file = File::options().create(true).append(true).open(path)?;
        Ok(Some(file))
    }

    /// Kills the process, if it runs.
    fn kill(&mut self) -> io::Result<()> {
        let Some(mut child) = self.child.take() else {
            return Ok(());
        };
        self.cached = self.discovery.written_to(self.index);
        self.clear_address();
        self.record(Event::Killed);
        child.kill()?;
        child.wait()?;
        Ok(())
    }

    /// Records that no process accepts clients.
    fn clear_address(&self) {
        *self.address.lock().unwrap_or_else(PoisonError::into_inner) = None;
    }

    /// Waits until a time of the run. Records the exit of the process if it exits meanwhile.
    fn wait_until(&mut self, at: Duration) {
        loop {
            self.check_exit();
            let left = at.saturating_sub(self.shared.recorder.now());
            if left.is_zero() {
                return;
            }
            thread::sleep(left.min(EXIT_CHECK_INTERVAL));
        }
    }

    /// Records the exit of the process if it has exited by itself.
    fn check_exit(&mut self) {
        let Some(child) = &mut self.child else {
            return;
        };
        if let Ok(Some(status)) = child.try_wait() {
            self.child = None;
            self.cached = self.discovery.written_to(self.index);
            self.clear_address();
            let success = status.success();
            self.record(Event::Exited { success });
        }
    }
}
