//! The settings of a deployment, decoded once for every program here.
//!
//! The simulator sends them as an object in its first message; a gateway reads the same object from the key
//! `settings` of its configuration. [`DeploymentSettings`] serves both, and
//! [`DeploymentSettings::to_scheduler_settings`] converts it for the decision module.
//!
//! Fields carry the terms of the field; where a key of the object is spelled differently, `serde(rename)`
//! states its spelling.

mod conversion;
mod error;
mod time;
mod types;

pub use error::UnknownValue;
pub use time::micros;
pub use types::{
    AllowedFeatures, ClassSettings, DeploymentSettings, DomainSettings, PlanSettings, ReportSettings,
    RuleSettings,
};
