//! The volumes that SFTP clients can access, converted from `sftp.volumes` of the operator's file.

use super::error::{ConfigError, InvalidValue};
use super::sections::OperatorVolume;
use super::validate::parse_hexadecimal;
use deployment_settings::DeploymentSettings;
use io_scheduler::{PlanIndex, VolumeId};

/// A volume that SFTP clients can access.
#[derive(Clone, Debug)]
pub struct SftpVolume {
    /// Name of the volume, which is the first component of the paths of its objects.
    pub name: String,
    /// Id of the volume.
    pub id: VolumeId,
    /// Plan of the volume.
    pub plan: PlanIndex,
}

/// Validates and converts the entries of `sftp.volumes`.
pub(super) fn convert_volumes(
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

/// Checks that the name of a volume is valid as the first component of a path and that no earlier
/// volume has it. `key` is the key of the volume, for errors.
fn check_volume_name(key: &str, name: &str, earlier: &[SftpVolume]) -> Result<(), ConfigError> {
    let key = format!("{key}.name");
    if name.is_empty() || name.contains('/') || name.starts_with('.') {
        let source = InvalidValue::InvalidVolumeName(name.to_owned());
        return Err(ConfigError::invalid_value(&key, source));
    }
    if earlier.iter().any(|volume| volume.name == name) {
        let source = InvalidValue::DuplicateVolumeName(name.to_owned());
        return Err(ConfigError::invalid_value(&key, source));
    }
    Ok(())
}

/// Converts an entry of `sftp.volumes`, whose name is already checked. `key` is the key of the
/// entry, for errors.
fn convert_volume(
    key: &str,
    entry: &OperatorVolume,
    settings: &DeploymentSettings,
) -> Result<SftpVolume, ConfigError> {
    let id = parse_hexadecimal(&format!("{key}.id"), &entry.id)?;
    let plans = &settings.plans;
    let Some(plan) = plans.iter().position(|plan| plan.name == entry.plan) else {
        let source = InvalidValue::UnknownPlan(entry.plan.clone());
        return Err(ConfigError::invalid_value(&format!("{key}.plan"), source));
    };
    Ok(SftpVolume {
        name: entry.name.clone(),
        id: VolumeId(id),
        plan: PlanIndex(plan),
    })
}
