//! Encoding of packets.

use super::attributes::{
    FileAttributes, DIRECTORY_MODE, HAS_PERMISSIONS, HAS_SIZE, REGULAR_FILE_MODE,
};
use super::packet_type::PacketType;
use super::reader::LENGTH_FIELD_BYTES;
use super::request_id::RequestId;
use super::status_code::StatusCode;

/// A packet being encoded. Fields are appended in order; [`Packet::finish`] sets the length field.
#[must_use]
#[derive(Clone, Debug)]
pub struct Packet {
    /// The encoded packet. Its length field is zero until [`Packet::finish`].
    bytes: Vec<u8>,
}

impl Packet {
    /// Starts a packet of a type without a request id: `INIT` or `VERSION`.
    pub fn new(packet_type: PacketType) -> Packet {
        let mut bytes = vec![0; LENGTH_FIELD_BYTES];
        bytes.push(packet_type.0);
        Packet { bytes }
    }

    /// Starts a packet with a request id, which all types except `INIT` and `VERSION` have.
    pub fn with_id(packet_type: PacketType, id: RequestId) -> Packet {
        Packet::new(packet_type).u32(id.0)
    }

    /// Appends a 32-bit integer.
    pub fn u32(mut self, number: u32) -> Packet {
        self.bytes.extend_from_slice(&number.to_be_bytes());
        self
    }

    /// Appends a 64-bit integer.
    pub fn u64(mut self, number: u64) -> Packet {
        self.bytes.extend_from_slice(&number.to_be_bytes());
        self
    }

    /// Appends a byte string, preceded by its length as a 32-bit integer.
    pub fn string(self, text: impl AsRef<[u8]>) -> Packet {
        let text = text.as_ref();
        let mut packet = self.u32(text.len() as u32);
        packet.bytes.extend_from_slice(text);
        packet
    }

    /// Appends file attributes.
    pub fn attributes(self, attributes: FileAttributes) -> Packet {
        match attributes {
            FileAttributes::RegularFile { size } => self
                .u32(HAS_SIZE | HAS_PERMISSIONS)
                .u64(size)
                .u32(REGULAR_FILE_MODE),
            FileAttributes::Directory => self.u32(HAS_PERMISSIONS).u32(DIRECTORY_MODE),
        }
    }

    /// Sets the length field and returns the encoded packet.
    #[must_use]
    pub fn finish(mut self) -> Vec<u8> {
        let length = (self.bytes.len() - LENGTH_FIELD_BYTES) as u32;
        self.bytes[..LENGTH_FIELD_BYTES].copy_from_slice(&length.to_be_bytes());
        self.bytes
    }
}

/// Encodes a `STATUS` reply to the request `id`. The language tag of `message` is `en`.
#[must_use]
pub fn encode_status(id: RequestId, code: StatusCode, message: &str) -> Vec<u8> {
    Packet::with_id(PacketType::STATUS, id)
        .u32(code as u32)
        .string(message)
        .string("en")
        .finish()
}
