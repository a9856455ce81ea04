//! Builds the requests that commands submit. A RESP2 client specifies the class, the units and the
//! shard of its requests. For an SFTP client, these values are derived from the settings of the
//! listener.

use super::path::{ObjectTarget, VolumeTarget};
use crate::config::SftpSettings;
use crate::hex_id::HexId;
use crate::resp_wire_names::parameter::{CLASS, HOSTS, PLAN, SHARD, TIMEOUT, UNITS, VOLUME};
use crate::storage_request::{Operation, RequestParameters, StorageRequest};
use deployment_settings::{micros, DeploymentSettings};
use io_scheduler::{ClassIndex, Micros, ObjectKey, Shard, Units};
use std::cell::Cell;

/// Id of the object in which a RESP2 node stores the index of a volume's objects.
const INDEX_OBJECT: ObjectKey = ObjectKey(0);
/// Size of a request that transfers no object data: a listing, or a request for the size of an
/// object.
const METADATA_UNITS: Units = Units(1.0);
/// Minimum size of a request in units.
const MIN_UNITS: f64 = 1.0;

/// Builds requests according to the settings, each with a unique client request id.
pub(super) struct RequestBuilder {
    /// The class of each operation.
    classes: OperationClasses,
    /// Names of the plans, in the order of the settings.
    plans: Vec<String>,
    /// Number of shards of each volume.
    shard_count: u64,
    /// Number of gateways that receive requests for a volume.
    host_count: f64,
    /// Converts object sizes to units.
    unit_converter: UnitConverter,
    /// The next client request id, from one counter for all clients, so that the ids are unique at
    /// the storage nodes.
    next_request_id: Cell<u64>,
}

/// The class of each operation.
struct OperationClasses {
    /// Class of reads.
    read: RequestClass,
    /// Class of reads of objects known to be large.
    large_read: RequestClass,
    /// Minimum size in bytes of an object that counts as large.
    large_bytes: u64,
    /// Class of writes.
    write: RequestClass,
    /// Class of listings.
    list: RequestClass,
}

/// A request class.
struct RequestClass {
    /// Index of the class in the settings.
    index: ClassIndex,
    /// Name of the class.
    name: String,
    /// Time in microseconds after which a request of the class times out: the class's deadline.
    timeout: Micros,
}

/// Converts object sizes to units.
struct UnitConverter {
    /// Number of bytes per unit.
    unit_bytes: u64,
    /// Mean size of a request in units, assumed for objects of unknown size.
    mean: f64,
    /// Maximum size of a request in units.
    max: f64,
}

/// Where the object of a request is stored.
struct Location {
    /// The volume and its plan.
    volume: VolumeTarget,
    /// Shard that stores the object.
    shard: Shard,
    /// Id of the object.
    object: ObjectKey,
    /// Name of the object; `None` for a listing.
    object_name: Option<Box<str>>,
}

impl RequestBuilder {
    /// Creates a builder for the SFTP listener that `config` configures. Client request ids count
    /// up from `first_request_id`.
    pub(super) fn new(
        config: &SftpSettings,
        settings: &DeploymentSettings,
        first_request_id: u64,
    ) -> RequestBuilder {
        let storage = &settings.storage;
        let plans = settings.plans.iter().map(|plan| plan.name.clone());
        RequestBuilder {
            classes: OperationClasses::new(config, settings),
            plans: plans.collect(),
            shard_count: storage.shard_count.max(1),
            host_count: f64::from(settings.gateway_count.max(1)),
            unit_converter: UnitConverter {
                unit_bytes: config.unit_bytes,
                mean: storage.mean_units.max(MIN_UNITS),
                max: storage.max_units.max(MIN_UNITS),
            },
            next_request_id: Cell::new(first_request_id),
        }
    }

    /// Builds a request that reads an object. `size` is the object's size in bytes, if known.
    pub(super) fn read(&self, target: &ObjectTarget, size: Option<u64>) -> StorageRequest {
        let class = self.classes.for_read(size);
        let units = self.unit_converter.units_for_transfer(size);
        let location = self.object_location(target);
        self.request(Operation::Read, class, units, location, Vec::new())
    }

    /// Builds a request that writes an object.
    pub(super) fn write(&self, target: &ObjectTarget, data: Vec<u8>) -> StorageRequest {
        let class = &self.classes.write;
        let units = self
            .unit_converter
            .units_for_transfer(Some(data.len() as u64));
        let location = self.object_location(target);
        self.request(Operation::Write, class, units, location, data)
    }

