//! Age of a copy of the store, and when a VM checks its watch.

use std::time::Duration;

use onyxfall_fleet::{CheckCause, CopyAge, CopyState, WatchCheck, check_pause};
use onyxfall_policy::Moment;

fn at(ms: u64) -> Moment {
    Moment::from_duration(Duration::from_millis(ms))
}

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A proof of another VM's copy, and the age of this VM's copy after it.
struct ProofCase {
    name: &'static str,
    own: (u64, u64),
    other: (u64, u64),
    age: Option<u64>,
}

/// Guards against a copy that lacks changes and takes the proof of one that has them.
#[test]
fn a_proof_counts_only_for_copies_that_hold_as_much() {
    let cases = [
        ProofCase {
            name: "the same copy",
            own: (8, 2),
            other: (8, 2),
            age: Some(100),
        },
        ProofCase {
            name: "a later copy",
            own: (9, 4),
            other: (8, 2),
            age: Some(100),
        },
        ProofCase {
            name: "an earlier copy",
            own: (7, 1),
            other: (8, 2),
            age: Some(500),
        },
        ProofCase {
            name: "another copy of the same revision",
            own: (8, 3),
            other: (8, 2),
            age: Some(500),
        },
    ];
    for case in cases {
        let state = |(revision, hash)| CopyState { revision, hash };
        let mut age = CopyAge::default();
        age.record_proof(at(1000));
        age.record_peer_proof(state(case.own), state(case.other), at(1400));
        age.record_peer_proof(state(case.own), state(case.other), at(1200));
        assert_eq!(age.at(at(1500)), case.age.map(ms), "{}", case.name);
    }
}

/// What a VM sees of its copy every 50 ms from the time at which it sends a watch, and the
/// first check.
struct CheckCase {
    name: &'static str,
    /// From when on other VMs report a later revision.
    behind_from: Option<u64>,
    /// Age of the copy when the watch is sent.
    age: Option<u64>,
    rank: usize,
    first: Option<(u64, CheckCause)>,
}

/// Time for which the cases of checks are played, in milliseconds.
const PLAYED: u64 = 4000;

/// Guards against lost watches that no VM checks, and against VMs that all check at once.
#[test]
fn watches_are_checked_in_turn_or_when_they_are_late() {
    let cases = [
        CheckCase {
            name: "the first VM checks a copy that nobody has proved",
            behind_from: None,
            age: Some(0),
            rank: 0,
            first: Some((800, CheckCause::OldCopy)),
        },
        CheckCase {
            name: "the second one only if the first cannot",
            behind_from: None,
            age: Some(0),
            rank: 1,
            first: Some((1200, CheckCause::OldCopy)),
        },
        CheckCase {
            name: "and the tenth not within seconds",
            behind_from: None,
            age: Some(0),
            rank: 9,
            first: None,
        },
        CheckCase {
            name: "a copy that was never proved",
            behind_from: None,
            age: None,
            rank: 9,
            first: Some((0, CheckCause::OldCopy)),
        },
        CheckCase {
            name: "a late watch, whatever the rank",
            behind_from: Some(100),
            age: Some(0),
            rank: 9,
            first: Some((400, CheckCause::LateWatch)),
        },
    ];
    for case in cases {
        let mut check = WatchCheck::default();
        let first = (0..PLAYED).step_by(50).find_map(|time| {
            let is_behind = case.behind_from.is_some_and(|from| time >= from);
            let age = case.age.map(|age| ms(age + time));
            let cause = check.cause(at(time), is_behind, age, || case.rank);
            cause.map(|cause| (time, cause))
        });
        assert_eq!(first, case.first, "{}", case.name);
    }
}

/// Guards against a VM that asks the store without end because another one reports a revision
/// that the store does not have.
#[test]
fn a_wrong_report_causes_one_check_a_second() {
    let mut check = WatchCheck::default();
    let mut checks = 0;
    for time in (0..10_000).step_by(50) {
        if check.cause(at(time), true, Some(ms(10)), || 0).is_some() {
            check.record_unchanged(at(time));
            checks += 1;
        }
    }
    assert_eq!(checks, 10);
}

/// Guards against a VM that does not check its late watch since its own checks of a silent store
/// have failed.
#[test]
fn a_failed_check_delays_no_check_of_a_late_watch() {
    for rank in [0, 3, 9] {
        let mut check = WatchCheck::default();
        check.record_failed(at(0), Duration::ZERO, rank);
        let first = (0..PLAYED).step_by(50).find_map(|time| {
            let cause = check.cause(at(time), true, Some(ms(1000)), || rank + 9);
            cause.map(|cause| (time, cause))
        });
        assert_eq!(first, Some((300, CheckCause::LateWatch)), "rank {rank}");
    }
}

/// Guards against a herd: in an outage of eight seconds, at most a quarter of the 88 VMs that
/// watch the store of a large fleet may call it.
#[test]
fn few_vms_call_a_store_that_does_not_respond() {
    let is_caller = |rank: usize| {
        let mut check = WatchCheck::default();
        check
            .cause(at(8000), false, Some(ms(8000)), || rank)
            .is_some()
    };
    let callers = (0..88).filter(|rank| is_caller(*rank)).count();
    assert!((1..=22).contains(&callers), "{callers} VMs call");
    assert!(
        check_pause(1) > check_pause(0),
        "and the later ones less often"
    );
}
