//! Good versions take over, bad ones are aborted, and few requests reach them before that.

mod support;

use std::thread;
use std::time::Duration;

use onyxfall_rollout::RolloutState;
use support::{RolloutScenario, ScenarioLoad, ScenarioResult, TestFault, VersionKind, simulate};

/// Requests of a service that may reach a bad version, by the users' page: a tenth of them,
/// and fifty. The canary share aims for half of it.
const EXPOSED_SHARE: f64 = 0.1;
const EXPOSED_EXTRA: f64 = 50.0;
/// Threads that simulate a thousand rollouts.
const THREADS: usize = 8;

fn allowed(result: &ScenarioResult) -> f64 {
    result.requests as f64 * EXPOSED_SHARE + EXPOSED_EXTRA
}

struct BadCase {
    name: &'static str,
    kind: VersionKind,
    /// Requests per second.
    rate: f64,
}

#[test]
fn bad_versions_are_aborted_in_time() {
    let late = Duration::from_secs(6);
    let case = |name, kind, rate| BadCase { name, kind, rate };
    let cases = [
        case("60 in 100 fail", VersionKind::Fails(0.6), 300.0),
        case(
            "60 in 100 fail, few requests",
            VersionKind::Fails(0.6),
            30.0,
        ),
        case(
            "60 in 100 fail, many requests",
            VersionKind::Fails(0.6),
            3000.0,
        ),
        case("20 in 100 fail", VersionKind::Fails(0.2), 300.0),
        case(
            "10 in 100 fail, many requests",
            VersionKind::Fails(0.1),
            3000.0,
        ),
        case(
            "50 in 100 fail on one route",
            VersionKind::FailsOnRoute(0.5),
            300.0,
        ),
        case(
            "50 in 100 fail in one region",
            VersionKind::FailsInRegion(0.5),
            300.0,
        ),
        case(
            "50 in 100 fail late",
            VersionKind::FailsLate(0.5, late),
            300.0,
        ),
        case(
            "50 in 100 fail under load",
            VersionKind::FailsUnderLoad(0.5),
            300.0,
        ),
        case(
            "50 in 100 are eight times slower",
            VersionKind::Slows(0.5, 8.0),
            300.0,
        ),
        case(
            "20 in 100 are four times slower",
            VersionKind::Slows(0.2, 4.0),
            300.0,
        ),
        case(
            "60 in 100 are twice as slow",
            VersionKind::Slows(0.6, 2.0),
            300.0,
        ),
    ];
    for case in &cases {
        for seed in 1..=20 {
            let mut scenario = RolloutScenario::new(case.kind, seed);
            scenario.rate = case.rate;
            let result = simulate(scenario, TestFault::None);
            let name = format!("{} ({seed}): {result:?}", case.name);
            assert_eq!(result.state, Some(RolloutState::RolledBack), "{name}");
            assert!(result.ended.unwrap() <= scenario.time, "{name}");
            assert!(result.exposed as f64 <= allowed(&result), "{name}");
            assert_eq!(
                result.late, 0,
                "sent more than a second after the fiftieth: {name}"
            );
            assert_eq!(result.after_end, 0, "{name}");
            assert_eq!(result.ends.len(), 1, "{name}");
        }
    }
}

#[test]
fn a_thousand_good_versions_take_over() {
    let simulate_from = |from: u64| {
        for seed in (from..=1000).step_by(THREADS) {
            let mut scenario = RolloutScenario::new(VersionKind::Good, seed);
            scenario.has_grey = seed % 2 == 0;
            scenario.rate = [60.0, 300.0, 1000.0][usize::try_from(seed % 3).unwrap()];
            let result = simulate(scenario, TestFault::None);
            let name = format!("{seed}: {result:?}");
            assert_eq!(result.state, Some(RolloutState::Completed), "{name}");
            assert!(result.ended.unwrap() <= scenario.time, "{name}");
            assert_eq!(result.to_stopped, 0, "{name}");
        }
    };
    thread::scope(|scope| {
        for thread in 1..=THREADS as u64 {
            scope.spawn(move || simulate_from(thread));
        }
    });
}

