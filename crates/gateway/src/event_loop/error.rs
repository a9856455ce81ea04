//! Errors that stop the gateway.

use crate::config::ConfigError;
use crate::inventory::InventoryError;
use std::io;
use std::net::SocketAddr;

/// An error during startup or in the event loop.
#[derive(Debug, thiserror::Error)]
pub enum GatewayError {
    /// The configuration is invalid or cannot be read.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// A setting has an unknown value.
    #[error("invalid settings: {0}")]
    Settings(#[from] deployment_settings::UnknownValue),
    /// The inventory is invalid or cannot be read.
    #[error(transparent)]
    Inventory(#[from] InventoryError),
    /// An address to listen on cannot be bound.
    #[error("cannot listen on {address}: {error}")]
    Listen {
        /// The configured address.
        address: SocketAddr,
        /// The error of the system call.
        error: io::Error,
    },
    /// A system call failed that the gateway cannot run without.
    #[error("system call failed: {0}")]
    System(#[from] io::Error),
}
