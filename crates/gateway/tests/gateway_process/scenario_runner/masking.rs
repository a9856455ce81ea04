//! Replaces times and generated request ids, which differ between runs, and the ids of volumes 0xa0
//! to 0xaf.

/// Replaces these words of a message by placeholders; see the [module](self).
pub fn mask_message(message: &str) -> String {
    let words: Vec<String> = message.split(' ').map(mask_word).collect();
    match words.as_slice() {
        [status, _retry_after] if status == "-BUSY" => "-BUSY MS".to_owned(),
        [.., retry_after, unit] if unit == "ms" => {
            message.replace(&format!(" {retry_after} ms"), " MS ms")
        }
        _ => words.join(" "),
    }
}

fn mask_word(word: &str) -> String {
    if let Some((before, rest)) = word.split_once(",d=") {
        let after = rest.split_once(',').map_or("", |(_, after)| after);
        return format!("{before},d=_,{after}");
    }
    if is_masked_id(word) {
        return "ID".to_owned();
    }
    word.to_owned()
}

/// Whether a word is a request id that the gateway generated, or the id of a volume from 0xa0 to
/// 0xaf. Generated ids count up from the Unix time in microseconds, so they begin with 0006.
fn is_masked_id(word: &str) -> bool {
    word.len() == 16 && (word.starts_with("0006") || word.starts_with("00000000000000a"))
}
