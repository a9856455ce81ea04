//! The commands of a session: each is answered at once or submits requests.

use super::directory::{encode_next_entries, Directory, DirectoryEntry, PendingListing};
use super::error::SftpError;
use super::handle::Handle;
use super::path::{canonicalize, PathTarget};
use super::response::PendingOperation;
use super::SftpProtocol;
use crate::dispatcher::{Operation, StorageRequest};
use crate::sftp_packet::{kind, open, status, Code, Fields, Packet};

/// What a command leads to.
pub(super) enum CommandOutcome {
    /// An encoded reply.
    Reply(Vec<u8>),
    /// Requests whose responses complete an operation.
    Submit { requests: Vec<StorageRequest>, operation: PendingOperation },
}

/// The outcome of a command, or an error that is answered with a STATUS.
type CommandResult = Result<CommandOutcome, SftpError>;

impl SftpProtocol {
    /// Runs the command `request_id` of a packet type.
    pub(super) fn run_command(&mut self, kind: u8, request_id: u32, fields: Fields<'_>) -> CommandResult {
        match kind {
            kind::OPEN => self.open(request_id, fields),
            kind::OPENDIR => self.open_directory(request_id, fields),
            kind::READ => self.read(request_id, fields),
            kind::WRITE => self.write(request_id, fields),
            kind::CLOSE => self.close(request_id, fields),
            kind::STAT | kind::LSTAT => self.stat(request_id, fields),
            kind::FSTAT => self.stat_handle(request_id, fields),
            kind::READDIR => self.read_directory(request_id, fields),
            kind::REALPATH => real_path(request_id, fields),
            _ => Err(SftpError::UnsupportedCommand),
        }
    }

    /// OPEN: an object is fetched before its handle exists; an upload gets its handle at once.
    fn open(&mut self, request_id: u32, mut fields: Fields<'_>) -> CommandResult {
        let path = fields.string()?;
        let flags = fields.u32()?;
        let PathTarget::Object(target) = self.shared.resolve(path)? else {
            return Err(SftpError::IsDirectory);
        };
        if flags == open::READ {
            let request = self.shared.object_request(Operation::Read, &target, Vec::new());
            let operation = PendingOperation::Open(target);
            return Ok(CommandOutcome::Submit { requests: vec![request], operation });
        }
        // An object is replaced as a whole: flags that keep a part of the old one are not supported.
        let replace_flags = open::WRITE | open::CREAT;
        if flags != replace_flags && flags != replace_flags | open::TRUNC {
            return Err(SftpError::UnsupportedOpenFlags);
        }
        let number = self.handles.insert(Handle::Upload { target, data: Vec::new() })?;
        Ok(CommandOutcome::Reply(encode_handle(request_id, number)))
    }

