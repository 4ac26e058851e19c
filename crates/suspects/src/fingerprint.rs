//! Fingerprints that identify retries of the same request.
//!
//! Callers give each attempt a new id, so that retries are identified by their content and
//! by the team whose key they carry: no team can cause the request of another one to be
//! suspected. The source address is not included, since phones change theirs and callers
//! behind one gateway share it: with the address included, one caller's request crashed
//! 26 servers. The digest is cryptographic: nobody can craft a request that has the
//! fingerprint of another one, and the digest may be logged and sent to other VMs.

use std::fmt;
use std::str::FromStr;

use onyxfall_types::TeamName;
use sha2::{Digest, Sha256};
use thiserror::Error;

/// Domain separation from any other use of the same hash.
const DIGEST_LABEL: &[u8] = b"onyxfall request\0";
/// Length of a fingerprint: half of the hash, so that a collision takes about 2^64 tries.
const FINGERPRINT_BYTES: usize = 16;
/// Parts of a request that its fingerprint covers.
#[derive(Clone, Copy, Debug)]
pub struct FingerprintParts<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Host named by the caller.
    pub host: &'a [u8],
    /// Path and query.
    pub target: &'a str,
    /// Team whose key the request carries, if any.
    pub team: Option<&'a TeamName>,
    /// Body.
    pub body: &'a [u8],
}

/// Digest of a request's content and team.
///
/// ```
/// use onyxfall_suspects::{FingerprintParts, RequestFingerprint};
/// let parts = FingerprintParts {
///     method: "POST",
///     host: b"a.example",
///     target: "/x",
///     team: None,
///     body: b"body",
/// };
/// let fingerprint = RequestFingerprint::of(&parts);
/// assert_eq!(fingerprint.to_string().parse(), Ok(fingerprint));
/// let other = FingerprintParts { body: b"other", ..parts };
/// assert_ne!(RequestFingerprint::of(&other), fingerprint);
/// ```
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestFingerprint([u8; FINGERPRINT_BYTES]);

/// The text or the bytes are not a fingerprint.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("not a fingerprint: expected {FINGERPRINT_BYTES} bytes, or their hexadecimal text")]
pub struct FingerprintError;

impl RequestFingerprint {
    /// The fingerprint of a request. The hash covers the length of each part, so that
    /// moving bytes from one part to the next changes the fingerprint.
    pub fn of(parts: &FingerprintParts<'_>) -> Self {
        let team = parts.team.map_or("", TeamName::as_str);
        let mut hasher = Sha256::new_with_prefix(DIGEST_LABEL);
        let fields = [
            parts.method.as_bytes(),
            parts.host,
            parts.target.as_bytes(),
            team.as_bytes(),
            parts.body,
        ];
        for field in fields {
            hasher.update((field.len() as u64).to_le_bytes());
            hasher.update(field);
        }
        let digest = hasher.finalize();
        let mut bytes = [0; FINGERPRINT_BYTES];
        bytes.copy_from_slice(&digest[..FINGERPRINT_BYTES]);
        Self(bytes)
    }

    /// The bytes of the fingerprint, as carried in messages.
    pub const fn as_bytes(&self) -> &[u8; FINGERPRINT_BYTES] {
        &self.0
    }
}

impl TryFrom<&[u8]> for RequestFingerprint {
    type Error = FingerprintError;

    fn try_from(bytes: &[u8]) -> Result<Self, Self::Error> {
        bytes.try_into().map(Self).map_err(|_| FingerprintError)
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl fmt::Debug for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl FromStr for RequestFingerprint {
    type Err = FingerprintError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let bytes = hex::decode(text).map_err(|_| FingerprintError)?;
        Self::try_from(bytes.as_slice())
    }
}
