//! The pending replies of one client connection, in the order of its commands.

use crate::client_protocol::EncodedReply;
use crate::storage_request::CommandNumber;
use io_scheduler::RequestId;
use std::collections::VecDeque;

/// The replies that have not been moved to the output buffer yet. Replies must be sent in the order
/// of their commands, so a reply that is ready waits for the earlier ones.
#[derive(Debug, Default)]
pub(super) struct ReplyQueue {
    /// The replies, in the order of their commands.
    pending: VecDeque<PendingReply>,
    /// Number of the next command.
    next_command_number: CommandNumber,
    /// Number of pending replies that are not encoded.
    awaiting: usize,
    /// Total bytes of the encoded replies that are pending.
    encoded_bytes: usize,
    /// The part of `encoded_bytes` that are replies to rejected commands.
    rejection_bytes: usize,
}

/// The reply to one command, or the replies to successive commands that were rejected.
#[derive(Debug)]
struct PendingReply {
    /// Number of the command on the connection; the first one of several.
    command_number: CommandNumber,
    /// The encoded reply, or the requests whose responses are awaited.
    content: ReplyContent,
}

/// The state of a pending reply.
#[derive(Debug)]
enum ReplyContent {
    /// The reply is encoded and waits for earlier replies to be sent.
    Encoded(Vec<u8>),
    /// The replies to successive rejected commands, encoded, which wait for earlier replies.
    Rejections(Vec<u8>),
    /// The reply cannot be encoded before the responses to these requests of the command arrive.
    AwaitingResponses(Vec<RequestId>),
}

impl ReplyQueue {
    /// Returns whether the replies to all commands have been moved to the output buffer.
    pub(super) fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Returns the number of commands whose reply has not been moved to the output buffer yet.
    pub(super) fn len(&self) -> usize {
        self.pending.len()
    }

    /// Returns the number of the next command.
    pub(super) fn next_command_number(&self) -> CommandNumber {
        self.next_command_number
    }

    /// Adds the encoded reply to the next command.
    pub(super) fn push_encoded(&mut self, bytes: Vec<u8>) {
        self.encoded_bytes += bytes.len();
        self.push(ReplyContent::Encoded(bytes));
    }

    /// Adds the encoded reply to the next command, which was rejected. It takes no more memory than
    /// its bytes behind another rejection.
    pub(super) fn push_rejection(&mut self, bytes: Vec<u8>) {
        self.encoded_bytes += bytes.len();
        self.rejection_bytes += bytes.len();
        let last = self.pending.back_mut().map(|reply| &mut reply.content);
        if let Some(ReplyContent::Rejections(rejections)) = last {
            rejections.extend(bytes);
            self.next_command_number = self.next_command_number.next();
        } else {
            self.push(ReplyContent::Rejections(bytes));
        }
    }

    /// Adds a pending reply to the next command, which has submitted these requests.
    pub(super) fn push_awaiting(&mut self, requests: Vec<RequestId>) {
        self.awaiting += 1;
        self.push(ReplyContent::AwaitingResponses(requests));
    }

    /// Adds the reply to the next command, encoded or pending.
    fn push(&mut self, content: ReplyContent) {
        self.pending.push_back(PendingReply {
            command_number: self.next_command_number,
            content,
        });
        self.next_command_number = self.next_command_number.next();
    }

    /// Stores the encoded reply to a command. Returns the requests of the command; some of them may
    /// not have a response yet.
    pub(super) fn complete(&mut self, reply: EncodedReply) -> Vec<RequestId> {
        let mut pending = self.pending.iter_mut();
        let Some(pending) = pending.find(|pending| pending.command_number == reply.command_number)
        else {
            return Vec::new();
        };
        self.encoded_bytes += reply.bytes.len();
        let encoded = ReplyContent::Encoded(reply.bytes);
        match std::mem::replace(&mut pending.content, encoded) {
            ReplyContent::AwaitingResponses(requests) => {
                self.awaiting -= 1;
                requests
            }
            ReplyContent::Encoded(replaced) => {
                self.encoded_bytes -= replaced.len();
                Vec::new()
            }
            ReplyContent::Rejections(replaced) => {
                self.encoded_bytes -= replaced.len();
                self.rejection_bytes -= replaced.len();
                Vec::new()
            }
        }
    }

    /// Moves encoded replies to `output`, up to the first reply that is not encoded yet.
    pub(super) fn append_ready(&mut self, output: &mut Vec<u8>) {
        while let Some(first) = self.pending.front_mut() {
            let bytes = match &mut first.content {
                ReplyContent::Encoded(bytes) => bytes,
                ReplyContent::Rejections(bytes) => {
                    self.rejection_bytes -= bytes.len();
                    bytes
                }
                ReplyContent::AwaitingResponses(_) => return,
            };
            self.encoded_bytes -= bytes.len();
            output.append(bytes);
            self.pending.pop_front();
        }
    }

    /// Returns the total bytes of the replies to rejected commands that wait for earlier ones.
    pub(super) fn rejection_bytes(&self) -> usize {
        self.rejection_bytes
    }

    /// Returns the total bytes of encoded replies that wait for earlier ones.
    pub(super) fn encoded_bytes(&self) -> usize {
        self.encoded_bytes
    }

    /// Returns how many replies are not encoded and will have to wait for earlier ones. The first
    /// pending reply is sent as soon as it is encoded.
    pub(super) fn awaiting_behind_first(&self) -> usize {
        self.awaiting.saturating_sub(1)
    }

    /// Returns the requests of all commands that wait for responses, in the order of the commands.
    /// Some of the requests may already have a response, if their command waits for others.
    pub(super) fn into_requests_of_pending_replies(self) -> impl Iterator<Item = RequestId> {
        self.pending
            .into_iter()
            .flat_map(|reply| match reply.content {
                ReplyContent::AwaitingResponses(requests) => requests,
                ReplyContent::Encoded(_) | ReplyContent::Rejections(_) => Vec::new(),
            })
    }
}
