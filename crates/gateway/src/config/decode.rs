//! Reads and decodes configuration files.

use super::error::ConfigError;
use serde::de::DeserializeOwned;
use std::path::Path;

/// Reads a file into memory.
pub(super) fn read(path: &Path) -> Result<Vec<u8>, ConfigError> {
    std::fs::read(path).map_err(|source| ConfigError::unreadable(path, source))
}

/// Decodes JSON in place: the parser overwrites `text`. `file` identifies the configuration in
/// errors.
pub(super) fn decode<T: DeserializeOwned>(text: &mut [u8], file: &str) -> Result<T, ConfigError> {
    let mut json =
        simd_json::Deserializer::from_slice(text).map_err(|source| ConfigError::Malformed {
            file: file.to_owned(),
            source,
        })?;
    serde_path_to_error::deserialize(&mut json).map_err(|error| {
        let key = error.path().to_string();
        ConfigError::Undecodable {
            file: file.to_owned(),
            key,
            source: error.into_inner(),
        }
    })
}
