//! Versions, and the gate that never lets one fall.

use std::fmt;
use std::str::FromStr;

use onyxfall_types::QuantityError;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::canonical::ContentDigest;
use crate::head::RegionRecord;
use crate::sign::OperatorRing;

/// Position in the one order of all changes; grows by one with each.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct BundleVersion(u64);

impl BundleVersion {
    /// Wraps a number.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the number.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// The version after this one.
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

/// Why a record was not accepted.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum AcceptError {
    /// The same record was accepted before; nothing to do.
    #[error("{0} is in force already")]
    Current(BundleVersion),
    /// The record is older than the accepted one: an alarm, never a change.
    #[error("{offered} is older than the accepted {accepted}")]
    Older {
        /// Version that was offered.
        offered: BundleVersion,
        /// Version in force.
        accepted: BundleVersion,
    },
    /// Two contents claim one version: an alarm, never a change.
    #[error("{version} is claimed by two contents, {accepted} and {offered}")]
    Conflict {
        /// The version.
        version: BundleVersion,
        /// Content in force.
        accepted: ContentDigest,
        /// Content that was offered.
        offered: ContentDigest,
    },
    /// The record's signature is not a known operator's.
    #[error("the record of {region} {version} is not signed by a known operator")]
    Signature {
        /// Region of the record.
        region: String,
        /// Version of the record.
        version: BundleVersion,
    },
}

/// The accepted record of one region.
///
/// Invariant: the version in force never falls, whatever is offered.
#[derive(Clone, Debug, Default)]
pub struct VersionGate {
    accepted: Option<RegionRecord>,
}

impl VersionGate {
    /// A gate that has accepted nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// The record in force.
    pub fn accepted(&self) -> Option<&RegionRecord> {
        self.accepted.as_ref()
    }

    /// Version in force; `v0` before the first.
    pub fn version(&self) -> BundleVersion {
        self.accepted
            .as_ref()
            .map_or(BundleVersion::default(), |record| record.version)
    }

    /// Checks whether `record` may come into force, without a change.
    ///
    /// # Errors
    ///
    /// It is not newer, or is not signed by a known operator.
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

    /// Brings `record` into force.
    ///
    /// # Errors
    ///
    /// As [`Self::check`]; the gate is then unchanged.
    pub fn accept(&mut self, record: RegionRecord, ring: &OperatorRing) -> Result<(), AcceptError> {
        self.check(&record, ring)?;
        debug_assert!(record.version > self.version(), "a version never falls");
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
