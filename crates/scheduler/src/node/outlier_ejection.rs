//! Which nodes get no requests but trial attempts, since their attempts end without a response.
//!
//! Inputs: attempts without a response (timeouts, failed connects, resets) and served ones.
//! Decided: whether a node is ejected, and the time between its trial attempts, in microseconds. Of
//! the outcomes only a served attempt ends the ejection; a restart of the node does so, too. A
//! response that is an error or says that the node is overloaded neither counts as a failure nor
//! ends one: it shows that a process answers, but not that it serves. If more nodes are ejected
//! than not, the fault is likely not theirs, and none of them is treated as ejected (panic
//! threshold).

use super::Node;
use crate::api::Micros;

/// Attempts without a response, none served between them, that eject a node.
const FAILURES_TO_EJECT: u32 = 3;
/// Time between the first trial attempt of an ejected node and the second, in microseconds; it
/// doubles with each further failure. The first one needs no pause: it is dispatched once no
/// attempt from before the ejection is in flight.
const MIN_TRIAL_INTERVAL: Micros = 100_000;
/// Longest time between two trial attempts, in microseconds.
const MAX_TRIAL_INTERVAL: Micros = 1_000_000;
/// Doublings after which the interval certainly is at its maximum; bounds the shift.
const MAX_DOUBLINGS: u32 = 5;

/// Attempts at a node that ended without a response since the last one that was served.
#[derive(Default)]
pub struct OutlierEjection {
    /// Attempts without a response since the last one that was served.
    failures_since_served: u32,
}

impl OutlierEjection {
    /// Counts an attempt that ended without a response.
    pub fn record_failure(&mut self) {
        self.failures_since_served += 1;
    }

    /// Ends the ejection, as an attempt was served.
    pub fn record_served(&mut self) {
        self.failures_since_served = 0;
    }

    /// Whether the node gets trial attempts only.
    pub fn is_ejected(&self) -> bool {
        self.failures_since_served >= FAILURES_TO_EJECT
    }

    /// Time from a trial attempt to the next one, for a node that is ejected.
    pub fn trial_interval(&self) -> Micros {
        let failures_since_ejection = self.failures_since_served - FAILURES_TO_EJECT;
        let doublings = failures_since_ejection.min(MAX_DOUBLINGS);
        (MIN_TRIAL_INTERVAL << doublings).min(MAX_TRIAL_INTERVAL)
    }
}

/// Whether more of the nodes are ejected than not.
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
