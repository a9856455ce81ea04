//! The subset of RESP2 that the tests need.

/// Encodes an array of bulk strings.
pub fn encode_array(words: &[&str]) -> String {
    let bulk_strings: String = words
        .iter()
        .map(|word| format!("${}\r\n{word}\r\n", word.len()))
        .collect();
    format!("*{}\r\n{bulk_strings}", words.len())
}

/// Encodes a command whose arguments are separated by single spaces.
pub fn encode_command(command: &str) -> String {
    let words: Vec<&str> = command.split(' ').collect();
    encode_array(&words)
}

/// Decodes the value at `position` and advances `position` past it. Returns the content of a bulk
/// string, the elements of an array joined by spaces, or the complete line of any other type.
/// Returns `None` if the value is incomplete.
pub fn decode_value(input: &[u8], position: &mut usize) -> Option<String> {
    let line_end = *position
        + input
            .get(*position..)?
            .windows(2)
            .position(|pair| pair == b"\r\n")?;
    let line = String::from_utf8_lossy(&input[*position..line_end]).into_owned();
    *position = line_end + 2;
    let length = || line[1..].parse::<usize>().expect("length should be valid");
    match line.as_bytes()[0] {
        b'*' => {
            let elements: Option<Vec<String>> = (0..length())
                .map(|_| decode_value(input, position))
                .collect();
            Some(elements?.join(" "))
        }
        b'$' => {
            let content_end = *position + length();
            let content = input.get(*position..content_end + 2)?;
            *position = content_end + 2;
            Some(String::from_utf8_lossy(&content[..content.len() - 2]).into_owned())
        }
        _ => Some(line),
    }
}