    /// Builds a request for the size of an object.
    pub(super) fn stat(&self, target: &ObjectTarget) -> StorageRequest {
        let class = &self.classes.read;
        let location = self.object_location(target);
        self.request(Operation::Stat, class, METADATA_UNITS, location, Vec::new())
    }

    /// Builds the requests that list a volume, one for each shard.
    pub(super) fn list(&self, volume: VolumeTarget) -> Vec<StorageRequest> {
        let shards = 0..self.shard_count;
        shards
            .map(|shard| self.list_shard(volume, Shard(shard)))
            .collect()
    }

    /// Builds a request that lists the objects of a volume on one shard.
    fn list_shard(&self, volume: VolumeTarget, shard: Shard) -> StorageRequest {
        let class = &self.classes.list;
        let location = Location {
            volume,
            shard,
            object: INDEX_OBJECT,
            object_name: None,
        };
        self.request(Operation::List, class, METADATA_UNITS, location, Vec::new())
    }

    /// Returns the location of an object.
    fn object_location(&self, target: &ObjectTarget) -> Location {
        Location {
            volume: target.volume,
            shard: target.shard(self.shard_count),
            object: target.object,
            object_name: Some(target.name.clone()),
        }
    }

    /// Builds a request with the next client request id.
    fn request(
        &self,
        operation: Operation,
        class: &RequestClass,
        units: Units,
        location: Location,
        body: Vec<u8>,
    ) -> StorageRequest {
        StorageRequest {
            operation,
            parameters: self.parameters(class, units, &location),
            object: location.object,
            object_digits: HexId(location.object.0).into(),
            object_name: location.object_name,
            volume: location.volume.id,
            client_request_id: self.next_client_request_id(),
            class: class.index,
            plan: location.volume.plan,
            units,
            shard: Some(location.shard),
            host_count: self.host_count,
            client_timeout: class.timeout,
            body,
        }
    }

    /// Builds the parameter list that is sent to a RESP2 node.
    fn parameters(
        &self,
        class: &RequestClass,
        units: Units,
        location: &Location,
    ) -> RequestParameters {
        let plan = &self.plans[location.volume.plan.0];
        let before_timeout = format!("{CLASS}={},{PLAN}={plan},{TIMEOUT}=", class.name);
        let volume = HexId(location.volume.id.0);
        let shard = location.shard.0;
        let Units(units) = units;
        let host_count = self.host_count;
        let after_timeout =
            format!(",{VOLUME}={volume},{UNITS}={units},{SHARD}={shard},{HOSTS}={host_count}");
        RequestParameters {
            before_timeout: before_timeout.into(),
            after_timeout: after_timeout.into(),
        }
    }

    /// Returns a client request id that has not been used before.
    fn next_client_request_id(&self) -> Box<str> {
        let id = self.next_request_id.get();
        self.next_request_id.set(id.wrapping_add(1));
        HexId(id).to_string().into()
    }
}

impl OperationClasses {
    /// Looks up the classes that the settings of the listener refer to by index.
    fn new(config: &SftpSettings, settings: &DeploymentSettings) -> OperationClasses {
        OperationClasses {
            read: RequestClass::new(config.read_class, settings),
            large_read: RequestClass::new(config.large_read_class, settings),
            large_bytes: config.large_bytes,
            write: RequestClass::new(config.write_class, settings),
            list: RequestClass::new(config.list_class, settings),
        }
    }

    /// Returns the class for reading an object. `size` is the object's size in bytes, if known.
    fn for_read(&self, size: Option<u64>) -> &RequestClass {
        let is_large = size.is_some_and(|size| size >= self.large_bytes);
        if is_large {
            &self.large_read
        } else {
            &self.read
        }
    }
}

impl RequestClass {
    /// Looks up a class of the settings by index.
    fn new(index: ClassIndex, settings: &DeploymentSettings) -> RequestClass {
        let class = &settings.classes[index.0];
        RequestClass {
            index,
            name: class.name.clone(),
            timeout: micros(class.deadline_ms),
        }
    }
}

impl UnitConverter {
    /// Returns the units of a request that transfers an object of `size` bytes, or the mean if the
    /// size is not known.
    fn units_for_transfer(&self, size: Option<u64>) -> Units {
        let units = match size {
            Some(size) => size.div_ceil(self.unit_bytes) as f64,
            None => self.mean.round(),
        };
        Units(units.clamp(MIN_UNITS, self.max))
    }
}
