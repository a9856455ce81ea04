//! Directory listings.

use super::error::SftpError;
use super::path::Target;
use crate::dispatcher::{ObjectEntry, ResponseBody};
use crate::sftp_packet::{kind, Packet};
use std::collections::VecDeque;

/// Bytes of entries after which a NAME packet takes no more.
const MAX_NAME_PACKET_BYTES: usize = 32 << 10;
/// Estimated bytes of an entry in a NAME packet besides its name, which stands there twice.
const ENTRY_OVERHEAD_BYTES: usize = 64;

/// An entry of a directory; the order is by name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct DirectoryEntry {
    /// The name within the directory.
    pub(super) name: Vec<u8>,
    /// The size of an object in bytes; `None` for a directory.
    pub(super) size: Option<u64>,
}

impl From<ObjectEntry> for DirectoryEntry {
    fn from(object: ObjectEntry) -> Self {
        DirectoryEntry { name: object.name, size: Some(object.size) }
    }
}

/// An open directory, by the state of its listing.
pub(super) enum Directory {
    /// A volume that no READDIR has asked for yet.
    Unlisted(Target),
    /// A volume that is being listed by the storage nodes.
    Listing(Target),
    /// The entries that the client has not got yet.
    Listed(VecDeque<DirectoryEntry>),
}

impl Directory {
    /// After a listing that failed, the client may ask again on the same handle.
    pub(super) fn reset_listing(&mut self) {
        if let Directory::Listing(target) = self {
            *self = Directory::Unlisted(target.clone());
        }
    }
}

/// A listing whose shards have not all answered.
pub(super) struct PendingListing {
    /// The number of the directory's handle.
    pub(super) handle: u32,
    /// Shards that have not answered.
    pub(super) remaining_shards: usize,
    /// Entries so far.
    pub(super) entries: Vec<DirectoryEntry>,
}

impl PendingListing {
    /// Takes the answer of one shard: names from a file server, or the index object of a RESP2 node.
    pub(super) fn add_shard(&mut self, body: ResponseBody) {
        self.remaining_shards -= 1;
        match body {
            ResponseBody::Names(names) => {
                self.entries.extend(names.into_iter().map(DirectoryEntry::from));
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

/// The entries of a volume's index, which a RESP2 node stores as object 0: a name and its size on each line.
fn parse_index(index: &[u8]) -> Vec<DirectoryEntry> {
    let mut entries = Vec::new();
    for line in index.split(|byte| *byte == b'\n') {
        let line = String::from_utf8_lossy(line);
        let mut words = line.split_ascii_whitespace();
        let Some(name) = words.next() else { continue };
        let size = words.next().and_then(|size| size.parse().ok()).unwrap_or(0);
        entries.push(DirectoryEntry { name: name.as_bytes().to_vec(), size: Some(size) });
    }
    entries
}

/// Takes as many entries as one packet has space for off the front and encodes them as the NAME reply to the
/// command `request_id`. Fails with [`SftpError::EndOfDirectory`] if there are none.
pub(super) fn encode_next_entries(
    request_id: u32,
    entries: &mut VecDeque<DirectoryEntry>,
) -> Result<Vec<u8>, SftpError> {
    if entries.is_empty() {
        return Err(SftpError::EndOfDirectory);
    }
    let count = count_fitting(entries);
    let mut packet = Packet::with_id(kind::NAME, request_id).u32(count as u32);
    for entry in entries.drain(..count) {
        packet = packet.string(&entry.name).string(long_name(&entry)).attrs(entry.size);
    }
    Ok(packet.done())
}

/// How many of the first entries go into one packet; at least one.
fn count_fitting(entries: &VecDeque<DirectoryEntry>) -> usize {
    let mut packet_bytes = 0;
    for (index, entry) in entries.iter().enumerate() {
        if index > 0 && packet_bytes >= MAX_NAME_PACKET_BYTES {
            return index;
        }
        packet_bytes += entry.name.len() * 2 + ENTRY_OVERHEAD_BYTES;
    }
    entries.len()
}

/// An entry as `ls -l` would show it.
fn long_name(entry: &DirectoryEntry) -> String {
    let mode = if entry.size.is_some() { "-rw-r--r--" } else { "drwxr-xr-x" };
    let size = entry.size.unwrap_or(0);
    let name = String::from_utf8_lossy(&entry.name);
    format!("{mode}    1 0        0        {size:>8} Jan  1 00:00 {name}")
}
