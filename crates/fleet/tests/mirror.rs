//! Updates of the local copy of the store, and its state after outages and restores.

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

struct UpdateCase {
    name: &'static str,
    event: StoreEvent,
    health: StoreHealth,
    /// Changes that the event causes at once.
    changes: Vec<MirrorChange>,
    /// Changes at the end of the return window.
    expired: Vec<MirrorChange>,
}

#[test]
fn updates_apply_by_revision_and_store_health() {
    let deletion = |revision| StoreEvent::Delete {
        key: "a".to_owned(),
        revision,
    };
    let cases = [
        UpdateCase {
            name: "a newer value",
            event: StoreEvent::Put(item("a", 6)),
            health: StoreHealth::Steady,
            changes: vec![set("a", 6)],
            expired: vec![],
        },
        UpdateCase {
            name: "an older value",
            event: StoreEvent::Put(item("a", 4)),
            health: StoreHealth::Steady,
            changes: vec![],
            expired: vec![],
        },
        UpdateCase {
            name: "a deletion while the store is available",
            event: deletion(6),
            health: StoreHealth::Steady,
            changes: vec![removed("a")],
            expired: vec![],
        },
        UpdateCase {
            name: "a deletion after an outage applies if the owner does not return",
            event: deletion(6),
            health: StoreHealth::Returned,
            changes: vec![],
            expired: vec![removed("a")],
        },
        UpdateCase {
            name: "a deletion before the key was written again",
            event: deletion(4),
            health: StoreHealth::Steady,
            changes: vec![],
            expired: vec![],
        },
    ];
    for case in cases {
        let mut mirror = StoreMirror::default();
        mirror.replace(at(0), "", vec![item("a", 5)], 5, StoreHealth::Steady);
        let changes = mirror.apply(at(10), vec![case.event], case.health);
        assert_eq!(changes, case.changes, "{}: at once", case.name);
        let expired = mirror.expire(at(10) + RETURN_WINDOW);
        assert_eq!(
            expired, case.expired,
            "{}: at the end of the window",
            case.name
        );
    }
}

