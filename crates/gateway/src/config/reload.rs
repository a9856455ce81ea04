//! Reloads the configuration while the gateway runs.

use super::decode;
use super::environment::parse_router_config;
use super::error::ConfigError;
use super::model::{Config, ConfigSource, Precedence};
use super::operator::from_file;

impl Config {
    /// Loads the configuration again from the file that it was first loaded from.
    ///
    /// On a reload, the file that `ROUTER_CONFIG` named takes precedence over the environment
    /// variables, which cannot have changed since startup. Only `STORAGE_GATEWAY_LOG` still takes
    /// precedence over the file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can no longer be read or decoded, or if a value in it is
    /// missing or invalid.
    pub fn reload(&self, env: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        match &self.source {
            ConfigSource::RouterConfig(path) => {
                let mut text = decode::read(path)?;
                parse_router_config(&mut text, path, env, Precedence::File)
            }
            ConfigSource::OperatorFile(path) => from_file(path),
        }
    }
}
