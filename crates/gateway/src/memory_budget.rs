//! Divides the memory limit of the process among its buffers.

use io_scheduler::Micros;

/// Retry-After, in microseconds, of requests and commands that are rejected because the memory
/// budget is exhausted.
pub const OVERLOADED_RETRY_AFTER: Micros = 250_000;

/// Limits on how much data the process buffers, one for each kind of buffer, in proportion to its
/// memory limit.
///
/// Each of the five buffers may take one twelfth of the memory limit, and the table of requests
/// another twelfth. The other half is left for connections, the endpoint list and the overhead of
/// the allocator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryBudget {
    /// Total bytes of the bodies, parameter lists and names of unfinished requests. A request that
    /// would make the total exceed this limit is rejected.
    pub request_bytes: usize,
    /// Total bytes of replies that have not been written to clients yet, and of the memory that is
    /// reserved for replies that will have to wait for earlier ones. A command that would make the
    /// total exceed this limit is run only if its client has no pending reply; above twice this
    /// limit, clients that read too slowly are disconnected.
    pub unsent_reply_bytes: usize,
    /// Total bytes of the input of clients that is not run yet: incomplete commands, and complete
    /// ones that wait for earlier commands of their client. Above this limit, a client that sends
    /// only a part of a command is rejected and disconnected. Complete commands may take
    /// [`Self::waiting_command_bytes`]; above that limit, they are rejected.
    pub input_bytes: usize,
    /// Total bytes of the uploads and objects that SFTP clients have open.
    pub sftp_file_bytes: usize,
    /// Total bytes of large responses that are being received from nodes. An attempt fails if its
    /// response makes the total exceed this limit.
    pub large_response_bytes: usize,
    /// Largest value that is accepted from a node, in bytes. Nodes may send larger values than the
    /// 64 KiB that their specification allows.
    pub max_value_bytes: usize,
    /// Maximum number of unfinished requests. Further requests are rejected.
    pub max_requests: usize,
    /// Maximum number of finished requests whose ids are remembered, because they must not be
    /// executed again.
    pub max_executed_requests: usize,
}

impl MemoryBudget {
    /// Bytes per MiB.
    const BYTES_PER_MIB: usize = 1 << 20;
    /// The size of each buffer is the memory limit divided by this.
    const BUFFER_DIVISOR: usize = 12;
    /// The largest value accepted from a node is the memory limit divided by this.
    const VALUE_DIVISOR: usize = 32;
    /// Complete commands that wait may take the bytes for input divided by this.
    const WAITING_COMMAND_DIVISOR: usize = 2;
    /// Estimated memory of a request without its texts and its body, in bytes. Includes its entries
    /// in all tables.
    const REQUEST_OVERHEAD_BYTES: usize = 2 << 10;
    /// The ids of finished requests may take the memory limit divided by this.
    const EXECUTED_REQUESTS_DIVISOR: usize = 64;
    /// Estimated memory of the id of a finished request, in bytes: a hash and a time, in two tables
    /// that may be twice as large as their content.
    const EXECUTED_REQUEST_BYTES: usize = 64;
    /// Upper bound of `max_value_bytes`. If a node announces a longer value, the length is taken to
    /// be corrupt.
    const MAX_ACCEPTED_VALUE_BYTES: usize = 1 << 20;

    /// The part of [`Self::input_bytes`] that complete commands may take, so that commands that are
    /// being received keep the rest.
    #[must_use]
    pub fn waiting_command_bytes(&self) -> usize {
        self.input_bytes / Self::WAITING_COMMAND_DIVISOR
    }

    /// Computes the budget of a process that may use `memory_mb` MiB.
    #[must_use]
    pub fn from_memory_mb(memory_mb: usize) -> MemoryBudget {
        let memory_bytes = memory_mb * Self::BYTES_PER_MIB;
        let buffer_bytes = memory_bytes / Self::BUFFER_DIVISOR;
        MemoryBudget {
            request_bytes: buffer_bytes,
            unsent_reply_bytes: buffer_bytes,
            input_bytes: buffer_bytes,
            sftp_file_bytes: buffer_bytes,
            large_response_bytes: buffer_bytes,
            max_value_bytes: (memory_bytes / Self::VALUE_DIVISOR)
                .min(Self::MAX_ACCEPTED_VALUE_BYTES),
            max_requests: buffer_bytes / Self::REQUEST_OVERHEAD_BYTES,
            max_executed_requests: memory_bytes
                / Self::EXECUTED_REQUESTS_DIVISOR
                / Self::EXECUTED_REQUEST_BYTES,
        }
    }
}
