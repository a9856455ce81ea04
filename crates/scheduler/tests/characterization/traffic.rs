//! The model of the clients: what they send, and with which oddities.

use crate::plain::{Arrival, Time, MILLISECOND, SECOND};
use crate::random::Random;

/// A class index that no deployment has.
const UNKNOWN_CLASS: usize = 99;
/// A plan index that no deployment has.
const UNKNOWN_PLAN: usize = 98;
/// A shard that no node holds.
const UNKNOWN_SHARD: u64 = 777;

/// What clients send; chances are in a thousand.
#[derive(Clone)]
pub struct Traffic {
    /// Requests that clients send first, without those that they send again.
    pub requests: u64,
    /// Mean time between two bursts.
    pub mean_gap: Time,
    /// Largest number of requests sent at once.
    pub burst: u64,
    /// Volumes, numbered from 0.
    pub volumes: u64,
    /// Hosts that receive a volume's requests: one of these.
    pub hosts: &'static [f64],
    /// Keys, numbered from 0.
    pub keys: u64,
    /// Requests that name a key.
    pub with_object_key: u64,
    /// Requests for new objects.
    pub new_objects: u64,
    /// Sizes, one of these.
    pub units: &'static [f64],
    /// Shortest time to the deadline.
    pub min_client_timeout: Time,
    /// Longest time to the deadline.
    pub max_client_timeout: Time,
    /// Requests with an invalid index, an unknown shard, or odd sizes or deadlines.
    pub odd: u64,
    /// Requests whose plan or number of hosts differs from the volume's last one.
    pub plan_changes: u64,
    /// Requests that are sent again after a rejection, a failure or a disconnection.
    pub sent_again: u64,
    /// Requests whose client disconnects early.
    pub disconnects: u64,
    /// Served attempts whose response starts before they complete.
    pub early_responses: u64,
    /// Unserved attempts that close their request.
    pub closing_ends: u64,
    /// Time without requests after each third of them.
    pub pause: Time,
}

impl Traffic {
    /// A new request of a client.
    pub fn arrival(
        &self,
        id: u64,
        now: Time,
        plans: usize,
        classes: usize,
        shards: u64,
        random: &mut Random,
    ) -> Arrival {
        // Lower volumes send more.
        let volume = random.below(self.volumes).min(random.below(self.volumes));
        let change = random.chance(self.plan_changes);
        let plan = if change {
            random.below(plans as u64)
        } else {
            volume % plans as u64
        };
        let hosts = if change {
            random.pick(self.hosts)
        } else {
            self.usual_hosts(volume)
        };
        let is_new = random.chance(self.new_objects);
        let has_object_key = random.chance(self.with_object_key);
        let key = random.below(self.keys);
        let shard = if has_object_key {
            key % shards
        } else {
            random.below(shards)
        };
        let arrival = Arrival {
            id,
            volume,
            plan: plan as usize,
            class: random.below(classes as u64) as usize,
            key: has_object_key.then_some(key),
            shard: (!is_new).then_some(shard),
            units: random.pick(self.units),
            hosts,
            deadline: now + random.between(self.min_client_timeout, self.max_client_timeout),
        };
        if random.chance(self.odd) {
            return odd(arrival, now, random);
        }
        arrival
    }

    /// The number of hosts that a volume names unless it changes.
    fn usual_hosts(&self, volume: u64) -> f64 {
        self.hosts[volume as usize % self.hosts.len()]
    }
}

/// A request with one oddity.
fn odd(arrival: Arrival, now: Time, random: &mut Random) -> Arrival {
    match random.below(10) {
        0 => Arrival {
            class: UNKNOWN_CLASS,
            ..arrival
        },
        1 => Arrival {
            plan: UNKNOWN_PLAN,
            ..arrival
        },
        2 => Arrival {
            shard: Some(UNKNOWN_SHARD),
            ..arrival
        },
        3 => Arrival {
            units: 0.0,
            ..arrival
        },
        4 => Arrival {
            units: -1.5,
            ..arrival
        },
        5 => Arrival {
            units: 400.0,
            ..arrival
        },
        6 => Arrival {
            deadline: now - 5 * MILLISECOND,
            ..arrival
        },
        7 => Arrival {
            deadline: now + 900,
            ..arrival
        },
        8 => Arrival {
            deadline: now,
            ..arrival
        },
        _ => Arrival {
            deadline: now + 150 * SECOND,
            ..arrival
        },
    }
}