struct LoadCase {
    name: &'static str,
    load: ScenarioLoad,
}

/// A load peak that slows both versions must not count against the new one, even while most
/// requests go to the new one.
#[test]
fn a_good_version_takes_over_while_both_are_slowed() {
    let ms = Duration::from_millis;
    let case = |name, load| LoadCase { name, load };
    let cases = [
        case(
            "load peak from the shift on",
            ScenarioLoad::PeakFrom(ms(7_500)),
        ),
        case(
            "load peak from the end of the shift on",
            ScenarioLoad::PeakFrom(ms(8_700)),
        ),
        case(
            "load peak from before the shift on",
            ScenarioLoad::PeakFrom(ms(5_500)),
        ),
        case("load peaks of half a second", ScenarioLoad::Peaks(ms(500))),
        case(
            "load peaks of three seconds",
            ScenarioLoad::Peaks(ms(3_000)),
        ),
    ];
    let mut not_completed = Vec::new();
    for case in &cases {
        for seed in 1..=40 {
            let mut scenario = RolloutScenario::new(VersionKind::Good, seed);
            scenario.load = case.load;
            scenario.rate = [60.0, 300.0, 1000.0][usize::try_from(seed % 3).unwrap()];
            let result = simulate(scenario, TestFault::None);
            if result.state != Some(RolloutState::Completed)
                || result.ended.is_none_or(|ended| ended > scenario.time)
            {
                not_completed.push((case.name, seed));
            }
        }
    }
    let runs = cases.len() * 40;
    assert!(
        not_completed.is_empty(),
        "{} of {runs}: {not_completed:?}",
        not_completed.len()
    );
}

struct FaultCase {
    name: &'static str,
    fault: TestFault,
    kind: VersionKind,
    end: RolloutState,
}

#[test]
fn rollouts_under_failure() {
    let seconds = Duration::from_secs;
    let (good, bad) = (VersionKind::Good, VersionKind::Fails(0.5));
    let (completed, rolled_back) = (RolloutState::Completed, RolloutState::RolledBack);
    let case = |name, fault, kind, end| FaultCase {
        name,
        fault,
        kind,
        end,
    };
    let killed = TestFault::WritersKilled;
    let down = TestFault::StoreDown(seconds(2), seconds(6));
    let power = TestFault::PowerLoss(seconds(3));
    let cut = TestFault::RegionCut(seconds(2), seconds(6));
    let cases = [
        case("writers killed, good", killed, good, completed),
        case("writers killed, bad", killed, bad, rolled_back),
        case("store down, good", down, good, completed),
        case("store down, bad", down, bad, rolled_back),
        case("power loss, good", power, good, completed),
        case("power loss, bad", power, bad, rolled_back),
        case("region partitioned, good", cut, good, completed),
        case("region partitioned, bad", cut, bad, rolled_back),
        case(
            "region partitioned to the end, good",
            TestFault::RegionCut(seconds(2), seconds(60)),
            good,
            rolled_back,
        ),
        case(
            "order withdrawn",
            TestFault::Withdrawn(seconds(4)),
            good,
            rolled_back,
        ),
        case(
            "no servers of the new version",
            TestFault::NoServers,
            good,
            rolled_back,
        ),
    ];
    for case in &cases {
        for seed in 1..=10 {
            let scenario = RolloutScenario::new(case.kind, seed);
            let result = simulate(scenario, case.fault);
            let name = format!("{} ({seed}): {result:?}", case.name);
            assert_eq!(result.state, Some(case.end), "{name}");
            assert_eq!(result.ends.len(), 1, "more than one final record: {name}");
            assert_eq!(result.after_end, 0, "{name}");
            if case.end == RolloutState::RolledBack && case.kind != good {
                assert!(result.exposed as f64 <= allowed(&result), "{name}");
                assert_eq!(result.late, 0, "{name}");
            }
        }
    }
}
