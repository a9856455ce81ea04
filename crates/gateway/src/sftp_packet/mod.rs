//! Codec for packets of the SSH File Transfer Protocol, version 3 (draft-ietf-secsh-filexfer-02),
//! on a plain stream without the SSH transport.
//!
//! The client protocol, in which the gateway is the SFTP server, and the node protocol, in which it
//! is the SFTP client, share this codec. A packet consists of a 32-bit length, a type byte
//! ([`PacketType`]) and the fields of that type. All integers are big-endian. [`decode_packet`] and
//! [`Fields`] decode packets; [`Packet`] and [`encode_status`] encode them.

mod attributes;
mod builder;
mod open_flags;
mod packet_type;
mod reader;
mod request_id;
mod status_code;

pub use attributes::FileAttributes;
pub use builder::{encode_status, Packet};
pub use open_flags::OpenFlags;
pub use packet_type::PacketType;
pub use reader::{decode_packet, DecodedPacket, Fields, MalformedPacket, MAX_PACKET_LENGTH};
pub use request_id::RequestId;
pub use status_code::StatusCode;

/// The protocol version that the gateway announces, both as server and as client.
pub const VERSION: u32 = 3;
