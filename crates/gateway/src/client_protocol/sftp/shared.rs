//! What all clients of the SFTP listener share: settings, request ids, object sizes and the memory budget of
//! buffered objects.

use super::error::SftpError;
use super::path::Target;
use crate::config::SftpSettings;
use crate::dispatcher::{Operation, RequestParameters, StorageRequest};
use deployment_settings::{micros, DeploymentSettings};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Most objects whose size is remembered.
const MAX_KNOWN_SIZES: usize = 10_000;

/// State shared by all clients of the SFTP listener.
pub struct SftpShared {
    pub(super) config: SftpSettings,
    classes: Vec<RequestClass>,
    /// Names of the plans.
    plans: Vec<String>,
    shard_count: u64,
    /// Number of gateways through which the requests of a volume arrive.
    hosts: f64,
    /// Mean and largest size of a request, in units.
    mean_units: f64,
    max_units: f64,
    next_request_id: Cell<u64>,
    /// Bytes buffered by all handles of all clients: uploads, and objects that are read.
    buffered_bytes: Cell<usize>,
    max_buffered_bytes: usize,
    /// Sizes of objects in bytes as last seen; the units of a read follow from them.
    object_sizes: RefCell<BTreeMap<ObjectKey, u64>>,
}

/// A class of requests.
struct RequestClass {
    name: String,
    deadline_ms: f64,
}

/// An object by the ids of its volume and itself.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ObjectKey {
    volume: u64,
    object: u64,
}

impl From<&Target> for ObjectKey {
    fn from(target: &Target) -> ObjectKey {
        ObjectKey { volume: target.volume, object: target.object }
    }
}

impl SftpShared {
    /// The shared state of a listener. All handles together may buffer `max_buffered_bytes`; the clients'
    /// requests get ids from `first_request_id` on.
    #[must_use]
    pub fn new(
        config: SftpSettings,
        settings: &DeploymentSettings,
        max_buffered_bytes: usize,
        first_request_id: u64,
    ) -> Rc<SftpShared> {
        let classes = settings.classes.iter();
        Rc::new(SftpShared {
            config,
            classes: classes
                .map(|class| RequestClass { name: class.name.clone(), deadline_ms: class.deadline_ms })
                .collect(),
            plans: settings.plans.iter().map(|plan| plan.name.clone()).collect(),
            shard_count: settings.storage.shard_count.max(1),
            hosts: f64::from(settings.gateway_count.max(1)),
            mean_units: settings.storage.mean_units.max(1.0),
            max_units: settings.storage.max_units.max(1.0),
            next_request_id: Cell::new(first_request_id),
            buffered_bytes: Cell::new(0),
            max_buffered_bytes,
            object_sizes: RefCell::default(),
        })
    }

    /// Reserves memory for bytes that a handle is about to buffer.
    pub(super) fn reserve_bytes(&self, additional: usize) -> Result<(), SftpError> {
        let buffered = self.buffered_bytes.get() + additional;
        if additional > 0 && buffered > self.max_buffered_bytes {
            return Err(SftpError::BuffersFull);
        }
        self.buffered_bytes.set(buffered);
        Ok(())
    }

    /// Releases memory that [`Self::reserve_bytes`] reserved.
    pub(super) fn release_bytes(&self, released: usize) {
        self.buffered_bytes.set(self.buffered_bytes.get() - released);
    }

    /// Remembers the size of an object in bytes; another one is forgotten if there are too many.
    pub(super) fn record_size(&self, target: &Target, size: u64) {
        let mut sizes = self.object_sizes.borrow_mut();
        if sizes.len() >= MAX_KNOWN_SIZES {
            sizes.pop_first();
        }
        sizes.insert(target.into(), size);
    }

    /// A request for one object.
    pub(super) fn object_request(
        &self,
        operation: Operation,
        target: &Target,
        body: Vec<u8>,
    ) -> StorageRequest {
        self.request(operation, target, target.shard(self.shard_count), body)
    }

    /// The requests that list a volume, one for each shard.
    pub(super) fn list_requests(&self, volume: &Target) -> Vec<StorageRequest> {
        let shards = 0..self.shard_count;
        shards.map(|shard| self.request(Operation::List, volume, shard, Vec::new())).collect()
    }

    /// A request with the next request id.
    fn request(&self, operation: Operation, target: &Target, shard: u64, body: Vec<u8>) -> StorageRequest {
        let (class, units) = self.class_and_units(operation, target, body.len() as u64);
        let request_id = self.next_request_id.get();
        self.next_request_id.set(request_id.wrapping_add(1));
        let RequestClass { name: class_name, deadline_ms } = &self.classes[class];
        let prefix = format!("c={class_name},t={},d=", self.plans[target.plan]);
        let volume_and_units = format!(",volume={:016x},units={units}", target.volume);
        let suffix = format!("{volume_and_units},shard={shard},hosts={}", self.hosts);
        StorageRequest {
            operation,
            object: target.object,
            object_name: target.name.clone(),
            volume: target.volume,
            client_request_id: format!("{request_id:016x}").into(),
            class,
            plan: target.plan,
            units,
            shard: Some(shard),
            hosts: self.hosts,
            client_timeout: micros(*deadline_ms),
            is_retry: false,
            body,
            parameters: RequestParameters { before_timeout: prefix.into(), after_timeout: suffix.into() },
        }
    }

    /// The class of a request, as an index into the settings, and its units.
    fn class_and_units(&self, operation: Operation, target: &Target, body_bytes: u64) -> (usize, f64) {
        match operation {
            Operation::Write => (self.config.write, self.units(Some(body_bytes))),
            Operation::List => (self.config.list, 1.0),
            Operation::Stat => (self.config.read, 1.0),
            Operation::Read => {
                let size = self.object_sizes.borrow().get(&target.into()).copied();
                let is_large = size.is_some_and(|size| size >= self.config.large_bytes);
                let class = if is_large { self.config.large_read } else { self.config.read };
                (class, self.units(size))
            }
        }
    }

    /// The units of an object of `size` bytes, or of one whose size is not known.
    fn units(&self, size: Option<u64>) -> f64 {
        let units = match size {
            Some(size) => size.div_ceil(self.config.unit_bytes) as f64,
            None => self.mean_units.round(),
        };
        units.clamp(1.0, self.max_units)
    }
}
