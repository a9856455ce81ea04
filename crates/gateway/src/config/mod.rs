//! Configuration. The environment, the file that `ROUTER_CONFIG` names and the operator's file are read,
//! validated and completed with defaults only here. Every error names the key at fault.

mod error;
mod file;
mod sftp;
mod validate;

pub use crate::storage_request::MAX_VALUE_BYTES;
pub use error::{ConfigError, InvalidValue};
pub use sftp::{SftpSettings, SftpVolume};

use crate::endpoint::EndpointListUpdate;
use crate::memory_budget::MemoryBudget;
use deployment_settings::DeploymentSettings;
use log::LevelFilter;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use validate::{
    check_shared_sections, parse_address, parse_hexadecimal, parse_log_level, DeadlineRule,
};

/// Name of the gateway if the operator's file gives none.
const DEFAULT_NAME: &str = "storage-gateway";

/// The validated configuration of a gateway.
#[derive(Debug)]
pub struct Config {
    /// The file to read on [`Config::reload`].
    source: ConfigSource,
    /// Name of this gateway.
    pub name: String,
    /// Address on which RESP2 clients are accepted.
    pub listen: Option<SocketAddr>,
    /// Address of the discovery endpoint that serves the endpoint list.
    pub discovery: Option<SocketAddr>,
    /// Endpoint list to start with, before discovery sends one.
    pub cached_endpoints: EndpointListUpdate,
    /// Seed of the random number generator.
    pub seed: u64,
    /// File descriptors that the process may use.
    pub descriptors: usize,
    /// How the memory of the process is divided.
    pub budget: MemoryBudget,
    /// Settings of the deployment.
    pub settings: DeploymentSettings,
    /// Path of the inventory of storage nodes.
    pub inventory: Option<PathBuf>,
    /// Settings of the SFTP listener, if there is one.
    pub sftp: Option<SftpSettings>,
    /// Log level.
    pub log: LevelFilter,
}

/// The file that a configuration was read from, and its kind.
#[derive(Clone, Debug)]
enum ConfigSource {
    /// The file that `ROUTER_CONFIG` named.
    RouterConfig(PathBuf),
    /// The operator's file.
    OperatorFile(PathBuf),
}

/// Which source takes precedence where both the environment and the file state a value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Precedence {
    /// The environment, used at the start of the process.
    Environment,
    /// The file, used on a reload: the file may have changed, while the environment is that of the start.
    File,
}

impl Config {
    /// Reads the configuration again from the same file. The file takes precedence over the environment, which
    /// cannot have changed since the start; only `STORAGE_GATEWAY_LOG` always takes precedence over the file.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the file as it is now.
    pub fn reload(&self, env: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        match &self.source {
            ConfigSource::RouterConfig(path) => {
                parse_router_config(&mut file::read(path)?, path, env, Precedence::File)
            }
            ConfigSource::OperatorFile(path) => from_file(path),
        }
    }
}

/// Loads the platform's configuration: the file that `ROUTER_CONFIG` names. The other environment variables
/// take precedence over the file.
///
/// # Errors
///
/// Returns what is wrong with the file or with a variable.
pub fn from_env(env: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
    let path = env("ROUTER_CONFIG").ok_or_else(|| ConfigError::missing("ROUTER_CONFIG"))?;
    let path = PathBuf::from(path);
    parse_router_config(&mut file::read(&path)?, &path, env, Precedence::Environment)
}

/// Parses the content of the file that `ROUTER_CONFIG` names; see [`from_env`]. `text` is decoded in place.
///
/// # Errors
///
/// Returns what is wrong with the text or with a variable.
pub fn parse_router_config(
    text: &mut [u8],
    path: &Path,
    env: impl Fn(&str) -> Option<String>,
    precedence: Precedence,
) -> Result<Config, ConfigError> {
    let mut file: file::Router = file::decode(text, "ROUTER_CONFIG")?;
    file.settings.has_discovery_agent = true;
    check_shared_sections(&file.settings, &file.limits, DeadlineRule::Optional)?;
    let required = |key: &str, in_file: Option<String>| {
        let value = match precedence {
            Precedence::Environment => env(key).or(in_file),
            Precedence::File => in_file.or_else(|| env(key)),
        };
        value.ok_or_else(|| ConfigError::missing(key))
    };
    let seed = if file.seed.is_empty() {
        "0"
    } else {
        &file.seed
    };
    let log = env("STORAGE_GATEWAY_LOG").or(file.log);
    Ok(Config {
        source: ConfigSource::RouterConfig(path.to_owned()),
        name: required("ROUTER_NAME", file.name)?,
        listen: Some(parse_address(
            "ROUTER_LISTEN",
            &required("ROUTER_LISTEN", file.listen)?,
        )?),
        discovery: Some(parse_address(
            "ROUTER_DISCOVERY",
            &required("ROUTER_DISCOVERY", file.discovery)?,
        )?),
        cached_endpoints: file.known,
        seed: parse_hexadecimal("seed", seed)?,
        descriptors: file.limits.sockets,
        budget: MemoryBudget::from_memory_mb(file.limits.memory_mb),
        settings: file.settings,
        inventory: None,
        sftp: None,
        log: parse_log_level("STORAGE_GATEWAY_LOG", log.as_deref())?,
    })
}

/// Loads an operator's file. Paths in it are relative to the file's own folder.
///
/// # Errors
///
/// Returns what is wrong with the file.
pub fn from_file(path: &Path) -> Result<Config, ConfigError> {
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
        seed: 0,
        descriptors: file.limits.sockets,
        budget: MemoryBudget::from_memory_mb(file.limits.memory_mb),
        settings: file.settings,
        inventory: file.inventory.map(|inventory| folder.join(inventory)),
        sftp,
        log: parse_log_level("log", file.log.as_deref())?,
    })
}

/// Reads an operator's file and validates the sections that do not depend on others, and that it states at least
/// one source of nodes and one listener.
fn read_operator_file(path: &Path) -> Result<file::Operator, ConfigError> {
    let mut text = file::read(path)?;
    let mut file: file::Operator = file::decode(&mut text, &path.display().to_string())?;
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
