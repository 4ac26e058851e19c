//! Good versions take over, bad ones are given up, and few requests reach them before.

mod support;

use std::thread;
use std::time::Duration;

use onyxfall_rollout::RolloutState;
use support::{PlayFault, PlayLoad, PlayResult, RolloutPlay, VersionKind, play};

/// Parts of a service's requests that may reach a bad version, by the users' page: a
/// tenth, and fifty. The aim is half of it.
const EXPOSE_PART: f64 = 0.1;
const EXPOSE_EXTRA: f64 = 50.0;
/// Threads that play a thousand roll-outs.
const THREADS: usize = 8;

fn allowed(result: &PlayResult) -> f64 {
    result.requests as f64 * EXPOSE_PART + EXPOSE_EXTRA
}

struct BadCase {
    name: &'static str,
    kind: VersionKind,
    /// Requests a second.
    rate: f64,
}

#[test]
fn bad_versions_are_given_up_in_time() {
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
        case("half on one route", VersionKind::FailsOnRoute(0.5), 300.0),
        case("half in one region", VersionKind::FailsInRegion(0.5), 300.0),
        case("late", VersionKind::FailsLate(0.5, late), 300.0),
        case("under load", VersionKind::FailsUnderLoad(0.5), 300.0),
        case(
            "half eight times as slow",
            VersionKind::Slows(0.5, 8.0),
            300.0,
        ),
        case(
            "a fifth four times as slow",
            VersionKind::Slows(0.2, 4.0),
            300.0,
        ),
        case(
            "60 in 100 twice as slow",
            VersionKind::Slows(0.6, 2.0),
            300.0,
        ),
    ];
    for case in &cases {
        for seed in 1..=20 {
            let mut played = RolloutPlay::new(case.kind, seed);
            played.rate = case.rate;
            let result = play(played, PlayFault::None);
            let name = format!("{} ({seed}): {result:?}", case.name);
            assert_eq!(result.state, Some(RolloutState::RolledBack), "{name}");
            assert!(result.ended.unwrap() <= played.time, "{name}");
            assert!(result.exposed as f64 <= allowed(&result), "{name}");
            assert_eq!(result.late, 0, "sent a second after the fiftieth: {name}");
            assert_eq!(result.after_end, 0, "{name}");
            assert_eq!(result.ends.len(), 1, "{name}");
        }
    }
}

#[test]
fn a_thousand_good_versions_take_over() {
    let plays = |from: u64| {
        for seed in (from..=1000).step_by(THREADS) {
            let mut played = RolloutPlay::new(VersionKind::Good, seed);
            played.has_grey = seed % 2 == 0;
            played.rate = [60.0, 300.0, 1000.0][usize::try_from(seed % 3).unwrap()];
            let result = play(played, PlayFault::None);
            let name = format!("{seed}: {result:?}");
            assert_eq!(result.state, Some(RolloutState::Completed), "{name}");
            assert!(result.ended.unwrap() <= played.time, "{name}");
            assert_eq!(result.to_stopped, 0, "{name}");
        }
    };
    thread::scope(|scope| {
        for thread in 1..=THREADS as u64 {
            scope.spawn(move || plays(thread));
        }
    });
}

struct LoadCase {
    name: &'static str,
    load: PlayLoad,
}

/// What slows both versions says nothing against the new one, also where it comes while
/// most requests go to the new one.
#[test]
fn a_good_version_takes_over_while_both_are_slowed() {
    let ms = Duration::from_millis;
    let case = |name, load| LoadCase { name, load };
    let cases = [
        case("a rush from the shift on", PlayLoad::RushFrom(ms(7_500))),
        case(
            "a rush at the end of the shift",
            PlayLoad::RushFrom(ms(8_700)),
        ),
        case("a rush before the shift", PlayLoad::RushFrom(ms(5_500))),
        case("spells of half a second", PlayLoad::Spells(ms(500))),
        case("spells of three seconds", PlayLoad::Spells(ms(3_000))),
    ];
    let mut kept_back = Vec::new();
    for case in &cases {
        for seed in 1..=40 {
            let mut played = RolloutPlay::new(VersionKind::Good, seed);
            played.load = case.load;
            played.rate = [60.0, 300.0, 1000.0][usize::try_from(seed % 3).unwrap()];
            let result = play(played, PlayFault::None);
            if result.state != Some(RolloutState::Completed)
                || result.ended.is_none_or(|ended| ended > played.time)
            {
                kept_back.push((case.name, seed));
            }
        }
    }
    let plays = cases.len() * 40;
    assert!(
        kept_back.is_empty(),
        "{} of {plays}: {kept_back:?}",
        kept_back.len()
    );
}

struct FaultCase {
    name: &'static str,
    fault: PlayFault,
    kind: VersionKind,
    end: RolloutState,
}

#[test]
fn roll_outs_under_failure() {
    let seconds = Duration::from_secs;
    let (good, bad) = (VersionKind::Good, VersionKind::Fails(0.5));
    let (completed, rolled_back) = (RolloutState::Completed, RolloutState::RolledBack);
    let case = |name, fault, kind, end| FaultCase {
        name,
        fault,
        kind,
        end,
    };
    let killed = PlayFault::WritersKilled;
    let down = PlayFault::StoreDown(seconds(2), seconds(6));
    let power = PlayFault::PowerLoss(seconds(3));
    let cut = PlayFault::RegionCut(seconds(2), seconds(6));
    let cases = [
        case("writers killed, good", killed, good, completed),
        case("writers killed, bad", killed, bad, rolled_back),
        case("store down, good", down, good, completed),
        case("store down, bad", down, bad, rolled_back),
        case("power lost, good", power, good, completed),
        case("power lost, bad", power, bad, rolled_back),
        case("region cut off, good", cut, good, completed),
        case("region cut off, bad", cut, bad, rolled_back),
        case(
            "region cut off to the end, good",
            PlayFault::RegionCut(seconds(2), seconds(60)),
            good,
            rolled_back,
        ),
        case(
            "taken back",
            PlayFault::Withdrawn(seconds(4)),
            good,
            rolled_back,
        ),
        case("no servers", PlayFault::NoServers, good, rolled_back),
    ];
    for case in &cases {
        for seed in 1..=10 {
            let played = RolloutPlay::new(case.kind, seed);
            let result = play(played, case.fault);
            let name = format!("{} ({seed}): {result:?}", case.name);
            assert_eq!(result.state, Some(case.end), "{name}");
            assert_eq!(result.ends.len(), 1, "two verdicts: {name}");
            assert_eq!(result.after_end, 0, "{name}");
            if case.end == RolloutState::RolledBack && case.kind != good {
                assert!(result.exposed as f64 <= allowed(&result), "{name}");
                assert_eq!(result.late, 0, "{name}");
            }
        }
    }
}
