//! Whether a new version does worse than the old one.
//!
//! For failures and for each step of slowness, a likelihood ratio compares what the new
//! version did with what a version as good as the old one would do, against a mixture of
//! worse ones. It may be looked at after every answer: a version as good as the old one
//! brings it over a bound `b` with a chance of at most `1/b`, however often it is looked at.
//! Versions that turn bad late are found by ratios that begin anew each other second.
//!
//! Servers that fail by themselves are on both sides. New servers are counted in groups,
//! and none counts for much more than the middle one, so that a few of them do not speak
//! for their version.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use onyxfall_policy::Moment;
use onyxfall_types::RouteName;

use crate::evidence::{
    EvidenceCounts, EvidenceScope, GROUPS, RolloutEvidence, RouteCounts, SLOW_RATIOS,
};
use crate::record::RolloutReason;

/// Logarithm of the likelihood ratio from which a version is bad: a million to one, since
/// every route is looked at in hundreds of ways.
const BAD_WEIGHT: f64 = 13.8;
/// The same from which it is not proved: a hundred and fifty to one.
const DOUBT_WEIGHT: f64 = 5.0;
/// Part of answers by which a version must be shown not to be worse before it takes over,
/// and logarithm of the likelihood ratio that shows it.
const EXCLUDED_PART: f64 = 0.25;
const EXCLUDED_WEIGHT: f64 = -1.0;
/// Parts of answers by which the new version may be worse.
const WORSE_PARTS: [f64; 5] = [0.02, 0.05, 0.1, 0.25, 0.5];
/// Part of bad answers beyond that of the old version which is no worse.
const MARGIN: f64 = 0.005;
/// Standard deviations of the old version's part that it may be underestimated by.
const OLD_DEVIATIONS: f64 = 2.0;
/// Groups of servers from which one of them is told from the others.
const LEAST_GROUPS: usize = 3;
/// Bad answers of a group that count in any case, and times the middle group's part.
const GROUP_EXTRA: f64 = 0.5;
const GROUP_TIMES: f64 = 1.25;
/// Time between two beginnings of ratios, and the number of them that are kept.
const WINDOW_STEP: Duration = Duration::from_secs(2);
const WINDOWS: usize = 6;

/// In which way a version is bad.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BadMetric {
    /// More of its answers are failures.
    Failures,
    /// More of its answers are slow.
    Slowness,
}

impl BadMetric {
    /// The reason that a record gives.
    pub const fn reason(self) -> RolloutReason {
        match self {
            Self::Failures => RolloutReason::Failures,
            Self::Slowness => RolloutReason::Slowness,
        }
    }
}

/// What speaks against a version.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RolloutJudgement {
    /// Logarithm of the largest likelihood ratio.
    pub weight: f64,
    /// What it is about.
    pub metric: Option<BadMetric>,
    /// Answers of the new version so far.
    pub answers: u64,
    /// Answers of the old version so far.
    pub old_answers: u64,
    /// Whether a much worse version would have shown by now.
    pub is_excluded: bool,
}

impl RolloutJudgement {
    /// In which way the version is bad, if it is.
    pub fn bad(&self) -> Option<BadMetric> {
        self.metric.filter(|_| self.weight >= BAD_WEIGHT)
    }

    /// Whether nothing speaks against it, and much would if it were much worse.
    pub fn is_clear(&self) -> bool {
        self.weight < DOUBT_WEIGHT && self.is_excluded
    }

    /// Takes what speaks more against the version.
    fn join(&mut self, other: &Self) {
        if let Some(metric) = other.metric {
            self.take(other.weight, metric);
        }
    }

    fn take(&mut self, weight: f64, metric: BadMetric) {
        if weight > self.weight {
            self.weight = weight;
            self.metric = Some(metric);
        }
    }
}

/// Counts at earlier moments, from which ratios begin anew.
#[derive(Clone, Debug, Default)]
struct CountWindows {
    begun: VecDeque<BTreeMap<RouteName, RouteCounts>>,
    last: Option<Moment>,
}

impl CountWindows {
    fn note(&mut self, now: Moment, counts: &BTreeMap<RouteName, RouteCounts>) {
        if self.last.is_some_and(|last| now - last < WINDOW_STEP) {
            return;
        }
        self.last = Some(now);
        self.begun.push_back(counts.clone());
        if self.begun.len() > WINDOWS {
            self.begun.pop_front();
        }
    }

    /// Judges counts from their beginning and from each moment that is kept.
    fn judge(
        &mut self,
        now: Moment,
        counts: &BTreeMap<RouteName, RouteCounts>,
    ) -> RolloutJudgement {
        self.note(now, counts);
        let mut judgement = judge_counts(counts);
        for begun in &self.begun {
            let none = RouteCounts::default();
            let since = counts.iter().map(|(route, counts)| {
                let before = begun.get(route).unwrap_or(&none);
                (route.clone(), counts.since(before))
            });
            judgement.join(&judge_counts(&since.collect()));
        }
        judgement
    }
}

/// The same of this region and of all.
#[derive(Clone, Debug, Default)]
pub(crate) struct EvidenceWindows {
    region: CountWindows,
    fleet: CountWindows,
}

impl EvidenceWindows {
    /// Judges a version by what this region has seen, and by what all have.
    pub(crate) fn judge(&mut self, now: Moment, evidence: &RolloutEvidence) -> RolloutJudgement {
        let region = evidence.counts(EvidenceScope::Region);
        let fleet = evidence.counts(EvidenceScope::Fleet);
        let mut judgement = self.fleet.judge(now, &fleet);
        judgement.join(&self.region.judge(now, &region));
        judgement
    }
}

