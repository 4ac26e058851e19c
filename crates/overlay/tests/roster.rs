//! Evidence of liveness from received messages and roster updates: single cases and random
//! histories.

use std::net::SocketAddr;
use std::time::Duration;

use onyxfall_overlay::{
    Evidence, RecordVersion, Roster, RosterTiming, RosterUpdate, UpdateScope, VmCapacity, VmRecord,
    VmStatus,
};
use onyxfall_policy::Moment;
use onyxfall_types::{Incarnation, VmName};
use proptest::prelude::*;

const UNRESPONSIVE_MS: u64 = 1300;
const FLEET_MS: u64 = 4000;

fn at(ms: u64) -> Moment {
    Moment::from_duration(Duration::from_millis(ms))
}

fn record(number: usize, region: usize, incarnation: u64, change: u32) -> VmRecord {
    VmRecord {
        name: format!("vm{number}").parse().unwrap(),
        center: format!("c{region}").parse().unwrap(),
        region: format!("r{region}").parse().unwrap(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        peer_address: SocketAddr::from(([127, 0, 0, 1], 2)),
        capacity: VmCapacity::default(),
        version: RecordVersion {
            incarnation: Incarnation::new(incarnation),
            change,
        },
        status: VmStatus::default(),
    }
}

fn roster() -> Roster {
    let timing = RosterTiming {
        unresponsive_after: Duration::from_millis(UNRESPONSIVE_MS),
        fleet_update_lifetime: Duration::from_millis(FLEET_MS),
        forget_after: Duration::from_mins(2),
    };
    Roster::new(record(0, 0, 1, 0), timing)
}

fn update(scope: UpdateScope, is_whole: bool, records: Vec<VmRecord>) -> RosterUpdate {
    RosterUpdate {
        scope,
        is_whole,
        records,
        gone: Vec::new(),
    }
}

fn evidence(roster: &Roster, number: usize) -> Evidence {
    let name: VmName = format!("vm{number}").parse().unwrap();
    roster.get(&name).map_or(Evidence::None, |vm| vm.evidence)
}

struct UpdateCase {
    name: &'static str,
    scope: UpdateScope,
    /// Region numbers of the sender and of the VM that its update lists.
    sender: usize,
    named: usize,
    expected: Evidence,
}

#[test]
fn evidence_of_an_update_depends_on_scope_and_sender() {
    let cases = [
        UpdateCase {
            name: "a neighbour receives from a neighbour",
            scope: UpdateScope::Own,
            sender: 0,
            named: 0,
            expected: Evidence::Neighbour,
        },
        UpdateCase {
            name: "a neighbour gives no evidence for another region",
            scope: UpdateScope::Own,
            sender: 0,
            named: 1,
            expected: Evidence::None,
        },
        UpdateCase {
            name: "a region lists its own VMs",
            scope: UpdateScope::Region,
            sender: 1,
            named: 1,
            expected: Evidence::Region,
        },
        UpdateCase {
            name: "another region gives no evidence for this one",
            scope: UpdateScope::Region,
            sender: 1,
            named: 0,
            expected: Evidence::None,
        },
        UpdateCase {
            name: "an aggregator lists all VMs to its members",
            scope: UpdateScope::Fleet,
            sender: 0,
            named: 1,
            expected: Evidence::Fleet,
        },
    ];
    for case in cases {
        let mut roster = roster();
        let sender = record(1, case.sender, 1, 0);
        roster.receive(at(0), &sender);
        let named = record(2, case.named, 1, 0);
        roster.apply_update(at(0), &sender.name, &update(case.scope, true, vec![named]));
        assert_eq!(evidence(&roster, 2), case.expected, "{}", case.name);
    }
}

#[test]
fn fleet_evidence_is_not_forwarded_as_own_evidence() {
    let mut roster = roster();
    let sender = record(1, 0, 1, 0);
    roster.receive(at(0), &sender);
    let named = record(2, 0, 1, 0);
    roster.apply_update(
        at(0),
        &sender.name,
        &update(UpdateScope::Fleet, true, vec![named]),
    );
    assert_eq!(evidence(&roster, 2), Evidence::Fleet);
    for scope in [UpdateScope::Own, UpdateScope::Region, UpdateScope::Fleet] {
        assert!(scope.least_evidence() > Evidence::Fleet, "{scope:?}");
    }
}

#[test]
fn a_paused_sender_continues_from_its_last_update() {
    let mut roster = roster();
    let sender = record(1, 0, 1, 0);
    roster.receive(at(0), &sender);
    let named = record(2, 0, 1, 0);
    roster.apply_update(
        at(0),
        &sender.name,
        &update(UpdateScope::Own, true, vec![named]),
    );
    roster.tick(at(UNRESPONSIVE_MS));
    assert_eq!(evidence(&roster, 2), Evidence::None);
    assert!(roster.renew_update(at(5000), &sender.name, UpdateScope::Own));
    assert_eq!(evidence(&roster, 2), Evidence::Neighbour);
}

#[test]
fn a_difference_without_a_complete_update_is_rejected() {
    let mut roster = roster();
    let sender = record(1, 0, 1, 0);
    roster.receive(at(0), &sender);
    let difference = update(UpdateScope::Own, false, vec![record(2, 0, 1, 0)]);
    assert!(!roster.apply_update(at(0), &sender.name, &difference));
    assert_eq!(evidence(&roster, 2), Evidence::None);
}

#[test]
fn a_later_incarnation_of_the_own_name_is_exceeded() {
    let mut roster = roster();
    roster.receive(at(0), &record(0, 0, 9, 0));
    let own = roster.own().version.incarnation;
    assert_eq!(own, Incarnation::new(10));
}

#[derive(Clone, Debug)]
enum Step {
    /// VM, incarnation, change.
    Receive(usize, u64, u32),
    /// Sender, scope, whether the update is complete, VMs listed.
    Update(usize, usize, bool, Vec<(usize, u64, u32)>),
    /// Sender, VM no longer listed.
    Gone(usize, usize),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let vm = || 1..6_usize;
    let named = (vm(), 1..3_u64, 0..3_u32);
    prop_oneof![
        (vm(), 1..3_u64, 0..3_u32).prop_map(|(vm, incarnation, change)| Step::Receive(
            vm,
            incarnation,
            change
        )),
        (
            vm(),
            0..3_usize,
            any::<bool>(),
            prop::collection::vec(named, 0..4)
        )
            .prop_map(|(vm, scope, is_whole, named)| Step::Update(vm, scope, is_whole, named)),
        (vm(), vm()).prop_map(|(sender, vm)| Step::Gone(sender, vm)),
        (1..2000_u64).prop_map(Step::Wait),
    ]
}

/// Region of a VM: odd numbers belong to this region.
fn region(vm: usize) -> usize {
    1 - vm % 2
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: prop::test_runner::RngSeed::Fixed(11),
        ..ProptestConfig::with_cases(256)
    })]

    /// For any sequence of messages, versions never decrease, and a VM that sent nothing and
    /// was not listed within the bound is not alive.
    #[test]
    fn versions_never_decrease_and_dead_vms_stay_dead(
        steps in prop::collection::vec(step(), 1..80)
    ) {
        let mut roster = roster();
        let mut now = 0;
        let mut last_update = [None; 6];
        let mut versions = [RecordVersion::default(); 6];
        for step in steps {
            match step {
                Step::Receive(vm, incarnation, change) => {
                    roster.receive(at(now), &record(vm, region(vm), incarnation, change));
                    last_update[vm] = Some(now);
                }
                Step::Update(sender, scope, is_whole, named) => {
                    let scope = UpdateScope::ALL[scope];
                    let name: VmName = format!("vm{sender}").parse().unwrap();
                    let records = named
                        .iter()
                        .map(|(vm, incarnation, change)| record(*vm, region(*vm), *incarnation, *change))
                        .collect();
                    let is_applied =
                        roster.apply_update(at(now), &name, &update(scope, is_whole, records));
                    if is_applied {
                        // VMs that the sender listed earlier are renewed as well.
                        last_update.fill(Some(now));
                    }
                }
                Step::Gone(sender, vm) => {
                    let name: VmName = format!("vm{sender}").parse().unwrap();
                    let gone = RosterUpdate {
                        gone: vec![format!("vm{vm}").parse().unwrap()],
                        ..update(UpdateScope::Own, false, Vec::new())
                    };
                    if roster.apply_update(at(now), &name, &gone) {
                        last_update.fill(Some(now));
                    }
                }
                Step::Wait(ms) => now += ms,
            }
            roster.tick(at(now));
            for vm in 1..6 {
                let name: VmName = format!("vm{vm}").parse().unwrap();
                let Some(known) = roster.get(&name) else {
                    continue;
                };
                prop_assert!(known.record.version >= versions[vm]);
                versions[vm] = known.record.version;
                let bound = last_update[vm].map_or(0, |received| received + FLEET_MS);
                prop_assert!(!known.is_alive() || now < bound);
            }
        }
    }
}
