//! What the ledger counts, and when refused callers return.

use std::time::Duration;

use onyxfall_capacity::{
    ClassTag, Importance, LoadLedger, ReceivedFlows, RegionMask, ReturnAdvice, return_delay,
};
use onyxfall_policy::Moment;

fn at(millis: u64) -> Moment {
    Moment::from_duration(Duration::from_millis(millis))
}

fn class(team: u8) -> ClassTag {
    let importance = Importance { kind: 0, team };
    ClassTag::of(&"chat".parse().unwrap(), importance, RegionMask::ALL)
}

/// An event at the ledger of a VM in region 0. Teams name classes; 0 and 1 are configured.
enum Event {
    Record(u64, u8, Duration),
    Peers(u8, u64),
    Report(u64, usize, u8, u64),
}
use Event::{Peers, Record, Report};

struct LedgerCase {
    /// The failure it guards against.
    name: &'static str,
    events: Vec<Event>,
    now: u64,
    /// Offered work of class 0 by callers' region.
    offered: [&'static str; 2],
}

#[test]
fn demand_is_counted_once_and_ages() {
    let millis = Duration::from_millis;
    let cases = [
        LedgerCase {
            name: "demand that ended stays in the plan",
            events: vec![Record(0, 0, millis(1000))],
            now: 1000,
            offered: ["0.368 s/s", "0.000 s/s"],
        },
        LedgerCase {
            name: "a wrong estimate or a clock that runs back spoils the meter",
            events: vec![Record(5, 0, Duration::MAX), Record(3, 0, millis(0))],
            now: 5,
            offered: ["60.000 s/s", "0.000 s/s"],
        },
        LedgerCase {
            name: "sums of peers add up over reports",
            events: vec![
                Peers(0, 2_000_000),
                Peers(0, 500_000),
                Record(9, 0, millis(500)),
            ],
            now: 9,
            offered: ["1.000 s/s", "0.000 s/s"],
        },
        LedgerCase {
            name: "an absurd sum of peers is taken as it is",
            events: vec![Peers(0, u64::MAX)],
            now: 0,
            offered: ["1000000.000 s/s", "0.000 s/s"],
        },
        LedgerCase {
            name: "a late report replaces a newer one",
            events: vec![Report(100, 1, 0, 3_000_000), Report(90, 1, 0, 1_000_000)],
            now: 1600,
            offered: ["0.000 s/s", "3.000 s/s"],
        },
        LedgerCase {
            name: "a partitioned region keeps its demand",
            events: vec![Report(100, 1, 0, 3_000_000)],
            now: 1601,
            offered: ["0.000 s/s", "0.000 s/s"],
        },
        LedgerCase {
            name: "another region overwrites this region's demand",
            events: vec![Report(0, 0, 0, 9_000_000), Report(0, 40, 0, 9_000_000)],
            now: 0,
            offered: ["0.000 s/s", "0.000 s/s"],
        },
        LedgerCase {
            name: "demand of another class is counted",
            events: vec![Report(0, 1, 1, 9_000_000), Record(0, 1, millis(100))],
            now: 0,
            offered: ["0.000 s/s", "0.000 s/s"],
        },
    ];
    for case in cases {
        let mut ledger = LoadLedger::new(0);
        ledger.set_classes([class(0), class(1)]);
        for event in case.events {
            match event {
                Record(when, team, work) => ledger.record(at(when), class(team), work),
                Peers(team, micros) => assert!(ledger.set_peer_flow(class(team).get(), micros)),
                Report(sent, region, team, micros) => {
                    ledger.receive(at(sent), region, &[(class(team).get(), micros)]);
                }
            }
        }
        let offered = [0, 1].map(|region| ledger.offered(at(case.now), class(0), region));
        assert_eq!(
            offered.map(|rate| rate.to_string()),
            case.offered,
            "{}",
            case.name
        );
    }
}

/// Guards against memory that grows with tags from other builds, and against flows of
/// classes that the configuration has dropped.
#[test]
fn only_configured_classes_are_kept() {
    let mut ledger = LoadLedger::new(0);
    ledger.set_classes([class(0)]);
    assert!(!ledger.set_peer_flow(class(1).get(), 5));
    let flows = [(class(0).get(), u64::MAX), (class(1).get(), 5)];
    let received = ledger.receive(at(0), 1, &flows);
    assert_eq!(
        received,
        ReceivedFlows {
            clamped: 1,
            unknown: 1
        }
    );
    ledger.record(at(0), class(0), Duration::from_millis(7));
    assert!(ledger.set_peer_flow(class(0).get(), 3_000));
    let flow = |micros| vec![(class(0).get(), micros)];
    assert_eq!(ledger.own_flows(at(0)).collect::<Vec<_>>(), flow(7_000));
    assert_eq!(ledger.region_flows(at(0)).collect::<Vec<_>>(), flow(10_000));
    ledger.clear_peer_flows();
    assert_eq!(ledger.own_flows(at(60_000)).collect::<Vec<_>>(), flow(0));
    assert_eq!(ledger.region_flows(at(60_000)).count(), 0);
    ledger.set_classes([class(1)]);
    assert_eq!(ledger.own_flows(at(0)).count(), 0);
}

struct ReturnCase {
    /// The failure it guards against.
    name: &'static str,
    backlog: u64,
    refused: f64,
    time_left: Duration,
    /// Delays in milliseconds at points 0 and 1.
    delays: [u128; 2],
}

#[test]
fn returns_are_spread_and_in_time() {
    let secs = Duration::from_secs;
    let cases = [
        ReturnCase {
            name: "a caller waits longer than needed when few are refused",
            backlog: 100,
            refused: 0.0,
            time_left: secs(3),
            delays: [100, 100],
        },
        ReturnCase {
            name: "all return at once when most are refused",
            backlog: 100,
            refused: 1.0,
            time_left: secs(3),
            delays: [100, 1000],
        },
        ReturnCase {
            name: "a backlog beyond the third makes all return at one moment, or too late",
            backlog: 9000,
            refused: 0.5,
            time_left: secs(3),
            delays: [750, 875],
        },
        ReturnCase {
            name: "no time is left",
            backlog: 100,
            refused: 0.5,
            time_left: secs(0),
            delays: [0, 0],
        },
        ReturnCase {
            name: "figures out of range panic",
            backlog: u64::MAX,
            refused: f64::NAN,
            time_left: Duration::MAX,
            delays: [600_000, 1_200_000],
        },
    ];
    for case in cases {
        let advice = ReturnAdvice {
            backlog: Duration::from_millis(case.backlog),
            refused: case.refused,
            time_left: case.time_left,
        };
        let delays = [0.0, 1.0].map(|point| return_delay(&advice, point).as_millis());
        assert_eq!(delays, case.delays, "{}", case.name);
        for point in [f64::NAN, -1.0, 7.0] {
            assert!(
                return_delay(&advice, point).as_millis() <= case.delays[1],
                "{}",
                case.name
            );
        }
    }
}
