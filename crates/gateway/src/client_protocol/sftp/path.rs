//! Resolution of paths: `/` is the directory of the volumes, `/VOLUME` the directory of a volume, and
//! `/VOLUME/OBJECT` an object.

use super::error::SftpError;
use super::shared::SftpShared;
use crate::hex_id::HexId;
use io_scheduler::{ObjectKey, PlanIndex, VolumeId};

/// Longest name of an object in bytes.
const MAX_NAME_LENGTH: usize = 255;
/// Offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xCBF2_9CE4_8422_2325;
/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0000_0100_0000_01B3;

/// The volume or object that a path names.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Target {
    /// The id of the volume.
    pub(super) volume: VolumeId,
    /// The volume's plan.
    pub(super) plan: PlanIndex,
    /// The id of the object; zero for a volume.
    pub(super) object: ObjectKey,
    /// The name of the object; `None` for a volume.
    pub(super) name: Option<Box<str>>,
}

impl Target {
    /// The shard of an object. SFTP clients cannot state it, so it is derived from the volume and the object.
    pub(super) fn shard(&self, shard_count: u64) -> u64 {
        hash(&self.volume.0.to_be_bytes(), self.object.0) % shard_count
    }
}

/// What a path names.
pub(super) enum PathTarget {
    /// The directory of all volumes.
    Root,
    /// The directory of one volume.
    Volume(Target),
    /// An object, whether it exists or not.
    Object(Target),
}

impl SftpShared {
    /// Resolves a path as a client sent it. Fails with [`SftpError::NoSuchFile`] if it is not valid text, too
    /// long or too deep, or if its volume is not known.
    pub(super) fn resolve(&self, path: &[u8]) -> Result<PathTarget, SftpError> {
        let path = canonicalize(path).ok_or(SftpError::NoSuchFile)?;
        let mut parts = path.split('/').filter(|part| !part.is_empty());
        let Some(volume_name) = parts.next() else {
            return Ok(PathTarget::Root);
        };
        let volume = self
            .config
            .volumes
            .iter()
            .find(|volume| volume.name == volume_name);
        let volume = volume.ok_or(SftpError::NoSuchFile)?;
        let mut target = Target {
            volume: volume.id,
            plan: volume.plan,
            object: ObjectKey(0),
            name: None,
        };
        let Some(object_name) = parts.next() else {
            return Ok(PathTarget::Volume(target));
        };
        if parts.next().is_some() || object_name.len() > MAX_NAME_LENGTH {
            return Err(SftpError::NoSuchFile);
        }
        target.object = object_id(object_name);
        target.name = Some(object_name.into());
        Ok(PathTarget::Object(target))
    }
}

/// The absolute path without `.`, `..` and repeated slashes; `None` if it is not UTF-8 or has control
/// characters.
pub(super) fn canonicalize(path: &[u8]) -> Option<String> {
    let path = std::str::from_utf8(path).ok()?;
    if path.contains(char::is_control) {
        return None;
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
    Some(format!("/{}", parts.join("/")))
}

/// The id of the object with this name. A name of 16 lower-case hex digits is the text form of the id; for any
/// other name, the id is a hash of it.
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

/// 64-bit FNV-1a, with `seed` mixed into the offset basis. The high half of the result is folded into the low
/// half.
fn hash(bytes: &[u8], seed: u64) -> u64 {
    let mut hash = seed ^ FNV_OFFSET_BASIS;
    for byte in bytes {
        hash = (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
    }
    hash ^ (hash >> 32)
}
