//! A volume: its plan, its service and the level of its token bucket.

use crate::api::{Micros, Shard, VolumePlan};
use std::collections::BTreeSet;

/// One volume.
#[derive(Default)]
pub struct Volume {
    /// What it is entitled to.
    pub plan: VolumePlan,
    /// Hosts through which its requests come.
    pub hosts: f64,
    /// Where its data was asked for.
    pub shards: BTreeSet<Shard>,
    /// Idle credit (sigma) when it wakes up, in units: one request of the largest size.
    pub idle_credit: f64,
    /// Whether its service through other hosts is known here.
    pub sees_other_hosts: bool,
    /// Level of the limit's token bucket, in units, when it was last set.
    pub tokens: f64,
    /// When that level was set.
    pub refilled_at: Micros,
    /// Units served at all nodes, as far as known.
    pub served_units: f64,
    /// Units in usage reports beyond those known otherwise; below zero the reports lag.
    pub surplus_units: f64,
    /// Units served since the last usage report.
    pub unreported_units: f64,
    /// When the last usage report came.
    pub reported_at: Option<Micros>,
}
