//! Streams between two VMs whose connection loses bytes in the middle and goes on.

mod support;

use std::io::{Read, Write};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

use http::StatusCode;
use onyxfall_fakes::ServerStub;
use support::{Reply, Site, call, wait_for};

const VERSION: &str = "v1";

struct LossCase {
    name: &'static str,
    /// Route of the stream.
    prefix: &'static str,
    /// Events whose bytes are lost once.
    lost: &'static [&'static str],
    is_whole: bool,
}

const CASES: [LossCase; 4] = [
    LossCase {
        name: "a stream that runs once, an event in the middle",
        prefix: "/stream/",
        lost: &["id: 2\n"],
        is_whole: false,
    },
    LossCase {
        name: "a stream that runs once, the last event",
        prefix: "/stream/",
        lost: &["id: 3\n"],
        is_whole: false,
    },
    LossCase {
        name: "a stream that may be resumed, an event in the middle",
        prefix: "/stream/resume/",
        lost: &["id: 2\n"],
        is_whole: true,
    },
    LossCase {
        name: "a stream that may be resumed, the last two events",
        prefix: "/stream/resume/",
        lost: &["id: 2\n", "id: 3\n"],
        is_whole: true,
    },
];

/// Parts of writes that are still to be lost.
type LostParts = Arc<Mutex<Vec<&'static str>>>;

/// Forwards connections from `listener` to `target`; the first write from the target that
/// contains a part of `lost` is lost.
fn start_lossy_proxy(listener: TcpListener, target: SocketAddr, lost: &[&'static str]) {
    let lost: LostParts = Arc::new(Mutex::new(lost.to_vec()));
    thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let Ok(far) = TcpStream::connect(target) else {
                continue;
            };
            let (near_copy, far_copy) = (near.try_clone().unwrap(), far.try_clone().unwrap());
            thread::spawn(move || pipe(near_copy, far_copy, &LostParts::default()));
            let lost = Arc::clone(&lost);
            thread::spawn(move || pipe(far, near, &lost));
        }
    });
}

fn pipe(mut from: TcpStream, mut to: TcpStream, lost: &LostParts) {
    let mut buffer = [0; 16 * 1024];
    while let Ok(count @ 1..) = from.read(&mut buffer) {
        let text = String::from_utf8_lossy(&buffer[..count]);
        let is_lost = {
            let mut lost = lost.lock().unwrap();
            let before = lost.len();
            lost.retain(|part| !text.contains(part));
            lost.len() < before
        };
        if !is_lost && to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    // Either end may already be closed.
    let _ = to.shutdown(Shutdown::Write);
}

/// Ids of the events that a caller received.
fn ids(reply: &Reply) -> Vec<usize> {
    let ids = reply
        .text()
        .lines()
        .filter_map(|line| line.strip_prefix("id: "));
    ids.map(|id| id.parse().unwrap()).collect()
}

/// Guards against a gap in a stream, or a stream that ends as complete without its last event.
#[test]
fn lost_bytes_between_two_vms_never_leave_a_gap_in_a_stream() {
    thread::scope(|scope| {
        for case in &CASES {
            scope.spawn(move || check_loss(case));
        }
    });
}

fn check_loss(case: &LossCase) {
    let mut site = Site::start(2);
    let _servers = ["s0", "s1"].map(|name| {
        let server = ServerStub::start(site.ip(1)).unwrap();
        server.set_version(VERSION);
        site.announce_version(name, &server, 1, VERSION);
        server
    });
    site.configure(1);
    let far = site.gateway(1);
    let relay = SocketAddr::new(IpAddr::V4(far.ip), far.ports.relay);
    // A VM forwards to other VMs at its own relay port.
    let listener = TcpListener::bind((far.ip, 0)).unwrap();
    site.ports.relay = listener.local_addr().unwrap().port();
    start_lossy_proxy(listener, relay, case.lost);
    let near = site.gateway(0);
    for gateway in [&near, &far] {
        gateway.wait_served();
    }
    let mut attempts = 0;
    wait_for("a stream from the other region", || {
        attempts += 1;
        let id = format!("r{attempts}");
        let reply = call(near.callers(), &format!("{}{id}", case.prefix), &id).unwrap();
        if reply.status != StatusCode::OK {
            return false;
        }
        let ids = ids(&reply);
        let is_prefix = ids.iter().copied().eq(1..=ids.len());
        assert!(is_prefix, "{}: {ids:?}", case.name);
        let is_whole = !reply.broken && reply.text() == ServerStub::stream_of(VERSION);
        assert_eq!(is_whole, case.is_whole, "{}: {ids:?}", case.name);
        assert!(is_whole || reply.broken, "{}: complete", case.name);
        true
    });
}
