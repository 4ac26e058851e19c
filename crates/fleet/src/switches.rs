//! Switches for the routing mechanisms, and the policy that chooses servers.
//!
//! Every mechanism can be turned off by name in the settings, so that its effect can be
//! measured without another build. The other policies are baselines for comparison.

use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;

use thiserror::Error;

/// Unknown name in the settings.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("unknown {what} `{name}`: expected one of {expected}")]
pub struct UnknownName {
    what: &'static str,
    name: String,
    expected: String,
}

/// Declares an enum whose values have names in the settings.
macro_rules! named_values {
    ($(#[$doc:meta])* $type:ident, $what:literal, {
        $($(#[$value_doc:meta])* $value:ident = $name:literal,)*
    }) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub enum $type {
            $($(#[$value_doc])* $value,)*
        }

        impl $type {
            /// All values.
            pub const ALL: &[Self] = &[$(Self::$value,)*];

            /// Name in settings and logs.
            pub const fn as_str(self) -> &'static str {
                match self {
                    $(Self::$value => $name,)*
                }
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(self.as_str())
            }
        }

        impl FromStr for $type {
            type Err = UnknownName;

            fn from_str(name: &str) -> Result<Self, UnknownName> {
                let found = Self::ALL.iter().find(|value| value.as_str() == name);
                found.copied().ok_or_else(|| UnknownName {
                    what: $what,
                    name: name.to_owned(),
                    expected: join(Self::ALL),
                })
            }
        }
    };
}

named_values! {
    /// Policy for choosing servers.
    ChoicePolicy, "policy", {
        /// By expected times; the default.
        Expected = "expected",
        /// By expected times, within the own region only. A baseline.
        LocalOnly = "local-only",
        /// Round-robin among the servers of the region with capacity. A baseline.
        RoundRobin = "round-robin",
        /// At random among the servers with capacity of all regions. A baseline.
        Random = "random",
    }
}

named_values! {
    /// Mode of dividing team quotas between VMs.
    QuotaMode, "quota mode", {
        /// By demand, which the VMs report to each other.
        Pooled = "pooled",
        /// In equal parts. A baseline.
        EqualParts = "equal-parts",
    }
}

named_values! {
    /// How a team that exceeds its quota spends it.
    QuotaSpend, "quota spending", {
        /// All requests are refused with the same probability.
        Even = "even",
        /// Important and small requests are admitted first.
        ByImportance = "by-importance",
    }
}

named_values! {
    /// Mechanism that can be turned off.
    DecisionSwitch, "mechanism", {
        /// Requests with the same shared prefix go to the same server.
        PrefixOwner = "prefix-owner",
        /// A busy owner's prefix spills over to the next servers in rendezvous order.
        PrefixSpill = "prefix-spill",
        /// Requests are forwarded to another region that responds earlier.
        SendAway = "send-away",
        /// Requests follow their prefix into the region that has it cached.
        PrefixHome = "prefix-home",
        /// Requests that are expected to miss their deadline are rejected immediately.
        RefusePredicted = "refuse-predicted",
        /// Servers and regions at which the whole response is expected to end after the
        /// caller's deadline are not used.
        WholeAnswers = "whole-answers",
        /// Runs that may not be repeated are copied to a second server if the risk
        /// exceeds the cost.
        Backups = "backups",
        /// Failing servers get no requests for a while.
        CircuitBreaker = "circuit-breaker",
        /// A server from which several VMs have received no liveness signal gets no
        /// requests from any VM, and the requests waiting there are moved.
        ServerVotes = "server-votes",
        /// Requests that are suspected of crashing servers are run in isolation, and
        /// then rejected.
        CrashSuspects = "crash-suspects",
        /// The rate of a cold server is shared between VMs.
        ColdShare = "cold-share",
        /// Connection attempts are retried long before the kernel would retry them.
        EarlyDial = "early-dial",
        /// Times are predicted by learned costs rather than by the prior alone.
        LearnedCosts = "learned-costs",
        /// A region that is offered more requests of a plain service than it can serve
        /// forwards the excess to regions with spare capacity.
        RegionRates = "region-rates",
        /// Servers are drawn at random so that VMs with the same load data fill them
        /// evenly.
        LevelDraw = "level-draw",
        /// Heartbeats within a region are sent more often than liveness detection
        /// requires.
        NearHeartbeats = "near-heartbeats",
        /// Where capacity is planned, requests are rejected at a backlog that would make
        /// more important kinds late.
        BacklogLimits = "backlog-limits",
        /// Where capacity is planned, requests go to the region in which the plan serves
        /// them.
        PlannedRegions = "planned-regions",
        /// The pace that servers state is used in predictions.
        ServerPace = "server-pace",
    }
}

fn join<T: fmt::Display>(values: &[T]) -> String {
    let names: Vec<String> = values.iter().map(ToString::to_string).collect();
    names.join(", ")
}

/// Choice policy and enabled mechanisms: all except those that were turned off.
///
/// ```
/// use onyxfall_fleet::{ChoicePolicy, DecisionSwitch, DecisionSwitches};
/// let off = "prefix-spill".parse().unwrap();
/// let switches = DecisionSwitches::new(ChoicePolicy::Expected, [off]);
/// assert!(!switches.is_on(DecisionSwitch::PrefixSpill));
/// assert_eq!(switches.to_string(), "policy expected, off: prefix-spill");
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DecisionSwitches {
    policy: ChoicePolicy,
    off: BTreeSet<DecisionSwitch>,
}

impl Default for DecisionSwitches {
    fn default() -> Self {
        Self::new(ChoicePolicy::Expected, [])
    }
}

impl DecisionSwitches {
    /// Creates switches with a policy and all mechanisms enabled except those in `off`.
    pub fn new(policy: ChoicePolicy, off: impl IntoIterator<Item = DecisionSwitch>) -> Self {
        Self {
            policy,
            off: off.into_iter().collect(),
        }
    }

    /// Policy for choosing servers.
    pub fn policy(&self) -> ChoicePolicy {
        self.policy
    }

    /// Whether a mechanism is enabled.
    pub fn is_on(&self, switch: DecisionSwitch) -> bool {
        !self.off.contains(&switch)
    }
}

impl fmt::Display for DecisionSwitches {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "policy {}", self.policy)?;
        if !self.off.is_empty() {
            let off: Vec<DecisionSwitch> = self.off.iter().copied().collect();
            write!(f, ", off: {}", join(&off))?;
        }
        Ok(())
    }
}
