//! Request ids, by which replies are matched to commands.

/// The id of a command. The sender of the command chooses it, and the reply repeats it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestId(pub u32);

impl RequestId {
    /// Returns the next id. The largest id is followed by zero.
    #[must_use]
    pub fn next(self) -> RequestId {
        RequestId(self.0.wrapping_add(1))
    }
}
