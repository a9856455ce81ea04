//! A table of values by connection token. A token is never used twice: an event for a connection
//! that was closed earlier in the same turn finds nothing, even if its slot has been taken by
//! another one.

use crate::connection_token::ConnectionToken;

/// Values by token. The slots of freed tokens are used again in a new generation.
#[derive(Debug)]
pub struct Slab<T> {
    /// The slots, by the index of a token.
    slots: Vec<Slot<T>>,
    /// Indices of slots without a reserved token; the last one freed is used next.
    free: Vec<u32>,
}

/// One place of the table.
#[derive(Debug)]
struct Slot<T> {
    /// How often a token of this slot has been freed.
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
    /// Reserves a token; [`Slab::put`] stores its value.
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

    /// The place of a token's value; `None` if the token is freed.
    fn value_mut(&mut self, token: ConnectionToken) -> Option<&mut Option<T>> {
        let slot = self.slots.get_mut(token.index())?;
        if slot.generation != token.generation() {
            return None;
        }
        Some(&mut slot.value)
    }

    /// The value of a token; `None` if the token is freed or its value not stored yet.
    #[must_use]
    pub fn get(&self, token: ConnectionToken) -> Option<&T> {
        let slot = self.slots.get(token.index())?;
        if slot.generation != token.generation() {
            return None;
        }
        slot.value.as_ref()
    }

    /// Stores the value of a reserved token. If the token is freed, the value is dropped.
    pub fn put(&mut self, token: ConnectionToken, value: T) {
        if let Some(slot) = self.value_mut(token) {
            *slot = Some(value);
        }
    }

    /// Frees a token for good and returns its value, if it was stored. Has no effect on a token
    /// that is freed already.
    pub fn free(&mut self, token: ConnectionToken) -> Option<T> {
        let value = self.value_mut(token)?.take();
        let index = token.index();
        self.slots[index].generation = self.slots[index].generation.wrapping_add(1);
        self.free.push(index as u32);
        value
    }

    /// The tokens and values that are present, in the order of their slots.
    pub fn iter(&self) -> impl Iterator<Item = (ConnectionToken, &T)> {
        let slots = self.slots.iter().enumerate();
        slots.filter_map(|(index, slot)| {
            let value = slot.value.as_ref()?;
            Some((ConnectionToken::new(slot.generation, index as u32), value))
        })
    }
}
