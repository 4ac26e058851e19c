//! Verdicts, runs and streams as seen by callers and servers when servers fail.

mod support;

use std::fmt::Write as _;
use std::thread;

use onyxfall_adapter::stub::is_signed;
use onyxfall_fakes::{ServerFault, ServerStub};
use support::{ServingSite, Site, call, wait_for};

struct FailureCase {
    name: &'static str,
    path: &'static str,
    /// Failure mode of every server.
    failing: ServerFault,
    status: u16,
    /// Number of runs on both servers together.
    runs: usize,
    /// Whether the response names a retry delay.
    has_retry_after: bool,
    /// Whether the response comes from a server.
    is_signed: bool,
}

#[test]
fn verdicts_are_correct_for_every_failure_mode() {
    let cases = [
        FailureCase {
            name: "a whole response",
            path: "/once/",
            failing: ServerFault::None,
            status: 200,
            runs: 1,
            has_retry_after: false,
            is_signed: true,
        },
        FailureCase {
            name: "rejected by every server",
            path: "/once/",
            failing: ServerFault::Rejects,
            status: 503,
            runs: 0,
            has_retry_after: true,
            is_signed: false,
        },
        FailureCase {
            name: "another instance has the address",
            path: "/once/",
            failing: ServerFault::Replaced,
            status: 503,
            runs: 0,
            has_retry_after: true,
            is_signed: false,
        },
        FailureCase {
            name: "closed after a run that may not be retried",
            path: "/once/",
            failing: ServerFault::Closes,
            status: 502,
            runs: 1,
            has_retry_after: false,
            is_signed: false,
        },
        FailureCase {
            name: "closed after a run that may be retried",
            path: "/repeat/",
            failing: ServerFault::Closes,
            status: 502,
            runs: 2,
            has_retry_after: false,
            is_signed: false,
        },
        FailureCase {
            name: "the response of another request",
            path: "/once/",
            failing: ServerFault::WrongResponse,
            status: 502,
            runs: 1,
            has_retry_after: false,
            is_signed: false,
        },
        FailureCase {
            name: "a server error that may not be retried",
            path: "/once/",
            failing: ServerFault::Fails,
            status: 500,
            runs: 1,
            has_retry_after: false,
            is_signed: true,
        },
        FailureCase {
            name: "a server error that is retried once",
            path: "/repeat/",
            failing: ServerFault::Fails,
            status: 500,
            runs: 2,
            has_retry_after: false,
            is_signed: true,
        },
        FailureCase {
            name: "no response",
            path: "/once/",
            failing: ServerFault::Unresponsive,
            status: 504,
            runs: 1,
            has_retry_after: false,
            is_signed: false,
        },
    ];
    thread::scope(|scope| {
        for case in &cases {
            scope.spawn(move || check_case(case));
        }
    });
}

fn check_case(case: &FailureCase) {
    let site = Site::start(1);
    let servers = [
        ServerStub::start(site.ip(0)).unwrap(),
        ServerStub::start(site.ip(0)).unwrap(),
    ];
    for (number, server) in servers.iter().enumerate() {
        site.announce(&format!("s{number}"), server, 0);
    }
    site.configure(1);
    let gateway = site.gateway(0);
    gateway.wait_served();
    let before: usize = servers.iter().map(|server| server.runs().len()).sum();
    for server in &servers {
        server.set_fault(case.failing);
    }
    let reply = call(gateway.callers(), &format!("{}x", case.path), "tested").expect(case.name);
    let after: usize = servers.iter().map(|server| server.runs().len()).sum();
    assert_eq!(reply.status.as_u16(), case.status, "{}: status", case.name);
    assert_eq!(after - before, case.runs, "{}: runs", case.name);
    let retry_after = reply.headers.contains_key("retry-after");
    assert_eq!(
        retry_after, case.has_retry_after,
        "{}: retry-after",
        case.name
    );
    assert_eq!(
        is_signed(&reply.headers),
        case.is_signed,
        "{}: signature",
        case.name
    );
}

#[test]
fn requests_reach_servers_unchanged() {
    let ServingSite {
        gateway,
        server,
        site: _site,
    } = ServingSite::start();
    call(gateway.callers(), "/once/a%20b?c=d", "tested").unwrap();
    let run = server.runs().pop().unwrap();
    assert_eq!(run.target, "/once/a%20b?c=d");
    assert_eq!(run.method, "POST");
    assert_eq!(&run.body[..], b"body");
    assert_eq!(run.call.request_id, "tested");
    assert_eq!(run.call.expected_server.as_deref(), Some("s0"));
    assert!(run.call.time_left.unwrap().as_millis() <= 3000);
}

#[test]
fn a_stream_with_a_lost_connection_never_looks_whole() {
    let ServingSite {
        gateway,
        server,
        site: _site,
    } = ServingSite::start();
    let whole = call(gateway.callers(), "/stream/x", "whole").unwrap();
    assert!(!whole.broken);
    assert_eq!(whole.text(), ServerStub::whole_stream());
    server.set_fault(ServerFault::Disconnects);
    let broken = call(gateway.callers(), "/stream/x", "broken").unwrap();
    assert!(broken.broken, "a stream with a lost connection looks whole");
}

#[test]
fn a_resumable_stream_is_resumed_by_another_server() {
    let site = Site::start(1);
    let servers = [
        ServerStub::start(site.ip(0)).unwrap(),
        ServerStub::start(site.ip(0)).unwrap(),
    ];
    site.announce("s0", &servers[0], 0);
    site.configure(1);
    let gateway = site.gateway(0);
    gateway.wait_served();
    servers[0].set_fault(ServerFault::Disconnects);
    site.announce("s1", &servers[1], 0);
    // Either server may be chosen first and the response is whole in any case. Sooner or
    // later the failing one is, and then the other one resumes after its last event.
    let mut attempts = 0;
    wait_for("the other server to resume a stream", || {
        attempts += 1;
        let reply = call(
            gateway.callers(),
            "/stream/resume/x",
            &format!("r{attempts}"),
        )
        .unwrap();
        let is_resumed = servers[1]
            .runs()
            .iter()
            .any(|run| run.call.last_event.as_deref() == Some("1"));
        if is_resumed {
            assert!(!reply.broken);
            assert_eq!(reply.text(), ServerStub::whole_stream());
        }
        is_resumed
    });
}

#[test]
fn a_request_is_cancelled_when_its_caller_disconnects() {
    let ServingSite {
        gateway,
        server,
        site: _site,
    } = ServingSite::start();
    server.set_fault(ServerFault::Unresponsive);
    let before = server.runs().len();
    let mut stream = std::net::TcpStream::connect(gateway.callers()).unwrap();
    let headers = onyxfall_adapter::stub::caller_headers(
        support::HOST,
        "cancelled",
        std::time::Duration::from_secs(3),
    );
    let mut head = "GET /repeat/x HTTP/1.1\r\n".to_owned();
    for (name, value) in &headers {
        let _ = write!(head, "{name}: {}\r\n", value.to_str().unwrap());
    }
    head.push_str("\r\n");
    std::io::Write::write_all(&mut stream, head.as_bytes()).unwrap();
    wait_for("the server to run the request", || {
        server.runs().len() > before
    });
    drop(stream);
    wait_for("the request to be cancelled", || server.cut() > 0);
}
