//! Construction of the requests that commands submit. A RESP2 client states the class, the units
//! and the shard of its requests; for an SFTP client, they follow from the settings of the
//! listener.

use super::path::{ObjectTarget, VolumeTarget};
use crate::config::SftpSettings;
use crate::hex_id::HexId;
use crate::resp_wire_names::parameter::{CLASS, HOSTS, PLAN, SHARD, TIMEOUT, UNITS, VOLUME};
use crate::storage_request::{Operation, RequestParameters, StorageRequest};
use deployment_settings::{micros, DeploymentSettings};
use io_scheduler::{ClassIndex, Micros, ObjectKey, Shard, Units};
use std::cell::Cell;

/// The id of the object in which a RESP2 node stores the index of a volume's objects.
const INDEX_OBJECT: ObjectKey = ObjectKey(0);
/// Size of a request that transfers no object: a listing or a question for the size.
const METADATA_UNITS: Units = Units(1.0);
/// Smallest size of a request in units.
const MIN_UNITS: f64 = 1.0;

/// Builds requests from the settings, each with a client request id of its own.
pub(super) struct RequestBuilder {
    /// Classes of the operations.
    classes: OperationClasses,
    /// Names of the plans, in the order of the settings.
    plans: Vec<String>,
    /// Number of shards of each volume.
    shard_count: u64,
    /// Number of gateways through which the requests of a volume arrive.
    hosts: f64,
    /// Conversion of sizes to units.
    units: UnitScale,
    /// The next client request id, shared by all clients so that the ids are unique at the storage
    /// nodes.
    next_request_id: Cell<u64>,
}

/// The class of each operation.
struct OperationClasses {
    /// Class of reads.
    read: RequestClass,
    /// Class of reads of objects known to be large.
    large_read: RequestClass,
    /// Smallest size in bytes of an object that counts as large.
    large_bytes: u64,
    /// Class of writes.
    write: RequestClass,
    /// Class of listings.
    list: RequestClass,
}

/// A class of requests.
struct RequestClass {
    /// The class in the settings.
    index: ClassIndex,
    /// Name of the class.
    name: String,
    /// Time in microseconds after which a request of the class times out.
    timeout: Micros,
}

/// How many units requests of a size have.
struct UnitScale {
    /// Bytes that count as one unit.
    unit_bytes: u64,
    /// Mean size of a request, in units.
    mean: f64,
    /// Largest size of a request, in units.
    max: f64,
}

/// The place that a request is about.
struct Location {
    /// The volume and its plan.
    volume: VolumeTarget,
    /// The shard that stores the object.
    shard: Shard,
    /// The key of the object.
    object: ObjectKey,
    /// The name of the object; `None` for a listing.
    object_name: Option<Box<str>>,
}

impl RequestBuilder {
    /// Takes what requests state from the settings; the request ids count up from
    /// `first_request_id`.
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
            hosts: f64::from(settings.gateway_count.max(1)),
            units: UnitScale {
                unit_bytes: config.unit_bytes,
                mean: storage.mean_units.max(MIN_UNITS),
                max: storage.max_units.max(MIN_UNITS),
            },
            next_request_id: Cell::new(first_request_id),
        }
    }

    /// A request that reads an object, whose size in bytes is `size` if it is known.
    pub(super) fn read(&self, target: &ObjectTarget, size: Option<u64>) -> StorageRequest {
        let class = self.classes.for_read(size);
        let units = self.units.of_transfer(size);
        let location = self.object_location(target);
        self.request(Operation::Read, class, units, location, Vec::new())
    }

    /// A request that writes an object.
    pub(super) fn write(&self, target: &ObjectTarget, data: Vec<u8>) -> StorageRequest {
        let class = &self.classes.write;
        let units = self.units.of_transfer(Some(data.len() as u64));
        let location = self.object_location(target);
        self.request(Operation::Write, class, units, location, data)
    }

    /// A request for the size of an object.
    pub(super) fn stat(&self, target: &ObjectTarget) -> StorageRequest {
        let class = &self.classes.read;
        let location = self.object_location(target);
        self.request(Operation::Stat, class, METADATA_UNITS, location, Vec::new())
    }

    /// The requests that list a volume, one for each shard.
    pub(super) fn list(&self, volume: VolumeTarget) -> Vec<StorageRequest> {
        let shards = 0..self.shard_count;
        shards
            .map(|shard| self.list_shard(volume, Shard(shard)))
            .collect()
    }

    /// A request that lists the objects of a volume on one shard.
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

    /// Where an object is stored.
    fn object_location(&self, target: &ObjectTarget) -> Location {
        Location {
            volume: target.volume,
            shard: target.shard(self.shard_count),
            object: target.object,
            object_name: Some(target.name.clone()),
        }
    }

    /// Builds a request with the next request id.
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
            object_name: location.object_name,
            volume: location.volume.id,
            client_request_id: self.next_client_request_id(),
            class: class.index,
            plan: location.volume.plan,
            units,
            shard: Some(location.shard),
            hosts: self.hosts,
            client_timeout: class.timeout,
            body,
        }
    }

    /// The list of parameters that a RESP2 node gets.
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
        let hosts = self.hosts;
        let after_timeout =
            format!(",{VOLUME}={volume},{UNITS}={units},{SHARD}={shard},{HOSTS}={hosts}");
        RequestParameters {
            before_timeout: before_timeout.into(),
            after_timeout: after_timeout.into(),
        }
    }

    /// A client request id that was not used before.
    fn next_client_request_id(&self) -> Box<str> {
        let id = self.next_request_id.get();
        self.next_request_id.set(id.wrapping_add(1));
        HexId(id).to_string().into()
    }
}

impl OperationClasses {
    /// The classes that the listener's settings name by their index.
    fn new(config: &SftpSettings, settings: &DeploymentSettings) -> OperationClasses {
        OperationClasses {
            read: RequestClass::new(config.read_class, settings),
            large_read: RequestClass::new(config.large_read_class, settings),
            large_bytes: config.large_bytes,
            write: RequestClass::new(config.write_class, settings),
            list: RequestClass::new(config.list_class, settings),
        }
    }

    /// The class for reading an object, whose size in bytes is `size` if it is known.
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
    /// The class with this index in the settings.
    fn new(index: ClassIndex, settings: &DeploymentSettings) -> RequestClass {
        let class = &settings.classes[index.0];
        RequestClass {
            index,
            name: class.name.clone(),
            timeout: micros(class.deadline_ms),
        }
    }
}

impl UnitScale {
    /// The units of a request that transfers an object of `size` bytes; the mean if the size is
    /// not known.
    fn of_transfer(&self, size: Option<u64>) -> Units {
        let units = match size {
            Some(size) => size.div_ceil(self.unit_bytes) as f64,
            None => self.mean.round(),
        };
        Units(units.clamp(MIN_UNITS, self.max))
    }
}
