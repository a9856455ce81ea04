//! The commands of a client: each is answered immediately or submits requests to storage nodes.

use super::directory::{encode_next_entries, Directory, DirectoryEntry, PendingListing};
use super::error::SftpError;
use super::handle::Handle;
use super::path::{canonicalize, PathTarget};
use super::response::PendingOperation;
use super::SftpProtocol;
use crate::dispatcher::{Operation, StorageRequest};
use crate::sftp_packet::{encode_status, open_flags, packet_type, Fields, Packet, StatusCode};

/// The result of running a command.
pub(super) enum CommandOutcome {
    /// The command is answered with this encoded packet.
    Reply(Vec<u8>),
    /// The command is answered once storage nodes have responded.
    Submit {
        /// The requests to submit.
        requests: Vec<StorageRequest>,
        /// What their responses complete.
        operation: PendingOperation,
    },
}

/// The outcome of a command, or an error that is answered with a STATUS.
type CommandResult = Result<CommandOutcome, SftpError>;

impl SftpProtocol {
    /// Runs the command with this type and request id; `fields` follow the request id.
    pub(super) fn run_command(
        &mut self,
        type_byte: u8,
        request_id: u32,
        fields: Fields<'_>,
    ) -> CommandResult {
        match type_byte {
            packet_type::OPEN => self.open(request_id, fields),
            packet_type::OPENDIR => self.open_directory(request_id, fields),
            packet_type::READ => self.read(request_id, fields),
            packet_type::WRITE => self.write(request_id, fields),
            packet_type::CLOSE => self.close(request_id, fields),
            packet_type::STAT | packet_type::LSTAT => self.stat(request_id, fields),
            packet_type::FSTAT => self.stat_handle(request_id, fields),
            packet_type::READDIR => self.read_directory(request_id, fields),
            packet_type::REALPATH => real_path(request_id, fields),
            _ => Err(SftpError::UnsupportedCommand),
        }
    }

    /// OPEN: for reading, the object is fetched before the client gets a handle; for writing, the client gets a
    /// handle immediately.
    fn open(&mut self, request_id: u32, mut fields: Fields<'_>) -> CommandResult {
        let path = fields.string()?;
        let flags = fields.u32()?;
        let PathTarget::Object(target) = self.shared.resolve(path)? else {
            return Err(SftpError::IsDirectory);
        };
        if flags == open_flags::READ {
            let request = self
                .shared
                .object_request(Operation::Read, &target, Vec::new());
            let operation = PendingOperation::Open(target);
            return Ok(CommandOutcome::Submit {
                requests: vec![request],
                operation,
            });
        }
        // A write replaces the whole object: flags that keep a part of the old one are not supported.
        let replace_flags = open_flags::WRITE | open_flags::CREAT;
        if flags != replace_flags && flags != replace_flags | open_flags::TRUNC {
            return Err(SftpError::UnsupportedOpenFlags);
        }
        let number = self.handles.insert(Handle::Upload {
            target,
            data: Vec::new(),
        })?;
        Ok(CommandOutcome::Reply(encode_handle(request_id, number)))
    }

    /// OPENDIR: the entries of the root directory are the configured volumes; the objects of a volume are listed by
    /// the first READDIR.
    fn open_directory(&mut self, request_id: u32, mut fields: Fields<'_>) -> CommandResult {
        let directory = match self.shared.resolve(fields.string()?)? {
            PathTarget::Object(_) => return Err(SftpError::NotDirectory),
            PathTarget::Volume(target) => Directory::Unlisted(target),
            PathTarget::Root => {
                let volumes = self.shared.config.volumes.iter();
                Directory::Listed(volumes.map(DirectoryEntry::from).collect())
            }
        };
        let number = self.handles.insert(Handle::Directory(directory))?;
        Ok(CommandOutcome::Reply(encode_handle(request_id, number)))
    }

    /// READ: a range of an object that OPEN fetched.
    fn read(&self, request_id: u32, mut fields: Fields<'_>) -> CommandResult {
        let number = handle_number(&mut fields)?;
        let offset = fields.u64()?;
        let length = fields.u32()? as usize;
        let data = self.handles.read_data(number)?;
        let offset = usize::try_from(offset).map_err(|_| SftpError::EndOfFile)?;
        let rest = data.get(offset..).unwrap_or_default();
        if rest.is_empty() {
            return Err(SftpError::EndOfFile);
        }
        let range = &rest[..length.min(rest.len())];
        Ok(CommandOutcome::Reply(
            Packet::with_id(packet_type::DATA, request_id)
                .string(range)
                .finish(),
        ))
    }

