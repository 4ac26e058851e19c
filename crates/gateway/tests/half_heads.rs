//! Responses that stop at any byte of their head, sent by a server or by another VM.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::io::{Read, Write as _};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use http::{HeaderMap, HeaderName, StatusCode};
use onyxfall_adapter::stub::{received_call, sign_response};
use onyxfall_fakes::ServerStub;
use onyxfall_fleet::ServerPhase;
use socket2::SockRef;
use support::{Gateway, Site, call};

/// A server cuts the head of one response of so many, so that it is not taken for failing.
const CUT_EVERY: usize = 4;
/// How many bytes later each cut is than the one before, modulo the length of the head.
const CUT_STRIDE: usize = 7;
/// Responses of another VM that are cut, and how many bytes later each one is than the one
/// before. Requests are held for some time after each.
const CUT_BY_VM: usize = 40;
const CUT_STEP: usize = 4;

/// How a connection ends after a part of a head.
#[derive(Clone, Copy, Debug)]
enum HeadEnd {
    Close,
    Reset,
}

/// Ends a connection.
fn end_connection(stream: &TcpStream, end: HeadEnd) {
    match end {
        // The other side may be gone already.
        HeadEnd::Close => drop(stream.shutdown(Shutdown::Both)),
        HeadEnd::Reset => SockRef::from(stream)
            .set_linger(Some(Duration::ZERO))
            .unwrap(),
    }
}

/// How many bytes of the head were sent in response to a request, by request.
type CutHeads = Arc<Mutex<BTreeMap<String, usize>>>;

/// Reads a request without a body. Returns its headers in lower case.
fn read_request(stream: &mut TcpStream) -> Option<HeaderMap> {
    let mut received = Vec::new();
    while !received.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).ok()?;
        received.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&received).to_lowercase();
    let mut headers = HeaderMap::new();
    for (name, value) in head.lines().filter_map(|line| line.split_once(": ")) {
        let name: HeaderName = name.parse().unwrap();
        headers.insert(name, value.parse().unwrap());
    }
    Some(headers)
}

fn response_head(request_id: &str) -> String {
    let mut headers = HeaderMap::new();
    sign_response(&mut headers, request_id);
    let mut head = "HTTP/1.1 200 OK\r\ncontent-length: 6\r\n".to_owned();
    for (name, value) in &headers {
        write!(head, "{name}: {}\r\n", value.to_str().unwrap()).unwrap();
    }
    head.push_str("\r\n");
    head
}

/// Starts a server that cuts the heads of some responses, each at another byte.
fn start_cutting_server(site: &Site, vm: usize, end: HeadEnd) -> (SocketAddr, CutHeads) {
    let listener = TcpListener::bind((site.ip(vm), 0)).unwrap();
    let address = listener.local_addr().unwrap();
    let heads = CutHeads::default();
    let arrived = Arc::new(Mutex::new(0));
    let cut = Arc::clone(&heads);
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let (cut, arrived) = (Arc::clone(&cut), Arc::clone(&arrived));
            thread::spawn(move || {
                while let Some(headers) = read_request(&mut stream) {
                    let id = received_call(&headers).request_id;
                    let number = {
                        let mut arrived = arrived.lock().unwrap();
                        *arrived += 1;
                        *arrived
                    };
                    let head = response_head(&id);
                    if !id.starts_with('h') || number % CUT_EVERY != 0 {
                        let sent = stream.write_all((head + "answer").as_bytes());
                        if sent.is_err() {
                            return;
                        }
                        continue;
                    }
                    let bytes = number / CUT_EVERY * CUT_STRIDE % head.len();
                    cut.lock().unwrap().insert(id, bytes);
                    let _ = stream.write_all(&head.as_bytes()[..bytes]);
                    return end_connection(&stream, end);
                }
            });
        }
    });
    (address, heads)
}

