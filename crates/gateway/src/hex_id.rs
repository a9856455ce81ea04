//! Text encoding of 64-bit ids: 16 hexadecimal digits. The protocols, paths and the console use it.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

/// Length of the text form in bytes, one byte per digit.
const HEX_ID_LENGTH: usize = 16;

/// A 64-bit id that is displayed and parsed as 16 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HexId(pub u64);

/// The error returned when a string cannot be parsed as a [`HexId`].
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ParseHexIdError {
    /// The string is not 16 bytes long.
    #[error("not 16 characters long")]
    WrongLength,
    /// The string is not a hexadecimal number.
    #[error(transparent)]
    NotHexadecimal(#[from] ParseIntError),
}

impl fmt::Display for HexId {
    /// Writes 16 lower-case digits, with leading zeros.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

impl FromStr for HexId {
    type Err = ParseHexIdError;

    /// Parses an id. Accepts upper-case digits and, because [`u64::from_str_radix`] does, a plus
    /// sign in place of the first digit.
    fn from_str(text: &str) -> Result<HexId, ParseHexIdError> {
        if text.len() != HEX_ID_LENGTH {
            return Err(ParseHexIdError::WrongLength);
        }
        Ok(HexId(u64::from_str_radix(text, 16)?))
    }
}
