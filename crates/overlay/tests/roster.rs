//! Who lives, by what was heard and told: random histories and single cases.

use std::net::SocketAddr;
use std::time::Duration;

use onyxfall_overlay::{
    Evidence, RecordVersion, Roster, RosterTiming, RosterUpdate, UpdateScope, VmCapacity, VmRecord,
    VmStatus,
};
use onyxfall_policy::Moment;
use onyxfall_types::{Incarnation, VmName};
use proptest::prelude::*;

const SILENT_MS: u64 = 1300;
const FLEET_MS: u64 = 4000;

fn at(ms: u64) -> Moment {
    Moment::from_duration(Duration::from_millis(ms))
}

fn record(number: usize, region: usize, life: u64, change: u32) -> VmRecord {
    VmRecord {
        name: format!("vm{number}").parse().unwrap(),
        center: format!("c{region}").parse().unwrap(),
        region: format!("r{region}").parse().unwrap(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        peer_address: SocketAddr::from(([127, 0, 0, 1], 2)),
        capacity: VmCapacity::default(),
        version: RecordVersion {
            incarnation: Incarnation::new(life),
            change,
        },
        status: VmStatus::default(),
    }
}

fn roster() -> Roster {
    let timing = RosterTiming {
        unresponsive_after: Duration::from_millis(SILENT_MS),
        fleet_update_lifetime: Duration::from_millis(FLEET_MS),
        forget_after: Duration::from_mins(2),
    };
    Roster::new(record(0, 0, 1, 0), timing)
}

fn word(scope: UpdateScope, is_whole: bool, records: Vec<VmRecord>) -> RosterUpdate {
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

struct WordCase {
    name: &'static str,
    scope: UpdateScope,
    /// Regions of the teller and of the VM that it names.
    teller: usize,
    named: usize,
    expected: Evidence,
}

#[test]
fn a_word_is_worth_what_its_teller_can_know() {
    let cases = [
        WordCase {
            name: "a neighbour hears a neighbour",
            scope: UpdateScope::Own,
            teller: 0,
            named: 0,
            expected: Evidence::Neighbour,
        },
        WordCase {
            name: "a neighbour cannot vouch for another region",
            scope: UpdateScope::Own,
            teller: 0,
            named: 1,
            expected: Evidence::None,
        },
        WordCase {
            name: "a region tells of its own",
            scope: UpdateScope::Region,
            teller: 1,
            named: 1,
            expected: Evidence::Region,
        },
        WordCase {
            name: "another region cannot vouch for this one",
            scope: UpdateScope::Region,
            teller: 1,
            named: 0,
            expected: Evidence::None,
        },
        WordCase {
            name: "an aggregator tells its members of all",
            scope: UpdateScope::Fleet,
            teller: 0,
            named: 1,
            expected: Evidence::Fleet,
        },
    ];
    for case in cases {
        let mut roster = roster();
        let teller = record(1, case.teller, 1, 0);
        roster.hear(at(0), &teller);
        let named = record(2, case.named, 1, 0);
        roster.take_word(at(0), &teller.name, &word(case.scope, true, vec![named]));
        assert_eq!(evidence(&roster, 2), case.expected, "{}", case.name);
    }
}

#[test]
fn what_was_told_is_never_told_on_as_ones_own() {
    let mut roster = roster();
    let teller = record(1, 0, 1, 0);
    roster.hear(at(0), &teller);
    let named = record(2, 0, 1, 0);
    roster.take_word(
        at(0),
        &teller.name,
        &word(UpdateScope::Fleet, true, vec![named]),
    );
    assert_eq!(evidence(&roster, 2), Evidence::Fleet);
    for scope in [UpdateScope::Own, UpdateScope::Region, UpdateScope::Fleet] {
        assert!(scope.least_evidence() > Evidence::Fleet, "{scope:?}");
    }
}

#[test]
fn a_paused_teller_goes_on_from_its_last_word() {
    let mut roster = roster();
    let teller = record(1, 0, 1, 0);
    roster.hear(at(0), &teller);
    let named = record(2, 0, 1, 0);
    roster.take_word(
        at(0),
        &teller.name,
        &word(UpdateScope::Own, true, vec![named]),
    );
    roster.tick(at(SILENT_MS));
    assert_eq!(evidence(&roster, 2), Evidence::None);
    assert!(roster.hear_word_again(at(5000), &teller.name, UpdateScope::Own));
    assert_eq!(evidence(&roster, 2), Evidence::Neighbour);
}

#[test]
fn a_word_that_follows_an_unknown_one_is_refused() {
    let mut roster = roster();
    let teller = record(1, 0, 1, 0);
    roster.hear(at(0), &teller);
    let news = word(UpdateScope::Own, false, vec![record(2, 0, 1, 0)]);
    assert!(!roster.take_word(at(0), &teller.name, &news));
    assert_eq!(evidence(&roster, 2), Evidence::None);
}

#[test]
fn a_later_life_of_ones_own_name_is_outlived() {
    let mut roster = roster();
    roster.hear(at(0), &record(0, 0, 9, 0));
    let own = roster.own().version.incarnation;
    assert_eq!(own, Incarnation::new(10));
}

#[derive(Clone, Debug)]
enum Step {
    /// VM, life, change.
    Hear(usize, u64, u32),
    /// Teller, scope, whether whole, VMs named.
    Word(usize, usize, bool, Vec<(usize, u64, u32)>),
    /// Teller, VM no longer named.
    Gone(usize, usize),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let vm = || 1..6_usize;
    let named = (vm(), 1..3_u64, 0..3_u32);
    prop_oneof![
        (vm(), 1..3_u64, 0..3_u32).prop_map(|(vm, life, change)| Step::Hear(vm, life, change)),
        (
            vm(),
            0..3_usize,
            any::<bool>(),
            prop::collection::vec(named, 0..4)
        )
            .prop_map(|(vm, scope, is_whole, named)| Step::Word(vm, scope, is_whole, named)),
        (vm(), vm()).prop_map(|(teller, vm)| Step::Gone(teller, vm)),
        (1..2000_u64).prop_map(Step::Wait),
    ]
}

/// Odd VMs are of this region.
fn region(vm: usize) -> usize {
    1 - vm % 2
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: prop::test_runner::RngSeed::Fixed(11),
        ..ProptestConfig::with_cases(256)
    })]

    /// Whatever is heard and told: versions never go back, and a VM that nobody has
    /// heard or named within the bound is not alive.
    #[test]
    fn versions_never_go_back_and_the_dead_stay_dead(
        steps in prop::collection::vec(step(), 1..80)
    ) {
        let mut roster = roster();
        let mut now = 0;
        let mut last_word = [None; 6];
        let mut versions = [RecordVersion::default(); 6];
        for step in steps {
            match step {
                Step::Hear(vm, life, change) => {
                    roster.hear(at(now), &record(vm, region(vm), life, change));
                    last_word[vm] = Some(now);
                }
                Step::Word(teller, scope, is_whole, named) => {
                    let scope = UpdateScope::ALL[scope];
                    let name: VmName = format!("vm{teller}").parse().unwrap();
                    let records = named
                        .iter()
                        .map(|(vm, life, change)| record(*vm, region(*vm), *life, *change))
                        .collect();
                    let is_taken =
                        roster.take_word(at(now), &name, &word(scope, is_whole, records));
                    if is_taken {
                        // Whoever the teller named before is vouched for again as well.
                        last_word.fill(Some(now));
                    }
                }
                Step::Gone(teller, vm) => {
                    let name: VmName = format!("vm{teller}").parse().unwrap();
                    let gone = RosterUpdate {
                        gone: vec![format!("vm{vm}").parse().unwrap()],
                        ..word(UpdateScope::Own, false, Vec::new())
                    };
                    if roster.take_word(at(now), &name, &gone) {
                        last_word.fill(Some(now));
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
                let bound = last_word[vm].map_or(0, |heard| heard + FLEET_MS);
                prop_assert!(!known.is_alive() || now < bound);
            }
        }
    }
}
