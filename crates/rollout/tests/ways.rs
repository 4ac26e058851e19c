//! Two ways of judging a version, side by side: the likelihood ratio that may be looked at
//! at every moment, and a comparison of fixed windows.

use onyxfall_rollout::{EvidenceCounts, ResponseOutcome, RolloutEvidence, VersionSide, judge};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const ROUTE: &str = "r";
/// Looks a second, and seconds of a play.
const LOOKS: usize = 5;
const SECONDS: usize = 12;
/// Part of the requests that goes to the new version, and servers that take it.
const SAMPLE: f64 = 0.05;
const SERVERS: u64 = 6;
/// Looks of a window, and standard deviations from which its comparison is a verdict.
const WINDOW: usize = 2 * LOOKS;
const DEVIATIONS: f64 = 4.0;

struct WayCase {
    name: &'static str,
    /// Requests a second.
    rate: f64,
    /// Failures of either version, and more of the new one.
    usual: f64,
    more: f64,
    plays: u64,
}

/// What a way has brought over the plays of a case.
#[derive(Debug, Default)]
struct WayResult {
    verdicts: usize,
    looks: usize,
}

impl WayResult {
    fn note(&mut self, look: Option<usize>) {
        if let Some(look) = look {
            self.verdicts += 1;
            self.looks += look;
        }
    }

    fn mean_seconds(&self) -> f64 {
        self.looks as f64 / self.verdicts.max(1) as f64 / LOOKS as f64
    }
}

fn totals(evidence: &RolloutEvidence) -> (EvidenceCounts, EvidenceCounts) {
    let (_, old, new) = evidence.by_route().next().unwrap();
    (old, new)
}

/// Whether the failures of a window are too many by the part of the old version's.
fn window_is_bad(old: EvidenceCounts, new: EvidenceCounts) -> bool {
    let part = |counts: EvidenceCounts| counts.failures as f64 / counts.answers.max(1) as f64;
    let all = new.answers as f64;
    let usual = part(old);
    let deviation = (usual.max(0.005) * (1.0 - usual) / all.max(1.0)).sqrt();
    all >= 10.0 && part(new) > usual + DEVIATIONS * deviation
}

/// The looks at which each way gives the version up.
fn play(case: &WayCase, seed: u64) -> (Option<usize>, Option<usize>) {
    let rng = &mut StdRng::seed_from_u64(seed);
    let mut evidence = RolloutEvidence::new("svc");
    evidence.add_route(&ROUTE.parse().unwrap());
    let (mut ratio, mut windows) = (None, None);
    let mut begun = totals(&evidence);
    for look in 1..=SECONDS * LOOKS {
        let mut left = case.rate / LOOKS as f64;
        while left > 0.0 {
            if left >= 1.0 || rng.random_bool(left) {
                request(case, &mut evidence, rng);
            }
            left -= 1.0;
        }
        if judge(&evidence).bad().is_some() {
            ratio.get_or_insert(look);
        }
        if look.is_multiple_of(WINDOW) {
            let now = totals(&evidence);
            if window_is_bad(now.0.since(begun.0), now.1.since(begun.1)) {
                windows.get_or_insert(look);
            }
            begun = now;
        }
    }
    (ratio, windows)
}

fn request(case: &WayCase, evidence: &mut RolloutEvidence, rng: &mut StdRng) {
    let is_new = rng.random_bool(SAMPLE);
    let (side, part) = if is_new {
        (VersionSide::New, case.usual + case.more)
    } else {
        (VersionSide::Old, case.usual)
    };
    let outcome = if rng.random_bool(part) {
        ResponseOutcome::Failed
    } else {
        ResponseOutcome::Succeeded { ratio: None }
    };
    evidence.note(ROUTE, side, rng.random_range(0..SERVERS), outcome);
}

#[test]
fn the_ratio_gives_up_bad_versions_and_no_good_one() {
    let case = |name, rate, usual, more, plays| WayCase {
        name,
        rate,
        usual,
        more,
        plays,
    };
    let cases = [
        case("good, 300 a second", 300.0, 0.01, 0.0, 300),
        case("good, 14 in 100 fail", 300.0, 0.14, 0.0, 300),
        case("good, 30 a second", 30.0, 0.01, 0.0, 400),
        case("60 in 100 more", 300.0, 0.01, 0.6, 50),
        case("60 in 100 more, 30 a second", 30.0, 0.01, 0.6, 50),
        case("20 in 100 more", 300.0, 0.01, 0.2, 50),
        case("10 in 100 more", 300.0, 0.01, 0.1, 50),
        case("10 in 100 more, 2000 a second", 2000.0, 0.01, 0.1, 20),
        case("3 in 100 more, 2000 a second", 2000.0, 0.01, 0.03, 20),
    ];
    println!("| version | plays | ratio: given up, after | windows: given up, after |");
    for case in &cases {
        let (mut ratio, mut windows) = (WayResult::default(), WayResult::default());
        for seed in 1..=case.plays {
            let (by_ratio, by_windows) = play(case, seed);
            ratio.note(by_ratio);
            windows.note(by_windows);
        }
        println!(
            "| {} | {} | {}, {:.1} s | {}, {:.1} s |",
            case.name,
            case.plays,
            ratio.verdicts,
            ratio.mean_seconds(),
            windows.verdicts,
            windows.mean_seconds()
        );
        if case.more == 0.0 {
            assert_eq!(ratio.verdicts, 0, "{}: good ones given up", case.name);
        }
        if case.more >= 0.2 && case.rate >= 300.0 {
            let all = usize::try_from(case.plays).unwrap();
            assert_eq!(ratio.verdicts, all, "{}: bad ones kept", case.name);
        }
    }
}
