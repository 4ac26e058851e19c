//! Client of the platform's service.
//!
//! The service speaks the published JSON gateway of etcd v3 (range, put, txn
//! with compare, leases, watch as a stream of JSON lines); beside it stand the
//! list of VMs and the directory for clients. [`PlatformStore`] is the edge: a
//! test bench can put its own in place.
//!
//! Invariants: a write whose answer was lost is reported as `MayHaveRun`, never
//! guessed; calls are rationed by a token bucket and counted by class.

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
