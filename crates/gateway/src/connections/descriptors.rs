//! How the file descriptors of the process are divided among connections.

use rustix::io::Errno;
use std::io;

/// Descriptors reserved for everything but connections of clients and to nodes: listeners, files,
/// pipes, the poller and the watch on discovery.
const OTHER_DESCRIPTORS: usize = 24;
/// At most one in this many descriptors may be used by client connections that have sent a
/// request. Clients are expected to use up to a third of the descriptors for requests; a limit of
/// a quarter leaves descriptors for new connections.
const DESCRIPTORS_PER_REQUESTER: usize = 4;
/// Percentage of the descriptors that are not reserved which connections to nodes may use.
const NODE_PERCENT: usize = 40;

/// How many connections may be open at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ConnectionLimits {
    /// Client connections.
    pub(crate) clients: usize,
    /// Client connections that have sent a request. Beyond this number idle ones of them are
    /// closed.
    pub(crate) requesters: usize,
    /// Connections to nodes.
    pub(crate) nodes: usize,
}

impl ConnectionLimits {
    /// Divides the descriptors that the process may use; those that are not reserved are for
    /// clients and nodes. `max_descriptors` must not be below the minimum that the configuration
    /// enforces.
    pub(crate) fn for_descriptors(max_descriptors: usize) -> ConnectionLimits {
        let usable = max_descriptors - OTHER_DESCRIPTORS;
        let nodes = usable * NODE_PERCENT / 100;
        ConnectionLimits {
            clients: usable - nodes,
            requesters: max_descriptors / DESCRIPTORS_PER_REQUESTER,
            nodes,
        }
    }
}

/// Whether a system call failed because the process or the whole system has no file descriptor
/// left.
pub(crate) fn is_out_of_descriptors(error: &io::Error) -> bool {
    let code = error.raw_os_error();
    [Errno::MFILE, Errno::NFILE]
        .iter()
        .any(|errno| Some(errno.raw_os_error()) == code)
}
