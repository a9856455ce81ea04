//! The state of one client between its commands.

use super::handle::HandleTable;
use super::shared::SftpShared;
use std::rc::Rc;

/// What commands of one client work on. `commands` starts them, `responses` completes those that
/// submitted requests.
pub(super) struct Session {
    /// State shared by all clients of the listener.
    pub(super) shared: Rc<SftpShared>,
    /// The client's open files and directories.
    pub(super) handles: HandleTable,
}

impl Session {
    /// A session without open handles.
    pub(super) fn new(shared: Rc<SftpShared>) -> Session {
        let handles = HandleTable::new(Rc::clone(&shared.buffer_budget));
        Session { shared, handles }
    }
}
