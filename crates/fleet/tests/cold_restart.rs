//! A cold server is not overloaded by the VMs of a region that starts again, while these
//! discover each other.

mod support;

use std::time::Duration;

use onyxfall_fleet::{
    CallRequirements, FleetView, HomeRegions, LocalOption, PromptSize, RegionPeer, RouteTable,
    ServerRecord, is_cold_sender,
};
use onyxfall_types::VmName;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use support::{COLD_ALLOWED, COLD_RATE, at, cold_table, most_in_a_second, place, ready_server};

/// Time for which the servers stay cold, longer than in the deployments, so that the time after
/// the discovery is covered too.
const COLD_MS: u64 = 6000;
/// Interval at which a VM refreshes its view of the region.
const TICK_MS: u64 = 100;
const DISCOVERY_TIME: Duration = Duration::from_millis(1500);
/// Interval of the requests of each VM; all together ask for far more than cold servers take.
const REQUEST_MS: u64 = 20;
const SEEDS: u64 = 5;

/// VMs of the region that reach every server.
fn peers(vms: Vec<VmName>) -> Vec<RegionPeer> {
    let peers = vms.into_iter().map(|vm| RegionPeer {
        vm,
        unreached: Vec::new(),
    });
    peers.collect()
}

/// How the VMs of a region come to know each other.
struct Case {
    name: &'static str,
    vms: usize,
    /// Time within which all VMs start.
    started_within_ms: u64,
    /// Time after which a VM knows every VM that runs.
    known_after_ms: u64,
    /// Others that a VM knows from its first contact on.
    first_contacts: usize,
}

const CASES: [Case; 6] = [
    Case {
        name: "each VM first knows one other",
        vms: 18,
        started_within_ms: 700,
        known_after_ms: 400,
        first_contacts: 1,
    },
    Case {
        name: "each VM first knows three others",
        vms: 18,
        started_within_ms: 0,
        known_after_ms: 300,
        first_contacts: 3,
    },
    Case {
        name: "discovery takes as long as is assumed",
        vms: 30,
        started_within_ms: 300,
        known_after_ms: 1400,
        first_contacts: 1,
    },
    Case {
        name: "discovery takes longer than is assumed, since the machine is busy",
        vms: 30,
        started_within_ms: 300,
        known_after_ms: 2400,
        first_contacts: 1,
    },
    Case {
        name: "VMs start over longer than the discovery time",
        vms: 30,
        started_within_ms: 3000,
        known_after_ms: 400,
        first_contacts: 1,
    },
    Case {
        name: "two VMs",
        vms: 2,
        started_within_ms: 300,
        known_after_ms: 300,
        first_contacts: 0,
    },
];

/// One VM of the region.
struct Vm {
    view: FleetView,
    start_ms: u64,
    /// Order in which it comes to know the others.
    order: Vec<usize>,
    sent: u64,
}

impl Vm {
    /// The other VMs that this one knows at `now_ms`.
    fn known(&self, now_ms: u64, starts: &[u64], case: &Case) -> Vec<VmName> {
        let age = now_ms - self.start_ms;
        let others = self.order.len();
        let grown = others as u64 * age / case.known_after_ms.max(1);
        let count = usize::try_from(grown).unwrap().max(case.first_contacts);
        let known = self.order.iter().take(count);
        let running = known.filter(|other| starts[**other] < now_ms);
        running.map(|other| vm(*other)).collect()
    }

    /// Refreshes the view of the region as a gateway does.
    fn tick(&mut self, now_ms: u64, starts: &[u64], case: &Case) {
        let vms = self.known(now_ms, starts, case);
        let now = at(now_ms - self.start_ms);
        self.view
            .update_region_peers(now, peers(vms), DISCOVERY_TIME);
    }

    /// Sends a request, and returns the name of its server.
    fn send(&mut self, now_ms: u64, rng: &mut StdRng) -> Option<String> {
        let now = at(now_ms - self.start_ms);
        let LocalOption::Free(choice) = self.view.choose(now, &needs(), &[], rng) else {
            return None;
        };
        let server = self.view.server_mut(choice.server);
        if server.is_cold(now) {
            assert!(server.cold_share().try_take(now), "sent without a share");
        }
        let name = server.record.name.to_string();
        self.sent += 1;
        self.view
            .start_attempt(now, choice.server, self.sent, &needs());
        Some(name)
    }
}

fn vm(number: usize) -> VmName {
    format!("vm{number}").parse().unwrap()
}

fn table() -> RouteTable {
    cold_table(&["svc"], Duration::from_millis(COLD_MS))
}

fn needs() -> CallRequirements {
    CallRequirements {
        service: "svc".parse().unwrap(),
        engine: None,
        prompt: PromptSize::default(),
        goal: Duration::from_millis(400),
        urgency: 0,
        backlog_limit: None,
        deadline: at(100_000),
        events: None,
        homes: HomeRegions::Any,
        version: None,
    }
}

/// Servers that became cold at time 0, as known at `now_ms`.
fn cold_server(name: &str, now_ms: u64) -> ServerRecord {
    ServerRecord {
        slots: 10_000,
        cold_left: Duration::from_millis(COLD_MS.saturating_sub(now_ms)),
        ..ready_server(name)
    }
}

