//! Mode of the capacity plan, as written in settings and in reports.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Whether a VM computes a capacity plan and acts on it.
///
/// ```
/// use onyxfall_types::PlanMode;
/// assert_eq!("frozen".parse(), Ok(PlanMode::Frozen));
/// assert_eq!(PlanMode::default().to_string(), "off");
/// assert!("later".parse::<PlanMode>().is_err());
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PlanMode {
    /// No plan: each VM decides by itself.
    #[default]
    Off,
    /// The plan is recomputed from the ledger and followed.
    On,
    /// The last plan is followed and not recomputed.
    Frozen,
}

impl PlanMode {
    /// The word in settings and reports.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Off => "off",
            Self::On => "on",
            Self::Frozen => "frozen",
        }
    }
}

impl fmt::Display for PlanMode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

/// Error for text that is not a [`PlanMode`].
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("unknown mode `{text}`: expected off, on or frozen")]
pub struct PlanModeError {
    text: String,
}

impl FromStr for PlanMode {
    type Err = PlanModeError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "off" => Ok(Self::Off),
            "on" => Ok(Self::On),
            "frozen" => Ok(Self::Frozen),
            _ => Err(PlanModeError {
                text: text.to_owned(),
            }),
        }
    }
}
