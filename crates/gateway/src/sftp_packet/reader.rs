//! Decoding of packets and of their fields.

use super::attributes::{HAS_EXTENSIONS, HAS_OWNER, HAS_PERMISSIONS, HAS_SIZE, HAS_TIMES};
use super::packet_type::PacketType;
use super::request_id::RequestId;
use crate::storage_request::MAX_VALUE_BYTES;

/// Length in bytes of the length field at the start of each packet.
pub(super) const LENGTH_FIELD_BYTES: usize = 4;
/// Maximum length of an accepted packet in bytes, without its length field: the largest object and
/// the fields around it.
pub const MAX_PACKET_LENGTH: usize = MAX_VALUE_BYTES + (4 << 10);

/// Length in bytes of the user and group ids in file attributes.
const OWNER_BYTES: usize = 8;
/// Length in bytes of the permissions in file attributes.
const PERMISSIONS_BYTES: usize = 4;
/// Length in bytes of the access and modification times in file attributes.
const TIMES_BYTES: usize = 8;

/// The input is not a valid packet: the packet is empty or longer than [`MAX_PACKET_LENGTH`], or
/// one of its fields extends beyond its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("malformed packet")]
pub struct MalformedPacket;

/// A complete packet with its type decoded. Its fields are decoded by [`Fields`].
#[derive(Clone, Copy, Debug)]
pub struct DecodedPacket<'a> {
    /// Type of the packet.
    pub packet_type: PacketType,
    /// The fields, which follow the type byte.
    pub fields: Fields<'a>,
}

/// Decodes the packet that starts at `position` of `input`, and moves `position` past it. Returns
/// `None` and leaves `position` unchanged if the packet is incomplete.
///
/// # Errors
///
/// Returns [`MalformedPacket`] if the length field is zero or above [`MAX_PACKET_LENGTH`].
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

/// The fields of one packet, decoded in order.
#[derive(Clone, Copy, Debug)]
pub struct Fields<'a> {
    /// The bytes of the fields that have not been decoded yet.
    rest: &'a [u8],
}

impl<'a> Fields<'a> {
    /// Reads the next `length` bytes.
    fn bytes(&mut self, length: usize) -> Result<&'a [u8], MalformedPacket> {
        let (bytes, rest) = self.rest.split_at_checked(length).ok_or(MalformedPacket)?;
        self.rest = rest;
        Ok(bytes)
    }

    /// Reads the next `N` bytes as an array.
    fn array<const N: usize>(&mut self) -> Result<[u8; N], MalformedPacket> {
        let (array, rest) = self.rest.split_first_chunk().ok_or(MalformedPacket)?;
        self.rest = rest;
        Ok(*array)
    }

    /// Reads a 32-bit integer.
    ///
    /// # Errors
    ///
    /// Returns [`MalformedPacket`] if the packet ends within the field.
    pub fn u32(&mut self) -> Result<u32, MalformedPacket> {
        self.array().map(u32::from_be_bytes)
    }

    /// Reads a 64-bit integer.
    ///
    /// # Errors
    ///
    /// Returns [`MalformedPacket`] if the packet ends within the field.
    pub fn u64(&mut self) -> Result<u64, MalformedPacket> {
        self.array().map(u64::from_be_bytes)
    }

    /// Reads a request id.
    ///
    /// # Errors
    ///
    /// Returns [`MalformedPacket`] if the packet ends within the field.
    pub fn request_id(&mut self) -> Result<RequestId, MalformedPacket> {
        self.u32().map(RequestId)
    }

    /// Reads a byte string, preceded by its length as a 32-bit integer.
    ///
    /// # Errors
    ///
    /// Returns [`MalformedPacket`] if the packet ends within the field.
    pub fn string(&mut self) -> Result<&'a [u8], MalformedPacket> {
        let length = self.u32()? as usize;
        self.bytes(length)
    }

    /// Reads file attributes. Returns the file size in bytes, if the attributes include it.
    ///
    /// # Errors
    ///
    /// Returns [`MalformedPacket`] if the packet ends within the attributes.
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

    /// Skips the extended attributes: a count, followed by that many pairs of strings.
    fn skip_extensions(&mut self) -> Result<(), MalformedPacket> {
        for _ in 0..self.u32()? {
            self.string()?;
            self.string()?;
        }
        Ok(())
    }
}