/// Times at which each of three cold servers gets a request after all VMs have started.
fn play(case: &Case, seed: u64) -> [Vec<u64>; 3] {
    const SERVERS: [&str; 3] = ["s0", "s1", "s2"];
    let mut rng = StdRng::seed_from_u64(seed);
    let starts: Vec<u64> = (0..case.vms)
        .map(|_| rng.random_range(0..=case.started_within_ms))
        .collect();
    let mut vms: Vec<Vm> = (0..case.vms)
        .map(|own| {
            let mut order: Vec<usize> = (0..case.vms).filter(|other| *other != own).collect();
            order.shuffle(&mut rng);
            let mut view = FleetView::new(place(vm(own).as_str(), &[("c0", "r0")]));
            for server in SERVERS {
                view.put_server(at(0), cold_server(server, starts[own]), Some(&table()));
            }
            Vm {
                view,
                start_ms: starts[own],
                order,
                sent: 0,
            }
        })
        .collect();
    let mut arrivals = [const { Vec::new() }; 3];
    for now_ms in 0..COLD_MS {
        for vm in &mut vms {
            let Some(age) = now_ms.checked_sub(vm.start_ms) else {
                continue;
            };
            if age > 0 && age % TICK_MS == 0 {
                vm.tick(now_ms, &starts, case);
            }
            if age % REQUEST_MS == 0
                && let Some(name) = vm.send(now_ms, &mut rng)
            {
                let server = SERVERS.iter().position(|server| *server == name).unwrap();
                arrivals[server].push(now_ms);
            }
        }
    }
    arrivals
}

/// Guards against overloading a cold server after a region has started again: a VM that knows
/// one other VM would always rank among the two senders, so each VM of the region could send
/// until it knows enough of the others. 9 requests arrived in one second where 8.4 are allowed.
#[test]
fn vms_that_discover_each_other_do_not_overload_a_cold_server() {
    for case in &CASES {
        let runs = (0..SEEDS).flat_map(|seed| play(case, seed));
        let most = runs.map(|arrivals| most_in_a_second(&arrivals)).max();
        let most = most.unwrap_or(0);
        println!("{}: at most {most} in a second", case.name);
        assert!(
            most as f64 <= COLD_ALLOWED,
            "{}: {most} in a second",
            case.name
        );
    }
}

/// Guards against protecting cold servers by leaving them without work: after all VMs have
/// discovered each other, a cold server that is the only choice gets at least half its rate.
#[test]
fn cold_servers_get_work_after_the_discovery() {
    for case in &CASES {
        // Discovery ends at twice its assumed time at the latest.
        let from = case.started_within_ms + 3000;
        let seconds = COLD_MS.saturating_sub(from) as f64 / 1e3;
        for seed in 0..SEEDS {
            for arrivals in play(case, seed) {
                let count = arrivals.iter().filter(|time| **time >= from).count();
                let least = COLD_RATE / 2.0 * seconds - 1.0;
                assert!(count as f64 >= least, "{}: {count} of {least}", case.name);
            }
        }
    }
}

/// What a VM with its list of other VMs sends to a cold and to a warm server at a moment.
struct ViewCase {
    name: &'static str,
    /// Times at which the list changes, and the number of other VMs in it.
    lists: &'static [(u64, usize)],
    now_ms: u64,
    sends_cold: bool,
}

/// Guards against both faults of a single VM: it relies on a list that may lack VMs, or it
/// leaves cold servers without work for long.
#[test]
fn a_vm_sends_to_cold_servers_when_its_list_is_whole() {
    let cases = [
        ViewCase {
            name: "before the discovery time",
            lists: &[(100, 1)],
            now_ms: 1400,
            sends_cold: false,
        },
        ViewCase {
            name: "after the discovery time",
            lists: &[(100, 1)],
            now_ms: 1500,
            sends_cold: true,
        },
        ViewCase {
            name: "the list has grown within the last second",
            lists: &[(100, 1), (1300, 2)],
            now_ms: 2200,
            sends_cold: false,
        },
        ViewCase {
            name: "the list has not grown for a second",
            lists: &[(100, 1), (1300, 2)],
            now_ms: 2300,
            sends_cold: true,
        },
        ViewCase {
            name: "a VM joins much later",
            lists: &[(100, 1), (9000, 2)],
            now_ms: 9100,
            sends_cold: true,
        },
        ViewCase {
            name: "most VMs were dropped, as after a long suspension",
            lists: &[(100, 20), (9000, 1)],
            now_ms: 10_400,
            sends_cold: false,
        },
        ViewCase {
            name: "most VMs were dropped some time ago",
            lists: &[(100, 20), (9000, 1)],
            now_ms: 10_500,
            sends_cold: true,
        },
        ViewCase {
            name: "one of two VMs was dropped",
            lists: &[(100, 2), (9000, 1)],
            now_ms: 9100,
            sends_cold: true,
        },
    ];
    // A server for which `vm0` is a sender whichever of the others it knows.
    let others: Vec<VmName> = (1..=20).map(vm).collect();
    let mut names = (0..).map(|number| format!("s{number}"));
    let name = names.find(|name| is_cold_sender(&name.parse().unwrap(), &vm(0), &others));
    let name = name.unwrap();
    for case in &cases {
        for is_cold in [false, true] {
            let mut view = FleetView::new(place("vm0", &[("c0", "r0")]));
            let left = Duration::from_secs(if is_cold { 60 } else { 0 });
            let server = ServerRecord {
                cold_left: left,
                ..ready_server(&name)
            };
            view.put_server(at(0), server, Some(&table()));
            let mut known = 0;
            for now_ms in (100..=case.now_ms).step_by(100) {
                let list = case.lists.iter().rfind(|(from, _)| *from <= now_ms);
                known = list.map_or(known, |(_, count)| *count);
                let vms = (1..=known).map(vm).collect();
                view.update_region_peers(at(now_ms), peers(vms), DISCOVERY_TIME);
            }
            let rng = &mut StdRng::seed_from_u64(1);
            let chosen = view.choose(at(case.now_ms), &needs(), &[], rng);
            let is_free = matches!(chosen, LocalOption::Free(_));
            let expected = !is_cold || case.sends_cold;
            assert_eq!(is_free, expected, "{}, cold: {is_cold}", case.name);
        }
    }
}
