//! What a silence of all servers does to the judgement of a new version.

mod support;

use std::time::Duration;

use onyxfall_rollout::RolloutState;
use support::{RolloutScenario, Silence, TestFault, VersionKind, simulate};

struct SilenceCase {
    name: &'static str,
    from_ms: u64,
    allowed_ms: u64,
}

#[test]
fn a_good_version_is_not_given_up_for_a_silence_of_all_servers() {
    let case = |name, from_ms, allowed_ms| SilenceCase {
        name,
        from_ms,
        allowed_ms,
    };
    let cases = [
        case("canary phase, callers give up", 3000, 600),
        case("canary phase, patient callers", 3000, 3000),
        case("before the shift, callers give up", 6800, 600),
        case("during the shift, callers give up", 8000, 600),
        case("after the shift, callers give up", 9000, 600),
        case("after the shift, patient callers", 9000, 3000),
        case("over the end, callers give up", 10500, 600),
    ];
    let mut given_up = Vec::new();
    for case in cases {
        for rate in [30.0, 300.0, 1500.0] {
            for seed in 0..4 {
                let from = Duration::from_millis(case.from_ms);
                let silence = Silence {
                    from,
                    to: from + Duration::from_millis(1500),
                    allowed: Duration::from_millis(case.allowed_ms),
                };
                let scenario = RolloutScenario {
                    rate,
                    silence: Some(silence),
                    ..RolloutScenario::new(VersionKind::Good, seed)
                };
                let result = simulate(scenario, TestFault::None);
                if result.state != Some(RolloutState::Completed) {
                    given_up.push(format!("{}, {rate} a second, seed {seed}", case.name));
                }
            }
        }
    }
    assert!(
        given_up.is_empty(),
        "{} of 84: {given_up:#?}",
        given_up.len()
    );
}

#[test]
fn a_version_that_stops_responding_is_not_completed_as_a_silence() {
    for from_ms in [8000, 8500, 9000, 9400] {
        for rate in [30.0, 300.0, 1500.0] {
            let silence = Silence {
                from: Duration::from_millis(from_ms),
                to: Duration::MAX,
                allowed: Duration::from_millis(600),
            };
            let scenario = RolloutScenario {
                rate,
                silence: Some(silence),
                ..RolloutScenario::new(VersionKind::Good, 1)
            };
            let result = simulate(scenario, TestFault::None);
            let name = format!("from {from_ms} ms, {rate} a second");
            assert_eq!(result.state, Some(RolloutState::RolledBack), "{name}");
            assert!(
                result.ended <= Some(scenario.time),
                "{name}: {:?}",
                result.ended
            );
        }
    }
}
