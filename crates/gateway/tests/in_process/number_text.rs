//! Numbers in text are accepted in exactly the published forms.

use crate::support::random_numbers::RandomNumbers;
use storage_gateway::number_text::{parse_decimal, parse_hexadecimal, parse_resp_length};

/// The characters of the texts: digits, signs and others that number parsers may accept.
const CHARACTERS: &[u8] = b"0199afAFgx+-_. \xff";
/// Longer than the longest number that fits.
const MAX_TEXT_LENGTH: u64 = 22;

/// Returns random text, which is empty or a number now and then.
fn random_text(random: &mut RandomNumbers) -> Vec<u8> {
    // Texts of the first few characters only are often numbers.
    let choices = 1 + random.below(CHARACTERS.len() as u64);
    (0..random.below(MAX_TEXT_LENGTH + 1))
        .map(|_| CHARACTERS[random.below(choices) as usize])
        .collect()
}

/// Reads digits one by one. Returns `None` for other characters, no digit, or more than 64 bits.
fn reference(text: &[u8], base: u32) -> Option<u64> {
    let mut number: u128 = 0;
    for byte in text {
        let digit = char::from(*byte).to_digit(base)?;
        number = number * u128::from(base) + u128::from(digit);
    }
    if text.is_empty() {
        return None;
    }
    u64::try_from(number).ok()
}

/// Guards against accepting forms that only the standard library has, such as a leading plus.
#[test]
fn numbers_are_accepted_in_the_published_form_only() {
    let mut random = RandomNumbers::new(3);
    let mut accepted = 0;
    for _ in 0..100_000 {
        let text = random_text(&mut random);
        let shown = text.escape_ascii();
        let decimal = reference(&text, 10);
        assert_eq!(parse_decimal(&text), decimal, "{shown}");
        assert_eq!(parse_hexadecimal(&text), reference(&text, 16), "{shown}");
        let (digits, sign) = match text.strip_prefix(b"-") {
            Some(digits) => (digits, -1),
            None => (text.as_slice(), 1),
        };
        let magnitude = reference(digits, 10).and_then(|number| i64::try_from(number).ok());
        let length = magnitude.map(|magnitude| sign * magnitude);
        assert_eq!(parse_resp_length(&text), length, "{shown}");
        accepted += usize::from(decimal.is_some());
    }
    assert!(accepted > 1_000, "too few of the texts were numbers");
}
