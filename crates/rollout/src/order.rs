//! What the operator orders.

use std::time::Duration;

use onyxfall_types::{ServiceName, SoftwareVersion};

/// Longest time that an order may give.
pub const LONGEST_ROLLOUT: Duration = Duration::from_hours(24 * 7);

/// The wish that a service's traffic move to servers of a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutOrder {
    /// The service.
    pub service: ServiceName,
    /// The version.
    pub target: SoftwareVersion,
    /// Time from the order within which it is to be over.
    pub time: Duration,
}
