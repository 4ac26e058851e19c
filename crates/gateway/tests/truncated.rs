//! Streams that a server breaks off never look complete to their callers, whichever way the
//! server delimits its responses.

mod support;

use std::fmt::Write as _;
use std::io::{Read, Write as _};
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use http::StatusCode;
use onyxfall_adapter::stub::caller_headers;
use onyxfall_fakes::{BreakEnd, BreakPoint, ServerFault, ServerStub, StubFraming, StubTransfer};
use support::{Reply, Site, call, wait_for};

const ONCE: &str = "/stream/";
const RESUMABLE: &str = "/stream/resume/";
const UNTIL_CLOSE: StubTransfer = StubTransfer {
    framing: StubFraming::UntilClose,
    break_end: BreakEnd::Close,
};
const UNTIL_RESET: StubTransfer = StubTransfer {
    framing: StubFraming::UntilClose,
    break_end: BreakEnd::Reset,
};
const CHUNKS_UNTIL_RESET: StubTransfer = StubTransfer {
    framing: StubFraming::Chunks,
    break_end: BreakEnd::Reset,
};

struct EndCase {
    name: &'static str,
    transfer: StubTransfer,
    fault: ServerFault,
    /// Whether the stream is complete.
    is_whole: bool,
}

const CASES: [EndCase; 8] = [
    EndCase {
        name: "complete, without a length or chunks",
        transfer: UNTIL_CLOSE,
        fault: ServerFault::None,
        is_whole: true,
    },
    EndCase {
        name: "closed inside an event",
        transfer: UNTIL_CLOSE,
        fault: ServerFault::BreaksStreams(BreakPoint::InEvent),
        is_whole: false,
    },
    EndCase {
        name: "closed before the first event",
        transfer: UNTIL_CLOSE,
        fault: ServerFault::BreaksStreams(BreakPoint::BeforeEvents),
        is_whole: false,
    },
    EndCase {
        name: "reset inside an event",
        transfer: UNTIL_RESET,
        fault: ServerFault::BreaksStreams(BreakPoint::InEvent),
        is_whole: false,
    },
    EndCase {
        name: "reset between two events",
        transfer: UNTIL_RESET,
        fault: ServerFault::BreaksStreams(BreakPoint::AfterEvent),
        is_whole: false,
    },
    EndCase {
        name: "reset before the first event",
        transfer: UNTIL_RESET,
        fault: ServerFault::BreaksStreams(BreakPoint::BeforeEvents),
        is_whole: false,
    },
    EndCase {
        name: "in chunks, closed inside an event",
        transfer: StubTransfer {
            framing: StubFraming::Chunks,
            break_end: BreakEnd::Close,
        },
        fault: ServerFault::BreaksStreams(BreakPoint::InEvent),
        is_whole: false,
    },
    EndCase {
        name: "in chunks, reset between two events",
        transfer: CHUNKS_UNTIL_RESET,
        fault: ServerFault::BreaksStreams(BreakPoint::AfterEvent),
        is_whole: false,
    },
];

fn check_reply(case: &EndCase, reply: &Reply, way: &str) {
    assert_eq!(!reply.broken, case.is_whole, "{}, served {way}", case.name);
    if case.is_whole {
        assert_eq!(
            reply.text(),
            ServerStub::whole_stream(),
            "{}, served {way}",
            case.name
        );
    }
}

#[test]
fn a_stream_that_is_broken_off_never_looks_whole() {
    thread::scope(|scope| {
        for case in &CASES {
            scope.spawn(move || check_once(case));
        }
    });
}

/// Checks streams that no other server may resume, served here and by another region.
fn check_once(case: &EndCase) {
    let site = Site::start(2);
    let server = ServerStub::start(site.ip(0)).unwrap();
    site.announce("s0", &server, 0);
    site.configure(1);
    let gateways = [site.gateway(0), site.gateway(1)];
    for gateway in &gateways {
        gateway.wait_served();
    }
    server.set_transfer(case.transfer);
    server.set_fault(case.fault);
    for (vm, way) in ["here", "by-another-region"].into_iter().enumerate() {
        let mut attempts = 0;
        // After a lost connection, the region may refuse requests until it has checked the path
        // to its only server.
        let mut reply = None;
        wait_for("a stream to begin", || {
            attempts += 1;
            // Requests with the same content could be suspected of crashing the server.
            let id = format!("{way}{attempts}");
            reply = call(gateways[vm].callers(), &format!("{ONCE}{id}"), &id)
                .filter(|reply| reply.status == StatusCode::OK);
            reply.is_some()
        });
        let reply = reply.unwrap();
        check_reply(case, &reply, way);
    }
}

#[test]
fn a_resumable_stream_that_is_broken_off_continues_at_another_server() {
    thread::scope(|scope| {
        for case in &CASES {
            scope.spawn(move || check_resumable(case));
        }
    });
}

fn check_resumable(case: &EndCase) {
    let site = Site::start(2);
    let servers = site.start_servers(2);
    site.configure(1);
    let gateways = [site.gateway(0), site.gateway(1)];
    for gateway in &gateways {
        gateway.wait_served();
    }
    servers[0].set_transfer(case.transfer);
    servers[1].set_transfer(UNTIL_CLOSE);
    servers[0].set_fault(case.fault);
    // Either server may be chosen first; sooner or later the failing one is.
    let mut attempts = 0;
    wait_for("the failing server to begin a stream", || {
        attempts += 1;
        let id = format!("here{attempts}");
        let reply = call(gateways[0].callers(), &format!("{RESUMABLE}{id}"), &id).unwrap();
        assert!(!reply.broken, "{}: broken", case.name);
        assert_eq!(reply.text(), ServerStub::whole_stream(), "{}", case.name);
        has_run(&servers[0], &id)
    });
    // The other region may not resume a stream, but its end must not be hidden.
    wait_for("the failing server to begin a stream elsewhere", || {
        attempts += 1;
        let id = format!("away{attempts}");
        let reply = call(gateways[1].callers(), &format!("{RESUMABLE}{id}"), &id).unwrap();
        if !reply.broken {
            assert_eq!(reply.text(), ServerStub::whole_stream(), "{}", case.name);
        }
        has_run(&servers[0], &id)
    });
}

fn has_run(server: &ServerStub, id: &str) -> bool {
    server.runs().iter().any(|run| run.call.request_id == id)
}

#[test]
fn a_caller_without_chunks_sees_a_reset_when_its_stream_is_broken_off() {
    let site = Site::start(1);
    let server = site.start_servers(1).remove(0);
    site.configure(1);
    let gateway = site.gateway(0);
    gateway.wait_served();
    let read = |id: &str| {
        let mut stream = TcpStream::connect(gateway.callers()).unwrap();
        let mut head = format!("POST {ONCE} HTTP/1.0\r\ncontent-length: 4\r\n");
        for (name, value) in &caller_headers(support::HOST, id, Duration::from_secs(3)) {
            let _ = write!(head, "{name}: {}\r\n", value.to_str().unwrap());
        }
        head.push_str("\r\nbody");
        stream.write_all(head.as_bytes()).unwrap();
        let mut text = String::new();
        stream.read_to_string(&mut text).map(|_| text)
    };
    let whole = read("whole").unwrap();
    assert!(whole.ends_with(&ServerStub::whole_stream()), "{whole}");
    server.set_fault(ServerFault::BreaksStreams(BreakPoint::InEvent));
    let broken = read("broken");
    assert!(
        broken.is_err(),
        "a truncated stream looks whole: {broken:?}"
    );
}
