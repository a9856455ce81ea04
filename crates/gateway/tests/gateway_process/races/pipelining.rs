//! Races of pipelined commands: a client sends further commands before it has the replies to the
//! earlier ones.

use crate::harness::cluster::{serve_request, TestCluster};
use crate::harness::config::with_32_mib_of_memory;
use crate::harness::requests::{encode_read_request, encode_write_request_with_body};
use crate::harness::resp::encode_command;
use crate::harness::wait_until;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// The longest value that a node may send, in bytes. A reply with it is longer than the gateway
/// lets replies of one client grow before it stops to parse the client's commands.
const MAX_VALUE_BYTES: usize = 64 << 10;
/// More commands than the gateway parses before the first of them has its reply, which is 32.
const COMMAND_COUNT_EXCEEDING_THE_LIMIT: usize = 40;

/// A client sends a read and then more commands than may wait for a reply, all at once, and then
/// nothing more. Guards against leaving the commands behind the limit unparsed if the replies to
/// the ones before become ready and are written in one step.
#[test]
fn commands_behind_a_large_reply_are_run_once_it_is_written() {
    let cluster = TestCluster::start();
    let pings = encode_command("PING").repeat(COMMAND_COUNT_EXCEEDING_THE_LIMIT);
    let mut client = cluster
        .gateway
        .connect_and_send(encode_read_request("a1") + &pings + &encode_read_request("a2"));
    let mut node = cluster.node_a.accept_request("a1");

    let value = "v".repeat(MAX_VALUE_BYTES);
    node.respond(&value);

    client.expect_value(&value);
    for _ in 0..COMMAND_COUNT_EXCEEDING_THE_LIMIT {
        client.expect_pong();
    }
    serve_request(&mut node, &mut client, "a2", "two");
}

/// The number of pipelined clients, each of which sends as many commands as may wait for a reply.
const PIPELINED_CLIENT_COUNT: usize = 4;
/// The number of commands of a client that may wait for a reply.
const PIPELINED_COMMAND_COUNT: usize = 32;
/// A twelfth of 32 MiB, which is the budget for replies that are not written.
const REPLY_BUDGET_BYTES: usize = (32 << 20) / 12;
/// How long the node that responds gets for more requests than the budget allows.
const OBSERVATION_TIME: Duration = Duration::from_millis(500);

/// A client sends more writes at once than the gateway buffers, and the node of its first command
/// is silent. Guards against a command without a reply: those that don't fit are rejected, in their
/// order, and the connection stays open.
#[test]
fn commands_that_exceed_the_input_limit_are_rejected_in_order() {
    const WRITES: usize = 300;
    let cluster = TestCluster::start();
    let mut read = cluster.start_read("a1");
    let writes: String = (0..WRITES)
        .map(|number| encode_write_request_with_body(&format!("w{number}"), 4_096))
        .collect();
    let mut client = cluster
        .gateway
        .connect_and_send(encode_read_request("a2") + &writes);
    client.send_ping();
    cluster.gateway.wait_until_input_is_processed();

    cluster.node_a.respond_in_background("served");
    read.complete("one");
    read.node.expect_request("a2");
    read.node.respond("two");
    read.node.respond_in_background("served");

    client.expect_value("two");
    let replies: Vec<String> = (0..WRITES).map(|_| client.receive_value()).collect();
    client.expect_pong();
    assert_eq!(replies.first().map(String::as_str), Some("served"));
    let is_final = |reply: &String| reply == "served" || reply.starts_with("-BUSY");
    assert!(replies.iter().all(is_final), "{replies:?}");
    assert_eq!(replies.last().map(String::as_str), Some("-BUSY 250"));
}

/// Clients send many reads at once. The node of each client's first read does not respond, so that
/// the values of its other reads have to wait in the gateway. Guards against buffering more values
/// than the memory budget allows, and against losing the replies that had to wait for room.
#[test]
fn values_that_wait_for_an_earlier_reply_do_not_exceed_their_budget() {
    let cluster = TestCluster::start_with(with_32_mib_of_memory);
    let value = "v".repeat(MAX_VALUE_BYTES);
    let response_count = cluster.node_b.respond_in_background(&value);
    let mut clients: Vec<_> = (0..PIPELINED_CLIENT_COUNT)
        .map(|client| {
            let requests = (0..PIPELINED_COMMAND_COUNT).map(|number| {
                let request = encode_read_request(&format!("r{client}-{number}"));
                let shard = usize::from(number > 0);
                request.replace("shard=0", &format!("shard={shard}"))
            });
            cluster
                .gateway
                .connect_and_send(requests.collect::<String>())
        })
        .collect();

    // Node A has accepted no connection yet, so that each client's first read has no response.
    wait_until(Instant::now() + OBSERVATION_TIME);
    let waiting_bytes = response_count.load(Ordering::SeqCst) * MAX_VALUE_BYTES;
    assert!(
        waiting_bytes <= REPLY_BUDGET_BYTES,
        "{waiting_bytes} bytes of values wait in the gateway"
    );

    cluster.node_a.respond_in_background("first");
    for client in &mut clients {
        client.expect_value("first");
        for _ in 1..PIPELINED_COMMAND_COUNT {
            client.expect_value(&value);
        }
    }
}
