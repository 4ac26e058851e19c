//! Comparison of two methods of judging a version: the likelihood ratio, which may be
//! evaluated at every moment, and a comparison over fixed windows.

use onyxfall_rollout::{EvidenceCounts, ResponseOutcome, RolloutEvidence, VersionSide, judge};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const ROUTE: &str = "r";
/// Evaluations per second, and duration of a run in seconds.
const EVALUATIONS: usize = 5;
const SECONDS: usize = 12;
/// Share of the requests that goes to the new version, and number of its servers.
const CANARY_SHARE: f64 = 0.05;
const SERVERS: u64 = 6;
/// Evaluations per window, and standard deviations from which a window gives a verdict.
const WINDOW: usize = 2 * EVALUATIONS;
const DEVIATIONS: f64 = 4.0;

struct MethodCase {
    name: &'static str,
    /// Requests per second.
    rate: f64,
    /// Share of failures of both versions, and additional share of the new one.
    baseline: f64,
    extra: f64,
    runs: u64,
}

/// Results of a method over the runs of a case.
#[derive(Debug, Default)]
struct MethodResult {
    verdicts: usize,
    evaluations: usize,
}

impl MethodResult {
    fn record(&mut self, evaluation: Option<usize>) {
        if let Some(evaluation) = evaluation {
            self.verdicts += 1;
            self.evaluations += evaluation;
        }
    }

    fn mean_seconds(&self) -> f64 {
        self.evaluations as f64 / self.verdicts.max(1) as f64 / EVALUATIONS as f64
    }
}

fn totals(evidence: &RolloutEvidence) -> (EvidenceCounts, EvidenceCounts) {
    let (_, old, new) = evidence.by_route().next().unwrap();
    (old, new)
}

/// Whether a window has too many failures compared with the old version's share.
fn window_is_bad(old: EvidenceCounts, new: EvidenceCounts) -> bool {
    let share = |counts: EvidenceCounts| counts.failures as f64 / counts.answers.max(1) as f64;
    let all = new.answers as f64;
    let baseline = share(old);
    let deviation = (baseline.max(0.005) * (1.0 - baseline) / all.max(1.0)).sqrt();
    all >= 10.0 && share(new) > baseline + DEVIATIONS * deviation
}

/// The evaluations at which each method aborts the version.
fn simulate(case: &MethodCase, seed: u64) -> (Option<usize>, Option<usize>) {
    let rng = &mut StdRng::seed_from_u64(seed);
    let mut evidence = RolloutEvidence::new("svc");
    evidence.add_route(&ROUTE.parse().unwrap());
    let (mut ratio, mut windows) = (None, None);
    let mut start = totals(&evidence);
    for evaluation in 1..=SECONDS * EVALUATIONS {
        let mut left = case.rate / EVALUATIONS as f64;
        while left > 0.0 {
            if left >= 1.0 || rng.random_bool(left) {
                request(case, &mut evidence, rng);
            }
            left -= 1.0;
        }
        if judge(&evidence).bad().is_some() {
            ratio.get_or_insert(evaluation);
        }
        if evaluation.is_multiple_of(WINDOW) {
            let now = totals(&evidence);
            if window_is_bad(now.0.since(start.0), now.1.since(start.1)) {
                windows.get_or_insert(evaluation);
            }
            start = now;
        }
    }
    (ratio, windows)
}

fn request(case: &MethodCase, evidence: &mut RolloutEvidence, rng: &mut StdRng) {
    let is_new = rng.random_bool(CANARY_SHARE);
    let (side, failures) = if is_new {
        (VersionSide::New, case.baseline + case.extra)
    } else {
        (VersionSide::Old, case.baseline)
    };
    let outcome = if rng.random_bool(failures) {
        ResponseOutcome::Failed
    } else {
        ResponseOutcome::Succeeded { ratio: None }
    };
    evidence.record(ROUTE, side, rng.random_range(0..SERVERS), outcome);
}

#[test]
fn the_ratio_aborts_bad_versions_and_no_good_one() {
    let case = |name, rate, baseline, extra, runs| MethodCase {
        name,
        rate,
        baseline,
        extra,
        runs,
    };
    let cases = [
        case("good, 300 per second", 300.0, 0.01, 0.0, 300),
        case("good, 14 in 100 fail", 300.0, 0.14, 0.0, 300),
        case("good, 30 per second", 30.0, 0.01, 0.0, 400),
        case("60 in 100 more fail", 300.0, 0.01, 0.6, 50),
        case("60 in 100 more fail, 30 per second", 30.0, 0.01, 0.6, 50),
        case("20 in 100 more fail", 300.0, 0.01, 0.2, 50),
        case("10 in 100 more fail", 300.0, 0.01, 0.1, 50),
        case(
            "10 in 100 more fail, 2000 per second",
            2000.0,
            0.01,
            0.1,
            20,
        ),
        case(
            "3 in 100 more fail, 2000 per second",
            2000.0,
            0.01,
            0.03,
            20,
        ),
    ];
    println!("| version | runs | ratio: aborted, after | windows: aborted, after |");
    for case in &cases {
        let (mut ratio, mut windows) = (MethodResult::default(), MethodResult::default());
        for seed in 1..=case.runs {
            let (by_ratio, by_windows) = simulate(case, seed);
            ratio.record(by_ratio);
            windows.record(by_windows);
        }
        println!(
            "| {} | {} | {}, {:.1} s | {}, {:.1} s |",
            case.name,
            case.runs,
            ratio.verdicts,
            ratio.mean_seconds(),
            windows.verdicts,
            windows.mean_seconds()
        );
        if case.extra == 0.0 {
            assert_eq!(ratio.verdicts, 0, "{}: good versions aborted", case.name);
        }
        if case.extra >= 0.2 && case.rate >= 300.0 {
            let all = usize::try_from(case.runs).unwrap();
            assert_eq!(
                ratio.verdicts, all,
                "{}: bad versions not aborted",
                case.name
            );
        }
    }
}
