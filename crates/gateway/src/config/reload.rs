//! Reading the configuration again.

use super::decode;
use super::error::ConfigError;
use super::model::{Config, ConfigSource, Precedence};
use super::operator::from_file;
use super::platform::parse_router_config;

impl Config {
    /// Reads the configuration again from the same file. The file takes precedence over the
    /// environment, which cannot have changed since the start; only `STORAGE_GATEWAY_LOG` takes
    /// precedence over the file that `ROUTER_CONFIG` names.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the file as it is now.
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
