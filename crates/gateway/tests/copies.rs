//! Runs that may not be repeated go on from their copy when their server dies.

mod support;

use std::thread;

use onyxfall_fakes::{BreakPoint, ServerFault, ServerStub};
use support::{Site, call, wait_for};

const SERVERS: usize = 3;

struct CopyCase {
    name: &'static str,
    /// What every server does with runs that begin there.
    failing: ServerFault,
    /// Whether the stream must be whole.
    is_whole: bool,
    /// Event after which another server must have gone on.
    goes_on_after: Option<&'static str>,
}

#[test]
fn a_run_goes_on_from_its_copy_or_ends_broken() {
    let cases = [
        CopyCase {
            name: "after an event",
            failing: ServerFault::BreaksStreams(BreakPoint::AfterEvent),
            is_whole: true,
            goes_on_after: Some("1"),
        },
        CopyCase {
            name: "in the middle of an event",
            failing: ServerFault::BreaksStreams(BreakPoint::InEvent),
            is_whole: true,
            goes_on_after: Some("1"),
        },
        CopyCase {
            name: "after the last event, before the end",
            failing: ServerFault::BreaksStreams(BreakPoint::BeforeEnd),
            is_whole: true,
            goes_on_after: Some("3"),
        },
        CopyCase {
            name: "before the first event: there is nothing to go on from",
            failing: ServerFault::BreaksStreams(BreakPoint::BeforeEvents),
            is_whole: false,
            goes_on_after: None,
        },
        CopyCase {
            name: "the copy is lost",
            failing: ServerFault::BreaksAndLosesBackups,
            is_whole: false,
            goes_on_after: None,
        },
    ];
    thread::scope(|scope| {
        for case in &cases {
            scope.spawn(move || check_case(case));
        }
    });
}

fn check_case(case: &CopyCase) {
    let site = Site::start(1);
    let plain = ServerStub::start(site.ip(0)).unwrap();
    site.announce("plain", &plain, 0);
    let servers: Vec<ServerStub> = (0..SERVERS)
        .map(|number| {
            let server = ServerStub::start(site.ip(0)).unwrap();
            site.announce_model(&format!("m{number}"), &server, 0);
            server
        })
        .collect();
    site.configure(1);
    let gateway = site.gateway(0);
    gateway.wait_served();
    let path = "/stream/model/x";
    let mut asked = 0;
    wait_for("every model server to be known", || {
        asked += 1;
        let reply = call(gateway.callers(), path, &format!("first{asked}")).unwrap();
        assert!(!reply.broken, "{}: nothing has failed yet", case.name);
        servers.iter().all(|server| !server.runs().is_empty())
    });
    assert!(
        copies(&servers).is_empty(),
        "{}: copied without a crash",
        case.name
    );
    for server in &servers {
        server.set_fault(case.failing);
    }
    // A first crash comes without warning; the service is then known to be at risk.
    let first = call(gateway.callers(), path, "crash").unwrap();
    assert!(first.broken, "{}: the first crash", case.name);
    let second = call(gateway.callers(), path, "tested").unwrap();
    assert_eq!(!second.broken, case.is_whole, "{}: whole", case.name);
    if case.is_whole {
        assert_eq!(second.text(), ServerStub::whole_stream(), "{}", case.name);
    }
    let runs: Vec<_> = servers
        .iter()
        .flat_map(ServerStub::runs)
        .filter(|run| run.call.request_id == "tested")
        .collect();
    let begun = runs.iter().filter(|run| run.call.copy_from.is_none());
    assert_eq!(begun.count(), 1, "{}: it began once", case.name);
    let went_on = runs.iter().find(|run| run.call.copy_from.is_some());
    let after = went_on.and_then(|run| run.call.last_event.as_deref());
    assert_eq!(after, case.goes_on_after, "{}: went on", case.name);
}

/// Requests whose run was copied.
fn copies(servers: &[ServerStub]) -> Vec<String> {
    servers
        .iter()
        .flat_map(ServerStub::runs)
        .filter(|run| run.call.copy_to.is_some())
        .map(|run| run.call.request_id)
        .collect()
}
