//! Values recorded within a sliding time window.

use crate::api::Micros;
use std::collections::VecDeque;

/// Values ordered by time. Values that are too old are removed when a new one is recorded.
#[derive(Default)]
pub struct SlidingWindow<T> {
    /// Values with their times, oldest first.
    entries: VecDeque<(Micros, T)>,
}

impl<T> SlidingWindow<T> {
    /// Adds a value and removes those that are older than `window`.
    pub fn record(&mut self, value: T, window: Micros, now: Micros) {
        while self
            .entries
            .front()
            .is_some_and(|(at, _)| now - at > window)
        {
            self.entries.pop_front();
        }
        self.entries.push_back((now, value));
    }

    /// Returns the number of values that are no older than `window`.
    pub fn count_within(&self, window: Micros, now: Micros) -> usize {
        let older = self.entries.partition_point(|(at, _)| now - at > window);
        self.entries.len() - older
    }

    /// Returns the values that are no older than `window`.
    pub fn within(&self, window: Micros, now: Micros) -> impl Iterator<Item = &T> {
        self.entries
            .iter()
            .filter(move |(at, _)| now - at <= window)
            .map(|(_, value)| value)
    }
}
