//! The platform's configuration: the file that `ROUTER_CONFIG` names, and the other environment
//! variables.

use super::decode;
use super::error::ConfigError;
use super::model::{Config, ConfigSource, Precedence};
use super::sections::Router;
use super::validate::{
    check_shared_sections, parse_address, parse_hexadecimal, parse_log_level, DeadlineRule,
};
use crate::memory_budget::MemoryBudget;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Environment variable with the path of the configuration file.
const CONFIG_VARIABLE: &str = "ROUTER_CONFIG";
/// Environment variable with the name of the gateway.
const NAME_VARIABLE: &str = "ROUTER_NAME";
/// Environment variable with the address on which RESP2 clients are accepted.
const LISTEN_VARIABLE: &str = "ROUTER_LISTEN";
/// Environment variable with the address of the discovery endpoint.
const DISCOVERY_VARIABLE: &str = "ROUTER_DISCOVERY";
/// Environment variable with the log level.
const LOG_VARIABLE: &str = "STORAGE_GATEWAY_LOG";
/// Seed of the random number generator if the file states none, as a hexadecimal number.
const DEFAULT_SEED: &str = "0";

/// Loads the platform's configuration: the file that `ROUTER_CONFIG` names. The other environment
/// variables take precedence over the file.
///
/// # Errors
///
/// Returns what is wrong with the file or with a variable.
pub fn from_env(env: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
    let path = env(CONFIG_VARIABLE).ok_or_else(|| ConfigError::missing(CONFIG_VARIABLE))?;
    let path = PathBuf::from(path);
    let mut text = decode::read(&path)?;
    parse_router_config(&mut text, &path, env, Precedence::Environment)
}

/// Parses the content of the file that `ROUTER_CONFIG` names; see [`from_env`]. `text` is decoded
/// in place.
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
    let mut file: Router = decode::decode(text, CONFIG_VARIABLE)?;
    file.settings.has_discovery_agent = true;
    check_shared_sections(&file.settings, &file.limits, DeadlineRule::Optional)?;
    let values = ValueSources { env, precedence };
    let name = values.required(NAME_VARIABLE, file.name)?;
    let listen = values.required_address(LISTEN_VARIABLE, file.listen)?;
    let discovery = values.required_address(DISCOVERY_VARIABLE, file.discovery)?;
    let seed = parse_seed(&file.seed)?;
    let log = (values.env)(LOG_VARIABLE).or(file.log);
    Ok(Config {
        source: ConfigSource::RouterConfig(path.to_owned()),
        name,
        listen: Some(listen),
        discovery: Some(discovery),
        cached_endpoints: file.cached_endpoints,
        seed,
        max_descriptors: file.limits.max_descriptors,
        budget: MemoryBudget::from_memory_mb(file.limits.memory_mb),
        settings: file.settings,
        inventory: None,
        sftp: None,
        log: parse_log_level(LOG_VARIABLE, log.as_deref())?,
    })
}

/// The sources of the values that both the environment and the file may state.
struct ValueSources<E> {
    /// Looks up a variable of the environment.
    env: E,
    /// Which source takes precedence.
    precedence: Precedence,
}

impl<E: Fn(&str) -> Option<String>> ValueSources<E> {
    /// The value of `variable`, or the one that the file states for it.
    fn required(&self, variable: &str, in_file: Option<String>) -> Result<String, ConfigError> {
        let value = match self.precedence {
            Precedence::Environment => (self.env)(variable).or(in_file),
            Precedence::File => in_file.or_else(|| (self.env)(variable)),
        };
        value.ok_or_else(|| ConfigError::missing(variable))
    }

    /// The same for an address.
    fn required_address(
        &self,
        variable: &str,
        in_file: Option<String>,
    ) -> Result<SocketAddr, ConfigError> {
        let text = self.required(variable, in_file)?;
        parse_address(variable, &text)
    }
}

/// Parses the seed of the random number generator.
fn parse_seed(text: &str) -> Result<u64, ConfigError> {
    let text = if text.is_empty() { DEFAULT_SEED } else { text };
    parse_hexadecimal("seed", text)
}
