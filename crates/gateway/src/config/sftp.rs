//! Settings of the SFTP listener: validation and conversion of the section `sftp` of the operator's file.

use super::error::{ConfigError, InvalidValue};
use super::file::{OperatorSftp, OperatorVolume};
use super::validate::{parse_address, parse_hexadecimal};
use super::MAX_VALUE_BYTES;
use deployment_settings::DeploymentSettings;
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
    /// Class of reads, as an index into the classes of the settings.
    pub read_class: usize,
    /// Class of writes, as an index into the classes of the settings.
    pub write_class: usize,
    /// Class of listings, as an index into the classes of the settings.
    pub list_class: usize,
    /// Class of reads of objects known to have at least `large_bytes`, as an index into the classes of the settings.
    pub large_read_class: usize,
    /// Smallest size in bytes of an object that counts as large.
    pub large_bytes: u64,
    /// Volumes that clients may access.
    pub volumes: Vec<SftpVolume>,
}

/// A volume that clients may access.
#[derive(Clone, Debug)]
pub struct SftpVolume {
    /// Name of the volume, which is the first part of the paths of its objects.
    pub name: String,
    /// Id of the volume.
    pub id: u64,
    /// Plan of the volume, as an index into the plans of the settings.
    pub plan: usize,
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
        // A path does not state a shard: it is derived from the object's name and the number of shards.
        if settings.storage.shard_count == 0 {
            return Err(ConfigError::missing("settings.domain.n_shards"));
        }
        let volumes = convert_volumes(&section.volumes, settings)?;
        let max_upload_bytes = max_upload_bytes(section)?;
        let unit_bytes = unit_bytes(section)?;
        let large_read_class = section
            .large_read_class
            .as_ref()
            .unwrap_or(&section.read_class);
        let list_class = section.list_class.as_ref().unwrap_or(&section.read_class);
        Ok(SftpSettings {
            listen: parse_address("sftp.listen", &section.listen)?,
            max_upload_bytes,
            unit_bytes,
            read_class: class_index(
                "sftp.read_class",
                &section.read_class,
                Access::Read,
                settings,
            )?,
            write_class: class_index(
                "sftp.write_class",
                &section.write_class,
                Access::Write,
                settings,
            )?,
            large_read_class: class_index(
                "sftp.large_read_class",
                large_read_class,
                Access::Read,
                settings,
            )?,
            large_bytes: section.large_bytes.unwrap_or(u64::MAX),
            list_class: class_index("sftp.list_class", list_class, Access::Read, settings)?,
            volumes,
        })
    }
}

/// Largest upload in bytes; at most the largest value that is forwarded to a node.
fn max_upload_bytes(section: &OperatorSftp) -> Result<usize, ConfigError> {
    let max_upload_bytes = section.max_upload_bytes.unwrap_or(MAX_VALUE_BYTES);
    if max_upload_bytes > MAX_VALUE_BYTES {
        let cause = InvalidValue::AboveMaximum {
            max: MAX_VALUE_BYTES,
        };
        return Err(ConfigError::invalid_value("sftp.max_upload_bytes", cause));
    }
    Ok(max_upload_bytes)
}

/// Bytes that count as one unit.
fn unit_bytes(section: &OperatorSftp) -> Result<u64, ConfigError> {
    let unit_bytes = section.unit_bytes.unwrap_or(DEFAULT_UNIT_BYTES);
    if unit_bytes == 0 {
        return Err(ConfigError::invalid_value(
            "sftp.unit_bytes",
            InvalidValue::NotPositive,
        ));
    }
    Ok(unit_bytes)
}

/// Index of the class with this name. Fails unless its requests do what `access` states.
fn class_index(
    key: &str,
    name: &str,
    access: Access,
    settings: &DeploymentSettings,
) -> Result<usize, ConfigError> {
    let Some(index) = settings.classes.iter().position(|class| class.name == name) else {
        return Err(ConfigError::invalid_value(
            key,
            InvalidValue::UnknownClass(name.to_owned()),
        ));
    };
    let writes = settings
        .storage
        .writes
        .get(index)
        .copied()
        .unwrap_or_default();
    let class_access = if writes { Access::Write } else { Access::Read };
    if class_access != access {
        return Err(ConfigError::invalid_value(
            key,
            InvalidValue::WrongAccess(name.to_owned()),
        ));
    }
    Ok(index)
}

/// Validates and converts `sftp.volumes`.
fn convert_volumes(
    entries: &[OperatorVolume],
    settings: &DeploymentSettings,
) -> Result<Vec<SftpVolume>, ConfigError> {
    let mut volumes: Vec<SftpVolume> = Vec::new();
    for (index, entry) in entries.iter().enumerate() {
        let key = format!("sftp.volumes[{index}]");
        check_volume_name(&key, &entry.name, &volumes)?;
        volumes.push(convert_volume(&key, entry, settings)?);
    }
    Ok(volumes)
}

/// Checks that a volume's name is valid as the first part of a path and is not used by an earlier volume.
fn check_volume_name(key: &str, name: &str, earlier: &[SftpVolume]) -> Result<(), ConfigError> {
    let key = format!("{key}.name");
    if name.is_empty() || name.contains('/') || name.starts_with('.') {
        return Err(ConfigError::invalid_value(
            &key,
            InvalidValue::NotAFolderName(name.to_owned()),
        ));
    }
    if earlier.iter().any(|volume| volume.name == name) {
        return Err(ConfigError::invalid_value(
            &key,
            InvalidValue::Duplicate(name.to_owned()),
        ));
    }
    Ok(())
}

/// Converts the id and the plan of a volume.
fn convert_volume(
    key: &str,
    entry: &OperatorVolume,
    settings: &DeploymentSettings,
) -> Result<SftpVolume, ConfigError> {
    let id = parse_hexadecimal(&format!("{key}.id"), &entry.id)?;
    let Some(plan) = settings
        .plans
        .iter()
        .position(|plan| plan.name == entry.plan)
    else {
        let cause = InvalidValue::UnknownPlan(entry.plan.clone());
        return Err(ConfigError::invalid_value(&format!("{key}.plan"), cause));
    };
    Ok(SftpVolume {
        name: entry.name.clone(),
        id,
        plan,
    })
}
