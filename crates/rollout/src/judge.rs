//! Sequential test of whether a new version does worse than the old one.
//!
//! For failures and for each step of slowness, a likelihood ratio compares a mixture of
//! worse versions with a version as good as the old one, given the outcomes of the new
//! version. The ratio may be evaluated after every response: for a version as good as the
//! old one it exceeds a bound `b` with a probability of at most `1/b`, however often it is
//! evaluated. Versions that turn bad late are found by ratios over windows, of which one
//! starts every two seconds.
//!
//! The outcomes of the new version in a slice of time are compared with those of the old
//! one in the same slice: during a shift, a load peak while most requests go to the new
//! version would otherwise count against it.
//!
//! Both versions may have faulty servers. New servers are counted in groups, and no group
//! counts for much more than the median group, so that a few faulty servers do not decide
//! about their version.

use crate::evidence::{
    EvidenceCounts, EvidenceScope, GROUPS, RolloutEvidence, RouteCounts, SLOW_RATIOS,
};
use crate::history::RouteHistory;
use crate::record::RolloutReason;

/// Logarithm of the likelihood ratio from which a version is bad: a million to one, since
/// hundreds of ratios are evaluated for every route.
const BAD_WEIGHT: f64 = 13.8;
/// The same from which a version does not count as proved: a hundred and fifty to one.
const UNPROVED_WEIGHT: f64 = 5.0;
/// Share of responses by which a version must be shown not to be worse before it takes over,
/// and the logarithm of the likelihood ratio that shows it.
const EXCLUDED_SHARE: f64 = 0.25;
const EXCLUDED_WEIGHT: f64 = -1.0;
/// Shares of responses by which the new version may be worse: the mixture of the test.
const WORSE_SHARES: [f64; 5] = [0.02, 0.05, 0.1, 0.25, 0.5];
/// Tolerated excess of the new version's share of bad responses.
const MARGIN: f64 = 0.005;
/// Standard deviations that are added to the old version's share of bad responses, which may
/// be underestimated.
const OLD_DEVIATIONS: f64 = 2.0;
/// Minimum number of groups for which the contribution of each is capped.
const MIN_GROUPS: usize = 3;
/// Cap on the bad responses of a group: a constant, plus a factor times the median group's
/// share.
const GROUP_EXTRA: f64 = 0.5;
const GROUP_FACTOR: f64 = 1.25;
/// Responses of the old version over all time that are added to those of a slice: few
/// responses in a slice carry little information.
const OVERALL_ANSWERS: f64 = 20.0;
/// Maximum number of new responses per old response that count for slowness in a slice.
const NEW_PER_OLD: f64 = 4.0;

/// Metric by which a version is bad.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BadMetric {
    /// Share of failures.
    Failures,
    /// Share of slow responses.
    Slowness,
}

impl BadMetric {
    /// The reason written to the record.
    pub const fn reason(self) -> RolloutReason {
        match self {
            Self::Failures => RolloutReason::Failures,
            Self::Slowness => RolloutReason::Slowness,
        }
    }
}

/// Evidence against a version.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RolloutJudgement {
    /// Logarithm of the largest likelihood ratio.
    pub weight: f64,
    /// Metric with this ratio.
    pub metric: Option<BadMetric>,
    /// Responses of the new version so far.
    pub answers: u64,
    /// Responses of the old version so far.
    pub old_answers: u64,
    /// Whether a much worse version would have been detected by now.
    pub is_excluded: bool,
}

impl RolloutJudgement {
    /// Metric by which the version is bad, if it is.
    pub fn bad(&self) -> Option<BadMetric> {
        self.metric.filter(|_| self.weight >= BAD_WEIGHT)
    }

    /// Whether there is little evidence against the version, and enough to exclude that it
    /// is much worse.
    pub fn is_clear(&self) -> bool {
        self.weight < UNPROVED_WEIGHT && self.is_excluded
    }

    /// Merges another judgement of the version; the larger ratio is kept.
    pub(crate) fn merge(&mut self, other: &Self) {
        if let Some(metric) = other.metric {
            self.raise(other.weight, metric);
        }
    }

