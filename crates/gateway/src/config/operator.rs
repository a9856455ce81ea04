//! The operator's file.

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

/// Name of the gateway if the operator's file gives none.
const DEFAULT_NAME: &str = "storage-gateway";
/// Seed of the random number generator: the same for all gateways with an operator's file, which
/// states none.
const SEED: u64 = 0;

/// Loads an operator's file. Paths in it are relative to the file's own folder.
///
/// # Errors
///
/// Returns what is wrong with the file.
pub fn from_file(path: &Path) -> Result<Config, ConfigError> {
    let loaded = load(path);
    loaded.map_err(|error| error.in_file(path))
}

/// Loads an operator's file; errors of single values name the key, but not the file.
fn load(path: &Path) -> Result<Config, ConfigError> {
    let file = read_operator_file(path)?;
    let sftp = match &file.sftp {
        Some(section) => Some(SftpSettings::from_section(section, &file.settings)?),
        None => None,
    };
    let folder = path.parent().unwrap_or(Path::new("."));
    Ok(Config {
        source: ConfigSource::OperatorFile(path.to_owned()),
        name: file.name.unwrap_or_else(|| DEFAULT_NAME.to_owned()),
        listen: parse_optional_address("listen", file.listen.as_deref())?,
        discovery: parse_optional_address("discovery", file.discovery.as_deref())?,
        cached_endpoints: EndpointListUpdate::default(),
        seed: SEED,
        max_descriptors: file.limits.max_descriptors,
        budget: MemoryBudget::from_memory_mb(file.limits.memory_mb),
        settings: file.settings,
        inventory: file.inventory.map(|inventory| folder.join(inventory)),
        sftp,
        log: parse_log_level("log", file.log.as_deref())?,
    })
}

/// Reads an operator's file and validates the sections that do not depend on others, and that it
/// states at least one source of nodes and one listener.
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
        return Err(ConfigError::missing("inventory"));
    }
    if file.listen.is_none() && file.sftp.is_none() {
        return Err(ConfigError::missing("listen"));
    }
    Ok(file)
}

/// Parses an address that may be absent.
fn parse_optional_address(
    key: &str,
    text: Option<&str>,
) -> Result<Option<SocketAddr>, ConfigError> {
    text.map(|text| parse_address(key, text)).transpose()
}
