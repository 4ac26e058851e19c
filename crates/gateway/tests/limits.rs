//! A server in need gets no more than the rate that it names for all VMs together.

mod support;

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use http::StatusCode;
use onyxfall_fakes::{ArrivedRequest, ServerFault, ServerStub, StubSignals};
use support::{Gateway, Site, call, wait_for, wait_used};

const WINDOW: Duration = Duration::from_secs(4);
/// Requests in a window that are allowed beside one and a half times the limit.
const SLACK: f64 = 5.0;
/// Time after the last VM was told from which requests count.
const TOLD: Duration = Duration::from_millis(500);
/// Time for which callers go on after that.
const ASKED_FOR: Duration = Duration::from_millis(5500);
/// Age from which a VM that hears no other one knows that it is alone.
const KNOWN_ALONE: Duration = Duration::from_millis(1600);
const CALLERS: usize = 6;
const PAUSE: Duration = Duration::from_millis(20);

/// The word of a server that names a limit.
fn limited(limit: &'static str) -> StubSignals {
    StubSignals {
        limit: Some(limit),
        ..StubSignals::default()
    }
}

/// VMs of one region, and servers that all of them use.
struct LimitedSite {
    gateways: Vec<Gateway>,
    servers: Vec<ServerStub>,
    // Dropped last: the addresses of the others are its.
    site: Site,
}

impl LimitedSite {
    fn start(vms: u8, servers: usize) -> Self {
        let site = Site::start_in(vms, 1);
        let servers = site.start_servers(servers);
        site.configure(1);
        let gateways: Vec<Gateway> = (0..usize::from(vms)).map(|vm| site.gateway(vm)).collect();
        for gateway in &gateways {
            gateway.wait_served();
            for server in &servers {
                wait_used("every server to be used", gateway, server);
            }
        }
        Self {
            gateways,
            servers,
            site,
        }
    }

    /// Lets a server name a limit until every VM has read it.
    fn let_limit(&self, server: &ServerStub, limit: &'static str) {
        server.set_signals(limited(limit));
        for gateway in &self.gateways {
            let is_told = || gateway.log().contains("limit of a server changed");
            wait_for("a VM to read the limit", || {
                call(gateway.callers(), "/repeat/x", "told");
                is_told()
            });
        }
    }

    /// Lets callers ask all VMs in turn for a while.
    fn ask(&self, path: &str, time: Duration) {
        let until = Instant::now() + time;
        let targets: Vec<SocketAddr> = self.gateways.iter().map(Gateway::callers).collect();
        thread::scope(|scope| {
            for caller in 0..CALLERS {
                let targets = &targets;
                scope.spawn(move || {
                    let mut number = caller;
                    while Instant::now() < until {
                        let target = targets[number % targets.len()];
                        call(target, path, &format!("asked{caller}-{number}"));
                        number += 1;
                        thread::sleep(PAUSE);
                    }
                });
            }
        });
    }
}

/// The most requests that came within a window.
fn busiest_window(arrivals: &[ArrivedRequest]) -> usize {
    let within = |first: &ArrivedRequest| {
        let later = arrivals.iter().filter(|other| other.at >= first.at);
        later.filter(|other| other.at < first.at + WINDOW).count()
    };
    arrivals.iter().map(within).max().unwrap_or_default()
}

struct LimitCase {
    name: &'static str,
    limit: &'static str,
    vms: u8,
    path: &'static str,
    failing: ServerFault,
}

#[test]
fn a_server_in_need_is_not_sent_more_than_the_limit_for_all_vms() {
    let case = |name, limit, vms, path| LimitCase {
        name,
        limit,
        vms,
        path,
        failing: ServerFault::None,
    };
    let cases = [
        case("one VM", "2", 1, "/repeat/x"),
        case("three VMs", "1.7", 3, "/repeat/x"),
        case("requests that run once", "2", 2, "/once/x"),
        case("streams", "2", 2, "/stream/resume/x"),
        case("a limit of nothing", "0", 2, "/repeat/x"),
        LimitCase {
            failing: ServerFault::Rejects,
            ..case("named in refusals", "2", 2, "/repeat/x")
        },
    ];
    thread::scope(|scope| {
        for case in &cases {
            scope.spawn(move || {
                let site = LimitedSite::start(case.vms, 2);
                let server = &site.servers[0];
                server.set_fault(case.failing);
                site.let_limit(server, case.limit);
                thread::sleep(TOLD);
                let before = server.arrived();
                site.ask(case.path, ASKED_FOR);
                let most = busiest_window(&server.arrivals_from(before));
                let rate: f64 = case.limit.parse().unwrap();
                let allowed = 1.5 * WINDOW.as_secs_f64() * rate + SLACK;
                assert!(most as f64 <= allowed, "{}: {most} requests", case.name);
                assert!(site.servers[1].arrived() > 0, "{}", case.name);
            });
        }
    });
}

/// What no server takes is refused at once, with the time after which one does.
#[test]
fn requests_beyond_the_limits_of_all_servers_are_refused_with_a_time() {
    let site = LimitedSite::start(1, 1);
    thread::sleep(KNOWN_ALONE);
    site.let_limit(&site.servers[0], "0.5");
    let address = site.gateways[0].callers();
    let mut served = 0;
    let mut refused = 0;
    wait_for("two requests to be served", || {
        let reply = call(address, "/repeat/x", &format!("beyond{refused}")).unwrap();
        if reply.status == StatusCode::OK {
            served += 1;
            return served == 2;
        }
        refused += 1;
        assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
        let after: f64 = reply.headers["retry-after"]
            .to_str()
            .unwrap()
            .parse()
            .unwrap();
        assert!((0.1..=2.5).contains(&after), "{after} s");
        false
    });
    assert!(refused > 0, "nothing was refused");
}

/// Waits until a VM sends a server a good part of its requests, of two servers.
fn wait_shared(what: &str, gateway: &Gateway, server: &ServerStub) {
    wait_for(what, || {
        let before = server.arrived();
        for number in 0..20 {
            call(gateway.callers(), "/repeat/x", &format!("shared{number}"));
        }
        server.arrived() - before >= 5
    });
}

#[test]
fn a_limit_ends_with_the_first_answer_that_names_none() {
    let site = LimitedSite::start(3, 2);
    let server = &site.servers[0];
    site.let_limit(server, "1");
    server.set_signals(StubSignals::default());
    for gateway in &site.gateways {
        wait_shared("a VM to use the server again", gateway, server);
    }
}

#[test]
fn a_new_life_of_a_server_has_no_limit() {
    let site = LimitedSite::start(1, 2);
    let server = &site.servers[0];
    site.let_limit(server, "0");
    server.set_signals(StubSignals::default());
    site.site.retire("s0");
    site.site.announce("s9", server, 0);
    wait_shared("the new life to be used", &site.gateways[0], server);
}
