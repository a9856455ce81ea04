//! State shared by all clients of the SFTP listener.

use super::buffer_budget::BufferBudget;
use super::object_sizes::ObjectSizes;
use super::requests::RequestBuilder;
use crate::config::{SftpSettings, SftpVolume};
use deployment_settings::DeploymentSettings;
use std::rc::Rc;

/// State shared by all clients of the SFTP listener.
pub struct SftpListenerState {
    /// Volumes that clients may access.
    pub(super) volumes: Vec<SftpVolume>,
    /// Maximum size of an upload in bytes.
    pub(super) max_upload_bytes: usize,
    /// Builds the requests of all clients.
    pub(super) requests: RequestBuilder,
    /// Last observed sizes of objects.
    pub(super) object_sizes: ObjectSizes,
    /// Memory budget for buffered objects.
    pub(super) buffer_budget: Rc<BufferBudget>,
}

impl SftpListenerState {
    /// Creates the shared state of a listener. The handles of all clients together may buffer up to
    /// `max_buffered_bytes`. Client request ids count up from `first_request_id`.
    #[must_use]
    pub fn new(
        config: SftpSettings,
        settings: &DeploymentSettings,
        max_buffered_bytes: usize,
        first_request_id: u64,
    ) -> Rc<SftpListenerState> {
        Rc::new(SftpListenerState {
            requests: RequestBuilder::new(&config, settings, first_request_id),
            volumes: config.volumes,
            max_upload_bytes: config.max_upload_bytes,
            object_sizes: ObjectSizes::default(),
            buffer_budget: Rc::new(BufferBudget::new(max_buffered_bytes)),
        })
    }
}
