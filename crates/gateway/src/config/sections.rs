//! The types that serde decodes configuration files into: the file that `ROUTER_CONFIG` names, and
//! the operator's file.
//!
//! `serde(rename)` states the key where it differs from the name of the field. Outside of this
//! module, only error messages contain keys of the files, except those below `settings`, which
//! `deployment_settings` decodes, and those below `known`, which `endpoint` decodes. The decoder's
//! error messages contain the names of these types, so renaming a type changes text that operators
//! see.

use crate::endpoint::EndpointListUpdate;
use deployment_settings::DeploymentSettings;
use serde::Deserialize;
use std::path::PathBuf;

/// Maximum number of file descriptors if the file does not set `limits.sockets`.
const DEFAULT_MAX_DESCRIPTORS: usize = 1024;
/// Memory limit in MiB if the file does not set `limits.memory_mb`.
const DEFAULT_MEMORY_MB: usize = 256;

/// The file that `ROUTER_CONFIG` names. Environment variables can set `name`, `listen` and
/// `discovery` instead of the file.
#[derive(Deserialize)]
pub(super) struct Router {
    /// Name of this gateway.
    pub name: Option<String>,
    /// IP address and port on which the gateway accepts RESP2 clients.
    pub listen: Option<String>,
    /// IP address and port of the discovery endpoint that serves the endpoint list.
    pub discovery: Option<String>,
    /// Seed of the hashes that the scheduler uses in place of random numbers, as a hexadecimal
    /// number; empty or absent for 0.
    #[serde(default)]
    pub seed: String,
    /// Limits of the process.
    #[serde(default)]
    pub limits: Limits,
    /// Endpoint list to use until the discovery service sends one.
    #[serde(default, rename = "known")]
    pub cached_endpoints: EndpointListUpdate,
    /// Settings of the deployment.
    pub settings: DeploymentSettings,
    /// Name of the log level; `info` if absent.
    #[serde(default)]
    pub log: Option<String>,
}

/// The operator's file, which `--config` names.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Operator {
    /// Name of this gateway.
    pub name: Option<String>,
    /// IP address and port on which the gateway accepts RESP2 clients.
    pub listen: Option<String>,
    /// IP address and port of the discovery endpoint that serves the endpoint list.
    pub discovery: Option<String>,
    /// Path of the inventory, relative to the directory of this file.
    pub inventory: Option<PathBuf>,
    /// Name of the log level; `info` if absent.
    pub log: Option<String>,
    /// Limits of the process.
    #[serde(default)]
    pub limits: Limits,
    /// Settings of the deployment.
    pub settings: DeploymentSettings,
    /// Settings of the SFTP listener; absent for no SFTP listener.
    pub sftp: Option<OperatorSftp>,
}

/// The section `sftp` of the operator's file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct OperatorSftp {
    /// IP address and port on which the gateway accepts SFTP clients.
    pub listen: String,
    /// Largest accepted upload in bytes; `MAX_VALUE_BYTES` if absent. The gateway buffers an upload
    /// completely.
    pub max_upload_bytes: Option<usize>,
    /// Number of bytes that count as one unit; 16 KiB if absent.
    pub unit_bytes: Option<u64>,
    /// Name of the class of reads.
    pub read_class: String,
    /// Name of the class of writes.
    pub write_class: String,
    /// Name of the class of reads of large objects; `read_class` if absent.
    pub large_read_class: Option<String>,
    /// Size in bytes from which an object counts as large; if absent, no object counts as large.
    pub large_bytes: Option<u64>,
    /// Name of the class of listings; `read_class` if absent.
    pub list_class: Option<String>,
    /// Volumes that SFTP clients can access.
    pub volumes: Vec<OperatorVolume>,
}

/// One entry of `sftp.volumes` in the operator's file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct OperatorVolume {
    /// Name of the volume, which is the first component of the paths of its objects.
    pub name: String,
    /// Id of the volume, as a hexadecimal number.
    pub id: String,
    /// Name of the volume's plan.
    pub plan: String,
}

/// The section `limits` of either file.
#[derive(Deserialize)]
#[serde(default)]
pub(super) struct Limits {
    /// Maximum number of file descriptors that the process may open.
    #[serde(rename = "sockets")]
    pub max_descriptors: usize,
    /// Memory limit of the process in MiB.
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
