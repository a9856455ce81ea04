//! Summary of a run: a digest of all decisions, and counts by kind.
//!
//! The digest is the FNV-1a hash of one line of text per decision and per change of the state
//! sizes.

use crate::types::{Decision, Micros, StateSizes};
use std::fmt::Write;

/// Offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Digest and counts of the decisions of a run.
pub struct RunSummary {
    digest: u64,
    line: String,
    /// Number of requests received.
    pub requests_received: u64,
    /// Number of attempts that were served.
    pub served_attempts: u64,
    /// Number of dispatches other than the first of each request.
    pub retries_dispatched: u64,
    dispatches: u64,
    rejections: u64,
    rejections_with_retry_after: u64,
    failures: u64,
    cancellations: u64,
    watches_opened: u64,
    timers_set: u64,
    sizes: StateSizes,
}

impl RunSummary {
    /// Creates a summary without decisions.
    pub fn new() -> Self {
        RunSummary {
            digest: FNV_OFFSET,
            line: String::new(),
            requests_received: 0,
            served_attempts: 0,
            retries_dispatched: 0,
            dispatches: 0,
            rejections: 0,
            rejections_with_retry_after: 0,
            failures: 0,
            cancellations: 0,
            watches_opened: 0,
            timers_set: 0,
            sizes: StateSizes::default(),
        }
    }

    /// Adds a decision that was made at `now`.
    pub fn add_decision(&mut self, now: Micros, decision: &Decision) {
        let line = match *decision {
            Decision::Dispatch {
                request,
                node,
                times_out_at,
            } => {
                self.dispatches += 1;
                format!("{now} dispatch {request} {node} {times_out_at}")
            }
            Decision::Reject {
                request,
                retry_after,
            } => {
                self.rejections += u64::from(retry_after == 0);
                self.rejections_with_retry_after += u64::from(retry_after != 0);
                format!("{now} reject {request} {retry_after}")
            }
            Decision::Fail(request) => {
                self.failures += 1;
                format!("{now} fail {request}")
            }
            Decision::Cancel { request, attempt } => {
                self.cancellations += 1;
                format!("{now} cancel {request} {attempt}")
            }
            Decision::OpenWatch => {
                self.watches_opened += 1;
                format!("{now} watch")
            }
            Decision::SetTimer(at) => {
                self.timers_set += 1;
                format!("{now} timer {at}")
            }
        };
        self.line = line;
        self.hash_line();
    }

    /// Adds the sizes of the scheduler's state if they differ from the previous ones.
    pub fn add_sizes(&mut self, now: Micros, sizes: StateSizes) {
        if sizes == self.sizes {
            return;
        }
        self.sizes = sizes;
        let StateSizes {
            nodes,
            volumes,
            shards,
        } = sizes;
        self.line = format!("{now} sizes {nodes} {volumes} {shards}");
        self.hash_line();
    }

    /// Adds the line and a line feed to the digest.
    fn hash_line(&mut self) {
        for byte in self.line.bytes().chain([b'\n']) {
            self.digest = (self.digest ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
        }
    }

    /// Formats the digest and the counts for the snapshot file.
    pub fn report(&self, seed: u64) -> String {
        let rows = [
            ("requests", self.requests_received),
            ("dispatches", self.dispatches),
            ("retries dispatched", self.retries_dispatched),
            ("served", self.served_attempts),
            ("rejections without retry-after", self.rejections),
            (
                "rejections with retry-after",
                self.rejections_with_retry_after,
            ),
            ("failures", self.failures),
            ("cancellations", self.cancellations),
            ("watches", self.watches_opened),
            ("timers", self.timers_set),
            ("final nodes", self.sizes.nodes as u64),
            ("final volumes", self.sizes.volumes as u64),
            ("final shards", self.sizes.shards as u64),
        ];
        let mut report = format!("seed {seed}: digest {:016x}\n", self.digest);
        for (name, count) in rows {
            writeln!(report, "  {name}: {count}").expect("writing to a string should succeed");
        }
        report
    }
}
