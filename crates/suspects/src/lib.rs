//! Which requests crash the servers that run them, and what may still be done with them.
//!
//! A server that crashes takes all its runs with it, and one of them may have done it.
//! Every VM notes which requests were on a server that broke off, and tells the others.
//! What has been on several of them is run alone, then refused for a time
//! ([`SuspectTable::judge`]). Callers repeat a request under new ids, to any VM; a
//! [`RequestFingerprint`] tells that it is the same one.
//!
//! Pure code: no I/O, no clock. Invariants: what is known only grows and is merged as a
//! set, so that order, repeats and two ways of the same news do no harm; the tables are
//! bounded, and what has been on few servers is dropped first.

mod fingerprint;
mod holder;
mod life;
mod news;
mod record;
mod table;
mod verdict;

pub use fingerprint::{FingerprintError, FingerprintParts, RequestFingerprint};
pub use holder::holder_of;
pub use life::{InstanceTag, InstanceTagError};
pub use news::{CrashUpdate, InstanceUpdate, RequestUpdate, SuspectCursor, SuspectUpdate};
pub use table::{QUARANTINE, SuspectTable};
pub use verdict::SuspectVerdict;
