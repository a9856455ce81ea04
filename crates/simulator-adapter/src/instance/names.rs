//! Numeric ids for the names that appear on the wire.

use std::collections::HashMap;

/// Maps names to ids, which count from 0 in the order in which the names first appear, and back.
#[derive(Default)]
pub struct NameTable {
    ids: HashMap<String, u64>,
    /// The names, indexed by id.
    names: Vec<String>,
}

impl NameTable {
    /// Creates a table in which the id of each name is its index; a repeated name has its first index.
    #[must_use]
    pub fn from_names(names: &[String]) -> Self {
        let mut table = NameTable::default();
        for name in names {
            table.push(name);
        }
        table
    }

    /// The id of a name; a new name gets the next id.
    pub fn id_of(&mut self, name: &str) -> u64 {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        self.push(name)
    }

    /// Appends a name under the next id and returns the id to use for it. A name that has an id keeps it; the new
    /// id then stays unused, as ids and indices must agree.
    fn push(&mut self, name: &str) -> u64 {
        let next_id = self.names.len() as u64;
        self.names.push(name.to_owned());
        *self.ids.entry(name.to_owned()).or_insert(next_id)
    }

    /// The name with an id.
    ///
    /// # Panics
    ///
    /// If no name has this id.
    #[must_use]
    pub fn name(&self, id: u64) -> &str {
        &self.names[id as usize]
    }
}
