//! Errors that end the gateway.

use crate::config::ConfigError;
use crate::inventory::InventoryError;
use std::io;
use std::net::SocketAddr;

/// An error at the start of the gateway or in the event loop itself.
#[derive(Debug, thiserror::Error)]
pub enum GatewayError {
    /// The configuration can't be used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The settings name something unknown.
    #[error("settings: {0}")]
    Settings(#[from] deployment_settings::UnknownValue),
    /// The inventory can't be used.
    #[error(transparent)]
    Inventory(#[from] InventoryError),
    /// An address to listen on can't be bound.
    #[error("cannot listen on {address}: {error}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        error: io::Error,
    },
    /// A system call failed without which the gateway can't run.
    #[error("{0}")]
    System(#[from] io::Error),
}
