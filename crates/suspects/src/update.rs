//! Updates on suspects that VMs exchange.
//!
//! Times are sent as ages, since VMs share no clock.

use std::time::Duration;

use crate::instance::InstanceTag;
use crate::key::EvidenceKey;

/// The loss of a server instance that was running a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashUpdate {
    /// The instance.
    pub instance: InstanceTag,
    /// Time since the loss.
    pub age: Duration,
    /// Survivals of the instance before this loss.
    pub survivals: u32,
}

/// Update on a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyUpdate {
    /// The key.
    pub key: EvidenceKey,
    /// Number of times that a request with the key succeeded after losses of servers that were
    /// running one.
    pub good_runs: u32,
    /// Whether a request without the key has succeeded at the service between its crashes.
    pub has_control: bool,
    /// Losses of servers that were running a request with the key, since the last success.
    pub crashes: Vec<CrashUpdate>,
}

/// Update on a server instance whose connection was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InstanceUpdate {
    /// The instance.
    pub instance: InstanceTag,
    /// Number of times a liveness signal of the instance followed a loss.
    pub survivals: u32,
    /// Time since the first loss after the last survival, if there was one.
    pub lost: Option<Duration>,
}

/// Changes of keys and of server instances.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SuspectUpdate {
    /// Changed keys.
    pub keys: Vec<KeyUpdate>,
    /// Changed server instances.
    pub instances: Vec<InstanceUpdate>,
}

impl SuspectUpdate {
    /// Whether the update contains no change.
    ///
    /// ```
    /// assert!(onyxfall_suspects::SuspectUpdate::default().is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty() && self.instances.is_empty()
    }
}

/// Send cursor of one direction of a link: all changes up to this number are sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SuspectCursor(pub(crate) u64);
