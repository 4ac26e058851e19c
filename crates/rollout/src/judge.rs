//! Whether a new version does worse than the old one.
//!
//! For failures and for each step of slowness, a likelihood ratio compares what the new
//! version did with what a version as good as the old one would do, against a mixture of
//! worse ones. It may be looked at after every answer: a version as good as the old one
//! brings it over a bound `b` with a chance of at most `1/b`, however often it is looked at.
//! Versions that turn bad late are found by ratios that begin anew each other second.
//!
//! What the new version did in a slice of time is compared with what the old one did in the
//! same slice: requests move from one to the other, and a rush while most of them are at
//! the new one would speak against it.
//!
//! Servers that fail by themselves are on both sides. New servers are counted in groups,
//! and none counts for much more than the middle one, so that a few of them do not speak
//! for their version.

use crate::evidence::{
    EvidenceCounts, EvidenceScope, GROUPS, RolloutEvidence, RouteCounts, SLOW_RATIOS,
};
use crate::history::RouteHistory;
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
/// Answers of the old version at any time that are added to those of a slice of time: where
/// it got few then, these say little.
const ALWAYS_ANSWERS: f64 = 20.0;
/// Answers of the new version to one of the old that count for slowness in a slice.
const NEW_PER_OLD: f64 = 4.0;

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
    pub(crate) fn join(&mut self, other: &Self) {
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

/// Judges all of the evidence.
///
/// ```
/// use onyxfall_rollout::{ResponseOutcome, RolloutEvidence, VersionSide, judge};
/// let mut evidence = RolloutEvidence::new("svc");
/// evidence.add_route(&"r".parse().unwrap());
/// for number in 0..200 {
///     let good = ResponseOutcome::Succeeded { ratio: Some(1.0) };
///     evidence.note("r", VersionSide::Old, 0, good);
///     evidence.note("r", VersionSide::New, number, ResponseOutcome::Failed);
/// }
/// assert!(judge(&evidence).bad().is_some());
/// ```
pub fn judge(evidence: &RolloutEvidence) -> RolloutJudgement {
    let counts = evidence.counts(EvidenceScope::Fleet);
    let histories = counts.values().map(RouteHistory::undivided);
    judge_histories(&histories.collect::<Vec<_>>())
}

/// Judges the histories of all routes.
pub(crate) fn judge_histories(routes: &[RouteHistory]) -> RolloutJudgement {
    let none = RouteHistory::default();
    let all = routes.iter().fold(none, RouteHistory::plus);
    let mut judgement = RolloutJudgement {
        answers: all.total.all_new().answers,
        old_answers: all.total.old.answers,
        is_excluded: excludes_worse(&all, BadMetric::Failures, failures)
            && excludes_worse(&all, BadMetric::Slowness, slow_from(0)),
        ..RolloutJudgement::default()
    };
    for history in routes.iter().chain([&all]) {
        judge_route(history, &mut judgement);
    }
    judgement
}

fn judge_route(history: &RouteHistory, judgement: &mut RolloutJudgement) {
    let weight = weigh(history, BadMetric::Failures, failures);
    judgement.take(weight, BadMetric::Failures);
    for step in 0..SLOW_RATIOS.len() {
        let weight = weigh(history, BadMetric::Slowness, slow_from(step));
        judgement.take(weight, BadMetric::Slowness);
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
fn excludes_worse(
    history: &RouteHistory,
    metric: BadMetric,
    part: impl Fn(&EvidenceCounts) -> BadPart,
) -> bool {
    let new = part(&history.total.all_new());
    // Nothing is known of the time of its answers: they are not what it is judged by.
    if part(&history.total.old).likely_most() >= 1.0 || new.all <= 0.0 {
        return true;
    }
    let kept = kept_part(&history.total, &part);
    let sums = slice_sums(history, metric, &part, &[EXCLUDED_PART]);
    sums.first()
        .is_some_and(|sum| sum[0].ratio(kept) <= EXCLUDED_WEIGHT)
}

/// Logarithm of the largest likelihood ratio of a mixture of worse versions, from the
/// beginning and from each moment at which ratios begin anew.
fn weigh(
    history: &RouteHistory,
    metric: BadMetric,
    part: impl Fn(&EvidenceCounts) -> BadPart,
) -> f64 {
    let sums = slice_sums(history, metric, &part, &WORSE_PARTS);
    let begun = history.begun.iter().map(|(first, counts)| (*first, counts));
    let weights = begun.chain([(0, &history.total)]).map(|(first, counts)| {
        let kept = kept_part(counts, &part);
        sums.get(first)
            .map_or(0.0, |sums| mixture(sums.iter().map(|sum| sum.ratio(kept))))
    });
    weights.fold(0.0, f64::max)
}

/// Logarithm of the mean of the ratios with such logarithms.
fn mixture(ratios: impl Iterator<Item = f64> + Clone) -> f64 {
    let largest = ratios.clone().fold(f64::MIN, f64::max);
    let (sum, count) = ratios.fold((0.0, 0.0), |(sum, count), ratio: f64| {
        (sum + (ratio - largest).exp(), count + 1.0)
    });
    largest + (sum / count).ln()
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

    fn part(self) -> f64 {
        self.bad / self.all.max(1.0)
    }

    /// As many answers with the bad part of others.
    fn like(self, all: f64) -> Self {
        Self {
            all,
            bad: self.part() * all,
        }
    }

    /// The largest part that the old version is likely to have.
    fn likely_most(self) -> f64 {
        let all = self.all.max(1.0);
        let part = self.part();
        let deviation = (part * (1.0 - part) / all).sqrt();
        (part + OLD_DEVIATIONS * deviation + OLD_DEVIATIONS / all + MARGIN).min(1.0)
    }
}

/// Sums over slices of time from which the logarithm of a likelihood ratio follows,
/// whatever part of the bad answers counts.
#[derive(Clone, Copy, Debug, Default)]
struct RatioSums {
    /// What the bad answers add.
    bad: f64,
    /// What it would be if all answers were good.
    good: f64,
}

impl RatioSums {
    /// Adds answers, by a version that is worse by a part than one with `usual` bad ones.
    fn add(&mut self, answers: BadPart, usual: f64, worse: f64) {
        let part = usual + worse * (1.0 - usual);
        let by_good = ((1.0 - part) / (1.0 - usual)).ln();
        self.bad += answers.bad * ((part / usual).ln() - by_good);
        self.good += answers.all * by_good;
    }

    fn ratio(self, kept: f64) -> f64 {
        self.bad * kept + self.good
    }
}

/// The sums for each of `worse` from each slice to the last one.
fn slice_sums<const N: usize>(
    history: &RouteHistory,
    metric: BadMetric,
    part: &impl Fn(&EvidenceCounts) -> BadPart,
    worse: &[f64; N],
) -> Vec<[RatioSums; N]> {
    let always = part(&history.total.old);
    let mut sums = vec![[RatioSums::default(); N]; history.slices.len()];
    let mut later = [RatioSums::default(); N];
    for (slice, sum) in history.slices.iter().zip(&mut sums).rev() {
        let old = part(&slice.old);
        let new = comparable(metric, old, part(&slice.new));
        let usual = usual_part(metric, always, old);
        if usual < 1.0 && new.all > 0.0 {
            for (sum, worse) in later.iter_mut().zip(worse) {
                sum.add(new, usual, *worse);
            }
        }
        *sum = later;
    }
    sums
}

/// As many of the new version's answers of a slice as the old one's say something of. A
/// rush slows all servers, so that without the old ones nothing is known of slowness.
fn comparable(metric: BadMetric, old: BadPart, new: BadPart) -> BadPart {
    let most = match metric {
        BadMetric::Failures => f64::INFINITY,
        BadMetric::Slowness => NEW_PER_OLD * old.all,
    };
    new.like(new.all.min(most))
}

/// The part of bad answers that a good version may have in a slice of time, by what the old
/// one did then and always.
fn usual_part(metric: BadMetric, always: BadPart, then: BadPart) -> f64 {
    let least = always.likely_most();
    let joined = then.plus(always.like(ALWAYS_ANSWERS.min(always.all)));
    match metric {
        // Servers of both versions rarely fail together, and then the old ones show it.
        BadMetric::Failures if then.part() <= least => least,
        BadMetric::Failures | BadMetric::Slowness => joined.likely_most().max(least),
    }
}

/// Part of the new version's bad answers that counts, where no group of its servers counts
/// for much more than the middle one.
fn kept_part(counts: &RouteCounts, part: &impl Fn(&EvidenceCounts) -> BadPart) -> f64 {
    let groups: [BadPart; GROUPS] = std::array::from_fn(|group| part(&counts.new[group]));
    let mut parts: Vec<f64> = groups
        .iter()
        .filter(|group| group.all > 0.0)
        .map(|group| group.bad / group.all)
        .collect();
    if parts.len() < LEAST_GROUPS {
        return 1.0;
    }
    parts.sort_unstable_by(f64::total_cmp);
    let middle = parts[(parts.len() - 1) / 2];
    let most = |group: &BadPart| GROUP_EXTRA + GROUP_TIMES * middle * group.all;
    let kept: f64 = groups.iter().map(|group| group.bad.min(most(group))).sum();
    let bad: f64 = groups.iter().map(|group| group.bad).sum();
    if bad > 0.0 { kept / bad } else { 1.0 }
}
