//! Counts of a rollout at earlier moments: the counts of each slice of time, and the starts
//! of the windows over which likelihood ratios are computed.
//!
//! Invariant: a window starts at the end of a slice.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use onyxfall_policy::Moment;
use onyxfall_types::RouteName;

use crate::evidence::{EvidenceCounts, EvidenceScope, RolloutEvidence, RouteCounts};
use crate::judge::{RolloutJudgement, judge_histories};

/// Shortest and longest slice of time over which both versions are compared, and the number
/// of responses that ends a slice between these: during a shift, the shares of both versions
/// change within tenths of a second, and few responses carry little information.
const MIN_SLICE: Duration = Duration::from_millis(200);
const MAX_SLICE: Duration = Duration::from_secs(1);
const SLICE_ANSWERS: u64 = 60;
/// Maximum number of slices; beyond it, adjacent slices are merged.
const MAX_SLICES: usize = 40;
/// Time between the starts of two windows, and the maximum number of windows.
const WINDOW_STEP: Duration = Duration::from_secs(2);
const MAX_WINDOWS: usize = 6;

/// Counts of both versions.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SideCounts {
    pub(crate) old: EvidenceCounts,
    pub(crate) new: EvidenceCounts,
}

impl SideCounts {
    fn of(counts: &RouteCounts) -> Self {
        Self {
            old: counts.old,
            new: counts.all_new(),
        }
    }

    fn plus(self, other: Self) -> Self {
        Self {
            old: self.old.plus(other.old),
            new: self.new.plus(other.new),
        }
    }

    fn since(self, before: Self) -> Self {
        Self {
            old: self.old.since(before.old),
            new: self.new.since(before.new),
        }
    }

    fn answers(self) -> u64 {
        self.old.answers + self.new.answers
    }

    /// Share of the responses that came from the new version.
    fn new_share(self) -> f64 {
        self.new.answers as f64 / self.answers().max(1) as f64
    }
}

/// Counts of a route over time.
#[derive(Clone, Debug, Default)]
pub(crate) struct RouteHistory {
    /// Counts from the start of the rollout.
    pub(crate) total: RouteCounts,
    /// Counts of each slice of time, the earliest first.
    pub(crate) slices: Vec<SideCounts>,
    /// Counts of each window, with the index of its first slice.
    pub(crate) windows: Vec<(usize, RouteCounts)>,
}

impl RouteHistory {
    /// A history with a single slice.
    pub(crate) fn undivided(total: &RouteCounts) -> Self {
        Self {
            total: *total,
            slices: vec![SideCounts::of(total)],
            windows: Vec::new(),
        }
    }

    /// Sum with another route over the same slices and windows.
    pub(crate) fn plus(self, other: &Self) -> Self {
        if self.slices.is_empty() {
            return other.clone();
        }
        let slices = self.slices.iter().zip(&other.slices);
        let windows = self.windows.iter().zip(&other.windows);
        Self {
            total: self.total.plus(&other.total),
            slices: slices.map(|(one, other)| one.plus(*other)).collect(),
            windows: windows
                .map(|((first, one), (_, other))| (*first, one.plus(other)))
                .collect(),
        }
    }
}

/// A value per route.
type RouteSums<T> = BTreeMap<RouteName, T>;

/// Counts at the end of a slice.
#[derive(Clone, Debug)]
struct SliceEnd {
    at: Moment,
    all: SideCounts,
    routes: RouteSums<SideCounts>,
}

impl SliceEnd {
    fn new(now: Moment, counts: &RouteSums<RouteCounts>) -> Self {
        let routes = counts.iter();
        let routes = routes.map(|(route, counts)| (route.clone(), SideCounts::of(counts)));
        Self {
            at: now,
            all: all_counts(counts),
            routes: routes.collect(),
        }
    }
}

