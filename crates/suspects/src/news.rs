//! What VMs tell each other of suspects.
//!
//! Times travel as ages, since VMs share no clock.

use std::time::Duration;

use crate::fingerprint::RequestFingerprint;
use crate::life::InstanceTag;

/// A server that broke off under a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashUpdate {
    /// Its life.
    pub life: InstanceTag,
    /// How long ago.
    pub age: Duration,
    /// How often the life had survived before.
    pub survivals: u32,
}

/// What is known of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestUpdate {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// How often it ran to a good end after servers had broken off under it.
    pub good_runs: u32,
    /// Servers that broke off under it since.
    pub crashes: Vec<CrashUpdate>,
}

/// What is known of a life that broke off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InstanceUpdate {
    /// The life.
    pub life: InstanceTag,
    /// How often it gave a sign of life after it had broken off.
    pub survivals: u32,
    /// How long ago it broke off since the last of these, if it did.
    pub lost: Option<Duration>,
}

/// What has changed of requests and lives.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SuspectUpdate {
    /// Requests.
    pub requests: Vec<RequestUpdate>,
    /// Lives.
    pub lives: Vec<InstanceUpdate>,
}

impl SuspectUpdate {
    /// Whether there is nothing.
    ///
    /// ```
    /// assert!(onyxfall_suspects::SuspectUpdate::default().is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty() && self.lives.is_empty()
    }
}

/// What was told in one direction of a link: all changes up to a number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SuspectCursor(pub(crate) u64);
