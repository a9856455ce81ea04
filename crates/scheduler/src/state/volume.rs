//! A volume: its plan, its usage and its token bucket.

use crate::api::{Micros, Shard, VolumePlan};
use std::collections::BTreeSet;

/// One volume.
#[derive(Default)]
pub struct Volume {
    /// Its reservation, weight, limit and provisioned rate.
    pub plan: VolumePlan,
    /// Number of hosts that receive its requests, at least 1.
    pub hosts: f64,
    /// Shards to which its requests went.
    pub shards: BTreeSet<Shard>,
    /// Idle credit (dmClock's sigma) after an idle time, in units: one request of the largest size.
    pub idle_credit: f64,
    /// Whether its service through other hosts is reported to this host.
    pub sees_other_hosts: bool,
    /// Level of the limit's token bucket, in units, when it was last set.
    pub tokens: f64,
    /// When that level was set.
    pub refilled_at: Micros,
    /// Units served at all nodes, as far as reported.
    pub served_units: f64,
    /// Units in usage reports beyond those counted by responses; negative while the reports lag behind.
    pub surplus_units: f64,
    /// Units served since the last usage report.
    pub unreported_units: f64,
    /// When the last usage report was received.
    pub reported_at: Option<Micros>,
}
