//! Part of a region's requests that is forwarded, computed from request rates.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use onyxfall_fleet::{
    DecisionSwitch, DecisionSwitches, FleetView, RateKind, RemoteSearch, RemoteTable, RoundTrips,
    ServerRecord, ServiceLoad,
};
use onyxfall_types::{ServiceName, name_tag};
use rand::SeedableRng;
use rand::rngs::StdRng;
use support::{at, needs, place, ready_server};

fn service() -> ServiceName {
    "svc".parse().unwrap()
}

/// View of a region with two servers that serve 400 requests per second together.
fn view() -> FleetView {
    let mut view = FleetView::new(place("vm0", &[("c0", "r0")]));
    for server in 0..2 {
        let record = ServerRecord {
            slots: 6,
            ..ready_server(&format!("s{server}"))
        };
        view.put_server(at(0), record, None);
    }
    // Every request takes 30 ms.
    let id = view.find("s0").unwrap();
    let needs = needs();
    for attempt in 0..100 {
        view.start_attempt(at(attempt * 40), id, attempt, &needs);
        view.record_response(at(attempt * 40 + 30), id, attempt);
        let result = onyxfall_fleet::AttemptResult::Succeeded;
        view.end_attempt(at(attempt * 40 + 30), id, attempt, result, None);
    }
    view
}

struct RateCase {
    name: &'static str,
    offered: f64,
    relayed: f64,
    off: &'static [DecisionSwitch],
    /// Expected part of the requests that is forwarded.
    overflow: f64,
}

#[test]
fn requests_beyond_the_capacity_of_a_region_are_forwarded() {
    let cases = [
        RateCase {
            name: "low load",
            offered: 100.0,
            relayed: 0.0,
            off: &[],
            overflow: 0.0,
        },
        RateCase {
            name: "twice the load that can be served well",
            offered: 640.0,
            relayed: 0.0,
            off: &[],
            overflow: 0.5,
        },
        RateCase {
            name: "requests of other regions use capacity",
            offered: 320.0,
            relayed: 80.0,
            off: &[],
            overflow: 0.25,
        },
        RateCase {
            name: "turned off",
            offered: 640.0,
            relayed: 0.0,
            off: &[DecisionSwitch::RegionRates],
            overflow: 0.0,
        },
    ];
    for case in cases {
        let mut view = view();
        let policy = DecisionSwitches::default().policy();
        view.set_switches(DecisionSwitches::new(policy, case.off.iter().copied()));
        let now = at(100_000);
        view.record_request(now, &service(), RateKind::Offered);
        view.set_peer_rate(RateKind::Offered.tag("svc"), case.offered);
        view.set_peer_rate(RateKind::Relayed.tag("svc"), case.relayed);
        let overflow = view.overflow(now, &service());
        let error = (overflow - case.overflow).abs();
        assert!(error < 0.03, "{}: {overflow}", case.name);
    }
}

#[test]
fn spare_capacity_is_shared_and_not_exceeded_on_average() {
    let mut table = RemoteTable::default();
    let spare_of = [("r1", 100_000), ("r2", 50_000)];
    for (region, spare) in spare_of {
        let load = ServiceLoad {
            wait: Duration::from_millis(30),
            usable: 2,
            spare,
            ..ServiceLoad::default()
        };
        let loads = BTreeMap::from([(name_tag("svc"), load)]);
        table.apply(at(0), &region.parse().unwrap(), Duration::ZERO, loads);
    }
    let own = "r0".parse().unwrap();
    let (needs, trips) = (needs(), RoundTrips::default());
    let search = RemoteSearch {
        needs: &needs,
        service_tag: name_tag("svc"),
        own_region: &own,
        prefix_home: None,
        trips: &trips,
        work: Duration::from_millis(5),
        work_with_prefix: Duration::from_millis(5),
        excluded: &[],
    };
    let mut rng = StdRng::seed_from_u64(3);
    let limit = Duration::from_millis(300);
    let mut drawn: BTreeMap<Option<String>, u32> = BTreeMap::new();
    for _ in 0..3000 {
        let option = table.draw_spare(at(0), &search, limit, 300.0, &mut rng);
        let region = option.map(|option| option.region.to_string());
        *drawn.entry(region).or_default() += 1;
    }
    // 300 requests per second in excess: 100 and 50 can be forwarded, the rest stays.
    let part = |region: Option<&str>| f64::from(drawn[&region.map(str::to_owned)]) / 3000.0;
    for (region, expected) in [(Some("r1"), 0.333), (Some("r2"), 0.167), (None, 0.5)] {
        let found = part(region);
        assert!((found - expected).abs() < 0.03, "{region:?}: {found}");
    }
    let too_far = Duration::from_millis(100);
    assert!(
        table
            .draw_spare(at(0), &search, too_far, 300.0, &mut rng)
            .is_none()
    );
}
