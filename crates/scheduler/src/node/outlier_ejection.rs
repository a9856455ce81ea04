//! Which nodes get no requests but trial attempts, since their attempts fail one after the other.
//!
//! Inputs: attempts without a response (timeouts, failed connects, resets) and served ones.
//! Decided: whether a node is ejected, and how long it waits for its next trial attempt (half-open
//! interval, in microseconds). A served attempt ends the ejection. If most nodes are ejected, the
//! fault is likely not theirs, and none of them is treated as ejected (panic threshold).

use super::Node;
use crate::api::Micros;

/// Attempts without a response, one after the other, that eject a node.
const CONSECUTIVE_FAILURES_TO_EJECT: u32 = 3;
/// Half-open interval after the first trial attempt, in microseconds; it doubles with each further
/// failure.
const MIN_HALF_OPEN_INTERVAL: Micros = 100_000;
/// Longest half-open interval, in microseconds.
const MAX_HALF_OPEN_INTERVAL: Micros = 1_000_000;
/// Doublings after which the interval certainly is at its maximum; bounds the shift.
const MAX_DOUBLINGS: u32 = 5;

/// Attempts at a node that ended without a response since the last one that was served.
#[derive(Default)]
pub struct OutlierEjection {
    /// Attempts without a response since the last one that was served.
    consecutive_failures: u32,
}

impl OutlierEjection {
    /// Counts an attempt that ended without a response.
    pub fn record_failure(&mut self) {
        self.consecutive_failures += 1;
    }

    /// Ends the ejection, as an attempt was served.
    pub fn record_served(&mut self) {
        self.consecutive_failures = 0;
    }

    /// Whether the node gets trial attempts only.
    pub fn is_ejected(&self) -> bool {
        self.consecutive_failures >= CONSECUTIVE_FAILURES_TO_EJECT
    }

    /// Time from a trial attempt to the next one, for a node that is ejected.
    pub fn half_open_interval(&self) -> Micros {
        let failures_since_ejection = self.consecutive_failures - CONSECUTIVE_FAILURES_TO_EJECT;
        let doublings = failures_since_ejection.min(MAX_DOUBLINGS);
        (MIN_HALF_OPEN_INTERVAL << doublings).min(MAX_HALF_OPEN_INTERVAL)
    }
}

/// Whether most of the nodes are ejected.
pub fn exceeds_panic_threshold<'a>(nodes: impl Iterator<Item = &'a Node>) -> bool {
    let mut ejected = 0;
    let mut not_ejected = 0;
    for node in nodes {
        if node.is_ejected() {
            ejected += 1;
        } else {
            not_ejected += 1;
        }
    }
    ejected > not_ejected
}