#[test]
fn an_owner_that_returns_keeps_its_item() {
    let mut mirror = StoreMirror::default();
    mirror.replace(at(0), "", vec![item("a", 5)], 5, StoreHealth::Steady);
    mirror.replace(at(10), "", vec![], 7, StoreHealth::Returned);
    assert!(
        mirror.snapshot().is_empty(),
        "a missing item is not sent on"
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
fn a_copy_that_follows_a_watching_copy_equals_it() {
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
fn a_delta_without_a_large_value_is_marked_partial() {
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

/// Guards against old changes that bring back deleted items. When a connection of a standby
/// became active, the VM that had dialled it was sent every recorded change from the first on
/// and forwarded them. Servers that had been gone for 5.3 s were ready again on every VM of the
/// data centre, and one of them got a request.
#[test]
fn a_deleted_item_does_not_come_back_by_an_older_update() {
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

/// Applies a random change: a write, a deletion while the store is available, a deletion after
/// an outage, or the expiry of missing items.
fn random_change(mirror: &mut StoreMirror, step: u64, key: u8, kind: u8) {
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
    /// The incremental hash equals that of a copy to which the same items are applied at once.
    #[test]
    fn the_incremental_hash_equals_that_of_the_items(
        changes in proptest::collection::vec((0_u8..6, 0_u8..5), 0..80),
    ) {
        let mut mirror = StoreMirror::default();
        for (step, (key, kind)) in changes.into_iter().enumerate() {
            random_change(&mut mirror, step as u64, key, kind);
            let mut fresh = StoreMirror::default();
            let puts = mirror.snapshot().into_iter().map(StoreEvent::Put);
            fresh.apply(at(0), puts.collect(), StoreHealth::Steady);
            proptest::prop_assert_eq!(mirror.hash(), fresh.hash());
        }
    }
}

/// Order of a store position, which the copy uses as revision.
fn order(era: u16, revision: u64) -> u64 {
    let position = StorePosition::new(StoreEra::new(era), revision);
    position.unwrap().order()
}

/// History of the key `a` before and after a restore of the store. The value of an item is its
/// revision.
struct RestoredCase {
    name: &'static str,
    /// Revisions at which `a` was written and deleted in the first era; 0 for never.
    written: u64,
    deleted: u64,
    /// Revision of `a` in the restored store; 0 if it has none.
    restored: u64,
    /// Revision at which `a` is written again 1 s later; 0 if it is not.
    rewritten: u64,
    /// Whether the copy has `a` at once, after 1 s and after 10 s.
    is_present: [bool; 3],
}

#[test]
fn a_restored_store_adds_and_removes_items_only_after_a_delay() {
    let case = |name, [written, deleted, restored, rewritten]: [u64; 4], is_present| RestoredCase {
        name,
        written,
        deleted,
        restored,
        rewritten,
        is_present,
    };
    let cases = [
        case("older than the copy", [5, 0, 5, 0], [true, true, true]),
        case("an older value", [50, 0, 5, 0], [true, true, true]),
        case(
            "written after the backup, and lost",
            [50, 0, 0, 0],
            [true, true, false],
        ),
        case(
            "written after the backup, and written again",
            [50, 0, 0, 12],
            [true, true, true],
        ),
        case(
            "deleted after the backup, and not deleted again",
            [5, 50, 5, 0],
            [false, false, true],
        ),
        case(
            "deleted after the backup, and written again",
            [5, 50, 5, 12],
            [false, true, true],
        ),
        case(
            "deleted after the backup, and written before the read",
            [5, 50, 60, 0],
            [true, true, true],
        ),
        case("new in the second era", [0, 0, 11, 0], [true, true, true]),
        case(
            "deleted before the backup, and written after the restore",
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
        if case.restored > 0 {
            items.push(item("a", order(2, case.restored)));
        }
        mirror.replace(at(1000), "", items, order(2, 10), steady);
        let is_present = |mirror: &StoreMirror| mirror.item_revision("a").is_some();
        let mut observed = [is_present(&mirror), false, false];
        if case.rewritten > 0 {
            mirror.apply(at(2000), put(order(2, case.rewritten)), steady);
        }
        mirror.expire(at(2000));
        observed[1] = is_present(&mirror);
        mirror.expire(at(11_000));
        observed[2] = is_present(&mirror);
        assert_eq!(observed, case.is_present, "{}", case.name);
    }
}

#[test]
fn an_update_from_before_a_restore_changes_nothing() {
    let mut mirror = StoreMirror::default();
    let steady = StoreHealth::Steady;
    mirror.apply(at(0), vec![StoreEvent::Put(item("a", order(2, 4)))], steady);
    let old = vec![StoreEvent::Put(item("a", order(1, 900)))];
    assert_eq!(mirror.apply(at(1), old, steady), vec![]);
    assert_eq!(mirror.revision(), order(2, 4));
}

struct MissingCase {
    name: &'static str,
    key: &'static str,
    /// Era in which the store is read without the key after an outage.
    era: u16,
    /// Times after which the key is still present, and has been removed.
    present_ms: u64,
    removed_ms: u64,
}

#[test]
fn items_of_the_operator_are_kept_longer_after_a_restore() {
    let cases = [
        MissingCase {
            name: "an operator item, restored store",
            key: "op/a",
            era: 2,
            present_ms: 9900,
            removed_ms: 10_000,
        },
        MissingCase {
            name: "an operator item, expired or deleted during an outage",
            key: "op/a",
            era: 1,
            present_ms: 2400,
            removed_ms: 2500,
        },
        MissingCase {
            name: "a server item, restored store",
            key: "s/a",
            era: 2,
            present_ms: 2400,
            removed_ms: 2500,
        },
    ];
    for case in &cases {
        let mut mirror = StoreMirror::with_operator("op/");
        let written = vec![StoreEvent::Put(item(case.key, order(1, 4)))];
        mirror.apply(at(0), written, StoreHealth::Steady);
        let position = order(case.era, 9);
        mirror.replace(at(1000), "", Vec::new(), position, StoreHealth::Returned);
        let is_present = |mirror: &mut StoreMirror, ms| {
            mirror.expire(at(1000 + ms));
            mirror.item_revision(case.key).is_some()
        };
        assert!(is_present(&mut mirror, case.present_ms), "{}", case.name);
        assert!(!is_present(&mut mirror, case.removed_ms), "{}", case.name);
    }
}

#[test]
fn a_copy_from_before_a_restore_is_of_a_past_era() {
    let mut mirror = StoreMirror::default();
    let items = vec![StoreEvent::Put(item("a", order(2, 4)))];
    mirror.apply(at(0), items, StoreHealth::Steady);
    for (other, is_past) in [
        (order(1, 900), true),
        (order(2, 1), false),
        (order(3, 1), false),
    ] {
        assert_eq!(mirror.is_past_era(other), is_past, "{other}");
    }
}
