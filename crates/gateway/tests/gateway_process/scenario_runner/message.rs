//! Splits the bytes that a peer receives into messages and formats each as text.

use super::sftp_message;
use crate::harness::resp;

/// The protocol between a peer and the gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    /// RESP2 commands and responses.
    Resp,
    /// The packets of the SSH File Transfer Protocol, without SSH.
    Sftp,
    /// HTTP requests, of which only the request line is compared.
    Http,
    /// Lines of text, for the console.
    Lines,
}

/// A complete message.
#[derive(Debug, PartialEq, Eq)]
pub struct Message {
    /// The message as words separated by spaces.
    pub text: String,
    /// The id that the response must carry; 0 if the protocol has no request ids.
    pub request_id: u32,
}

/// A message decoded from the beginning of an input.
pub struct DecodedMessage {
    /// The decoded message.
    pub message: Message,
    /// The length of the encoded message in bytes.
    pub length: usize,
}

/// Decodes the first message of the input. Returns `None` if it is incomplete.
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
    let input = std::str::from_utf8(input).expect("the message should be UTF-8");
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
