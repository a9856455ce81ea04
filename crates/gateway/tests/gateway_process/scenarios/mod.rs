//! Runs every scenario of this directory and compares its transcript with the snapshot.

use crate::scenario_runner::run_scenario;

/// The beginning of scenarios with one node.
const START_WITH_ONE_NODE: &str = "node n0 0\nstart platform\n";

/// A read from shard 0.
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
    resp_commands,
    invalid_resp_commands,
    responses_in_command_order,
    invalid_and_idle_resp_clients,
    client_disconnect_cancels_its_attempt,
    // Nodes.
    write_is_never_retried_after_a_connection_loss,
    read_is_retried_after_a_connection_loss,
    rejected_attempt_is_retried,
    unresponsive_node_times_out,
    unsolicited_node_responses,
    malformed_node_responses,
    no_node_available,
    // Discovery.
    draining_node_gets_no_new_requests,
    node_changes_its_address,
    silent_watch_is_reopened,
    broken_watch_is_reopened,
    // SFTP, of clients and of nodes.
    sftp_session,
    invalid_sftp_requests,
    incomplete_sftp_packets_time_out,
    sftp_rejection_and_timeout,
    sftp_upload_is_discarded_on_disconnect,
    sftp_directory_listing,
    sftp_directory_listing_fails_with_one_shard,
    sftp_directory_listing_during_slow_start,
    sftp_write_is_never_retried_after_a_connection_loss,
    both_protocols_update_the_same_counters,
    // Operation.
    console_commands,
    configuration_reload,
    shutdown_requested,
}

/// There are more clients than file descriptors: idle ones are evicted, and the event loop neither
/// ends nor spins. The process may hold 30 descriptors, fewer than its configuration says.
#[test]
fn clients_beyond_the_descriptor_limit_are_served() {
    let mut scenario = "node n0 0\nstart platform 30\n".to_owned();
    for client in 0..60 {
        scenario += &format!("send c{client} PING\nexpect c{client} +PONG\n");
    }
    scenario += &format!("wait c0\nsend c59 {READ}\nexpect n0\nsend n0 value v\nexpect c59 v\n");

    let transcript = run_scenario("clients_beyond_the_descriptor_limit_are_served", &scenario);

    assert_eq!(transcript.matches("+PONG").count(), 60);
    assert!(transcript.ends_with("c59 < v\n"), "{transcript}");
}

/// After the last response, the gateway reads for a while what still arrives: closing a connection
/// with unread bytes would reset it, and the client might not see the response.
#[test]
fn final_error_reaches_a_client_that_keeps_sending() {
    let mut scenario = format!("{START_WITH_ONE_NODE}send c1 {READ}\nexpect n0\n");
    // None of it is read while the request before it is in flight.
    scenario += &format!("send c1 raw {}\n", "x".repeat(100 << 10));
    scenario += "send n0 value v\nexpect c1 v\nexpect c1\nwait c1\n";

    let transcript = run_scenario("final_error_reaches_a_client_that_keeps_sending", &scenario);

    let error_received = transcript.contains("c1 < -ERR Protocol error");
    assert!(
        error_received && transcript.ends_with("c1 is closed\n"),
        "the connection ends with a reset"
    );
}

/// Nodes promise values of at most 64 KiB and send more; a length beyond all bounds makes a
/// response invalid, and the read is retried.
#[test]
fn large_value_is_passed_on_complete() {
    let value = "v".repeat(400 << 10);
    let mut scenario = format!("{START_WITH_ONE_NODE}send c1 {READ}\nexpect n0\n");
    scenario += "send n0 raw *3000000000\nwait n0\n";
    scenario += &format!("expect n0\nsend n0 value {value}\nexpect c1 {value}\n");

    let transcript = run_scenario("large_value_is_passed_on_complete", &scenario);

    assert!(transcript.ends_with("vv\n"));
}

/// Clients that connect and send nothing are evicted for one that sends a command.
#[test]
fn idle_clients_are_evicted_for_new_ones() {
    let mut scenario = START_WITH_ONE_NODE.to_owned();
    for client in 0..300 {
        scenario += &format!("open c{client}\n");
    }
    scenario += "send d1 PING\nexpect d1 +PONG\n";
    for client in 0..300 {
        scenario += &format!("wait c{client}\n");
    }

    let transcript = run_scenario("idle_clients_are_evicted_for_new_ones", &scenario);

    assert_eq!(transcript.matches(" is closed").count(), 300);
}

/// Commands beyond a connection's limit of pending ones stay in its input. They must be processed
/// when a response makes capacity free: the client sends no further byte that would wake its
/// connection.
#[test]
fn pipelined_commands_beyond_the_limit_are_processed() {
    let mut scenario = format!("{START_WITH_ONE_NODE}send c1 {READ}\n");
    scenario += &"send c1 PING\n".repeat(100);
    scenario += "expect n0\nsend n0 value v\nexpect c1 v\n";
    scenario += &"expect c1 +PONG\n".repeat(100);

    let transcript = run_scenario(
        "pipelined_commands_beyond_the_limit_are_processed",
        &scenario,
    );

    assert_eq!(transcript.matches("c1 < +PONG").count(), 100);
}
