//! Cost per VM of exchanging state, as a curve over the size of the fleet.
//!
//! To simulate further sizes and print all results, run
//! `ONYXFALL_CURVE_VMS=984,1968 cargo test -p onyxfall-overlay --test curves -- --nocapture`.

mod support;

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use support::{Fleet, FleetShape, TellCount};

/// Fleet sizes that the test always simulates: 60, 204 and 984 VMs in six data centres of
/// three regions.
const SIZES: [usize; 3] = [60, 204, 984];
const CENTERS: usize = 6;
/// Servers per region, independent of its size.
const SERVERS: u32 = 128;
/// Changes of the work of a VM per second, as requests start and end.
const CHANGES: f64 = 3.0;
/// Maximum factor by which a figure may grow when the fleet doubles.
const GROWTH: f64 = 1.2;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Changes the work of a random part of the VMs.
fn change_work(fleet: &mut Fleet, rng: &mut StdRng) {
    for vm in fleet.living() {
        if rng.random_bool(CHANGES / 10.0) {
            let server = rng.random_range(0..SERVERS);
            fleet.work_at(vm, server, rng.random_range(1..3));
        }
    }
}

fn simulate(vms: usize) -> TellCount {
    let rng = &mut StdRng::seed_from_u64(1);
    let mut fleet = Fleet::start(FleetShape::new(3, 2, vms / CENTERS));
    fleet.run(ms(3000));
    assert!(fleet.knows_all(), "{vms} VMs: {}", fleet.gaps());
    let count = fleet.count(ms(2000), |fleet| change_work(fleet, rng));
    println!(
        "{vms:>5} VMs: frames a second {:>6.1} mean {:>7.1} most; entries a second {:>7.1} mean {:>8.1} most",
        count.frames.mean, count.frames.most, count.entries.mean, count.entries.most
    );
    count
}

#[test]
fn what_a_vm_tells_does_not_grow_with_the_fleet() {
    let counts: Vec<(usize, TellCount)> = SIZES.map(|vms| (vms, simulate(vms))).into();
    for pair in counts.windows(2) {
        let [(small, before), (large, after)] = pair else {
            continue;
        };
        let doublings = (*large as f64 / *small as f64).log2();
        let allowed = GROWTH.powf(doublings);
        let figures = [
            ("frames, mean", before.frames.mean, after.frames.mean),
            ("frames, most", before.frames.most, after.frames.most),
            ("entries, mean", before.entries.mean, after.entries.mean),
            ("entries, most", before.entries.most, after.entries.most),
        ];
        for (name, before, after) in figures {
            assert!(
                after <= before * allowed,
                "{name}: {before:.1} at {small} VMs, {after:.1} at {large}, {allowed:.2} times allowed"
            );
        }
    }
    let more = std::env::var("ONYXFALL_CURVE_VMS").unwrap_or_default();
    for vms in more.split(',').filter_map(|vms| vms.parse().ok()) {
        simulate(vms);
    }
}
