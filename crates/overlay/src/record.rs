//! What a VM says of itself.
//!
//! Invariant: only the VM itself makes a new version of its record, so that the newer
//! of two records is the right one, whatever way they came.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use onyxfall_types::{CenterName, Incarnation, RegionName, VmName};
use thiserror::Error;

/// Processor of a VM in thousandths of a core, by which duties are given.
///
/// ```
/// use onyxfall_overlay::VmCapacity;
/// let capacity: VmCapacity = "0.25".parse().unwrap();
/// assert_eq!(capacity, VmCapacity::from_millicores(250));
/// assert_eq!(capacity.to_string(), "0.250");
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct VmCapacity(u32);

/// A text that is no capacity.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("`{0}` is not a capacity: expected cores, such as 0.25")]
pub struct CapacityError(String);

impl VmCapacity {
    /// A capacity of so many thousandths of a core.
    pub const fn from_millicores(millicores: u32) -> Self {
        Self(millicores)
    }

    /// Thousandths of a core.
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

/// What changes in the life of a VM.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct VmStatus {
    /// Callers may be sent to it.
    pub is_ready: bool,
    /// It is stopping by plan.
    pub is_leaving: bool,
    /// It watches the store and reaches it.
    pub watches_store: bool,
}

/// Order of the records of one VM.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct RecordVersion {
    /// The VM's life.
    pub incarnation: Incarnation,
    /// Changes within that life.
    pub change: u32,
}

/// A VM as it describes itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmRecord {
    /// Its name.
    pub name: VmName,
    /// Its data centre.
    pub center: CenterName,
    /// Its region.
    pub region: RegionName,
    /// Where callers reach it.
    pub address: SocketAddr,
    /// Where other VMs reach it.
    pub peer_address: SocketAddr,
    /// Its processor.
    pub capacity: VmCapacity,
    /// Version of this record.
    pub version: RecordVersion,
    /// What changes in its life.
    pub status: VmStatus,
}
