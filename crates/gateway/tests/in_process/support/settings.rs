//! Deployment settings of the tests.

use deployment_settings::DeploymentSettings;

/// The settings in JSON, as in a configuration file.
pub const SETTINGS_JSON: &str = include_str!("../../settings.json");

/// Returns the decoded settings. A test changes the fields that it needs to be different.
pub fn deployment_settings() -> DeploymentSettings {
    let mut text = SETTINGS_JSON.as_bytes().to_vec();
    simd_json::serde::from_slice(&mut text).expect("the settings of the tests should be valid")
}
