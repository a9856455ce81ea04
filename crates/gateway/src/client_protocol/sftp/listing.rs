//! The listing of a volume, collected from all shards.

use super::directory::DirectoryEntry;
use super::handle_number::HandleNumber;
use crate::sftp_packet::FileAttributes;
use crate::storage_request::ResponseBody;
use std::collections::VecDeque;

/// A listing that some shards have not answered yet.
pub(super) struct PendingListing {
    /// The directory's handle.
    handle: HandleNumber,
    /// Number of shards that have not answered.
    remaining_shards: usize,
    /// Entries received so far.
    entries: Vec<DirectoryEntry>,
}

impl PendingListing {
    /// A listing that no shard has answered.
    pub(super) fn new(handle: HandleNumber, shard_count: usize) -> PendingListing {
        PendingListing {
            handle,
            remaining_shards: shard_count,
            entries: Vec::new(),
        }
    }

    /// The directory's handle.
    pub(super) fn handle(&self) -> HandleNumber {
        self.handle
    }

    /// Whether all shards have answered.
    pub(super) fn is_complete(&self) -> bool {
        self.remaining_shards == 0
    }

    /// Adds the response of one shard: the entries from a file server, or the index object from a
    /// RESP2 node.
    pub(super) fn add_shard(&mut self, body: ResponseBody) {
        self.remaining_shards -= 1;
        match body {
            ResponseBody::Entries(objects) => {
                self.entries
                    .extend(objects.into_iter().map(DirectoryEntry::from));
            }
            ResponseBody::Value(index) => self.entries.extend(parse_index(&index)),
            ResponseBody::Size(_) | ResponseBody::NotFound => {}
        }
    }

    /// All entries in order.
    pub(super) fn into_sorted_entries(mut self) -> VecDeque<DirectoryEntry> {
        self.entries.sort();
        self.entries.into()
    }
}

/// Parses the index object of a volume. Each line holds the name and the size in bytes of one
/// object.
fn parse_index(index: &[u8]) -> Vec<DirectoryEntry> {
    let lines = index.split(|byte| *byte == b'\n');
    lines.filter_map(parse_index_line).collect()
}

/// Parses one line of an index; `None` if it is blank. A size that is missing or invalid counts as
/// zero.
fn parse_index_line(line: &[u8]) -> Option<DirectoryEntry> {
    let line = String::from_utf8_lossy(line);
    let mut words = line.split_ascii_whitespace();
    let name = words.next()?.as_bytes().to_vec();
    let size = words.next().and_then(|size| size.parse().ok()).unwrap_or(0);
    Some(DirectoryEntry {
        name,
        attributes: FileAttributes::RegularFile { size },
    })
}
