//! Keys under which evidence is kept.
//!
//! What crashes a server may be one request, which callers retry under new ids, or a part
//! that the prompts of many requests have in common. Both have a key of the same form, so
//! that one table and one set of rules cover them, and VMs of older builds keep and forward
//! keys that they do not know.

use std::fmt;
use std::str::FromStr;

use onyxfall_types::{ServiceName, TeamName, stable_hash};
use thiserror::Error;

use crate::fingerprint::RequestFingerprint;

/// Length of a key: that of a fingerprint.
const KEY_BYTES: usize = 16;
/// Bytes of a part's key that hold the tag of its service, of its team, and its hash.
const SERVICE_BYTES: std::ops::Range<usize> = 0..4;
const TEAM_BYTES: std::ops::Range<usize> = 4..8;
const HASH_BYTES: std::ops::Range<usize> = 8..KEY_BYTES;

/// Key of a request or of a part of prompts.
///
/// ```
/// use onyxfall_suspects::{EvidenceKey, PartScope};
/// let scope = PartScope::of(&"models".parse().unwrap(), None);
/// let key = scope.key(0x91bd);
/// assert_eq!(key.to_string().parse(), Ok(key));
/// assert_eq!(scope.hash_of(key), Some(0x91bd));
/// ```
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EvidenceKey([u8; KEY_BYTES]);

/// The text or the bytes are not a key.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("not a key of evidence: expected {KEY_BYTES} bytes, or their hexadecimal text")]
pub struct KeyError;

impl EvidenceKey {
    /// Path of the verdicts on a gateway's status port. `DELETE` of the path followed by a key
    /// lifts the verdict on it.
    pub const VERDICTS_PATH: &str = "/suspects/";

    /// The bytes of the key, as carried in messages.
    pub const fn as_bytes(&self) -> &[u8; KEY_BYTES] {
        &self.0
    }

    /// Whether this can be the key of a part of a service's prompts.
    pub(crate) fn is_of(self, service: ServiceTag) -> bool {
        self.0[SERVICE_BYTES] == service.0
    }
}

impl From<RequestFingerprint> for EvidenceKey {
    fn from(fingerprint: RequestFingerprint) -> Self {
        Self(*fingerprint.as_bytes())
    }
}

impl TryFrom<&[u8]> for EvidenceKey {
    type Error = KeyError;

    fn try_from(bytes: &[u8]) -> Result<Self, Self::Error> {
        bytes.try_into().map(Self).map_err(|_| KeyError)
    }
}

impl fmt::Display for EvidenceKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl fmt::Debug for EvidenceKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl FromStr for EvidenceKey {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let bytes = hex::decode(text).map_err(|_| KeyError)?;
        Self::try_from(bytes.as_slice())
    }
}

/// Tag of a service in the keys of parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ServiceTag([u8; 4]);

/// The service and the team whose prompts a part belongs to. Callers name the hashes of parts
/// themselves: with the team in the key, no team can bring a part of
/// another one's prompts under suspicion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartScope {
    service: ServiceTag,
    team: [u8; 4],
}

impl PartScope {
    /// The scope of prompts that a team, or callers without one, send to a service.
    pub fn of(service: &ServiceName, team: Option<&TeamName>) -> Self {
        let service = stable_hash(&["service", service.as_str()]);
        let team = team.map_or(0, |team| stable_hash(&["team", team.as_str()]));
        Self {
            service: ServiceTag(low_bytes(service)),
            team: low_bytes(team),
        }
    }

    /// Key of the part with this hash.
    pub fn key(self, hash: u64) -> EvidenceKey {
        let mut bytes = [0; KEY_BYTES];
        bytes[SERVICE_BYTES].copy_from_slice(&self.service.0);
        bytes[TEAM_BYTES].copy_from_slice(&self.team);
        bytes[HASH_BYTES].copy_from_slice(&hash.to_be_bytes());
        EvidenceKey(bytes)
    }

    /// Hash of the part that a key of this scope stands for; `None` for any other key.
    pub fn hash_of(self, key: EvidenceKey) -> Option<u64> {
        let mut hash = [0; 8];
        hash.copy_from_slice(&key.0[HASH_BYTES]);
        let hash = u64::from_be_bytes(hash);
        (self.key(hash) == key).then_some(hash)
    }

    pub(crate) const fn service(self) -> ServiceTag {
        self.service
    }
}

fn low_bytes(hash: u64) -> [u8; 4] {
    let [_, _, _, _, low @ ..] = hash.to_be_bytes();
    low
}

/// The keys of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallKeys {
    /// Key of the request itself.
    pub request: EvidenceKey,
    /// The parts of its prompt that other requests may share.
    pub parts: PartKeys,
}

impl CallKeys {
    /// All keys.
    pub(crate) fn iter(&self) -> impl Iterator<Item = EvidenceKey> {
        self.parts.keys.iter().copied().chain([self.request])
    }

    /// Whether the request has a key.
    pub(crate) fn has(&self, key: EvidenceKey) -> bool {
        self.request == key || self.parts.keys.contains(&key)
    }
}

/// Keys of the parts of one prompt that other requests may share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartKeys {
    pub(crate) service: ServiceTag,
    pub(crate) keys: Vec<EvidenceKey>,
}

impl PartKeys {
    /// Keys of the parts with these hashes. The last part of a prompt belongs to its request
    /// alone and must not be among them.
    ///
    /// ```
    /// use onyxfall_suspects::{PartKeys, PartScope};
    /// let scope = PartScope::of(&"models".parse().unwrap(), None);
    /// assert!(PartKeys::of(scope, []).is_empty());
    /// ```
    pub fn of(scope: PartScope, hashes: impl IntoIterator<Item = u64>) -> Self {
        let mut keys: Vec<EvidenceKey> = hashes.into_iter().map(|hash| scope.key(hash)).collect();
        keys.sort_unstable();
        keys.dedup();
        Self {
            service: scope.service(),
            keys,
        }
    }

    /// Whether no part may be shared.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }
}
