//! The token by which the event loop, the poller and the timers refer to a connection.

/// Identifies a connection in the [`Slab`](crate::context::slab::Slab) of the event loop.
///
/// The low 32 bits are the index of the connection's slot, the high 32 bits the generation of that
/// slot. Tokens are ordered by their number, and epoll stores that number with each registered
/// descriptor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionToken(u64);

impl ConnectionToken {
    /// The first token in the order of tokens.
    pub(crate) const MIN: ConnectionToken = ConnectionToken(u64::MIN);

    /// The token of a slot in one of its generations.
    pub(crate) fn new(generation: u32, index: u32) -> ConnectionToken {
        ConnectionToken(u64::from(generation) << 32 | u64::from(index))
    }

    /// Index of the slot.
    pub(crate) fn index(self) -> usize {
        self.0 as u32 as usize
    }

    /// Generation of the slot for which the token was reserved.
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
