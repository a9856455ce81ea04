//! State shared by all clients of the SFTP listener: settings, request ids, known object sizes and the memory
//! budget of buffered objects.

use super::error::SftpError;
use super::path::Target;
use crate::config::SftpSettings;
use crate::hex_id::HexId;
use crate::storage_request::{Operation, RequestParameters, StorageRequest};
use deployment_settings::{micros, DeploymentSettings};
use io_scheduler::{ClassIndex, ObjectKey, Shard, VolumeId};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Largest number of objects whose size is cached.
const MAX_KNOWN_SIZES: usize = 10_000;

/// State shared by all clients of the SFTP listener.
pub struct SftpShared {
    /// Settings of the listener.
    pub(super) config: SftpSettings,
    /// Classes of requests, in the order of the settings.
    classes: Vec<RequestClass>,
    /// Names of the plans, in the order of the settings.
    plans: Vec<String>,
    /// Number of shards of each volume.
    shard_count: u64,
    /// Number of gateways through which the requests of a volume arrive.
    hosts: f64,
    /// Mean size of a request, in units.
    mean_units: f64,
    /// Largest size of a request, in units.
    max_units: f64,
    /// The next client request id, shared by all clients so that the ids are unique at the storage nodes.
    next_request_id: Cell<u64>,
    /// Bytes buffered by all handles of all clients: uploads, and objects open for reading.
    buffered_bytes: Cell<usize>,
    /// Upper bound on `buffered_bytes`.
    max_buffered_bytes: usize,
    /// Sizes of objects in bytes as last observed, from which the units of a read are estimated.
    object_sizes: RefCell<BTreeMap<CachedObject, u64>>,
}

/// A class of requests.
struct RequestClass {
    /// Name of the class.
    name: String,
    /// Time in milliseconds after which a request of the class times out.
    deadline_ms: f64,
}

/// Identifies an object by its volume's id and its own.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct CachedObject {
    volume: VolumeId,
    object: ObjectKey,
}

impl From<&Target> for CachedObject {
    fn from(target: &Target) -> CachedObject {
        CachedObject {
            volume: target.volume,
            object: target.object,
        }
    }
}

impl SftpShared {
    /// Creates the shared state of a listener. All handles together may buffer `max_buffered_bytes`; the request
    /// ids count up from `first_request_id`.
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
                .map(|class| RequestClass {
                    name: class.name.clone(),
                    deadline_ms: class.deadline_ms,
                })
                .collect(),
            plans: settings
                .plans
                .iter()
                .map(|plan| plan.name.clone())
                .collect(),
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
        self.buffered_bytes
            .set(self.buffered_bytes.get() - released);
    }

    /// Caches the size of an object in bytes. If the cache is full, the entry with the smallest key is evicted.
    pub(super) fn record_size(&self, target: &Target, size: u64) {
        let mut sizes = self.object_sizes.borrow_mut();
        if sizes.len() >= MAX_KNOWN_SIZES {
            sizes.pop_first();
        }
        sizes.insert(target.into(), size);
    }

    /// Builds a request for one object.
    pub(super) fn object_request(
        &self,
        operation: Operation,
        target: &Target,
        body: Vec<u8>,
    ) -> StorageRequest {
        self.request(operation, target, target.shard(self.shard_count), body)
    }

    /// Builds the requests that list a volume, one for each shard.
    pub(super) fn list_requests(&self, volume: &Target) -> Vec<StorageRequest> {
        let shards = 0..self.shard_count;
        shards
            .map(|shard| self.request(Operation::List, volume, shard, Vec::new()))
            .collect()
    }

    /// Builds a request with the next request id.
    fn request(
        &self,
        operation: Operation,
        target: &Target,
        shard: u64,
        body: Vec<u8>,
    ) -> StorageRequest {
        let (class, units) = self.class_and_units(operation, target, body.len() as u64);
        let request_id = self.next_request_id.get();
        self.next_request_id.set(request_id.wrapping_add(1));
        let RequestClass {
            name: class_name,
            deadline_ms,
        } = &self.classes[class.0];
        let prefix = format!("c={class_name},t={},d=", self.plans[target.plan.0]);
        let volume_and_units = format!(",volume={},units={units}", HexId(target.volume.0));
        let suffix = format!("{volume_and_units},shard={shard},hosts={}", self.hosts);
        StorageRequest {
            operation,
            object: target.object,
            object_name: target.name.clone(),
            volume: target.volume,
            client_request_id: HexId(request_id).to_string().into(),
            class,
            plan: target.plan,
            units,
            shard: Some(Shard(shard)),
            hosts: self.hosts,
            client_timeout: micros(*deadline_ms),
            is_retry: false,
            body,
            parameters: RequestParameters {
                before_timeout: prefix.into(),
                after_timeout: suffix.into(),
            },
        }
    }

    /// The class of a request and its units.
    fn class_and_units(
        &self,
        operation: Operation,
        target: &Target,
        body_bytes: u64,
    ) -> (ClassIndex, f64) {
        match operation {
            Operation::Write => (self.config.write_class, self.units(Some(body_bytes))),
            Operation::List => (self.config.list_class, 1.0),
            Operation::Stat => (self.config.read_class, 1.0),
            Operation::Read => {
                let size = self.object_sizes.borrow().get(&target.into()).copied();
                let is_large = size.is_some_and(|size| size >= self.config.large_bytes);
                let class = if is_large {
                    self.config.large_read_class
                } else {
                    self.config.read_class
                };
                (class, self.units(size))
            }
        }
    }

    /// The units of a request for an object of `size` bytes; the mean if the size is not known.
    fn units(&self, size: Option<u64>) -> f64 {
        let units = match size {
            Some(size) => size.div_ceil(self.config.unit_bytes) as f64,
            None => self.mean_units.round(),
        };
        units.clamp(1.0, self.max_units)
    }
}
