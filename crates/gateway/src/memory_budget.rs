//! How the memory limit of the process is divided among what it buffers.

/// Most bytes that the process buffers at once, by purpose, in proportion to its memory limit.
///
/// Together the parts take less than half of the limit: the rest is for connections, for the endpoint list
/// and for the overhead of the allocator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryBudget {
    /// Bytes of request bodies in flight; requests beyond it are rejected.
    pub request_body_bytes: usize,
    /// Bytes of responses that clients have not read yet; beyond it each client gets one response at a time.
    pub unsent_reply_bytes: usize,
    /// Bytes of incomplete commands; clients with an incomplete command are disconnected beyond it.
    pub partial_command_bytes: usize,
    /// Bytes of uploads and of objects that SFTP clients have open.
    pub sftp_file_bytes: usize,
    /// Bytes of large responses that nodes are sending; beyond it one more large response is abandoned.
    pub large_response_bytes: usize,
    /// Bytes of the largest value accepted from a node. Nodes are specified for 64 KiB but send more.
    pub max_value_bytes: usize,
    /// Number of requests in flight; requests beyond it are rejected.
    pub max_requests: usize,
}

impl MemoryBudget {
    /// Bytes per MiB.
    const BYTES_PER_MIB: usize = 1 << 20;
    /// Each buffer that grows with the load gets the memory limit divided by this.
    const BUFFER_FRACTION: usize = 12;
    /// The largest value accepted from a node is the memory limit divided by this.
    const VALUE_FRACTION: usize = 32;
    /// Bytes that a request takes besides its body, with its entries in every table.
    const REQUEST_OVERHEAD_BYTES: usize = 2 << 10;
    /// A value longer than this is taken for a corrupt length, however much memory there is.
    const MAX_VALUE_BYTES: usize = 1 << 20;

    /// The budget of a process that may use `memory_mb` MiB.
    #[must_use]
    pub fn from_memory_mb(memory_mb: usize) -> MemoryBudget {
        let memory = memory_mb * Self::BYTES_PER_MIB;
        let buffer = memory / Self::BUFFER_FRACTION;
        MemoryBudget {
            request_body_bytes: buffer,
            unsent_reply_bytes: buffer,
            partial_command_bytes: buffer,
            sftp_file_bytes: buffer,
            large_response_bytes: buffer,
            max_value_bytes: (memory / Self::VALUE_FRACTION).min(Self::MAX_VALUE_BYTES),
            max_requests: buffer / Self::REQUEST_OVERHEAD_BYTES,
        }
    }
}
