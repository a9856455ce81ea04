//! Decoding of packets from an input buffer, and of the fields of a packet.

use super::attributes::{HAS_EXTENSIONS, HAS_OWNER, HAS_PERMISSIONS, HAS_SIZE, HAS_TIMES};
use super::packet_type::PacketType;
use super::request_id::RequestId;
use crate::storage_request::MAX_VALUE_BYTES;

/// Bytes of the length field before each packet.
pub(super) const LENGTH_FIELD_BYTES: usize = 4;
/// Longest accepted packet in bytes, without its length field: one object and the fields around
/// it.
pub const MAX_PACKET_LENGTH: usize = MAX_VALUE_BYTES + (4 << 10);

/// Bytes of the user and group ids in file attributes.
const OWNER_BYTES: usize = 8;
/// Bytes of the permissions in file attributes.
const PERMISSIONS_BYTES: usize = 4;
/// Bytes of the access and modification times in file attributes.
const TIMES_BYTES: usize = 8;

/// The input is not a valid packet: it is empty, longer than [`MAX_PACKET_LENGTH`], or has a field
/// that reaches beyond its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("malformed packet")]
pub struct MalformedPacket;

/// A packet that was decoded up to its fields.
#[derive(Clone, Copy, Debug)]
pub struct DecodedPacket<'a> {
    /// Type of the packet.
    pub packet_type: PacketType,
    /// The fields, which follow the type byte.
    pub fields: Fields<'a>,
}

/// Decodes the packet of `input` that starts at `position`, and moves `position` past it. Returns
/// `None`, with `position` unchanged, until the packet is complete.
///
/// # Errors
///
/// [`MalformedPacket`] if the length field is zero or above [`MAX_PACKET_LENGTH`].
pub fn decode_packet<'a>(
    input: &'a [u8],
    position: &mut usize,
) -> Result<Option<DecodedPacket<'a>>, MalformedPacket> {
    let rest = &input[*position..];
    let Some(length_field) = rest.first_chunk::<LENGTH_FIELD_BYTES>() else {
        return Ok(None);
    };
    let length = u32::from_be_bytes(*length_field) as usize;
    if length > MAX_PACKET_LENGTH {
        return Err(MalformedPacket);
    }
    let end = LENGTH_FIELD_BYTES + length;
    let Some(payload) = rest.get(LENGTH_FIELD_BYTES..end) else {
        return Ok(None);
    };
    let Some((type_byte, fields)) = payload.split_first() else {
        return Err(MalformedPacket);
    };
    *position += end;
    Ok(Some(DecodedPacket {
        packet_type: PacketType(*type_byte),
        fields: Fields { rest: fields },
    }))
}

/// The fields of one packet, decoded in order from the front.
#[derive(Clone, Copy, Debug)]
pub struct Fields<'a> {
    /// The fields that are not decoded yet.
    rest: &'a [u8],
}

impl<'a> Fields<'a> {
    /// Takes the next `length` bytes.
    fn bytes(&mut self, length: usize) -> Result<&'a [u8], MalformedPacket> {
        let (bytes, rest) = self.rest.split_at_checked(length).ok_or(MalformedPacket)?;
        self.rest = rest;
        Ok(bytes)
    }

    /// Takes the next `N` bytes as an array.
    fn array<const N: usize>(&mut self) -> Result<[u8; N], MalformedPacket> {
        let (array, rest) = self.rest.split_first_chunk().ok_or(MalformedPacket)?;
        self.rest = rest;
        Ok(*array)
    }

    /// Takes a 32-bit number.
    ///
    /// # Errors
    ///
    /// [`MalformedPacket`] if the packet ends within the field.
    pub fn u32(&mut self) -> Result<u32, MalformedPacket> {
        self.array().map(u32::from_be_bytes)
    }

    /// Takes a 64-bit number.
    ///
    /// # Errors
    ///
    /// [`MalformedPacket`] if the packet ends within the field.
    pub fn u64(&mut self) -> Result<u64, MalformedPacket> {
        self.array().map(u64::from_be_bytes)
    }

    /// Takes a request id.
    ///
    /// # Errors
    ///
    /// [`MalformedPacket`] if the packet ends within the field.
    pub fn request_id(&mut self) -> Result<RequestId, MalformedPacket> {
        self.u32().map(RequestId)
    }

    /// Takes a byte string with its 32-bit length in front.
    ///
    /// # Errors
    ///
    /// [`MalformedPacket`] if the packet ends within the field.
    pub fn string(&mut self) -> Result<&'a [u8], MalformedPacket> {
        let length = self.u32()? as usize;
        self.bytes(length)
    }

    /// Takes file attributes and returns the file's size in bytes, if they contain it.
    ///
    /// # Errors
    ///
    /// [`MalformedPacket`] if the packet ends within the attributes.
    pub fn attributes(&mut self) -> Result<Option<u64>, MalformedPacket> {
        let flags = self.u32()?;
        let size = if flags & HAS_SIZE != 0 {
            Some(self.u64()?)
        } else {
            None
        };
        for (flag, length) in [
            (HAS_OWNER, OWNER_BYTES),
            (HAS_PERMISSIONS, PERMISSIONS_BYTES),
            (HAS_TIMES, TIMES_BYTES),
        ] {
            if flags & flag != 0 {
                self.bytes(length)?;
            }
        }
        if flags & HAS_EXTENSIONS != 0 {
            self.skip_extensions()?;
        }
        Ok(size)
    }

    /// Skips a counted list of extension pairs (type and data).
    fn skip_extensions(&mut self) -> Result<(), MalformedPacket> {
        for _ in 0..self.u32()? {
            self.string()?;
            self.string()?;
        }
        Ok(())
    }
}
