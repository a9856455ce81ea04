//! Loads the configuration file that `ROUTER_CONFIG` names, and the other environment variables.

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
/// Environment variable with the address on which the gateway accepts RESP2 clients.
const LISTEN_VARIABLE: &str = "ROUTER_LISTEN";
/// Environment variable with the address of the discovery endpoint.
const DISCOVERY_VARIABLE: &str = "ROUTER_DISCOVERY";
/// Environment variable with the log level.
const LOG_VARIABLE: &str = "STORAGE_GATEWAY_LOG";
/// Hexadecimal seed of the scheduler's hashes if the file does not set one.
const DEFAULT_SEED: &str = "0";

/// Loads the configuration from the file that `ROUTER_CONFIG` names. The other environment
/// variables take precedence over the file. `env` looks up an environment variable.
///
/// # Errors
///
/// Returns an error if `ROUTER_CONFIG` is not set, if the file cannot be read or decoded, or if a
/// value in the file or in a variable is missing or invalid.
pub fn from_env(env: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
    let path = env(CONFIG_VARIABLE).ok_or_else(|| {
        ConfigError::missing(CONFIG_VARIABLE, "the path of the configuration file")
    })?;
    let path = PathBuf::from(path);
    let mut text = decode::read(&path)?;
    parse_router_config(&mut text, &path, env, Precedence::Environment)
}

/// Parses the content of the file that `ROUTER_CONFIG` names. `text` is decoded in place; `path` is
/// kept for [`Config::reload`]. `precedence` decides between `name`, `listen` and `discovery` in
/// the file and the environment variables for them.
///
/// # Errors
///
/// Returns an error if the text cannot be decoded, or if a value in it or in a variable is missing
/// or invalid.
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
        memory_budget: MemoryBudget::from_memory_mb(file.limits.memory_mb),
        settings: file.settings,
        inventory: None,
        sftp: None,
        log_level: parse_log_level(LOG_VARIABLE, log.as_deref())?,
    })
}

/// Resolves the values that both the environment and the file can set.
struct ValueSources<E> {
    /// Looks up an environment variable.
    env: E,
    /// The source that takes precedence if both set a value.
    precedence: Precedence,
}

impl<E: Fn(&str) -> Option<String>> ValueSources<E> {
    /// Returns the value of `variable` or `file_value`, the value in the file, whichever takes
    /// precedence. Fails if neither is set.
    fn required(&self, variable: &str, file_value: Option<String>) -> Result<String, ConfigError> {
        let value = match self.precedence {
            Precedence::Environment => (self.env)(variable).or(file_value),
            Precedence::File => file_value.or_else(|| (self.env)(variable)),
        };
        value.ok_or_else(|| {
            ConfigError::missing(
                variable,
                "a value in this variable or in the file that ROUTER_CONFIG names",
            )
        })
    }

    /// Like [`ValueSources::required`], but parses the value as an address.
    fn required_address(
        &self,
        variable: &str,
        file_value: Option<String>,
    ) -> Result<SocketAddr, ConfigError> {
        let text = self.required(variable, file_value)?;
        parse_address(variable, &text)
    }
}

/// Parses the seed of the scheduler's hashes; an empty text gives [`DEFAULT_SEED`].
fn parse_seed(text: &str) -> Result<u64, ConfigError> {
    let text = if text.is_empty() { DEFAULT_SEED } else { text };
    parse_hexadecimal("seed", text)
}
