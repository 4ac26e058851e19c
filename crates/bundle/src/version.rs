//! Bundle versions, and the gate that accepts only increasing ones.

use std::fmt;
use std::str::FromStr;

use onyxfall_types::QuantityError;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::canonical::ContentDigest;
use crate::head::RegionRecord;
use crate::sign::OperatorRing;

/// Version of the head: position in the total order of its changes, increasing by
/// one with each.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct BundleVersion(u64);

impl BundleVersion {
    /// Creates a version from its number.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the version number.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the version after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for BundleVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "v{}", self.0)
    }
}

impl FromStr for BundleVersion {
    type Err = QuantityError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.strip_prefix('v')
            .and_then(|digits| digits.parse().ok())
            .map(Self)
            .ok_or_else(|| QuantityError::new(text, "a version such as v7"))
    }
}

/// Reason for which a region record was not accepted.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum AcceptError {
    /// The content is already in force under this version; no action is needed.
    #[error("{0} is already in force")]
    Current(BundleVersion),
    /// The record is older than the accepted one: raises an alarm and is never applied.
    #[error("{offered} is older than the accepted {accepted}")]
    Older {
        /// Version of the offered record.
        offered: BundleVersion,
        /// Version in force.
        accepted: BundleVersion,
    },
    /// Two contents have the same version: raises an alarm and is never applied.
    #[error("{version} has two contents, {accepted} and {offered}")]
    Conflict {
        /// Version that both records have.
        version: BundleVersion,
        /// Content in force.
        accepted: ContentDigest,
        /// Content of the offered record.
        offered: ContentDigest,
    },
    /// The record does not have a valid signature of a known operator.
    #[error("the record of {region} {version} is not signed by a known operator")]
    Signature {
        /// Region of the record.
        region: String,
        /// Version of the record.
        version: BundleVersion,
    },
}

/// Holds the accepted record of one region and checks offered ones against it.
///
/// Invariant: the version in force never decreases, whichever records are offered.
#[derive(Clone, Debug, Default)]
pub struct VersionGate {
    accepted: Option<RegionRecord>,
}

impl VersionGate {
    /// Creates a gate without an accepted record.
    pub fn new() -> Self {
        Self::default()
    }

    /// The record in force, if any.
    pub fn accepted(&self) -> Option<&RegionRecord> {
        self.accepted.as_ref()
    }

    /// Version in force; `v0` before the first record is accepted.
    pub fn version(&self) -> BundleVersion {
        self.accepted
            .as_ref()
            .map_or(BundleVersion::default(), |record| record.version)
    }

    /// Checks whether `record` can be accepted, without accepting it.
    ///
    /// # Errors
    ///
    /// The record is not newer than the one in force, or is not signed by a known operator.
    pub fn check(&self, record: &RegionRecord, ring: &OperatorRing) -> Result<(), AcceptError> {
        if let Some(accepted) = &self.accepted {
            check_order(accepted, record)?;
        }
        if record.verify(ring) {
            return Ok(());
        }
        let region = record.region.to_string();
        Err(AcceptError::Signature {
            region,
            version: record.version,
        })
    }

    /// Accepts `record`, which replaces the one in force.
    ///
    /// # Errors
    ///
    /// The same as for [`Self::check`]; the gate is then unchanged.
    pub fn accept(&mut self, record: RegionRecord, ring: &OperatorRing) -> Result<(), AcceptError> {
        self.check(&record, ring)?;
        debug_assert!(
            record.version > self.version(),
            "the accepted version decreased"
        );
        self.accepted = Some(record);
        Ok(())
    }
}

fn check_order(accepted: &RegionRecord, offered: &RegionRecord) -> Result<(), AcceptError> {
    if offered.version > accepted.version {
        return Ok(());
    }
    if offered.version < accepted.version {
        return Err(AcceptError::Older {
            offered: offered.version,
            accepted: accepted.version,
        });
    }
    if offered.content == accepted.content {
        return Err(AcceptError::Current(offered.version));
    }
    Err(AcceptError::Conflict {
        version: offered.version,
        accepted: accepted.content,
        offered: offered.content,
    })
}
