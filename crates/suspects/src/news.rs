//! What VMs tell each other of suspects.
//!
//! Times travel as ages, since VMs share no clock.

use std::time::Duration;

use crate::fingerprint::RequestFingerprint;
use crate::life::LifeTag;

/// A server that broke off under a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashNews {
    /// Its life.
    pub life: LifeTag,
    /// How long ago.
    pub age: Duration,
    /// How often the life had survived before.
    pub survivals: u32,
}

/// What is known of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestNews {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// How often it ran to a good end after servers had broken off under it.
    pub good_runs: u32,
    /// Servers that broke off under it since.
    pub crashes: Vec<CrashNews>,
}

/// What is known of a life that broke off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LifeNews {
    /// The life.
    pub life: LifeTag,
    /// How often it gave a sign of life after it had broken off.
    pub survivals: u32,
    /// How long ago it broke off since the last of these, if it did.
    pub lost: Option<Duration>,
}

/// What has changed of requests and lives.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SuspectNews {
    /// Requests.
    pub requests: Vec<RequestNews>,
    /// Lives.
    pub lives: Vec<LifeNews>,
}

impl SuspectNews {
    /// Whether there is nothing.
    ///
    /// ```
    /// assert!(onyxfall_suspects::SuspectNews::default().is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty() && self.lives.is_empty()
    }
}

/// What was told in one direction of a link: all changes up to a number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SuspectsTold(pub(crate) u64);
