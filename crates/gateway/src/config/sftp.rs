//! Settings of the SFTP listener, converted from the section `sftp` of the operator's file.

use super::error::{ConfigError, InvalidValue};
use super::keys;
use super::sections::OperatorSftp;
use super::sftp_volumes::{convert_volumes, SftpVolume};
use super::validate::parse_address;
use crate::storage_request::MAX_VALUE_BYTES;
use deployment_settings::DeploymentSettings;
use io_scheduler::ClassIndex;
use std::net::SocketAddr;

/// Number of bytes that count as one unit if the file does not set `sftp.unit_bytes`.
const DEFAULT_UNIT_BYTES: u64 = 16 << 10;

/// Settings of the SFTP listener.
#[derive(Clone, Debug)]
pub struct SftpSettings {
    /// Address on which the gateway accepts SFTP clients.
    pub listen: SocketAddr,
    /// Largest accepted upload in bytes; the gateway buffers an upload completely.
    pub max_upload_bytes: usize,
    /// Number of bytes that count as one unit.
    pub unit_bytes: u64,
    /// Class of reads.
    pub read_class: ClassIndex,
    /// Class of writes.
    pub write_class: ClassIndex,
    /// Class of listings.
    pub list_class: ClassIndex,
    /// Class of reads of objects whose known size is at least `large_bytes`.
    pub large_read_class: ClassIndex,
    /// Size in bytes from which an object counts as large; `u64::MAX` if no object does.
    pub large_bytes: u64,
    /// Volumes that SFTP clients can access.
    pub volumes: Vec<SftpVolume>,
}

/// The kind of access of the requests of a class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Access {
    /// The requests read or list objects.
    Read,
    /// The requests write objects.
    Write,
}

impl SftpSettings {
    /// Validates and converts the section `sftp` of the operator's file.
    pub(super) fn from_section(
        section: &OperatorSftp,
        settings: &DeploymentSettings,
    ) -> Result<SftpSettings, ConfigError> {
        // SFTP paths do not name a shard. The gateway derives it from the object's name and the
        // shard count, so the count is required.
        if settings.storage.shard_count == 0 {
            return Err(ConfigError::missing(
                keys::SHARD_COUNT,
                "a number of shards above 0, which the SFTP listener requires",
            ));
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
            read_class: classes.find_read_class("sftp.read_class", read_class)?,
            write_class: classes.find_write_class("sftp.write_class", &section.write_class)?,
            large_read_class: classes.find_read_class("sftp.large_read_class", large_read_class)?,
            large_bytes: section.large_bytes.unwrap_or(u64::MAX),
            list_class: classes.find_read_class("sftp.list_class", list_class)?,
            volumes,
        })
    }
}

/// Returns the largest accepted upload in bytes. It must not exceed [`MAX_VALUE_BYTES`], the
/// largest value that the gateway forwards to a node, which is also the default.
fn max_upload_bytes(section: &OperatorSftp) -> Result<usize, ConfigError> {
    let max_upload_bytes = section.max_upload_bytes.unwrap_or(MAX_VALUE_BYTES);
    if max_upload_bytes > MAX_VALUE_BYTES {
        let source = InvalidValue::AboveMaximum {
            value: max_upload_bytes,
            max: MAX_VALUE_BYTES,
        };
        return Err(ConfigError::invalid_value("sftp.max_upload_bytes", source));
    }
    Ok(max_upload_bytes)
}

/// Returns the number of bytes that count as one unit, which must be above 0.
fn unit_bytes(section: &OperatorSftp) -> Result<u64, ConfigError> {
    let unit_bytes = section.unit_bytes.unwrap_or(DEFAULT_UNIT_BYTES);
    if unit_bytes == 0 {
        let source = InvalidValue::NotPositive(unit_bytes.to_string());
        return Err(ConfigError::invalid_value("sftp.unit_bytes", source));
    }
    Ok(unit_bytes)
}

/// Looks up classes of the settings by name.
#[derive(Clone, Copy)]
struct ClassLookup<'a> {
    /// The settings that define the classes.
    settings: &'a DeploymentSettings,
}

impl ClassLookup<'_> {
    /// Looks up a class of reads. `key` is the key that names the class, for errors.
    fn find_read_class(self, key: &str, name: &str) -> Result<ClassIndex, ConfigError> {
        self.find_class(key, name, Access::Read)
    }

    /// Looks up a class of writes. `key` is the key that names the class, for errors.
    fn find_write_class(self, key: &str, name: &str) -> Result<ClassIndex, ConfigError> {
        self.find_class(key, name, Access::Write)
    }

    /// Looks up a class by name. Fails if there is none, or if the access of its requests is not
    /// `access`.
    fn find_class(self, key: &str, name: &str, access: Access) -> Result<ClassIndex, ConfigError> {
        let classes = &self.settings.classes;
        let Some(index) = classes.iter().position(|class| class.name == name) else {
            let source = InvalidValue::UnknownClass(name.to_owned());
            return Err(ConfigError::invalid_value(key, source));
        };
        if self.access(index) != access {
            let source = InvalidValue::WrongAccess {
                class: name.to_owned(),
                expected_writes: access == Access::Write,
            };
            return Err(ConfigError::invalid_value(key, source));
        }
        Ok(ClassIndex(index))
    }

    /// Returns the access of the requests of a class. Such requests read if `domain.writes` has no
    /// entry for the class.
    fn access(self, index: usize) -> Access {
        match self.settings.storage.writes.get(index) {
            Some(true) => Access::Write,
            Some(false) | None => Access::Read,
        }
    }
}
