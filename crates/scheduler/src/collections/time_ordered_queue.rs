//! A queue of entries ordered by time.

use crate::api::Micros;
use std::collections::BTreeSet;

/// Entries ordered by time, for example a deadline; entries with the same time are ordered by
/// `Ord`.
pub struct TimeOrderedQueue<T> {
    /// The entries with their times.
    entries: BTreeSet<(Micros, T)>,
}

impl<T> Default for TimeOrderedQueue<T> {
    fn default() -> Self {
        TimeOrderedQueue {
            entries: BTreeSet::new(),
        }
    }
}

impl<T: Copy + Ord> TimeOrderedQueue<T> {
    /// Adds an entry.
    pub fn insert(&mut self, at: Micros, entry: T) {
        self.entries.insert((at, entry));
    }

    /// Removes an entry; returns whether it was present.
    pub fn remove(&mut self, at: Micros, entry: T) -> bool {
        self.entries.remove(&(at, entry))
    }

    /// Removes and returns the entry with the earliest time, if that has passed.
    pub fn pop_expired(&mut self, now: Micros) -> Option<T> {
        let (at, _) = self.entries.first()?;
        if *at > now {
            return None;
        }
        self.entries.pop_first().map(|(_, entry)| entry)
    }

    /// Removes and returns the entry with the earliest time.
    pub fn pop_first(&mut self) -> Option<T> {
        self.entries.pop_first().map(|(_, entry)| entry)
    }

    /// Returns the earliest time.
    pub fn next_time(&self) -> Option<Micros> {
        self.entries.first().map(|(at, _)| *at)
    }

    /// Returns all entries, earliest first.
    pub fn iter(&self) -> impl Iterator<Item = T> + '_ {
        self.entries.iter().map(|(_, entry)| *entry)
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
