//! Text encoding of 64-bit ids: 16 hexadecimal digits. The protocols, paths and the console use it.

use crate::number_text::parse_hexadecimal;
use std::fmt;
use std::str::FromStr;

/// Length of the text form in bytes, one byte per digit.
const HEX_ID_LENGTH: usize = 16;

/// A 64-bit id that is displayed and parsed as 16 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HexId(pub u64);

/// The text form of an id as a client wrote it. Digits may be in upper case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HexDigits([u8; HEX_ID_LENGTH]);

/// The error returned when a string cannot be parsed as a [`HexId`] or as [`HexDigits`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not 16 hexadecimal digits")]
pub struct ParseHexIdError;

impl HexDigits {
    /// Returns the digits.
    #[must_use]
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Display for HexId {
    /// Writes 16 lower-case digits, with leading zeros.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

impl From<HexId> for HexDigits {
    /// Returns the lower-case digits of an id, with leading zeros.
    fn from(id: HexId) -> HexDigits {
        let mut digits = [0; HEX_ID_LENGTH];
        digits.copy_from_slice(id.to_string().as_bytes());
        HexDigits(digits)
    }
}

impl FromStr for HexId {
    type Err = ParseHexIdError;

    /// Parses an id. Accepts digits in upper and lower case.
    fn from_str(text: &str) -> Result<HexId, ParseHexIdError> {
        if text.len() != HEX_ID_LENGTH {
            return Err(ParseHexIdError);
        }
        let id = parse_hexadecimal(text.as_bytes());
        id.map(HexId).ok_or(ParseHexIdError)
    }
}

impl FromStr for HexDigits {
    type Err = ParseHexIdError;

    /// Keeps the digits of an id, in upper or lower case.
    fn from_str(text: &str) -> Result<HexDigits, ParseHexIdError> {
        text.parse::<HexId>()?;
        let digits = text.as_bytes().try_into();
        digits.map(HexDigits).map_err(|_| ParseHexIdError)
    }
}
