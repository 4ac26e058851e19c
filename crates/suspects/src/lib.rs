//! Detection and quarantine of requests that crash the servers that run them.
//!
//! A server that crashes loses all its runs, and one of them may be the cause. Every VM
//! records which requests were running on a server whose connection was lost, and sends
//! this to the other VMs. A request that was running on several such servers is run alone,
//! then refused for a time ([`SuspectTable::judge`]). Callers retry a request under new
//! ids, on any VM; its [`RequestFingerprint`] identifies the retries.
//!
//! Pure code: no I/O, no clock. Invariants: state only grows and merges like a set, so
//! that reordered, repeated or multiply routed updates have no effect; the tables are
//! bounded, and requests that were lost with few servers are evicted first.

mod fingerprint;
mod holder;
mod instance;
mod record;
mod table;
mod update;
mod verdict;

pub use fingerprint::{FingerprintError, FingerprintParts, RequestFingerprint};
pub use holder::holder_of;
pub use instance::{InstanceTag, InstanceTagError};
pub use table::{QUARANTINE, SuspectTable};
pub use update::{CrashUpdate, InstanceUpdate, RequestUpdate, SuspectCursor, SuspectUpdate};
pub use verdict::SuspectVerdict;
