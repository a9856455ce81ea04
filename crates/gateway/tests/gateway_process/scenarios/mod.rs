//! Runs the scenario files of this directory and compares each transcript with its snapshot. The
//! tests at the end of this file generate their statements and check the transcript themselves.

use crate::scenario_runner::run_scenario;

/// The first statements of scenarios with one node and the platform's configuration.
const START_WITH_ONE_NODE: &str = "node n0 0\nstart platform\n";

/// A RESP2 command that reads an object from shard 0.
const READ: &str = "IO.IN 7f3a9c21e0b4d655 a1 \
     c=read,t=gold,d=5000,volume=00000000000000a1,units=2,shard=0,hosts=1";

macro_rules! scenarios {
    ($($name:ident),* $(,)?) => {$(
        #[test]
        fn $name() {
            let scenario = include_str!(concat!(stringify!($name), ".txt"));
            insta::assert_snapshot!(stringify!($name), run_scenario(stringify!($name), scenario));
        }
    )*};
}

scenarios! {
    // RESP2 clients.
    resp_commands_are_answered,
    invalid_resp_commands_are_rejected,
    responses_are_sent_in_command_order,
    invalid_options_and_incomplete_commands_are_rejected,
    ids_and_numbers_have_exactly_the_published_form,
    client_disconnect_cancels_its_attempt,
    // Storage nodes.
    write_is_never_retried_after_a_connection_loss,
    read_is_retried_after_a_connection_loss,
    rejected_attempt_is_retried,
    request_to_an_unresponsive_node_times_out,
    unsolicited_node_response_closes_the_connection,
    malformed_node_response_closes_the_connection,
    request_without_an_available_node_is_rejected,
    // Discovery.
    draining_node_gets_no_new_requests,
    new_requests_go_to_the_changed_node_address,
    silent_watch_is_reopened,
    broken_watch_is_reopened,
    // SFTP clients and SFTP nodes.
    sftp_session_writes_and_reads_an_object,
    invalid_sftp_requests_are_rejected,
    sftp_clients_with_incomplete_packets_time_out,
    sftp_rejections_and_timeouts_are_reported,
    sftp_upload_is_discarded_on_disconnect,
    sftp_directory_listing_merges_all_shards,
    sftp_directory_listing_fails_if_one_shard_fails,
    sftp_directory_listing_is_complete_during_slow_start,
    sftp_write_is_never_retried_after_a_connection_loss,
    both_protocols_update_the_same_counters,
    // Console, reload and shutdown.
    console_commands_are_executed,
    configuration_reload_replaces_the_discovery_address,
    shutdown_completes_accepted_requests,
}

/// 60 clients connect to a process with 30 file descriptors, which is less than its configuration
/// says, so that accepting fails at times. The gateway must evict idle clients; its event loop must
/// neither end nor spin.
#[test]
fn more_clients_than_descriptors_are_served() {
    let mut scenario = "node n0 0\nstart platform 30\n".to_owned();
    for client in 0..60 {
        scenario += &format!("send c{client} PING\nexpect c{client} +PONG\n");
    }
    scenario +=
        &format!("wait_for_close c0\nsend c59 {READ}\nexpect n0\nsend n0 value v\nexpect c59 v\n");

    let transcript = run_scenario("more_clients_than_descriptors_are_served", &scenario);

    assert_eq!(transcript.matches("+PONG").count(), 60);
    assert!(transcript.ends_with("c59 < v\n"), "{transcript}");
}

/// The gateway reports a protocol error and closes the connection while bytes of the client are
/// unread. Closing a socket with unread bytes resets the connection, and the client could lose the
/// error: after its last response, the gateway must read for a while before it closes the socket.
#[test]
fn protocol_error_reaches_a_client_that_sent_more_bytes() {
    let mut scenario = format!("{START_WITH_ONE_NODE}send c1 {READ}\nexpect n0\n");
    // The gateway reads none of these bytes while the first request is in flight.
    scenario += &format!("send c1 raw {}\n", "x".repeat(100 << 10));
    scenario += "send n0 value v\nexpect c1 v\nexpect c1\nwait_for_close c1\n";

    let transcript = run_scenario(
        "protocol_error_reaches_a_client_that_sent_more_bytes",
        &scenario,
    );

    let error_received = transcript.contains("c1 < -ERR Protocol error");
    assert!(
        error_received && transcript.ends_with("c1 is closed\n"),
        "expected a protocol error and a close without a reset"
    );
}

/// Nodes may send values longer than the 64 KiB that their specification allows, and the gateway
/// must not truncate or reject these. But a response that declares 3000000000 array elements is
/// invalid, and the gateway retries the read.
#[test]
fn large_value_is_sent_to_the_client_complete() {
    let value = "v".repeat(400 << 10);
    let mut scenario = format!("{START_WITH_ONE_NODE}send c1 {READ}\nexpect n0\n");
    scenario += "send n0 raw *3000000000\nwait_for_close n0\n";
    scenario += &format!("expect n0\nsend n0 value {value}\nexpect c1 {value}\n");

    let transcript = run_scenario("large_value_is_sent_to_the_client_complete", &scenario);

    assert!(transcript.ends_with("vv\n"));
}

/// 300 clients connect and send nothing. The gateway must evict them for a new client that sends a
/// command.
#[test]
fn idle_clients_are_evicted_for_new_ones() {
    let mut scenario = START_WITH_ONE_NODE.to_owned();
    for client in 0..300 {
        scenario += &format!("connect c{client}\n");
    }
    scenario += "send d1 PING\nexpect d1 +PONG\n";
    for client in 0..300 {
        scenario += &format!("wait_for_close c{client}\n");
    }

    let transcript = run_scenario("idle_clients_are_evicted_for_new_ones", &scenario);

    assert_eq!(transcript.matches(" is closed").count(), 300);
}

/// Commands beyond the limit of pending commands per connection stay in the input buffer. The
/// gateway must process them when a response frees capacity: the client sends no further bytes, so
/// no readiness event of its connection would trigger that.
#[test]
fn pipelined_commands_beyond_the_pending_limit_are_processed() {
    let mut scenario = format!("{START_WITH_ONE_NODE}send c1 {READ}\n");
    scenario += &"send c1 PING\n".repeat(100);
    scenario += "expect n0\nsend n0 value v\nexpect c1 v\n";
    scenario += &"expect c1 +PONG\n".repeat(100);

    let transcript = run_scenario(
        "pipelined_commands_beyond_the_pending_limit_are_processed",
        &scenario,
    );

    assert_eq!(transcript.matches("c1 < +PONG").count(), 100);
}
