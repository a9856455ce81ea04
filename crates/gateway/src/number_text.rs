//! Numbers in the forms that the protocols publish: digits without a sign, and lengths that may be
//! negative.
//!
//! The parsers of the standard library also accept a plus sign, which no protocol here has.

/// Number base of hexadecimal numbers.
const HEXADECIMAL: u32 = 16;

/// Parses a decimal number that consists of ASCII digits only. Returns `None` for any other text
/// and for a number that does not fit.
#[must_use]
pub fn parse_decimal(text: &[u8]) -> Option<u64> {
    if !text.iter().all(u8::is_ascii_digit) {
        return None;
    }
    std::str::from_utf8(text).ok()?.parse().ok()
}

/// Parses a hexadecimal number that consists of ASCII digits only, in upper or lower case. Returns
/// `None` for any other text and for a number that does not fit.
#[must_use]
pub fn parse_hexadecimal(text: &[u8]) -> Option<u64> {
    if !text.iter().all(u8::is_ascii_hexdigit) {
        return None;
    }
    let text = std::str::from_utf8(text).ok()?;
    u64::from_str_radix(text, HEXADECIMAL).ok()
}

/// Parses the length of a RESP2 value: a decimal number, with a minus sign if it is negative.
/// Returns `None` for any other text and for a number that does not fit.
#[must_use]
pub fn parse_resp_length(text: &[u8]) -> Option<i64> {
    let (digits, sign) = match text.strip_prefix(b"-") {
        Some(digits) => (digits, -1),
        None => (text, 1),
    };
    let magnitude = i64::try_from(parse_decimal(digits)?).ok()?;
    Some(sign * magnitude)
}
