//! Helpers shared by the fleet tests: moments, locations and servers.
#![allow(dead_code)]

use std::time::Duration;

use onyxfall_fleet::{
    BackendService, CallRequirements, CallerLimits, ConfigVersion, FleetView, HomeRegions,
    PromptSize, RouteTable, ServerPhase, ServerRecord, StartTime, VmLocation,
};
use onyxfall_policy::Moment;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;

/// The moment `millis` milliseconds after the start.
pub fn at(millis: u64) -> Moment {
    Moment::from_duration(Duration::from_millis(millis))
}

/// Location of a VM in the first of the data centres.
pub fn place(vm: &str, centers: &[(&str, &str)]) -> VmLocation {
    let centers: Vec<_> = centers
        .iter()
        .map(|(center, region)| (center.parse().unwrap(), region.parse().unwrap()))
        .collect();
    let (center, region) = centers[0].clone();
    VmLocation {
        vm: vm.parse().unwrap(),
        center,
        region,
        centers: centers.into_iter().collect(),
    }
}

/// Server of the data centre `c0` that accepts requests.
pub fn ready_server(name: &str) -> ServerRecord {
    ServerRecord {
        name: name.parse().unwrap(),
        started_at: StartTime::UNKNOWN,
        service: "svc".parse().unwrap(),
        version: None,
        address: ([127, 0, 0, 1], 1).into(),
        center: "c0".parse().unwrap(),
        slots: 4,
        phase: ServerPhase::Ready,
        cold_left: Duration::ZERO,
    }
}

/// Requests per second that a cold server of [`cold_table`] can take.
pub const COLD_RATE: f64 = 3.6;
/// Requests that a cold server may get in one second: 1.5 times its rate, and three.
pub const COLD_ALLOWED: f64 = COLD_RATE * 1.5 + 3.0;

/// Configuration with plain services whose servers are cold for `cold_for`.
pub fn cold_table(services: &[&str], cold_for: Duration) -> RouteTable {
    let services = services.iter().map(|name| BackendService {
        name: name.parse().unwrap(),
        max_connections: 10,
        cold_for,
        health_path: String::new(),
        cold_rate: COLD_RATE,
        engine: None,
    });
    let limits = CallerLimits {
        max_head: 1,
        max_body: 1,
        head_time: Duration::ZERO,
        idle: Duration::ZERO,
    };
    RouteTable::new(ConfigVersion(1), Vec::new(), services.collect(), limits)
}

/// Most arrivals in any second, by ascending times in milliseconds.
pub fn most_in_a_second(arrivals: &[u64]) -> usize {
    let ends = arrivals.iter().enumerate();
    let counts = ends.map(|(index, end)| {
        let earlier = &arrivals[..=index];
        earlier.iter().filter(|time| **time + 1000 >= *end).count()
    });
    counts.max().unwrap_or(0)
}

pub const CENTERS: [(&str, &str); 3] = [("c0", "r0"), ("c1", "r1"), ("c2", "r2")];

/// Number of servers of the largest region, and the ratio of all servers to these.
pub const NEAR: usize = 4380;
pub const FAR_PART: usize = 2;

pub fn numbered_record(number: usize, center: &str) -> ServerRecord {
    ServerRecord {
        address: ([10, 0, 0, 1], 80).into(),
        center: center.parse().unwrap(),
        ..ready_server(&format!("i-{number:08x}"))
    }
}

/// View of a region with `near` servers, and as many in the other regions together.
pub fn large_view(vm: &str, near: usize, seed: u64) -> FleetView {
    let mut numbers: Vec<usize> = (0..near * FAR_PART).collect();
    numbers.shuffle(&mut StdRng::seed_from_u64(seed));
    let mut view = FleetView::new(place(vm, &CENTERS));
    for number in numbers {
        let center = match number {
            number if number < near => "c0",
            number if number % 2 == 0 => "c1",
            _ => "c2",
        };
        view.put_server(at(1), numbered_record(number, center), None);
    }
    view
}

/// Requirements of a plain request with a long deadline.
pub fn needs() -> CallRequirements {
    CallRequirements {
        service: "svc".parse().unwrap(),
        engine: None,
        prompt: PromptSize::default(),
        goal: Duration::from_millis(400),
        urgency: 9,
        backlog_limit: None,
        deadline: at(3_600_000),
        events: None,
        homes: HomeRegions::Any,
        version: None,
    }
}
