//! Where a request may be served.
//!
//! Sender and receiver of a forwarded request compute the allowed regions with the
//! same function, each under its own bundle; the receiver serves the request only
//! within the intersection of both sets.

use onyxfall_bundle::{RequestKind, ResidencyRule, ServiceBundle};
use onyxfall_types::{EntityId, RefusalReason, RegionId, RequestError};

/// A set of regions of one bundle. A bundle has at most 128, which the verifier
/// checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub struct RegionSet(u128);

impl RegionSet {
    /// The empty set.
    pub const EMPTY: Self = Self(0);

    /// Whether `region` is in the set.
    pub fn contains(self, region: RegionId) -> bool {
        region.index() < 128 && self.0 & (1 << region.index()) != 0
    }

    /// Adds `region`.
    pub fn insert(&mut self, region: RegionId) {
        debug_assert!(region.index() < 128);
        self.0 |= 1_u128
            .checked_shl(u32::try_from(region.index()).unwrap_or(128))
            .unwrap_or(0);
    }

    /// The regions that are in both sets.
    #[must_use]
    pub const fn intersection(self, other: Self) -> Self {
        Self(self.0 & other.0)
    }

    /// Whether no region is in the set.
    pub const fn is_empty(self) -> bool {
        self.0 == 0
    }
}

impl FromIterator<RegionId> for RegionSet {
    fn from_iter<I: IntoIterator<Item = RegionId>>(iter: I) -> Self {
        let mut set = Self::EMPTY;
        for region in iter {
            set.insert(region);
        }
        set
    }
}

/// The regions in which a request of `kind` with this home may be served.
///
/// # Errors
///
/// The kind is bound to its home and the caller named none, or the home lies
/// outside the kind's residency limit. The request has not run.
pub fn allowed_regions(
    bundle: &ServiceBundle,
    kind: &RequestKind,
    home: Option<RegionId>,
) -> Result<RegionSet, RequestError> {
    match &kind.residency {
        ResidencyRule::Anywhere => Ok(bundle.regions.keys().collect()),
        ResidencyRule::Home => match home {
            Some(home) => Ok([home].into_iter().collect()),
            None => Err(RequestError::not_run(
                RefusalReason::BadRequest,
                format!(
                    "kind {} is bound to its home: name it in onyxfall-home",
                    kind.name
                ),
            )),
        },
        ResidencyRule::Regions(regions) => {
            let set: RegionSet = regions.iter().copied().collect();
            if home.is_some_and(|home| !set.contains(home)) {
                let detail = format!(
                    "the home is outside the residency limit of kind {}",
                    kind.name
                );
                return Err(RequestError::not_run(RefusalReason::Residency, detail));
            }
            Ok(set)
        }
    }
}
