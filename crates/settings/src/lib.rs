//! The settings of a deployment, with one decoder that the gateway and the simulator adapter share.
//!
//! The simulator sends them as an object in its first message; a gateway reads the same object from the key
//! `settings` of its configuration. [`DeploymentSettings`] serves both, and
//! [`DeploymentSettings::to_scheduler_settings`] converts it for the scheduler.
//!
//! Fields have standard names; `serde(rename)` states the key in the settings object where it differs.

mod conversion;
mod error;
mod time;
mod types;

pub use error::UnknownValue;
pub use time::{micros, milliseconds};
pub use types::{
    AllowedFeatures, ClassSettings, DeploymentSettings, DomainSettings, PlanSettings,
    ReportSettings, RuleSettings,
};
