//! Which requests crash the servers that run them.
//!
//! Pure code: no I/O, no clock.

mod fingerprint;

pub use fingerprint::{
    CallerError, CallerIdentity, FingerprintError, FingerprintParts, RequestFingerprint,
};
