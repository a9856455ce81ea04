//! Command handlers. Each of them either replies immediately or submits requests to storage nodes.

use super::directory::{encode_next_entries, Directory, DirectoryEntry};
use super::error::SftpError;
use super::handle::Handle;
use super::handle_number::HandleNumber;
use super::listing::PendingListing;
use super::path::{canonicalize, resolve, ObjectTarget, PathTarget};
use super::pending::PendingOperation;
use super::replies::{encode_attributes, encode_data, encode_handle, encode_ok, encode_path};
use super::session::Session;
use crate::sftp_packet::{Fields, FileAttributes, OpenFlags, PacketType, RequestId};
use crate::storage_request::StorageRequest;

/// The result of executing a command.
pub(super) enum CommandOutcome {
    /// Send this encoded packet as the reply.
    Reply(Vec<u8>),
    /// Submit requests; the reply is sent when the storage nodes have responded.
    Submit {
        /// The requests to submit.
        requests: Vec<StorageRequest>,
        /// The operation that the responses complete.
        operation: PendingOperation,
    },
}

/// The outcome of a command, or the error that is sent to the client in a STATUS reply.
type CommandResult = Result<CommandOutcome, SftpError>;

/// Replies to a command with this encoded packet.
fn reply(packet: Vec<u8>) -> CommandResult {
    Ok(CommandOutcome::Reply(packet))
}

/// Submits one request, whose response completes `operation`.
fn submit(request: StorageRequest, operation: PendingOperation) -> CommandResult {
    Ok(CommandOutcome::Submit {
        requests: vec![request],
        operation,
    })
}

impl Session {
    /// Executes a command of this type. `fields` contains the fields after the request id.
    pub(super) fn run_command(
        &mut self,
        packet_type: PacketType,
        request_id: RequestId,
        fields: Fields<'_>,
    ) -> CommandResult {
        match packet_type {
            PacketType::OPEN => self.open(request_id, fields),
            PacketType::OPENDIR => self.open_directory(request_id, fields),
            PacketType::READ => self.read(request_id, fields),
            PacketType::WRITE => self.write(request_id, fields),
            PacketType::CLOSE => self.close(request_id, fields),
            PacketType::STAT | PacketType::LSTAT => self.stat(request_id, fields),
            PacketType::FSTAT => self.stat_handle(request_id, fields),
            PacketType::READDIR => self.read_directory(request_id, fields),
            PacketType::REALPATH => real_path(request_id, fields),
            _ => Err(SftpError::UnsupportedCommand),
        }
    }

    /// Reads the next field as a path and resolves it.
    fn resolve_path(&self, fields: &mut Fields<'_>) -> Result<PathTarget, SftpError> {
        resolve(fields.string()?, &self.shared.volumes)
    }

    /// OPEN: opens an object, either for reading or for writing.
    fn open(&mut self, request_id: RequestId, mut fields: Fields<'_>) -> CommandResult {
        let path = fields.string()?;
        let flags = OpenFlags(fields.u32()?);
        let PathTarget::Object(target) = resolve(path, &self.shared.volumes)? else {
            return Err(SftpError::IsDirectory);
        };
        if flags == OpenFlags::READ {
            return self.open_for_reading(target);
        }
        // A write replaces the whole object, so flags that would keep part of the old content are
        // not supported.
        let replace = OpenFlags::WRITE | OpenFlags::CREATE;
        if flags == replace || flags == replace | OpenFlags::TRUNCATE {
            return self.open_for_writing(request_id, target);
        }
        Err(SftpError::UnsupportedOpenFlags)
    }

    /// Submits a read of the whole object. The client gets its handle when the object has been
    /// received.
    fn open_for_reading(&self, target: ObjectTarget) -> CommandResult {
        let known_size = self.shared.object_sizes.get(&target);
        let request = self.shared.requests.read(&target, known_size);
        submit(request, PendingOperation::Open(target))
    }

    /// Creates an upload and replies with its handle immediately.
    fn open_for_writing(&mut self, request_id: RequestId, target: ObjectTarget) -> CommandResult {
        let number = self.handles.insert(Handle::Upload {
            target,
            data: Vec::new(),
        })?;
        reply(encode_handle(request_id, number))
    }

