//! The copy of the store, in tables of cases.

mod support;

use bytes::Bytes;
use onyxfall_fleet::{
    MirrorChange, MirrorDelta, RETURN_WINDOW, StoreEvent, StoreHealth, StoreItem, StoreMirror,
};
use onyxfall_policy::Moment;
use onyxfall_types::{StoreEra, StorePosition};
use support::at;

fn item(key: &str, revision: u64) -> StoreItem {
    StoreItem {
        key: key.to_owned(),
        value: Bytes::from(revision.to_string()),
        revision,
    }
}

fn set(key: &str, revision: u64) -> MirrorChange {
    MirrorChange::Set(key.to_owned(), Bytes::from(revision.to_string()))
}

fn removed(key: &str) -> MirrorChange {
    MirrorChange::Removed(key.to_owned())
}

struct NewsCase {
    name: &'static str,
    event: StoreEvent,
    health: StoreHealth,
    /// What it means at once.
    changes: Vec<MirrorChange>,
    /// What it means when the return window is over.
    later: Vec<MirrorChange>,
}

#[test]
fn news_is_taken_by_revision_and_health() {
    let deletion = |revision| StoreEvent::Delete {
        key: "a".to_owned(),
        revision,
    };
    let cases = [
        NewsCase {
            name: "a newer value",
            event: StoreEvent::Put(item("a", 6)),
            health: StoreHealth::Steady,
            changes: vec![set("a", 6)],
            later: vec![],
        },
        NewsCase {
            name: "an older value",
            event: StoreEvent::Put(item("a", 4)),
            health: StoreHealth::Steady,
            changes: vec![],
            later: vec![],
        },
        NewsCase {
            name: "a deletion in steady times",
            event: deletion(6),
            health: StoreHealth::Steady,
            changes: vec![removed("a")],
            later: vec![],
        },
        NewsCase {
            name: "a deletion after an outage counts when its owner stays away",
            event: deletion(6),
            health: StoreHealth::Returned,
            changes: vec![],
            later: vec![removed("a")],
        },
        NewsCase {
            name: "a deletion of an older life of the key",
            event: deletion(4),
            health: StoreHealth::Steady,
            changes: vec![],
            later: vec![],
        },
    ];
    for case in cases {
        let mut mirror = StoreMirror::default();
        mirror.replace(at(0), "", vec![item("a", 5)], 5, StoreHealth::Steady);
        let changes = mirror.apply(at(10), vec![case.event], case.health);
        assert_eq!(changes, case.changes, "{}: at once", case.name);
        let later = mirror.expire(at(10) + RETURN_WINDOW);
        assert_eq!(later, case.later, "{}: later", case.name);
    }
}

#[test]
fn an_owner_that_returns_keeps_its_item() {
    let mut mirror = StoreMirror::default();
    mirror.replace(at(0), "", vec![item("a", 5)], 5, StoreHealth::Steady);
    mirror.replace(at(10), "", vec![], 7, StoreHealth::Returned);
    assert!(
        mirror.snapshot().is_empty(),
        "a missing item is not passed on"
    );
    let back = StoreEvent::Put(item("a", 8));
    mirror.apply(at(500), vec![back], StoreHealth::Returned);
    assert_eq!(mirror.expire(at(10) + RETURN_WINDOW), vec![]);
    assert_eq!(mirror.snapshot(), vec![item("a", 8)]);
}

#[test]
fn equal_copies_have_equal_hashes() {
    let mut read = StoreMirror::default();
    let items = vec![item("a", 5), item("b", 6)];
    read.replace(at(0), "", items, 6, StoreHealth::Steady);
    let mut watched = StoreMirror::default();
    for event in [item("b", 4), item("a", 5), item("b", 6)] {
        watched.apply(at(0), vec![StoreEvent::Put(event)], StoreHealth::Steady);
    }
    assert_eq!(read.hash(), watched.hash());
    watched.apply(
        at(1),
        vec![StoreEvent::Put(item("b", 7))],
        StoreHealth::Steady,
    );
    assert_ne!(read.hash(), watched.hash());
}

#[test]
fn a_copy_that_is_passed_changes_equals_the_one_that_watches() {
    let put = |key: &str, value: &'static str, revision| {
        StoreEvent::Put(StoreItem {
            key: key.to_owned(),
            value: Bytes::from_static(value.as_bytes()),
            revision,
        })
    };
    let delete = |key: &str, revision| StoreEvent::Delete {
        key: key.to_owned(),
        revision,
    };
    let batches = [
        vec![put("config", "v1", 1), put("s0", "ready", 2)],
        // A key that changes several times in one batch.
        vec![
            put("config", "v2", 3),
            put("config", "v3", 4),
            put("config", "v4", 5),
        ],
        vec![
            put("s1", "ready", 6),
            delete("s1", 7),
            put("s0", "draining", 8),
        ],
        vec![delete("s0", 9), put("s0", "ready", 10)],
    ];
    let mut watching = StoreMirror::default();
    let mut following = StoreMirror::default();
    for batch in batches {
        let base = watching.revision();
        let changes = watching.apply(Moment::ZERO, batch, StoreHealth::Steady);
        let delta = watching.delta(base, &changes, usize::MAX);
        following.merge(Moment::ZERO, delta);
        assert_eq!(following.state(), watching.state());
        assert_eq!(following.snapshot(), watching.snapshot());
    }
}

