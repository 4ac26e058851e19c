//! Detection and quarantine of requests that crash the servers that run them.
//!
//! A server that crashes loses all its runs, and one of them may be the cause. Every VM
//! records which requests were running on a server whose connection was lost, and sends
//! this to the other VMs. Evidence is kept under keys ([`EvidenceKey`]): the fingerprint of
//! the request, which identifies retries under new ids, and the parts of its prompt that
//! other requests share. A key whose requests were running on several such servers is tested
//! alone, then refused for a time ([`SuspectTable::judge`]).
//!
//! Pure code: no I/O, no clock. Invariants: state only grows and merges like a set, so
//! that reordered, repeated or multiply routed updates have no effect; the tables are
//! bounded, and keys that were lost with few servers are evicted first; a crash that one key
//! explains counts against no other.

mod culprit;
mod fingerprint;
mod holder;
mod instance;
mod key;
mod record;
mod start;
mod table;
mod update;
mod verdict;

pub use fingerprint::{FingerprintError, FingerprintParts, RequestFingerprint};
pub use holder::holder_of;
pub use instance::{InstanceTag, InstanceTagError};
pub use key::{CallKeys, EvidenceKey, KeyError, PartKeys, PartScope};
pub use table::{QUARANTINE, SuspectTable};
pub use update::{CrashUpdate, InstanceUpdate, KeyUpdate, SuspectCursor, SuspectUpdate};
pub use verdict::{CallJudgement, SuspectSummary, SuspectVerdict};
