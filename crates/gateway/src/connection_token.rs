//! Tokens that identify connections to the event loop, the poller and the timers.

/// Identifies a connection in the [`Slab`](crate::context::slab::Slab) of the event loop.
///
/// The low 32 bits are the index of the connection's slot, the high 32 bits the generation of that
/// slot. Tokens are ordered by the resulting number, which epoll also stores with each registered
/// descriptor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionToken(u64);

impl ConnectionToken {
    /// The lowest token, as the lower end of a range.
    pub(crate) const MIN: ConnectionToken = ConnectionToken(u64::MIN);

    /// Creates the token of one generation of a slot.
    pub(crate) fn new(generation: u32, index: u32) -> ConnectionToken {
        ConnectionToken(u64::from(generation) << 32 | u64::from(index))
    }

    /// Returns the index of the slot.
    pub(crate) fn index(self) -> usize {
        self.0 as u32 as usize
    }

    /// Returns the generation of the slot when the token was reserved.
    pub(crate) fn generation(self) -> u32 {
        (self.0 >> 32) as u32
    }
}

impl From<u64> for ConnectionToken {
    fn from(number: u64) -> ConnectionToken {
        ConnectionToken(number)
    }
}

impl From<ConnectionToken> for u64 {
    fn from(token: ConnectionToken) -> u64 {
        token.0
    }
}
