//! Table-driven tests of single decisions of the router.

use std::sync::Arc;
use std::time::Duration;

use onyxfall_bundle::{ServiceBundle, parse_bundle};
use onyxfall_policy::{
    ArrivalOrigin, CenterDigest, ModelDigest, Moment, PolicySettings, RequestArrival,
    RequestRouter, RouteStep, allowed_regions,
};
use onyxfall_settings::IniDocument;
use onyxfall_types::{Incarnation, RefusalReason, RunVerdict};

const BUNDLE: &str = "
[bundle]
name = test
away-weight = 1
[region a]
[region b]
[region c]
[data-centre a1]
region = a
[data-centre b1]
region = b
[data-centre c1]
region = c
[model m]
[server s1]
data-centre = a1
address = 127.0.0.1:1
serves = m
slots = 1
[kind free]
served-by = m
repeatable = yes
residency = anywhere
service-ms = 500
deadline-ms = 5000
[kind near]
served-by = m
repeatable = yes
residency = anywhere
away = never
service-ms = 500
deadline-ms = 5000
[kind bound]
served-by = m
repeatable = yes
residency = a, c
service-ms = 500
deadline-ms = 5000
";

struct DecisionCase {
    name: &'static str,
    kind: &'static str,
    /// Open requests on the only server.
    busy: usize,
    /// Whether the only server is draining.
    drained: bool,
    /// Grants of the data centres b1 and c1.
    grants: [u32; 2],
    /// Data centres that failed the request before.
    excluded: &'static [&'static str],
    deadline_ms: u64,
    origin: ArrivalOrigin,
    expected: &'static str,
}

const BASE: DecisionCase = DecisionCase {
    name: "free slot",
    kind: "free",
    busy: 0,
    drained: false,
    grants: [5, 5],
    excluded: &[],
    deadline_ms: 5000,
    origin: ArrivalOrigin::Caller,
    expected: "run s1",
};

const CASES: [DecisionCase; 13] = [
    BASE,
    DecisionCase {
        name: "full, granted",
        busy: 1,
        expected: "forward b1",
        ..BASE
    },
    DecisionCase {
        name: "the second best data centre",
        busy: 1,
        excluded: &["b1"],
        expected: "forward c1",
        ..BASE
    },
    DecisionCase {
        name: "one grant",
        busy: 1,
        grants: [0, 1],
        expected: "forward c1",
        ..BASE
    },
    DecisionCase {
        name: "no grant",
        busy: 1,
        grants: [0, 0],
        expected: "wait",
        ..BASE
    },
    DecisionCase {
        name: "never forwarded",
        kind: "near",
        busy: 1,
        expected: "wait",
        ..BASE
    },
    DecisionCase {
        name: "residency",
        kind: "bound",
        busy: 1,
        expected: "forward c1",
        ..BASE
    },
    DecisionCase {
        name: "deadline too close to wait",
        kind: "near",
        busy: 1,
        deadline_ms: 700,
        expected: "refuse overloaded",
        ..BASE
    },
    DecisionCase {
        name: "drained, granted",
        drained: true,
        expected: "forward b1",
        ..BASE
    },
    DecisionCase {
        name: "drained, a grant may arrive",
        drained: true,
        grants: [0, 0],
        expected: "wait",
        ..BASE
    },
    DecisionCase {
        name: "drained, never forwarded",
        kind: "near",
        drained: true,
        expected: "refuse overloaded",
        ..BASE
    },
    DecisionCase {
        name: "a peer's request is not forwarded",
        busy: 1,
        origin: ArrivalOrigin::Peer,
        expected: "refuse overloaded",
        ..BASE
    },
    DecisionCase {
        name: "a peer's request runs",
        origin: ArrivalOrigin::Peer,
        ..BASE
    },
];

fn receive(router: &mut RequestRouter, bundle: &ServiceBundle, center: &str, grant: u32) {
    let model = bundle.model_id("m").unwrap();
    let models = vec![ModelDigest {
        model,
        free: grant,
        wait: Duration::ZERO,
        grant,
    }];
    let center = bundle.center_id(center).unwrap();
    router.receive_center(
        Moment::ZERO,
        &CenterDigest {
            center,
            sequence: 1,
            models,
        },
    );
}

fn arrival(bundle: &ServiceBundle, case: &DecisionCase) -> RequestArrival {
    let kind = bundle.kind_id(case.kind).unwrap();
    RequestArrival {
        kind,
        allowed: allowed_regions(bundle, &bundle.kinds[kind], None).unwrap(),
        prefix: None,
        deadline: Moment::ZERO + Duration::from_millis(case.deadline_ms),
        origin: case.origin,
        excluded: Vec::new(),
        excluded_centers: case
            .excluded
            .iter()
            .map(|c| bundle.center_id(c).unwrap())
            .collect(),
    }
}

fn describe(bundle: &ServiceBundle, step: &RouteStep) -> String {
    match step {
        RouteStep::Run { server, .. } => format!("run {}", bundle.servers[*server].name),
        RouteStep::Forward { center, .. } => format!("forward {}", bundle.centers[*center].name),
        RouteStep::Wait(_) => "wait".to_owned(),
        RouteStep::Refuse(error) => {
            assert_eq!(error.verdict, RunVerdict::NotRun);
            assert!(
                error.reason != RefusalReason::Overloaded
                    || error.retry_after.is_some()
                    || error.detail.contains("another data centre")
            );
            format!("refuse {}", error.reason)
        }
    }
}

#[test]
fn decisions() {
    let document = IniDocument::parse("test.ini", BUNDLE).unwrap();
    let bundle = Arc::new(parse_bundle(&document).unwrap());
    let center = bundle.center_id("a1").unwrap();
    for case in CASES {
        let settings = PolicySettings::default();
        let mut router = RequestRouter::new(Arc::clone(&bundle), center, settings, Moment::ZERO);
        for _ in 0..case.busy {
            let step = router.arrive(
                Moment::ZERO,
                arrival(
                    &bundle,
                    &DecisionCase {
                        kind: "near",
                        ..BASE
                    },
                ),
            );
            assert_eq!(describe(&bundle, &step), "run s1");
        }
        if case.drained {
            router.drain(&"s1".parse().unwrap(), Incarnation::new(1));
        }
        receive(&mut router, &bundle, "b1", case.grants[0]);
        receive(&mut router, &bundle, "c1", case.grants[1]);
        let step = router.arrive(Moment::ZERO, arrival(&bundle, &case));
        assert_eq!(describe(&bundle, &step), case.expected, "{}", case.name);
    }
}
