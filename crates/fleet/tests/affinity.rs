//! Short shared parts of prompts: kept to their own server as far as that costs little.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use onyxfall_fleet::{
    CallRequirements, EngineLimits, FleetView, HomeRegions, LocalOption, PrefillTokens, PromptPart,
    PromptSize, ServerRecord, WorkShare,
};
use onyxfall_types::ServerId;
use rand::SeedableRng;
use rand::rngs::StdRng;
use support::{at, place, ready_server};

const SERVERS: usize = 50;
const VMS: usize = 60;
/// Shared parts, and requests for each.
const PARTS: u64 = 500;
const TURNS: u64 = 6;
const SHARED: u64 = 200;

/// A VM of a region of many that know each other's work as it was 0.15 s ago.
fn view() -> FleetView {
    let mut view = FleetView::new(place("vm0", &[("c0", "r0")]));
    for server in 0..SERVERS {
        let record = ServerRecord {
            slots: 32,
            ..ready_server(&format!("s{server}"))
        };
        view.put_server(at(0), record, None);
    }
    view.set_region_vms(
        (1..VMS)
            .map(|vm| format!("vm{vm}").parse().unwrap())
            .collect(),
    );
    view.set_knowledge_age(Duration::from_millis(150));
    view
}

fn needs(own: u64) -> CallRequirements {
    let part = |id, tokens| PromptPart { id, tokens };
    let parts = vec![part(own % PARTS + 1, SHARED), part(1_000_000 + own, 1800)];
    CallRequirements {
        service: "svc".parse().unwrap(),
        engine: Some(EngineLimits {
            slots: 32,
            memory_tokens: 650_000,
            token_bytes: 35_136,
            keeps_backups: false,
        }),
        prompt: PromptSize {
            parts,
            input: 2368,
            output: 20,
            output_guess: None,
        },
        goal: Duration::from_millis(600),
        urgency: 3,
        deadline: at(3_600_000),
        events: Some(2.0),
        homes: HomeRegions::Any,
    }
}

fn choose(view: &mut FleetView, now: u64, needs: &CallRequirements, rng: &mut StdRng) -> ServerId {
    match view.choose(at(now), needs, &[], rng) {
        LocalOption::Free(choice) => choice.server,
        other => panic!("no server: {other:?}"),
    }
}

/// Drawn by level alone, a part's six requests met 5.7 of 50 servers in the mean; kept to
/// its own, one.
#[test]
fn requests_for_a_short_part_meet_one_server_and_servers_are_loaded_evenly() {
    let (mut view, mut rng) = (view(), StdRng::seed_from_u64(7));
    let mut servers: BTreeMap<u64, BTreeSet<ServerId>> = BTreeMap::new();
    let mut loads: BTreeMap<ServerId, u64> = BTreeMap::new();
    for number in 0..PARTS * TURNS {
        let needs = needs(number);
        // Fifteen a second, as a VM of 60 has of 900.
        let server = choose(&mut view, number * 66, &needs, &mut rng);
        servers.entry(number % PARTS).or_default().insert(server);
        *loads.entry(server).or_default() += 1;
    }
    let met: usize = servers.values().map(BTreeSet::len).sum();
    let mean = met as f64 / PARTS as f64;
    assert!(mean < 1.1, "a part met {mean} servers in the mean");
    let most = loads.values().max().unwrap();
    let usual = PARTS * TURNS / SERVERS as u64;
    assert!(
        *most <= usual * 2,
        "{most} requests where {usual} are usual"
    );
}

struct BusyCase {
    name: &'static str,
    /// Unread tokens of other VMs at the part's own server.
    unread: u64,
    is_kept: bool,
}

#[test]
fn a_busy_owner_is_left() {
    let cases = [
        BusyCase {
            name: "idle",
            unread: 0,
            is_kept: true,
        },
        BusyCase {
            name: "a little busier than the others",
            unread: 1500,
            is_kept: true,
        },
        BusyCase {
            name: "busier than reading anew costs",
            unread: 60_000,
            is_kept: false,
        },
    ];
    for case in cases {
        let (mut view, mut rng) = (view(), StdRng::seed_from_u64(7));
        let needs = needs(3);
        let owner = choose(&mut view, 0, &needs, &mut rng);
        let work = WorkShare {
            requests: 1,
            unread: PrefillTokens::of(3, case.unread),
            memory: case.unread,
            ..WorkShare::default()
        };
        view.server_mut(owner).set_others(at(10), work);
        let next = choose(&mut view, 20, &needs, &mut rng);
        assert_eq!(next == owner, case.is_kept, "{}", case.name);
    }
}
