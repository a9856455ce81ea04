//! The settings of a deployment that the tests start from.

use deployment_settings::DeploymentSettings;

/// The settings as JSON.
pub const SETTINGS_JSON: &str = include_str!("../../settings.json");

/// The settings, decoded.
pub fn deployment_settings() -> DeploymentSettings {
    let mut text = SETTINGS_JSON.as_bytes().to_vec();
    simd_json::serde::from_slice(&mut text).expect("valid settings")
}
