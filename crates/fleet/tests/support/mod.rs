//! What the tests of the fleet have in common: moments, places and servers.
#![allow(dead_code)]

use std::time::Duration;

use onyxfall_fleet::{ServerBirth, ServerPhase, ServerRecord, VmPlace};
use onyxfall_policy::Moment;

/// A moment so many milliseconds after the start.
pub fn at(millis: u64) -> Moment {
    Moment::from_duration(Duration::from_millis(millis))
}

/// Where a VM stands: in the first of the data centres.
pub fn place(vm: &str, centers: &[(&str, &str)]) -> VmPlace {
    let centers: Vec<_> = centers
        .iter()
        .map(|(center, region)| (center.parse().unwrap(), region.parse().unwrap()))
        .collect();
    let (center, region) = centers[0].clone();
    VmPlace {
        vm: vm.parse().unwrap(),
        center,
        region,
        centers: centers.into_iter().collect(),
    }
}

/// A server of the data centre `c0` that takes work.
pub fn ready_server(name: &str) -> ServerRecord {
    ServerRecord {
        name: name.parse().unwrap(),
        born: ServerBirth::UNKNOWN,
        service: "svc".parse().unwrap(),
        version: None,
        address: ([127, 0, 0, 1], 1).into(),
        center: "c0".parse().unwrap(),
        slots: 4,
        phase: ServerPhase::Ready,
        cold_left: Duration::ZERO,
    }
}
