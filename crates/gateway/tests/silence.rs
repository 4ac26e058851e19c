//! Answers outlive the silence of servers that are still there: a process that is stopped for a
//! second neither reads nor writes, and its kernel accepts connections and data meanwhile.

mod support;

use std::thread;
use std::time::Duration;

use onyxfall_fakes::{BreakPoint, ServerFault, ServerStub};
use support::{Gateway, Reply, Site, call, wait_for};

/// Concurrent requests of each VM.
const CALLERS: usize = 6;
/// Delay before each of the three events of a stream.
const EVENT_PAUSE: Duration = Duration::from_millis(200);
/// Time after a silence from which nothing may follow from it.
const SETTLED: Duration = Duration::from_millis(500);
/// Time from the requests to the silence: most streams have sent their first event.
const SENT_BEFORE: Duration = Duration::from_millis(300);

struct SilenceCase {
    name: &'static str,
    path: &'static str,
    vms: u8,
    regions: usize,
    /// Regions that have servers; VMs of the others forward their requests.
    served_regions: usize,
    /// Servers in each of these regions.
    servers: usize,
    /// Number of them that fall silent.
    silent: usize,
    silent_for: Duration,
}

const STREAM_OF_ALL: SilenceCase = SilenceCase {
    name: "streams that may be resumed, all servers silent",
    path: "/stream/resume/x",
    vms: 3,
    regions: 1,
    served_regions: 1,
    servers: 3,
    silent: 3,
    silent_for: Duration::from_millis(1200),
};

const CASES: [SilenceCase; 10] = [
    STREAM_OF_ALL,
    SilenceCase {
        name: "streams that may be resumed, two of three servers silent",
        silent: 2,
        ..STREAM_OF_ALL
    },
    SilenceCase {
        name: "streams that may be resumed, the only server silent",
        servers: 1,
        silent: 1,
        ..STREAM_OF_ALL
    },
    SilenceCase {
        name: "streams that may be resumed, two regions",
        vms: 4,
        regions: 2,
        served_regions: 2,
        servers: 2,
        silent: 2,
        ..STREAM_OF_ALL
    },
    SilenceCase {
        name: "streams that may be resumed, forwarded to the other region",
        vms: 2,
        regions: 2,
        ..STREAM_OF_ALL
    },
    SilenceCase {
        name: "streams that run once, forwarded to the other region",
        path: "/stream/x",
        vms: 2,
        regions: 2,
        ..STREAM_OF_ALL
    },
    SilenceCase {
        name: "streams that may be resumed, a short silence",
        silent_for: Duration::from_millis(600),
        ..STREAM_OF_ALL
    },
    SilenceCase {
        name: "streams that run once",
        path: "/stream/x",
        ..STREAM_OF_ALL
    },
    SilenceCase {
        name: "whole answers that may be repeated",
        path: "/repeat/x",
        ..STREAM_OF_ALL
    },
    SilenceCase {
        name: "whole answers that run once",
        path: "/once/x",
        ..STREAM_OF_ALL
    },
];

struct SilentSite {
    // Fields drop in order: the gateways before what they depend on.
    gateways: Vec<Gateway>,
    servers: Vec<ServerStub>,
    _site: Site,
}

impl SilentSite {
    fn start(case: &SilenceCase) -> Self {
        let site = Site::start_in(case.vms, case.regions);
        let mut servers = Vec::new();
        for number in 0..case.servers * case.served_regions {
            let vm = number % case.served_regions;
            let server = ServerStub::start(site.ip(vm)).unwrap();
            server.set_event_pause(EVENT_PAUSE);
            site.announce(&format!("s{number}"), &server, vm);
            servers.push(server);
        }
        site.configure(1);
        let gateways: Vec<Gateway> = (0..usize::from(case.vms))
            .map(|vm| site.gateway(vm))
            .collect();
        for gateway in &gateways {
            gateway.wait_served();
        }
        Self {
            gateways,
            servers,
            _site: site,
        }
    }
}

fn set_silent(servers: &[ServerStub], is_silent: bool) {
    for server in servers {
        server.set_silent(is_silent);
    }
}

/// Starts requests at all VMs, silences servers while they run, and returns what is wrong with
/// the answers, and with those to the same requests afterwards.
fn check_case(case: &SilenceCase) -> Vec<String> {
    let site = SilentSite::start(case);
    let mut wrong = check_silence(case, &site);
    thread::sleep(SETTLED);
    let site = &site;
    let replies = thread::scope(|scope| {
        let callers: Vec<_> = callers(site)
            .map(|(gateway, caller)| scope.spawn(move || call_case(case, gateway, caller, "again")))
            .collect();
        let replies = callers.into_iter().map(|caller| caller.join().unwrap());
        replies.collect::<Vec<_>>()
    });
    for reply in replies {
        let status = reply.map_or(0, |reply| reply.status.as_u16());
        if status != 200 {
            wrong.push(format!("{}: again: {status}", case.name));
        }
    }
    wrong
}

/// All callers of a site.
fn callers(site: &SilentSite) -> impl Iterator<Item = (&Gateway, usize)> {
    let gateways = site.gateways.iter();
    gateways.flat_map(|gateway| (0..CALLERS).map(move |caller| (gateway, caller)))
}

