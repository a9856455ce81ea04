//! Helpers that several test modules use.

pub mod random_numbers;
pub mod settings;
pub mod storage_request;
