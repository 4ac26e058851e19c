//! Consistency check of a copy of the store that is fed by other VMs.
//!
//! A VM that does not watch the store applies changes that it receives from VMs that do. A
//! change may be lost with the connection that carried it, and later changes would hide the
//! loss. So each change carries the revision that it follows, heartbeats carry the revision
//! and hash of their sender's copy, and a copy that lacks something is read from the store
//! again.
//!
//! Invariant: a gap stays recorded until the whole copy was read.

use std::time::Duration;

use onyxfall_policy::Moment;

/// How long a copy may be behind before it is read again: longer than a change takes to
/// arrive from a watcher, short compared to the time limits for configuration updates.
pub const BEHIND_LIMIT: Duration = Duration::from_millis(700);
/// Least time between two reads that [`CopyCheck`] causes.
pub const CATCH_UP_PAUSE: Duration = Duration::from_secs(1);

/// How long a copy may be behind before another VM's copy is requested: a change takes about
/// 0.2 s to pass through two aggregators.
pub const ASK_LIMIT: Duration = Duration::from_millis(250);
/// Least time between two requests for other VMs' copies.
const REQUEST_PAUSE: Duration = Duration::from_millis(500);

/// Revision and hash of a copy of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CopyState {
    /// Revision of the store that the copy reflects.
    pub revision: u64,
    /// Hash over the items of the copy.
    pub hash: u64,
}

/// Tracks gaps in this VM's copy of the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct CopyCheck {
    /// Latest revision that another VM has reported.
    newest_reported: u64,
    /// A later revision than that of this copy, and when it was first reported. Under
    /// constant change there always is one, so this one must be reached before another one
    /// is awaited.
    awaited: Option<(u64, Moment)>,
    /// Since when the copy differs from a watcher's copy of the same revision.
    differs_since: Option<Moment>,
    has_gap: bool,
    /// When the whole copy was last read.
    read_at: Option<Moment>,
    /// When another VM's copy was last requested.
    requested_at: Option<Moment>,
}

impl CopyCheck {
    /// Records a change that follows revision `base` and was applied to a copy at revision
    /// `own`. A change that is not whole leaves a gap as well.
    ///
    /// ```
    /// use onyxfall_fleet::CopyCheck;
    /// use onyxfall_policy::Moment;
    /// let mut check = CopyCheck::default();
    /// check.record_change(78, 78, true);
    /// assert!(!check.is_due(Moment::ZERO));
    /// check.record_change(79, 91, true);
    /// assert!(check.is_due(Moment::ZERO));
    /// ```
    pub fn record_change(&mut self, own: u64, base: u64, is_whole: bool) {
        self.has_gap |= own < base || !is_whole;
    }

    /// Whether a change is missing in the copy. Such a copy must not be passed on: its receiver
    /// would take it for whole.
    ///
    /// ```
    /// use onyxfall_fleet::CopyCheck;
    /// use onyxfall_policy::Moment;
    /// let mut check = CopyCheck::default();
    /// check.record_change(94, 95, true);
    /// assert!(check.has_gap());
    /// check.record_full_read(Moment::ZERO);
    /// assert!(!check.has_gap());
    /// ```
    pub const fn has_gap(&self) -> bool {
        self.has_gap
    }

    /// Records the state `other` of another VM's copy; `own` is the state of this VM's copy.
    pub fn record_peer_state(&mut self, now: Moment, own: CopyState, other: CopyState) {
        self.newest_reported = self.newest_reported.max(other.revision);
        if self
            .awaited
            .is_some_and(|(revision, _)| own.revision >= revision)
        {
            self.awaited = None;
        }
        if own.revision < self.newest_reported {
            self.awaited.get_or_insert((self.newest_reported, now));
        }
    }

    /// Whether another VM has reported a later revision than `own`.
    ///
    /// ```
    /// use onyxfall_fleet::{CopyCheck, CopyState};
    /// use onyxfall_policy::Moment;
    /// let mut check = CopyCheck::default();
    /// let state = |revision| CopyState { revision, hash: 1 };
    /// check.record_peer_state(Moment::ZERO, state(7), state(8));
    /// assert!(check.is_outdated(7));
    /// assert!(!check.is_outdated(8));
    /// ```
    pub fn is_outdated(&self, own: u64) -> bool {
        own < self.newest_reported
    }

    /// Compares the state of this VM's copy with that of the watcher that feeds it.
    pub fn compare_with_watcher(&mut self, now: Moment, own: CopyState, watcher: CopyState) {
        if own.revision != watcher.revision {
            return;
        }
        if own.hash == watcher.hash {
            self.differs_since = None;
        } else {
            self.differs_since.get_or_insert(now);
        }
    }

    /// Whether to request the copy of a VM whose copy is whole and in state `other`. `own` is
    /// the state of this VM's copy, or `None` if the copy is not whole.
    ///
    /// ```
    /// use onyxfall_fleet::{CopyCheck, CopyState};
    /// use onyxfall_policy::Moment;
    /// let mut check = CopyCheck::default();
    /// let other = CopyState { revision: 7, hash: 1 };
    /// assert!(check.asks(Moment::ZERO, None, other));
    /// assert!(!check.asks(Moment::ZERO, None, other), "requested a moment ago");
    /// ```
    pub fn asks(&mut self, now: Moment, own: Option<CopyState>, other: CopyState) -> bool {
        let lasts = |since: Option<Moment>| since.is_some_and(|since| now - since >= ASK_LIMIT);
        let is_needed = match own {
            None => true,
            Some(own) => {
                let is_older = own.revision < other.revision && lasts(self.awaited_since());
                let is_gapped = self.has_gap && own.revision <= other.revision;
                is_older || is_gapped
            }
        };
        let is_pause_over = self.requested_at.is_none_or(|at| now - at >= REQUEST_PAUSE);
        if is_needed && is_pause_over {
            self.requested_at = Some(now);
            return true;
        }
        false
    }

    /// Records that the whole copy was read from the store.
    pub fn record_full_read(&mut self, now: Moment) {
        self.read_at = Some(now);
        self.has_gap = false;
        self.awaited = None;
        self.differs_since = None;
    }

    /// Since when this copy has been behind.
    fn awaited_since(&self) -> Option<Moment> {
        self.awaited.map(|(_, since)| since)
    }

    /// Whether the whole copy has to be read from the store now.
    pub fn is_due(&self, now: Moment) -> bool {
        let lasts = |since: Option<Moment>| since.is_some_and(|since| now - since >= BEHIND_LIMIT);
        let is_pause_over = self.read_at.is_none_or(|at| now - at >= CATCH_UP_PAUSE);
        let is_incomplete =
            self.has_gap || lasts(self.awaited_since()) || lasts(self.differs_since);
        is_incomplete && is_pause_over
    }
}
