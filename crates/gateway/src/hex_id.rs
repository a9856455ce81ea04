//! The text form of 64-bit ids, which the protocols, paths and the console use: 16 hexadecimal
//! digits.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

/// Length of the text form in bytes, one for each digit.
const HEX_ID_LENGTH: usize = 16;

/// An id with a text form of 16 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HexId(pub u64);

/// Why a text is not a valid id.
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

    /// Parses an id. Accepts upper-case digits and, like [`u64::from_str_radix`], a plus sign in
    /// place of the first digit.
    fn from_str(text: &str) -> Result<HexId, ParseHexIdError> {
        if text.len() != HEX_ID_LENGTH {
            return Err(ParseHexIdError::WrongLength);
        }
        Ok(HexId(u64::from_str_radix(text, 16)?))
    }
}
