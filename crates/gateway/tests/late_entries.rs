//! Servers that start again under their name and whose new entry reaches the VMs late. Requests
//! that were sent meanwhile run at the new process, though the VMs record them for the former one.

mod support;

use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use onyxfall_fakes::ServerStub;
use support::{Gateway, Site, call, record, wait_for, wait_used};

const CALLERS: usize = 12;
/// Delay before each of the three events of a stream.
const EVENT_PAUSE: Duration = Duration::from_millis(200);
/// Time from the start of all requests to the entry: streams have sent one or two events.
const SENT_BEFORE: Duration = Duration::from_millis(300);
/// Time from the entry until requests that wait at the server may go on.
const ENTRY_SETTLED: Duration = Duration::from_millis(300);
/// Time since which the servers have run when the first VM starts.
const UPTIME: Duration = Duration::from_hours(1);

#[derive(Clone, Copy)]
struct LateCase {
    name: &'static str,
    path: &'static str,
    vms: u8,
    regions: usize,
    /// Whether the former entry leaves the store before the new one arrives.
    is_lapsed: bool,
    /// Whether the entry arrives before the head of any response.
    is_before_head: bool,
}

const RESUMABLE: LateCase = LateCase {
    name: "streams that may be resumed",
    path: "/stream/resume/x",
    vms: 1,
    regions: 1,
    is_lapsed: false,
    is_before_head: false,
};

const CASES: [LateCase; 8] = [
    RESUMABLE,
    LateCase {
        name: "streams that may be resumed, before their heads",
        is_before_head: true,
        ..RESUMABLE
    },
    LateCase {
        name: "streams that may be resumed, the former entry is gone",
        is_lapsed: true,
        ..RESUMABLE
    },
    LateCase {
        name: "streams that may be resumed, forwarded to the other region",
        vms: 2,
        regions: 2,
        ..RESUMABLE
    },
    LateCase {
        name: "streams that run once",
        path: "/stream/x",
        ..RESUMABLE
    },
    LateCase {
        name: "streams that run once, before their heads",
        path: "/stream/x",
        is_before_head: true,
        ..RESUMABLE
    },
    LateCase {
        name: "whole answers that may be repeated",
        path: "/repeat/x",
        is_before_head: true,
        ..RESUMABLE
    },
    LateCase {
        name: "whole answers that run once",
        path: "/once/x",
        is_before_head: true,
        ..RESUMABLE
    },
];

/// Unix time in milliseconds.
fn unix_millis(time: SystemTime) -> u64 {
    let since = time.duration_since(UNIX_EPOCH).unwrap();
    u64::try_from(since.as_millis()).unwrap()
}

fn set_waiting(servers: &[ServerStub], is_waiting: bool) {
    for server in servers {
        server.set_places(is_waiting.then_some(0));
    }
}

fn arrived(servers: &[ServerStub]) -> usize {
    servers.iter().map(ServerStub::arrived).sum()
}

/// Starts the VMs beside two servers, the first of which then crashes and starts again at its
/// address; returns when that one started. The VMs use it, and do not have its new entry.
fn restart_unnoticed(
    site: &Site,
    servers: &mut [ServerStub],
    vms: u8,
) -> (Vec<Gateway>, SystemTime) {
    let started_at = unix_millis(SystemTime::now() - UPTIME);
    for (number, server) in servers.iter().enumerate() {
        site.put(&record(&format!("s{number}"), server, started_at));
    }
    site.configure(1);
    let gateways: Vec<Gateway> = (0..vms).map(|vm| site.gateway(vm.into())).collect();
    for gateway in &gateways {
        gateway.wait_served();
    }
    let address = servers[0].address();
    servers[0].crash();
    let restarted_at = SystemTime::now();
    wait_for("the port to be free", || {
        let restarted = ServerStub::start_at(address);
        restarted.is_ok_and(|restarted| {
            servers[0] = restarted;
            true
        })
    });
    wait_used("the new process to be used", &gateways[0], &servers[0]);
    (gateways, restarted_at)
}