fn all_counts(counts: &RouteSums<RouteCounts>) -> SideCounts {
    let sides = counts.values().map(SideCounts::of);
    sides.fold(SideCounts::default(), SideCounts::plus)
}

/// Counts at earlier moments, for one scope.
#[derive(Clone, Debug, Default)]
struct CountHistory {
    ends: VecDeque<SliceEnd>,
    /// Counts at the start of each window, which is the end of a slice.
    windows: VecDeque<(Moment, RouteSums<RouteCounts>)>,
}

impl CountHistory {
    fn record(&mut self, now: Moment, counts: &RouteSums<RouteCounts>) {
        if !self.ends_slice(now, all_counts(counts)) {
            return;
        }
        self.ends.push_back(SliceEnd::new(now, counts));
        let last = self.windows.back();
        if last.is_none_or(|(at, _)| now - *at >= WINDOW_STEP) {
            self.windows.push_back((now, counts.clone()));
            if self.windows.len() > MAX_WINDOWS {
                self.windows.pop_front();
            }
        }
        if self.ends.len() > MAX_SLICES {
            self.merge_most_similar();
        }
    }

    fn ends_slice(&self, now: Moment, all: SideCounts) -> bool {
        let Some(end) = self.ends.back() else {
            return true;
        };
        let has_enough = all.since(end.all).answers() >= SLICE_ANSWERS;
        now - end.at >= if has_enough { MIN_SLICE } else { MAX_SLICE }
    }

    /// Merges the two adjacent slices with the most similar shares of the new version, which
    /// loses the least information.
    fn merge_most_similar(&mut self) {
        let mut merged = None;
        let mut least = f64::INFINITY;
        let mut start = SideCounts::default();
        for (index, (end, next)) in self.ends.iter().zip(self.ends.iter().skip(1)).enumerate() {
            let before = end.all.since(start).new_share();
            let after = next.all.since(end.all).new_share();
            let change = (after - before).abs();
            let is_window_start = self.windows.iter().any(|(at, _)| *at == end.at);
            if change < least && !is_window_start {
                (merged, least) = (Some(index), change);
            }
            start = end.all;
        }
        if let Some(index) = merged {
            self.ends.remove(index);
        }
    }

    fn route(&self, route: &RouteName, counts: &RouteCounts) -> RouteHistory {
        let mut before = SideCounts::default();
        let ends = self.ends.iter();
        let ends = ends.map(|end| end.routes.get(route).copied().unwrap_or_default());
        let slices = ends.chain([SideCounts::of(counts)]).map(|end| {
            let slice = end.since(before);
            before = end;
            slice
        });
        let windows = self.windows.iter().map(|(at, window)| {
            let start = window.get(route).copied().unwrap_or_default();
            let first = self.ends.partition_point(|end| end.at <= *at);
            (first, counts.since(&start))
        });
        RouteHistory {
            total: *counts,
            slices: slices.collect(),
            windows: windows.collect(),
        }
    }

    fn judge(&mut self, now: Moment, counts: &RouteSums<RouteCounts>) -> RolloutJudgement {
        self.record(now, counts);
        let routes = counts.iter();
        let routes = routes.map(|(route, counts)| self.route(route, counts));
        judge_histories(&routes.collect::<Vec<_>>())
    }
}

/// Counts of this region and of the whole fleet over time.
#[derive(Clone, Debug, Default)]
pub(crate) struct EvidenceHistory {
    region: CountHistory,
    fleet: CountHistory,
}

impl EvidenceHistory {
    /// Judges a version by the counts of this region and by those of the whole fleet.
    pub(crate) fn judge(&mut self, now: Moment, evidence: &RolloutEvidence) -> RolloutJudgement {
        let region = evidence.counts(EvidenceScope::Region);
        let fleet = evidence.counts(EvidenceScope::Fleet);
        let mut judgement = self.fleet.judge(now, &fleet);
        judgement.merge(&self.region.judge(now, &region));
        judgement
    }
}
