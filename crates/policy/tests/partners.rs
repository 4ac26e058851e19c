//! Who tells whom across regions, over whole fleets of views.

use std::time::Duration;

use onyxfall_policy::{FAR_PARTNERS, MemberBeat, MemberTable, MemberTiming, Moment};
use onyxfall_types::{Incarnation, VmName};

fn at(ms: u64) -> Moment {
    Moment::from_duration(Duration::from_millis(ms))
}

fn beat(region: usize, vm: usize) -> MemberBeat {
    MemberBeat {
        name: format!("vm-{region}-{vm}").parse().unwrap(),
        center: format!("c{region}").parse().unwrap(),
        region: format!("r{region}").parse().unwrap(),
        incarnation: Incarnation::new(1),
        leaving: false,
        address: "127.0.0.1:1".parse().unwrap(),
        peer_address: "127.0.0.1:2".parse().unwrap(),
    }
}

fn fleet(sizes: &[usize]) -> Vec<MemberBeat> {
    sizes
        .iter()
        .enumerate()
        .flat_map(|(region, size)| (0..*size).map(move |vm| beat(region, vm)))
        .collect()
}

/// The view of a VM that hears those of its region and was told of the others.
fn view(own: &MemberBeat, all: &[MemberBeat], dead: &[VmName]) -> MemberTable {
    let mut table = MemberTable::new(own.clone(), MemberTiming::default());
    for other in all {
        if other.region == own.region && !dead.contains(&other.name) {
            table.hear(at(0), other);
        } else {
            table.hint(at(0), other);
        }
    }
    table
}

struct FleetCase {
    name: &'static str,
    sizes: &'static [usize],
    dead: usize,
}

const CASES: &[FleetCase] = &[
    FleetCase {
        name: "today",
        sizes: &[3, 2, 2],
        dead: 0,
    },
    FleetCase {
        name: "grown",
        sizes: &[20, 20, 18],
        dead: 0,
    },
    FleetCase {
        name: "grown, a third of each region dead",
        sizes: &[20, 20, 18],
        dead: 6,
    },
    FleetCase {
        name: "one VM a region",
        sizes: &[1, 1, 1],
        dead: 0,
    },
];

#[test]
fn every_vm_hears_of_every_other_region_from_few() {
    for case in CASES {
        let all = fleet(case.sizes);
        let dead: Vec<VmName> = all
            .iter()
            .filter(|beat| {
                let name = beat.name.as_str();
                (0..case.dead).any(|vm| name.ends_with(&format!("-{vm}")))
            })
            .map(|beat| beat.name.clone())
            .collect();
        let alive: Vec<&MemberBeat> = all
            .iter()
            .filter(|beat| !dead.contains(&beat.name))
            .collect();
        let views: Vec<MemberTable> = alive.iter().map(|own| view(own, &all, &dead)).collect();
        for peer in &alive {
            for region in 0..case.sizes.len() {
                let region = format!("r{region}");
                if peer.region.as_str() == region {
                    continue;
                }
                let tellers = views
                    .iter()
                    .filter(|view| view.own().region.as_str() == region && view.tells(peer))
                    .count();
                let living = alive.iter().filter(|b| b.region.as_str() == region).count();
                assert_eq!(tellers, FAR_PARTNERS.min(living), "{}", case.name);
            }
        }
    }
}

#[test]
fn a_duty_has_as_many_holders_as_asked_and_never_one_that_leaves() {
    let all = fleet(&[6]);
    let mut views: Vec<MemberTable> = all.iter().map(|own| view(own, &all, &[])).collect();
    let holders: Vec<VmName> = views[0].duty_holders("d", 2).into_iter().cloned().collect();
    assert_eq!(holders.len(), 2);
    for view in &views {
        assert_eq!(
            view.duty_holders("d", 2),
            holders.iter().collect::<Vec<_>>()
        );
    }
    let first = all.iter().position(|b| b.name == holders[0]).unwrap();
    views[first].leave();
    assert!(!views[first].duty_holders("d", 2).contains(&&holders[0]));
}

#[test]
fn a_far_vm_that_is_not_heard_stays_known_while_others_name_it() {
    let all = fleet(&[1, 1]);
    let mut table = view(&all[0], &all, &[]);
    let timing = MemberTiming::default();
    let beyond = timing.forget_after + timing.gone_after;
    let step = timing.gone_after / 2;
    let mut now = Duration::ZERO;
    while now < beyond {
        now += step;
        table.tick(Moment::from_duration(now));
        table.hint(Moment::from_duration(now), &all[1]);
    }
    table.tick(Moment::from_duration(now));
    assert!(table.get(&all[1].name).is_some());
}
