//! The rest that a server wants from this VM.
//!
//! A server that turns a request away may name a time for which it wants nothing from the
//! VM that asked: servers that had named 3 s were asked 20 to 36 times a second while every
//! refusal was a pause of 0.12 s. The time is kept whole, by every way to the server. After
//! it one request tries whether the server is back; the others wait for its answer, so that
//! a server that is as busy as before turns one request away and not all that were held
//! back (gateway test `resting`: six callers, at most one try after each rest).
//!
//! Invariant: within a time of rest nothing is allowed, and after it one try at a time
//! until the server has taken one.

use std::time::Duration;

use crate::moment::Moment;

/// Longest rest that is kept, an hour: a server that names a week has most likely mixed up
/// its units, and a new life of it ends its rest in any case.
const LONGEST_REST: Duration = Duration::from_hours(1);

/// Rest of one life of a server.
///
/// ```
/// use onyxfall_policy::{Moment, ServerBackoff};
/// use std::time::Duration;
/// let second = Duration::from_secs(1);
/// let mut rest = ServerBackoff::default();
/// rest.ask(Moment::ZERO, second);
/// assert!(!rest.allows(Moment::ZERO));
/// let end = Moment::ZERO + second;
/// assert!(rest.allows(end));
/// rest.note_sent(7);
/// assert!(!rest.allows(end), "one try at a time");
/// rest.note_taken(7);
/// assert!(rest.allows(end));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerBackoff {
    /// End of the time that it wants; of several the latest.
    until: Moment,
    /// Whether it has taken nothing since.
    is_unproven: bool,
    /// The attempt that tries whether it takes work again.
    trial: Option<u64>,
}

impl ServerBackoff {
    /// Notes that the server wants nothing for `time` from now on. A time that ends before
    /// the present one shortens nothing: the server has asked for both.
    pub fn ask(&mut self, now: Moment, time: Duration) {
        self.until = self.until.max(now + time.min(LONGEST_REST));
        self.is_unproven = true;
        self.trial = None;
    }

    /// Takes over what was asked of a life that may have been this one.
    pub fn join(&mut self, other: Self) {
        if other.until > self.until {
            *self = other;
        }
    }

    /// End of the time in which nothing may be sent; none if it is over.
    pub fn end(&self, now: Moment) -> Option<Moment> {
        (now < self.until).then_some(self.until)
    }

    /// Whether an attempt may be chosen for the server.
    pub fn allows(&self, now: Moment) -> bool {
        now >= self.until && !(self.is_unproven && self.trial.is_some())
    }

    /// Notes that an attempt is sent.
    pub fn note_sent(&mut self, attempt: u64) {
        if self.is_unproven {
            self.trial.get_or_insert(attempt);
        }
    }

    /// Notes that the server has taken an attempt.
    pub fn note_taken(&mut self, attempt: u64) {
        if self.trial == Some(attempt) {
            *self = Self::default();
        }
    }

    /// Notes that an attempt has ended, whatever it showed.
    pub fn note_end(&mut self, attempt: u64) {
        if self.trial == Some(attempt) {
            self.trial = None;
        }
    }
}
