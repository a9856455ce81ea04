//! The text form of 64-bit ids in the protocols, in paths and at the console: 16 hexadecimal
//! digits.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

/// Length of an id's text form in bytes; each digit takes one.
const HEX_ID_LENGTH: usize = 16;

/// An id whose text form is 16 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HexId(pub u64);

/// A text is not an id.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ParseHexIdError {
    /// The text has more or fewer than 16 bytes.
    #[error("not 16 characters long")]
    WrongLength,
    /// The text is not a hexadecimal number.
    #[error(transparent)]
    NotHexadecimal(#[from] ParseIntError),
}

impl fmt::Display for HexId {
    /// Writes the id in lower-case digits, with leading zeros.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

impl FromStr for HexId {
    type Err = ParseHexIdError;

    /// Parses an id. Upper-case digits are accepted, and, as by [`u64::from_str_radix`], a plus
    /// sign in place of the first digit.
    fn from_str(text: &str) -> Result<HexId, ParseHexIdError> {
        if text.len() != HEX_ID_LENGTH {
            return Err(ParseHexIdError::WrongLength);
        }
        Ok(HexId(u64::from_str_radix(text, 16)?))
    }
}
