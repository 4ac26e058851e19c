//! A server that signals a rate limit gets no more requests than that from all VMs together.

mod support;

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use http::StatusCode;
use onyxfall_fakes::{ArrivedRequest, ServerFault, ServerStub, StubSignals};
use support::{Gateway, Site, call, wait_for, wait_used};

const WINDOW: Duration = Duration::from_secs(4);
/// Number of requests in a window that are allowed beyond one and a half times the limit.
const SLACK: f64 = 5.0;
/// Time after the last VM has received the limit from which requests count.
const PROPAGATION_TIME: Duration = Duration::from_millis(500);
/// Time for which callers keep sending after that.
const SENDING_TIME: Duration = Duration::from_millis(5500);
/// Age from which a VM that has discovered no other VM assumes that it is alone.
const DISCOVERY_TIME: Duration = Duration::from_millis(1600);
const CALLERS: usize = 6;
const PAUSE: Duration = Duration::from_millis(20);

/// Signals of a server with a rate limit.
fn limited(limit: &'static str) -> StubSignals {
    StubSignals {
        limit: Some(limit),
        ..StubSignals::default()
    }
}

/// VMs of one region with servers that all of them use.
struct LimitedSite {
    gateways: Vec<Gateway>,
    servers: Vec<ServerStub>,
    // Dropped last: it owns the addresses of the others.
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

    /// Makes a server signal a limit and waits until every VM has received it.
    fn signal_limit(&self, server: &ServerStub, limit: &'static str) {
        server.set_signals(limited(limit));
        for gateway in &self.gateways {
            let has_received = || gateway.log().contains("limit of a server changed");
            wait_for("a VM to receive the limit", || {
                call(gateway.callers(), "/repeat/x", "limit");
                has_received()
            });
        }
    }

    /// Sends requests from several callers to all VMs in turn.
    fn send_for(&self, path: &str, time: Duration) {
        let until = Instant::now() + time;
        let targets: Vec<SocketAddr> = self.gateways.iter().map(Gateway::callers).collect();
        thread::scope(|scope| {
            for caller in 0..CALLERS {
                let targets = &targets;
                scope.spawn(move || {
                    let mut number = caller;
                    while Instant::now() < until {
                        let target = targets[number % targets.len()];
                        call(target, path, &format!("sent{caller}-{number}"));
                        number += 1;
                        thread::sleep(PAUSE);
                    }
                });
            }
        });
    }
}

/// Returns the largest number of requests that arrived within a window.
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
fn a_server_gets_at_most_its_limit_from_all_vms() {
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
        case("a limit of zero", "0", 2, "/repeat/x"),
        LimitCase {
            failing: ServerFault::Rejects,
            ..case("signalled in rejections", "2", 2, "/repeat/x")
        },
    ];
    thread::scope(|scope| {
        for case in &cases {
            scope.spawn(move || {
                let site = LimitedSite::start(case.vms, 2);
                let server = &site.servers[0];
                server.set_fault(case.failing);
                site.signal_limit(server, case.limit);
                thread::sleep(PROPAGATION_TIME);
                let before = server.arrived();
                site.send_for(case.path, SENDING_TIME);
                let max_requests = busiest_window(&server.arrivals_from(before));
                let rate: f64 = case.limit.parse().unwrap();
                let allowed = 1.5 * WINDOW.as_secs_f64() * rate + SLACK;
                assert!(
                    max_requests as f64 <= allowed,
                    "{}: {max_requests} requests",
                    case.name
                );
                assert!(site.servers[1].arrived() > 0, "{}", case.name);
            });
        }
    });
}

/// Requests beyond all limits are rejected at once with a retry delay.
#[test]
fn requests_beyond_the_limits_of_all_servers_are_rejected_with_a_retry_delay() {
    let site = LimitedSite::start(1, 1);
    thread::sleep(DISCOVERY_TIME);
    site.signal_limit(&site.servers[0], "0.5");
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

/// Waits until a VM sends a good part of its requests to one of two servers.
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
fn a_limit_ends_with_the_first_response_without_one() {
    let site = LimitedSite::start(3, 2);
    let server = &site.servers[0];
    site.signal_limit(server, "1");
    server.set_signals(StubSignals::default());
    for gateway in &site.gateways {
        wait_shared("a VM to use the server again", gateway, server);
    }
}

#[test]
fn a_new_instance_of_a_server_has_no_limit() {
    let site = LimitedSite::start(1, 2);
    let server = &site.servers[0];
    site.signal_limit(server, "0");
    server.set_signals(StubSignals::default());
    site.site.retire("s0");
    site.site.announce("s9", server, 0);
    wait_shared("the new instance to be used", &site.gateways[0], server);
}
