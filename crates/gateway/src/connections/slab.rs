//! A table of connections by token. A token is never used twice, so that an event for a connection that was
//! closed in the same turn finds nothing.

/// Values by token. The low half of a token is the index of its slot, the high half the slot's generation.
#[derive(Debug)]
pub struct Slab<T> {
    slots: Vec<Slot<T>>,
    /// Indices of slots without a reserved token; the last one freed is used next.
    free: Vec<u32>,
}

/// One place of the table.
#[derive(Debug)]
struct Slot<T> {
    /// How often a token of this slot has been freed.
    generation: u32,
    value: Option<T>,
}

impl<T> Default for Slab<T> {
    fn default() -> Self {
        Slab { slots: Vec::new(), free: Vec::new() }
    }
}

impl<T> Slab<T> {
    /// Reserves a token; [`Slab::put`] fills it.
    pub fn reserve(&mut self) -> u64 {
        let index = self.free.pop().unwrap_or_else(|| {
            self.slots.push(Slot { generation: 0, value: None });
            (self.slots.len() - 1) as u32
        });
        token(self.slots[index as usize].generation, index)
    }

    fn value_mut(&mut self, token: u64) -> Option<&mut Option<T>> {
        let slot = self.slots.get_mut(index(token))?;
        (u64::from(slot.generation) == token >> 32).then_some(&mut slot.value)
    }

    /// Takes a value out for a while; its token stays reserved until [`Slab::free`].
    pub fn take(&mut self, token: u64) -> Option<T> {
        self.value_mut(token)?.take()
    }

    /// Stores the value of a reserved token. With a freed token the value is dropped.
    pub fn put(&mut self, token: u64, value: T) {
        if let Some(slot) = self.value_mut(token) {
            *slot = Some(value);
        }
    }

    /// The value of a token, unless it is taken out or the token is freed.
    pub fn get(&mut self, token: u64) -> Option<&mut T> {
        self.value_mut(token)?.as_mut()
    }

    /// Frees a token for good and returns its value, unless that is taken out.
    pub fn free(&mut self, token: u64) -> Option<T> {
        let value = self.value_mut(token)?.take();
        let index = index(token);
        self.slots[index].generation = self.slots[index].generation.wrapping_add(1);
        self.free.push(index as u32);
        value
    }

    /// The tokens and values that are present, in the order of their slots.
    pub fn iter(&self) -> impl Iterator<Item = (u64, &T)> {
        let slots = self.slots.iter().enumerate();
        slots.filter_map(|(index, slot)| {
            let value = slot.value.as_ref()?;
            Some((token(slot.generation, index as u32), value))
        })
    }
}

fn token(generation: u32, index: u32) -> u64 {
    u64::from(generation) << 32 | u64::from(index)
}

fn index(token: u64) -> usize {
    token as u32 as usize
}