    fn raise(&mut self, weight: f64, metric: BadMetric) {
        if weight > self.weight {
            self.weight = weight;
            self.metric = Some(metric);
        }
    }
}

/// Judges a version by all evidence as a single slice of time.
///
/// ```
/// use onyxfall_rollout::{ResponseOutcome, RolloutEvidence, VersionSide, judge};
/// let mut evidence = RolloutEvidence::new("svc");
/// evidence.add_route(&"r".parse().unwrap());
/// for number in 0..200 {
///     let good = ResponseOutcome::Succeeded { ratio: Some(1.0) };
///     evidence.record("r", VersionSide::Old, 0, good);
///     evidence.record("r", VersionSide::New, number, ResponseOutcome::Failed);
/// }
/// assert!(judge(&evidence).bad().is_some());
/// ```
pub fn judge(evidence: &RolloutEvidence) -> RolloutJudgement {
    let counts = evidence.counts(EvidenceScope::Fleet);
    let histories = counts.values().map(RouteHistory::undivided);
    judge_histories(&histories.collect::<Vec<_>>())
}

/// Judges a version by the histories of all routes, each one and their sum.
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
    judgement.raise(weight, BadMetric::Failures);
    for step in 0..SLOW_RATIOS.len() {
        let weight = weigh(history, BadMetric::Slowness, slow_from(step));
        judgement.raise(weight, BadMetric::Slowness);
    }
}

fn failures(counts: &EvidenceCounts) -> BadShare {
    BadShare::new(counts.answers, counts.failures)
}

/// Responses that reached a step of slowness.
fn slow_from(step: usize) -> impl Fn(&EvidenceCounts) -> BadShare {
    move |counts| BadShare::new(counts.timed, counts.slow[step])
}

/// Whether it is unlikely that a much worse version has such outcomes.
fn excludes_worse(
    history: &RouteHistory,
    metric: BadMetric,
    share: impl Fn(&EvidenceCounts) -> BadShare,
) -> bool {
    let new = share(&history.total.all_new());
    // Without known times, the version is not judged by slowness.
    if share(&history.total.old).upper_bound() >= 1.0 || new.all <= 0.0 {
        return true;
    }
    let kept = kept_share(&history.total, &share);
    let sums = slice_sums(history, metric, &share, &[EXCLUDED_SHARE]);
    sums.first()
        .is_some_and(|sum| sum[0].ratio(kept) <= EXCLUDED_WEIGHT)
}

/// Logarithm of the largest likelihood ratio for a mixture of worse versions, over the whole
/// rollout and over each window.
fn weigh(
    history: &RouteHistory,
    metric: BadMetric,
    share: impl Fn(&EvidenceCounts) -> BadShare,
) -> f64 {
    let sums = slice_sums(history, metric, &share, &WORSE_SHARES);
    let windows = history
        .windows
        .iter()
        .map(|(first, counts)| (*first, counts));
    let weights = windows.chain([(0, &history.total)]).map(|(first, counts)| {
        let kept = kept_share(counts, &share);
        sums.get(first)
            .map_or(0.0, |sums| mixture(sums.iter().map(|sum| sum.ratio(kept))))
    });
    weights.fold(0.0, f64::max)
}

/// Logarithm of the mean of ratios, which are given by their logarithms.
fn mixture(ratios: impl Iterator<Item = f64> + Clone) -> f64 {
    let largest = ratios.clone().fold(f64::MIN, f64::max);
    let (sum, count) = ratios.fold((0.0, 0.0), |(sum, count), ratio: f64| {
        (sum + (ratio - largest).exp(), count + 1.0)
    });
    largest + (sum / count).ln()
}

/// Number of bad responses among all.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct BadShare {
    all: f64,
    bad: f64,
}

impl BadShare {
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

    fn share(self) -> f64 {
        self.bad / self.all.max(1.0)
    }

    /// The same share of bad responses among `all` responses.
    fn scaled_to(self, all: f64) -> Self {
        Self {
            all,
            bad: self.share() * all,
        }
    }

