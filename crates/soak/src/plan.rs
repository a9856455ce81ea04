//! The plan of a run: which faults occur when. The same seed and scenario give the same plan.

use crate::record::GatewayIndex;
use clap::ValueEnum;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;
use std::collections::BTreeSet;
use std::time::Duration;

/// How long clients send requests in a run.
pub const RUN_TIME: Duration = Duration::from_secs(12);
/// No fault begins earlier than this.
const FIRST_FAULT: Duration = Duration::from_millis(1_500);
/// Storage nodes of a run.
pub const NODE_COUNT: usize = 4;
/// Number of gateways of a large deployment.
const LARGE_FLEET: usize = 100;
/// How long before SIGTERM nodes begin to hang, and how long they do.
const HANG_AT_SHUTDOWN: (Duration, Duration) =
    (Duration::from_millis(400), Duration::from_millis(5_000));
/// The longest hold of a process.
const MAX_HOLD_MS: u64 = 150;
/// How long a process runs at least between two holds, so that they do not add up to a longer one.
const MIN_RUN_BETWEEN_HOLDS: Duration = Duration::from_millis(20);

/// Groups of faults that can be switched on and off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, ValueEnum)]
pub enum FaultClass {
    /// Nodes hang, fail, reject or reset.
    Nodes,
    /// Nodes drain, are removed and return.
    Membership,
    /// Watches fall silent or are reset, discovery is down.
    Discovery,
    /// Gateways are shut down, killed and restarted, or get SIGHUP.
    Signals,
    /// Processes are held up for at most 150 ms.
    Holds,
    /// Clients leave early, write in pieces and send several commands at once.
    Clients,
}

/// Which faults a run concentrates on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, ValueEnum)]
pub enum Scenario {
    /// All classes of faults.
    Mixed,
    /// Gateways are shut down while nodes hang.
    Shutdown,
    /// Nodes drain while processes are held up and watches fail.
    Drain,
    /// Gateways are killed and restarted while nodes drain.
    Restart,
}

/// How a node treats requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum NodeMode {
    /// Serves requests.
    Serve,
    /// Receives requests and never responds.
    Hang,
    /// Responds with an error.
    Fail,
    /// Rejects requests without executing them.
    Reject,
    /// Resets the connection after a request was received.
    Reset,
    /// Responds with bytes that are no valid response.
    Malformed,
}

/// One step of a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Action {
    /// A node treats requests in this way from now on.
    SetNodeMode {
        /// The node.
        node: usize,
        /// How it treats requests.
        mode: NodeMode,
    },
    /// A node starts to drain.
    Drain {
        /// The node.
        node: usize,
    },
    /// A node is removed from the list.
    Remove {
        /// The node.
        node: usize,
    },
    /// A node is in service again.
    Return {
        /// The node.
        node: usize,
    },
    /// Open watches stay open, and nothing is written to them any more.
    SilenceWatches,
    /// Open watches are reset.
    ResetWatches,
    /// Discovery accepts no watch and ends the open ones.
    StopDiscovery,
    /// Discovery accepts watches again.
    StartDiscovery,
    /// SIGTERM; SIGKILL follows as early as the protocol allows, and then a restart.
    ShutDown {
        /// The gateway.
        gateway: GatewayIndex,
    },
    /// SIGKILL; a restart follows after `down_ms`.
    Kill {
        /// The gateway.
        gateway: GatewayIndex,
        /// How long the gateway is down, in milliseconds.
        down_ms: u64,
    },
    /// SIGHUP.
    Reload {
        /// The gateway.
        gateway: GatewayIndex,
    },
    /// The process is stopped and continued.
    Hold {
        /// The gateway.
        gateway: GatewayIndex,
        /// For how long, in milliseconds.
        hold_ms: u64,
    },
}

/// An action with its time since the start of the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Step {
    /// When the action is taken.
    pub at: Duration,
    /// The action.
    pub action: Action,
}

