//! Ids of zones.

use crate::wire::ZoneName;
use io_scheduler::Zone;
use std::collections::HashMap;

/// Maps the names of zones to ids: those in the settings to their index there, any other name to
/// the next free id when it first appears.
pub struct ZoneTable {
    /// Id of each name.
    ids: HashMap<ZoneName, Zone>,
    /// Id of the next new name, without its type.
    next_id: u64,
}

impl ZoneTable {
    /// Creates a table of the zones in the settings. A repeated name has its first index; the other
    /// indices stay unused.
    #[must_use]
    pub fn new(names: &[String]) -> Self {
        let mut table = ZoneTable {
            ids: HashMap::new(),
            next_id: 0,
        };
        for name in names {
            let zone = table.next_zone();
            table.ids.entry(ZoneName(name.clone())).or_insert(zone);
        }
        table
    }

    /// The id of a zone; a new zone gets the next id.
    pub fn id(&mut self, name: &ZoneName) -> Zone {
        if let Some(zone) = self.ids.get(name) {
            return *zone;
        }
        let zone = self.next_zone();
        self.ids.insert(name.clone(), zone);
        zone
    }

    /// Takes the next free id.
    fn next_zone(&mut self) -> Zone {
        let zone = Zone(self.next_id);
        self.next_id += 1;
        zone
    }
}
