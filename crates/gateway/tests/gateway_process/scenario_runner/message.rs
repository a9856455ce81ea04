//! Splits the bytes that a peer receives into messages and shows each as text.

use super::sftp_message;
use crate::harness::resp;

/// The protocol between a peer and the gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    /// RESP2: commands, responses.
    Resp,
    /// The SSH File Transfer Protocol without SSH.
    Sftp,
    /// HTTP requests, of which only the first line counts.
    Http,
    /// Lines of text.
    Lines,
}

/// A complete message.
#[derive(Debug, PartialEq, Eq)]
pub struct Message {
    /// The message as words.
    pub text: String,
    /// The id that its response carries; 0 where the protocol has none.
    pub request_id: u32,
}

/// A message at the beginning of an input.
pub struct DecodedMessage {
    /// The message.
    pub message: Message,
    /// How many bytes it took.
    pub length: usize,
}

/// Decodes the first message; `None` until it is complete.
pub fn decode_message(input: &[u8], protocol: Protocol) -> Option<DecodedMessage> {
    match protocol {
        Protocol::Sftp => sftp_message::decode(input),
        Protocol::Http => decode_first_line(input, "\r\n\r\n"),
        Protocol::Lines => decode_first_line(input, "\n"),
        Protocol::Resp => {
            let mut length = 0;
            let text = resp::decode_value(input, &mut length)?;
            Some(DecodedMessage {
                message: Message {
                    text,
                    request_id: 0,
                },
                length,
            })
        }
    }
}

fn decode_first_line(input: &[u8], terminator: &str) -> Option<DecodedMessage> {
    let input = std::str::from_utf8(input).expect("text");
    let length = input.find(terminator)? + terminator.len();
    let text = input.lines().next()?.to_owned();
    Some(DecodedMessage {
        message: Message {
            text,
            request_id: 0,
        },
        length,
    })
}