    /// OPENDIR: the volumes are known; the objects of a volume are listed at the first READDIR.
    fn open_directory(&mut self, request_id: u32, mut fields: Fields<'_>) -> CommandResult {
        let directory = match self.shared.resolve(fields.string()?)? {
            PathTarget::Object(_) => return Err(SftpError::NotDirectory),
            PathTarget::Volume(target) => Directory::Unlisted(target),
            PathTarget::Root => {
                let names = self.shared.config.volumes.iter().map(|volume| volume.name.as_bytes());
                Directory::Listed(
                    names.map(|name| DirectoryEntry { name: name.to_vec(), size: None }).collect(),
                )
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
        let rest = usize::try_from(offset).ok().and_then(|offset| data.get(offset..)).unwrap_or_default();
        if rest.is_empty() {
            return Err(SftpError::EndOfFile);
        }
        let range = &rest[..length.min(rest.len())];
        Ok(CommandOutcome::Reply(Packet::with_id(kind::DATA, request_id).string(range).done()))
    }

    /// WRITE: the bytes are buffered until CLOSE.
    fn write(&mut self, request_id: u32, mut fields: Fields<'_>) -> CommandResult {
        let number = handle_number(&mut fields)?;
        let offset = fields.u64()?;
        let bytes = fields.string()?;
        let max_size = self.shared.config.max_upload;
        let offset = usize::try_from(offset).map_err(|_| SftpError::ObjectTooLarge)?;
        if offset > max_size || offset + bytes.len() > max_size {
            return Err(SftpError::ObjectTooLarge);
        }
        self.handles.write_upload(number, offset, bytes)?;
        Ok(CommandOutcome::Reply(status(request_id, Code::Ok, "")))
    }

    /// CLOSE: a buffered upload becomes one write; its reply states whether the object is stored.
    fn close(&mut self, request_id: u32, mut fields: Fields<'_>) -> CommandResult {
        let number = handle_number(&mut fields)?;
        let Handle::Upload { target, data } = self.handles.remove(number)? else {
            return Ok(CommandOutcome::Reply(status(request_id, Code::Ok, "")));
        };
        let size = data.len() as u64;
        let request = self.shared.object_request(Operation::Write, &target, data);
        let operation = PendingOperation::Store { target, size };
        Ok(CommandOutcome::Submit { requests: vec![request], operation })
    }

    /// STAT and LSTAT: directories have fixed attributes, an object's size comes from its storage node.
    fn stat(&self, request_id: u32, mut fields: Fields<'_>) -> CommandResult {
        let PathTarget::Object(target) = self.shared.resolve(fields.string()?)? else {
            return Ok(CommandOutcome::Reply(encode_attributes(request_id, None)));
        };
        let request = self.shared.object_request(Operation::Stat, &target, Vec::new());
        let operation = PendingOperation::Stat(target);
        Ok(CommandOutcome::Submit { requests: vec![request], operation })
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

    /// READDIR: the first one for a volume asks every shard; later ones take from the entries found.
    fn read_directory(&mut self, request_id: u32, mut fields: Fields<'_>) -> CommandResult {
        let handle = handle_number(&mut fields)?;
        let directory = self.handles.directory_mut(handle)?;
        let target = match directory {
            Directory::Listed(entries) => {
                return Ok(CommandOutcome::Reply(encode_next_entries(request_id, entries)?));
            }
            Directory::Listing(_) => return Err(SftpError::ListingInProgress),
            Directory::Unlisted(target) => target.clone(),
        };
        let requests = self.shared.list_requests(&target);
        *directory = Directory::Listing(target);
        let listing = PendingListing { handle, remaining_shards: requests.len(), entries: Vec::new() };
        Ok(CommandOutcome::Submit { requests, operation: PendingOperation::List(listing) })
    }
}

/// REALPATH: the canonical form of a path, whether it exists or not.
fn real_path(request_id: u32, mut fields: Fields<'_>) -> CommandResult {
    let path = canonicalize(fields.string()?).ok_or(SftpError::NoSuchFile)?;
    let packet = Packet::with_id(kind::NAME, request_id).u32(1).string(&path).string(&path).attrs(None);
    Ok(CommandOutcome::Reply(packet.done()))
}

/// Takes a handle, which this server encodes as a 32-bit number.
fn handle_number(fields: &mut Fields<'_>) -> Result<u32, SftpError> {
    let bytes = fields.string()?.try_into().map_err(|_| SftpError::NoSuchHandle)?;
    Ok(u32::from_be_bytes(bytes))
}

/// Encodes a HANDLE reply.
pub(super) fn encode_handle(request_id: u32, number: u32) -> Vec<u8> {
    Packet::with_id(kind::HANDLE, request_id).string(number.to_be_bytes()).done()
}

/// Encodes an ATTRS reply for an object of a size in bytes, or for a directory.
pub(super) fn encode_attributes(request_id: u32, size: Option<u64>) -> Vec<u8> {
    Packet::with_id(kind::ATTRS, request_id).attrs(size).done()
}