    /// WRITE: the bytes are buffered until CLOSE.
    fn write(&mut self, request_id: u32, mut fields: Fields<'_>) -> CommandResult {
        let number = handle_number(&mut fields)?;
        let offset = fields.u64()?;
        let bytes = fields.string()?;
        let max_size = self.shared.config.max_upload_bytes;
        let offset = usize::try_from(offset).map_err(|_| SftpError::ObjectTooLarge)?;
        if offset > max_size || offset + bytes.len() > max_size {
            return Err(SftpError::ObjectTooLarge);
        }
        self.handles.write_upload(number, offset, bytes)?;
        Ok(CommandOutcome::Reply(encode_status(
            request_id,
            StatusCode::Ok,
            "",
        )))
    }

    /// CLOSE: a buffered upload is submitted as one write, and the reply states whether the object was stored.
    fn close(&mut self, request_id: u32, mut fields: Fields<'_>) -> CommandResult {
        let number = handle_number(&mut fields)?;
        let Handle::Upload { target, data } = self.handles.remove(number)? else {
            return Ok(CommandOutcome::Reply(encode_status(
                request_id,
                StatusCode::Ok,
                "",
            )));
        };
        let size = data.len() as u64;
        let request = self.shared.object_request(Operation::Write, &target, data);
        let operation = PendingOperation::Store { target, size };
        Ok(CommandOutcome::Submit {
            requests: vec![request],
            operation,
        })
    }

    /// STAT and LSTAT: directories have fixed attributes, an object's size comes from its storage node.
    fn stat(&self, request_id: u32, mut fields: Fields<'_>) -> CommandResult {
        let PathTarget::Object(target) = self.shared.resolve(fields.string()?)? else {
            return Ok(CommandOutcome::Reply(encode_attributes(request_id, None)));
        };
        let request = self
            .shared
            .object_request(Operation::Stat, &target, Vec::new());
        let operation = PendingOperation::Stat(target);
        Ok(CommandOutcome::Submit {
            requests: vec![request],
            operation,
        })
    }

    /// FSTAT: the size of the buffered object.
    fn stat_handle(&self, request_id: u32, mut fields: Fields<'_>) -> CommandResult {
        let number = handle_number(&mut fields)?;
        let size = match self.handles.get(number)? {
            Handle::Directory(_) => None,
            file => Some(file.buffered_bytes() as u64),
        };
        Ok(CommandOutcome::Reply(encode_attributes(request_id, size)))
    }

    /// READDIR: the first one for a volume submits a listing of every shard; later ones return the next entries.
    fn read_directory(&mut self, request_id: u32, mut fields: Fields<'_>) -> CommandResult {
        let handle = handle_number(&mut fields)?;
        let directory = self.handles.directory_mut(handle)?;
        let target = match directory {
            Directory::Listed(entries) => {
                return Ok(CommandOutcome::Reply(encode_next_entries(
                    request_id, entries,
                )?));
            }
            Directory::Listing(_) => return Err(SftpError::ListingInProgress),
            Directory::Unlisted(target) => target.clone(),
        };
        let requests = self.shared.list_requests(&target);
        *directory = Directory::Listing(target);
        let listing = PendingListing {
            handle,
            remaining_shards: requests.len(),
            entries: Vec::new(),
        };
        Ok(CommandOutcome::Submit {
            requests,
            operation: PendingOperation::List(listing),
        })
    }
}

/// REALPATH: the canonical form of a path, whether it exists or not.
fn real_path(request_id: u32, mut fields: Fields<'_>) -> CommandResult {
    let path = canonicalize(fields.string()?).ok_or(SftpError::NoSuchFile)?;
    let packet = Packet::with_id(packet_type::NAME, request_id)
        .u32(1)
        .string(&path)
        .string(&path)
        .attributes(None);
    Ok(CommandOutcome::Reply(packet.finish()))
}

/// Takes a handle, which this server encodes as a 32-bit number.
fn handle_number(fields: &mut Fields<'_>) -> Result<u32, SftpError> {
    let bytes = fields
        .string()?
        .try_into()
        .map_err(|_| SftpError::NoSuchHandle)?;
    Ok(u32::from_be_bytes(bytes))
}

/// Encodes a HANDLE reply.
pub(super) fn encode_handle(request_id: u32, number: u32) -> Vec<u8> {
    Packet::with_id(packet_type::HANDLE, request_id)
        .string(number.to_be_bytes())
        .finish()
}

/// Encodes an ATTRS reply for an object of a size in bytes, or for a directory.
pub(super) fn encode_attributes(request_id: u32, size: Option<u64>) -> Vec<u8> {
    Packet::with_id(packet_type::ATTRS, request_id)
        .attributes(size)
        .finish()
}
