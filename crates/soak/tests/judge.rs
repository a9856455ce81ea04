//! The judge: for each rule, a violation just over the bound is reported, and none just under it.

use gateway_soak::judge::{judge, Bounds, Rule};
use gateway_soak::record::{Event, NodeStatus, ReceivedAttempt, Record, ReplyKind, SentRequest};
use std::time::Duration;

/// The connection of all requests.
const CONNECTION: u64 = 1;
/// The client's time of all requests.
const TIMEOUT: Duration = Duration::from_millis(1_000);
/// The drain grace.
const DRAIN_GRACE: Duration = Duration::from_millis(250);

/// Returns a number of milliseconds as a duration.
fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Returns an event of gateway 0.
fn event(at_ms: u64, event: Event) -> Record {
    Record {
        at: ms(at_ms),
        gateway: Some(0),
        event,
    }
}

/// Returns the event for a request that is sent.
fn sent(at_ms: u64, is_idempotent: bool) -> Record {
    let request = SentRequest {
        connection: CONNECTION,
        request: "a1".to_owned(),
        is_idempotent,
        timeout: TIMEOUT,
    };
    event(at_ms, Event::RequestSent(request))
}

/// Returns the event for the reply to the request.
fn reply(at_ms: u64, reply: ReplyKind) -> Record {
    let request = "a1".to_owned();
    event(at_ms, Event::ReplyReceived { request, reply })
}

/// Returns the event for an attempt that states some time.
fn attempt(at_ms: u64, stated_ms: u64) -> Record {
    let attempt = ReceivedAttempt {
        node: "s".to_owned(),
        request: "a1".to_owned(),
        first_byte_at: ms(at_ms),
        stated_timeout: ms(stated_ms),
        is_executed: true,
    };
    event(at_ms, Event::AttemptReceived(attempt))
}

/// Returns the event for a change of the node's status that discovery has.
fn changed(at_ms: u64, status: NodeStatus) -> Record {
    let node = "s".to_owned();
    Record {
        gateway: None,
        ..event(at_ms, Event::ListChanged { node, status })
    }
}

/// Returns the event for a status that discovery writes to the gateway.
fn notified(at_ms: u64, status: NodeStatus) -> Record {
    notified_during(at_ms, at_ms, status)
}

/// Returns the event for a status that discovery writes to the gateway in a write that takes some
/// time.
fn notified_during(began_at_ms: u64, ended_at_ms: u64, status: NodeStatus) -> Record {
    let notified = Event::Notified {
        node: "s".to_owned(),
        status,
        write_began_at: ms(began_at_ms),
    };
    event(ended_at_ms, notified)
}

/// Returns the event for a process that is started at once.
fn started(at_ms: u64) -> Record {
    started_during(at_ms, at_ms)
}

/// Returns the event for a process whose start takes some time.
fn started_during(began_at_ms: u64, ended_at_ms: u64) -> Record {
    let spawn_began_at = ms(began_at_ms);
    event(ended_at_ms, Event::Started { spawn_began_at })
}

/// Returns the rules that the records violate, after a process that is ready at once.
fn violated(records: &[Record]) -> Vec<Rule> {
    let mut all = vec![started(0), event(1, Event::Ready)];
    all.extend_from_slice(records);
    all.sort_by_key(|record| record.at);
    let bounds = Bounds {
        drain_grace: DRAIN_GRACE,
    };
    judge(&all, bounds)
        .into_iter()
        .map(|violation| violation.rule)
        .collect()
}

#[test]
fn reply_more_than_half_a_second_after_the_clients_time_is_lost() {
    let records = |at| [sent(100, true), reply(at, ReplyKind::Failed)];
    assert!(violated(&records(1_649)).is_empty());
    assert_eq!(violated(&records(1_651)), [Rule::Lost]);
}

#[test]
fn request_without_a_reply_and_value_of_another_request_are_lost() {
    assert_eq!(violated(&[sent(100, true)]), [Rule::Lost]);
    let wrong = [sent(100, true), reply(200, ReplyKind::WrongValue)];
    assert_eq!(violated(&wrong), [Rule::Lost]);
    let served = [sent(100, true), reply(200, ReplyKind::Served)];
    assert!(violated(&served).is_empty());
}

#[test]
fn forwarded_request_whose_connection_ends_is_lost_and_one_that_crossed_the_close_is_not() {
    let connection = CONNECTION;
    let ended = event(300, Event::ConnectionEnded { connection });
    assert!(violated(&[sent(100, true), ended.clone()]).is_empty());
    let forwarded = [sent(100, true), attempt(110, 900), ended];
    assert_eq!(violated(&forwarded), [Rule::Lost]);
}

#[test]
fn request_of_a_client_that_leaves_is_not_lost() {
    let connection = CONNECTION;
    let closed = event(300, Event::ClientClosed { connection });
    assert!(violated(&[sent(100, true), closed]).is_empty());
}

