//! When a copy that lives on other VMs' word is read anew.

use std::time::Duration;

use onyxfall_fleet::{BEHIND_LIMIT, CATCH_UP_PAUSE, CopyCheck, CopyState};
use onyxfall_policy::Moment;

const STEP: Duration = Duration::from_millis(100);

#[derive(Clone, Copy)]
enum News {
    /// A change: own revision, the revision it follows, whether it is whole.
    Change(u64, u64, bool),
    /// The state of a watcher's copy beside the own one.
    Watcher(CopyState, CopyState),
    /// The state of any other copy beside the own one.
    Other(CopyState, CopyState),
    /// Everything was read.
    Read,
    /// Time passes.
    Wait(Duration),
}

struct CopyCase {
    name: &'static str,
    news: Vec<News>,
    is_due: bool,
}

const fn state(revision: u64, hash: u64) -> CopyState {
    CopyState { revision, hash }
}

const LONG: Duration = Duration::from_secs(3);

#[test]
fn a_copy_with_a_gap_is_read_anew() {
    use News::{Change, Other, Read, Wait, Watcher};
    let cases = [
        CopyCase {
            name: "changes in order",
            news: vec![Change(5, 5, true), Change(6, 6, true), Wait(LONG)],
            is_due: false,
        },
        CopyCase {
            name: "the same change from two watchers",
            news: vec![Change(5, 5, true), Change(6, 5, true), Wait(LONG)],
            is_due: false,
        },
        CopyCase {
            name: "a lost change, hidden by later ones in order",
            news: vec![
                Change(78, 91, true),
                Change(92, 92, true),
                Watcher(state(93, 1), state(94, 2)),
            ],
            is_due: true,
        },
        CopyCase {
            name: "a change without its largest item",
            news: vec![Change(5, 5, false)],
            is_due: true,
        },
        CopyCase {
            name: "a gap, then everything was read",
            news: vec![Change(78, 91, true), Read, Wait(LONG)],
            is_due: false,
        },
        CopyCase {
            name: "a gap right after everything was read waits",
            news: vec![Read, Change(78, 91, true)],
            is_due: false,
        },
        CopyCase {
            name: "and is read after the pause",
            news: vec![Read, Change(78, 91, true), Wait(CATCH_UP_PAUSE)],
            is_due: true,
        },
        CopyCase {
            name: "another region is ahead for a moment",
            news: vec![Other(state(5, 1), state(6, 2)), Wait(STEP)],
            is_due: false,
        },
        CopyCase {
            name: "another region stays ahead",
            news: vec![
                Other(state(5, 1), state(6, 2)),
                Wait(BEHIND_LIMIT),
                Other(state(5, 1), state(5, 1)),
            ],
            is_due: true,
        },
        CopyCase {
            name: "another region was ahead",
            news: vec![
                Other(state(5, 1), state(6, 2)),
                Wait(BEHIND_LIMIT),
                Other(state(6, 2), state(6, 2)),
            ],
            is_due: false,
        },
        CopyCase {
            name: "a watcher's copy of the same revision differs",
            news: vec![Watcher(state(6, 1), state(6, 2)), Wait(BEHIND_LIMIT)],
            is_due: true,
        },
        CopyCase {
            name: "a watcher's copy is older",
            news: vec![Watcher(state(7, 1), state(6, 2)), Wait(BEHIND_LIMIT)],
            is_due: false,
        },
    ];
    for case in cases {
        let mut check = CopyCheck::default();
        let mut now = Moment::ZERO;
        for news in &case.news {
            match *news {
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

/// Where changes never end, a copy is always a moment behind what others have told.
#[test]
fn a_copy_that_follows_every_change_a_moment_later_is_not_read_anew() {
    let change = Duration::from_millis(50);
    let mut check = CopyCheck::default();
    let mut now = Moment::ZERO;
    for told in 4..400 {
        let own = state(told - 4, 0);
        check.record_peer_state(now, own, state(told, 0));
        assert!(!check.is_due(now), "after {told} changes");
        assert!(!check.asks(now, Some(own), state(told, 0)), "{told}");
        now = now + change;
    }
    let own = state(400, 0);
    check.record_peer_state(now, own, state(404, 0));
    now = now + BEHIND_LIMIT;
    check.record_peer_state(now, own, state(420, 0));
    assert!(check.is_due(now), "it stands still");
}
