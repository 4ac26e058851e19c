//! Time of one choice of a server in a data centre of the planned size: 135 servers,
//! shared prefixes, the work of seven other VMs at each.
//!
//! A choice, including the records of its attempt, first byte and end, took 13 us with
//! fixed costs and 18 us with learned ones, on one of eight cores, four of them busy.

use std::hint::black_box;
use std::net::SocketAddr;
use std::time::Duration;

use criterion::{Criterion, criterion_group, criterion_main};
use onyxfall_fleet::{
    AttemptResult, CallRequirements, EngineLimits, FleetView, HomeRegions, LocalOption,
    PrefillTokens, PromptPart, PromptSize, ServerPhase, ServerRecord, StartTime, VmLocation,
    WorkShare,
};
use onyxfall_policy::Moment;
use rand::SeedableRng;
use rand::rngs::StdRng;

const SERVERS: usize = 135;
const OTHER_VMS: usize = 7;
const PREFIXES: u64 = 70;

fn at(ms: u64) -> Moment {
    Moment::from_duration(Duration::from_millis(ms))
}

fn view() -> FleetView {
    let center = ("c0".parse().unwrap(), "r0".parse().unwrap());
    let mut view = FleetView::new(VmLocation {
        vm: "vm0".parse().unwrap(),
        center: "c0".parse().unwrap(),
        region: "r0".parse().unwrap(),
        centers: [center].into(),
    });
    for server in 0..SERVERS {
        let name = format!("s{server}");
        let record = ServerRecord {
            name: name.parse().unwrap(),
            started_at: StartTime::UNKNOWN,
            service: "svc".parse().unwrap(),
            version: None,
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            center: "c0".parse().unwrap(),
            slots: 64,
            phase: ServerPhase::Ready,
            cold_left: Duration::ZERO,
        };
        view.put_server(at(0), record, None);
        let id = view.find(&name).unwrap();
        let one = WorkShare {
            requests: 2,
            prefill: PrefillTokens::of(5, 900 * (server as u64 % 7)),
            memory: 20_000,
            flow: 2000,
            ..WorkShare::default()
        };
        let none = WorkShare::default();
        let all = (0..OTHER_VMS).fold(none, |sum, _| sum.plus(one));
        view.server_mut(id).set_others(at(0), all);
    }
    view
}

fn needs(number: u64) -> CallRequirements {
    let part = |id, tokens| PromptPart { id, tokens };
    CallRequirements {
        service: "svc".parse().unwrap(),
        engine: Some(EngineLimits {
            slots: 64,
            memory_tokens: 400_000,
            token_bytes: 18_432,
            keeps_backups: true,
        }),
        prompt: PromptSize {
            parts: vec![part(number % PREFIXES, 5000), part(1000 + number, 6000)],
            input: 11_000,
            output: 400,
            output_guess: Some(300),
        },
        goal: Duration::from_secs(1),
        urgency: 5,
        backlog_limit: None,
        deadline: at(1_000_000_000),
        events: Some(55.0),
        homes: HomeRegions::Any,
        version: None,
    }
}

fn choices(c: &mut Criterion) {
    let mut view = view();
    let mut rng = StdRng::seed_from_u64(1);
    let mut number = 0;
    c.bench_function("choice, 135 servers", |b| {
        b.iter(|| {
            number += 1;
            let now = at(number);
            let needs = needs(number);
            let choice = view.choose(now, &needs, &[], &mut rng);
            if let LocalOption::Free(choice) = black_box(choice) {
                view.start_attempt(now, choice.server, number, &needs);
                view.record_response(at(number + 100), choice.server, number);
                let result = AttemptResult::Succeeded;
                view.end_attempt(at(number + 900), choice.server, number, result, Some(50));
            }
        });
    });
}

criterion_group!(benches, choices);
criterion_main!(benches);