#[test]
fn request_sent_late_in_a_shutdown_and_unanswered_at_the_kill_is_lost() {
    let records = |sent_at| {
        [
            event(1_000, Event::ShutdownRequested),
            sent(sent_at, true),
            attempt(sent_at + 5, 900),
            event(2_000, Event::Killed),
        ]
    };
    assert!(violated(&records(1_699)).is_empty());
    assert_eq!(violated(&records(1_701)), [Rule::Lost]);
}

#[test]
fn second_attempt_of_a_request_that_may_not_be_repeated_is_a_duplicate() {
    let records = |is_idempotent| {
        [
            sent(100, is_idempotent),
            attempt(110, 900),
            attempt(300, 700),
            reply(400, ReplyKind::Served),
        ]
    };
    assert!(violated(&records(true)).is_empty());
    assert_eq!(violated(&records(false)), [Rule::Duplicate]);
}

#[test]
fn attempt_that_a_node_rejected_is_no_duplicate() {
    let mut first = attempt(110, 900);
    if let Event::AttemptReceived(attempt) = &mut first.event {
        attempt.is_executed = false;
    }
    let served = reply(400, ReplyKind::Served);
    let records = [sent(100, false), first, attempt(300, 700), served];
    assert!(violated(&records).is_empty());
}

/// Replies are sent in the order of the requests, so the time that a reply waits for the one before
/// it does not count.
#[test]
fn reply_that_waits_for_the_one_before_it_is_not_lost() {
    let first = SentRequest {
        connection: CONNECTION,
        request: "a0".to_owned(),
        is_idempotent: true,
        timeout: 3 * TIMEOUT,
    };
    let records = |at| {
        let first_reply = Event::ReplyReceived {
            request: "a0".to_owned(),
            reply: ReplyKind::Served,
        };
        [
            event(99, Event::RequestSent(first.clone())),
            sent(100, true),
            event(2_500, first_reply),
            reply(at, ReplyKind::Served),
        ]
    };
    assert!(violated(&records(2_549)).is_empty());
    assert_eq!(violated(&records(2_551)), [Rule::Lost]);
}

/// The process is killed while a forwarded request waits for the reply to the one before it, which
/// is not due yet. Guards against reporting it (seed 155); once that reply was due, it is lost.
#[test]
fn request_behind_one_that_is_not_due_is_not_lost_at_a_kill() {
    let first = SentRequest {
        connection: CONNECTION,
        request: "a0".to_owned(),
        is_idempotent: true,
        timeout: 3 * TIMEOUT,
    };
    let records = |killed_at| {
        let connection = CONNECTION;
        [
            event(99, Event::RequestSent(first.clone())),
            sent(100, true),
            attempt(110, 900),
            event(killed_at, Event::Killed),
            event(killed_at, Event::ConnectionEnded { connection }),
        ]
    };
    assert!(violated(&records(3_698)).is_empty());
    assert_eq!(violated(&records(3_700)), [Rule::Lost]);
}

#[test]
fn attempt_after_the_drain_grace_is_a_violation() {
    let records = |at| {
        [
            changed(1_000, NodeStatus::Draining),
            notified(1_010, NodeStatus::Draining),
            sent(1_100, true),
            attempt(at, 100),
            reply(at + 10, ReplyKind::Served),
        ]
    };
    assert!(violated(&records(1_309)).is_empty());
    assert_eq!(violated(&records(1_311)), [Rule::Drain]);
}

#[test]
fn change_that_was_not_written_counts_as_notified_after_six_seconds() {
    let records = |at| {
        [
            changed(1_000, NodeStatus::Removed),
            sent(7_000, true),
            attempt(at, 100),
            reply(at + 10, ReplyKind::Served),
        ]
    };
    assert!(violated(&records(7_299)).is_empty());
    assert_eq!(violated(&records(7_301)), [Rule::Drain]);
}

#[test]
fn change_during_an_outage_of_discovery_counts_from_its_end() {
    let outage = |event| Record {
        at: ms(2_000),
        gateway: None,
        event,
    };
    let records = |at| {
        [
            Record {
                at: ms(500),
                ..outage(Event::DiscoveryDown)
            },
            changed(1_000, NodeStatus::Removed),
            outage(Event::DiscoveryUp),
            sent(8_000, true),
            attempt(at, 100),
            reply(at + 10, ReplyKind::Served),
        ]
    };
    assert!(violated(&records(8_299)).is_empty());
    assert_eq!(violated(&records(8_301)), [Rule::Drain]);
}

/// The case of an instance that restarts and has not asked discovery yet: the removal counts, the
/// return to service, of which it was not notified, does not.
#[test]
fn restarted_process_counts_as_notified_six_seconds_after_a_change() {
    let records = |at| {
        [
            event(500, Event::Killed),
            changed(1_000, NodeStatus::Removed),
            started(4_500),
            event(4_600, Event::Ready),
            changed(6_900, NodeStatus::InService),
            sent(7_000, true),
            attempt(at, 100),
            reply(at + 10, ReplyKind::Served),
        ]
    };
    assert!(violated(&records(7_299)).is_empty());
    assert_eq!(violated(&records(7_301)), [Rule::Drain]);
}

