//! The validated configuration.

use super::sftp::SftpSettings;
use crate::endpoint::EndpointListUpdate;
use crate::memory_budget::MemoryBudget;
use deployment_settings::DeploymentSettings;
use log::LevelFilter;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The validated configuration of a gateway.
#[derive(Debug)]
pub struct Config {
    /// The file to read on [`Config::reload`].
    pub(super) source: ConfigSource,
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
    /// Number of file descriptors that the process may use.
    pub max_descriptors: usize,
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
pub(super) enum ConfigSource {
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
    /// The file, used on a reload: the file may have changed, while the environment is that of the
    /// start.
    File,
}
