//! Encodes commands and allocates the request ids that match replies to commands.

use crate::sftp_packet::{OpenFlags, Packet, PacketType, RequestId};

/// Attribute flags in OPEN: no attributes are sent, so the server's defaults apply.
const NO_ATTRIBUTES: u32 = 0;

/// The handle of an open file or directory, as assigned by the server. Its bytes are opaque to the
/// gateway.
pub(super) type ServerHandle = Vec<u8>;

/// Request ids of the commands on one connection.
pub(super) struct CommandIds {
    /// The last allocated id. While a request is in flight, this is the id of its last command; a
    /// reply with another id belongs to an earlier request and is ignored. After
    /// [`CommandWriter::close_ignoring_reply`], no command has this id.
    last: RequestId,
    /// The id of the last CLOSE that was sent after its request was complete. The reply to it is
    /// ignored.
    ignored: Option<RequestId>,
}

impl CommandIds {
    /// Creates the state of a connection on which no command has been sent.
    pub(super) fn new() -> CommandIds {
        CommandIds {
            last: RequestId(0),
            ignored: None,
        }
    }

    /// Returns whether a reply with this id is the reply to the last command.
    pub(super) fn is_last(&self, id: RequestId) -> bool {
        id == self.last
    }

    /// Returns whether a reply must be ignored because it is the reply to a CLOSE that was sent
    /// after its request was complete. Returns true once for each such reply.
    pub(super) fn take_ignored(&mut self, id: RequestId) -> bool {
        let is_ignored = self.ignored == Some(id);
        if is_ignored {
            self.ignored = None;
        }
        is_ignored
    }

    /// Allocates the id of the next command.
    fn allocate(&mut self) -> RequestId {
        self.last = self.last.next();
        self.last
    }
}

/// Writes commands to the output buffer of a connection, each with a new request id.
pub(super) struct CommandWriter<'a> {
    /// Request ids of the connection.
    ids: &'a mut CommandIds,
    /// Output buffer of the connection.
    out: &'a mut Vec<u8>,
}

impl<'a> CommandWriter<'a> {
    /// Creates a writer that appends to `out` and allocates its ids from `ids`.
    pub(super) fn new(ids: &'a mut CommandIds, out: &'a mut Vec<u8>) -> CommandWriter<'a> {
        CommandWriter { ids, out }
    }

    /// Creates a command packet with the next request id.
    fn start(&mut self, packet_type: PacketType) -> Packet {
        Packet::with_id(packet_type, self.ids.allocate())
    }

    /// Appends an encoded command to the output.
    fn append(&mut self, command: Packet) {
        self.out.extend(command.finish());
    }

    /// Appends OPEN for a path, without attributes.
    pub(super) fn open(&mut self, path: &str, flags: OpenFlags) {
        let command = self.start(PacketType::OPEN);
        self.append(command.string(path).u32(flags.0).u32(NO_ATTRIBUTES));
    }

    /// Appends OPENDIR for a path.
    pub(super) fn open_directory(&mut self, path: &str) {
        let command = self.start(PacketType::OPENDIR);
        self.append(command.string(path));
    }

    /// Appends STAT for a path.
    pub(super) fn stat(&mut self, path: &str) {
        let command = self.start(PacketType::STAT);
        self.append(command.string(path));
    }

    /// Appends READ for up to `length` bytes at `offset`.
    pub(super) fn read(&mut self, handle: &[u8], offset: u64, length: u32) {
        let command = self.start(PacketType::READ);
        self.append(command.string(handle).u64(offset).u32(length));
    }

    /// Appends WRITE for `bytes` at `offset`.
    pub(super) fn write(&mut self, handle: &[u8], offset: u64, bytes: &[u8]) {
        let command = self.start(PacketType::WRITE);
        self.append(command.string(handle).u64(offset).string(bytes));
    }

    /// Appends READDIR.
    pub(super) fn read_directory(&mut self, handle: &[u8]) {
        let command = self.start(PacketType::READDIR);
        self.append(command.string(handle));
    }

    /// Appends CLOSE.
    pub(super) fn close(&mut self, handle: &[u8]) {
        let command = self.start(PacketType::CLOSE);
        self.append(command.string(handle));
    }

    /// Appends CLOSE for the handle of a request that is already complete. The reply is recognized
    /// by its id and ignored.
    pub(super) fn close_ignoring_reply(&mut self, handle: &[u8]) {
        self.close(handle);
        self.ids.ignored = Some(self.ids.last);
        // Skips one id, so that `last` is not the id of the CLOSE, whose reply is ignored.
        self.ids.allocate();
    }
}
