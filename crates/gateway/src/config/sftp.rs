//! Settings of the SFTP listener: validation and conversion of the section `sftp` of the
//! operator's file.

use super::error::{ConfigError, InvalidValue};
use super::keys;
use super::sections::OperatorSftp;
use super::sftp_volumes::{convert_volumes, SftpVolume};
use super::validate::parse_address;
use crate::storage_request::MAX_VALUE_BYTES;
use deployment_settings::DeploymentSettings;
use io_scheduler::ClassIndex;
use std::net::SocketAddr;

/// Bytes that count as one unit, if the file does not state it.
const DEFAULT_UNIT_BYTES: u64 = 16 << 10;

/// Settings of the SFTP listener.
#[derive(Clone, Debug)]
pub struct SftpSettings {
    /// Address on which SFTP clients are accepted.
    pub listen: SocketAddr,
    /// Largest upload that is buffered, in bytes.
    pub max_upload_bytes: usize,
    /// Bytes that count as one unit.
    pub unit_bytes: u64,
    /// Class of reads.
    pub read_class: ClassIndex,
    /// Class of writes.
    pub write_class: ClassIndex,
    /// Class of listings.
    pub list_class: ClassIndex,
    /// Class of reads of objects known to have at least `large_bytes`.
    pub large_read_class: ClassIndex,
    /// Smallest size in bytes of an object that counts as large.
    pub large_bytes: u64,
    /// Volumes that clients may access.
    pub volumes: Vec<SftpVolume>,
}

/// Whether the requests of a class read or write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Access {
    /// They read objects or list them.
    Read,
    /// They write objects.
    Write,
}

impl SftpSettings {
    /// Validates and converts the section `sftp` of the operator's file.
    pub(super) fn from_section(
        section: &OperatorSftp,
        settings: &DeploymentSettings,
    ) -> Result<SftpSettings, ConfigError> {
        // A path does not state a shard: it is derived from the object's name and the number of
        // shards.
        if settings.storage.shard_count == 0 {
            return Err(ConfigError::missing(keys::SHARD_COUNT));
        }
        let classes = ClassLookup { settings };
        let volumes = convert_volumes(&section.volumes, settings)?;
        let max_upload_bytes = max_upload_bytes(section)?;
        let unit_bytes = unit_bytes(section)?;
        let read_class = &section.read_class;
        let large_read_class = section.large_read_class.as_ref().unwrap_or(read_class);
        let list_class = section.list_class.as_ref().unwrap_or(read_class);
        Ok(SftpSettings {
            listen: parse_address("sftp.listen", &section.listen)?,
            max_upload_bytes,
            unit_bytes,
            read_class: classes.reading("sftp.read_class", read_class)?,
            write_class: classes.writing("sftp.write_class", &section.write_class)?,
            large_read_class: classes.reading("sftp.large_read_class", large_read_class)?,
            large_bytes: section.large_bytes.unwrap_or(u64::MAX),
            list_class: classes.reading("sftp.list_class", list_class)?,
            volumes,
        })
    }
}

/// Largest upload in bytes; at most the largest value that is forwarded to a node.
fn max_upload_bytes(section: &OperatorSftp) -> Result<usize, ConfigError> {
    let max_upload_bytes = section.max_upload_bytes.unwrap_or(MAX_VALUE_BYTES);
    if max_upload_bytes > MAX_VALUE_BYTES {
        let source = InvalidValue::AboveMaximum {
            max: MAX_VALUE_BYTES,
        };
        return Err(ConfigError::invalid_value("sftp.max_upload_bytes", source));
    }
    Ok(max_upload_bytes)
}

/// Bytes that count as one unit.
fn unit_bytes(section: &OperatorSftp) -> Result<u64, ConfigError> {
    let unit_bytes = section.unit_bytes.unwrap_or(DEFAULT_UNIT_BYTES);
    if unit_bytes == 0 {
        let source = InvalidValue::NotPositive;
        return Err(ConfigError::invalid_value("sftp.unit_bytes", source));
    }
    Ok(unit_bytes)
}

/// Finds classes of the settings by name.
#[derive(Clone, Copy)]
struct ClassLookup<'a> {
    /// The settings that state the classes.
    settings: &'a DeploymentSettings,
}

impl ClassLookup<'_> {
    /// The class `name`, whose requests must read. `key` is the key that names it.
    fn reading(self, key: &str, name: &str) -> Result<ClassIndex, ConfigError> {
        self.with_access(key, name, Access::Read)
    }

    /// The class `name`, whose requests must write. `key` is the key that names it.
    fn writing(self, key: &str, name: &str) -> Result<ClassIndex, ConfigError> {
        self.with_access(key, name, Access::Write)
    }

    /// The class `name`. Fails unless its requests do what `access` states.
    fn with_access(self, key: &str, name: &str, access: Access) -> Result<ClassIndex, ConfigError> {
        let classes = &self.settings.classes;
        let Some(index) = classes.iter().position(|class| class.name == name) else {
            let source = InvalidValue::UnknownClass(name.to_owned());
            return Err(ConfigError::invalid_value(key, source));
        };
        if self.access(index) != access {
            let source = InvalidValue::WrongAccess(name.to_owned());
            return Err(ConfigError::invalid_value(key, source));
        }
        Ok(ClassIndex(index))
    }

    /// What the requests of a class do; they read if the settings do not state it.
    fn access(self, index: usize) -> Access {
        match self.settings.storage.writes.get(index) {
            Some(true) => Access::Write,
            Some(false) | None => Access::Read,
        }
    }
}
