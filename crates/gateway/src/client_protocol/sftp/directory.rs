//! Directory listings: their state, and the encoding of their entries.

use super::error::SftpError;
use super::path::Target;
use crate::config::SftpVolume;
use crate::dispatcher::{ObjectEntry, ResponseBody};
use crate::sftp_packet::{packet_type, Packet};
use std::collections::VecDeque;

/// Bytes of entries after which no further entry is added to a NAME packet.
const MAX_NAME_PACKET_BYTES: usize = 32 << 10;
/// Estimated bytes of an entry in a NAME packet, without its name, which the entry contains twice.
const ENTRY_OVERHEAD_BYTES: usize = 64;

/// An entry of a directory. Entries are ordered by name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct DirectoryEntry {
    /// The name within the directory.
    pub(super) name: Vec<u8>,
    /// The size of an object in bytes; `None` for a directory.
    pub(super) size: Option<u64>,
}

impl From<&SftpVolume> for DirectoryEntry {
    fn from(volume: &SftpVolume) -> Self {
        DirectoryEntry {
            name: volume.name.as_bytes().to_vec(),
            size: None,
        }
    }
}

impl From<ObjectEntry> for DirectoryEntry {
    fn from(object: ObjectEntry) -> Self {
        DirectoryEntry {
            name: object.name,
            size: Some(object.size),
        }
    }
}

/// An open directory, by the state of its listing.
pub(super) enum Directory {
    /// A volume that no READDIR has listed yet.
    Unlisted(Target),
    /// A volume whose listing the storage nodes have not all answered.
    Listing(Target),
    /// A listed directory: the entries that have not been sent to the client yet.
    Listed(VecDeque<DirectoryEntry>),
}

impl Directory {
    /// Resets the state after a listing that failed, so that the next READDIR on the handle lists again.
    pub(super) fn reset_listing(&mut self) {
        if let Directory::Listing(target) = self {
            *self = Directory::Unlisted(target.clone());
        }
    }
}

/// A listing that some shards have not answered yet.
pub(super) struct PendingListing {
    /// The number of the directory's handle.
    pub(super) handle: u32,
    /// Number of shards that have not answered.
    pub(super) remaining_shards: usize,
    /// Entries received so far.
    pub(super) entries: Vec<DirectoryEntry>,
}

impl PendingListing {
    /// Adds the response of one shard: the entries from a file server, or the index object from a RESP2 node.
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

/// Parses the index of a volume, which a RESP2 node stores as the object with id 0. Each line holds the name and
/// the size in bytes of one object.
fn parse_index(index: &[u8]) -> Vec<DirectoryEntry> {
    let mut entries = Vec::new();
    for line in index.split(|byte| *byte == b'\n') {
        let line = String::from_utf8_lossy(line);
        let mut words = line.split_ascii_whitespace();
        let Some(name) = words.next() else { continue };
        let size = words.next().and_then(|size| size.parse().ok()).unwrap_or(0);
        entries.push(DirectoryEntry {
            name: name.as_bytes().to_vec(),
            size: Some(size),
        });
    }
    entries
}

/// Removes as many entries from the front as fit into one packet and encodes them as the NAME reply to the
/// command `request_id`. Fails with [`SftpError::EndOfDirectory`] if there are none.
pub(super) fn encode_next_entries(
    request_id: u32,
    entries: &mut VecDeque<DirectoryEntry>,
) -> Result<Vec<u8>, SftpError> {
    if entries.is_empty() {
        return Err(SftpError::EndOfDirectory);
    }
    let count = count_entries_for_packet(entries);
    let mut packet = Packet::with_id(packet_type::NAME, request_id).u32(count as u32);
    for entry in entries.drain(..count) {
        packet = packet
            .string(&entry.name)
            .string(long_name(&entry))
            .attributes(entry.size);
    }
    Ok(packet.finish())
}

/// Number of entries from the front that fit into one packet; at least one, however long its name.
fn count_entries_for_packet(entries: &VecDeque<DirectoryEntry>) -> usize {
    let mut packet_bytes = 0;
    for (index, entry) in entries.iter().enumerate() {
        if index > 0 && packet_bytes >= MAX_NAME_PACKET_BYTES {
            return index;
        }
        packet_bytes += entry.name.len() * 2 + ENTRY_OVERHEAD_BYTES;
    }
    entries.len()
}

/// The entry as a line of `ls -l`, which clients may print as it is. Owner and time are not known.
fn long_name(entry: &DirectoryEntry) -> String {
    let mode = if entry.size.is_some() {
        "-rw-r--r--"
    } else {
        "drwxr-xr-x"
    };
    let size = entry.size.unwrap_or(0);
    let name = String::from_utf8_lossy(&entry.name);
    format!("{mode}    1 0        0        {size:>8} Jan  1 00:00 {name}")
}
