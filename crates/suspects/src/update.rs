//! Updates on suspects that VMs exchange.
//!
//! Times are sent as ages, since VMs share no clock.

use std::time::Duration;

use crate::fingerprint::RequestFingerprint;
use crate::instance::InstanceTag;

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

/// Update on a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestUpdate {
    /// Fingerprint of the request.
    pub fingerprint: RequestFingerprint,
    /// Number of times the request succeeded after losses of servers that were running
    /// it.
    pub good_runs: u32,
    /// Losses of servers that were running the request, since its last success.
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

/// Changes of requests and of server instances.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SuspectUpdate {
    /// Changed requests.
    pub requests: Vec<RequestUpdate>,
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
        self.requests.is_empty() && self.instances.is_empty()
    }
}

/// Send cursor of one direction of a link: all changes up to this number are sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SuspectCursor(pub(crate) u64);
