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
    /// The file that this configuration was loaded from; [`Config::reload`] reads it again.
    pub(super) source: ConfigSource,
    /// Name of this gateway.
    pub name: String,
    /// Address on which the gateway accepts RESP2 clients; `None` for no RESP2 listener.
    pub listen: Option<SocketAddr>,
    /// Address of the discovery endpoint that serves the endpoint list; `None` if the nodes come
    /// from the inventory only.
    pub discovery: Option<SocketAddr>,
    /// Endpoint list to use until the discovery service sends one.
    pub cached_endpoints: EndpointListUpdate,
    /// Seed of the hashes that the scheduler uses in place of random numbers.
    pub seed: u64,
    /// Maximum number of file descriptors that the process may open.
    pub max_descriptors: usize,
    /// Division of the memory limit among the buffers.
    pub memory_budget: MemoryBudget,
    /// Settings of the deployment.
    pub settings: DeploymentSettings,
    /// Path of the inventory of storage nodes; `None` if the nodes come from discovery only.
    pub inventory: Option<PathBuf>,
    /// Settings of the SFTP listener; `None` for no SFTP listener.
    pub sftp: Option<SftpSettings>,
    /// Most verbose level of the messages that are logged.
    pub log_level: LevelFilter,
}

/// The file that a configuration was loaded from, and its format.
#[derive(Clone, Debug)]
pub(super) enum ConfigSource {
    /// The file that `ROUTER_CONFIG` named at startup.
    RouterConfig(PathBuf),
    /// The operator's file, given by `--config`.
    OperatorFile(PathBuf),
}

/// The source that takes precedence if both the environment and the file set a value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Precedence {
    /// The environment takes precedence. Used at startup.
    Environment,
    /// The file takes precedence. Used on a reload, because the file may have changed since
    /// startup, while the environment of a running process cannot.
    File,
}
