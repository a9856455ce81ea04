//! Resolution of paths: `/` is the directory of the volumes, `/VOLUME` the directory of a volume,
//! and `/VOLUME/OBJECT` an object.

use super::error::SftpError;
use crate::config::SftpVolume;
use crate::hex_id::HexId;
use io_scheduler::{ObjectKey, PlanIndex, Shard, VolumeId};

/// Longest name of an object in bytes.
const MAX_NAME_LENGTH: usize = 255;
/// Offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xCBF2_9CE4_8422_2325;
/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0000_0100_0000_01B3;

/// The volume that a path names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct VolumeTarget {
    /// The id of the volume.
    pub(super) id: VolumeId,
    /// The volume's plan.
    pub(super) plan: PlanIndex,
}

impl From<&SftpVolume> for VolumeTarget {
    fn from(volume: &SftpVolume) -> Self {
        VolumeTarget {
            id: volume.id,
            plan: volume.plan,
        }
    }
}

/// The object that a path names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct ObjectTarget {
    /// The volume of the object.
    pub(super) volume: VolumeTarget,
    /// The id of the object.
    pub(super) object: ObjectKey,
    /// The name of the object.
    pub(super) name: Box<str>,
}

impl ObjectTarget {
    /// The object of a volume with this name.
    fn new(volume: VolumeTarget, name: &str) -> ObjectTarget {
        ObjectTarget {
            volume,
            object: object_id(name),
            name: name.into(),
        }
    }

    /// The shard of the object. SFTP clients cannot state it, so it is derived from the volume and
    /// the object.
    pub(super) fn shard(&self, shard_count: u64) -> Shard {
        let hash = hash(&self.volume.id.0.to_be_bytes(), self.object.0);
        Shard(hash % shard_count)
    }
}

/// What a path names.
pub(super) enum PathTarget {
    /// The directory of all volumes.
    Root,
    /// The directory of one volume.
    Volume(VolumeTarget),
    /// An object, whether it exists or not.
    Object(ObjectTarget),
}

/// Resolves a path as a client sent it. Fails with [`SftpError::NoSuchFile`] if it is not valid
/// text, too long or too deep, or if its volume is not one of `volumes`.
pub(super) fn resolve(path: &[u8], volumes: &[SftpVolume]) -> Result<PathTarget, SftpError> {
    let path = canonicalize(path)?;
    let mut parts = path.split('/').filter(|part| !part.is_empty());
    let Some(volume_name) = parts.next() else {
        return Ok(PathTarget::Root);
    };
    let volume = volumes
        .iter()
        .find(|volume| volume.name == volume_name)
        .map(VolumeTarget::from)
        .ok_or(SftpError::NoSuchFile)?;
    let Some(object_name) = parts.next() else {
        return Ok(PathTarget::Volume(volume));
    };
    if parts.next().is_some() || object_name.len() > MAX_NAME_LENGTH {
        return Err(SftpError::NoSuchFile);
    }
    Ok(PathTarget::Object(ObjectTarget::new(volume, object_name)))
}

/// The absolute path without `.`, `..` and repeated slashes. Fails with [`SftpError::NoSuchFile`]
/// if the path is not UTF-8 or has control characters.
pub(super) fn canonicalize(path: &[u8]) -> Result<String, SftpError> {
    let path = std::str::from_utf8(path).map_err(|_| SftpError::NoSuchFile)?;
    if path.contains(char::is_control) {
        return Err(SftpError::NoSuchFile);
    }
    let mut parts: Vec<&str> = Vec::new();
    for part in path.split('/') {
        match part {
            "" | "." => {}
            ".." => {
                parts.pop();
            }
            name => parts.push(name),
        }
    }
    Ok(format!("/{}", parts.join("/")))
}

/// The id of the object with this name. A name of 16 lower-case hex digits is the text form of the
/// id; for any other name, the id is a hash of it.
fn object_id(name: &str) -> ObjectKey {
    let has_hex_digits_only = name
        .bytes()
        .all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
    if has_hex_digits_only {
        if let Ok(HexId(id)) = name.parse() {
            return ObjectKey(id);
        }
    }
    ObjectKey(hash(name.as_bytes(), 0))
}

/// 64-bit FNV-1a, with `seed` mixed into the offset basis. The high half of the result is folded
/// into the low half.
fn hash(bytes: &[u8], seed: u64) -> u64 {
    let mut hash = seed ^ FNV_OFFSET_BASIS;
    for byte in bytes {
        hash = (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
    }
    hash ^ (hash >> 32)
}