    /// Upper bound on the old version's likely share.
    fn upper_bound(self) -> f64 {
        let all = self.all.max(1.0);
        let share = self.share();
        let deviation = (share * (1.0 - share) / all).sqrt();
        (share + OLD_DEVIATIONS * deviation + OLD_DEVIATIONS / all + MARGIN).min(1.0)
    }
}

/// Sums over slices of time that give the logarithm of a likelihood ratio for any kept
/// share of the bad responses (see [`kept_share`]).
#[derive(Clone, Copy, Debug, Default)]
struct RatioSums {
    /// Contribution of the bad responses.
    bad: f64,
    /// Logarithm of the ratio if all responses were good.
    good: f64,
}

impl RatioSums {
    /// Adds responses, for a version that is worse by `worse` than one with the bad share
    /// `baseline`.
    fn add(&mut self, answers: BadShare, baseline: f64, worse: f64) {
        let share = baseline + worse * (1.0 - baseline);
        let by_good = ((1.0 - share) / (1.0 - baseline)).ln();
        self.bad += answers.bad * ((share / baseline).ln() - by_good);
        self.good += answers.all * by_good;
    }

    fn ratio(self, kept: f64) -> f64 {
        self.bad * kept + self.good
    }
}

/// Sums for each of `worse`, from each slice to the last one.
fn slice_sums<const N: usize>(
    history: &RouteHistory,
    metric: BadMetric,
    share: &impl Fn(&EvidenceCounts) -> BadShare,
    worse: &[f64; N],
) -> Vec<[RatioSums; N]> {
    let overall = share(&history.total.old);
    let mut sums = vec![[RatioSums::default(); N]; history.slices.len()];
    let mut later = [RatioSums::default(); N];
    for (slice, sum) in history.slices.iter().zip(&mut sums).rev() {
        let old = share(&slice.old);
        let new = comparable(metric, old, share(&slice.new));
        let baseline = baseline_share(metric, overall, old);
        if baseline < 1.0 && new.all > 0.0 {
            for (sum, worse) in later.iter_mut().zip(worse) {
                sum.add(new, baseline, *worse);
            }
        }
        *sum = later;
    }
    sums
}

/// Limits the new version's responses of a slice to a number that the old version's
/// responses can be compared with. A load peak slows all servers, so that slowness implies
/// nothing without responses of the old version.
fn comparable(metric: BadMetric, old: BadShare, new: BadShare) -> BadShare {
    let most = match metric {
        BadMetric::Failures => f64::INFINITY,
        BadMetric::Slowness => NEW_PER_OLD * old.all,
    };
    new.scaled_to(new.all.min(most))
}

/// Share of bad responses that a good version may have in a slice of time, by the old
/// version's responses in the slice and over all time.
fn baseline_share(metric: BadMetric, overall: BadShare, slice: BadShare) -> f64 {
    let least = overall.upper_bound();
    let joined = slice.plus(overall.scaled_to(OVERALL_ANSWERS.min(overall.all)));
    match metric {
        // Servers of both versions rarely fail at the same time; if they do, the old
        // version's share exceeds its overall bound.
        BadMetric::Failures if slice.share() <= least => least,
        BadMetric::Failures | BadMetric::Slowness => joined.upper_bound().max(least),
    }
}

/// Share of the new version's bad responses that is kept, with the contribution of each group
/// of servers capped relative to the median group.
fn kept_share(counts: &RouteCounts, share: &impl Fn(&EvidenceCounts) -> BadShare) -> f64 {
    let groups: [BadShare; GROUPS] = std::array::from_fn(|group| share(&counts.new[group]));
    let mut shares: Vec<f64> = groups
        .iter()
        .filter(|group| group.all > 0.0)
        .map(|group| group.bad / group.all)
        .collect();
    if shares.len() < MIN_GROUPS {
        return 1.0;
    }
    shares.sort_unstable_by(f64::total_cmp);
    let median = shares[(shares.len() - 1) / 2];
    let most = |group: &BadShare| GROUP_EXTRA + GROUP_FACTOR * median * group.all;
    let kept: f64 = groups.iter().map(|group| group.bad.min(most(group))).sum();
    let bad: f64 = groups.iter().map(|group| group.bad).sum();
    if bad > 0.0 { kept / bad } else { 1.0 }
}
