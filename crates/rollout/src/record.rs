//! What the store says of a roll-out.

use std::fmt;
use std::str::FromStr;

use onyxfall_types::SoftwareVersion;

/// How far a roll-out is. It never goes back to running.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutState {
    /// Both versions have servers.
    Running,
    /// The old servers have stopped.
    Completed,
    /// The new servers are being drained.
    RolledBack,
}

/// Why a roll-out ended as it did.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RolloutReason {
    /// It has not ended.
    #[default]
    None,
    /// The new version did as well as the old one, or there was no old one.
    Proved,
    /// More of its answers were failures.
    Failures,
    /// More of its answers were slow.
    Slowness,
    /// It could not be shown in time that it does as well.
    Unproved,
    /// The operator took the order back.
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

    /// Word in records and logs.
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

/// The record of a service's latest roll-out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutRecord {
    /// Revision of the order that it answers.
    pub order: u64,
    /// The version that was ordered.
    pub target: SoftwareVersion,
    /// When it began, in milliseconds of Unix time by the clock of its writer.
    pub began_ms: u64,
    /// How far it is.
    pub state: RolloutState,
    /// Why it ended.
    pub reason: RolloutReason,
}
