//! Races of pipelined commands: a client sends further commands before it has the replies to the
//! earlier ones.

use crate::harness::cluster::{serve_request, TestCluster};
use crate::harness::requests::encode_read_request;
use crate::harness::resp::encode_command;

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
