//! Spread of the draws of a large region's VMs: each VM uses few servers, whose
//! connections it can reuse, and together they use all servers evenly.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use onyxfall_fleet::{FleetView, LocalOption};
use onyxfall_types::ServerId;
use rand::SeedableRng;
use rand::rngs::StdRng;
use support::{at, needs, place, ready_server};

const SERVERS: usize = 96;
/// Time between two requests of a VM.
const INTERVAL_MS: u64 = 600;
const REQUESTS: u64 = 40;
/// Mean number of draws per server from which evenness is checked.
const MIN_MEAN_DRAWS: f64 = 10.0;

fn view(vm: usize, vms: usize) -> FleetView {
    let name = |vm: usize| format!("vm{vm:03}");
    let mut view = FleetView::new(place(&name(vm), &[("c0", "r0")]));
    for server in 0..SERVERS {
        view.put_server(at(0), ready_server(&format!("s{server:03}")), None);
    }
    let others = (0..vms).filter(|other| *other != vm);
    view.set_region_vms(others.map(|vm| name(vm).parse().unwrap()).collect());
    view.set_knowledge_age(Duration::from_millis(130));
    view
}

struct DrawCase {
    name: &'static str,
    vms: usize,
    /// Maximum number of servers that a VM draws.
    used: usize,
}

#[test]
fn a_vm_of_a_large_region_draws_few_servers_and_all_vms_draw_evenly() {
    let cases = [
        DrawCase {
            name: "8 VMs",
            vms: 8,
            used: SERVERS,
        },
        DrawCase {
            name: "100 VMs",
            vms: 100,
            used: 24,
        },
        DrawCase {
            name: "320 VMs",
            vms: 320,
            used: 12,
        },
    ];
    for case in &cases {
        let mut drawn: BTreeMap<ServerId, usize> = BTreeMap::new();
        for vm in 0..case.vms {
            let rng = &mut StdRng::seed_from_u64(vm as u64);
            let mut view = view(vm, case.vms);
            let mut used = BTreeSet::new();
            for request in 1..=REQUESTS {
                let now = at(request * INTERVAL_MS);
                let LocalOption::Free(choice) = view.choose(now, &needs(), &[], rng) else {
                    panic!("{}: no server available", case.name);
                };
                used.insert(choice.server);
                // The rate is not known during the first requests.
                if request > REQUESTS / 2 {
                    *drawn.entry(choice.server).or_default() += 1;
                }
            }
            assert!(
                used.len() <= case.used,
                "{}: {} drawn",
                case.name,
                used.len()
            );
        }
        let total: usize = drawn.values().sum();
        let mean = total as f64 / SERVERS as f64;
        let most = drawn.values().copied().max().unwrap_or(0) as f64;
        // Fewer draws are not significant.
        if mean >= MIN_MEAN_DRAWS {
            assert!(most <= 2.5 * mean, "{}: {most} of {mean}", case.name);
        }
    }
}
