//! Identity of a request class: its service, its importance and where it may run.

use std::fmt;
use std::str::FromStr;

use onyxfall_types::{ServiceName, name_tag};
use thiserror::Error;

/// Largest number of regions.
pub(crate) const MAX_REGIONS: usize = 32;

/// Error for text that is not an importance.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("`{0}` is not an importance: expected the ranks of kind and team, such as `0.2`")]
pub struct ImportanceError(String);

/// Importance of a class: the rank of its request kind, then that of its team. 0 is the
/// highest, so the most important class is the least in this order.
///
/// ```
/// use onyxfall_capacity::Importance;
/// let of = |text: &str| text.parse::<Importance>().unwrap();
/// assert!(of("0.9") < of("1.0"));
/// assert_eq!(of("0.2").to_string(), "0.2");
/// assert!("0".parse::<Importance>().is_err());
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Importance {
    /// Rank of the request kind.
    pub kind: u8,
    /// Rank of the team.
    pub team: u8,
}

impl fmt::Display for Importance {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.kind, self.team)
    }
}

impl FromStr for Importance {
    type Err = ImportanceError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.split_once('.')
            .and_then(|(kind, team)| {
                Some(Self {
                    kind: kind.parse().ok()?,
                    team: team.parse().ok()?,
                })
            })
            .ok_or_else(|| ImportanceError(text.to_owned()))
    }
}

/// Error for text that is not a set of regions.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("`{0}` is not a set of regions: expected `*`, `-` or indexes below 32, such as `0,2`")]
pub struct MaskError(String);

/// A set of regions: bit i stands for region i of the sorted list of regions. Regions beyond
/// the 32nd are in no set.
///
/// ```
/// use onyxfall_capacity::RegionMask;
/// let mask: RegionMask = [0, 2].into_iter().collect();
/// assert!(mask.contains(2) && !mask.contains(1) && RegionMask::ALL.contains(31));
/// assert_eq!(mask.to_string(), "0,2");
/// assert_eq!("0,2".parse(), Ok(mask));
/// assert!("32".parse::<RegionMask>().is_err());
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RegionMask(u32);

impl RegionMask {
    /// Every region.
    pub const ALL: Self = Self(u32::MAX);
    /// No region.
    pub const EMPTY: Self = Self(0);

    /// The first `count` regions.
    ///
    /// ```
    /// use onyxfall_capacity::RegionMask;
    /// assert_eq!(RegionMask::first(2).to_string(), "0,1");
    /// assert_eq!(RegionMask::first(40), RegionMask::ALL);
    /// ```
    pub fn first(count: usize) -> Self {
        (0..count.min(MAX_REGIONS)).collect()
    }

    /// Whether `region` is in the set.
    pub const fn contains(self, region: usize) -> bool {
        region < MAX_REGIONS && self.0 & (1 << region) != 0
    }

    /// Whether the set has no region.
    pub const fn is_empty(self) -> bool {
        self.0 == 0
    }

    /// Whether each region of this set is in `other`.
    ///
    /// ```
    /// use onyxfall_capacity::RegionMask;
    /// assert!(RegionMask::first(1).is_within(RegionMask::first(2)));
    /// assert!(!RegionMask::first(2).is_within(RegionMask::first(1)));
    /// ```
    pub const fn is_within(self, other: Self) -> bool {
        self.0 & !other.0 == 0
    }

    /// The regions that are in both sets.
    #[must_use]
    pub const fn and(self, other: Self) -> Self {
        Self(self.0 & other.0)
    }

    /// The regions that are in either set.
    #[must_use]
    pub const fn or(self, other: Self) -> Self {
        Self(self.0 | other.0)
    }

    /// The regions of this set that are not in `other`.
    pub(crate) const fn without(self, other: Self) -> Self {
        Self(self.0 & !other.0)
    }

    /// The set of one region.
    pub(crate) const fn only(region: usize) -> Self {
        Self(1 << region)
    }

    /// The regions of the set, in order.
    ///
    /// ```
    /// use onyxfall_capacity::RegionMask;
    /// assert!(RegionMask::first(3).regions().eq(0..3));
    /// ```
    pub fn regions(self) -> impl Iterator<Item = usize> {
        let mut left = self.0;
        std::iter::from_fn(move || {
            let region = left.trailing_zeros() as usize;
            left &= left.wrapping_sub(1);
            (region < MAX_REGIONS).then_some(region)
        })
    }
}

impl FromIterator<usize> for RegionMask {
    fn from_iter<I: IntoIterator<Item = usize>>(regions: I) -> Self {
        let valid = regions.into_iter().filter(|region| *region < MAX_REGIONS);
        Self(valid.fold(0, |bits, region| bits | 1 << region))
    }
}

impl fmt::Display for RegionMask {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match *self {
            Self::ALL => f.write_str("*"),
            Self::EMPTY => f.write_str("-"),
            mask => {
                let regions: Vec<String> = mask.regions().map(|index| index.to_string()).collect();
                f.write_str(&regions.join(","))
            }
        }
    }
}

impl FromStr for RegionMask {
    type Err = MaskError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "*" => return Ok(Self::ALL),
            "-" => return Ok(Self::EMPTY),
            _ => {}
        }
        text.split(',')
            .map(|index| index.parse().ok().filter(|index| *index < MAX_REGIONS))
            .collect::<Option<Self>>()
            .ok_or_else(|| MaskError(text.to_owned()))
    }
}

/// Short name of a class in messages: a hash of its service, importance and regions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassTag(u32);

impl ClassTag {
    /// The tag of a class, identical on all VMs that have the same list of regions.
    ///
    /// ```
    /// use onyxfall_capacity::{ClassTag, Importance, RegionMask};
    /// let service = "chat".parse().unwrap();
    /// let tag = |team| ClassTag::of(&service, Importance { kind: 0, team }, RegionMask::ALL);
    /// assert_eq!(tag(1), tag(1));
    /// assert_ne!(tag(1), tag(2));
    /// ```
    pub fn of(service: &ServiceName, importance: Importance, homes: RegionMask) -> Self {
        Self(name_tag(&format!("class {service} {importance} {homes}")))
    }

    /// The tag as it is sent.
    pub const fn get(self) -> u32 {
        self.0
    }
}
