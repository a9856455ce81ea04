//! The words of the protocols and settings, for the rig.

use crate::record::NodeStatus;
use std::time::Duration;

/// The command that a gateway sends to a node as a barrier.
pub(super) const BARRIER: &str = "SELECT";

/// Returns the word for the status of a node in the endpoint list.
pub(super) fn status_word(status: NodeStatus) -> &'static str {
    match status {
        NodeStatus::InService => "in_service",
        NodeStatus::Draining => "terminating",
        NodeStatus::Removed => "terminated",
    }
}

/// Returns the entry of a node in the endpoint list.
pub(super) fn endpoint_entry(
    name: &str,
    address: &str,
    shard: usize,
    status: NodeStatus,
) -> String {
    let status = status_word(status);
    let place = format!(r#""address":"{address}","zone":"a","group":{shard}"#);
    format!(r#"{{"name":"{name}",{place},"status":"{status}","since_ms":0}}"#)
}

/// Returns an update of the endpoint list as one line.
pub(super) fn list_update(version: u64, is_snapshot: bool, entries: &[String]) -> String {
    let entries = entries.join(",");
    format!(r#"{{"index":{version},"snapshot":{is_snapshot},"endpoints":[{entries}]}}"#)
}

/// A request of a client.
#[derive(Clone, Debug)]
pub(super) struct RequestText {
    /// The id.
    pub(super) id: String,
    /// Whether it writes a new object.
    pub(super) is_write: bool,
    /// How long the client waits.
    pub(super) timeout: Duration,
    /// The shard that it reads from.
    pub(super) shard: usize,
    /// The number of gateways.
    pub(super) hosts: usize,
}

impl RequestText {
    /// Encodes the request as a RESP2 command.
    pub(super) fn encode(&self) -> String {
        let RequestText {
            id,
            is_write,
            timeout,
            shard,
            hosts,
        } = self;
        let timeout = timeout.as_millis();
        let (command, class) = if *is_write {
            ("IO.OUT", "write")
        } else {
            ("IO.IN", "read")
        };
        let shard = if *is_write {
            "-1".to_owned()
        } else {
            shard.to_string()
        };
        let object = format!("{:016x}", id.len() + shard.len());
        let size = format!("units=1,shard={shard},hosts={hosts}");
        let options = format!("c={class},t=gold,d={timeout},volume=00000000000000a1,{size}");
        let mut words = vec![command, &object, id, &options];
        if *is_write {
            words.push("body");
        }
        let mut text = format!("*{}\r\n", words.len());
        for word in words {
            text += &format!("${}\r\n{word}\r\n", word.len());
        }
        text
    }
}

/// Returns the value that a node makes for a request.
pub(super) fn value_for(request: &str) -> String {
    format!("value-{request}")
}

/// Returns the time that a forwarded request states in its options.
pub(super) fn stated_timeout(options: &str) -> Duration {
    let stated = options
        .split(',')
        .find_map(|option| option.strip_prefix("d="));
    let stated = stated.and_then(|text| text.parse().ok());
    Duration::from_millis(stated.unwrap_or_default())
}
