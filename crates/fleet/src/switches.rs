//! Which mechanisms of the decisions are on, and which policy chooses servers.
//!
//! Every mechanism can be turned off by its name, so that what it is worth is
//! measured by a line of the settings and not by another build. The other
//! policies are baselines to compare with.

use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;

use thiserror::Error;

/// A name in the settings that stands for nothing.
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
            /// Every value.
            pub const ALL: &[Self] = &[$(Self::$value,)*];

            /// Its name in settings and logs.
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
    /// How servers are chosen.
    ChoicePolicy, "policy", {
        /// By expected times; the product's own policy.
        Expected = "expected",
        /// By expected times, never in another region. A baseline.
        LocalOnly = "local-only",
        /// In turn among the servers of the region that have room. A baseline.
        RoundRobin = "round-robin",
        /// At random among the servers with room, of all regions. A baseline.
        Random = "random",
    }
}

named_values! {
    /// How limits of teams are divided between VMs.
    QuotaMode, "way of limits", {
        /// By what is asked for, as the VMs tell each other.
        Pooled = "pooled",
        /// Every VM has the same part. A baseline.
        EqualParts = "equal-parts",
    }
}

named_values! {
    /// A mechanism that can be turned off.
    DecisionSwitch, "mechanism", {
        /// Requests with the same shared prefix go to the same server.
        PrefixOwner = "prefix-owner",
        /// A busy owner's prefix spills over to the next servers in its order.
        PrefixSpill = "prefix-spill",
        /// Requests go to another region that answers earlier.
        SendAway = "send-away",
        /// Requests follow their prefix into the region that keeps it.
        PrefixHome = "prefix-home",
        /// What is expected too late is refused at once.
        RefusePredicted = "refuse-predicted",
        /// A place where the whole answer is expected to end after the caller has left
        /// is no place.
        WholeAnswers = "whole-answers",
        /// Runs that may not be repeated are copied to a second server when that pays.
        Backups = "backups",
        /// Servers that fail get no work for a while.
        CircuitBreaker = "circuit-breaker",
        /// A server that several VMs have no sign of life of gets no work from any, and
        /// what waits there is moved.
        ServerVotes = "server-votes",
        /// Requests that servers crash under are run alone, and then refused.
        CrashSuspects = "crash-suspects",
        /// A cold server's rate is shared between VMs.
        ColdShare = "cold-share",
        /// Connections are dialled again long before the kernel would.
        EarlyDial = "early-dial",
        /// Times are predicted by what answers have taught, not by the prior alone.
        LearnedCosts = "learned-costs",
        /// A region that is offered more of a plain service than it can do sends the rest
        /// to regions with spare capacity.
        RegionRates = "region-rates",
        /// Servers are drawn so that VMs with the same knowledge fill them evenly.
        LevelDraw = "level-draw",
        /// Heartbeats within a region are sent more often than needed to tell life.
        NearHeartbeats = "near-heartbeats",
    }
}

fn join<T: fmt::Display>(values: &[T]) -> String {
    let names: Vec<String> = values.iter().map(ToString::to_string).collect();
    names.join(", ")
}

/// What is on: all mechanisms but those that were turned off.
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
    /// The policy, and every mechanism on but those in `off`.
    pub fn new(policy: ChoicePolicy, off: impl IntoIterator<Item = DecisionSwitch>) -> Self {
        Self {
            policy,
            off: off.into_iter().collect(),
        }
    }

    /// How servers are chosen.
    pub fn policy(&self) -> ChoicePolicy {
        self.policy
    }

    /// Whether a mechanism is on.
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
