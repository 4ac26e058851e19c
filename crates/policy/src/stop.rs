//! The planned stop of an entry VM.
//!
//! Running, then a grace in which the VM has left every list and still accepts
//! (callers hold the old list), then refusing while open requests finish, then
//! stopped. Phases only go forward.

use std::time::Duration;

use crate::moment::Moment;

/// Phase of a stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopPhase {
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
pub struct StopPlan {
    grace: Duration,
    bound: Duration,
    asked_at: Option<Moment>,
    reached: StopPhase,
}

impl StopPlan {
    /// A plan that waits `grace` before refusing and `bound` before cutting.
    pub fn new(grace: Duration, bound: Duration) -> Self {
        Self {
            grace,
            bound: bound.max(grace),
            asked_at: None,
            reached: StopPhase::Running,
        }
    }

    /// Asks for the stop; a second time changes nothing.
    pub fn ask(&mut self, now: Moment) {
        self.asked_at.get_or_insert(now);
    }

    /// The phase, with `open` requests still open.
    ///
    /// ```
    /// use onyxfall_policy::{Moment, StopPhase, StopPlan};
    /// use std::time::Duration;
    /// let mut plan = StopPlan::new(Duration::from_secs(1), Duration::from_secs(9));
    /// plan.ask(Moment::ZERO);
    /// assert_eq!(plan.phase(Moment::ZERO, 0), StopPhase::Grace);
    /// let later = Moment::ZERO + Duration::from_secs(2);
    /// assert_eq!(plan.phase(later, 1), StopPhase::Refusing);
    /// assert_eq!(plan.phase(later, 0), StopPhase::Stopped);
    /// ```
    pub fn phase(&mut self, now: Moment, open: usize) -> StopPhase {
        let Some(asked_at) = self.asked_at else {
            return StopPhase::Running;
        };
        let elapsed = now - asked_at;
        let phase = if elapsed < self.grace {
            StopPhase::Grace
        } else if open > 0 && elapsed < self.bound {
            StopPhase::Refusing
        } else {
            StopPhase::Stopped
        };
        self.reached = self.reached.max(phase);
        self.reached
    }

    /// Whether a stop was asked for.
    pub fn is_asked(&self) -> bool {
        self.asked_at.is_some()
    }
}
