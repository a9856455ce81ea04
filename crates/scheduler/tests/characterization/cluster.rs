//! The model of the storage nodes: their endpoint lines and conditions, and the fate of attempts.

use crate::plain::{Ending, Line, Status, Time, MILLISECOND};
use crate::random::Random;
use std::collections::BTreeMap;

/// Nodes at the start of a run and the fates of their attempts; chances are in a thousand.
#[derive(Clone)]
pub struct Cluster {
    /// Shards, each with one node at the start.
    pub shards: u64,
    /// Zones over which the nodes are spread.
    pub zones: u64,
    /// Latency of a request of mean size at an idle node.
    pub latency: Time,
    /// Attempts that a node takes at once; it responds to others that it is overloaded.
    pub capacity: usize,
    /// Attempts whose response is lost.
    pub lost: u64,
    /// Attempts that end with a lost connection.
    pub reset: u64,
    /// Attempts that get no connection.
    pub connect_failed: u64,
    /// Attempts that end with an error.
    pub error: u64,
    /// Attempts that are cancelled on their own.
    pub cancelled: u64,
    /// Attempts that are not sent.
    pub not_dispatched: u64,
    /// Whether the start times of the nodes are known at the start of the run.
    pub known_starts: bool,
}

/// How a node fares at present.
#[derive(Clone, Copy, PartialEq)]
pub enum Condition {
    /// As it should.
    Healthy,
    /// It responds this many times slower.
    Slow(Time),
    /// It loses all attempts.
    Silent,
    /// It accepts no connection.
    Unreachable,
    /// It loses connections.
    Resetting,
    /// It responds with errors only.
    Failing,
    /// It loses every second attempt and serves the others.
    Lossy,
    /// It has no capacity.
    Full,
}

/// One node.
#[derive(Clone, Copy)]
pub struct NodeModel {
    /// Its endpoint line.
    pub line: Line,
    /// How it fares.
    pub condition: Condition,
    /// Attempts in its queue or service.
    pub load: usize,
}

/// The nodes by id.
pub type Nodes = BTreeMap<u64, NodeModel>;

/// When and how an attempt ends.
pub struct Fate {
    /// Time from the dispatch to the end.
    pub after: Time,
    /// How it ends.
    pub ending: Ending,
}

impl Fate {
    fn new(after: Time, ending: Ending) -> Self {
        Fate { after, ending }
    }
}

impl Cluster {
    /// The nodes at the start of a run: one for each shard.
    pub fn nodes(&self, now: Time) -> Nodes {
        let mut nodes = Nodes::new();
        for id in 0..self.shards {
            let started_at = self
                .known_starts
                .then(|| now - 700 * MILLISECOND * id as Time);
            nodes.insert(id, NodeModel::new(id, id % self.zones, id, started_at));
        }
        nodes
    }

    /// The fate of an attempt that is dispatched to a node now.
    pub fn fate(
        &self,
        node: Option<&NodeModel>,
        relative_size: f64,
        time_left: Time,
        random: &mut Random,
    ) -> Fate {
        let Some(node) = node else {
            return Fate::new(300, Ending::ConnectFailed);
        };
        let latency = self.latency_at(node, relative_size, random);
        let is_lucky = random.chance(500);
        let rare_fate = self.rare_fate(latency, time_left, random);
        let usual_fate = if node.load >= self.capacity {
            Fate::new(MILLISECOND, Ending::Overloaded)
        } else if latency > time_left {
            Fate::new(time_left, Ending::TimedOut)
        } else {
            Fate::new(latency, Ending::Served)
        };
        match node.condition {
            Condition::Silent => Fate::new(time_left, Ending::TimedOut),
            Condition::Unreachable => Fate::new(400, Ending::ConnectFailed),
            Condition::Resetting => Fate::new(2 * MILLISECOND, Ending::Reset),
            Condition::Failing => Fate::new(3 * MILLISECOND, Ending::Error),
            Condition::Full => Fate::new(MILLISECOND, Ending::Overloaded),
            Condition::Lossy if !is_lucky => Fate::new(time_left, Ending::TimedOut),
            _ => rare_fate.unwrap_or(usual_fate),
        }
    }

    /// One of the rare fates, by their chances.
    fn rare_fate(&self, latency: Time, time_left: Time, random: &mut Random) -> Option<Fate> {
        let draw = random.below(1000);
        let mut bound = 0;
        let fates = [
            (self.lost, Fate::new(time_left, Ending::TimedOut)),
            (self.reset, Fate::new(latency / 2, Ending::Reset)),
            (self.connect_failed, Fate::new(300, Ending::ConnectFailed)),
            (self.error, Fate::new(latency, Ending::Error)),
            (self.cancelled, Fate::new(latency / 3, Ending::Cancelled)),
            (self.not_dispatched, Fate::new(0, Ending::NotDispatched)),
        ];
        for (chance, fate) in fates {
            bound += chance;
            if draw < bound {
                return Some(fate);
            }
        }
        None
    }

    /// Latency at a node: it grows with its queue, with the size, and varies.
    fn latency_at(&self, node: &NodeModel, relative_size: f64, random: &mut Random) -> Time {
        let slowness = if let Condition::Slow(factor) = node.condition {
            factor
        } else {
            1
        };
        let queued = 1 + node.load as Time / 2;
        let mean = self.latency * slowness * queued;
        let sized = (mean as f64 * (0.5 + 0.5 * relative_size.clamp(0.0, 20.0))) as Time;
        random.between(sized * 7 / 10, sized * 13 / 10 + 2)
    }
}

impl NodeModel {
    /// A healthy node in service.
    pub fn new(node: u64, zone: u64, shard: u64, started_at: Option<Time>) -> Self {
        NodeModel {
            line: Line {
                node,
                zone,
                shard,
                status: Status::InService,
                started_at,
            },
            condition: Condition::Healthy,
            load: 0,
        }
    }
}
