//! Recognition of a request that a client sends again.

use crate::api::{ObjectKey, Request, VolumeId};

/// The fields in which a request that a client sends again equals the earlier one; its id differs.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub struct RepeatKey {
    /// The volume.
    pub volume: VolumeId,
    /// The object that both read or write.
    pub object: ObjectKey,
    /// The class, an index into the settings.
    pub class: usize,
}

impl RepeatKey {
    /// The key of a request; `None` if the request names no object, since its repeats can't be recognized.
    pub fn of(request: &Request) -> Option<Self> {
        Some(RepeatKey { volume: request.volume, object: request.key?, class: request.class })
    }
}
