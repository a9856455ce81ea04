//! The number by which a reply names the command that it answers.

/// A request id, chosen by the side that sends the command; the reply repeats it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestId(pub u32);

impl RequestId {
    /// The id after this one. The largest id is followed by zero.
    #[must_use]
    pub fn next(self) -> RequestId {
        RequestId(self.0.wrapping_add(1))
    }
}
