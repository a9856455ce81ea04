//! Decoding of packets from an input buffer, and of the fields of a packet.

use super::{
    ATTRIBUTE_EXTENDED, ATTRIBUTE_OWNER, ATTRIBUTE_PERMISSIONS, ATTRIBUTE_SIZE, ATTRIBUTE_TIMES,
    MAX_PACKET_LENGTH,
};

/// Bytes of the length field before each packet.
const LENGTH_FIELD_BYTES: usize = 4;

/// The input is not a valid packet: empty, longer than [`MAX_PACKET_LENGTH`], or with a field that
/// reaches beyond its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("malformed packet")]
pub struct MalformedPacket;

/// A packet that was decoded up to its fields.
#[derive(Clone, Copy, Debug)]
pub struct DecodedPacket<'a> {
    /// Type of the packet, see [`packet_type`](super::packet_type).
    pub type_byte: u8,
    /// The fields, which follow the type byte.
    pub fields: Fields<'a>,
}

/// Decodes the packet of `input` that starts at `position`. Moves `position` past the packet; returns `None`,
/// with `position` unchanged, until the packet is complete.
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
    if length == 0 || length > MAX_PACKET_LENGTH {
        return Err(MalformedPacket);
    }
    let end = LENGTH_FIELD_BYTES + length;
    let Some(payload) = rest.get(LENGTH_FIELD_BYTES..end) else {
        return Ok(None);
    };
    *position += end;
    Ok(Some(DecodedPacket {
        type_byte: payload[0],
        fields: Fields {
            rest: &payload[1..],
        },
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
        if length > self.rest.len() {
            return Err(MalformedPacket);
        }
        let (head, rest) = self.rest.split_at(length);
        self.rest = rest;
        Ok(head)
    }

    /// Takes a 32-bit number.
    ///
    /// # Errors
    ///
    /// [`MalformedPacket`] if the packet ends within the field.
    pub fn u32(&mut self) -> Result<u32, MalformedPacket> {
        self.bytes(4)
            .map(|bytes| u32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]))
    }

    /// Takes a 64-bit number.
    ///
    /// # Errors
    ///
    /// [`MalformedPacket`] if the packet ends within the field.
    pub fn u64(&mut self) -> Result<u64, MalformedPacket> {
        let high = u64::from(self.u32()?);
        let low = u64::from(self.u32()?);
        Ok(high << 32 | low)
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
        let size = if flags & ATTRIBUTE_SIZE != 0 {
            Some(self.u64()?)
        } else {
            None
        };
        for (flag, length) in [
            (ATTRIBUTE_OWNER, 8),
            (ATTRIBUTE_PERMISSIONS, 4),
            (ATTRIBUTE_TIMES, 8),
        ] {
            if flags & flag != 0 {
                self.bytes(length)?;
            }
        }
        if flags & ATTRIBUTE_EXTENDED != 0 {
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
