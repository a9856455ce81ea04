//! The record of a run: a digest over one line for each decision, and counts to read.

use crate::plain::{Decision, Sizes, Time};
use std::fmt::Write;

/// Offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// What a run decided.
pub struct Record {
    digest: u64,
    line: String,
    /// Requests received.
    pub requests: u64,
    /// Attempts that were served.
    pub served: u64,
    /// Dispatches after a request's first.
    pub retries: u64,
    dispatches: u64,
    rejections: u64,
    rejections_with_retry_after: u64,
    failures: u64,
    cancellations: u64,
    watches: u64,
    timers: u64,
    sizes: Sizes,
}

impl Record {
    /// An empty record.
    pub fn new() -> Self {
        Record {
            digest: FNV_OFFSET,
            line: String::new(),
            requests: 0,
            served: 0,
            retries: 0,
            dispatches: 0,
            rejections: 0,
            rejections_with_retry_after: 0,
            failures: 0,
            cancellations: 0,
            watches: 0,
            timers: 0,
            sizes: Sizes::default(),
        }
    }

    /// Adds a decision made at a time.
    pub fn add(&mut self, now: Time, decision: &Decision) {
        let line = match *decision {
            Decision::Dispatch {
                request,
                node,
                deadline,
            } => {
                self.dispatches += 1;
                format!("{now} dispatch {request} {node} {deadline}")
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
                self.watches += 1;
                format!("{now} watch")
            }
            Decision::SetTimer(at) => {
                self.timers += 1;
                format!("{now} timer {at}")
            }
        };
        self.line = line;
        self.hash_line();
    }

    /// Adds the sizes of the scheduler's state if they changed.
    pub fn add_sizes(&mut self, now: Time, sizes: Sizes) {
        if sizes == self.sizes {
            return;
        }
        self.sizes = sizes;
        let Sizes {
            nodes,
            volumes,
            shards,
        } = sizes;
        self.line = format!("{now} sizes {nodes} {volumes} {shards}");
        self.hash_line();
    }

    /// Hashes the line and its end.
    fn hash_line(&mut self) {
        for byte in self.line.bytes().chain([b'\n']) {
            self.digest = (self.digest ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
        }
    }

    /// The digest and the counts as text.
    pub fn report(&self, seed: u64) -> String {
        let rows = [
            ("requests", self.requests),
            ("dispatches", self.dispatches),
            ("retries dispatched", self.retries),
            ("served", self.served),
            ("rejections without retry-after", self.rejections),
            (
                "rejections with retry-after",
                self.rejections_with_retry_after,
            ),
            ("failures", self.failures),
            ("cancellations", self.cancellations),
            ("watches", self.watches),
            ("timers", self.timers),
            ("final nodes", self.sizes.nodes as u64),
            ("final volumes", self.sizes.volumes as u64),
            ("final shards", self.sizes.shards as u64),
        ];
        let mut report = format!("seed {seed}: digest {:016x}\n", self.digest);
        for (name, count) in rows {
            writeln!(report, "  {name}: {count}").expect("writing to a string succeeds");
        }
        report
    }
}
