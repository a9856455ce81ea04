//! Encoding of packets, field by field.

use super::{packet_type, StatusCode, ATTRIBUTE_PERMISSIONS, ATTRIBUTE_SIZE};

/// A packet under construction: fields are appended in order, [`Packet::finish`] sets the length.
#[must_use]
#[derive(Clone, Debug)]
pub struct Packet {
    /// The encoded packet; its length field is zero until [`Packet::finish`].
    bytes: Vec<u8>,
}

impl Packet {
    /// Starts a packet of a type (see [`packet_type`]).
    pub fn new(type_byte: u8) -> Packet {
        Packet {
            bytes: vec![0, 0, 0, 0, type_byte],
        }
    }

    /// Starts a packet with a request id, as all types but `INIT` and `VERSION` have one.
    pub fn with_id(type_byte: u8, id: u32) -> Packet {
        Packet::new(type_byte).u32(id)
    }

    /// Appends a 32-bit number.
    pub fn u32(mut self, number: u32) -> Packet {
        self.bytes.extend_from_slice(&number.to_be_bytes());
        self
    }

    /// Appends a 64-bit number.
    pub fn u64(mut self, number: u64) -> Packet {
        self.bytes.extend_from_slice(&number.to_be_bytes());
        self
    }

    /// Appends a byte string with its 32-bit length in front.
    pub fn string(mut self, text: impl AsRef<[u8]>) -> Packet {
        let text = text.as_ref();
        self.bytes
            .extend_from_slice(&(text.len() as u32).to_be_bytes());
        self.bytes.extend_from_slice(text);
        self
    }

    /// Appends file attributes: those of a regular file of `size` bytes, or of a directory if `size` is `None`.
    pub fn attributes(self, size: Option<u64>) -> Packet {
        // File type and permission bits, as in `st_mode` of POSIX.
        const REGULAR_FILE: u32 = 0o100_644;
        const DIRECTORY: u32 = 0o040_755;
        match size {
            Some(size) => self
                .u32(ATTRIBUTE_SIZE | ATTRIBUTE_PERMISSIONS)
                .u64(size)
                .u32(REGULAR_FILE),
            None => self.u32(ATTRIBUTE_PERMISSIONS).u32(DIRECTORY),
        }
    }

    /// Sets the length field and returns the encoded packet.
    #[must_use]
    pub fn finish(mut self) -> Vec<u8> {
        let length = (self.bytes.len() - 4) as u32;
        self.bytes[..4].copy_from_slice(&length.to_be_bytes());
        self.bytes
    }
}

/// Encodes a `STATUS` reply to the request `id`, with `message` in the language `en`.
#[must_use]
pub fn encode_status(id: u32, code: StatusCode, message: &str) -> Vec<u8> {
    Packet::with_id(packet_type::STATUS, id)
        .u32(code as u32)
        .string(message)
        .string("en")
        .finish()
}
