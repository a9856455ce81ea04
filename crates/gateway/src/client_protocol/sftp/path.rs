//! Path resolution. `/` is the directory of all volumes, `/VOLUME` the directory of one volume, and
//! `/VOLUME/OBJECT` an object.

use super::error::SftpError;
use crate::config::SftpVolume;
use crate::hex_id::HexId;
use io_scheduler::{ObjectKey, PlanIndex, Shard, VolumeId};

/// Maximum length of an object name in bytes.
const MAX_NAME_LENGTH: usize = 255;
/// Offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xCBF2_9CE4_8422_2325;
/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0000_0100_0000_01B3;

/// The volume that a path refers to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct VolumeTarget {
    /// Id of the volume.
    pub(super) id: VolumeId,
    /// Plan of the volume.
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

/// The object that a path refers to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct ObjectTarget {
    /// Volume that contains the object.
    pub(super) volume: VolumeTarget,
    /// Id of the object.
    pub(super) object: ObjectKey,
    /// Name of the object.
    pub(super) name: Box<str>,
}

impl ObjectTarget {
    /// Creates the target for the object `name` of a volume.
    fn new(volume: VolumeTarget, name: &str) -> ObjectTarget {
        ObjectTarget {
            volume,
            object: object_id(name),
            name: name.into(),
        }
    }

    /// Returns the shard of the object. SFTP clients cannot specify it, so it is derived from the
    /// ids of the volume and the object.
    pub(super) fn shard(&self, shard_count: u64) -> Shard {
        let hash = hash(&self.volume.id.0.to_be_bytes(), self.object.0);
        Shard(hash % shard_count)
    }
}

/// What a path refers to.
pub(super) enum PathTarget {
    /// The directory of all volumes.
    Root,
    /// The directory of one volume.
    Volume(VolumeTarget),
    /// An object, which may or may not exist.
    Object(ObjectTarget),
}

/// Resolves a path sent by a client. Fails with [`SftpError::NoSuchFile`] if the path is not UTF-8
/// or has control characters, if the object name is too long, if the path has more than two
/// components, or if its volume is not one of `volumes`.
pub(super) fn resolve(path: &[u8], volumes: &[SftpVolume]) -> Result<PathTarget, SftpError> {
    let path = canonicalize(path)?;
    let mut components = path.split('/').filter(|component| !component.is_empty());
    let Some(volume_name) = components.next() else {
        return Ok(PathTarget::Root);
    };
    let volume = volumes
        .iter()
        .find(|volume| volume.name == volume_name)
        .map(VolumeTarget::from)
        .ok_or(SftpError::NoSuchFile)?;
    let Some(object_name) = components.next() else {
        return Ok(PathTarget::Volume(volume));
    };
    if components.next().is_some() || object_name.len() > MAX_NAME_LENGTH {
        return Err(SftpError::NoSuchFile);
    }
    Ok(PathTarget::Object(ObjectTarget::new(volume, object_name)))
}

/// Returns the absolute path without `.`, `..` and repeated slashes. Fails with
/// [`SftpError::NoSuchFile`] if the path is not UTF-8 or has control characters.
pub(super) fn canonicalize(path: &[u8]) -> Result<String, SftpError> {
    let path = std::str::from_utf8(path).map_err(|_| SftpError::NoSuchFile)?;
    if path.contains(char::is_control) {
        return Err(SftpError::NoSuchFile);
    }
    let mut components: Vec<&str> = Vec::new();
    for component in path.split('/') {
        match component {
            "" | "." => {}
            ".." => {
                components.pop();
            }
            name => components.push(name),
        }
    }
    Ok(format!("/{}", components.join("/")))
}

/// Returns the id of the object `name`. A name of 16 lower-case hex digits is the text form of the
/// id; for any other name, the id is a hash of the name.
fn object_id(name: &str) -> ObjectKey {
    let is_lower_case_hex = name
        .bytes()
        .all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
    if is_lower_case_hex {
        if let Ok(HexId(id)) = name.parse() {
            return ObjectKey(id);
        }
    }
    ObjectKey(hash(name.as_bytes(), 0))
}

/// Computes the 64-bit FNV-1a hash, with `seed` mixed into the offset basis. The upper half of the
/// result is combined with the lower half by XOR.
fn hash(bytes: &[u8], seed: u64) -> u64 {
    let mut hash = seed ^ FNV_OFFSET_BASIS;
    for byte in bytes {
        hash = (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
    }
    hash ^ (hash >> 32)
}
