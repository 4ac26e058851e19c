//! Interface to the platform's service.

use std::collections::BTreeMap;
use std::ops::ControlFlow;
use std::time::Duration;

use crate::error::PlatformError;
use crate::message::{VmList, VmRecord};

/// Revision of the store at which a key was last changed; increases with each write.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct StoreRevision(pub i64);

/// Id of a lease granted by the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseId(pub i64);

/// A key with its value and revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyValue {
    /// The key.
    pub key: String,
    /// The value, at most 1 MiB.
    pub value: String,
    /// Revision of the last change of the key.
    pub revision: StoreRevision,
}

/// Precondition of a compare-and-swap.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expected {
    /// The key does not exist.
    Absent,
    /// The key was last changed at this revision.
    At(StoreRevision),
}

/// Outcome of a compare-and-swap whose response was received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SwapOutcome {
    /// The value was written, at this revision.
    Swapped(StoreRevision),
    /// The precondition was not met; holds the current entry, if the key exists.
    Conflict(Option<KeyValue>),
}

/// Event reported by a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchEvent {
    /// A key was written.
    Put(KeyValue),
    /// A key was deleted.
    Deleted(String),
    /// The service reported progress without a change; the watch is still active.
    Idle,
}

/// Operations of the platform's service.
///
/// Every call fails within its timeout. The verdict of a failed write states
/// whether the write may have taken effect.
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

    /// Writes a key, bound to a lease if one is given, if it meets `expected`.
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

    /// Renews a lease; returns `false` if it has expired.
    ///
    /// # Errors
    /// The call failed.
    fn keep_alive(&self, lease: LeaseId) -> Result<bool, PlatformError>;

    /// Revokes a lease.
    ///
    /// # Errors
    /// The call failed.
    fn revoke(&self, lease: LeaseId) -> Result<(), PlatformError>;

    /// Reports changes under a prefix until `on_event` breaks or the service ends
    /// the watch.
    ///
    /// # Errors
    /// The watch could not be opened, or its connection was lost.
    fn watch(
        &self,
        prefix: &str,
        on_event: &mut dyn FnMut(WatchEvent) -> ControlFlow<()>,
    ) -> Result<(), PlatformError>;

    /// Returns the list of VMs, which lags behind their actual state and is only a hint.
    ///
    /// # Errors
    /// The call failed.
    fn vm_list(&self) -> Result<VmList, PlatformError>;

    /// Publishes the entry VMs of a data centre in the directory for clients.
    ///
    /// # Errors
    /// The call failed.
    fn publish(&self, center: &str, entries: &[VmRecord]) -> Result<(), PlatformError>;

    /// Returns the directory for clients: entry VMs by data centre.
    ///
    /// # Errors
    /// The call failed.
    fn directory(&self) -> Result<BTreeMap<String, Vec<VmRecord>>, PlatformError>;
}
