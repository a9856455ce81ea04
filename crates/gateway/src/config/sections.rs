//! The configuration files as serde decodes them: the file that `ROUTER_CONFIG` names, and the
//! operator's file.
//!
//! The keys of the files stand in this module and in the keys of errors only: `serde(rename)` maps
//! them to the standard terms where they differ. The decoder's error messages contain the names of
//! these types, so renaming one changes user-visible text.

use crate::endpoint::EndpointListUpdate;
use deployment_settings::DeploymentSettings;
use serde::Deserialize;
use std::path::PathBuf;

/// File descriptors that the process may use if the file states no limit.
const DEFAULT_MAX_DESCRIPTORS: usize = 1024;
/// Memory that the process may use if the file states no limit, in MiB.
const DEFAULT_MEMORY_MB: usize = 256;

/// The file that `ROUTER_CONFIG` names. The environment may give `name`, `listen` and `discovery`
/// instead.
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
    #[serde(default, rename = "known")]
    pub cached_endpoints: EndpointListUpdate,
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
    #[serde(rename = "sockets")]
    pub max_descriptors: usize,
    /// Memory that the process may use, in MiB.
    pub memory_mb: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_descriptors: DEFAULT_MAX_DESCRIPTORS,
            memory_mb: DEFAULT_MEMORY_MB,
        }
    }
}
