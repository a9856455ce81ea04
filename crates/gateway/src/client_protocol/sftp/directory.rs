//! Open directories, and the encoding of their entries.

use super::error::SftpError;
use super::path::VolumeTarget;
use crate::config::SftpVolume;
use crate::sftp_packet::{FileAttributes, Packet, PacketType, RequestId};
use crate::storage_request::ObjectEntry;
use std::collections::VecDeque;

/// Once the entries of a NAME packet have this size in bytes, no further entry is added.
const MAX_NAME_PACKET_BYTES: usize = 32 << 10;
/// Estimated size in bytes of an entry in a NAME packet, without the two copies of its name.
const ENTRY_OVERHEAD_BYTES: usize = 64;

/// A directory entry. Entries are ordered by name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct DirectoryEntry {
    /// Name within the directory.
    pub(super) name: Vec<u8>,
    /// File type, and the size of an object.
    pub(super) attributes: FileAttributes,
}

impl From<&SftpVolume> for DirectoryEntry {
    fn from(volume: &SftpVolume) -> Self {
        DirectoryEntry {
            name: volume.name.as_bytes().to_vec(),
            attributes: FileAttributes::Directory,
        }
    }
}

impl From<ObjectEntry> for DirectoryEntry {
    fn from(object: ObjectEntry) -> Self {
        DirectoryEntry {
            name: object.name,
            attributes: FileAttributes::RegularFile { size: object.size },
        }
    }
}

/// An open directory and the state of its listing.
pub(super) enum Directory {
    /// A volume that has not been listed yet, or whose listing failed.
    Unlisted(VolumeTarget),
    /// A volume whose listing is in progress: some shards have not responded yet.
    Listing(VolumeTarget),
    /// A listed directory, with the entries that have not been sent to the client yet.
    Listed(VecDeque<DirectoryEntry>),
}

impl Directory {
    /// Resets the state after a failed listing, so that the next READDIR on the handle starts a new
    /// one.
    pub(super) fn reset_listing(&mut self) {
        if let Directory::Listing(target) = *self {
            *self = Directory::Unlisted(target);
        }
    }
}

/// Removes as many entries from the front as fit into one packet and encodes them as the NAME reply
/// to the command `request_id`. Fails with [`SftpError::EndOfDirectory`] if there are none.
pub(super) fn encode_next_entries(
    request_id: RequestId,
    entries: &mut VecDeque<DirectoryEntry>,
) -> Result<Vec<u8>, SftpError> {
    if entries.is_empty() {
        return Err(SftpError::EndOfDirectory);
    }
    let count = count_entries_for_packet(entries);
    let mut packet = Packet::with_id(PacketType::NAME, request_id).u32(count as u32);
    for entry in entries.drain(..count) {
        packet = packet
            .string(&entry.name)
            .string(long_name(&entry))
            .attributes(entry.attributes);
    }
    Ok(packet.finish())
}

/// Returns how many entries from the front fit into one packet: at least one, however long its
/// name.
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

/// Formats the entry like a line of `ls -l`, which clients may print unchanged. The owner and the
/// modification time are not known, so they have fixed values.
fn long_name(entry: &DirectoryEntry) -> String {
    let (mode, size) = match entry.attributes {
        FileAttributes::RegularFile { size } => ("-rw-r--r--", size),
        FileAttributes::Directory => ("drwxr-xr-x", 0),
    };
    let name = String::from_utf8_lossy(&entry.name);
    format!("{mode}    1 0        0        {size:>8} Jan  1 00:00 {name}")
}
