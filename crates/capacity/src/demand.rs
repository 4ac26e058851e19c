//! Demand for one service and its capacity, by region.

use crate::class::{Importance, RegionMask};
use crate::rate::WorkRate;

/// What callers ask of a class.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClassDemand {
    /// Importance of the class.
    pub importance: Importance,
    /// Regions whose servers may run it.
    pub homes: RegionMask,
    /// Work that is asked for, by callers' region. Regions beyond the list ask for nothing.
    pub offered: Vec<WorkRate>,
}

/// What callers ask of a service, and its capacity.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceDemand {
    /// Capacity by region. Regions beyond the list have none.
    pub capacity: Vec<WorkRate>,
    /// The classes of the service.
    pub classes: Vec<ClassDemand>,
}
