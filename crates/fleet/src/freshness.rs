//! Age of a copy of the store, and when a VM asks the store whether its copy is current.
//!
//! A watch that waits for changes cannot be told from one that the store has lost. So a copy
//! counts as current only up to its last proof: a response of the store, or the proof of
//! another VM's copy that holds no more than this one. VMs tell each other the ages of their
//! copies, so that one short call of one VM proves the copies of all.
//!
//! Invariant: a proof never makes a copy older, and a copy that lacks something takes no proof
//! from another one.

use std::time::Duration;

use onyxfall_policy::Moment;

use crate::follow::{CATCH_UP_PAUSE, CopyState};

/// Age from which the first VM in the order of checks asks the store.
const CHECK_AGE: Duration = Duration::from_millis(800);
/// Further age for each VM that comes before in that order: the time in which its proof
/// arrives, so that the next VM asks only if the one before it cannot.
const CHECK_STEP: Duration = Duration::from_millis(400);
/// How long a watch may bring nothing although other VMs report a later revision. The store
/// responds to a working watch before the changes arrive from other VMs.
const LATE_WATCH: Duration = Duration::from_millis(300);
/// Age from which the store is taken to have been unavailable. It is longer than a proof takes
/// to reach a VM while the first VMs in the order of checks fail.
const OUTAGE_AGE: Duration = Duration::from_millis(2500);

/// Shortest and longest pause between a response with changes and the next watch. Even the
/// longest one is far below the limits on how soon a change must be in force.
const MIN_BATCH_PAUSE: Duration = Duration::from_millis(150);
const MAX_BATCH_PAUSE: Duration = Duration::from_millis(400);

/// When a copy of the store was last proved to be current.
#[derive(Clone, Copy, Debug, Default)]
pub struct CopyAge {
    proved_at: Option<Moment>,
    /// Whether the copy was old when [`Self::take_change`] was last called.
    was_old: bool,
}

/// A change of whether a copy is old.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AgeChange {
    /// The copy has not been proved for so long that the store may be unavailable.
    Old,
    /// An old copy was proved again.
    Current,
}

impl CopyAge {
    /// Records that the copy held everything that the store did at a moment.
    pub fn record_proof(&mut self, at: Moment) {
        self.proved_at = self.proved_at.max(Some(at));
    }

    /// Records that the copy `other` of another VM was current at a moment. It proves this
    /// VM's copy, which is whole and in state `own`, unless that lacks something.
    ///
    /// ```
    /// use onyxfall_fleet::{CopyAge, CopyState};
    /// use onyxfall_policy::Moment;
    /// use std::time::Duration;
    /// let state = |revision, hash| CopyState { revision, hash };
    /// let now = Moment::from_duration(Duration::from_secs(9));
    /// let mut age = CopyAge::default();
    /// age.record_peer_proof(state(7, 1), state(8, 2), now);
    /// assert_eq!(age.at(now), None, "a revision is missing");
    /// age.record_peer_proof(state(8, 3), state(8, 2), now);
    /// assert_eq!(age.at(now), None, "the copies differ");
    /// age.record_peer_proof(state(8, 2), state(8, 2), now);
    /// assert_eq!(age.at(now), Some(Duration::ZERO));
    /// ```
    pub fn record_peer_proof(&mut self, own: CopyState, other: CopyState, at: Moment) {
        let is_later = own.revision > other.revision;
        if is_later || own == other {
            self.record_proof(at);
        }
    }

    /// Age of the copy, or `None` if it was never proved.
    pub fn at(&self, now: Moment) -> Option<Duration> {
        self.proved_at.map(|at| now - at)
    }

    /// Whether the copy was proved once, but so long ago that the store may have been
    /// unavailable since.
    ///
    /// ```
    /// use onyxfall_fleet::CopyAge;
    /// use onyxfall_policy::Moment;
    /// use std::time::Duration;
    /// let mut age = CopyAge::default();
    /// let later = Moment::from_duration(Duration::from_secs(4));
    /// assert!(!age.spans_outage(later));
    /// age.record_proof(Moment::ZERO);
    /// assert!(age.spans_outage(later));
    /// ```
    pub fn spans_outage(&self, now: Moment) -> bool {
        self.at(now).is_some_and(|age| age >= OUTAGE_AGE)
    }

    /// Returns how the copy has changed since the last call, if it has.
    ///
    /// ```
    /// use onyxfall_fleet::{AgeChange, CopyAge};
    /// use onyxfall_policy::Moment;
    /// use std::time::Duration;
    /// let later = Moment::from_duration(Duration::from_secs(4));
    /// let mut age = CopyAge::default();
    /// age.record_proof(Moment::ZERO);
    /// assert_eq!(age.take_change(later), Some(AgeChange::Old));
    /// assert_eq!(age.take_change(later), None);
    /// age.record_proof(later);
    /// assert_eq!(age.take_change(later), Some(AgeChange::Current));
    /// ```
    pub fn take_change(&mut self, now: Moment) -> Option<AgeChange> {
        let is_old = self.spans_outage(now);
        if std::mem::replace(&mut self.was_old, is_old) == is_old {
            return None;
        }
        Some(if is_old {
            AgeChange::Old
        } else {
            AgeChange::Current
        })
    }
}

