//! Record of a rollout in the store.

use std::fmt;
use std::str::FromStr;

use onyxfall_types::SoftwareVersion;

/// State of a rollout. A finished rollout never returns to running.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutState {
    /// Both versions have servers.
    Running,
    /// The old servers have stopped.
    Completed,
    /// The new servers are being drained.
    RolledBack,
}

/// Reason for the end of a rollout.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RolloutReason {
    /// The rollout has not ended.
    #[default]
    None,
    /// The new version did as well as the old one, or there was no old one.
    Proved,
    /// The new version had a higher share of failures.
    Failures,
    /// The new version had a higher share of slow responses.
    Slowness,
    /// The new version could not be shown in time to do as well as the old one.
    Unproved,
    /// The operator withdrew the order.
    Withdrawn,
}

impl RolloutReason {
    const ALL: [Self; 6] = [
        Self::None,
        Self::Proved,
        Self::Failures,
        Self::Slowness,
        Self::Unproved,
        Self::Withdrawn,
    ];

    /// Name of the reason in records and logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Proved => "proved",
            Self::Failures => "failures",
            Self::Slowness => "slowness",
            Self::Unproved => "unproved",
            Self::Withdrawn => "withdrawn",
        }
    }
}

impl fmt::Display for RolloutReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for RolloutReason {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        let named = Self::ALL.into_iter().find(|reason| reason.as_str() == text);
        named.ok_or(())
    }
}

/// Record of a service's latest rollout.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutRecord {
    /// Revision of the order that the record belongs to.
    pub order: u64,
    /// The ordered version.
    pub target: SoftwareVersion,
    /// Start of the rollout in milliseconds of Unix time, by the clock of the writer.
    pub began_ms: u64,
    /// State of the rollout.
    pub state: RolloutState,
    /// Why the rollout ended.
    pub reason: RolloutReason,
}
