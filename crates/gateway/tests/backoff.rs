//! A server that rejects a request and asks for backoff gets no requests until it ends.
//!
//! Guards against a VM that treats each such rejection as a server that is full for a
//! moment. Four of twelve model servers rejected everything with a 503 that named a backoff
//! of three seconds, but still received 20 to 36 requests a second. A VM paused for only
//! 0.12 s each time and sent 11 requests within one backoff. In its log, rejections by one
//! server followed each other by 0.12 to 0.30 s while eight other servers were healthy: the
//! VM kept its fixed pause, and the pause was too short. Each rejection cost the caller a
//! millisecond, or two round trips to another region, and part of the retry budget.

mod support;

use std::thread;
use std::time::Duration;

use http::StatusCode;
use onyxfall_fakes::{RequestedBackoff, ServerStub, StubSignals};
use support::{Gateway, Site, call, wait_used};

const PATH: &str = "/repeat/x";
/// Number of requests of which some would reach each of two eligible servers.
const REQUESTS: usize = 30;
/// Number of concurrent callers.
const CALLERS: usize = 6;
/// Time after a rejection during which requests may still be in flight, and how many may
/// arrive in the rest of the backoff; both are the platform's bounds.
const IN_FLIGHT: Duration = Duration::from_millis(500);
const MAX_LATER: usize = 2;

fn asking_backoff(seconds: &'static str) -> StubSignals {
    StubSignals {
        is_draining: false,
        backoff: Some(RequestedBackoff { seconds, every: 1 }),
        ..StubSignals::default()
    }
}

/// A VM with servers that are all in use.
struct BackoffSite {
    gateway: Gateway,
    servers: Vec<ServerStub>,
    // Dropped last: it owns the addresses of the others.
    _site: Site,
}

impl BackoffSite {
    fn start(count: usize) -> Self {
        let site = Site::start(1);
        let servers = site.start_servers(count);
        site.configure(1);
        let gateway = site.gateway(0);
        gateway.wait_served();
        let all = Self {
            gateway,
            servers,
            _site: site,
        };
        for server in &all.servers {
            all.wait_used("every server to be used", server);
        }
        all
    }

    fn wait_used(&self, what: &str, server: &ServerStub) {
        wait_used(what, &self.gateway, server);
    }

    /// Makes a server reject a request and ask for backoff.
    fn ask_backoff(&self, server: usize, seconds: &'static str) {
        self.servers[server].set_signals(asking_backoff(seconds));
        self.wait_used("the server to ask for backoff", &self.servers[server]);
    }
}

struct BackoffCase {
    seconds: &'static str,
    lasts: Duration,
}

#[test]
fn a_server_gets_nothing_during_its_backoff() {
    let cases = [
        BackoffCase {
            seconds: "2",
            lasts: Duration::from_secs(2),
        },
        BackoffCase {
            seconds: "1.75",
            lasts: Duration::from_millis(1750),
        },
    ];
    for case in &cases {
        let site = BackoffSite::start(2);
        site.ask_backoff(0, case.seconds);
        let server = &site.servers[0];
        server.set_signals(StubSignals::default());
        let before = server.arrived();
        for number in 0..REQUESTS {
            let id = format!("tested{number}");
            let reply = call(site.gateway.callers(), PATH, &id).unwrap();
            assert_eq!(reply.status, StatusCode::OK, "{}", case.seconds);
        }
        site.wait_used("the server to be used again", server);
        let arrivals = server.arrivals_from(before - 1);
        let waited = arrivals[1].at - arrivals[0].at;
        assert!(waited >= case.lasts, "{}: {waited:?}", case.seconds);
    }
}

/// Callers keep sending while the server rejects everything. Each backoff is respected, and
/// after it one request probes the server.
#[test]
fn consecutive_backoffs_are_respected() {
    let site = BackoffSite::start(2);
    let server = &site.servers[0];
    let before = server.arrived();
    server.set_signals(asking_backoff("1"));
    let address = site.gateway.callers();
    thread::scope(|scope| {
        for caller in 0..CALLERS {
            scope.spawn(move || {
                for number in 0..60 {
                    call(address, PATH, &format!("caller{caller}-{number}"));
                    thread::sleep(Duration::from_millis(50));
                }
            });
        }
    });
    let arrivals = server.arrivals_from(before);
    assert!(!arrivals.is_empty(), "the server was never used");
    for rejected in &arrivals {
        let ends = rejected.at + Duration::from_secs(1);
        let later = arrivals
            .iter()
            .filter(|other| other.at > rejected.at + IN_FLIGHT && other.at < ends)
            .count();
        assert!(later <= MAX_LATER, "{later} requests in a backoff");
    }
    let probes = arrivals
        .iter()
        .filter(|other| other.at > arrivals[0].at + IN_FLIGHT);
    let lasted = arrivals[arrivals.len() - 1].at - arrivals[0].at;
    let backoffs = lasted.as_secs() + 1;
    let probes = u64::try_from(probes.count()).unwrap();
    assert!(
        probes <= backoffs,
        "{probes} probes after {backoffs} backoffs"
    );
}

/// If every server asks for backoff, the caller is rejected at once with a retry delay.
#[test]
fn requests_are_rejected_at_once_while_all_servers_back_off() {
    let site = BackoffSite::start(2);
    site.ask_backoff(0, "30");
    site.ask_backoff(1, "60");
    let before: usize = site.servers.iter().map(ServerStub::arrived).sum();
    for number in 0..REQUESTS {
        let id = format!("tested{number}");
        let reply = call(site.gateway.callers(), PATH, &id).unwrap();
        assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
        let after = reply.headers["retry-after"].to_str().unwrap();
        let after: f64 = after.parse().unwrap();
        // The first of the two backoffs ends after 30 s; callers are spread around that time.
        assert!((10.0..=45.0).contains(&after), "retry after {after} s");
    }
    let after: usize = site.servers.iter().map(ServerStub::arrived).sum();
    assert_eq!(after, before, "no server is used");
}

/// A malformed backoff is no reason to skip a server.
#[test]
fn a_malformed_backoff_is_treated_as_a_plain_rejection() {
    for seconds in ["-3", "soon", "nan"] {
        let site = BackoffSite::start(2);
        site.ask_backoff(0, seconds);
        site.wait_used("the server to be used again", &site.servers[0]);
    }
}
