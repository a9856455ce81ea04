//! Loads the operator's file, which `--config` names.

use super::decode;
use super::error::ConfigError;
use super::model::{Config, ConfigSource};
use super::sections::Operator;
use super::sftp::SftpSettings;
use super::validate::{check_shared_sections, parse_address, parse_log_level, DeadlineRule};
use crate::endpoint::EndpointListUpdate;
use crate::memory_budget::MemoryBudget;
use std::net::SocketAddr;
use std::path::Path;

/// Name of the gateway if the operator's file does not set one.
const DEFAULT_NAME: &str = "storage-gateway";
/// Seed of the hashes that the scheduler uses in place of random numbers. It is the same for every
/// gateway with an operator's file, because that file has no key for a seed.
const SEED: u64 = 0;

/// Loads an operator's file. Relative paths in it are resolved against the file's directory.
///
/// # Errors
///
/// Returns an error if the file cannot be read or decoded, or if one of its values is invalid. The
/// error names the file.
pub fn from_file(path: &Path) -> Result<Config, ConfigError> {
    let loaded = load(path);
    loaded.map_err(|error| error.in_file(path))
}

/// Loads an operator's file. Errors about single values name the key but not the file, which
/// [`from_file`] adds.
fn load(path: &Path) -> Result<Config, ConfigError> {
    let file = read_operator_file(path)?;
    let sftp = match &file.sftp {
        Some(section) => Some(SftpSettings::from_section(section, &file.settings)?),
        None => None,
    };
    let directory = path.parent().unwrap_or(Path::new("."));
    Ok(Config {
        source: ConfigSource::OperatorFile(path.to_owned()),
        name: file.name.unwrap_or_else(|| DEFAULT_NAME.to_owned()),
        listen: parse_optional_address("listen", file.listen.as_deref())?,
        discovery: parse_optional_address("discovery", file.discovery.as_deref())?,
        cached_endpoints: EndpointListUpdate::default(),
        seed: SEED,
        max_descriptors: file.limits.max_descriptors,
        memory_budget: MemoryBudget::from_memory_mb(file.limits.memory_mb),
        settings: file.settings,
        inventory: file.inventory.map(|inventory| directory.join(inventory)),
        sftp,
        log_level: parse_log_level("log", file.log.as_deref())?,
    })
}

/// Reads an operator's file and validates `settings` and `limits`. Also checks that the file
/// configures at least one source of nodes (`inventory` or `discovery`) and at least one listener
/// (`listen` or `sftp`).
fn read_operator_file(path: &Path) -> Result<Operator, ConfigError> {
    let mut text = decode::read(path)?;
    let mut file: Operator = decode::decode(&mut text, &path.display().to_string())?;
    file.settings.has_discovery_agent = file.discovery.is_some();
    let deadline_rule = match file.sftp {
        Some(_) => DeadlineRule::AtLeastObjective,
        None => DeadlineRule::Optional,
    };
    check_shared_sections(&file.settings, &file.limits, deadline_rule)?;
    if file.inventory.is_none() && file.discovery.is_none() {
        return Err(ConfigError::missing(
            "inventory, discovery",
            "at least one of them, as the source of nodes",
        ));
    }
    if file.listen.is_none() && file.sftp.is_none() {
        return Err(ConfigError::missing(
            "listen, sftp",
            "at least one of them, to accept clients",
        ));
    }
    Ok(file)
}

/// Parses the address of an optional key; an absent key gives `None`.
fn parse_optional_address(
    key: &str,
    text: Option<&str>,
) -> Result<Option<SocketAddr>, ConfigError> {
    text.map(|text| parse_address(key, text)).transpose()
}
