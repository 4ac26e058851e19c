//! Streams whose callers resume them after all VMs were killed at once and came back. No answer
//! joins events of two versions, whatever the VMs have forgotten.

mod support;

use std::time::{Duration, Instant, SystemTime};

use http::StatusCode;
use onyxfall_fakes::{ServerFault, ServerStub, StoreMode};
use support::versioned::{
    RECORD_TIME, VERSIONS, begin_streams, put_version, restart_server, resume, start_server,
    version_of,
};
use support::{Gateway, Site, wait_for};

const VMS: usize = 3;
const STREAMS: usize = 8;
/// Time in which callers try to resume their streams after the VMs are back.
const RESUME_TIME: Duration = Duration::from_secs(2);

/// What becomes of the servers of the first version.
#[derive(Clone, Copy, PartialEq, Eq)]
enum FormerServers {
    Stay,
    /// They leave before the VMs are killed.
    LeaveBefore,
    /// They leave while no VM runs.
    LeaveMeanwhile,
    /// They restart under their names with the second version while no VM runs.
    Restart,
}

struct RejoinCase {
    name: &'static str,
    former: FormerServers,
    /// Whether the store refuses calls when the VMs start.
    is_store_late: bool,
    /// Whether the servers of the second version are there when the streams begin.
    has_both: bool,
}

const BOTH: RejoinCase = RejoinCase {
    name: "both versions in service",
    former: FormerServers::Stay,
    is_store_late: false,
    has_both: true,
};

const CASES: [RejoinCase; 7] = [
    BOTH,
    RejoinCase {
        name: "the former version has just gone",
        former: FormerServers::LeaveBefore,
        ..BOTH
    },
    RejoinCase {
        name: "the former version goes meanwhile",
        former: FormerServers::LeaveMeanwhile,
        ..BOTH
    },
    RejoinCase {
        name: "the former version goes meanwhile, and the other one comes",
        former: FormerServers::LeaveMeanwhile,
        has_both: false,
        ..BOTH
    },
    RejoinCase {
        name: "servers restart under their names with the other version",
        former: FormerServers::Restart,
        has_both: false,
        ..BOTH
    },
    RejoinCase {
        name: "both versions in service, the store comes back after the VMs",
        is_store_late: true,
        ..BOTH
    },
    RejoinCase {
        name: "the former version goes meanwhile, the store comes back after the VMs",
        former: FormerServers::LeaveMeanwhile,
        is_store_late: true,
        ..BOTH
    },
];

fn start_gateways(site: &Site) -> Vec<Gateway> {
    (0..VMS).map(|vm| site.gateway(vm)).collect()
}

fn start_servers(site: &Site, version: &'static str) -> Vec<ServerStub> {
    let start = |number| start_server(site, &format!("{version}-{number}"), version);
    (0..2).map(start).collect()
}

fn retire_former(site: &Site) {
    for number in 0..2 {
        site.retire(&format!("v1-{number}"));
    }
}

/// Resumes streams at all VMs in turn, by their ids and received parts; returns the number of
/// streams that were resumed.
fn resume_all(case: &RejoinCase, gateways: &[Gateway], begun: &[(String, String)]) -> usize {
    let end = Instant::now() + RESUME_TIME;
    let mut resumed = vec![false; begun.len()];
    let mut round = 0;
    while Instant::now() < end && resumed.contains(&false) {
        for (number, (attempt, received)) in begun.iter().enumerate() {
            if resumed[number] {
                continue;
            }
            let gateway = &gateways[(round + number) % gateways.len()];
            let id = format!("again{round}-{attempt}");
            let reply = resume(gateway, attempt, received, &id);
            if reply.status == StatusCode::OK {
                let joined = received.clone() + reply.text();
                let version = version_of(&joined);
                assert!(version.is_some(), "{}: mixed: {joined}", case.name);
                resumed[number] = true;
            }
        }
        round += 1;
    }
    resumed.into_iter().filter(|is_resumed| *is_resumed).count()
}

fn check_rejoin(case: &RejoinCase) {
    let site = Site::start_in(3, 2);
    let mut former = start_servers(&site, VERSIONS[0]);
    let mut others = Vec::new();
    if case.has_both {
        others = start_servers(&site, VERSIONS[1]);
    }
    site.configure(1);
    let mut gateways = start_gateways(&site);
    for gateway in &gateways {
        gateway.wait_served();
        wait_for("the VMs to know each other", || {
            gateway.log().contains("\"known\":2")
        });
    }
    for server in former.iter().chain(&others) {
        server.set_fault(ServerFault::Stalls);
    }
    let streams = begin_streams(&gateways[0], STREAMS);
    std::thread::sleep(RECORD_TIME);
    if case.former == FormerServers::LeaveBefore {
        retire_former(&site);
        std::thread::sleep(RECORD_TIME);
    }
    for gateway in &mut gateways {
        gateway.child.kill().unwrap();
        gateway.child.wait().unwrap();
    }
    if !case.has_both && case.former == FormerServers::LeaveMeanwhile {
        others = start_servers(&site, VERSIONS[1]);
    }
    match case.former {
        FormerServers::Stay | FormerServers::LeaveBefore => {}
        FormerServers::LeaveMeanwhile => retire_former(&site),
        FormerServers::Restart => {
            for (number, server) in former.iter_mut().enumerate() {
                server.crash();
                *server = restart_server(server, VERSIONS[1]);
                let name = format!("v1-{number}");
                put_version(&site, &name, server, VERSIONS[1], SystemTime::now());
            }
        }
    }
    for server in former.iter().chain(&others) {
        server.set_fault(ServerFault::None);
    }
    if case.is_store_late {
        site.store.set_mode(StoreMode::Refusing);
    }
    gateways = start_gateways(&site);
    if case.is_store_late {
        std::thread::sleep(Duration::from_secs(1));
        site.store.set_mode(StoreMode::Normal);
    }
    for gateway in &gateways {
        gateway.wait_served();
    }
    let begun: Vec<(String, String)> = streams
        .into_iter()
        .map(|stream| (stream.id.clone(), stream.finish()))
        .collect();
    let resumed = resume_all(case, &gateways, &begun);
    println!("{}: {resumed} of {STREAMS} resumed", case.name);
}

/// Guards against text that is joined from two versions.
#[test]
fn streams_resumed_after_all_vms_were_killed_hold_one_version() {
    std::thread::scope(|scope| {
        for case in &CASES {
            scope.spawn(move || check_rejoin(case));
        }
    });
}