/// The plan of a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Plan {
    /// The seed.
    pub seed: u64,
    /// Number of gateways that run.
    pub gateways: usize,
    /// Number of gateways of the deployment, as its settings state it. Gateways of a large
    /// deployment spread their polls of discovery.
    pub fleet_size: usize,
    /// How long the longest deadline of the deployment is, in milliseconds.
    pub longest_timeout_ms: u64,
    /// Whether clients behave irregularly.
    pub has_irregular_clients: bool,
    /// The steps in the order of their time.
    pub steps: Vec<Step>,
}

/// Builds the steps of a plan.
struct Planner {
    /// Source of all choices.
    random: StdRng,
    /// Number of gateways.
    gateways: usize,
    /// The steps so far.
    steps: Vec<Step>,
}

/// Creates the plan of a seed.
#[must_use]
pub fn plan(seed: u64, scenario: Scenario, without: &BTreeSet<FaultClass>) -> Plan {
    let mut random = StdRng::seed_from_u64(seed);
    let gateways = random.random_range(3..=5);
    let longest_timeout_ms = [600, 1_200, 2_000, 4_000][random.random_range(0..4)];
    let fleet_size = if scenario == Scenario::Restart {
        LARGE_FLEET
    } else {
        gateways
    };
    let mut planner = Planner {
        random,
        gateways,
        steps: Vec::new(),
    };
    let classes = classes_of(scenario);
    for class in classes {
        if !without.contains(&class) {
            planner.add_class(class, scenario);
        }
    }
    planner.steps.sort_by_key(|step| step.at);
    Plan {
        seed,
        gateways,
        fleet_size,
        longest_timeout_ms,
        has_irregular_clients: !without.contains(&FaultClass::Clients),
        steps: planner.steps,
    }
}

/// Returns the classes of faults of a scenario.
fn classes_of(scenario: Scenario) -> Vec<FaultClass> {
    let all = FaultClass::value_variants();
    let is_used = |class: &FaultClass| match scenario {
        Scenario::Mixed => true,
        Scenario::Shutdown => *class != FaultClass::Discovery,
        Scenario::Drain => *class != FaultClass::Signals,
        Scenario::Restart => *class != FaultClass::Nodes,
    };
    all.iter().copied().filter(is_used).collect()
}

impl Planner {
    /// Returns a time at which a fault may begin, at least `reserve` before the end of the run.
    fn time(&mut self, reserve: Duration) -> Duration {
        let latest = RUN_TIME.saturating_sub(reserve).as_millis() as u64;
        let earliest = FIRST_FAULT.as_millis() as u64;
        Duration::from_millis(self.random.random_range(earliest..latest))
    }

