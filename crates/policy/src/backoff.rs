//! Backoff that a server requests from this VM.
//!
//! A server that rejects a request may name a time during which this VM must send it
//! nothing. The full time applies to every path to the server: with a fixed pause of
//! 0.12 s after each rejection, servers that had named 3 s received 20 to 36 requests a
//! second. After the backoff a single trial request tests whether the server accepts work
//! again, and the others wait for its outcome. A server that is still busy thus rejects
//! one request instead of all pending ones (gateway test `resting`: six callers, at most
//! one trial after each backoff).
//!
//! Invariant: no attempt is allowed during a backoff, and after it one trial at a time
//! until the server has accepted one.

use std::time::Duration;

use crate::moment::Moment;

/// Longest backoff that is honoured. A server that names a week has most likely mixed up
/// its units, and a restart of the server ends its backoff in any case.
const MAX_BACKOFF: Duration = Duration::from_hours(1);

/// Backoff requested by one instance of a server.
///
/// ```
/// use onyxfall_policy::{Moment, ServerBackoff};
/// use std::time::Duration;
/// let second = Duration::from_secs(1);
/// let mut backoff = ServerBackoff::default();
/// backoff.request(Moment::ZERO, second);
/// assert!(!backoff.allows(Moment::ZERO));
/// let end = Moment::ZERO + second;
/// assert!(backoff.allows(end));
/// backoff.record_sent(7);
/// assert!(!backoff.allows(end), "one trial at a time");
/// backoff.record_taken(7);
/// assert!(backoff.allows(end));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerBackoff {
    /// End of the backoff; the latest one if several were requested.
    until: Moment,
    /// Whether the server has accepted no attempt since the backoff was requested.
    awaits_trial: bool,
    /// Attempt under way that tests whether the server accepts work again.
    trial: Option<u64>,
}

impl ServerBackoff {
    /// Records that the server requests a backoff of `time` from now on. A backoff that
    /// ends before the current one does not shorten it: the server has requested both.
    pub fn request(&mut self, now: Moment, time: Duration) {
        self.until = self.until.max(now + time.min(MAX_BACKOFF));
        self.awaits_trial = true;
        self.trial = None;
    }

    /// Merges a backoff requested by an instance that may be this one.
    pub fn join(&mut self, other: Self) {
        if other.until > self.until {
            *self = other;
        }
    }

    /// End of the backoff, or `None` if it is over.
    pub fn end(&self, now: Moment) -> Option<Moment> {
        (now < self.until).then_some(self.until)
    }

    /// Whether an attempt may be sent to the server.
    pub fn allows(&self, now: Moment) -> bool {
        now >= self.until && !(self.awaits_trial && self.trial.is_some())
    }

    /// Records that an attempt is sent to the server.
    pub fn record_sent(&mut self, attempt: u64) {
        if self.awaits_trial {
            self.trial.get_or_insert(attempt);
        }
    }

    /// Records that the server has accepted an attempt, which ends the trial.
    pub fn record_taken(&mut self, attempt: u64) {
        if self.trial == Some(attempt) {
            *self = Self::default();
        }
    }

    /// Records that an attempt has ended, whatever its outcome.
    pub fn record_end(&mut self, attempt: u64) {
        if self.trial == Some(attempt) {
            self.trial = None;
        }
    }
}
