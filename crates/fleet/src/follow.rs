//! Whether a copy of the store that lives on other VMs' word is still whole.
//!
//! A VM that does not watch the store takes changes from VMs that do. A change
//! may be lost with the connection that carried it, and later ones would hide
//! that. So each change names the revision that it follows, heartbeats name the
//! revision and hash of their sender's copy, and a copy that misses something is
//! read from the store again.
//!
//! Invariant: a gap is remembered until everything was read.

use std::time::Duration;

use onyxfall_policy::Moment;

/// How long a copy may be behind before it is read anew: longer than a change
/// takes to come from a watcher, short against the bounds on configurations.
pub const BEHIND_LIMIT: Duration = Duration::from_millis(700);
/// Least time between two reads for these reasons.
pub const CATCH_UP_PAUSE: Duration = Duration::from_secs(1);

/// How long a copy may be behind before another VM's is asked for: a change takes some
/// 0.2 s to come through two aggregators.
pub const ASK_LIMIT: Duration = Duration::from_millis(250);
/// Least time between two requests for other VMs' copies.
const ASK_PAUSE: Duration = Duration::from_millis(500);

/// State of a copy of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CopyState {
    /// Revision that it reflects.
    pub revision: u64,
    /// Hash over its items.
    pub hash: u64,
}

/// What is known of the gaps of this VM's copy.
#[derive(Clone, Copy, Debug, Default)]
pub struct CopyCheck {
    newest_heard: u64,
    /// A later revision than that of this copy, and since when it is known. Where changes
    /// never end there is always one; it must be reached before another one counts.
    awaited: Option<(u64, Moment)>,
    differs_since: Option<Moment>,
    has_gap: bool,
    read_at: Option<Moment>,
    asked_at: Option<Moment>,
}

impl CopyCheck {
    /// Notes a change that follows revision `base`, taken by a copy at `own`; a
    /// change that is not whole leaves a gap as well.
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

    /// Notes the state of another VM's copy.
    pub fn record_peer_state(&mut self, now: Moment, own: CopyState, other: CopyState) {
        self.newest_heard = self.newest_heard.max(other.revision);
        if self
            .awaited
            .is_some_and(|(revision, _)| own.revision >= revision)
        {
            self.awaited = None;
        }
        if own.revision < self.newest_heard {
            self.awaited.get_or_insert((self.newest_heard, now));
        }
    }

    /// Whether another VM has told of a later revision than `own`.
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
        own < self.newest_heard
    }

    /// Compares with the copy of a VM that watches for this one.
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

    /// Whether to ask a VM whose copy is whole, in state `other`, for it; `own` is this
    /// VM's copy, none if that is not whole.
    ///
    /// ```
    /// use onyxfall_fleet::{CopyCheck, CopyState};
    /// use onyxfall_policy::Moment;
    /// let mut check = CopyCheck::default();
    /// let other = CopyState { revision: 7, hash: 1 };
    /// assert!(check.asks(Moment::ZERO, None, other));
    /// assert!(!check.asks(Moment::ZERO, None, other), "asked a moment ago");
    /// ```
    pub fn asks(&mut self, now: Moment, own: Option<CopyState>, other: CopyState) -> bool {
        let lasts = |since: Option<Moment>| since.is_some_and(|since| now - since >= ASK_LIMIT);
        let wants = match own {
            None => true,
            Some(own) => {
                let is_older = own.revision < other.revision && lasts(self.awaited_since());
                let is_gapped = self.has_gap && own.revision <= other.revision;
                is_older || is_gapped
            }
        };
        let is_rested = self.asked_at.is_none_or(|at| now - at >= ASK_PAUSE);
        if wants && is_rested {
            self.asked_at = Some(now);
            return true;
        }
        false
    }

    /// Notes that everything was read.
    pub fn record_full_read(&mut self, now: Moment) {
        self.read_at = Some(now);
        self.has_gap = false;
        self.awaited = None;
        self.differs_since = None;
    }

    fn awaited_since(&self) -> Option<Moment> {
        self.awaited.map(|(_, since)| since)
    }

    /// Whether everything has to be read now.
    pub fn is_due(&self, now: Moment) -> bool {
        let lasts = |since: Option<Moment>| since.is_some_and(|since| now - since >= BEHIND_LIMIT);
        let is_rested = self.read_at.is_none_or(|at| now - at >= CATCH_UP_PAUSE);
        let misses = self.has_gap || lasts(self.awaited_since()) || lasts(self.differs_since);
        misses && is_rested
    }
}
