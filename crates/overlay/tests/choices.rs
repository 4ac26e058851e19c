//! How evenly VMs spread requests over servers with the work that they receive from each
//! other, compared to choosing without that information.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use onyxfall_policy::Moment;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use support::{Fleet, FleetShape};

const REGIONS: usize = 3;
const CENTERS: usize = 2;
/// Candidate servers per choice.
const CANDIDATES: usize = 4;
const STEP: Duration = Duration::from_millis(20);

struct ChoiceCase {
    name: &'static str,
    /// VMs of a data centre.
    vms: usize,
    /// Requests that a VM starts per second, and their duration.
    rate: f64,
    length: Duration,
    /// Mean number of requests in progress at a server.
    load: f64,
    /// Maximum spread relative to a choice without information.
    spread: f64,
}

/// Requests in progress by VM: server and end of each.
struct FleetWork {
    rng: StdRng,
    begun: BTreeMap<usize, Vec<(u32, Moment)>>,
    changed: BTreeSet<usize>,
    servers: u32,
}

impl FleetWork {
    fn new(case: &ChoiceCase) -> Self {
        let vms = (case.vms * CENTERS) as f64;
        let under_way = vms * case.rate * case.length.as_secs_f64();
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let servers = (under_way / case.load).round() as u32;
        Self {
            rng: StdRng::seed_from_u64(5),
            begun: BTreeMap::new(),
            changed: BTreeSet::new(),
            servers,
        }
    }

    fn step(&mut self, fleet: &mut Fleet, case: &ChoiceCase) {
        for vm in fleet.living() {
            let own = self.begun.entry(vm).or_default();
            let before = own.len();
            own.retain(|(_, end)| *end > fleet.now);
            let mut is_changed = own.len() != before;
            if self.rng.random_bool(case.rate * STEP.as_secs_f64()) {
                fleet.ask(vm);
                let rng = &mut self.rng;
                let drawn = (0..CANDIDATES).map(|_| rng.random_range(0..self.servers));
                let known = |server: &u32| {
                    let here = own.iter().filter(|(at, _)| at == server).count();
                    fleet.known_work(vm, *server) as usize + here
                };
                let server = drawn.min_by_key(known).unwrap();
                own.push((server, fleet.now + case.length));
                is_changed = true;
            }
            if is_changed {
                self.changed.insert(vm);
            }
        }
        for vm in std::mem::take(&mut self.changed) {
            let mut sums: BTreeMap<u32, u32> = BTreeMap::new();
            for (server, _) in &self.begun[&vm] {
                *sums.entry(*server).or_default() += 1;
            }
            fleet.work_on(vm, sums.into_iter());
        }
        fleet.run(STEP);
    }

    /// Variance of the servers' load relative to that of a choice without information.
    fn spread(&self, fleet: &Fleet) -> f64 {
        let mut loads = vec![0.0; self.servers as usize * REGIONS];
        for (vm, own) in &self.begun {
            for (server, _) in own {
                loads[fleet.region_of(*vm) * self.servers as usize + *server as usize] += 1.0;
            }
        }
        let mean = loads.iter().sum::<f64>() / loads.len() as f64;
        let squares = loads.iter().map(|load| (load - mean) * (load - mean));
        squares.sum::<f64>() / loads.len() as f64 / mean
    }
}

/// Mean spread over two seconds of a fleet under load.
fn simulate(case: &ChoiceCase) -> f64 {
    let mut fleet = Fleet::start(FleetShape::new(REGIONS, CENTERS, case.vms));
    fleet.run(Duration::from_millis(1500));
    let mut work = FleetWork::new(case);
    let steps = |time: Duration| time.as_millis() / STEP.as_millis();
    for _ in 0..steps(case.length + Duration::from_secs(2)) {
        work.step(&mut fleet, case);
    }
    let mut sum = 0.0;
    let count = steps(Duration::from_secs(2));
    for _ in 0..count {
        work.step(&mut fleet, case);
        sum += work.spread(&fleet);
    }
    sum / count as f64
}

#[test]
fn choices_with_received_work_spread_requests_better_than_uninformed_ones() {
    let case = |name, vms, rate, seconds, load, spread| ChoiceCase {
        name,
        vms,
        rate,
        length: Duration::from_secs(seconds),
        load,
        spread,
    };
    let cases = [
        case("60 VMs, few requests", 10, 1.5, 2, 8.0, 0.35),
        case("204 VMs, few requests", 34, 1.5, 2, 8.0, 0.35),
        case("984 VMs, few requests", 164, 1.5, 2, 8.0, 0.5),
        case("60 VMs, many requests", 10, 10.0, 2, 16.0, 0.35),
        case("300 VMs, many requests", 50, 10.0, 2, 16.0, 0.4),
    ];
    for case in &cases {
        let spread = simulate(case);
        println!("{}: spread {spread:.2}", case.name);
        assert!(spread <= case.spread, "{}: spread {spread:.2}", case.name);
    }
}
