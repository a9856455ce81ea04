//! The files that hold a configuration, as they are written: `ROUTER_CONFIG` and the operator's file.
//!
//! The decoder's error messages contain the names of these types.

use super::error::ConfigError;
use crate::discovery::EndpointListUpdate;
use deployment_settings::DeploymentSettings;
use serde::de::DeserializeOwned;
use serde::Deserialize;
use std::path::{Path, PathBuf};

/// The file that `ROUTER_CONFIG` names. The environment may give `name`, `listen` and `discovery` instead.
#[derive(Deserialize)]
pub(super) struct Router {
    /// Name of this gateway.
    pub name: Option<String>,
    /// Where RESP2 clients connect.
    pub listen: Option<String>,
    /// Where discovery serves the endpoint list.
    pub discovery: Option<String>,
    /// Seed of the random numbers, in hexadecimal.
    #[serde(default)]
    pub seed: String,
    /// Limits of the process.
    #[serde(default)]
    pub limits: Limits,
    /// Endpoint list to start with, before discovery sends one.
    #[serde(default)]
    pub known: EndpointListUpdate,
    /// Settings of the deployment.
    pub settings: DeploymentSettings,
    /// Level of the log.
    #[serde(default)]
    pub log: Option<String>,
}

/// The operator's file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Operator {
    /// Name of this gateway.
    pub name: Option<String>,
    /// Where RESP2 clients connect.
    pub listen: Option<String>,
    /// Where discovery serves the endpoint list.
    pub discovery: Option<String>,
    /// Path of the inventory, relative to the folder of this file.
    pub inventory: Option<PathBuf>,
    /// Level of the log.
    pub log: Option<String>,
    /// Limits of the process.
    #[serde(default)]
    pub limits: Limits,
    /// Settings of the deployment.
    pub settings: DeploymentSettings,
    /// The SFTP listener.
    pub sftp: Option<OperatorSftp>,
}

/// `sftp` in the operator's file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct OperatorSftp {
    /// Where SFTP clients connect.
    pub listen: String,
    /// Largest upload that is buffered.
    pub max_upload_bytes: Option<usize>,
    /// Bytes that count as one unit.
    pub unit_bytes: Option<u64>,
    /// Class of reads.
    pub read_class: String,
    /// Class of writes.
    pub write_class: String,
    /// Class of reads of large objects; `read_class` if it is left out.
    pub large_read_class: Option<String>,
    /// Size from which on an object is large; no object is if it is left out.
    pub large_bytes: Option<u64>,
    /// Class of listings; `read_class` if it is left out.
    pub list_class: Option<String>,
    /// Volumes that paths may name.
    pub volumes: Vec<OperatorVolume>,
}

/// One entry of `sftp.volumes` in the operator's file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct OperatorVolume {
    /// Name of the volume's top folder.
    pub name: String,
    /// 16 hexadecimal digits.
    pub id: String,
    /// Name of its plan.
    pub plan: String,
}

/// `limits` in either file.
#[derive(Deserialize)]
#[serde(default)]
pub(super) struct Limits {
    /// File descriptors that the process may use.
    pub sockets: usize,
    /// Memory that the process may use, in MiB.
    pub memory_mb: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { sockets: 1024, memory_mb: 256 }
    }
}

/// Reads a file into memory.
pub(super) fn read(path: &Path) -> Result<Vec<u8>, ConfigError> {
    std::fs::read(path).map_err(|source| ConfigError::unreadable(path, source))
}

/// Decodes JSON in place. `file` is how errors name the file.
pub(super) fn decode<T: DeserializeOwned>(text: &mut [u8], file: &str) -> Result<T, ConfigError> {
    let mut json = simd_json::Deserializer::from_slice(text)
        .map_err(|source| ConfigError::Malformed { file: file.to_owned(), source })?;
    serde_path_to_error::deserialize(&mut json).map_err(|error| {
        let key = error.path().to_string();
        ConfigError::Undecodable { file: file.to_owned(), key, source: error.into_inner() }
    })
}
