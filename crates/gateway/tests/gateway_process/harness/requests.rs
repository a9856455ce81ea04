//! Encodes the storage requests of test clients and the responses of fake nodes.

use super::resp::encode_command;

/// The bytes of a request, split into two parts that are sent separately.
pub struct SplitRequest {
    /// The first half, which is not a complete command.
    pub first_half: String,
    /// The rest of the request.
    pub second_half: String,
}

impl SplitRequest {
    /// Splits a request in the middle.
    pub fn new(request: &str) -> Self {
        let (first_half, second_half) = request.split_at(request.len() / 2);
        Self {
            first_half: first_half.to_owned(),
            second_half: second_half.to_owned(),
        }
    }
}

/// A read from shard 0 with a deadline of 5 s.
pub fn encode_read_request(id: &str) -> String {
    encode_read_request_with_deadline(id, 5_000)
}

/// A read from shard 0 with the given deadline in milliseconds.
pub fn encode_read_request_with_deadline(id: &str, deadline_ms: u32) -> String {
    encode_command(&format!(
        "IO.IN 7f3a9c21e0b4d655 {id} \
         c=read,t=gold,d={deadline_ms},volume=00000000000000a1,units=2,shard=0,hosts=1"
    ))
}

/// A read from shard 0 of a different object than that of [`encode_read_request`]. A read of the
/// same object would count as a client's retry and keep the latency objective of the earlier read.
pub fn encode_read_request_for_another_object(id: &str) -> String {
    encode_read_request(id).replace("7f3a9c21e0b4d655", "7f3a9c21e0b4d657")
}

/// A read of a volume from a shard with a deadline of 1 ms.
pub fn encode_brief_read_request(id: &str, volume: u64, shard: u64) -> String {
    encode_command(&format!(
        "IO.IN 7f3a9c21e0b4d655 {id} \
         c=read,t=gold,d=1,volume={volume:016x},units=2,shard={shard},hosts=1"
    ))
}

/// A read from shard 0 with an additional parameter of an unknown name, whose value has this many
/// bytes.
pub fn encode_read_request_with_long_list(id: &str, value_bytes: usize) -> String {
    let value = "v".repeat(value_bytes);
    encode_command(&format!(
        "IO.IN 7f3a9c21e0b4d655 {id} \
         c=read,t=gold,d=5000,volume=00000000000000a1,units=2,shard=0,hosts=1,unknown={value}"
    ))
}

/// A read of a class that the settings do not define.
pub fn encode_read_request_of_unknown_class(id: &str) -> String {
    encode_command(&format!(
        "IO.IN 7f3a9c21e0b4d655 {id} c=none,t=gold,d=5000,volume=00000000000000a1,shard=0"
    ))
}

/// A read of a class that the settings do not define, with this many parameters of unknown names.
pub fn encode_read_request_with_unknown_parameters(id: &str, count: usize) -> String {
    let unknown: String = (0..count).map(|number| format!(",x{number:x}=")).collect();
    encode_command(&format!("IO.IN 7f3a9c21e0b4d655 {id} c=none{unknown}"))
}

/// A write of a new object, which any node may store (`shard=-1`).
pub fn encode_write_request(id: &str) -> String {
    encode_command(&format!(
        "IO.OUT 7f3a9c21e0b4d656 {id} \
         c=write,t=gold,d=5000,volume=00000000000000a1,units=2,shard=-1,hosts=1 note"
    ))
}

/// A write of a new object with a body of this many bytes, for node A or B.
pub fn encode_write_request_with_body(id: &str, body_bytes: usize) -> String {
    let body = "w".repeat(body_bytes);
    let arguments = format!(
        "IO.OUT 7f3a9c21e0b4d656 {id} \
         c=write,t=gold,d=5000,volume=00000000000000a1,units=2,shard=0,hosts=1 {body}"
    );
    encode_command(&arguments)
}

/// A node's successful response with a value and null for the usage report and the load report.
pub fn encode_value_response(value: &str) -> String {
    format!("*3\r\n${}\r\n{value}\r\n$-1\r\n$-1\r\n", value.len())
}

/// The deadline in milliseconds of a request that the gateway has forwarded to a node.
pub fn forwarded_deadline_ms(request: &str) -> u128 {
    let (_, options) = request
        .split_once(",d=")
        .expect("the request should have a deadline");
    let deadline = options
        .split(',')
        .next()
        .expect("`split` should return at least one item");
    deadline
        .parse()
        .expect("the deadline should be a whole number of milliseconds")
}
