//! Runs a plan: gateway processes over loopback, with clients, storage nodes and discovery.

mod client;
mod config;
mod discovery;
mod gateway;
mod resp;
mod storage_node;
mod wire;

pub use gateway::RigError;

use crate::judge::Bounds;
use crate::plan::{Action, Plan, Step, NODE_COUNT, RUN_TIME};
use crate::record::{NodeStatus, Record, Recorder};
use config::DRAIN_GRACE;
use discovery::Discovery;
use gateway::GatewayRunner;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use storage_node::StorageNode;

/// Clients of each gateway.
const CLIENTS_PER_GATEWAY: usize = 6;
/// How often the rig measures how late its own threads run.
const LATENESS_INTERVAL: Duration = Duration::from_millis(5);

/// What a run needs besides its plan.
#[derive(Clone, Debug)]
pub struct RigOptions {
    /// The gateway program.
    pub program: PathBuf,
    /// The folder for logs; `None` for no logs.
    pub logs: Option<PathBuf>,
}

/// The result of a run.
#[derive(Clone, Debug)]
pub struct RunResult {
    /// The records in the order of time.
    pub records: Vec<Record>,
    /// The bounds of the deployment.
    pub bounds: Bounds,
    /// How late a thread of the rig ran at the most. Times in the records may be late by this.
    pub lateness: Duration,
}

/// What the threads of a run share.
#[derive(Clone)]
struct Shared {
    /// The records.
    recorder: Recorder,
    /// Set when the run ends.
    is_over: Arc<AtomicBool>,
}

impl Shared {
    /// Returns whether the run has ended.
    fn is_over(&self) -> bool {
        self.is_over.load(Ordering::Relaxed)
    }

    /// Waits until a time of the run.
    fn wait_until(&self, at: Duration) {
        thread::sleep(at.saturating_sub(self.recorder.now()));
    }
}

/// Runs a plan to its end.
///
/// # Errors
///
/// Returns an error if a socket or a file of the rig cannot be created.
pub fn run(plan: &Plan, options: &RigOptions) -> Result<RunResult, RigError> {
    let shared = Shared {
        recorder: Recorder::default(),
        is_over: Arc::default(),
    };
    let lateness = {
        let shared = shared.clone();
        thread::spawn(move || measure_lateness(&shared))
    };
    let nodes = (0..NODE_COUNT)
        .map(|index| StorageNode::start(index, plan.seed, &shared))
        .collect::<Result<Vec<_>, _>>()?;
    let discovery = Discovery::start(plan.gateways, &nodes, &shared)?;
    let mut runners = Vec::new();
    let mut clients = Vec::new();
    for index in 0..plan.gateways {
        let runner = GatewayRunner::new(index, plan, &discovery, options, &shared)?;
        for client in 0..CLIENTS_PER_GATEWAY {
            clients.push(client::start(
                client,
                index,
                plan,
                runner.address(),
                &shared,
            ));
        }
        runners.push(thread::spawn(move || runner.run()));
    }
    take_steps(plan, &nodes, &discovery, &shared);
    for runner in runners {
        runner.join().map_err(|_| RigError::ThreadPanicked)??;
    }
    shared.is_over.store(true, Ordering::Relaxed);
    for client in clients {
        client.join().map_err(|_| RigError::ThreadPanicked)?;
    }
    let lateness = lateness.join().map_err(|_| RigError::ThreadPanicked)?;
    Ok(RunResult {
        records: shared.recorder.take(),
        bounds: Bounds {
            drain_grace: DRAIN_GRACE,
        },
        lateness,
    })
}

/// Takes the steps that concern nodes and discovery. Those of gateways are taken by their runners.
fn take_steps(plan: &Plan, nodes: &[StorageNode], discovery: &Discovery, shared: &Shared) {
    for Step { at, action } in &plan.steps {
        shared.wait_until((*at).min(RUN_TIME));
        match *action {
            Action::SetNodeMode { node, mode } => nodes[node].set_mode(mode),
            Action::Drain { node } => discovery.set_status(node, NodeStatus::Draining),
            Action::Remove { node } => discovery.set_status(node, NodeStatus::Removed),
            Action::Return { node } => discovery.set_status(node, NodeStatus::InService),
            Action::SilenceWatches => discovery.silence_watches(),
            Action::ResetWatches => discovery.close_watches(),
            Action::StopDiscovery => discovery.set_down(true),
            Action::StartDiscovery => discovery.set_down(false),
            Action::ShutDown { .. }
            | Action::Kill { .. }
            | Action::Reload { .. }
            | Action::Hold { .. } => {}
        }
    }
}

/// Measures how late a thread runs after a short wait, until the run ends.
fn measure_lateness(shared: &Shared) -> Duration {
    let mut longest = Duration::ZERO;
    while !shared.is_over() {
        let started = Instant::now();
        thread::sleep(LATENESS_INTERVAL);
        longest = longest.max(started.elapsed().saturating_sub(LATENESS_INTERVAL));
    }
    longest
}
