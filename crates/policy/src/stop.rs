//! The planned stop of an entry VM.
//!
//! Running, then a grace in which the VM has left every list and still accepts
//! (callers hold the old list), then refusing while open requests finish, then
//! stopped. Phases only go forward.

use std::time::Duration;

use crate::moment::Moment;

/// Phase of a stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownPhase {
    /// No stop was asked for.
    Running,
    /// Left the lists, still accepting.
    Grace,
    /// Refusing new requests, finishing open ones.
    Refusing,
    /// Nothing is open, or the bound has passed.
    Stopped,
}

/// A stop with its bounds.
#[derive(Clone, Debug)]
pub struct ShutdownPlan {
    grace: Duration,
    bound: Duration,
    asked_at: Option<Moment>,
    reached: ShutdownPhase,
}

impl ShutdownPlan {
    /// A plan that waits `grace` before refusing and `bound` before cutting.
    pub fn new(grace: Duration, bound: Duration) -> Self {
        Self {
            grace,
            bound: bound.max(grace),
            asked_at: None,
            reached: ShutdownPhase::Running,
        }
    }

    /// Asks for the stop; a second time changes nothing.
    pub fn ask(&mut self, now: Moment) {
        self.asked_at.get_or_insert(now);
    }

    /// The phase, with `open` requests still open.
    ///
    /// ```
    /// use onyxfall_policy::{Moment, ShutdownPhase, ShutdownPlan};
    /// use std::time::Duration;
    /// let mut plan = ShutdownPlan::new(Duration::from_secs(1), Duration::from_secs(9));
    /// plan.ask(Moment::ZERO);
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
        } else if open > 0 && elapsed < self.bound {
            ShutdownPhase::Refusing
        } else {
            ShutdownPhase::Stopped
        };
        self.reached = self.reached.max(phase);
        self.reached
    }

    /// Whether a stop was asked for.
    pub fn is_asked(&self) -> bool {
        self.asked_at.is_some()
    }
}
