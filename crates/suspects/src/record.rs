//! Records of one key and of one server instance.
//!
//! Crashes and the events that clear them are ordered by counters and not by times. A time
//! that is sent as an age over several hops becomes a little later with each hop: an old
//! crash would seem to follow the liveness signal that cleared it, and the update would
//! circulate forever. On a day with broken connections such updates between 68 VMs cost a
//! tenth of the day's value in inter-region traffic.

use std::collections::BTreeMap;
use std::time::Duration;

use onyxfall_policy::Moment;

use crate::instance::InstanceTag;

/// Maximum number of crashes kept per key. Verdicts need five; further ones explain the crashes of
/// other keys.
const MAX_CRASHES: usize = 16;

/// Record of a server instance whose connection was lost.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct InstanceRecord {
    /// Number of times a liveness signal of the instance followed a loss.
    pub(crate) survivals: u32,
    /// First loss after the last survival, if there was one.
    pub(crate) lost: Option<Moment>,
    /// When the record last changed. Expiry goes by this time, since a record that has only
    /// survivals has no other time.
    pub(crate) updated: Moment,
    /// Number of the record's last change.
    pub(crate) changed: u64,
}

impl InstanceRecord {
    /// Records that the instance was lost, or not, after so many survivals; returns whether
    /// that changed the record.
    pub(crate) fn record_loss(&mut self, survivals: u32, lost: Option<Moment>) -> bool {
        if survivals < self.survivals {
            return false;
        }
        let is_later = survivals > self.survivals;
        let is_earlier = lost.is_some_and(|at| self.lost.is_none_or(|known| at < known));
        if is_later {
            self.survivals = survivals;
            self.lost = lost;
        } else if is_earlier {
            self.lost = lost;
        }
        is_later || is_earlier
    }

    /// Records a liveness signal at `at`; returns whether that changed the record. Signals
    /// shortly after the loss do not count, since bytes received before the loss are still
    /// read for a while.
    pub(crate) fn record_liveness(&mut self, at: Moment) -> bool {
        let is_new = self
            .lost
            .is_some_and(|lost| at > lost + crate::table::LIVENESS_DELAY);
        if is_new {
            self.survivals += 1;
            self.lost = None;
        }
        is_new
    }
}

/// The loss of a server instance that was running a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CrashRecord {
    /// Time of the loss.
    pub(crate) at: Moment,
    /// Survivals of the instance before this loss.
    pub(crate) survivals: u32,
}

/// Record of a key of requests that were running on servers that were lost.
#[derive(Clone, Debug, Default)]
pub(crate) struct SuspectRecord {
    /// Number of times that a request with the key succeeded after losses of servers that were
    /// running one.
    pub(crate) good_runs: u32,
    /// Whether a request without the key has succeeded at the service between its crashes.
    pub(crate) has_control: bool,
    /// Instances lost while running the request, since its last success.
    crashes: BTreeMap<InstanceTag, CrashRecord>,
    /// Time of the latest of these losses.
    newest: Moment,
    /// Number of crashes that a good run has cleared.
    cleared: usize,
    /// When the record was first found without crashes.
    empty_since: Option<Moment>,
    /// Number of the record's last change.
    pub(crate) changed: u64,
}

impl SuspectRecord {
    /// Instances lost while running the request, since its last success.
    pub(crate) fn crashes(&self) -> impl Iterator<Item = (InstanceTag, CrashRecord)> {
        self.crashes
            .iter()
            .map(|(instance, crash)| (*instance, *crash))
    }

    /// Number of these instances.
    pub(crate) fn len(&self) -> usize {
        self.crashes.len()
    }

    /// When a server was last lost while running the request.
    pub(crate) fn newest(&self) -> Moment {
        self.newest
    }

    /// Number of crashes that a good run has cleared, and the time since that was first seen;
    /// none if there are crashes.
    pub(crate) fn cleared(&mut self, now: Moment) -> Option<(usize, Duration)> {
        if !self.crashes.is_empty() {
            self.empty_since = None;
            return None;
        }
        Some((self.cleared, now - *self.empty_since.get_or_insert(now)))
    }

    /// Applies a number of good runs: a number larger than the recorded one clears the
    /// recorded crashes. Returns whether that changed the record.
    pub(crate) fn record_good_runs(&mut self, good_runs: u32) -> bool {
        let is_new = good_runs > self.good_runs;
        if is_new {
            self.good_runs = good_runs;
            self.has_control = false;
            self.cleared = self.cleared.max(self.crashes.len());
            self.crashes.clear();
        }
        is_new
    }

    /// Records that the request was running on an instance that was lost; returns whether
    /// that changed the record.
    pub(crate) fn record_crash(&mut self, instance: InstanceTag, crash: CrashRecord) -> bool {
        if let Some(known) = self.crashes.get_mut(&instance) {
            let is_later = crash.survivals > known.survivals;
            let is_earlier = crash.survivals == known.survivals && crash.at < known.at;
            if is_later || is_earlier {
                *known = crash;
            }
            return is_later || is_earlier;
        }
        if self.crashes.len() >= MAX_CRASHES {
            return false;
        }
        self.newest = self.newest.max(crash.at);
        self.crashes.insert(instance, crash);
        true
    }
}
