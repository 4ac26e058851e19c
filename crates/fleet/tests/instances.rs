//! Servers that restart under their name: state of a former instance is never used for a later
//! one.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use onyxfall_fleet::{
    AttemptResult, FleetView, ServerPhase, ServerRecord, ServerVotes, StartTime, WorkShare,
};
use proptest::prelude::*;
use support::{at, place, ready_server};

fn view() -> FleetView {
    FleetView::new(place("vm1", &[("c0", "r0")]))
}

fn record(name: &str, started_at: u64, phase: ServerPhase) -> ServerRecord {
    ServerRecord {
        started_at: StartTime::from_millis(started_at),
        phase,
        cold_left: Duration::from_secs(5),
        ..ready_server(name)
    }
}

fn ready(name: &str, started_at: u64) -> ServerRecord {
    record(name, started_at, ServerPhase::Ready)
}

#[test]
fn a_later_instance_has_no_state_of_the_former_one() {
    let mut fleet = view();
    fleet.put_server(at(0), ready("s1", 100), None);
    let former = fleet.find("s1").unwrap();
    let bad = WorkShare {
        requests: 3,
        votes: ServerVotes { good: 0, bad: 4 },
        ..WorkShare::default()
    };
    fleet.server_mut(former).set_others(at(10), bad);
    fleet
        .server_mut(former)
        .end(at(10), 1, AttemptResult::Broken);
    let former_tag = fleet.server(former).tag();
    assert!(fleet.is_suspected(at(10), former));

    fleet.put_server(at(6000), ready("s1", 7000), None);
    let later = fleet.find("s1").unwrap();
    assert_ne!(later, former, "another instance");
    assert!(fleet.server(former).is_gone() && fleet.server(former).is_replaced());
    assert!(
        fleet.is_suspected(at(6000), former),
        "attempts at the former instance have ended"
    );
    assert!(
        !fleet.is_suspected(at(6000), later),
        "no votes of the former instance"
    );
    assert!(
        fleet.server(later).is_trusted(at(6000)),
        "a closed circuit breaker"
    );
    assert!(fleet.server(later).is_cold(at(6000)), "a cold server");
    assert_eq!(fleet.server(later).work(), WorkShare::default(), "no work");
    assert_eq!(
        fleet.find_tag(former_tag),
        None,
        "work reported for the former instance is not attributed"
    );
    assert_eq!(fleet.find_tag(fleet.server(later).tag()), Some(later));
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Put(&'static str, u64),
    Drain(&'static str, u64),
    Remove(&'static str),
}

struct OrderCase {
    name: &'static str,
    steps: &'static [Step],
    /// Start time of the instance known at the end, and whether it takes work.
    known: Option<(u64, bool)>,
}

#[test]
fn an_entry_of_a_former_instance_changes_nothing() {
    use Step::{Drain, Put, Remove};
    let cases = [
        OrderCase {
            name: "arrives after the later entry",
            steps: &[Put("s1", 200), Put("s1", 100)],
            known: Some((200, true)),
        },
        OrderCase {
            name: "arrives after the later entry, and is draining",
            steps: &[Put("s1", 200), Drain("s1", 100)],
            known: Some((200, true)),
        },
        OrderCase {
            name: "arrives after the later entry was removed",
            steps: &[Put("s1", 200), Remove("s1"), Put("s1", 100)],
            known: None,
        },
        OrderCase {
            name: "the same instance is back after its entry expired",
            steps: &[Put("s1", 200), Remove("s1"), Put("s1", 200)],
            known: Some((200, true)),
        },
        OrderCase {
            name: "the later instance is ready though the former one was draining",
            steps: &[Drain("s1", 100), Put("s1", 200)],
            known: Some((200, true)),
        },
        OrderCase {
            name: "an entry without a start time arrives after one with it",
            steps: &[Put("s1", 200), Put("s1", 0)],
            known: Some((200, true)),
        },
    ];
    for case in &cases {
        let mut fleet = view();
        for step in case.steps {
            match *step {
                Put(name, started_at) => fleet.put_server(at(0), ready(name, started_at), None),
                Drain(name, started_at) => {
                    let phase = ServerPhase::Draining { left: None };
                    fleet.put_server(at(0), record(name, started_at, phase), None);
                }
                Remove(name) => fleet.remove_server(at(0), name),
            }
        }
        let known = fleet.find("s1").map(|id| {
            let server = fleet.server(id);
            (server.record.started_at.millis(), server.takes_work())
        });
        assert_eq!(known, case.known, "{}", case.name);
    }
}

const NAMES: [&str; 3] = ["s1", "s2", "s3"];

proptest! {
    /// With any delays, repetitions and losses of entries, a VM that has received the last entry
    /// of each server has exactly these instances and uses no others.
    #[test]
    fn every_order_of_entries_ends_with_the_latest_instances(
        starts in proptest::collection::vec((0..3usize, 1..6u64), 1..12),
        order in proptest::collection::vec(0..12usize, 0..30),
    ) {
        let mut fleet = view();
        let mut latest: BTreeMap<&str, u64> = BTreeMap::new();
        for (name, started_at) in &starts {
            let newest = latest.entry(NAMES[*name]).or_default();
            *newest = (*newest).max(*started_at);
        }
        let some = order.iter().filter_map(|index| starts.get(*index));
        let rest = latest.iter().map(|(name, started_at)| (*name, *started_at));
        let all = some.map(|(name, started_at)| (NAMES[*name], *started_at)).chain(rest);
        for (index, (name, started_at)) in all.enumerate() {
            fleet.put_server(at(index as u64), ready(name, started_at), None);
            let id = fleet.find(name).unwrap();
            prop_assert!(!fleet.server(id).is_gone());
        }
        prop_assert_eq!(fleet.live().count(), latest.len());
        for (name, started_at) in latest {
            let id = fleet.find(name).unwrap();
            prop_assert_eq!(fleet.server(id).record.started_at.millis(), started_at);
            prop_assert_eq!(fleet.find_instance(fleet.server(id).instance_hash()), Some(id));
        }
    }
}
