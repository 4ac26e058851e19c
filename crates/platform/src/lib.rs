//! Client of the platform's service.
//!
//! The service implements the published JSON gateway of etcd v3 (range, put, txn
//! with compare, leases, watch as a stream of JSON lines). It also provides the
//! list of VMs and the directory for clients. Users of this crate depend on the
//! trait [`PlatformStore`], which tests can implement themselves.
//!
//! Invariants: a write whose response was lost is reported as `MayHaveRun`; its
//! outcome is never assumed. Calls are rate-limited by a token bucket and
//! counted by class.

mod client;
mod count;
mod error;
mod keys;
mod message;
mod store;

pub use client::{PlatformClient, PlatformSettings};
pub use count::{CallClass, CallCounts};
pub use error::{PlatformError, PlatformFailure};
pub use keys::PlatformKeys;
pub use message::{VmList, VmRecord, VmRole, VmState};
pub use store::{
    Expected, KeyValue, LeaseId, PlatformStore, StoreRevision, SwapOutcome, WatchEvent,
};