/// Why a VM asks the store for its revision while a watch is open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CheckCause {
    /// Other VMs have changes that the watch has not brought.
    LateWatch,
    /// No VM has proved its copy for some time, and it is this VM's turn.
    OldCopy,
}

impl CheckCause {
    /// Name of the cause for logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::LateWatch => "late-watch",
            Self::OldCopy => "old-copy",
        }
    }
}

/// Decides when to check one open watch.
#[derive(Clone, Copy, Debug, Default)]
pub struct WatchCheck {
    /// Since when the watch is open and other VMs report a later revision.
    late_since: Option<Moment>,
    /// Until when a late watch is not checked again.
    late_pause: Option<Moment>,
    /// Until when it is not this VM's turn again.
    turn_pause: Option<Moment>,
}

impl WatchCheck {
    /// Why the store has to be asked now, if it has to. `is_behind` tells whether other VMs
    /// report a later revision, and `rank` returns the number of VMs before this one in the
    /// order of checks.
    ///
    /// ```
    /// use onyxfall_fleet::{CheckCause, WatchCheck};
    /// use onyxfall_policy::Moment;
    /// use std::time::Duration;
    /// let mut check = WatchCheck::default();
    /// let ms = Duration::from_millis;
    /// let now = Moment::ZERO;
    /// assert_eq!(check.cause(now, false, Some(ms(700)), || 0), None);
    /// assert_eq!(check.cause(now, false, Some(ms(900)), || 1), None);
    /// let first = check.cause(now, false, Some(ms(900)), || 0);
    /// assert_eq!(first, Some(CheckCause::OldCopy));
    /// ```
    pub fn cause(
        &mut self,
        now: Moment,
        is_behind: bool,
        age: Option<Duration>,
        rank: impl FnOnce() -> usize,
    ) -> Option<CheckCause> {
        if is_behind {
            self.late_since.get_or_insert(now);
        } else {
            self.late_since = None;
        }
        let is_over = |pause: Option<Moment>| pause.is_none_or(|until| now >= until);
        let is_late = self.late_since.is_some_and(|at| now - at >= LATE_WATCH);
        if is_late && is_over(self.late_pause) {
            return Some(CheckCause::LateWatch);
        }
        // The rank is computed only if the copy is old.
        let is_turn = |age| age >= CHECK_AGE && age >= CHECK_AGE + check_pause(rank());
        let is_due = is_over(self.turn_pause) && age.is_none_or(is_turn);
        is_due.then_some(CheckCause::OldCopy)
    }

    /// Records that a check has found nothing new. A check of a late watch is not repeated at
    /// once: the report of the other VM may be wrong.
    pub fn record_unchanged(&mut self, now: Moment) {
        self.late_since = None;
        self.late_pause = Some(now + CATCH_UP_PAUSE);
    }

    /// Records that a check has failed, for a VM with `rank` VMs before it in the order of
    /// checks. `pause` is the shortest pause before the next check. A late watch is checked
    /// after it: other VMs have reached the store.
    ///
    /// ```
    /// use onyxfall_fleet::{CheckCause, WatchCheck};
    /// use onyxfall_policy::Moment;
    /// use std::time::Duration;
    /// let at = |ms| Moment::from_duration(Duration::from_millis(ms));
    /// let age = Some(Duration::from_secs(9));
    /// let mut check = WatchCheck::default();
    /// check.record_failed(at(0), Duration::ZERO, 5);
    /// assert_eq!(check.cause(at(1000), true, age, || 5), None);
    /// let late = check.cause(at(1300), true, age, || 5);
    /// assert_eq!(late, Some(CheckCause::LateWatch));
    /// ```
    pub fn record_failed(&mut self, now: Moment, pause: Duration, rank: usize) {
        self.late_pause = Some(now + pause);
        self.turn_pause = Some(now + pause.max(check_pause(rank)));
    }
}

/// How much later than the first VM one with `rank` VMs before it in the order of checks asks the
/// store, and its pause after a check that failed: few VMs call a store that does not respond.
///
/// ```
/// use onyxfall_fleet::check_pause;
/// assert!(check_pause(0) < check_pause(1));
/// ```
pub fn check_pause(rank: usize) -> Duration {
    CHECK_STEP * u32::try_from(rank).unwrap_or(u32::MAX)
}

/// Pause before the next watch, so that changes in quick succession cost one call: the longer,
/// the more responses with changes have followed each other.
#[derive(Clone, Copy, Debug, Default)]
pub struct BatchPause {
    last: Duration,
}

impl BatchPause {
    /// Returns the pause after a response with changes that came `waited` after its watch was
    /// sent.
    ///
    /// ```
    /// use onyxfall_fleet::BatchPause;
    /// use std::time::Duration;
    /// let ms = Duration::from_millis;
    /// let mut pause = BatchPause::default();
    /// let pauses = [5000, 60, 60, 60, 5000].map(|waited| pause.after_changes(ms(waited)));
    /// assert_eq!(pauses, [150, 300, 400, 400, 150].map(ms));
    /// ```
    pub fn after_changes(&mut self, waited: Duration) -> Duration {
        self.last = if waited < MAX_BATCH_PAUSE {
            (self.last * 2).clamp(MIN_BATCH_PAUSE, MAX_BATCH_PAUSE)
        } else {
            MIN_BATCH_PAUSE
        };
        self.last
    }
}
