//! A cold server is neither overloaded nor left without work by VMs that lose their paths to
//! servers.

mod support;

use std::ops::Range;
use std::time::Duration;

use onyxfall_fleet::{
    AttemptResult, FleetView, LocalOption, PathCheck, PathState, RegionPeer, ServerRecord,
};
use onyxfall_types::{ServerId, ServiceName, VmName};
use rand::SeedableRng;
use rand::rngs::StdRng;
use support::{
    COLD_ALLOWED, COLD_RATE, at, cold_table, most_in_a_second, needs, place, ready_server,
};

const VMS: usize = 12;
const END_MS: u64 = 10_000;
const TICK_MS: u64 = 100;
const REQUEST_MS: u64 = 20;
const DISCOVERY_TIME: Duration = Duration::from_millis(1500);
/// Age of what a VM knows of the others' paths.
const REPORT_AGE_MS: u64 = 300;
/// Time after a change of paths from which all VMs act on it.
const SETTLED_MS: u64 = 1000;
/// Service of the cold server, and another one in the same region.
const OWN: &str = "svc";
const OTHER: &str = "other";

struct Case {
    name: &'static str,
    /// Service to which paths are lost.
    service: &'static str,
    /// VMs that lose them.
    vms: Range<usize>,
    /// Time without paths, in milliseconds.
    lost_ms: Range<u64>,
}

const CASES: [Case; 4] = [
    Case {
        name: "no path is lost",
        service: OTHER,
        vms: 0..0,
        lost_ms: 0..0,
    },
    Case {
        name: "all VMs lose the paths to another service, whose servers have crashed",
        service: OTHER,
        vms: 0..VMS,
        lost_ms: 2000..END_MS,
    },
    Case {
        name: "all VMs lose their paths and have them again",
        service: OWN,
        vms: 0..VMS,
        lost_ms: 2000..6000,
    },
    Case {
        name: "all VMs but one lose their paths and have them again",
        service: OWN,
        vms: 1..VMS,
        lost_ms: 2000..6000,
    },
];

impl Case {
    fn is_lost(&self, vm: usize, now_ms: u64) -> bool {
        self.vms.contains(&vm) && self.lost_ms.contains(&now_ms)
    }

    /// Whether some VM has reached the cold server for some time.
    fn is_reached(&self, now_ms: u64) -> bool {
        let lost = self.lost_ms.start..self.lost_ms.end + SETTLED_MS;
        self.service != OWN || !lost.contains(&now_ms) || self.vms.len() < VMS
    }
}

/// One VM of the region.
struct Vm {
    number: usize,
    view: FleetView,
    sent: u64,
}

fn vm_name(number: usize) -> VmName {
    format!("vm{number}").parse().unwrap()
}

fn service(name: &str) -> ServiceName {
    name.parse().unwrap()
}

impl Vm {
    fn start(number: usize) -> Self {
        let mut view = FleetView::new(place(vm_name(number).as_str(), &[("c0", "r0")]));
        let table = cold_table(&[OWN, OTHER], Duration::from_millis(END_MS));
        let cold = ServerRecord {
            slots: 10_000,
            cold_left: Duration::from_millis(END_MS),
            ..ready_server("cold")
        };
        view.put_server(at(0), cold, Some(&table));
        for name in ["o0", "o1"] {
            let other = ServerRecord {
                service: service(OTHER),
                ..ready_server(name)
            };
            view.put_server(at(0), other, Some(&table));
        }
        Self {
            number,
            view,
            sent: 0,
        }
    }

    /// Servers of a service, all of them.
    fn servers(&self, name: &str) -> Vec<ServerId> {
        let names: &[&str] = if name == OWN {
            &["cold"]
        } else {
            &["o0", "o1"]
        };
        names.iter().map(|n| self.view.find(n).unwrap()).collect()
    }

    /// Refreshes the view as a gateway does.
    fn tick(&mut self, now_ms: u64, case: &Case) {
        let now = at(now_ms);
        let name = service(case.service);
        let is_lost = case.is_lost(self.number, now_ms);
        let was_lost = self.view.path_state(&name) != PathState::Open;
        for id in self.servers(case.service) {
            if is_lost != was_lost {
                self.view.record_dial(id, !is_lost);
            }
        }
        self.view.refresh_paths(now);
        if is_lost {
            self.view.record_check(now, &name, PathCheck::Unreached);
        }
        assert_eq!(self.view.path_state(&name) != PathState::Open, is_lost);
        let reported_ms = now_ms.saturating_sub(REPORT_AGE_MS);
        let others = (0..VMS).filter(|other| *other != self.number);
        let peers = others.map(|other| RegionPeer {
            vm: vm_name(other),
            unreached: if case.is_lost(other, reported_ms) {
                vec![name.clone()]
            } else {
                Vec::new()
            },
        });
        let peers = peers.collect();
        self.view.update_region_peers(now, peers, DISCOVERY_TIME);
    }

    /// Sends a request to the cold server, if it may.
    fn send(&mut self, now_ms: u64, case: &Case, rng: &mut StdRng) -> bool {
        let now = at(now_ms);
        if case.service == OWN && case.is_lost(self.number, now_ms) {
            return false;
        }
        let LocalOption::Free(choice) = self.view.choose(now, &needs(), &[], rng) else {
            return false;
        };
        let state = self.view.server_mut(choice.server);
        assert!(state.cold_share().try_take(now), "sent without a share");
        self.sent += 1;
        self.view
            .start_attempt(now, choice.server, self.sent, &needs());
        let result = AttemptResult::Succeeded;
        self.view
            .end_attempt(now, choice.server, self.sent, result, None);
        true
    }
}

/// Times at which the cold server gets a request.
fn play(case: &Case) -> Vec<u64> {
    let rng = &mut StdRng::seed_from_u64(1);
    let mut vms: Vec<Vm> = (0..VMS).map(Vm::start).collect();
    let mut arrivals = Vec::new();
    for now_ms in 0..END_MS {
        for vm in &mut vms {
            if now_ms % TICK_MS == 0 {
                vm.tick(now_ms, case);
            }
            if now_ms % REQUEST_MS == 0 && vm.send(now_ms, case, rng) {
                arrivals.push(now_ms);
            }
        }
    }
    arrivals
}

/// VMs that excluded each other from the list by which they share cold servers each sent what all
/// of them together may send.
#[test]
fn vms_without_paths_do_not_overload_a_cold_server() {
    for case in &CASES {
        let most = most_in_a_second(&play(case));
        assert!(
            most as f64 <= COLD_ALLOWED,
            "{}: {most} in a second",
            case.name
        );
    }
}

/// Guards against a share that stays with VMs which do not reach the server.
#[test]
fn a_cold_server_gets_work_from_the_vms_that_reach_it() {
    for case in &CASES {
        let arrivals = play(case);
        // The VMs know each other from here on.
        let mut from = 3000;
        while from + 1000 <= END_MS {
            let second = from..from + 1000;
            if second.clone().all(|now_ms| case.is_reached(now_ms)) {
                let count = arrivals.iter().filter(|time| second.contains(time)).count();
                let least = COLD_RATE / 2.0 - 1.0;
                assert!(
                    count as f64 >= least,
                    "{}: {count} from {from} ms on",
                    case.name
                );
            }
            from += 1000;
        }
    }
}
