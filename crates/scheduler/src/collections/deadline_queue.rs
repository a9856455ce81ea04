//! A queue of entries ordered by deadline.

use crate::api::Micros;
use std::collections::BTreeSet;

/// Entries ordered by deadline; entries with the same deadline are ordered by `Ord`.
pub struct DeadlineQueue<T> {
    /// The entries with their deadlines.
    entries: BTreeSet<(Micros, T)>,
}

impl<T> Default for DeadlineQueue<T> {
    fn default() -> Self {
        DeadlineQueue {
            entries: BTreeSet::new(),
        }
    }
}

impl<T: Copy + Ord> DeadlineQueue<T> {
    /// Adds an entry.
    pub fn insert(&mut self, deadline: Micros, entry: T) {
        self.entries.insert((deadline, entry));
    }

    /// Removes an entry; returns whether it was present.
    pub fn remove(&mut self, deadline: Micros, entry: T) -> bool {
        self.entries.remove(&(deadline, entry))
    }

    /// Removes and returns the entry with the earliest deadline, if that has passed.
    pub fn pop_expired(&mut self, now: Micros) -> Option<T> {
        let (deadline, _) = self.entries.first()?;
        if *deadline > now {
            return None;
        }
        self.entries.pop_first().map(|(_, entry)| entry)
    }

    /// Returns the earliest deadline.
    pub fn next_deadline(&self) -> Option<Micros> {
        self.entries.first().map(|(deadline, _)| *deadline)
    }

    /// Returns all entries, earliest deadline first.
    pub fn iter(&self) -> impl Iterator<Item = T> + '_ {
        self.entries.iter().map(|(_, entry)| *entry)
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
