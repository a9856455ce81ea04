//! SFTP packets as words of a scenario, such as `open /notes/monday 26` or `status 2`.

use super::message::{DecodedMessage, Message};
use std::fmt::Write as _;
use storage_gateway::sftp_packet::{decode_packet, packet_type, Fields, Packet};

/// The first bytes of a packet that is never completed.
const INCOMPLETE_PACKET: [u8; 5] = [0, 0, 0, 9, 1];

/// Decodes the first packet; `None` until it is complete.
pub fn decode(input: &[u8]) -> Option<DecodedMessage> {
    let mut length = 0;
    let packet = decode_packet(input, &mut length).expect("a well-formed packet")?;
    let message = describe(packet.type_byte, packet.fields);
    Some(DecodedMessage { message, length })
}

fn describe(packet_kind: u8, mut fields: Fields<'_>) -> Message {
    // INIT and VERSION carry the version in the place of an id.
    let request_id = fields.u32().expect("an id or a version");
    let fields = &mut fields;
    let text = match packet_kind {
        packet_type::INIT => format!("init {request_id}"),
        packet_type::VERSION => format!("version {request_id}"),
        packet_type::OPEN => format!("open {} {}", take_text(fields), take_u32(fields)),
        packet_type::CLOSE => format!("close {}", take_handle(fields)),
        packet_type::READ => {
            format!(
                "read {} {} {}",
                take_handle(fields),
                take_u64(fields),
                take_u32(fields)
            )
        }
        packet_type::WRITE => {
            format!(
                "write {} {} {}",
                take_handle(fields),
                take_u64(fields),
                take_text(fields)
            )
        }
        packet_type::STAT => format!("stat {}", take_text(fields)),
        packet_type::OPENDIR => format!("opendir {}", take_text(fields)),
        packet_type::READDIR => format!("readdir {}", take_handle(fields)),
        packet_type::STATUS => format!("status {} {}", take_u32(fields), take_text(fields)),
        packet_type::HANDLE => format!("handle {}", take_handle(fields)),
        packet_type::DATA => format!("data {}", take_text(fields)),
        packet_type::ATTRS => format!("attrs {:?}", take_size(fields)),
        packet_type::NAME => describe_names(fields),
        other => format!("type {other}"),
    };
    Message { text, request_id }
}

fn describe_names(fields: &mut Fields<'_>) -> String {
    let mut text = "name".to_owned();
    for _ in 0..take_u32(fields) {
        let name = take_text(fields);
        let _long_name = take_text(fields);
        let size = take_size(fields);
        let _ = write!(text, " {name}:{size:?}");
    }
    text
}

fn take_u32(fields: &mut Fields<'_>) -> u32 {
    fields.u32().expect("a number of 32 bits")
}

fn take_u64(fields: &mut Fields<'_>) -> u64 {
    fields.u64().expect("a number of 64 bits")
}

fn take_text(fields: &mut Fields<'_>) -> String {
    String::from_utf8_lossy(fields.string().expect("a string")).into_owned()
}

fn take_size(fields: &mut Fields<'_>) -> Option<u64> {
    fields.attributes().expect("attributes")
}

/// The gateway's handles are numbers in four bytes; those of stand-in nodes are text.
fn take_handle(fields: &mut Fields<'_>) -> String {
    let bytes = fields.string().expect("a handle");
    match <[u8; 4]>::try_from(bytes) {
        Ok(number) => u32::from_be_bytes(number).to_string(),
        Err(_) => String::from_utf8_lossy(bytes).into_owned(),
    }
}

/// Encodes the packet that words of a scenario stand for.
pub fn encode(words: &[&str], request_id: u32) -> Vec<u8> {
    let arguments = Arguments(&words[1..]);
    let start = |packet_kind| Packet::with_id(packet_kind, request_id);
    let packet = match words[0] {
        "half" => return INCOMPLETE_PACKET.to_vec(),
        "init" => Packet::new(packet_type::INIT).u32(3),
        "version" => Packet::new(packet_type::VERSION).u32(3),
        "open" => start(packet_type::OPEN)
            .string(arguments.text(0))
            .u32(arguments.number(1))
            .u32(0),
        "close" => arguments.append_handle(start(packet_type::CLOSE)),
        "read" => {
            let packet = arguments.append_handle(start(packet_type::READ));
            packet
                .u64(u64::from(arguments.number(1)))
                .u32(arguments.number(2))
        }
        "write" => {
            let packet = arguments.append_handle(start(packet_type::WRITE));
            packet
                .u64(u64::from(arguments.number(1)))
                .string(arguments.joined_from(2))
        }
        "fstat" => arguments.append_handle(start(packet_type::FSTAT)),
        "stat" => start(packet_type::STAT).string(arguments.text(0)),
        "lstat" => start(packet_type::LSTAT).string(arguments.text(0)),
        "opendir" => start(packet_type::OPENDIR).string(arguments.text(0)),
        "readdir" => arguments.append_handle(start(packet_type::READDIR)),
        "realpath" => start(packet_type::REALPATH).string(arguments.text(0)),
        "status" => start(packet_type::STATUS)
            .u32(arguments.number(0))
            .string("")
            .string(""),
        "handle" => arguments.append_handle(start(packet_type::HANDLE)),
        "data" => start(packet_type::DATA).string(arguments.joined_from(0)),
        "attrs" => start(packet_type::ATTRS).attributes(Some(u64::from(arguments.number(0)))),
        "type" => start(u8::try_from(arguments.number(0)).expect("a packet type")),
        "name" => arguments.append_names(start(packet_type::NAME)),
        other => panic!("no packet is called {other}"),
    };
    packet.finish()
}

/// The words after a packet's name.
struct Arguments<'a>(&'a [&'a str]);

impl Arguments<'_> {
    fn text(&self, index: usize) -> &str {
        self.0[index]
    }

    fn number(&self, index: usize) -> u32 {
        self.text(index).parse().expect("a number")
    }

    fn joined_from(&self, index: usize) -> String {
        self.0[index..].join(" ")
    }

    /// The first argument as a handle (see [`take_handle`]).
    fn append_handle(&self, packet: Packet) -> Packet {
        match self.text(0).parse::<u32>() {
            Ok(number) => packet.string(number.to_be_bytes()),
            Err(_) => packet.string(self.text(0)),
        }
    }

    /// All arguments, each `NAME:SIZE`, as the entries of a folder.
    fn append_names(&self, packet: Packet) -> Packet {
        let count = u32::try_from(self.0.len()).expect("few names");
        let mut packet = packet.u32(count);
        for entry in self.0 {
            let (name, size) = entry.split_once(':').expect("NAME:SIZE");
            packet = packet
                .string(name)
                .string(name)
                .attributes(size.parse().ok());
        }
        packet
    }
}
