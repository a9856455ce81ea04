//! Converts SFTP packets from and to the words of a scenario, such as `open /notes/monday 26` or
//! `status 2`.

use super::message::{DecodedMessage, Message};
use std::fmt::Write as _;
use storage_gateway::sftp_packet::{
    decode_packet, Fields, FileAttributes, Packet, PacketType, RequestId,
};

/// The first bytes of a packet of 9 bytes, of which the rest is never sent.
const INCOMPLETE_PACKET: [u8; 5] = [0, 0, 0, 9, 1];

/// Decodes the first packet of the input. Returns `None` if it is incomplete.
pub fn decode(input: &[u8]) -> Option<DecodedMessage> {
    let mut length = 0;
    let packet = decode_packet(input, &mut length).expect("the packet should be well-formed")?;
    let message = format_packet(packet.packet_type, packet.fields);
    Some(DecodedMessage { message, length })
}

fn format_packet(packet_type: PacketType, mut fields: Fields<'_>) -> Message {
    // INIT and VERSION have the protocol version in place of a request id.
    let request_id = fields
        .u32()
        .expect("the packet should contain a request id or a version");
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
        PacketType::NAME => format_names(fields),
        PacketType(other) => format!("type {other}"),
    };
    Message { text, request_id }
}

fn format_names(fields: &mut Fields<'_>) -> String {
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
    fields
        .u32()
        .expect("the packet should contain a number of 32 bits")
}

fn take_u64(fields: &mut Fields<'_>) -> u64 {
    fields
        .u64()
        .expect("the packet should contain a number of 64 bits")
}

fn take_text(fields: &mut Fields<'_>) -> String {
    String::from_utf8_lossy(fields.string().expect("the packet should contain a string"))
        .into_owned()
}

fn take_size(fields: &mut Fields<'_>) -> Option<u64> {
    fields
        .attributes()
        .expect("the packet should contain attributes")
}

/// The gateway's handles are 4-byte numbers; the handles of fake nodes are text.
fn take_handle(fields: &mut Fields<'_>) -> String {
    let bytes = fields.string().expect("the packet should contain a handle");
    match <[u8; 4]>::try_from(bytes) {
        Ok(number) => u32::from_be_bytes(number).to_string(),
        Err(_) => String::from_utf8_lossy(bytes).into_owned(),
    }
}

/// Encodes the packet that the words describe: its type, then its fields.
pub fn encode(words: &[&str], request_id: u32) -> Vec<u8> {
    let arguments = Arguments(&words[1..]);
    let new_packet = |packet_type| Packet::with_id(packet_type, RequestId(request_id));
    let packet = match words[0] {
        "incomplete_packet" => return INCOMPLETE_PACKET.to_vec(),
        "init" => Packet::new(PacketType::INIT).u32(3),
        "version" => Packet::new(PacketType::VERSION).u32(3),
        "open" => new_packet(PacketType::OPEN)
            .string(arguments.text(0))
            .u32(arguments.number(1))
            .u32(0),
        "close" => arguments.append_handle(new_packet(PacketType::CLOSE)),
        "read" => {
            let packet = arguments.append_handle(new_packet(PacketType::READ));
            packet
                .u64(u64::from(arguments.number(1)))
                .u32(arguments.number(2))
        }
        "write" => {
            let packet = arguments.append_handle(new_packet(PacketType::WRITE));
            packet
                .u64(u64::from(arguments.number(1)))
                .string(arguments.joined_from(2))
        }
        "fstat" => arguments.append_handle(new_packet(PacketType::FSTAT)),
        "stat" => new_packet(PacketType::STAT).string(arguments.text(0)),
        "lstat" => new_packet(PacketType::LSTAT).string(arguments.text(0)),
        "opendir" => new_packet(PacketType::OPENDIR).string(arguments.text(0)),
        "readdir" => arguments.append_handle(new_packet(PacketType::READDIR)),
        "realpath" => new_packet(PacketType::REALPATH).string(arguments.text(0)),
        "status" => new_packet(PacketType::STATUS)
            .u32(arguments.number(0))
            .string("")
            .string(""),
        "handle" => arguments.append_handle(new_packet(PacketType::HANDLE)),
        "data" => new_packet(PacketType::DATA).string(arguments.joined_from(0)),
        "attrs" => new_packet(PacketType::ATTRS).attributes(FileAttributes::RegularFile {
            size: u64::from(arguments.number(0)),
        }),
        "type" => new_packet(PacketType(
            u8::try_from(arguments.number(0)).expect("the packet type should fit in 8 bits"),
        )),
        "name" => arguments.append_names(new_packet(PacketType::NAME)),
        other => panic!("unknown packet type: {other}"),
    };
    packet.finish()
}

/// The fields of a packet: the words after its type.
struct Arguments<'a>(&'a [&'a str]);

impl Arguments<'_> {
    fn text(&self, index: usize) -> &str {
        self.0[index]
    }

    fn number(&self, index: usize) -> u32 {
        self.text(index)
            .parse()
            .expect("the argument should be a number")
    }

    fn joined_from(&self, index: usize) -> String {
        self.0[index..].join(" ")
    }

    /// Appends the first argument as a handle (see [`take_handle`]).
    fn append_handle(&self, packet: Packet) -> Packet {
        match self.text(0).parse::<u32>() {
            Ok(number) => packet.string(number.to_be_bytes()),
            Err(_) => packet.string(self.text(0)),
        }
    }

    /// Appends all arguments, each `NAME:SIZE`, as directory entries. Without a numeric size, the
    /// entry is a directory.
    fn append_names(&self, packet: Packet) -> Packet {
        let count = u32::try_from(self.0.len()).expect("the count should fit in 32 bits");
        let mut packet = packet.u32(count);
        for entry in self.0 {
            let (name, size) = entry
                .split_once(':')
                .expect("the entry should have the form NAME:SIZE");
            let attributes = match size.parse() {
                Ok(size) => FileAttributes::RegularFile { size },
                Err(_) => FileAttributes::Directory,
            };
            packet = packet.string(name).string(name).attributes(attributes);
        }
        packet
    }
}