    /// OPENDIR: opens the root directory or a volume. The entries of the root directory are the
    /// configured volumes; the objects of a volume are listed by the first READDIR on the handle.
    fn open_directory(&mut self, request_id: RequestId, mut fields: Fields<'_>) -> CommandResult {
        let directory = match self.resolve_path(&mut fields)? {
            PathTarget::Object(_) => return Err(SftpError::NotDirectory),
            PathTarget::Volume(target) => Directory::Unlisted(target),
            PathTarget::Root => {
                let volumes = self.shared.volumes.iter();
                Directory::Listed(volumes.map(DirectoryEntry::from).collect())
            }
        };
        let number = self.handles.insert(Handle::Directory(directory))?;
        reply(encode_handle(request_id, number))
    }

    /// READ: returns a range of an object that OPEN fetched.
    fn read(&self, request_id: RequestId, mut fields: Fields<'_>) -> CommandResult {
        let number = HandleNumber::decode(&mut fields)?;
        let offset = fields.u64()?;
        let length = fields.u32()? as usize;
        let data = self.handles.read_data(number)?;
        let offset = usize::try_from(offset).map_err(|_| SftpError::EndOfFile)?;
        let rest = data.get(offset..).unwrap_or_default();
        if rest.is_empty() {
            return Err(SftpError::EndOfFile);
        }
        let range = &rest[..length.min(rest.len())];
        reply(encode_data(request_id, range))
    }

    /// WRITE: buffers the bytes until CLOSE.
    fn write(&mut self, request_id: RequestId, mut fields: Fields<'_>) -> CommandResult {
        let number = HandleNumber::decode(&mut fields)?;
        let offset = fields.u64()?;
        let bytes = fields.string()?;
        let max_size = self.shared.max_upload_bytes;
        let offset = usize::try_from(offset).map_err(|_| SftpError::ObjectTooLarge)?;
        if offset > max_size || offset + bytes.len() > max_size {
            return Err(SftpError::ObjectTooLarge);
        }
        self.handles.write_upload(number, offset, bytes)?;
        reply(encode_ok(request_id))
    }

    /// CLOSE: closes a handle. A buffered upload is submitted as one write, and the reply reports
    /// whether the object was stored.
    fn close(&mut self, request_id: RequestId, mut fields: Fields<'_>) -> CommandResult {
        let number = HandleNumber::decode(&mut fields)?;
        let Handle::Upload { target, data } = self.handles.remove(number)? else {
            return reply(encode_ok(request_id));
        };
        let size = data.len() as u64;
        let request = self.shared.requests.write(&target, data);
        submit(request, PendingOperation::CloseUpload { target, size })
    }

    /// STAT and LSTAT: return fixed attributes for a directory; for an object, request its size
    /// from its storage node.
    fn stat(&self, request_id: RequestId, mut fields: Fields<'_>) -> CommandResult {
        let PathTarget::Object(target) = self.resolve_path(&mut fields)? else {
            return reply(encode_attributes(request_id, FileAttributes::Directory));
        };
        let request = self.shared.requests.stat(&target);
        submit(request, PendingOperation::Stat(target))
    }

    /// FSTAT: returns fixed attributes for a directory, and the number of buffered bytes as the
    /// size of an object.
    fn stat_handle(&self, request_id: RequestId, mut fields: Fields<'_>) -> CommandResult {
        let number = HandleNumber::decode(&mut fields)?;
        let attributes = match self.handles.get(number)? {
            Handle::Directory(_) => FileAttributes::Directory,
            object => FileAttributes::RegularFile {
                size: object.buffered_bytes() as u64,
            },
        };
        reply(encode_attributes(request_id, attributes))
    }

    /// READDIR: the first command on a volume's handle submits a listing request to every shard;
    /// later commands return the next entries.
    fn read_directory(&mut self, request_id: RequestId, mut fields: Fields<'_>) -> CommandResult {
        let number = HandleNumber::decode(&mut fields)?;
        let directory = self.handles.directory_mut(number)?;
        let volume = match directory {
            Directory::Listed(entries) => return reply(encode_next_entries(request_id, entries)?),
            Directory::Listing(_) => return Err(SftpError::ListingInProgress),
            Directory::Unlisted(volume) => *volume,
        };
        *directory = Directory::Listing(volume);
        let requests = self.shared.requests.list(volume);
        let listing = PendingListing::new(number, requests.len());
        Ok(CommandOutcome::Submit {
            requests,
            operation: PendingOperation::List(listing),
        })
    }
}

/// REALPATH: returns the canonical form of a path, whether or not the path exists.
fn real_path(request_id: RequestId, mut fields: Fields<'_>) -> CommandResult {
    let path = canonicalize(fields.string()?)?;
    reply(encode_path(request_id, &path))
}
