//! Regions that are allowed to process a request's data.

use std::fmt;
use std::str::FromStr;

use onyxfall_types::{NameError, RegionName};

/// Text form of a set that allows no region; no region has this name.
const NO_REGION: &str = "-";

/// Set of the regions that may serve a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum HomeRegions {
    /// Every region.
    #[default]
    Any,
    /// Only these regions; none if the list is empty.
    Only(Vec<RegionName>),
}

impl HomeRegions {
    /// Converts a list from the configuration, where an empty list allows every region.
    pub fn listed(regions: Vec<RegionName>) -> Self {
        if regions.is_empty() {
            return Self::Any;
        }
        Self::Only(regions)
    }

    /// Whether servers of `region` may run the request.
    pub fn allows(&self, region: &RegionName) -> bool {
        match self {
            Self::Any => true,
            Self::Only(regions) => regions.contains(region),
        }
    }

    /// The intersection of both sets.
    ///
    /// ```
    /// use onyxfall_fleet::HomeRegions;
    /// let homes = |text: &str| text.parse::<HomeRegions>().unwrap();
    /// assert_eq!(homes("a,b").and(&homes("b,c")), homes("b"));
    /// assert_eq!(homes("a").and(&homes("b")).to_string(), "-");
    /// ```
    #[must_use]
    pub fn and(&self, other: &Self) -> Self {
        match (self, other) {
            (Self::Any, homes) | (homes, Self::Any) => homes.clone(),
            (Self::Only(regions), _) => {
                let both = regions.iter().filter(|region| other.allows(region));
                Self::Only(both.cloned().collect())
            }
        }
    }

    /// The listed regions; empty if every region is allowed.
    pub fn named(&self) -> &[RegionName] {
        match self {
            Self::Any => &[],
            Self::Only(regions) => regions,
        }
    }
}

impl fmt::Display for HomeRegions {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Any => Ok(()),
            Self::Only(regions) if regions.is_empty() => f.write_str(NO_REGION),
            Self::Only(regions) => {
                let names: Vec<&str> = regions.iter().map(RegionName::as_str).collect();
                f.write_str(&names.join(","))
            }
        }
    }
}

impl FromStr for HomeRegions {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "" => Ok(Self::Any),
            NO_REGION => Ok(Self::Only(Vec::new())),
            names => {
                let regions: Result<_, _> = names.split(',').map(str::parse).collect();
                Ok(Self::Only(regions?))
            }
        }
    }
}
