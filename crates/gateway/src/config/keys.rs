//! Keys of the configuration files that errors quote where their words differ from the code's
//! terms.
//!
//! The decoders map the same keys in `sections` and in the types of `deployment_settings`.

/// Key of the limit on file descriptors.
pub(super) const MAX_DESCRIPTORS: &str = "limits.sockets";
/// Key of the limit on memory.
pub(super) const MEMORY_MB: &str = "limits.memory_mb";
/// Key of the classes of requests.
pub(super) const CLASSES: &str = "settings.classes";
/// Key of the plans of volumes.
pub(super) const PLANS: &str = "settings.plans";
/// Key of the limit on the attempts of a request.
pub(super) const MAX_ATTEMPTS: &str = "settings.allowed.max_attempts";
/// Key of the number of shards.
pub(super) const SHARD_COUNT: &str = "settings.domain.n_shards";

/// Key of the latency objective of a class.
pub(super) fn latency_objective(class_index: usize) -> String {
    format!("{CLASSES}[{class_index}].aim_ms")
}

/// Key of the deadline of a class.
pub(super) fn deadline(class_index: usize) -> String {
    format!("{CLASSES}[{class_index}].deadline_ms")
}

/// Key of a word of the settings that the scheduler does not know.
pub(super) fn of_settings(key: &str) -> String {
    format!("settings.{key}")
}
