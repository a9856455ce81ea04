//! The table of the ids of zones.

use crate::wire::ZoneName;
use io_scheduler::Zone;
use std::collections::HashMap;

/// Maps the names of zones to ids. The id of a zone in the settings is its index there. Any other
/// zone gets the next unused id when a message first names it.
pub struct ZoneTable {
    /// The id of each name.
    ids: HashMap<ZoneName, Zone>,
    /// The id of the next new zone.
    next_id: u64,
}

impl ZoneTable {
    /// Creates a table of the zones in the settings. A name that occurs more than once gets its
    /// first index as the id, and no zone gets the other indices.
    #[must_use]
    pub fn new(names: &[String]) -> Self {
        let mut table = ZoneTable {
            ids: HashMap::new(),
            next_id: 0,
        };
        for name in names {
            let zone = table.allocate_id();
            table.ids.entry(ZoneName(name.clone())).or_insert(zone);
        }
        table
    }

    /// Returns the id of a zone. A name that is not in the table gets the next id.
    pub fn id(&mut self, name: &ZoneName) -> Zone {
        if let Some(zone) = self.ids.get(name) {
            return *zone;
        }
        let zone = self.allocate_id();
        self.ids.insert(name.clone(), zone);
        zone
    }

    /// Allocates the next id.
    fn allocate_id(&mut self) -> Zone {
        let zone = Zone(self.next_id);
        self.next_id += 1;
        zone
    }
}
