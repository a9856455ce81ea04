//! Model of the clients: the requests that they send, some of them with invalid or extreme values.

use crate::rng::Rng;
use crate::types::{ClientRequest, Micros, MILLISECOND, SECOND};

/// Class index that no deployment has.
const UNKNOWN_CLASS: usize = 99;
/// Plan index that no deployment has.
const UNKNOWN_PLAN: usize = 98;
/// Shard that no node holds.
const UNKNOWN_SHARD: u64 = 777;

/// Requests that clients send. Fields that end in `per_mille` are fractions, stated as a number per
/// thousand.
#[derive(Clone)]
pub struct Traffic {
    /// Number of requests, without the retries by clients.
    pub request_count: u64,
    /// Mean time between two bursts of requests.
    pub mean_burst_interval: Micros,
    /// Maximum number of requests in a burst.
    pub max_burst: u64,
    /// Number of volumes; their ids start at 0.
    pub volume_count: u64,
    /// Numbers of hosts that receive a volume's requests, assigned to the volumes in turn.
    pub host_counts: &'static [f64],
    /// Number of object keys; they start at 0.
    pub key_count: u64,
    /// Fraction of requests that name an object key.
    pub with_key_per_mille: u64,
    /// Fraction of requests that name no shard, as requests for new objects do.
    pub without_shard_per_mille: u64,
    /// Sizes of requests in units; each is equally likely.
    pub unit_sizes: &'static [f64],
    /// Minimum time from a request to its deadline.
    pub min_client_timeout: Micros,
    /// Maximum time from a request to its deadline.
    pub max_client_timeout: Micros,
    /// Fraction of requests with an invalid index, an unknown shard, or an extreme size or
    /// deadline.
    pub invalid_or_extreme_per_mille: u64,
    /// Fraction of requests with a randomly chosen plan and number of hosts instead of the
    /// volume's.
    pub plan_changes_per_mille: u64,
    /// Fraction of requests that the client retries after a rejection, a failure or a disconnect.
    pub client_retries_per_mille: u64,
    /// Fraction of requests whose client disconnects before the deadline.
    pub disconnects_per_mille: u64,
    /// Fraction of served or reset attempts whose response starts before the attempt ends.
    pub response_before_end_per_mille: u64,
    /// Fraction of the unserved attempts after which the request is closed, so that its client no
    /// longer waits.
    pub closed_after_failure_per_mille: u64,
    /// Time without requests after each third of the requests.
    pub pause: Micros,
}

impl Traffic {
    /// Creates a random request of a client.
    pub fn new_request(
        &self,
        id: u64,
        now: Micros,
        plan_count: usize,
        class_count: usize,
        shard_count: u64,
        rng: &mut Rng,
    ) -> ClientRequest {
        // Volumes with lower ids send more requests.
        let volume = rng
            .below(self.volume_count)
            .min(rng.below(self.volume_count));
        let changes_plan = rng.chance_per_mille(self.plan_changes_per_mille);
        let plan = if changes_plan {
            rng.below(plan_count as u64)
        } else {
            volume % plan_count as u64
        };
        let host_count = if changes_plan {
            rng.choose(self.host_counts)
        } else {
            self.default_host_count(volume)
        };
        let lacks_shard = rng.chance_per_mille(self.without_shard_per_mille);
        let has_object_key = rng.chance_per_mille(self.with_key_per_mille);
        let key = rng.below(self.key_count);
        let shard = if has_object_key {
            key % shard_count
        } else {
            rng.below(shard_count)
        };
        let request = ClientRequest {
            id,
            volume,
            plan: plan as usize,
            class: rng.below(class_count as u64) as usize,
            key: has_object_key.then_some(key),
            shard: (!lacks_shard).then_some(shard),
            units: rng.choose(self.unit_sizes),
            host_count,
            deadline: now + rng.in_range(self.min_client_timeout, self.max_client_timeout),
        };
        if rng.chance_per_mille(self.invalid_or_extreme_per_mille) {
            return with_invalid_or_extreme_value(request, now, rng);
        }
        request
    }

    /// Returns the number of hosts that receive a volume's requests by default.
    fn default_host_count(&self, volume: u64) -> f64 {
        self.host_counts[volume as usize % self.host_counts.len()]
    }
}

/// Replaces one value of the request by an invalid or extreme one.
fn with_invalid_or_extreme_value(
    request: ClientRequest,
    now: Micros,
    rng: &mut Rng,
) -> ClientRequest {
    match rng.below(10) {
        0 => ClientRequest {
            class: UNKNOWN_CLASS,
            ..request
        },
        1 => ClientRequest {
            plan: UNKNOWN_PLAN,
            ..request
        },
        2 => ClientRequest {
            shard: Some(UNKNOWN_SHARD),
            ..request
        },
        3 => ClientRequest {
            units: 0.0,
            ..request
        },
        4 => ClientRequest {
            units: -1.5,
            ..request
        },
        5 => ClientRequest {
            units: 400.0,
            ..request
        },
        6 => ClientRequest {
            deadline: now - 5 * MILLISECOND,
            ..request
        },
        7 => ClientRequest {
            deadline: now + 900,
            ..request
        },
        8 => ClientRequest {
            deadline: now,
            ..request
        },
        _ => ClientRequest {
            deadline: now + 150 * SECOND,
            ..request
        },
    }
}
