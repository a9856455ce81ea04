//! Configuration of the gateway.
//!
//! This module loads the configuration, validates it and fills in defaults. No other module
//! interprets the environment variables, the file that `ROUTER_CONFIG` names or the operator's
//! file. Every error about a value names its key or environment variable.

mod decode;
mod environment;
mod error;
mod keys;
mod model;
mod operator;
mod reload;
mod sections;
mod sftp;
mod sftp_volumes;
mod validate;

pub use environment::{from_env, parse_router_config};
pub use error::{ConfigError, InvalidValue};
pub use model::{Config, Precedence};
pub use operator::from_file;
pub use sftp::SftpSettings;
pub use sftp_volumes::SftpVolume;
