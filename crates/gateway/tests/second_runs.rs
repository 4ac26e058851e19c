//! Second runs that a server turns away, fails or crashes under.

mod support;

use std::thread;
use std::time::Duration;

use onyxfall_fakes::{BreakPoint, ServerFault, ServerStub};
use support::{Gateway, Reply, Site, call};

const CALLERS: usize = 6;
const EVENT_PAUSE: Duration = Duration::from_millis(200);
const SENT_BEFORE: Duration = Duration::from_millis(300);

fn start(fault: ServerFault) -> (Site, [ServerStub; 2], Gateway) {
    let site = Site::start_in(1, 1);
    let servers = [0, 1].map(|number| {
        let server = ServerStub::start(site.ip(0)).unwrap();
        server.set_event_pause(EVENT_PAUSE);
        site.announce(&format!("s{number}"), &server, 0);
        server
    });
    site.configure(1);
    let gateway = site.gateway(0);
    gateway.wait_served();
    servers[1].set_fault(fault);
    (site, servers, gateway)
}

fn spawn_calls<'scope>(
    scope: &'scope thread::Scope<'scope, '_>,
    gateway: &Gateway,
    path: &'static str,
) -> Vec<thread::ScopedJoinHandle<'scope, Option<Reply>>> {
    (0..CALLERS)
        .map(|caller| {
            let address = gateway.callers();
            scope.spawn(move || call(address, &format!("{path}{caller}"), &format!("c{caller}")))
        })
        .collect()
}

fn lines(gateway: &Gateway, words: &[&str]) -> String {
    let log = gateway.log();
    let lines = log
        .lines()
        .filter(|line| words.iter().any(|word| line.contains(word)));
    lines
        .map(|line| line.chars().take(330).collect::<String>())
        .collect::<Vec<_>>()
        .join("\n")
}

/// The only other server fails every request while the first one is silent for 1.5 s. Two VMs are
/// needed for votes.
#[test]
fn a_failure_of_a_second_run_does_not_end_a_silent_first_one() {
    let site = Site::start_in(2, 1);
    let servers = [0, 1].map(|number| {
        let server = ServerStub::start(site.ip(0)).unwrap();
        site.announce(&format!("s{number}"), &server, 0);
        server
    });
    site.configure(1);
    let gateways = [site.gateway(0), site.gateway(1)];
    for gateway in &gateways {
        gateway.wait_served();
        for server in &servers {
            support::wait_used("every server to be used", gateway, server);
        }
    }
    thread::scope(|scope| {
        servers[0].set_silent(true);
        let callers: Vec<_> = gateways
            .iter()
            .flat_map(|gateway| spawn_calls(scope, gateway, "/repeat/x"))
            .collect();
        thread::sleep(Duration::from_millis(100));
        servers[1].set_fault(ServerFault::Fails);
        thread::sleep(Duration::from_millis(1400));
        servers[0].set_silent(false);
        let statuses: Vec<u16> = callers
            .into_iter()
            .map(|caller| {
                caller
                    .join()
                    .unwrap()
                    .map_or(0, |reply| reply.status.as_u16())
            })
            .collect();
        let wrong = statuses.iter().filter(|status| **status == 500).count();
        let words = [
            "second run",
            "race of",
            "request ended",
            "attempt failed",
            "lost with",
        ];
        assert_eq!(
            wrong,
            0,
            "{statuses:?}\n{}\n{}",
            lines(&gateways[0], &words),
            lines(&gateways[1], &words)
        );
    });
}

/// A server that breaks off a second run before its first event has lost a run.
#[test]
fn a_second_run_lost_before_its_first_event_is_logged_as_lost() {
    let (_site, servers, gateway) = start(ServerFault::None);
    thread::scope(|scope| {
        let callers = spawn_calls(scope, &gateway, "/stream/resume/x");
        thread::sleep(SENT_BEFORE);
        servers[0].set_silent(true);
        servers[1].set_fault(ServerFault::BreaksStreams(BreakPoint::BeforeEvents));
        support::wait_for("a second run", || {
            gateway.log().contains("second run started")
        });
        thread::sleep(EVENT_PAUSE * 2);
        let lost = lines(&gateway, &["run lost with its server"]);
        servers[0].set_silent(false);
        for caller in callers {
            let _ = caller.join().unwrap();
        }
        assert!(
            lost.contains("\"server\":\"s1\""),
            "{lost}\n{}",
            lines(&gateway, &["second run", "race of", "request ended"])
        );
    });
}

/// The second server sends heads and breaks off before an event; the first one is silent before its
/// head, and goes on.
#[test]
fn the_head_of_a_second_run_does_not_end_a_silent_first_one() {
    let site = Site::start_in(2, 1);
    let servers = [0, 1].map(|number| {
        let server = ServerStub::start(site.ip(0)).unwrap();
        site.announce(&format!("s{number}"), &server, 0);
        server
    });
    site.configure(1);
    let gateways = [site.gateway(0), site.gateway(1)];
    for gateway in &gateways {
        gateway.wait_served();
        for server in &servers {
            support::wait_used("every server to be used", gateway, server);
        }
    }
    thread::scope(|scope| {
        servers[0].set_silent(true);
        let callers: Vec<_> = gateways
            .iter()
            .flat_map(|gateway| spawn_calls(scope, gateway, "/stream/resume/x"))
            .collect();
        thread::sleep(Duration::from_millis(100));
        servers[1].set_fault(ServerFault::BreaksStreams(BreakPoint::BeforeEvents));
        thread::sleep(Duration::from_millis(1400));
        servers[0].set_silent(false);
        let replies = callers.into_iter().map(|caller| caller.join().unwrap());
        let broken = replies.filter(|reply| {
            let whole = reply.as_ref().filter(|reply| !reply.broken);
            whole.is_none_or(|reply| reply.text() != ServerStub::whole_stream())
        });
        let words = ["second run", "race of", "request ended", "could not"];
        assert_eq!(
            broken.count(),
            0,
            "{}\n{}",
            lines(&gateways[0], &words),
            lines(&gateways[1], &words)
        );
    });
}
