//! The edge to the platform's service.

use std::collections::BTreeMap;
use std::ops::ControlFlow;
use std::time::Duration;

use crate::error::PlatformError;
use crate::message::{VmList, VmRecord};

/// Revision of the store at which a key last changed; grows with each write.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct StoreRevision(pub i64);

/// A lease that the service granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseId(pub i64);

/// A key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyValue {
    /// The key.
    pub key: String,
    /// The value, at most a megabyte.
    pub value: String,
    /// Revision of its last change.
    pub revision: StoreRevision,
}

/// What a compare-and-swap expects to find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expected {
    /// No such key.
    Absent,
    /// The key at this revision.
    At(StoreRevision),
}

/// Outcome of a compare-and-swap that was answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SwapOutcome {
    /// The value was written.
    Swapped(StoreRevision),
    /// Something else was found.
    Lost(Option<KeyValue>),
}

/// A change seen by a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchEvent {
    /// A key was written.
    Put(KeyValue),
    /// A key was deleted.
    Deleted(String),
    /// Nothing changed for a while; the watch is alive.
    Idle,
}

/// What the system asks of the platform's service.
///
/// Every call fails within its timeout, and a failed write tells through its
/// verdict whether it may have taken effect.
pub trait PlatformStore: Send + Sync {
    /// Reads one key.
    ///
    /// # Errors
    /// The call failed.
    fn get(&self, key: &str) -> Result<Option<KeyValue>, PlatformError>;

    /// Reads all keys under a prefix.
    ///
    /// # Errors
    /// The call failed.
    fn list(&self, prefix: &str) -> Result<Vec<KeyValue>, PlatformError>;

    /// Writes a key, bound to a lease if one is given.
    ///
    /// # Errors
    /// The call failed; the write may have taken effect.
    fn put(&self, key: &str, value: &str, lease: Option<LeaseId>) -> Result<(), PlatformError>;

    /// Deletes a key.
    ///
    /// # Errors
    /// The call failed; the deletion may have taken effect.
    fn delete(&self, key: &str) -> Result<(), PlatformError>;

    /// Writes a key if it is as expected.
    ///
    /// # Errors
    /// The call failed; the write may have taken effect.
    fn compare_and_swap(
        &self,
        key: &str,
        expected: Expected,
        value: &str,
        lease: Option<LeaseId>,
    ) -> Result<SwapOutcome, PlatformError>;

    /// Grants a lease.
    ///
    /// # Errors
    /// The call failed.
    fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, PlatformError>;

    /// Prolongs a lease; `false` if it has lapsed.
    ///
    /// # Errors
    /// The call failed.
    fn keep_alive(&self, lease: LeaseId) -> Result<bool, PlatformError>;

    /// Ends a lease.
    ///
    /// # Errors
    /// The call failed.
    fn revoke(&self, lease: LeaseId) -> Result<(), PlatformError>;

    /// Reports changes under a prefix until `each` breaks or the call ends.
    ///
    /// # Errors
    /// The watch could not be opened or broke.
    fn watch(
        &self,
        prefix: &str,
        each: &mut dyn FnMut(WatchEvent) -> ControlFlow<()>,
    ) -> Result<(), PlatformError>;

    /// The lagging list of VMs: a hint, not the truth.
    ///
    /// # Errors
    /// The call failed.
    fn vm_list(&self) -> Result<VmList, PlatformError>;

    /// Publishes the entries of a data centre in the directory for clients.
    ///
    /// # Errors
    /// The call failed.
    fn publish(&self, center: &str, entries: &[VmRecord]) -> Result<(), PlatformError>;

    /// The directory for clients: entries by data centre.
    ///
    /// # Errors
    /// The call failed.
    fn directory(&self) -> Result<BTreeMap<String, Vec<VmRecord>>, PlatformError>;
}
