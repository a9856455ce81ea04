//! Listing of a volume, collected from all shards.

use super::directory::DirectoryEntry;
use super::handle_number::HandleNumber;
use crate::sftp_packet::FileAttributes;
use crate::storage_request::ResponseBody;
use std::collections::VecDeque;

/// A listing in progress: some shards may not have responded yet.
pub(super) struct PendingListing {
    /// Handle of the directory.
    handle: HandleNumber,
    /// Number of shards that have not responded yet.
    remaining_shards: usize,
    /// Entries received so far.
    entries: Vec<DirectoryEntry>,
}

impl PendingListing {
    /// Creates a listing to which no shard has responded.
    pub(super) fn new(handle: HandleNumber, shard_count: usize) -> PendingListing {
        PendingListing {
            handle,
            remaining_shards: shard_count,
            entries: Vec::new(),
        }
    }

    /// Returns the handle of the directory.
    pub(super) fn handle(&self) -> HandleNumber {
        self.handle
    }

    /// Returns whether all shards have responded.
    pub(super) fn is_complete(&self) -> bool {
        self.remaining_shards == 0
    }

    /// Adds the response of one shard: directory entries from a file server, or the index object
    /// from a RESP2 node.
    pub(super) fn add_response(&mut self, body: ResponseBody) {
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

    /// Returns all entries, sorted by name.
    pub(super) fn into_sorted_entries(mut self) -> VecDeque<DirectoryEntry> {
        self.entries.sort();
        self.entries.into()
    }
}

/// Parses the index object of a volume. Each line contains the name of an object and its size in
/// bytes.
fn parse_index(index: &[u8]) -> Vec<DirectoryEntry> {
    let lines = index.split(|byte| *byte == b'\n');
    lines.filter_map(parse_index_line).collect()
}

/// Parses one line of an index object. Returns `None` if the line is blank. A missing or invalid
/// size is treated as zero.
fn parse_index_line(line: &[u8]) -> Option<DirectoryEntry> {
    let line = String::from_utf8_lossy(line);
    let mut fields = line.split_ascii_whitespace();
    let name = fields.next()?.as_bytes().to_vec();
    let size = fields
        .next()
        .and_then(|size| size.parse().ok())
        .unwrap_or(0);
    Some(DirectoryEntry {
        name,
        attributes: FileAttributes::RegularFile { size },
    })
}
