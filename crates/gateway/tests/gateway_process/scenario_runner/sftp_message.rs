//! SFTP packets as words of a scenario, such as `open /notes/monday 26` or `status 2`.

use super::message::{DecodedMessage, Message};
use std::fmt::Write as _;
use storage_gateway::sftp_packet::{
    decode_packet, Fields, FileAttributes, Packet, PacketType, RequestId,
};

/// The first bytes of a packet that is never completed.
const INCOMPLETE_PACKET: [u8; 5] = [0, 0, 0, 9, 1];

/// Decodes the first packet; `None` until it is complete.
pub fn decode(input: &[u8]) -> Option<DecodedMessage> {
    let mut length = 0;
    let packet = decode_packet(input, &mut length).expect("a well-formed packet")?;
    let message = describe(packet.packet_type, packet.fields);
    Some(DecodedMessage { message, length })
}

fn describe(packet_type: PacketType, mut fields: Fields<'_>) -> Message {
    // INIT and VERSION carry the version in the place of an id.
    let request_id = fields.u32().expect("an id or a version");
    let fields = &mut fields;
    let text = match packet_type {
        PacketType::INIT => format!("init {request_id}"),
        PacketType::VERSION => format!("version {request_id}"),
        PacketType::OPEN => format!("open {} {}", take_text(fields), take_u32(fields)),
        PacketType::CLOSE => format!("close {}", take_handle(fields)),
        PacketType::READ => {
            format!(
                "read {} {} {}",
                take_handle(fields),
                take_u64(fields),
                take_u32(fields)
            )
        }
        PacketType::WRITE => {
            format!(
                "write {} {} {}",
                take_handle(fields),
                take_u64(fields),
                take_text(fields)
            )
        }
        PacketType::STAT => format!("stat {}", take_text(fields)),
        PacketType::OPENDIR => format!("opendir {}", take_text(fields)),
        PacketType::READDIR => format!("readdir {}", take_handle(fields)),
        PacketType::STATUS => format!("status {} {}", take_u32(fields), take_text(fields)),
        PacketType::HANDLE => format!("handle {}", take_handle(fields)),
        PacketType::DATA => format!("data {}", take_text(fields)),
        PacketType::ATTRS => format!("attrs {:?}", take_size(fields)),
        PacketType::NAME => describe_names(fields),
        PacketType(other) => format!("type {other}"),
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
    let start = |packet_type| Packet::with_id(packet_type, RequestId(request_id));
    let packet = match words[0] {
        "half" => return INCOMPLETE_PACKET.to_vec(),
        "init" => Packet::new(PacketType::INIT).u32(3),
        "version" => Packet::new(PacketType::VERSION).u32(3),
        "open" => start(PacketType::OPEN)
            .string(arguments.text(0))
            .u32(arguments.number(1))
            .u32(0),
        "close" => arguments.append_handle(start(PacketType::CLOSE)),
        "read" => {
            let packet = arguments.append_handle(start(PacketType::READ));
            packet
                .u64(u64::from(arguments.number(1)))
                .u32(arguments.number(2))
        }
        "write" => {
            let packet = arguments.append_handle(start(PacketType::WRITE));
            packet
                .u64(u64::from(arguments.number(1)))
                .string(arguments.joined_from(2))
        }
        "fstat" => arguments.append_handle(start(PacketType::FSTAT)),
        "stat" => start(PacketType::STAT).string(arguments.text(0)),
        "lstat" => start(PacketType::LSTAT).string(arguments.text(0)),
        "opendir" => start(PacketType::OPENDIR).string(arguments.text(0)),
        "readdir" => arguments.append_handle(start(PacketType::READDIR)),
        "realpath" => start(PacketType::REALPATH).string(arguments.text(0)),
        "status" => start(PacketType::STATUS)
            .u32(arguments.number(0))
            .string("")
            .string(""),
        "handle" => arguments.append_handle(start(PacketType::HANDLE)),
        "data" => start(PacketType::DATA).string(arguments.joined_from(0)),
        "attrs" => start(PacketType::ATTRS).attributes(FileAttributes::RegularFile {
            size: u64::from(arguments.number(0)),
        }),
        "type" => start(PacketType(
            u8::try_from(arguments.number(0)).expect("a packet type"),
        )),
        "name" => arguments.append_names(start(PacketType::NAME)),
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
            let attributes = match size.parse() {
                Ok(size) => FileAttributes::RegularFile { size },
                Err(_) => FileAttributes::Directory,
            };
            packet = packet.string(name).string(name).attributes(attributes);
        }
        packet
    }
}
