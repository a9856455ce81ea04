//! The settings of a deployment, with one decoder that the gateway and the simulator adapter share.
//!
//! The simulator sends them as an object in its first message; a gateway reads the same object from
//! the key `settings` of its configuration. [`DeploymentSettings`] serves both, and
//! [`DeploymentSettings::to_scheduler_settings`] converts it for the scheduler.
//!
//! Names of the settings object stand in two modules only: `types` has its keys, as
//! `serde(rename)` where a field bears another name, and `values` has the words that some of its
//! values are limited to.

#![warn(clippy::missing_docs_in_private_items)]

mod conversion;
mod error;
mod time;
mod types;
mod values;

pub use error::UnknownValue;
pub use time::{micros, milliseconds};
pub use types::{
    AllowedFeatures, ClassSettings, DeploymentSettings, DomainSettings, PlanSettings,
    ReportSettings, RuleSettings,
};
pub use values::{DeduplicationScopeSetting, DiscoverySetting, IdempotencySetting};
