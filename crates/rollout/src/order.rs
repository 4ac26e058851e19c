//! Rollout orders of the operator.

use std::time::Duration;

use onyxfall_types::{ServiceName, SoftwareVersion};

/// Maximum time that an order may give.
pub const LONGEST_ROLLOUT: Duration = Duration::from_hours(24 * 7);

/// Order of the operator to shift a service's traffic to servers of a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutOrder {
    /// The service.
    pub service: ServiceName,
    /// The ordered version.
    pub target: SoftwareVersion,
    /// Time from the order within which the rollout must be finished.
    pub time: Duration,
}
