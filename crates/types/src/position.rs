//! Places in the history of a store that may be restored from an older copy.
//!
//! A restored store gives revisions out again, so that a revision alone does not order
//! changes. Each restoration begins a new era, and everything in it is later than
//! everything in the eras before.

use std::fmt;
use std::str::FromStr;

use crate::quantity::QuantityError;

/// Number of times that a store was restored, as it counts them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct StoreEra(u16);

impl StoreEra {
    /// Wraps a number.
    pub const fn new(number: u16) -> Self {
        Self(number)
    }

    /// Returns the number.
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

/// A revision in its era, as one number that orders all changes of a store.
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
    /// Bits of a revision; the era stands above them.
    const REVISION_BITS: u32 = 48;
    const MAX_REVISION: u64 = (1 << Self::REVISION_BITS) - 1;

    /// A revision in an era; none if the revision is beyond what a store gives out.
    pub const fn new(era: StoreEra, revision: u64) -> Option<Self> {
        if revision > Self::MAX_REVISION {
            return None;
        }
        Some(Self((era.0 as u64) << Self::REVISION_BITS | revision))
    }

    /// The position with this order.
    pub const fn from_order(order: u64) -> Self {
        Self(order)
    }

    /// A number that grows with each change; 0 is before all of them.
    pub const fn order(self) -> u64 {
        self.0
    }

    /// The era.
    #[allow(clippy::cast_possible_truncation)]
    pub const fn era(self) -> StoreEra {
        StoreEra((self.0 >> Self::REVISION_BITS) as u16)
    }

    /// The revision within the era, as the store gives it.
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
        let bad = || QuantityError::new(text, "an era and a revision, such as 2/7");
        let (era, revision) = text.split_once('/').ok_or_else(bad)?;
        let revision = revision.parse().map_err(|_| bad())?;
        Self::new(era.parse()?, revision).ok_or_else(bad)
    }
}