    /// Returns a number of milliseconds as a duration.
    fn span(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.random.random_range(range))
    }

    /// Adds a step.
    fn add(&mut self, at: Duration, action: Action) {
        self.steps.push(Step { at, action });
    }

    /// Adds the faults of a class.
    fn add_class(&mut self, class: FaultClass, scenario: Scenario) {
        match class {
            FaultClass::Nodes => self.add_node_faults(),
            FaultClass::Membership => self.add_drains(scenario),
            FaultClass::Discovery => self.add_discovery_faults(),
            FaultClass::Signals => self.add_signals(scenario),
            FaultClass::Holds => self.add_holds(),
            FaultClass::Clients => {}
        }
    }

    /// Nodes treat requests differently for a while.
    fn add_node_faults(&mut self) {
        for _ in 0..4 {
            let node = self.random.random_range(0..NODE_COUNT);
            let mode = match self.random.random_range(0..8) {
                0 => NodeMode::Fail,
                1 => NodeMode::Reject,
                2 => NodeMode::Reset,
                3 => NodeMode::Malformed,
                _ => NodeMode::Hang,
            };
            let at = self.time(Duration::from_millis(1_000));
            let duration = self.span(500..4_000);
            self.add(at, Action::SetNodeMode { node, mode });
            let mode = NodeMode::Serve;
            self.add(at + duration, Action::SetNodeMode { node, mode });
        }
    }

    /// Nodes drain, most are removed, and some return.
    fn add_drains(&mut self, scenario: Scenario) {
        let drains = match scenario {
            Scenario::Drain => 6,
            Scenario::Mixed | Scenario::Shutdown => 3,
            Scenario::Restart => 0,
        };
        for _ in 0..drains {
            let node = self.random.random_range(0..NODE_COUNT);
            let at = self.time(Duration::from_millis(3_000));
            self.add(at, Action::Drain { node });
            let removed_at = at + self.span(100..1_500);
            if self.random.random_bool(0.7) {
                self.add(removed_at, Action::Remove { node });
            }
            let returned_at = removed_at + self.span(100..1_500);
            self.add(returned_at, Action::Return { node });
        }
    }

    /// Watches fall silent or are reset, and discovery is down once.
    fn add_discovery_faults(&mut self) {
        let reset_at = self.time(Duration::from_millis(1_000));
        self.add(reset_at, Action::ResetWatches);
        if self.random.random_bool(0.5) {
            let silent_at = self.time(Duration::from_millis(4_000));
            self.add(silent_at, Action::SilenceWatches);
        }
        if self.random.random_bool(0.5) {
            let down_at = self.time(Duration::from_millis(4_000));
            let up_at = down_at + self.span(500..3_000);
            self.add(down_at, Action::StopDiscovery);
            self.add(up_at, Action::StartDiscovery);
        }
    }

    /// Two nodes hang from shortly before a shutdown until after the kill.
    fn add_hangs_at_shutdown(&mut self, at: Duration) {
        let (lead, duration) = HANG_AT_SHUTDOWN;
        let began_at = at.saturating_sub(lead);
        for _ in 0..2 {
            let node = self.random.random_range(0..NODE_COUNT);
            let mode = NodeMode::Hang;
            self.add(began_at, Action::SetNodeMode { node, mode });
            let mode = NodeMode::Serve;
            self.add(began_at + duration, Action::SetNodeMode { node, mode });
        }
    }

    /// A gateway is killed, and nodes begin to drain while it is down. It starts again when the
    /// drains are nearly as old as the longest delay of a notification.
    fn add_kill_before_drains(&mut self, gateway: GatewayIndex) {
        let at = FIRST_FAULT + self.span(0..1_500);
        let down_ms = self.random.random_range(3_500..5_000);
        self.add(at, Action::Kill { gateway, down_ms });
        let node = self.random.random_range(0..NODE_COUNT);
        let drained_at = at + self.span(50..300);
        self.add(drained_at, Action::Drain { node });
    }

    /// Gateways get signals. Each gateway is shut down or killed at most once.
    fn add_signals(&mut self, scenario: Scenario) {
        for gateway in 0..self.gateways {
            if scenario == Scenario::Restart {
                self.add_kill_before_drains(gateway);
                continue;
            }
            let at = self.time(Duration::from_millis(5_500));
            if scenario == Scenario::Shutdown || self.random.random_bool(0.5) {
                if scenario == Scenario::Shutdown {
                    self.add_hangs_at_shutdown(at);
                }
                self.add(at, Action::ShutDown { gateway });
                if self.random.random_bool(0.3) {
                    let again_at = at + self.span(10..700);
                    self.add(again_at, Action::Reload { gateway });
                }
            } else {
                let down_ms = self.random.random_range(200..5_000);
                self.add(at, Action::Kill { gateway, down_ms });
            }
        }
        let gateway = self.random.random_range(0..self.gateways);
        let at = self.time(Duration::from_millis(1_000));
        self.add(at, Action::Reload { gateway });
        if self.random.random_bool(0.5) {
            self.add_hangs_at_shutdown(RUN_TIME);
        }
    }

    /// Processes are held up. A hold that would begin right behind another one is left out.
    fn add_holds(&mut self) {
        for gateway in 0..self.gateways {
            let mut holds: Vec<(Duration, u64)> = (0..12)
                .map(|_| {
                    let at = self.time(Duration::from_millis(500));
                    (at, self.random.random_range(20..=MAX_HOLD_MS - 10))
                })
                .collect();
            holds.sort_unstable();
            let mut held_until = Duration::ZERO;
            for (at, hold_ms) in holds {
                if at >= held_until && at < held_until + MIN_RUN_BETWEEN_HOLDS {
                    continue;
                }
                self.add(at, Action::Hold { gateway, hold_ms });
                // The process runs again at the end of the first of two holds that overlap.
                let end = at + Duration::from_millis(hold_ms);
                held_until = if at < held_until { held_until } else { end };
            }
        }
    }
}