/// Sends requests until heads of `count` lengths were cut, and checks each response.
fn check_heads(gateway: &Gateway, heads: &CutHeads, count: usize, way: &str, end: HeadEnd) {
    let mut lengths = BTreeSet::new();
    let mut sent = 0;
    while lengths.len() < count {
        sent += 1;
        assert!(sent < 40 * count, "too few heads were cut: {lengths:?}");
        let id = format!("h{}{sent:05}", way.len());
        let reply = call(gateway.callers(), &format!("/once/{id}"), &id).unwrap();
        let bytes = heads.lock().unwrap().get(&id).copied();
        let Some(bytes) = bytes else {
            let is_whole = reply.status != StatusCode::OK || reply.text() == "answer";
            assert!(is_whole, "{way}, {id}: {:?}", reply.text());
            continue;
        };
        let what = format!("{way}, {bytes} bytes, {end:?}");
        assert_eq!(reply.status, StatusCode::BAD_GATEWAY, "{what}");
        lengths.insert(bytes);
    }
}

/// Guards against a head that a server stops midway and that reaches callers as a response, and
/// against the promise that such a request has not run.
#[test]
fn a_head_that_a_server_stops_midway_is_no_response() {
    thread::scope(|scope| {
        for end in [HeadEnd::Close, HeadEnd::Reset] {
            scope.spawn(move || {
                let site = Site::start(2);
                let (address, heads) = start_cutting_server(&site, 1, end);
                site.announce_as("cutting", address, 1, ServerPhase::Ready);
                site.configure(1);
                let (near, far) = (site.gateway(0), site.gateway(1));
                for gateway in [&near, &far] {
                    gateway.wait_served();
                }
                let all = response_head("h000000").len();
                check_heads(&far, &heads, all, "own region", end);
                // Requests are held for some time after each.
                check_heads(&near, &heads, all / 6, "by another VM", end);
            });
        }
    });
}

/// Forwards connections from `listener` to `target`. What comes back on each further connection
/// ends [`CUT_STEP`] bytes later.
fn start_cutting_proxy(listener: TcpListener, target: SocketAddr, end: HeadEnd) {
    thread::spawn(move || {
        let mut connections = 0;
        for near in listener.incoming().flatten() {
            let Ok(far) = TcpStream::connect(target) else {
                continue;
            };
            let bytes = connections * CUT_STEP % (CUT_BY_VM * CUT_STEP);
            connections += 1;
            let (mut from, mut to) = (near.try_clone().unwrap(), far.try_clone().unwrap());
            thread::spawn(move || std::io::copy(&mut from, &mut to));
            thread::spawn(move || {
                let _ = std::io::copy(&mut far.take(bytes as u64), &mut &near);
                end_connection(&near, end);
            });
        }
    });
}

/// Guards against a head that stops because the VM that forwards it is killed.
#[test]
fn a_head_that_another_vm_stops_midway_is_no_response() {
    thread::scope(|scope| {
        for end in [HeadEnd::Close, HeadEnd::Reset] {
            scope.spawn(move || check_proxied(end));
        }
    });
}

fn check_proxied(end: HeadEnd) {
    let mut site = Site::start(2);
    let server = ServerStub::start(site.ip(1)).unwrap();
    site.announce("s0", &server, 1);
    site.configure(1);
    let far = site.gateway(1);
    let relay = SocketAddr::new(IpAddr::V4(far.ip), far.ports.relay);
    // A VM forwards to other VMs at its own relay port.
    let listener = TcpListener::bind((far.ip, 0)).unwrap();
    site.ports.relay = listener.local_addr().unwrap().port();
    start_cutting_proxy(listener, relay, end);
    let near = site.gateway(0);
    for gateway in [&near, &far] {
        gateway.wait_ready();
    }
    for number in 0..CUT_BY_VM {
        let id = format!("h{number}");
        let reply = call(near.callers(), &format!("/once/{id}"), &id).unwrap();
        let (status, text) = (reply.status, reply.text());
        assert!(!status.is_success(), "{id}, {end:?}: {status} {text:?}");
        let has_run = server.runs().iter().any(|run| run.call.request_id == id);
        let is_promise = status != StatusCode::BAD_GATEWAY && status != StatusCode::GATEWAY_TIMEOUT;
        assert!(!(has_run && is_promise), "{id}, {end:?}: {status} {text:?}");
    }
    assert!(!server.runs().is_empty(), "no request reached the server");
}
