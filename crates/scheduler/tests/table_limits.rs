//! Limits on the number of entries in the tables whose keys clients choose.

mod common;

use common::{
    attempt_completed, default_settings, dispatched_requests, served, volume_plan,
    SchedulerHarness, MILLISECOND, SECOND,
};
use io_scheduler::{ObjectKey, Outcome, Settings, Shard, Units};

/// The plan without a limit.
const UNLIMITED: usize = 0;
/// The plan that allows one unit per second, and five at once.
const LIMITED: usize = 1;
/// More volumes than the table holds.
const VOLUMES: u64 = 10_000;
/// Maximum number of volumes without unfinished requests.
const MAX_VOLUMES: usize = 4_096;
/// First id of the volumes that are named once.
const FIRST_VOLUME: u64 = 1_000;

/// Returns settings with the plans [`UNLIMITED`] and [`LIMITED`].
fn settings() -> Settings {
    let mut settings = default_settings();
    let mut limited = volume_plan(0.0, 1.0, 1.0);
    limited.burst_capacity = Units(5.0);
    settings.plans = vec![volume_plan(0.0, 1.0, 0.0), limited];
    settings
}

/// Sends a request of a volume to node 0, and completes it if it is dispatched at once. Returns
/// whether it is.
fn serve(harness: &mut SchedulerHarness, volume: u64, plan: usize, units: f64) -> bool {
    let mut request = harness.request_of_volume(volume, plan, harness.now + 60 * SECOND);
    request.units = Units(units);
    let id = request.id.0;
    let is_dispatched = dispatched_requests(&harness.receive(request)).contains(&id);
    if is_dispatched {
        harness.handle(&[served(id, MILLISECOND)]);
    }
    is_dispatched
}

/// Guards against state that grows with each new volume until its age limit is reached.
#[test]
fn number_of_volumes_is_bounded() {
    let mut harness = SchedulerHarness::new(settings(), 1);
    harness.raise_concurrency_limit(0);
    for volume in 0..VOLUMES {
        harness.now += MILLISECOND;
        assert!(serve(&mut harness, FIRST_VOLUME + volume, UNLIMITED, 1.0));
        let volumes = harness.table_sizes().volumes;
        // The volume of the request that is being handled is not idle.
        assert!(volumes.entries <= MAX_VOLUMES + 1, "{volumes:?}");
    }
    assert!(harness.table_sizes().volumes.evicted > 0);
}

/// A volume is used once a second while a client names ever new volumes, some of which have spent
/// their tokens when they are evicted. Guards against evicting the volume in steady use: its new
/// token bucket would count as empty, so that its request would have to wait.
#[test]
fn volume_in_steady_use_is_not_evicted_by_ever_new_volumes() {
    const STEADY: u64 = 1;
    let mut harness = SchedulerHarness::new(settings(), 1);
    harness.raise_concurrency_limit(0);
    harness.now += 10 * SECOND;
    assert!(serve(&mut harness, STEADY, LIMITED, 1.0));
    for round in 0..5 {
        assert!(serve(&mut harness, STEADY, LIMITED, 1.0), "round {round}");
        for volume in 0..VOLUMES / 2 {
            harness.now += SECOND / 10_000;
            let volume = FIRST_VOLUME + round * VOLUMES + volume;
            serve(&mut harness, volume, UNLIMITED, 1.0);
        }
        serve(&mut harness, FIRST_VOLUME + round, LIMITED, 5.0);
        harness.now += SECOND / 2;
    }
    assert!(harness.table_sizes().volumes.evicted > 0);
}

/// A volume has used up its limit when it is evicted. Guards against a full token bucket when it is
/// added again.
#[test]
fn eviction_does_not_restore_the_tokens_of_a_volume() {
    const CONSUMED: u64 = 1;
    let mut harness = SchedulerHarness::new(settings(), 1);
    harness.raise_concurrency_limit(0);
    harness.now += 10 * SECOND;
    assert!(serve(&mut harness, CONSUMED, LIMITED, 5.0));
    for volume in 0..VOLUMES {
        harness.now += 1;
        serve(&mut harness, FIRST_VOLUME + volume, UNLIMITED, 1.0);
    }
    assert!(harness.table_sizes().volumes.evicted > 0);
    harness.now += SECOND;
    assert!(!serve(&mut harness, CONSUMED, LIMITED, 5.0));
}

/// Passes a request of a volume for a shard, whose deadline passes before the next one. Returns
/// whether it was dispatched at once, and completes it.
fn serve_or_expire(harness: &mut SchedulerHarness, volume: u64, shard: u64) -> bool {
    harness.now += MILLISECOND;
    let mut request = harness.request_of_volume(volume, UNLIMITED, harness.now + MILLISECOND);
    request.shard = Some(Shard(shard));
    let id = request.id.0;
    let is_dispatched = dispatched_requests(&harness.receive(request)).contains(&id);
    if is_dispatched {
        harness.handle(&[attempt_completed(id, 0, shard, Outcome::Served, 0)]);
    }
    is_dispatched
}

/// A client uses one volume and names ever new shards that no node holds. Guards against queues
/// that are kept for as long as the volume is in use.
#[test]
fn number_of_shards_without_a_node_is_bounded() {
    const MAX_QUEUES: usize = 300;
    let mut harness = SchedulerHarness::new(settings(), 1);
    for shard in 0..5_000 {
        assert!(!serve_or_expire(&mut harness, 1, 1_000 + shard));
        let shards = harness.table_sizes().shards;
        assert!(shards.entries <= MAX_QUEUES, "{shards:?}");
    }
    assert!(serve_or_expire(&mut harness, 1, 0));
    assert!(harness.table_sizes().shards.evicted > 0);
}

/// A client uses many volumes at many nodes. Guards against a flow for each pair, of which there
/// are as many as volumes times nodes.
#[test]
fn number_of_idle_flows_is_bounded() {
    const MAX_FLOWS: usize = 16_384;
    const NODES: u64 = 20;
    let mut harness = SchedulerHarness::new(settings(), NODES);
    for number in 0..40_000 {
        serve_or_expire(&mut harness, number / NODES, number % NODES);
        let flows = harness.table_sizes().flows;
        assert!(flows.entries <= MAX_FLOWS + 1, "{flows:?}");
    }
    let sizes = harness.table_sizes();
    assert!(sizes.flows.evicted > 0, "{sizes:?}");
    assert_eq!(sizes.volumes.evicted, 0, "{sizes:?}");
}

/// A client sends requests of ever new objects that are rejected at once. Guards against an
/// objective that is kept for each until its age limit is reached.
#[test]
fn number_of_stored_objectives_is_bounded() {
    const MAX_OBJECTIVES: usize = 8_192;
    let mut harness = SchedulerHarness::new(settings(), 1);
    for object in 0..20_000 {
        harness.now += MILLISECOND / 10;
        let mut request = harness.request_of_volume(1, UNLIMITED, harness.now + MILLISECOND);
        request.key = Some(ObjectKey(object));
        request.shard = Some(Shard(1_000));
        harness.receive(request);
        let objectives = harness.table_sizes().objectives;
        assert!(objectives.entries <= MAX_OBJECTIVES, "{objectives:?}");
    }
    assert!(harness.table_sizes().objectives.evicted > 0);
}
