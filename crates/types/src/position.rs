//! Positions in the change history of a store that may be restored from a backup.
//!
//! A restored store reuses revisions, so a revision alone does not order changes. Each
//! restore starts a new era, and every change in an era is later than all changes in
//! earlier eras.

use std::fmt;
use std::str::FromStr;

use crate::quantity::QuantityError;

/// Number of times that a store has been restored, as counted by the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct StoreEra(u16);

impl StoreEra {
    /// Creates an era from its number.
    pub const fn new(number: u16) -> Self {
        Self(number)
    }

    /// Returns the era number.
    pub const fn get(self) -> u16 {
        self.0
    }
}

impl fmt::Display for StoreEra {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for StoreEra {
    type Err = QuantityError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number = text.trim().parse();
        number
            .map(Self)
            .map_err(|_| QuantityError::new(text, "the number of an era, up to 65535"))
    }
}

/// An era and a revision, packed into one number that orders all changes of a store.
///
/// ```
/// use onyxfall_types::{StoreEra, StorePosition};
/// let before = StorePosition::new(StoreEra::new(1), 900).unwrap();
/// let after = StorePosition::new(StoreEra::new(2), 7).unwrap();
/// assert!(before.order() < after.order());
/// assert_eq!(StorePosition::from_order(after.order()), after);
/// assert_eq!((after.era(), after.revision()), (StoreEra::new(2), 7));
/// assert_eq!(after.to_string(), "2/7");
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct StorePosition(u64);

impl StorePosition {
    /// Number of low bits that hold the revision; the era occupies the bits above.
    const REVISION_BITS: u32 = 48;
    const MAX_REVISION: u64 = (1 << Self::REVISION_BITS) - 1;

    /// Creates a position. Returns `None` if `revision` does not fit into 48 bits; stores
    /// do not assign revisions that large.
    pub const fn new(era: StoreEra, revision: u64) -> Option<Self> {
        if revision > Self::MAX_REVISION {
            return None;
        }
        Some(Self((era.0 as u64) << Self::REVISION_BITS | revision))
    }

    /// Creates the position whose [`order`](Self::order) is `order`.
    pub const fn from_order(order: u64) -> Self {
        Self(order)
    }

    /// Returns a number that increases with each change; 0 precedes all changes.
    pub const fn order(self) -> u64 {
        self.0
    }

    /// Returns the era of this position.
    #[allow(clippy::cast_possible_truncation)]
    pub const fn era(self) -> StoreEra {
        StoreEra((self.0 >> Self::REVISION_BITS) as u16)
    }

    /// Returns the revision within the era, as assigned by the store.
    pub const fn revision(self) -> u64 {
        self.0 & Self::MAX_REVISION
    }
}

impl fmt::Display for StorePosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.era(), self.revision())
    }
}

impl FromStr for StorePosition {
    type Err = QuantityError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || QuantityError::new(text, "an era and a revision, such as 2/7");
        let (era, revision) = text.split_once('/').ok_or_else(invalid)?;
        let revision = revision.parse().map_err(|_| invalid())?;
        Self::new(era.parse()?, revision).ok_or_else(invalid)
    }
}
