//! Paths of the keys in `limits` and `settings`, for error messages.
//!
//! The spelling of some keys differs from the name of the field in the code. For decoding,
//! `serde(rename)` maps these keys in `sections` and in the types of `deployment_settings`.

/// Key of the maximum number of file descriptors.
pub(super) const MAX_DESCRIPTORS: &str = "limits.sockets";
/// Key of the memory limit in MiB.
pub(super) const MEMORY_MB: &str = "limits.memory_mb";
/// Key of the request classes.
pub(super) const CLASSES: &str = "settings.classes";
/// Key of the volume plans.
pub(super) const PLANS: &str = "settings.plans";
/// Key of the maximum number of attempts for a request.
pub(super) const MAX_ATTEMPTS: &str = "settings.allowed.max_attempts";
/// Key of the shard count.
pub(super) const SHARD_COUNT: &str = "settings.domain.n_shards";

/// Returns the key of the latency objective of the class at `class_index`.
pub(super) fn latency_objective(class_index: usize) -> String {
    format!("{CLASSES}[{class_index}].aim_ms")
}

/// Returns the key of the deadline of the class at `class_index`.
pub(super) fn deadline(class_index: usize) -> String {
    format!("{CLASSES}[{class_index}].deadline_ms")
}

/// Returns the path in the configuration file of a key whose path within the settings object is
/// `key`.
pub(super) fn settings_key(key: &str) -> String {
    format!("settings.{key}")
}
