//! Division of the file descriptors of the process among its connections.

use rustix::io::Errno;
use std::io;

/// Number of descriptors reserved for everything except client and node connections: listeners,
/// files, pipes, the poller and the discovery watch.
const RESERVED_DESCRIPTORS: usize = 24;
/// Client connections that have sent a request may use at most the number of descriptors divided by
/// this. Such connections are expected to use up to a third of all descriptors; the limit is a
/// quarter, so that descriptors remain for new connections.
const DESCRIPTORS_PER_REQUESTING_CLIENT: usize = 4;
/// Percentage of the unreserved descriptors that connections to nodes may use.
const NODE_CONNECTION_PERCENT: usize = 40;

/// Maximum numbers of open connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ConnectionLimits {
    /// Maximum number of client connections.
    pub(crate) clients: usize,
    /// Maximum number of client connections that have sent a request. If there are more, idle ones
    /// among them are closed.
    pub(crate) requesting_clients: usize,
    /// Maximum number of connections to nodes.
    pub(crate) nodes: usize,
}

impl ConnectionLimits {
    /// Divides the descriptors of the process, except the reserved ones, between clients and nodes.
    /// `max_descriptors` must be at least the minimum that the configuration enforces.
    pub(crate) fn for_descriptors(max_descriptors: usize) -> ConnectionLimits {
        let usable = max_descriptors - RESERVED_DESCRIPTORS;
        let nodes = usable * NODE_CONNECTION_PERCENT / 100;
        ConnectionLimits {
            clients: usable - nodes,
            requesting_clients: max_descriptors / DESCRIPTORS_PER_REQUESTING_CLIENT,
            nodes,
        }
    }
}

/// Errors of `accept`, `socket` and `connect` that tell of a shortage on this host and nothing of
/// the peer.
const LOCAL_SHORTAGES: [Errno; 8] = [
    Errno::MFILE,
    Errno::NFILE,
    Errno::NOBUFS,
    Errno::NOMEM,
    Errno::ADDRNOTAVAIL,
    Errno::NETUNREACH,
    Errno::NETDOWN,
    Errno::AGAIN,
];

/// Returns whether a system call failed because of a shortage on this host.
pub(crate) fn is_local_shortage(error: &io::Error) -> bool {
    is_one_of(error, &LOCAL_SHORTAGES)
}

/// Returns whether a system call failed because the process or the system has run out of file
/// descriptors.
pub(crate) fn is_out_of_descriptors(error: &io::Error) -> bool {
    is_one_of(error, &[Errno::MFILE, Errno::NFILE])
}

/// Returns whether the error has one of these codes.
fn is_one_of(error: &io::Error, errnos: &[Errno]) -> bool {
    let code = error.raw_os_error();
    errnos
        .iter()
        .any(|errno| Some(errno.raw_os_error()) == code)
}
