//! The sizes of objects as last observed.

use super::path::ObjectTarget;
use io_scheduler::{ObjectKey, VolumeId};
use std::cell::RefCell;
use std::collections::BTreeMap;

/// Largest number of objects whose size is cached.
const MAX_CACHED_SIZES: usize = 10_000;

/// Identifies an object by its volume's id and its own.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct CachedObject {
    /// The volume of the object.
    volume: VolumeId,
    /// The key of the object.
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

/// The cached sizes of objects, from which the cost of reading them is estimated.
#[derive(Default)]
pub(super) struct ObjectSizes {
    /// Sizes in bytes.
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

    /// The size of an object in bytes, if it is cached.
    pub(super) fn get(&self, target: &ObjectTarget) -> Option<u64> {
        self.sizes.borrow().get(&target.into()).copied()
    }
}
