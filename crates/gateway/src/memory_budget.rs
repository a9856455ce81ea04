//! The division of the memory limit of the process among its buffers.

use io_scheduler::Micros;

/// Retry-After of requests and commands that are rejected because the budget is exhausted, in
/// microseconds.
pub const OVERLOADED_RETRY_AFTER: Micros = 250_000;

/// Limits on what the process buffers at once, by purpose, in proportion to its memory limit.
///
/// The five buffers may take a twelfth of the memory limit each, and the table of requests another
/// twelfth. The other half is for connections, the endpoint list and the overhead of the
/// allocator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryBudget {
    /// Bytes of the bodies of unfinished requests. A request that would exceed it is rejected.
    pub request_body_bytes: usize,
    /// Bytes of encoded replies that are not written to clients yet. Beyond it each client gets
    /// one reply at a time; beyond twice as much, clients that read too slowly are disconnected.
    pub unsent_reply_bytes: usize,
    /// Bytes of incomplete commands. A client whose incomplete command exceeds it is disconnected.
    pub partial_command_bytes: usize,
    /// Bytes of uploads and objects that SFTP clients have open.
    pub sftp_file_bytes: usize,
    /// Bytes of large responses that are being received from nodes. A response that exceeds it
    /// ends its attempt with an error.
    pub large_response_bytes: usize,
    /// Bytes of the largest value accepted from a node. Nodes may send larger values than the 64
    /// KiB that they are specified for.
    pub max_value_bytes: usize,
    /// Number of unfinished requests. Further requests are rejected.
    pub max_requests: usize,
}

impl MemoryBudget {
    /// Bytes per MiB.
    const BYTES_PER_MIB: usize = 1 << 20;
    /// The size of each buffer is the memory limit divided by this.
    const BUFFER_DIVISOR: usize = 12;
    /// The largest value accepted from a node is the memory limit divided by this.
    const VALUE_DIVISOR: usize = 32;
    /// Estimate of the bytes that a request takes besides its body, with its entries in all
    /// tables.
    const REQUEST_OVERHEAD_BYTES: usize = 2 << 10;
    /// Upper bound of the largest value, in bytes: a longer announced length is taken to be
    /// corrupt.
    const MAX_ACCEPTED_VALUE_BYTES: usize = 1 << 20;

    /// The budget of a process that may use `memory_mb` MiB.
    #[must_use]
    pub fn from_memory_mb(memory_mb: usize) -> MemoryBudget {
        let memory_bytes = memory_mb * Self::BYTES_PER_MIB;
        let buffer_bytes = memory_bytes / Self::BUFFER_DIVISOR;
        MemoryBudget {
            request_body_bytes: buffer_bytes,
            unsent_reply_bytes: buffer_bytes,
            partial_command_bytes: buffer_bytes,
            sftp_file_bytes: buffer_bytes,
            large_response_bytes: buffer_bytes,
            max_value_bytes: (memory_bytes / Self::VALUE_DIVISOR)
                .min(Self::MAX_ACCEPTED_VALUE_BYTES),
            max_requests: buffer_bytes / Self::REQUEST_OVERHEAD_BYTES,
        }
    }
}