/// Judges all of the evidence.
///
/// ```
/// use onyxfall_rollout::{AnswerOutcome, RolloutEvidence, VersionSide, judge};
/// let mut evidence = RolloutEvidence::new("svc");
/// evidence.add_route(&"r".parse().unwrap());
/// for number in 0..200 {
///     let good = AnswerOutcome::Succeeded { ratio: Some(1.0) };
///     evidence.note("r", VersionSide::Old, 0, good);
///     evidence.note("r", VersionSide::New, number, AnswerOutcome::Failed);
/// }
/// assert!(judge(&evidence).bad().is_some());
/// ```
pub fn judge(evidence: &RolloutEvidence) -> RolloutJudgement {
    judge_counts(&evidence.counts(EvidenceScope::Fleet))
}

fn judge_counts(counts: &BTreeMap<RouteName, RouteCounts>) -> RolloutJudgement {
    let none = RouteCounts::default();
    let all = counts.values().fold(none, |sum, counts| sum.plus(counts));
    let mut judgement = RolloutJudgement {
        answers: all.all_new().answers,
        old_answers: all.old.answers,
        is_excluded: excludes_worse(&all, failures) && excludes_worse(&all, slow_from(0)),
        ..RolloutJudgement::default()
    };
    for counts in counts.values().chain([&all]) {
        judge_route(counts, &mut judgement);
    }
    judgement
}

fn judge_route(counts: &RouteCounts, judgement: &mut RolloutJudgement) {
    judgement.take(weigh(counts, failures), BadMetric::Failures);
    for step in 0..SLOW_RATIOS.len() {
        judgement.take(weigh(counts, slow_from(step)), BadMetric::Slowness);
    }
}

fn failures(counts: &EvidenceCounts) -> BadPart {
    BadPart::new(counts.answers, counts.failures)
}

/// Answers that reached a step of slowness.
fn slow_from(step: usize) -> impl Fn(&EvidenceCounts) -> BadPart {
    move |counts| BadPart::new(counts.timed, counts.slow[step])
}

/// Whether a version that is much worse is unlikely to have done so well.
fn excludes_worse(counts: &RouteCounts, part: impl Fn(&EvidenceCounts) -> BadPart) -> bool {
    let usual = part(&counts.old).likely_most();
    let new = kept_groups(counts, &part);
    // Nothing is known of the time of its answers: they are not what it is judged by.
    usual >= 1.0 || new.all <= 0.0 || new.ratio(usual, EXCLUDED_PART) <= EXCLUDED_WEIGHT
}

/// Bad answers among all.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct BadPart {
    all: f64,
    bad: f64,
}

impl BadPart {
    fn new(all: u64, bad: u64) -> Self {
        Self {
            all: all as f64,
            bad: bad as f64,
        }
    }

    fn plus(self, other: Self) -> Self {
        Self {
            all: self.all + other.all,
            bad: self.bad + other.bad,
        }
    }

    /// The largest part that the old version is likely to have.
    fn likely_most(self) -> f64 {
        let all = self.all.max(1.0);
        let part = self.bad / all;
        let deviation = (part * (1.0 - part) / all).sqrt();
        (part + OLD_DEVIATIONS * deviation + OLD_DEVIATIONS / all + MARGIN).min(1.0)
    }

    /// Logarithm of the likelihood ratio of a version that is worse by a part against one
    /// with `usual` bad answers.
    fn ratio(self, usual: f64, worse: f64) -> f64 {
        let part = usual + worse * (1.0 - usual);
        let good = (self.all - self.bad).max(0.0);
        self.bad * (part / usual).ln() + good * ((1.0 - part) / (1.0 - usual)).ln()
    }

    /// The same of a mixture of worse versions.
    fn weight(self, usual: f64) -> f64 {
        if usual >= 1.0 || self.all <= 0.0 {
            return 0.0;
        }
        let ratios = WORSE_PARTS.map(|worse| self.ratio(usual, worse));
        let largest = ratios.iter().copied().fold(f64::MIN, f64::max);
        let sum: f64 = ratios.iter().map(|ratio| (ratio - largest).exp()).sum();
        largest + (sum / WORSE_PARTS.len() as f64).ln()
    }
}

fn weigh(counts: &RouteCounts, part: impl Fn(&EvidenceCounts) -> BadPart) -> f64 {
    let usual = part(&counts.old).likely_most();
    kept_groups(counts, &part).weight(usual)
}

/// What the new version did, where no group of its servers counts for much more than the
/// middle one.
fn kept_groups(counts: &RouteCounts, part: &impl Fn(&EvidenceCounts) -> BadPart) -> BadPart {
    let groups: [BadPart; GROUPS] = std::array::from_fn(|group| part(&counts.new[group]));
    let mut parts: Vec<f64> = groups
        .iter()
        .filter(|group| group.all > 0.0)
        .map(|group| group.bad / group.all)
        .collect();
    parts.sort_unstable_by(f64::total_cmp);
    let middle = parts.get(parts.len().saturating_sub(1) / 2).copied();
    let middle = middle.filter(|_| parts.len() >= LEAST_GROUPS);
    let bounded = |group: &BadPart| BadPart {
        bad: middle.map_or(group.bad, |middle| {
            let most = GROUP_EXTRA + GROUP_TIMES * middle * group.all;
            group.bad.min(most)
        }),
        ..*group
    };
    let none = BadPart::default();
    groups
        .iter()
        .fold(none, |sum, group| sum.plus(bounded(group)))
}
