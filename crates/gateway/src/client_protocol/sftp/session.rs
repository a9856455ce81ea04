//! State of one client that persists between its commands.

use super::handle::HandleTable;
use super::shared::SftpListenerState;
use std::rc::Rc;

/// The state that the commands of one client operate on. The methods in `commands` start a command,
/// and those in `responses` complete a command that submitted requests.
pub(super) struct Session {
    /// State shared by all clients of the listener.
    pub(super) shared: Rc<SftpListenerState>,
    /// The client's open files and directories.
    pub(super) handles: HandleTable,
}

impl Session {
    /// Creates a session without open handles.
    pub(super) fn new(shared: Rc<SftpListenerState>) -> Session {
        let handles = HandleTable::new(Rc::clone(&shared.buffer_budget));
        Session { shared, handles }
    }
}
