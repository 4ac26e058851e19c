//! Time of one decision at the planned size, and how it grows with the fleet.
//!
//! The data centre has 135 servers; the fleet around it grows to 12,000 servers
//! in 89 data centres of 44 regions, with 37 models.

use std::fmt::Write as _;
use std::hint::black_box;
use std::sync::Arc;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use onyxfall_bundle::{ServiceBundle, parse_bundle};
use onyxfall_policy::{
    ArrivalOrigin, AttemptEnd, AttemptOutcome, CenterDigest, ModelDigest, Moment, PolicySettings,
    PrefixKey, RequestArrival, RequestRouter, RouteStep, allowed_regions,
};
use onyxfall_settings::IniDocument;
use onyxfall_types::{EntityId, KindId};

const REGIONS: usize = 44;
const CENTERS: usize = 89;
const MODELS: usize = 37;
const OWN_SERVERS: usize = 135;

fn bundle(fleet: usize) -> Arc<ServiceBundle> {
    let mut text = "[bundle]\nname = bench\n".to_owned();
    for region in 0..REGIONS {
        let _ = writeln!(text, "[region r{region}]");
    }
    for center in 0..CENTERS {
        let _ = write!(
            text,
            "[data-centre c{center}]\nregion = r{}\n",
            center % REGIONS
        );
    }
    for model in 0..MODELS {
        let _ = writeln!(text, "[model m{model}]");
        let _ = write!(
            text,
            "[kind k{model}]\nserved-by = m{model}\nrepeatable = yes\nresidency = anywhere\n\
             prefix-share = 0.3\n"
        );
    }
    for server in 0..fleet {
        let center = if server < OWN_SERVERS {
            0
        } else {
            1 + server % (CENTERS - 1)
        };
        let (a, b) = (server / 250, server % 250 + 1);
        let _ = write!(
            text,
            "[server s{server}]\ndata-centre = c{center}\naddress = 127.1.{a}.{b}:8000\n\
             serves = m0, m{}\nslots = 4\n",
            1 + server % (MODELS - 1)
        );
    }
    Arc::new(parse_bundle(&IniDocument::parse("bench", &text).unwrap()).unwrap())
}

fn router(bundle: &Arc<ServiceBundle>) -> RequestRouter {
    let center = bundle.center_id("c0").unwrap();
    let settings = PolicySettings::default();
    let mut router = RequestRouter::new(Arc::clone(bundle), center, settings, Moment::ZERO);
    for center in bundle.centers.keys().skip(1) {
        let digest = |model| ModelDigest {
            model,
            free: 9,
            wait: Duration::ZERO,
            grant: 1_000_000,
        };
        let models = bundle.models.keys().map(digest).collect();
        router.receive_center(
            Moment::ZERO,
            &CenterDigest {
                center,
                sequence: 1,
                models,
            },
        );
    }
    router
}

fn arrival(bundle: &ServiceBundle, prefix: u64) -> RequestArrival {
    let kind = KindId::from_index(0);
    RequestArrival {
        kind,
        allowed: allowed_regions(bundle, &bundle.kinds[kind], None).unwrap(),
        prefix: Some(PrefixKey(prefix)),
        deadline: Moment::ZERO + Duration::from_secs(30),
        origin: ArrivalOrigin::Caller,
        excluded: Vec::new(),
        excluded_centers: Vec::new(),
    }
}

fn end(router: &mut RequestRouter, step: &RouteStep) {
    if let RouteStep::Run { attempt, .. } | RouteStep::Forward { attempt, .. } = step {
        let elapsed = Duration::from_millis(500);
        let outcome = AttemptOutcome::Success;
        router.end(
            Moment::ZERO,
            &AttemptEnd {
                attempt: *attempt,
                outcome,
                elapsed,
            },
        );
    }
}

fn decisions(c: &mut Criterion) {
    let mut group = c.benchmark_group("decision");
    for fleet in [OWN_SERVERS, 1350, 12_000] {
        let bundle = bundle(fleet);
        let mut idle = router(&bundle);
        let mut prefix = 0;
        group.bench_function(BenchmarkId::new("free", fleet), |b| {
            b.iter(|| {
                prefix += 1;
                let step = idle.arrive(Moment::ZERO, arrival(&bundle, prefix % 1000));
                end(&mut idle, black_box(&step));
            });
        });
        let mut full = router(&bundle);
        while let RouteStep::Run { .. } = full.arrive(Moment::ZERO, arrival(&bundle, 0)) {}
        group.bench_function(BenchmarkId::new("full, sent away", fleet), |b| {
            b.iter(|| {
                let step = full.arrive(Moment::ZERO, arrival(&bundle, 1));
                end(&mut full, black_box(&step));
            });
        });
    }
    group.finish();
}

criterion_group!(benches, decisions);
criterion_main!(benches);