fn check_late_entry(case: &LateCase) {
    let site = Site::start_in(case.vms, case.regions);
    let mut servers = [0, 1].map(|_| ServerStub::start(site.ip(0)).unwrap());
    let (gateways, restarted_at) = restart_unnoticed(&site, &mut servers, case.vms);
    for server in &servers {
        server.set_event_pause(EVENT_PAUSE);
    }
    set_waiting(&servers, case.is_before_head);
    let before = arrived(&servers);
    let before_restarted = servers[0].arrived();
    let address = gateways.last().unwrap().callers();
    let replies = thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .map(|caller| {
                let path = format!("{}{caller}", case.path);
                scope.spawn(move || call(address, &path, &format!("late{caller}")))
            })
            .collect();
        wait_for("all requests to arrive", || {
            arrived(&servers) >= before + CALLERS
        });
        thread::sleep(SENT_BEFORE);
        if case.is_lapsed {
            site.retire("s0");
            wait_for("the entry to be gone", || {
                gateways[0].log().contains("server entry removed")
            });
        }
        let entry = record("s0", &servers[0], unix_millis(restarted_at));
        site.put(&entry);
        let applied = format!("\"born\":\"{}\"", entry.started_at);
        wait_for("the new entry to be applied", || {
            let logs = gateways.iter().map(Gateway::log);
            logs.filter(|log| log.contains(&applied)).count() == gateways.len()
        });
        thread::sleep(ENTRY_SETTLED);
        set_waiting(&servers, false);
        let replies = callers.into_iter().map(|caller| caller.join().unwrap());
        replies.collect::<Vec<_>>()
    });
    assert!(
        servers[0].arrived() > before_restarted,
        "{}: no request reached the new process",
        case.name
    );
    let is_stream = case.path.starts_with("/stream/");
    let is_whole = |text: &str| !is_stream || text == ServerStub::whole_stream();
    let whole = replies
        .iter()
        .flatten()
        .filter(|reply| reply.status.is_success() && !reply.broken && is_whole(reply.text()));
    assert_eq!(
        (whole.count(), arrived(&servers) - before),
        (CALLERS, CALLERS),
        "{}: whole answers, and runs",
        case.name
    );
}

/// Guards against answers that are given up because a late entry names the process that sends
/// them.
#[test]
fn a_late_entry_of_a_restarted_server_ends_none_of_its_answers() {
    thread::scope(|scope| {
        for case in &CASES {
            scope.spawn(move || check_late_entry(case));
        }
    });
}

/// A process that hangs keeps its connections: only the entry tells that another one has its name.
#[test]
fn streams_of_a_hung_server_go_on_elsewhere_once_another_process_has_its_name() {
    let site = Site::start(1);
    let servers = [0, 1].map(|_| ServerStub::start(site.ip(0)).unwrap());
    let started_at = unix_millis(SystemTime::now() - UPTIME);
    site.put(&record("s0", &servers[0], started_at));
    site.configure(1);
    let gateway = site.gateway(0);
    gateway.wait_served();
    servers[0].set_event_pause(EVENT_PAUSE);
    let replies = thread::scope(|scope| {
        let before = servers[0].arrived();
        let callers: Vec<_> = (0..CALLERS)
            .map(|caller| {
                let address = gateway.callers();
                let path = format!("/stream/resume/x{caller}");
                scope.spawn(move || call(address, &path, &format!("hung{caller}")))
            })
            .collect();
        wait_for("all streams to start", || {
            servers[0].arrived() >= before + CALLERS
        });
        thread::sleep(SENT_BEFORE);
        servers[0].set_silent(true);
        let restarted_at = SystemTime::now() + Duration::from_millis(50);
        thread::sleep(Duration::from_millis(100));
        site.put(&record("s0", &servers[1], unix_millis(restarted_at)));
        let replies = callers.into_iter().map(|caller| caller.join().unwrap());
        replies.collect::<Vec<_>>()
    });
    let whole = replies
        .iter()
        .flatten()
        .filter(|reply| !reply.broken && reply.text() == ServerStub::whole_stream());
    assert_eq!(whole.count(), CALLERS);
}
