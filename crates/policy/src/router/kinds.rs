//! Inputs and outputs of the router.

use std::time::Duration;

use onyxfall_types::{CenterId, KindId, RequestError, ServerId};

use crate::moment::Moment;
use crate::prefix::PrefixKey;
use crate::queue::WaitId;
use crate::residency::RegionSet;

/// How requests are routed; all but the first are baselines for measurement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoutingPolicy {
    /// Shortest expected time to completion, with queueing and forwarding.
    Expected,
    /// As `Expected`, without forwarding.
    LocalOnly,
    /// Any permitted server in any data centre, drawn uniformly, no queue.
    Random,
    /// The servers of this data centre in turn, no queue.
    RoundRobin,
}

impl RoutingPolicy {
    /// All policies.
    pub const ALL: [Self; 4] = [
        Self::Expected,
        Self::LocalOnly,
        Self::Random,
        Self::RoundRobin,
    ];

    /// Name of the policy in settings and tables.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Expected => "expected",
            Self::LocalOnly => "local-only",
            Self::Random => "random",
            Self::RoundRobin => "round-robin",
        }
    }
}

impl std::fmt::Display for RoutingPolicy {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.as_str())
    }
}

impl std::str::FromStr for RoutingPolicy {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let found = Self::ALL.into_iter().find(|policy| policy.as_str() == text);
        found.ok_or_else(|| "expected one of expected, local-only, random, round-robin".to_owned())
    }
}

/// Settings of the router.
#[derive(Clone, Debug)]
pub struct PolicySettings {
    /// How requests are routed.
    pub routing: RoutingPolicy,
    /// Maximum number of waiting requests per model.
    pub queue_limit: usize,
    /// Maximum number of remembered prefixes.
    pub prefix_limit: usize,
    /// Seed of the random number generator.
    pub seed: u64,
}

impl Default for PolicySettings {
    fn default() -> Self {
        Self {
            routing: RoutingPolicy::Expected,
            queue_limit: 2048,
            prefix_limit: 16_384,
            seed: 1,
        }
    }
}

/// Where a request came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ArrivalOrigin {
    /// A caller; the request may be forwarded.
    Caller,
    /// An entry of another data centre; the request is run here or refused.
    Peer,
}

/// A request, or the next attempt of one.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestArrival {
    /// Kind of the request.
    pub kind: KindId,
    /// Regions in which the request may be served.
    pub allowed: RegionSet,
    /// Prompt prefix of the request.
    pub prefix: Option<PrefixKey>,
    /// When the response must be complete.
    pub deadline: Moment,
    /// Where the request came from.
    pub origin: ArrivalOrigin,
    /// Servers that failed the request before.
    pub excluded: Vec<ServerId>,
    /// Data centres that failed or refused the request before.
    pub excluded_centers: Vec<CenterId>,
}

/// What to do with a request.
#[derive(Clone, Debug, PartialEq)]
pub enum RouteStep {
    /// Run the request on a server of this data centre.
    Run {
        /// Attempt whose end must be reported.
        attempt: u64,
        /// The server.
        server: ServerId,
    },
    /// Forward the request to an entry of another data centre.
    Forward {
        /// Attempt whose end must be reported.
        attempt: u64,
        /// The data centre.
        center: CenterId,
    },
    /// Keep the request until [`RequestRouter::poll`] returns its step.
    Wait(WaitId),
    /// Refuse the request now.
    Refuse(RequestError),
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// A complete response.
    Success,
    /// No complete response.
    Failed,
    /// Refused by the other side as not-run, for lack of capacity.
    Refused,
    /// Ended by this side; implies nothing about the other side.
    Cancelled,
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptEnd {
    /// The attempt.
    pub attempt: u64,
    /// How the attempt ended.
    pub outcome: AttemptOutcome,
    /// Time that the other side took, without time lost to a slow caller.
    pub elapsed: Duration,
}

/// Counts of steps, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RouteCounts {
    /// Attempts run on local servers.
    pub local: u64,
    /// Attempts forwarded to other data centres.
    pub remote: u64,
    /// Requests refused.
    pub refused: u64,
    /// Requests that expired while waiting.
    pub expired: u64,
    /// Retries granted.
    pub retries: u64,
    /// Switches of forwarding on or off, over all models.
    pub switches: u64,
}
