//! What callers and servers see when servers fail: verdicts, runs, whole streams.

mod support;

use std::fmt::Write as _;
use std::thread;

use onyxfall_adapter::stub::is_signed;
use onyxfall_fakes::{ServerFault, ServerStub};
use support::{ServingSite, Site, call, wait_for};

struct FailingCase {
    name: &'static str,
    path: &'static str,
    /// What every server does.
    failing: ServerFault,
    status: u16,
    /// Runs over both servers.
    runs: usize,
    /// Whether the caller is told when to come back.
    has_retry_after: bool,
    /// Whether the answer is a server's own.
    is_signed: bool,
}

#[test]
fn verdicts_are_true_whatever_servers_do() {
    let cases = [
        FailingCase {
            name: "a whole answer",
            path: "/once/",
            failing: ServerFault::None,
            status: 200,
            runs: 1,
            has_retry_after: false,
            is_signed: true,
        },
        FailingCase {
            name: "refused by every server",
            path: "/once/",
            failing: ServerFault::Rejects,
            status: 503,
            runs: 0,
            has_retry_after: true,
            is_signed: false,
        },
        FailingCase {
            name: "another life has the address",
            path: "/once/",
            failing: ServerFault::Replaced,
            status: 503,
            runs: 0,
            has_retry_after: true,
            is_signed: false,
        },
        FailingCase {
            name: "closed after a run that may not be repeated",
            path: "/once/",
            failing: ServerFault::Closes,
            status: 502,
            runs: 1,
            has_retry_after: false,
            is_signed: false,
        },
        FailingCase {
            name: "closed after a run that may be repeated",
            path: "/repeat/",
            failing: ServerFault::Closes,
            status: 502,
            runs: 2,
            has_retry_after: false,
            is_signed: false,
        },
        FailingCase {
            name: "another request's answer",
            path: "/once/",
            failing: ServerFault::WrongResponse,
            status: 502,
            runs: 1,
            has_retry_after: false,
            is_signed: false,
        },
        FailingCase {
            name: "a failure of the server's own, not to be repeated",
            path: "/once/",
            failing: ServerFault::Fails,
            status: 500,
            runs: 1,
            has_retry_after: false,
            is_signed: true,
        },
        FailingCase {
            name: "a failure of the server's own, repeated once",
            path: "/repeat/",
            failing: ServerFault::Fails,
            status: 500,
            runs: 2,
            has_retry_after: false,
            is_signed: true,
        },
        FailingCase {
            name: "no answer at all",
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

fn check_case(case: &FailingCase) {
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
    assert_eq!(retry_after, case.has_retry_after, "{}: time", case.name);
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
fn a_broken_stream_never_looks_whole() {
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
    assert!(broken.broken, "a stream that broke off looks whole");
}

#[test]
fn a_resumable_stream_goes_on_at_another_server() {
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
    // Whichever is asked first, an answer is whole; the one that breaks off is
    // asked sooner or later, and then the other one goes on after its event.
    let mut asked = 0;
    wait_for("a stream to go on at the other server", || {
        asked += 1;
        let reply = call(gateway.callers(), "/stream/resume/x", &format!("r{asked}")).unwrap();
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
fn a_server_is_left_when_its_caller_leaves() {
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
        "leaver",
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
    wait_for("the server to be left", || server.cut() > 0);
}
