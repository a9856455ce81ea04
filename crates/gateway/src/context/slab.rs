//! A table of values indexed by connection token. A token is not reused until the 32-bit generation
//! of its slot wraps: if a connection was closed earlier in the same turn of the event loop, an
//! event for it finds no value, even if another connection has taken its slot.

use crate::connection_token::ConnectionToken;

/// Values indexed by token. The slot of a freed token is reused with a new generation.
#[derive(Debug)]
pub struct Slab<T> {
    /// The slots; the index in a token is a position in this list.
    slots: Vec<Slot<T>>,
    /// Indices of the free slots; the one freed last is reused first.
    free: Vec<u32>,
}

/// One slot of the table.
#[derive(Debug)]
struct Slot<T> {
    /// How many tokens of this slot have been freed.
    generation: u32,
    /// The value; `None` until it is stored, and while no token of this slot is reserved.
    value: Option<T>,
}

impl<T> Default for Slab<T> {
    fn default() -> Self {
        Slab {
            slots: Vec::new(),
            free: Vec::new(),
        }
    }
}

impl<T> Slab<T> {
    /// Reserves a token without a value; [`Slab::put`] stores the value.
    pub fn reserve(&mut self) -> ConnectionToken {
        let index = self.free.pop().unwrap_or_else(|| {
            self.slots.push(Slot {
                generation: 0,
                value: None,
            });
            (self.slots.len() - 1) as u32
        });
        ConnectionToken::new(self.slots[index as usize].generation, index)
    }

    /// Returns the storage for the value of a token; `None` if the token was freed.
    fn value_mut(&mut self, token: ConnectionToken) -> Option<&mut Option<T>> {
        let slot = self.slots.get_mut(token.index())?;
        if slot.generation != token.generation() {
            return None;
        }
        Some(&mut slot.value)
    }

    /// Returns the value of a token; `None` if the token was freed or has no value yet.
    #[must_use]
    pub fn get(&self, token: ConnectionToken) -> Option<&T> {
        let slot = self.slots.get(token.index())?;
        if slot.generation != token.generation() {
            return None;
        }
        slot.value.as_ref()
    }

    /// Stores the value of a reserved token. The value is dropped if the token was freed.
    pub fn put(&mut self, token: ConnectionToken, value: T) {
        if let Some(slot) = self.value_mut(token) {
            *slot = Some(value);
        }
    }

    /// Frees a token and returns its value, if it has one. Has no effect if the token was already
    /// freed.
    pub fn free(&mut self, token: ConnectionToken) -> Option<T> {
        let value = self.value_mut(token)?.take();
        let index = token.index();
        self.slots[index].generation = self.slots[index].generation.wrapping_add(1);
        self.free.push(index as u32);
        value
    }

    /// Returns the tokens that have a value, with their values, ordered by slot.
    pub fn iter(&self) -> impl Iterator<Item = (ConnectionToken, &T)> {
        let slots = self.slots.iter().enumerate();
        slots.filter_map(|(index, slot)| {
            let value = slot.value.as_ref()?;
            Some((ConnectionToken::new(slot.generation, index as u32), value))
        })
    }
}
