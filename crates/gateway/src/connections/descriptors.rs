//! How the file descriptors of the process are divided.

use rustix::io::Errno;
use std::io;

/// Descriptors that are neither of clients nor of nodes.
const OTHER_DESCRIPTORS: usize = 24;
/// One in so many descriptors may belong to a client that has sent a request. Clients use a third of the
/// descriptors for requests: with a fourth, some can always connect.
const DESCRIPTORS_PER_REQUESTER: usize = 4;

/// How many connections may be open at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ConnectionLimits {
    /// Client connections.
    pub(crate) clients: usize,
    /// Client connections that have sent a request. More of them are closed while they are idle.
    pub(crate) requesters: usize,
    /// Connections to nodes.
    pub(crate) nodes: usize,
}

impl ConnectionLimits {
    /// Divides the descriptors that the process may use.
    pub(crate) fn for_descriptors(descriptors: usize) -> ConnectionLimits {
        let usable = descriptors - OTHER_DESCRIPTORS;
        let nodes = usable * 2 / 5;
        ConnectionLimits {
            clients: usable - nodes,
            requesters: descriptors / DESCRIPTORS_PER_REQUESTER,
            nodes,
        }
    }
}

/// Whether a call failed because the process or the system has no descriptor left.
pub(crate) fn is_out_of_descriptors(error: &io::Error) -> bool {
    let code = error.raw_os_error();
    [Errno::MFILE, Errno::NFILE].iter().any(|errno| Some(errno.raw_os_error()) == code)
}
