//! What a roll-out's counts were at earlier moments: what each slice of time has brought,
//! and where ratios begin anew.
//!
//! Invariant: a ratio begins at the end of a slice.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use onyxfall_policy::Moment;
use onyxfall_types::RouteName;

use crate::evidence::{EvidenceCounts, EvidenceScope, RolloutEvidence, RouteCounts};
use crate::judge::{RolloutJudgement, judge_histories};

/// Shortest and longest time in which both versions are compared, and answers that end it
/// between them: while traffic moves, the shares of both change within tenths of a second,
/// and few answers say little.
const LEAST_SLICE: Duration = Duration::from_millis(200);
const MOST_SLICE: Duration = Duration::from_secs(1);
const SLICE_ANSWERS: u64 = 60;
/// Number of such times that are kept apart; beyond, neighbours are joined.
const SLICES: usize = 40;
/// Time between two beginnings of ratios, and the number of them that are kept.
const WINDOW_STEP: Duration = Duration::from_secs(2);
const WINDOWS: usize = 6;

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

    /// Part of the answers that the new version gave.
    fn new_part(self) -> f64 {
        self.new.answers as f64 / self.answers().max(1) as f64
    }
}

/// Counts of a route by time.
#[derive(Clone, Debug, Default)]
pub(crate) struct RouteHistory {
    /// From the beginning.
    pub(crate) total: RouteCounts,
    /// What each slice of time has brought, the earliest first.
    pub(crate) slices: Vec<SideCounts>,
    /// Counts from later moments on, with the slice that each begins with.
    pub(crate) begun: Vec<(usize, RouteCounts)>,
}

impl RouteHistory {
    /// Counts of which nothing is known but their sum.
    pub(crate) fn undivided(total: &RouteCounts) -> Self {
        Self {
            total: *total,
            slices: vec![SideCounts::of(total)],
            begun: Vec::new(),
        }
    }

    /// The sum with another route of the same times.
    pub(crate) fn plus(self, other: &Self) -> Self {
        if self.slices.is_empty() {
            return other.clone();
        }
        let slices = self.slices.iter().zip(&other.slices);
        let begun = self.begun.iter().zip(&other.begun);
        Self {
            total: self.total.plus(&other.total),
            slices: slices.map(|(one, other)| one.plus(*other)).collect(),
            begun: begun
                .map(|((first, one), (_, other))| (*first, one.plus(other)))
                .collect(),
        }
    }
}

/// Counts of all routes.
type RouteSums<T> = BTreeMap<RouteName, T>;

/// Counts where a slice of time has ended.
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

/// Counts at earlier moments.
#[derive(Clone, Debug, Default)]
struct CountHistory {
    ends: VecDeque<SliceEnd>,
    /// Counts where ratios begin, at the ends of slices.
    begun: VecDeque<(Moment, RouteSums<RouteCounts>)>,
}

impl CountHistory {
    fn note(&mut self, now: Moment, counts: &RouteSums<RouteCounts>) {
        if !self.ends_slice(now, all_counts(counts)) {
            return;
        }
        self.ends.push_back(SliceEnd::new(now, counts));
        let begun = self.begun.back();
        if begun.is_none_or(|(at, _)| now - *at >= WINDOW_STEP) {
            self.begun.push_back((now, counts.clone()));
            if self.begun.len() > WINDOWS {
                self.begun.pop_front();
            }
        }
        if self.ends.len() > SLICES {
            self.join_alike();
        }
    }

    fn ends_slice(&self, now: Moment, all: SideCounts) -> bool {
        let Some(end) = self.ends.back() else {
            return true;
        };
        let has_enough = all.since(end.all).answers() >= SLICE_ANSWERS;
        now - end.at >= if has_enough { LEAST_SLICE } else { MOST_SLICE }
    }

    /// Joins the two neighbours in which the versions had the most alike shares, which
    /// loses least.
    fn join_alike(&mut self) {
        let mut joined = None;
        let mut least = f64::INFINITY;
        let mut start = SideCounts::default();
        for (index, (end, next)) in self.ends.iter().zip(self.ends.iter().skip(1)).enumerate() {
            let before = end.all.since(start).new_part();
            let after = next.all.since(end.all).new_part();
            let change = (after - before).abs();
            let is_begun = self.begun.iter().any(|(at, _)| *at == end.at);
            if change < least && !is_begun {
                (joined, least) = (Some(index), change);
            }
            start = end.all;
        }
        if let Some(index) = joined {
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
        let begun = self.begun.iter().map(|(at, begun)| {
            let before = begun.get(route).copied().unwrap_or_default();
            let first = self.ends.partition_point(|end| end.at <= *at);
            (first, counts.since(&before))
        });
        RouteHistory {
            total: *counts,
            slices: slices.collect(),
            begun: begun.collect(),
        }
    }

    fn judge(&mut self, now: Moment, counts: &RouteSums<RouteCounts>) -> RolloutJudgement {
        self.note(now, counts);
        let routes = counts.iter();
        let routes = routes.map(|(route, counts)| self.route(route, counts));
        judge_histories(&routes.collect::<Vec<_>>())
    }
}

/// The counts of this region and of all by time.
#[derive(Clone, Debug, Default)]
pub(crate) struct EvidenceHistory {
    region: CountHistory,
    fleet: CountHistory,
}

impl EvidenceHistory {
    /// Judges a version by what this region has seen, and by what all have.
    pub(crate) fn judge(&mut self, now: Moment, evidence: &RolloutEvidence) -> RolloutJudgement {
        let region = evidence.counts(EvidenceScope::Region);
        let fleet = evidence.counts(EvidenceScope::Fleet);
        let mut judgement = self.fleet.judge(now, &fleet);
        judgement.join(&self.region.judge(now, &region));
        judgement
    }
}
