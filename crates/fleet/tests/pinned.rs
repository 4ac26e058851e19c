//! Requests that need one software version go only to servers of that version.

mod support;

use std::collections::BTreeMap;

use onyxfall_fleet::{CallRequirements, FleetView, LocalOption, ServerPhase, ServerRecord};
use onyxfall_rollout::{VersionRule, VersionSide};
use onyxfall_types::{RegionName, ServerName};
use rand::SeedableRng;
use rand::rngs::StdRng;
use support::{at, needs, place, ready_server};

struct PinnedCase {
    name: &'static str,
    /// Name, data centre and version of each server; an empty version is invalid.
    servers: &'static [(&'static str, &'static str, &'static str)],
    draining: Option<&'static str>,
    /// A rollout of version `v2`: its default side, and whether the other one is closed.
    rollout: Option<(VersionSide, bool)>,
    /// Server for a request that needs version `v2`.
    server: Option<&'static str>,
    /// Regions with a server for it.
    regions: &'static [&'static str],
}

const BASE: PinnedCase = PinnedCase {
    name: "one server of the version here",
    servers: &[
        ("s0", "c0", "v1"),
        ("s1", "c0", "v2"),
        ("s2", "c0", "v1"),
        ("s3", "c1", "v2"),
    ],
    draining: None,
    rollout: None,
    server: Some("s1"),
    regions: &["r0", "r1"],
};

#[test]
fn a_request_that_needs_a_version_gets_a_server_of_that_version() {
    let cases = [
        BASE,
        PinnedCase {
            name: "only in another region",
            servers: &[("s0", "c0", "v1"), ("s3", "c1", "v2")],
            server: None,
            regions: &["r1"],
            ..BASE
        },
        PinnedCase {
            name: "the server here is draining",
            draining: Some("s1"),
            server: None,
            regions: &["r1"],
            ..BASE
        },
        PinnedCase {
            name: "servers without a valid version",
            servers: &[("s0", "c0", ""), ("s1", "c0", "v1")],
            server: None,
            regions: &[],
            ..BASE
        },
        PinnedCase {
            name: "the version gets a share of the requests",
            rollout: Some((VersionSide::Old, false)),
            ..BASE
        },
        PinnedCase {
            name: "the version was taken back",
            rollout: Some((VersionSide::Old, true)),
            server: None,
            regions: &[],
            ..BASE
        },
    ];
    for case in cases {
        let mut view = FleetView::new(place("vm0", &[("c0", "r0"), ("c1", "r1")]));
        for (name, center, version) in case.servers {
            let phase = if case.draining == Some(*name) {
                ServerPhase::Draining { left: None }
            } else {
                ServerPhase::Ready
            };
            let record = ServerRecord {
                center: center.parse().unwrap(),
                version: version.parse().ok(),
                phase,
                ..ready_server(name)
            };
            view.put_server(at(0), record, None);
        }
        if let Some((usual, other_is_closed)) = case.rollout {
            let rule = VersionRule {
                target: "v2".parse().unwrap(),
                usual,
                other_is_closed,
            };
            view.set_version_rules(BTreeMap::from([("svc".parse().unwrap(), rule)]));
        }
        let needs = CallRequirements {
            version: Some("v2".parse().unwrap()),
            ..needs()
        };
        let rng = &mut StdRng::seed_from_u64(1);
        for _ in 0..20 {
            let chosen = match view.choose(at(10), &needs, &[], rng) {
                LocalOption::Free(choice) => Some(view.server(choice.server).record.name.clone()),
                _ => None,
            };
            let chosen = chosen.as_ref().map(ServerName::as_str);
            assert_eq!(chosen, case.server, "{}", case.name);
        }
        let version = "v2".parse().unwrap();
        let regions = view.version_regions(&needs.service, &version);
        let regions: Vec<&str> = regions.iter().map(RegionName::as_str).collect();
        assert_eq!(regions, case.regions, "{}: regions", case.name);
    }
}
