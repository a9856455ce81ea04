//! Ejects nodes whose attempts end without a response. An ejected node receives only trial
//! attempts.
//!
//! Attempts without a response are timeouts, failed connection attempts and resets. The ejection
//! ends when an attempt is served or the node's process restarts. A response that is an error or
//! says that the node is overloaded neither counts as a failure nor ends the ejection: it shows
//! that a process responds, but not that it serves requests. This module also determines the time
//! between trial attempts, in microseconds.
//!
//! If more nodes are ejected than not, the cause is probably not in the nodes, and none of them is
//! limited to trial attempts (panic threshold).

use super::Node;
use crate::api::Micros;

/// Number of attempts without a response, with no served attempt in between, that eject a node.
const FAILURES_TO_EJECT: u32 = 3;
/// Time between the first and the second trial attempt of an ejected node, in microseconds. It
/// doubles with each further failure. There is no pause before the first trial attempt: it is
/// dispatched once no attempt from before the ejection is in flight.
const MIN_TRIAL_INTERVAL: Micros = 100_000;
/// Maximum time between two trial attempts, in microseconds.
const MAX_TRIAL_INTERVAL: Micros = 1_000_000;
/// Number of doublings after which the interval has certainly reached its maximum; bounds the
/// shift.
const MAX_DOUBLINGS: u32 = 5;

/// Outlier ejection of one node.
#[derive(Default)]
pub struct OutlierEjection {
    /// Attempts without a response since the last one that was served.
    failures_since_served: u32,
}

impl OutlierEjection {
    /// Records an attempt that ended without a response.
    pub fn record_failure(&mut self) {
        self.failures_since_served += 1;
    }

    /// Records a served attempt, which ends the ejection.
    pub fn record_served(&mut self) {
        self.failures_since_served = 0;
    }

    /// Returns whether the node is ejected. It then receives only trial attempts, unless the panic
    /// threshold is exceeded, which the caller checks.
    pub fn is_ejected(&self) -> bool {
        self.failures_since_served >= FAILURES_TO_EJECT
    }

    /// Returns the time from a trial attempt to the next one. The node must be ejected.
    pub fn trial_interval(&self) -> Micros {
        let failures_since_ejection = self.failures_since_served - FAILURES_TO_EJECT;
        let doublings = failures_since_ejection.min(MAX_DOUBLINGS);
        (MIN_TRIAL_INTERVAL << doublings).min(MAX_TRIAL_INTERVAL)
    }
}

/// Returns whether the panic threshold is exceeded: more of the nodes are ejected than not.
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
