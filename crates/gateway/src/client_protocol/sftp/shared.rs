//! What all clients of the SFTP listener share.

use super::buffer_budget::BufferBudget;
use super::object_sizes::ObjectSizes;
use super::requests::RequestBuilder;
use crate::config::{SftpSettings, SftpVolume};
use deployment_settings::DeploymentSettings;
use std::rc::Rc;

/// State shared by all clients of the SFTP listener.
pub struct SftpShared {
    /// Volumes that clients may access.
    pub(super) volumes: Vec<SftpVolume>,
    /// Largest upload that is buffered, in bytes.
    pub(super) max_upload_bytes: usize,
    /// Builds the requests of all clients.
    pub(super) requests: RequestBuilder,
    /// Sizes of objects as last observed.
    pub(super) object_sizes: ObjectSizes,
    /// The memory for buffered objects.
    pub(super) buffer_budget: Rc<BufferBudget>,
}

impl SftpShared {
    /// Creates the shared state of a listener. All handles together may buffer
    /// `max_buffered_bytes`; the request ids count up from `first_request_id`.
    #[must_use]
    pub fn new(
        config: SftpSettings,
        settings: &DeploymentSettings,
        max_buffered_bytes: usize,
        first_request_id: u64,
    ) -> Rc<SftpShared> {
        Rc::new(SftpShared {
            requests: RequestBuilder::new(&config, settings, first_request_id),
            volumes: config.volumes,
            max_upload_bytes: config.max_upload_bytes,
            object_sizes: ObjectSizes::default(),
            buffer_budget: Rc::new(BufferBudget::new(max_buffered_bytes)),
        })
    }
}
