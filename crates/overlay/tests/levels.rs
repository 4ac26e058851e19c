//! Selection of aggregators, of the links between regions and of duty holders, over the views
//! of a whole fleet.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use onyxfall_overlay::{LinkRelation, VmStatus};
use onyxfall_types::VmName;
use support::{Fleet, FleetShape};

struct FleetCase {
    name: &'static str,
    shape: FleetShape,
    dead: &'static [usize],
    /// Aggregators per region.
    aggregators: usize,
    /// Aggregators of each other region that send to one aggregator.
    sources: usize,
}

const CASES: &[FleetCase] = &[
    FleetCase {
        name: "seven VMs",
        shape: FleetShape::new(3, 1, 2),
        dead: &[],
        aggregators: 2,
        sources: 2,
    },
    FleetCase {
        name: "sixty VMs",
        shape: FleetShape::new(3, 2, 10),
        dead: &[],
        aggregators: 4,
        sources: 3,
    },
    FleetCase {
        name: "sixty VMs, a quarter of each data centre dead",
        shape: FleetShape::new(3, 2, 10),
        dead: &[0, 1, 10, 11, 20, 21, 30, 31, 40, 41, 50, 51],
        aggregators: 4,
        sources: 3,
    },
    FleetCase {
        name: "data centres of more than one group",
        shape: FleetShape::new(2, 1, 100),
        dead: &[],
        aggregators: 4,
        sources: 3,
    },
];

#[test]
fn views_agree_on_aggregators_and_few_vms_send_for_each_region() {
    for case in CASES {
        let mut fleet = Fleet::start(case.shape);
        fleet.run(Duration::from_millis(1500));
        for vm in case.dead {
            fleet.kill(*vm);
        }
        fleet.run(Duration::from_secs(5));
        let mut sources: BTreeMap<(VmName, usize), usize> = BTreeMap::new();
        for vm in fleet.living() {
            let aggregators = fleet.aggregators(vm);
            assert_eq!(aggregators.len(), case.aggregators, "{}", case.name);
            let is_aggregator = aggregators.contains(&vm);
            let (now, region) = (fleet.now, fleet.region_of(vm));
            let plan = fleet.nodes[vm].plan(now).clone();
            assert_eq!(plan.primary().is_none(), is_aggregator, "{}", case.name);
            for link in plan.links {
                if let (LinkRelation::Region, Some(receiver)) = (link.relation, link.vm) {
                    *sources.entry((receiver, region)).or_default() += 1;
                }
            }
        }
        assert!(!sources.is_empty(), "{}", case.name);
        for ((receiver, region), count) in sources {
            assert_eq!(
                count, case.sources,
                "{}: {receiver} of r{region}",
                case.name
            );
        }
    }
}

#[test]
fn a_duty_goes_to_one_vm_of_each_data_centre_first_and_never_to_a_draining_one() {
    let mut fleet = Fleet::start(FleetShape::new(1, 2, 10));
    fleet.run(Duration::from_millis(1500));
    let order = |fleet: &Fleet, viewer: usize| -> Vec<VmName> {
        let roster = fleet.nodes[viewer].roster();
        let levels = roster.levels();
        let tier = levels.region(&roster.own().region);
        let order = roster.duty_order("duty", tier);
        order.into_iter().cloned().collect()
    };
    let first = order(&fleet, 0);
    assert_eq!(first.len(), 4);
    for viewer in fleet.living() {
        assert_eq!(order(&fleet, viewer), first, "vm-{viewer}");
    }
    let centers: Vec<usize> = first[..2]
        .iter()
        .map(|vm| fleet.center_of(fleet.index_of(vm)))
        .collect();
    assert_ne!(centers[0], centers[1]);
    let draining = fleet.index_of(&first[0]);
    let status = VmStatus {
        is_leaving: true,
        ..VmStatus::default()
    };
    fleet.nodes[draining].roster_mut().set_status(status);
    fleet.run(Duration::from_secs(1));
    for viewer in fleet.living() {
        assert!(!order(&fleet, viewer).contains(&first[0]), "vm-{viewer}");
    }
}
