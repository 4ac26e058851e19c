//! When a copy that is fed by other VMs is read from the store again.

use std::time::Duration;

use onyxfall_fleet::{BEHIND_LIMIT, CATCH_UP_PAUSE, CopyCheck, CopyState};
use onyxfall_policy::Moment;

const STEP: Duration = Duration::from_millis(100);

/// Event that a copy check records.
#[derive(Clone, Copy)]
enum Event {
    /// A change: own revision, the revision that it follows, and whether it is whole.
    Change(u64, u64, bool),
    /// The own state, and the state of a watcher's copy.
    Watcher(CopyState, CopyState),
    /// The own state, and the state of another VM's copy.
    Other(CopyState, CopyState),
    /// The whole copy was read.
    Read,
    /// Time passes.
    Wait(Duration),
}

struct CopyCase {
    name: &'static str,
    events: Vec<Event>,
    is_due: bool,
}

const fn state(revision: u64, hash: u64) -> CopyState {
    CopyState { revision, hash }
}

const LONG: Duration = Duration::from_secs(3);

#[test]
fn a_copy_with_a_gap_is_read_again() {
    use Event::{Change, Other, Read, Wait, Watcher};
    let cases = [
        CopyCase {
            name: "changes in order",
            events: vec![Change(5, 5, true), Change(6, 6, true), Wait(LONG)],
            is_due: false,
        },
        CopyCase {
            name: "the same change from two watchers",
            events: vec![Change(5, 5, true), Change(6, 5, true), Wait(LONG)],
            is_due: false,
        },
        CopyCase {
            name: "a lost change, hidden by later ones in order",
            events: vec![
                Change(78, 91, true),
                Change(92, 92, true),
                Watcher(state(93, 1), state(94, 2)),
            ],
            is_due: true,
        },
        CopyCase {
            name: "a change without its largest item",
            events: vec![Change(5, 5, false)],
            is_due: true,
        },
        CopyCase {
            name: "a gap before the whole copy was read",
            events: vec![Change(78, 91, true), Read, Wait(LONG)],
            is_due: false,
        },
        CopyCase {
            name: "a gap right after a full read",
            events: vec![Read, Change(78, 91, true)],
            is_due: false,
        },
        CopyCase {
            name: "a gap right after a full read, after the pause",
            events: vec![Read, Change(78, 91, true), Wait(CATCH_UP_PAUSE)],
            is_due: true,
        },
        CopyCase {
            name: "another region is ahead briefly",
            events: vec![Other(state(5, 1), state(6, 2)), Wait(STEP)],
            is_due: false,
        },
        CopyCase {
            name: "another region stays ahead",
            events: vec![
                Other(state(5, 1), state(6, 2)),
                Wait(BEHIND_LIMIT),
                Other(state(5, 1), state(5, 1)),
            ],
            is_due: true,
        },
        CopyCase {
            name: "another region was ahead and is no longer",
            events: vec![
                Other(state(5, 1), state(6, 2)),
                Wait(BEHIND_LIMIT),
                Other(state(6, 2), state(6, 2)),
            ],
            is_due: false,
        },
        CopyCase {
            name: "a watcher's copy of the same revision differs",
            events: vec![Watcher(state(6, 1), state(6, 2)), Wait(BEHIND_LIMIT)],
            is_due: true,
        },
        CopyCase {
            name: "a watcher's copy is older",
            events: vec![Watcher(state(7, 1), state(6, 2)), Wait(BEHIND_LIMIT)],
            is_due: false,
        },
    ];
    for case in cases {
        let mut check = CopyCheck::default();
        let mut now = Moment::ZERO;
        for event in &case.events {
            match *event {
                Change(own, base, is_whole) => check.record_change(own, base, is_whole),
                Watcher(own, other) => check.compare_with_watcher(now, own, other),
                Other(own, other) => check.record_peer_state(now, own, other),
                Read => check.record_full_read(now),
                Wait(time) => now = now + time,
            }
        }
        assert_eq!(check.is_due(now), case.is_due, "{}", case.name);
    }
}

/// Under constant change, a copy is always slightly behind the revisions that others report.
#[test]
fn a_copy_that_applies_every_change_with_a_delay_is_not_read_again() {
    let change = Duration::from_millis(50);
    let mut check = CopyCheck::default();
    let mut now = Moment::ZERO;
    for newest in 4..400 {
        let own = state(newest - 4, 0);
        check.record_peer_state(now, own, state(newest, 0));
        assert!(!check.is_due(now), "after {newest} changes");
        assert!(!check.asks(now, Some(own), state(newest, 0)), "{newest}");
        now = now + change;
    }
    let own = state(400, 0);
    check.record_peer_state(now, own, state(404, 0));
    now = now + BEHIND_LIMIT;
    check.record_peer_state(now, own, state(420, 0));
    assert!(check.is_due(now), "it has stopped following");
}
