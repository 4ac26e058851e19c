//! A server that turns a request away and names a time of rest gets nothing for that time.
//!
//! What users saw: four of twelve model servers turned everything away and asked for three
//! seconds of rest each time. They were asked 20 to 36 times a second all the same. Each
//! refusal cost its caller a millisecond, or two trips to another region, and a part of the
//! retry budget.
//!
//! Order of events: a server answered a VM 503 with a time of three seconds. The VM held
//! back for 0.12 s and sent it the next request, which was turned away again, and so on:
//! 11 requests in one time of rest.
//!
//! Cause: every refusal was taken as "full for a moment", with a pause of its own length;
//! the time that it named was read by nobody.
//!
//! Evidence: in the VM's log refusals of one server follow each other by 0.12 to 0.30 s
//! while eight other servers are trusted, so that the pause was kept and was too short, and
//! was not passed over for want of others.

mod support;

use std::thread;
use std::time::Duration;

use http::StatusCode;
use onyxfall_fakes::{RequestedBackoff, ServerStub, StubSignals};
use support::{Gateway, Site, call, wait_used};

const PATH: &str = "/repeat/x";
/// Requests after which a server that could get one would have got one, of two servers.
const REQUESTS: usize = 30;
/// Callers that ask at once.
const CALLERS: usize = 6;
/// Time after a refusal up to which requests may have been on their way, and how many may
/// come in the rest of the time, by the platform's bounds.
const ON_THE_WAY: Duration = Duration::from_millis(500);
const MOST_LATER: usize = 2;

fn resting(seconds: &'static str) -> StubSignals {
    StubSignals {
        is_leaving: false,
        rest: Some(RequestedBackoff { seconds, every: 1 }),
        ..StubSignals::default()
    }
}

/// A VM with servers that are all in use.
struct RestingSite {
    gateway: Gateway,
    servers: Vec<ServerStub>,
    // Dropped last: the addresses of the others are its.
    _site: Site,
}

impl RestingSite {
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

    /// Lets a server turn a request away.
    fn let_rest(&self, server: usize, seconds: &'static str) {
        self.servers[server].set_signals(resting(seconds));
        self.wait_used("the server to ask for rest", &self.servers[server]);
    }
}

struct RestCase {
    seconds: &'static str,
    lasts: Duration,
}

#[test]
fn a_server_gets_nothing_for_as_long_as_it_wants_rest() {
    let cases = [
        RestCase {
            seconds: "2",
            lasts: Duration::from_secs(2),
        },
        RestCase {
            seconds: "1.75",
            lasts: Duration::from_millis(1750),
        },
    ];
    for case in &cases {
        let site = RestingSite::start(2);
        site.let_rest(0, case.seconds);
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
        let rested = arrivals[1].at - arrivals[0].at;
        assert!(rested >= case.lasts, "{}: {rested:?}", case.seconds);
    }
}

/// Callers go on while the server turns everything away, again and again: each time of
/// rest is kept, and after it one request tries whether the server is back.
#[test]
fn times_of_rest_that_follow_each_other_are_kept() {
    let site = RestingSite::start(2);
    let server = &site.servers[0];
    let before = server.arrived();
    server.set_signals(resting("1"));
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
    assert!(!arrivals.is_empty(), "it was never asked");
    for asked in &arrivals {
        let ends = asked.at + Duration::from_secs(1);
        let later = arrivals
            .iter()
            .filter(|other| other.at > asked.at + ON_THE_WAY && other.at < ends)
            .count();
        assert!(later <= MOST_LATER, "{later} requests in a time of rest");
    }
    let tries = arrivals
        .iter()
        .filter(|other| other.at > arrivals[0].at + ON_THE_WAY);
    let lasted = arrivals[arrivals.len() - 1].at - arrivals[0].at;
    let times = lasted.as_secs() + 1;
    let tries = u64::try_from(tries.count()).unwrap();
    assert!(tries <= times, "{tries} tries after {times} times of rest");
}

/// Where all that could serve want rest, the caller is told at once, and when to come back.
#[test]
fn where_all_servers_rest_the_answer_is_known_at_once() {
    let site = RestingSite::start(2);
    site.let_rest(0, "30");
    site.let_rest(1, "60");
    let before: usize = site.servers.iter().map(ServerStub::arrived).sum();
    for number in 0..REQUESTS {
        let id = format!("tested{number}");
        let reply = call(site.gateway.callers(), PATH, &id).unwrap();
        assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
        let after = reply.headers["retry-after"].to_str().unwrap();
        let after: f64 = after.parse().unwrap();
        // The first of the two is back after 30 s; not all callers come in that second.
        assert!((10.0..=45.0).contains(&after), "back after {after} s");
    }
    let after: usize = site.servers.iter().map(ServerStub::arrived).sum();
    assert_eq!(after, before, "no server is asked");
}

/// A time that makes no sense is no reason to leave a server out.
#[test]
fn a_time_that_makes_no_sense_is_a_refusal_like_any_other() {
    for seconds in ["-3", "soon", "nan"] {
        let site = RestingSite::start(2);
        site.let_rest(0, seconds);
        site.wait_used("the server to be asked again", &site.servers[0]);
    }
}