#[test]
fn a_large_value_is_left_out_and_said_to_be() {
    let mut watching = StoreMirror::default();
    let item = StoreItem {
        key: "config".to_owned(),
        value: Bytes::from_static(b"large"),
        revision: 1,
    };
    let puts = vec![StoreEvent::Put(item)];
    let changes = watching.apply(Moment::ZERO, puts, StoreHealth::Steady);
    let delta = watching.delta(0, &changes, 4);
    assert!(delta.is_partial && delta.items.is_empty());
}

/// What a VM told long ago, and another one hears only now.
///
/// Seen once: a link had been a standby's since the first second of a day. When the VM that
/// had dialled it began to report on it, it was sent every change that was kept, from the
/// first on, and passed them on. Servers that had gone 5.3 s before were there again, ready,
/// on every VM of the data centre, and one got a request.
#[test]
fn an_item_that_was_deleted_does_not_come_back_by_old_news() {
    let mut mirror = StoreMirror::default();
    let steady = StoreHealth::Steady;
    mirror.apply(at(0), vec![StoreEvent::Put(item("gone", 5))], steady);
    mirror.apply(at(0), vec![StoreEvent::Put(item("kept", 6))], steady);
    let key = "gone".to_owned();
    let deleted = StoreEvent::Delete { key, revision: 9 };
    assert_eq!(mirror.apply(at(1), vec![deleted], steady).len(), 1);
    let old = MirrorDelta {
        base: 2,
        revision: 5,
        items: vec![item("gone", 5)],
        ..MirrorDelta::default()
    };
    assert_eq!(mirror.merge(at(2), old), Vec::new());
    let copied = vec![item("gone", 5), item("kept", 6)];
    let copy = mirror.replace(at(3), "", copied, 8, StoreHealth::Returned);
    assert_eq!(copy, Vec::new());
    let anew = vec![StoreEvent::Put(item("gone", 12))];
    assert_eq!(mirror.apply(at(4), anew, steady), vec![set("gone", 12)]);
}

/// A change drawn by a property test: key, and whether it is written, deleted while the
/// store is well, or missed after an outage.
fn drawn_change(mirror: &mut StoreMirror, step: u64, key: u8, kind: u8) {
    let now = at(step * 700);
    let key = format!("k{key}");
    match kind {
        0 | 1 => {
            let put = StoreEvent::Put(item(&key, step + u64::from(kind)));
            mirror.apply(now, vec![put], StoreHealth::Steady);
        }
        2 | 3 => {
            let deleted = StoreEvent::Delete {
                key,
                revision: step,
            };
            let health = if kind == 2 {
                StoreHealth::Steady
            } else {
                StoreHealth::Returned
            };
            mirror.apply(now, vec![deleted], health);
        }
        _ => {
            mirror.expire(now);
        }
    }
}

proptest::proptest! {
    /// The hash that is kept up to date is that of a copy that took the same items at once.
    #[test]
    fn a_copy_has_the_hash_of_its_items(
        changes in proptest::collection::vec((0_u8..6, 0_u8..5), 0..80),
    ) {
        let mut mirror = StoreMirror::default();
        for (step, (key, kind)) in changes.into_iter().enumerate() {
            drawn_change(&mut mirror, step as u64, key, kind);
            let mut fresh = StoreMirror::default();
            let puts = mirror.snapshot().into_iter().map(StoreEvent::Put);
            fresh.apply(at(0), puts.collect(), StoreHealth::Steady);
            proptest::prop_assert_eq!(mirror.hash(), fresh.hash());
        }
    }
}

/// A position as the copy has it.
fn order(era: u16, revision: u64) -> u64 {
    let position = StorePosition::new(StoreEra::new(era), revision);
    position.unwrap().order()
}

/// What a copy knows, what a restored store names, and what comes of it. Values are the
/// order of their revision.
struct RestoredCase {
    name: &'static str,
    /// Revisions at which `a` was written and deleted in the first era; 0 for never.
    written: u64,
    deleted: u64,
    /// Revision at which the restored store names it; 0 if it does not.
    named: u64,
    /// Revision at which it is written again, a second later; 0 if it is not.
    again: u64,
    /// Whether it is held at once, after a second and after ten.
    held: [bool; 3],
}

