//! What is known of one request, and of one life of a server.
//!
//! What speaks against them and what clears them is ordered by counters and not by times:
//! a time that is told by several ways is a little later by each, so that the word of an
//! old crash would pass for one after the sign of life that cleared it, and go round for
//! ever. On a day with broken connections such news between 68 VMs cost a tenth of the
//! day's worth in bytes between regions.

use std::collections::BTreeMap;

use onyxfall_policy::Moment;

use crate::life::InstanceTag;

/// Crashes that are kept of one request; more change no verdict.
const MOST_CRASHES: usize = 8;

/// A life of a server that broke off.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct InstanceRecord {
    /// How often it gave a sign of life after it had broken off.
    pub(crate) survivals: u32,
    /// When it broke off since the last of these, if it did.
    pub(crate) lost: Option<Moment>,
    /// When news of it last came; it is forgotten by that, and one that is only known to
    /// have survived has no other moment.
    pub(crate) noted: Moment,
    /// Number of the last change.
    pub(crate) changed: u64,
}

impl InstanceRecord {
    /// Notes that it broke off, or not, after it had survived so often; whether that is
    /// news.
    pub(crate) fn note(&mut self, survivals: u32, lost: Option<Moment>) -> bool {
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

    /// Notes a sign of life at `at`; whether that is news: bytes that had arrived before
    /// it broke off are still read for a while.
    pub(crate) fn record_liveness(&mut self, at: Moment) -> bool {
        let is_news = self
            .lost
            .is_some_and(|lost| at > lost + crate::table::SETTLE);
        if is_news {
            self.survivals += 1;
            self.lost = None;
        }
        is_news
    }
}

/// A life that broke off under a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CrashRecord {
    /// When.
    pub(crate) at: Moment,
    /// How often the life had survived before.
    pub(crate) survivals: u32,
}

/// A request that was on servers that broke off.
#[derive(Clone, Debug, Default)]
pub(crate) struct SuspectRecord {
    /// How often it ran to a good end after servers had broken off under it.
    pub(crate) good_runs: u32,
    /// The lives that broke off under it since.
    crashes: BTreeMap<InstanceTag, CrashRecord>,
    /// When one last did.
    newest: Moment,
    /// Number of the last change.
    pub(crate) changed: u64,
}

impl SuspectRecord {
    /// The lives that broke off under it since its last good run.
    pub(crate) fn crashes(&self) -> impl Iterator<Item = (InstanceTag, CrashRecord)> {
        self.crashes.iter().map(|(life, crash)| (*life, *crash))
    }

    /// Number of these.
    pub(crate) fn len(&self) -> usize {
        self.crashes.len()
    }

    /// Whether it was on a life when that broke off.
    pub(crate) fn was_on(&self, life: InstanceTag) -> bool {
        self.crashes.contains_key(&life)
    }

    /// When a server last broke off under it.
    pub(crate) fn newest(&self) -> Moment {
        self.newest
    }

    /// Takes a number of good runs; those that are told with more of them than are known
    /// here clear what is known. Whether that is news.
    pub(crate) fn note_good_runs(&mut self, good_runs: u32) -> bool {
        let is_news = good_runs > self.good_runs;
        if is_news {
            self.good_runs = good_runs;
            self.crashes.clear();
        }
        is_news
    }

    /// Notes that it was on a life that broke off; whether that is news.
    pub(crate) fn record_crash(&mut self, life: InstanceTag, crash: CrashRecord) -> bool {
        if let Some(known) = self.crashes.get_mut(&life) {
            let is_later = crash.survivals > known.survivals;
            let is_earlier = crash.survivals == known.survivals && crash.at < known.at;
            if is_later || is_earlier {
                *known = crash;
            }
            return is_later || is_earlier;
        }
        if self.crashes.len() >= MOST_CRASHES {
            return false;
        }
        self.newest = self.newest.max(crash.at);
        self.crashes.insert(life, crash);
        true
    }
}
