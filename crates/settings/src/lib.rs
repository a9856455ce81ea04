//! Settings of a deployment, shared by the gateway and the simulator adapter.
//!
//! The gateway reads the settings object from the key `settings` of its configuration. The
//! simulator sends the same object in the message that starts a simulated gateway. Both programs
//! decode it as [`DeploymentSettings`] and convert it with
//! [`DeploymentSettings::to_scheduler_settings`].
//!
//! Only `types` and `values` contain the keys and values of the settings object. `types` has the
//! keys: where a key differs from the name of the field, `serde(rename)` states the key. `values`
//! has the accepted values of the settings that have a fixed set of them.

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
