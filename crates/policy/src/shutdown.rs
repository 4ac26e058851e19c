//! Planned shutdown of an entry VM.
//!
//! The phases are running; a grace period, in which the VM is removed from every
//! list but still accepts requests, since callers still have the old list;
//! refusing, while open requests finish; stopped. Phases only advance.

use std::time::Duration;

use crate::moment::Moment;

/// Phase of a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownPhase {
    /// No shutdown was requested.
    Running,
    /// Removed from the lists, still accepting requests.
    Grace,
    /// Refusing new requests while open ones finish.
    Refusing,
    /// No request is open, or the time limit has passed.
    Stopped,
}

/// A shutdown with its grace period and time limit.
#[derive(Clone, Debug)]
pub struct ShutdownPlan {
    grace: Duration,
    limit: Duration,
    asked_at: Option<Moment>,
    reached: ShutdownPhase,
}

impl ShutdownPlan {
    /// Creates a plan that refuses requests after `grace` and cuts open ones off after
    /// `limit`, both counted from the request for the shutdown.
    pub fn new(grace: Duration, limit: Duration) -> Self {
        Self {
            grace,
            limit: limit.max(grace),
            asked_at: None,
            reached: ShutdownPhase::Running,
        }
    }

    /// Requests the shutdown; a repeated call has no effect.
    pub fn request(&mut self, now: Moment) {
        self.asked_at.get_or_insert(now);
    }

    /// The current phase, given the number of open requests.
    ///
    /// ```
    /// use onyxfall_policy::{Moment, ShutdownPhase, ShutdownPlan};
    /// use std::time::Duration;
    /// let mut plan = ShutdownPlan::new(Duration::from_secs(1), Duration::from_secs(9));
    /// plan.request(Moment::ZERO);
    /// assert_eq!(plan.phase(Moment::ZERO, 0), ShutdownPhase::Grace);
    /// let later = Moment::ZERO + Duration::from_secs(2);
    /// assert_eq!(plan.phase(later, 1), ShutdownPhase::Refusing);
    /// assert_eq!(plan.phase(later, 0), ShutdownPhase::Stopped);
    /// ```
    pub fn phase(&mut self, now: Moment, open: usize) -> ShutdownPhase {
        let Some(asked_at) = self.asked_at else {
            return ShutdownPhase::Running;
        };
        let elapsed = now - asked_at;
        let phase = if elapsed < self.grace {
            ShutdownPhase::Grace
        } else if open > 0 && elapsed < self.limit {
            ShutdownPhase::Refusing
        } else {
            ShutdownPhase::Stopped
        };
        self.reached = self.reached.max(phase);
        self.reached
    }

    /// Whether the shutdown was requested.
    pub fn is_asked(&self) -> bool {
        self.asked_at.is_some()
    }
}
