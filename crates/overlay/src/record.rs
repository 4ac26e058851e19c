//! The record that a VM publishes about itself.
//!
//! Invariant: only the VM itself makes a new version of its record, so the newer
//! of two records is correct regardless of the path by which they arrived.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use onyxfall_types::{CenterName, Incarnation, RegionName, ServiceName, VmName, name_tag};
use thiserror::Error;

/// Processor capacity of a VM in thousandths of a core. Larger VMs become aggregators first.
///
/// ```
/// use onyxfall_overlay::VmCapacity;
/// let capacity: VmCapacity = "0.25".parse().unwrap();
/// assert_eq!(capacity, VmCapacity::from_millicores(250));
/// assert_eq!(capacity.to_string(), "0.250");
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct VmCapacity(u32);

/// Error for a text that does not parse as a capacity.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("`{0}` is not a capacity: expected cores, such as 0.25")]
pub struct CapacityError(String);

impl VmCapacity {
    /// Creates a capacity from thousandths of a core.
    pub const fn from_millicores(millicores: u32) -> Self {
        Self(millicores)
    }

    /// The capacity in thousandths of a core.
    pub const fn millicores(self) -> u32 {
        self.0
    }
}

impl fmt::Display for VmCapacity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:03}", self.0 / 1000, self.0 % 1000)
    }
}

impl FromStr for VmCapacity {
    type Err = CapacityError;

    fn from_str(text: &str) -> Result<Self, CapacityError> {
        let cores: f64 = text.parse().map_err(|_| CapacityError(text.to_owned()))?;
        let millicores = (cores * 1000.0).round();
        if !(0.0..=f64::from(u32::MAX)).contains(&millicores) {
            return Err(CapacityError(text.to_owned()));
        }
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let millicores = millicores as u32;
        Ok(Self(millicores))
    }
}

/// Set of services, by a hash of their names. Services with the same hash count as one, so a
/// set may contain more than was inserted.
///
/// ```
/// use onyxfall_overlay::ServiceSet;
/// let service = "svc".parse().unwrap();
/// let mut set = ServiceSet::default();
/// assert!(!set.contains(&service));
/// set.insert(&service);
/// assert!(set.contains(&service));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServiceSet(u64);

impl ServiceSet {
    /// Creates a set from its bits in messages.
    pub const fn from_bits(bits: u64) -> Self {
        Self(bits)
    }

    /// The set as bits for messages.
    pub const fn bits(self) -> u64 {
        self.0
    }

    /// Adds a service.
    pub fn insert(&mut self, service: &ServiceName) {
        self.0 |= Self::bit(service);
    }

    /// Whether the set contains a service.
    pub fn contains(self, service: &ServiceName) -> bool {
        self.0 & Self::bit(service) != 0
    }

    /// Whether the set contains no service.
    pub const fn is_empty(self) -> bool {
        self.0 == 0
    }

    fn bit(service: &ServiceName) -> u64 {
        1 << (name_tag(service.as_str()) % u64::BITS)
    }
}

/// Status of a VM that changes while its process runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct VmStatus {
    /// Whether the VM accepts requests of callers.
    pub is_ready: bool,
    /// Whether the VM is shutting down as planned.
    pub is_leaving: bool,
    /// Whether the VM watches the store and can reach it.
    pub watches_store: bool,
    /// Services whose servers in its region the VM does not reach.
    pub unreached: ServiceSet,
}

/// Version that orders the records of one VM.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct RecordVersion {
    /// Incarnation of the VM process.
    pub incarnation: Incarnation,
    /// Number of changes within that incarnation.
    pub change: u32,
}

/// Description that a VM publishes of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmRecord {
    /// Name of the VM.
    pub name: VmName,
    /// Data centre of the VM.
    pub center: CenterName,
    /// Region of the VM.
    pub region: RegionName,
    /// Address for callers.
    pub address: SocketAddr,
    /// Address for other VMs.
    pub peer_address: SocketAddr,
    /// Processor capacity.
    pub capacity: VmCapacity,
    /// Version of this record.
    pub version: RecordVersion,
    /// Current status.
    pub status: VmStatus,
}
