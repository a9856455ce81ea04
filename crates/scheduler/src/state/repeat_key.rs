//! The mark by which a client's repeat is recognized.

use crate::api::{ObjectKey, VolumeId};

/// What a client's repeat has in common with the request before.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub struct RepeatKey {
    /// The volume.
    pub volume: VolumeId,
    /// The object that both read or write.
    pub object: ObjectKey,
    /// The class, an index into the settings.
    pub class: usize,
}
