//! What goes into the router and what comes out.

use std::time::Duration;

use onyxfall_types::{CenterId, KindId, RequestError, ServerId};

use crate::moment::Moment;
use crate::prefix::PrefixKey;
use crate::queue::WaitId;
use crate::residency::RegionSet;

/// How requests are routed; all but the first are baselines for measurement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoutingPolicy {
    /// Least expected completion, queueing and sending away.
    Expected,
    /// As `Expected`, without sending away.
    LocalOnly,
    /// Any permitted server anywhere, drawn evenly, no queue.
    Random,
    /// The data centre's own servers in turn, no queue.
    RoundRobin,
}

impl RoutingPolicy {
    /// Every policy.
    pub const ALL: [Self; 4] = [
        Self::Expected,
        Self::LocalOnly,
        Self::Random,
        Self::RoundRobin,
    ];

    /// Name in settings and tables.
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

/// Settings of the decisions.
#[derive(Clone, Debug)]
pub struct PolicySettings {
    /// How requests are routed.
    pub routing: RoutingPolicy,
    /// Requests that may wait for one model.
    pub queue_limit: usize,
    /// Prefixes remembered.
    pub prefix_limit: usize,
    /// Seed of the generator.
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
    /// A caller; it may be sent away.
    Caller,
    /// An entry of another data centre; it is run here or refused.
    Peer,
}

/// A request, or the next attempt of one.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestArrival {
    /// Its kind.
    pub kind: KindId,
    /// Where it may be served.
    pub allowed: RegionSet,
    /// Its prompt prefix.
    pub prefix: Option<PrefixKey>,
    /// When its answer must be whole.
    pub deadline: Moment,
    /// Where it came from.
    pub origin: ArrivalOrigin,
    /// Servers that failed it before.
    pub excluded: Vec<ServerId>,
    /// Data centres that failed or refused it before.
    pub excluded_centers: Vec<CenterId>,
}

/// What to do with a request.
#[derive(Clone, Debug, PartialEq)]
pub enum RouteStep {
    /// Run it on a server of this data centre.
    Run {
        /// Attempt to report the end of.
        attempt: u64,
        /// The server.
        server: ServerId,
    },
    /// Send it to an entry of another data centre.
    Forward {
        /// Attempt to report the end of.
        attempt: u64,
        /// The data centre.
        center: CenterId,
    },
    /// Keep it; [`RequestRouter::poll`] will name it.
    Wait(WaitId),
    /// Refuse it now.
    Refuse(RequestError),
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// A whole answer.
    Success,
    /// No whole answer.
    Failed,
    /// Refused by the other side as not-run, for lack of room.
    Refused,
    /// Ended by our side; says nothing about the other.
    Cancelled,
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptEnd {
    /// The attempt.
    pub attempt: u64,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// Time that the other side took; time lost to a slow caller left out.
    pub elapsed: Duration,
}

/// Counts of steps, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RouteCounts {
    /// Attempts run here.
    pub local: u64,
    /// Attempts sent away.
    pub away: u64,
    /// Requests refused.
    pub refused: u64,
    /// Requests that expired while waiting.
    pub expired: u64,
    /// Retries granted.
    pub retries: u64,
    /// Changes between sending away and not.
    pub switches: u64,
}