/// Sends a request that no other caller sends.
fn call_case(case: &SilenceCase, gateway: &Gateway, caller: usize, round: &str) -> Option<Reply> {
    let id = format!("{}-{caller}-{round}", gateway.ip);
    let path = format!("{}{caller}-{}", case.path, gateway.ip);
    call(gateway.callers(), &path, &id)
}

fn check_silence(case: &SilenceCase, site: &SilentSite) -> Vec<String> {
    let silent = &site.servers[..case.silent * case.served_regions];
    let is_stream = case.path.starts_with("/stream/");
    thread::scope(|scope| {
        if !is_stream {
            set_silent(silent, true);
        }
        let callers: Vec<_> = callers(site)
            .map(|(gateway, caller)| {
                scope.spawn(move || {
                    let reply = call_case(case, gateway, caller, "silent");
                    (format!("{}-{caller}", gateway.ip), reply)
                })
            })
            .collect();
        if is_stream {
            thread::sleep(SENT_BEFORE);
            set_silent(silent, true);
        }
        thread::sleep(case.silent_for);
        set_silent(silent, false);
        let whole = ServerStub::whole_stream();
        let replies = callers.into_iter().map(|caller| caller.join().unwrap());
        replies
            .filter_map(|(id, reply)| match reply {
                None => Some(format!("{}: {id}: no answer", case.name)),
                Some(reply) if reply.broken => Some(format!("{}: {id}: cut", case.name)),
                // What is refused as not run was never written to a server.
                Some(reply) if reply.status == 503 => None,
                Some(reply) if reply.status != 200 => {
                    Some(format!("{}: {id}: {}", case.name, reply.status))
                }
                Some(reply) if is_stream && reply.text() != whole => {
                    Some(format!("{}: {id}: {:?}", case.name, reply.text()))
                }
                Some(_) => None,
            })
            .collect()
    })
}

#[test]
fn no_answer_ends_while_its_server_is_silent() {
    let wrong: Vec<String> = thread::scope(|scope| {
        let cases = CASES
            .iter()
            .map(|case| scope.spawn(|| check_case(case)))
            .collect::<Vec<_>>();
        let wrong = cases.into_iter().flat_map(|case| case.join().unwrap());
        wrong.collect()
    });
    assert_eq!(wrong, Vec::<String>::new());
}

/// A copy makes a run look as if another server could resume it, though its own server is alive.
#[test]
fn a_run_with_a_copy_does_not_end_while_its_server_is_silent() {
    let site = Site::start(1);
    let plain = ServerStub::start(site.ip(0)).unwrap();
    site.announce("plain", &plain, 0);
    let servers: Vec<ServerStub> = (0..3)
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
    let mut requests = 0;
    wait_for("every model server to receive a request", || {
        requests += 1;
        call(gateway.callers(), path, &format!("first{requests}")).unwrap();
        servers.iter().all(|server| !server.runs().is_empty())
    });
    // After a crash, runs are copied.
    for server in &servers {
        server.set_fault(ServerFault::BreaksStreams(BreakPoint::AfterEvent));
    }
    assert!(call(gateway.callers(), path, "crash").unwrap().broken);
    for server in &servers {
        server.set_fault(ServerFault::None);
        server.set_event_pause(EVENT_PAUSE);
    }
    thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .map(|caller| {
                let (address, path) = (gateway.callers(), format!("{path}{caller}"));
                scope.spawn(move || call(address, &path, &format!("copied{caller}")).unwrap())
            })
            .collect();
        thread::sleep(SENT_BEFORE);
        set_silent(&servers, true);
        thread::sleep(STREAM_OF_ALL.silent_for);
        set_silent(&servers, false);
        let runs = servers.iter().flat_map(ServerStub::runs);
        let copied = runs.filter(|run| run.call.copy_to.is_some()).count();
        assert!(copied > 0, "no run was copied");
        for caller in callers {
            let reply = caller.join().unwrap();
            assert_eq!((reply.status.as_u16(), reply.broken), (200, false));
            assert_eq!(reply.text(), ServerStub::whole_stream());
        }
    });
}

/// A server that stays silent for good costs no stream that another one can resume.
#[test]
fn streams_of_a_server_that_does_not_come_back_go_on_at_another() {
    let case = SilenceCase {
        silent: 1,
        ..STREAM_OF_ALL
    };
    let site = SilentSite::start(&case);
    thread::scope(|scope| {
        let streams: Vec<_> = callers(&site)
            .map(|(gateway, caller)| {
                let case = &case;
                scope.spawn(move || call_case(case, gateway, caller, "dark").unwrap())
            })
            .collect();
        thread::sleep(SENT_BEFORE);
        site.servers[0].set_silent(true);
        let replies = streams.into_iter().map(|stream| stream.join().unwrap());
        let lost = replies
            .filter(|reply| reply.text() != ServerStub::whole_stream())
            .count();
        site.servers[0].set_silent(false);
        assert_eq!(lost, 0, "streams that did not go on");
    });
}
