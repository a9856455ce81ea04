//! Numbers for names.

use std::collections::HashMap;

/// Gives each name a number, counted from 0 in the order in which the names appear.
#[derive(Default)]
pub struct NameTable {
    numbers: HashMap<String, u64>,
    names: Vec<String>,
}

impl NameTable {
    /// A table that numbers these names by their indices; a repeated name keeps its first index.
    #[must_use]
    pub fn from_names(names: &[String]) -> Self {
        let mut table = NameTable::default();
        for name in names {
            table.push(name);
        }
        table
    }

    /// The number of a name; a new name gets the next one.
    pub fn number(&mut self, name: &str) -> u64 {
        if let Some(number) = self.numbers.get(name) {
            return *number;
        }
        self.push(name)
    }

    /// Gives the next number to a name; a name that has one already keeps that.
    fn push(&mut self, name: &str) -> u64 {
        let number = self.names.len() as u64;
        self.names.push(name.to_owned());
        *self.numbers.entry(name.to_owned()).or_insert(number)
    }

    /// The name of a number.
    ///
    /// # Panics
    ///
    /// If the number was never given.
    #[must_use]
    pub fn name(&self, number: u64) -> &str {
        &self.names[number as usize]
    }
}
