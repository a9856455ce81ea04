//! Changes of the cluster during a run: nodes that drain, leave, restart, are replaced, move or
//! fall ill, and their return to normal.

use crate::cluster::{Condition, NodeModel, Nodes};
use crate::plain::{Line, Status, Time, MILLISECOND, SECOND};
use crate::random::Random;

/// What may happen to the nodes.
#[derive(Clone)]
pub struct Churn {
    /// Mean time between two changes of membership; 0 for none.
    pub membership_gap: Time,
    /// Mean time between two changes of a node's condition; 0 for none.
    pub condition_gap: Time,
    /// Conditions that nodes fall into.
    pub conditions: &'static [Condition],
    /// Chance in a thousand that a change of condition hits all nodes.
    pub all_at_once: u64,
}

/// A change that follows on an earlier one.
#[derive(Clone, Copy)]
pub enum Repair {
    /// A drained node is removed.
    Remove(u64),
    /// A node is listed anew, with the id of an earlier one or with a new one.
    Join(NodeModel),
    /// A node becomes healthy again.
    Heal(u64),
}

/// The effect of a change: entries that differ now, and changes that follow.
#[derive(Default)]
pub struct Effect {
    /// Entries of the endpoint list that changed.
    pub lines: Vec<Line>,
    /// Later changes with the time until them.
    pub repairs: Vec<(Time, Repair)>,
}

impl Effect {
    /// One entry changed.
    fn of(line: Line) -> Self {
        Effect {
            lines: vec![line],
            repairs: Vec::new(),
        }
    }
}

/// The ids of the nodes in service.
fn in_service(nodes: &Nodes) -> Vec<u64> {
    let in_service = |node: &&NodeModel| node.line.status == Status::InService;
    nodes
        .values()
        .filter(in_service)
        .map(|node| node.line.node)
        .collect()
}

/// The id that the next new node gets.
fn next_id(nodes: &Nodes) -> u64 {
    nodes.keys().next_back().map_or(0, |id| id + 1)
}

/// Applies a random change of membership.
pub fn change_membership(nodes: &mut Nodes, now: Time, random: &mut Random) -> Effect {
    let candidates = in_service(nodes);
    if candidates.is_empty() {
        return Effect::default();
    }
    let id = random.pick(&candidates);
    let new_id = next_id(nodes);
    let Line { zone, shard, .. } = nodes[&id].line;
    // Clocks differ: a start may seem to lie in the future.
    let skew = random.pick(&[0, 0, -400 * MILLISECOND, 100 * MILLISECOND]);
    let started_at = random.chance(700).then_some(now + skew);
    let successor = NodeModel::new(new_id, zone, shard, started_at);
    let pause = random.between(20 * MILLISECOND, 3 * SECOND);
    match random.below(9) {
        0 | 1 => drain(nodes, id, successor, pause, random.chance(500)),
        2 => leave(nodes, id, successor, pause),
        3 => leave(nodes, id, successor, 0),
        4 => Effect::of(join(nodes, NodeModel::new(id, zone, shard, Some(now)))),
        5 => {
            let started_at = nodes[&id].line.started_at;
            Effect::of(join(nodes, NodeModel::new(id, zone + 1, shard, started_at)))
        }
        6 => overlap(nodes, successor, random.pick(&[id, new_id]), pause),
        7 => leave(
            nodes,
            id,
            NodeModel::new(id, zone, shard, started_at),
            pause,
        ),
        _ => Effect::of(join(nodes, NodeModel::new(id, zone, shard, None))),
    }
}

/// A node drains; its successor joins at once if `early`, else after the node is gone.
fn drain(nodes: &mut Nodes, id: u64, successor: NodeModel, pause: Time, early: bool) -> Effect {
    let mut effect = Effect::of(set_status(nodes, id, Status::Draining));
    effect.repairs.push((pause, Repair::Remove(id)));
    if early {
        effect.lines.push(join(nodes, successor));
    } else {
        effect
            .repairs
            .push((pause + 200 * MILLISECOND, Repair::Join(successor)));
    }
    effect
}

/// A node is removed; its successor joins after a pause.
fn leave(nodes: &mut Nodes, id: u64, successor: NodeModel, pause: Time) -> Effect {
    let mut effect = Effect::of(set_status(nodes, id, Status::Removed));
    if pause > 0 {
        effect.repairs.push((pause, Repair::Join(successor)));
    } else {
        effect.lines.push(join(nodes, successor));
    }
    effect
}

/// A second node joins a shard; one of the two is removed after a pause.
fn overlap(nodes: &mut Nodes, successor: NodeModel, leaving: u64, pause: Time) -> Effect {
    let mut effect = Effect::of(join(nodes, successor));
    effect.repairs.push((pause, Repair::Remove(leaving)));
    effect
}

/// Lets nodes fall into a condition for a while.
pub fn change_condition(nodes: &mut Nodes, churn: &Churn, random: &mut Random) -> Effect {
    let mut ids = in_service(nodes);
    let all = random.chance(churn.all_at_once);
    let mut effect = Effect::default();
    if ids.is_empty() {
        return effect;
    }
    if !all {
        ids = vec![random.pick(&ids)];
    }
    let condition = random.pick(churn.conditions);
    let duration = random.between(100 * MILLISECOND, 5 * SECOND);
    for id in ids {
        if let Some(node) = nodes.get_mut(&id) {
            node.condition = condition;
        }
        effect.repairs.push((duration, Repair::Heal(id)));
    }
    effect
}

/// Applies a change that follows on an earlier one.
pub fn repair(nodes: &mut Nodes, repair: Repair, now: Time) -> Effect {
    let mut effect = Effect::default();
    match repair {
        Repair::Remove(id) => effect.lines.push(set_status(nodes, id, Status::Removed)),
        Repair::Join(mut node) => {
            // Another node may have taken the id meanwhile.
            let known = nodes.get(&node.line.node);
            if known.is_some_and(|known| known.line.status != Status::Removed) {
                node.line.node = next_id(nodes);
            }
            node.line.started_at = node.line.started_at.map(|_| now);
            effect.lines.push(join(nodes, node));
        }
        Repair::Heal(id) => {
            if let Some(node) = nodes.get_mut(&id) {
                node.condition = Condition::Healthy;
            }
        }
    }
    effect
}

/// Sets the state of a node and returns its entry.
fn set_status(nodes: &mut Nodes, id: u64, status: Status) -> Line {
    let node = nodes.get_mut(&id).expect("nodes stay in the model");
    node.line.status = status;
    node.line
}

/// Lists a node, which keeps the attempts it may already have, and returns its entry.
fn join(nodes: &mut Nodes, node: NodeModel) -> Line {
    let load = nodes.get(&node.line.node).map_or(0, |known| known.load);
    let line = node.line;
    nodes.insert(line.node, NodeModel { load, ..node });
    line
}
