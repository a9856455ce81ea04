//! The volumes that SFTP clients may access: validation and conversion of `sftp.volumes` of the
//! operator's file.

use super::error::{ConfigError, InvalidValue};
use super::sections::OperatorVolume;
use super::validate::parse_hexadecimal;
use deployment_settings::DeploymentSettings;
use io_scheduler::{PlanIndex, VolumeId};

/// A volume that clients may access.
#[derive(Clone, Debug)]
pub struct SftpVolume {
    /// Name of the volume, which is the first part of the paths of its objects.
    pub name: String,
    /// Id of the volume.
    pub id: VolumeId,
    /// Plan of the volume.
    pub plan: PlanIndex,
}

/// Validates and converts `sftp.volumes`.
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

/// Checks that a volume's name is valid as the first part of a path and is not used by an earlier
/// volume.
fn check_volume_name(key: &str, name: &str, earlier: &[SftpVolume]) -> Result<(), ConfigError> {
    let key = format!("{key}.name");
    if name.is_empty() || name.contains('/') || name.starts_with('.') {
        let source = InvalidValue::NotAFolderName(name.to_owned());
        return Err(ConfigError::invalid_value(&key, source));
    }
    if earlier.iter().any(|volume| volume.name == name) {
        let source = InvalidValue::Duplicate(name.to_owned());
        return Err(ConfigError::invalid_value(&key, source));
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
