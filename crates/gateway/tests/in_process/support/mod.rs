//! What several of the tests need.

pub mod random_numbers;
pub mod settings;
pub mod storage_request;
