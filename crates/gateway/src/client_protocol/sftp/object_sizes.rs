//! Cache of the last observed sizes of objects.

use super::path::ObjectTarget;
use io_scheduler::{ObjectKey, VolumeId};
use std::cell::RefCell;
use std::collections::BTreeMap;

/// Maximum number of cached sizes.
const MAX_CACHED_SIZES: usize = 10_000;

/// Cache key: the ids of a volume and of one of its objects.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct CachedObject {
    /// Id of the volume.
    volume: VolumeId,
    /// Id of the object.
    object: ObjectKey,
}

impl From<&ObjectTarget> for CachedObject {
    fn from(target: &ObjectTarget) -> CachedObject {
        CachedObject {
            volume: target.volume.id,
            object: target.object,
        }
    }
}

/// Cache of object sizes, from which the units of a read are estimated.
#[derive(Default)]
pub(super) struct ObjectSizes {
    /// Object sizes in bytes.
    sizes: RefCell<BTreeMap<CachedObject, u64>>,
}

impl ObjectSizes {
    /// Caches the size of an object in bytes. If the cache is full, the entry with the smallest
    /// key is evicted.
    pub(super) fn record(&self, target: &ObjectTarget, size: u64) {
        let mut sizes = self.sizes.borrow_mut();
        if sizes.len() >= MAX_CACHED_SIZES {
            sizes.pop_first();
        }
        sizes.insert(target.into(), size);
    }

    /// Returns the size of an object in bytes, if it is cached.
    pub(super) fn get(&self, target: &ObjectTarget) -> Option<u64> {
        self.sizes.borrow().get(&target.into()).copied()
    }
}