/// The cached list of a new process is that of the process before it.
#[test]
fn restarted_process_was_notified_of_what_the_process_before_it_was_notified_of() {
    let records = |notified_at| {
        [
            changed(1_000, NodeStatus::Removed),
            notified(1_000, NodeStatus::Removed),
            changed(2_000, NodeStatus::InService),
            notified(notified_at, NodeStatus::InService),
            event(3_000, Event::Killed),
            started(4_000),
            event(4_100, Event::Ready),
            sent(5_000, true),
            attempt(5_010, 100),
            reply(5_020, ReplyKind::Served),
        ]
    };
    assert!(violated(&records(2_999)).is_empty());
    assert_eq!(violated(&records(3_500)), [Rule::Drain]);
}

/// Guards against judging a gateway by a write that it has read before the rig records its end.
#[test]
fn node_counts_as_in_service_from_the_begin_and_as_draining_from_the_end_of_the_write() {
    let returned = |attempt_at| {
        [
            changed(1_000, NodeStatus::Draining),
            notified(1_000, NodeStatus::Draining),
            changed(2_000, NodeStatus::InService),
            notified_during(2_000, 2_010, NodeStatus::InService),
            sent(attempt_at - 1, true),
            attempt(attempt_at, 900),
            reply(attempt_at + 5, ReplyKind::Served),
        ]
    };
    assert!(violated(&returned(2_001)).is_empty());
    assert_eq!(violated(&returned(1_999)), [Rule::Drain]);

    let drained = |attempt_at| {
        [
            changed(1_000, NodeStatus::Draining),
            notified_during(1_000, 1_010, NodeStatus::Draining),
            sent(attempt_at - 1, true),
            attempt(attempt_at, 900),
            reply(attempt_at + 5, ReplyKind::Served),
        ]
    };
    assert!(violated(&drained(1_310)).is_empty());
    assert_eq!(violated(&drained(1_311)), [Rule::Drain]);
}

/// Guards against judging a process by a notification that it received before the rig records its
/// start.
#[test]
fn process_receives_notifications_from_the_begin_of_its_start() {
    let records = |notified_at| {
        [
            changed(1_000, NodeStatus::Draining),
            notified(1_000, NodeStatus::Draining),
            event(1_500, Event::Killed),
            changed(1_600, NodeStatus::InService),
            started_during(2_000, 2_010),
            event(2_100, Event::Ready),
            notified(notified_at, NodeStatus::InService),
            sent(2_399, true),
            attempt(2_400, 900),
            reply(2_405, ReplyKind::Served),
        ]
    };
    assert!(violated(&records(2_000)).is_empty());
    assert_eq!(violated(&records(1_999)), [Rule::Drain]);
}

#[test]
fn node_that_is_in_service_again_may_be_used() {
    let records = [
        changed(1_000, NodeStatus::Draining),
        notified(1_000, NodeStatus::Draining),
        changed(1_200, NodeStatus::InService),
        notified(1_200, NodeStatus::InService),
        sent(1_500, true),
        attempt(1_600, 100),
        reply(1_610, ReplyKind::Served),
    ];
    assert!(violated(&records).is_empty());
}

#[test]
fn stated_time_above_what_is_left_to_the_client_is_a_violation() {
    let records = |stated_ms| {
        [
            sent(100, true),
            attempt(600, stated_ms),
            reply(700, ReplyKind::Served),
        ]
    };
    assert!(violated(&records(700)).is_empty());
    assert_eq!(violated(&records(701)), [Rule::Deadline]);
}

#[test]
fn attempt_that_begins_after_the_client_has_closed_is_a_violation() {
    let connection = CONNECTION;
    let records = |at| {
        [
            sent(100, true),
            event(200, Event::ClientClosed { connection }),
            attempt(at, 100),
        ]
    };
    assert!(violated(&records(350)).is_empty());
    assert_eq!(violated(&records(351)), [Rule::Abandoned]);
}

#[test]
fn process_that_is_not_ready_in_time_or_ends_by_itself_is_a_violation() {
    let started = |ready_ms| [started(0), event(ready_ms, Event::Ready)];
    let bounds = Bounds {
        drain_grace: DRAIN_GRACE,
    };
    assert!(judge(&started(9_999), bounds).is_empty());
    assert_eq!(judge(&started(10_001), bounds).len(), 1);
    let exited = |success| event(500, Event::Exited { success });
    assert_eq!(violated(&[exited(true)]), [Rule::Process]);
    let shutdown = event(400, Event::ShutdownRequested);
    assert!(violated(&[shutdown.clone(), exited(true)]).is_empty());
    assert_eq!(violated(&[shutdown, exited(false)]), [Rule::Process]);
}