#[test]
fn a_restored_store_brings_nothing_back_and_takes_nothing_away_at_once() {
    let case = |name, [written, deleted, named, again]: [u64; 4], held| RestoredCase {
        name,
        written,
        deleted,
        named,
        again,
        held,
    };
    let cases = [
        case("older than the copy", [5, 0, 5, 0], [true, true, true]),
        case("an older value", [50, 0, 5, 0], [true, true, true]),
        case(
            "written since, and lost",
            [50, 0, 0, 0],
            [true, true, false],
        ),
        case(
            "written since, and again",
            [50, 0, 0, 12],
            [true, true, true],
        ),
        case(
            "deleted since, and it stays",
            [5, 50, 5, 0],
            [false, false, true],
        ),
        case(
            "deleted since, and written again",
            [5, 50, 5, 12],
            [false, true, true],
        ),
        case(
            "deleted since, and again before it was read",
            [5, 50, 60, 0],
            [true, true, true],
        ),
        case("new in the second era", [0, 0, 11, 0], [true, true, true]),
        case(
            "deleted before the copy, new since",
            [5, 6, 0, 12],
            [false, true, true],
        ),
    ];
    for case in &cases {
        let mut mirror = StoreMirror::default();
        let steady = StoreHealth::Steady;
        let put = |revision| vec![StoreEvent::Put(item("a", revision))];
        mirror.apply(at(0), vec![StoreEvent::Put(item("z", order(1, 1)))], steady);
        if case.written > 0 {
            mirror.apply(at(0), put(order(1, case.written)), steady);
        }
        if case.deleted > 0 {
            let key = "a".to_owned();
            let revision = order(1, case.deleted);
            mirror.apply(at(0), vec![StoreEvent::Delete { key, revision }], steady);
        }
        let mut items = vec![item("z", order(2, 1))];
        if case.named > 0 {
            items.push(item("a", order(2, case.named)));
        }
        mirror.replace(at(1000), "", items, order(2, 10), steady);
        let held = |mirror: &StoreMirror| mirror.item_revision("a").is_some();
        let mut seen = [held(&mirror), false, false];
        if case.again > 0 {
            mirror.apply(at(2000), put(order(2, case.again)), steady);
        }
        mirror.expire(at(2000));
        seen[1] = held(&mirror);
        mirror.expire(at(11_000));
        seen[2] = held(&mirror);
        assert_eq!(seen, case.held, "{}", case.name);
    }
}

#[test]
fn an_answer_from_before_a_restore_changes_nothing() {
    let mut mirror = StoreMirror::default();
    let steady = StoreHealth::Steady;
    mirror.apply(at(0), vec![StoreEvent::Put(item("a", order(2, 4)))], steady);
    let old = vec![StoreEvent::Put(item("a", order(1, 900)))];
    assert_eq!(mirror.apply(at(1), old, steady), vec![]);
    assert_eq!(mirror.revision(), order(2, 4));
}

struct LackedCase {
    name: &'static str,
    key: &'static str,
    /// Era in which the store answers without the key, after an outage.
    era: u16,
    /// Times after which the key is still held.
    held_ms: u64,
    gone_ms: u64,
}

#[test]
fn what_the_operator_wrote_outlasts_a_restore() {
    let cases = [
        LackedCase {
            name: "the operator's, restored",
            key: "op/a",
            era: 2,
            held_ms: 9900,
            gone_ms: 10_000,
        },
        LackedCase {
            name: "the operator's, lapsed or deleted in an outage",
            key: "op/a",
            era: 1,
            held_ms: 2400,
            gone_ms: 2500,
        },
        LackedCase {
            name: "a server's, restored",
            key: "s/a",
            era: 2,
            held_ms: 2400,
            gone_ms: 2500,
        },
    ];
    for case in &cases {
        let mut mirror = StoreMirror::with_operator("op/");
        let written = vec![StoreEvent::Put(item(case.key, order(1, 4)))];
        mirror.apply(at(0), written, StoreHealth::Steady);
        let position = order(case.era, 9);
        mirror.replace(at(1000), "", Vec::new(), position, StoreHealth::Returned);
        let is_held = |mirror: &mut StoreMirror, ms| {
            mirror.expire(at(1000 + ms));
            mirror.item_revision(case.key).is_some()
        };
        assert!(is_held(&mut mirror, case.held_ms), "{}", case.name);
        assert!(!is_held(&mut mirror, case.gone_ms), "{}", case.name);
    }
}

#[test]
fn a_copy_from_before_a_restore_is_past() {
    let mut mirror = StoreMirror::default();
    let held = vec![StoreEvent::Put(item("a", order(2, 4)))];
    mirror.apply(at(0), held, StoreHealth::Steady);
    for (other, is_past) in [
        (order(1, 900), true),
        (order(2, 1), false),
        (order(3, 1), false),
    ] {
        assert_eq!(mirror.is_past_era(other), is_past, "{other}");
    }
}
