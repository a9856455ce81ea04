//! Configuration. The environment, the file that `ROUTER_CONFIG` names and the operator's file are
//! read, validated and completed with defaults only here. Every error names the key at fault.

mod decode;
mod error;
mod keys;
mod model;
mod operator;
mod platform;
mod reload;
mod sections;
mod sftp;
mod sftp_volumes;
mod validate;

pub use error::{ConfigError, InvalidValue};
pub use model::{Config, Precedence};
pub use operator::from_file;
pub use platform::{from_env, parse_router_config};
pub use sftp::SftpSettings;
pub use sftp_volumes::SftpVolume;
