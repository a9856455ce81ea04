//! The decoded form of the configuration files: the file that `ROUTER_CONFIG` names, and the operator's file.
//!
//! The decoder's error messages contain the names of these types, so renaming one changes user-visible text.

use super::error::ConfigError;
use crate::endpoint::EndpointListUpdate;
use deployment_settings::DeploymentSettings;
use serde::de::DeserializeOwned;
use serde::Deserialize;
use std::path::{Path, PathBuf};

/// The file that `ROUTER_CONFIG` names. The environment may give `name`, `listen` and `discovery` instead.
#[derive(Deserialize)]
pub(super) struct Router {
    /// Name of this gateway.
    pub name: Option<String>,
    /// Address on which RESP2 clients are accepted.
    pub listen: Option<String>,
    /// Address of the discovery endpoint that serves the endpoint list.
    pub discovery: Option<String>,
    /// Seed of the random number generator, as a hexadecimal number; empty for 0.
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
    /// Log level.
    #[serde(default)]
    pub log: Option<String>,
}

/// The operator's file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Operator {
    /// Name of this gateway.
    pub name: Option<String>,
    /// Address on which RESP2 clients are accepted.
    pub listen: Option<String>,
    /// Address of the discovery endpoint that serves the endpoint list.
    pub discovery: Option<String>,
    /// Path of the inventory, relative to the folder of this file.
    pub inventory: Option<PathBuf>,
    /// Log level.
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
    /// Address on which SFTP clients are accepted.
    pub listen: String,
    /// Largest upload that is buffered, in bytes.
    pub max_upload_bytes: Option<usize>,
    /// Bytes that count as one unit.
    pub unit_bytes: Option<u64>,
    /// Name of the class of reads.
    pub read_class: String,
    /// Name of the class of writes.
    pub write_class: String,
    /// Name of the class of reads of large objects; `read_class` if absent.
    pub large_read_class: Option<String>,
    /// Smallest size in bytes of an object that counts as large; if absent, no object does.
    pub large_bytes: Option<u64>,
    /// Name of the class of listings; `read_class` if absent.
    pub list_class: Option<String>,
    /// Volumes that clients may access.
    pub volumes: Vec<OperatorVolume>,
}

/// One entry of `sftp.volumes` in the operator's file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct OperatorVolume {
    /// Name of the volume, which is the first part of the paths of its objects.
    pub name: String,
    /// Id of the volume, as a hexadecimal number.
    pub id: String,
    /// Name of the volume's plan.
    pub plan: String,
}

/// `limits` in either file.
#[derive(Deserialize)]
#[serde(default)]
pub(super) struct Limits {
    /// Number of file descriptors that the process may use.
    pub sockets: usize,
    /// Memory that the process may use, in MiB.
    pub memory_mb: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            sockets: 1024,
            memory_mb: 256,
        }
    }
}

/// Reads a file into memory.
pub(super) fn read(path: &Path) -> Result<Vec<u8>, ConfigError> {
    std::fs::read(path).map_err(|source| ConfigError::unreadable(path, source))
}

/// Decodes JSON; the parser overwrites `text`. `file` is the file's name in errors.
pub(super) fn decode<T: DeserializeOwned>(text: &mut [u8], file: &str) -> Result<T, ConfigError> {
    let mut json =
        simd_json::Deserializer::from_slice(text).map_err(|source| ConfigError::Malformed {
            file: file.to_owned(),
            source,
        })?;
    serde_path_to_error::deserialize(&mut json).map_err(|error| {
        let key = error.path().to_string();
        ConfigError::Undecodable {
            file: file.to_owned(),
            key,
            source: error.into_inner(),
        }
    })
}
