//! Responses of a known length on routes of streams, forwarded to another region.

mod support;

use std::fmt::Write as _;
use std::io::{Read, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;

use http::{HeaderMap, HeaderName, StatusCode};
use onyxfall_adapter::stub::{received_call, sign_response};
use onyxfall_fleet::ServerPhase;
use support::{Site, call, wait_for};

const BODY: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

fn serve_one(mut stream: TcpStream) {
    let mut buffer = Vec::new();
    let mut piece = [0; 4096];
    loop {
        while !buffer.windows(4).any(|w| w == b"\r\n\r\n") {
            match stream.read(&mut piece) {
                Ok(count @ 1..) => buffer.extend_from_slice(&piece[..count]),
                _ => return,
            }
        }
        let end = buffer.windows(4).position(|w| w == b"\r\n\r\n").unwrap() + 4;
        let head = String::from_utf8_lossy(&buffer[..end]).to_lowercase();
        let field = |name: &str| {
            head.lines()
                .find_map(|line| line.strip_prefix(name).map(|v| v.trim().to_owned()))
        };
        let length: usize = field("content-length:").map_or(0, |v| v.parse().unwrap());
        while buffer.len() < end + length {
            match stream.read(&mut piece) {
                Ok(count @ 1..) => buffer.extend_from_slice(&piece[..count]),
                _ => return,
            }
        }
        buffer.drain(..end + length);
        let mut received = HeaderMap::new();
        for (name, value) in head.lines().filter_map(|line| line.split_once(": ")) {
            let name: HeaderName = name.parse().unwrap();
            received.insert(name, value.parse().unwrap());
        }
        let mut headers = HeaderMap::new();
        sign_response(&mut headers, &received_call(&received).request_id);
        let mut text = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ncontent-length: {}\r\n",
            BODY.len()
        );
        for (name, value) in &headers {
            write!(text, "{name}: {}\r\n", value.to_str().unwrap()).unwrap();
        }
        text.push_str("\r\n");
        text.push_str(BODY);
        if stream.write_all(text.as_bytes()).is_err() {
            return;
        }
    }
}

#[test]
fn a_stream_of_known_length_from_another_region_is_whole() {
    let site = Site::start(2);
    let listener = TcpListener::bind((site.ip(1), 0)).unwrap();
    let address: SocketAddr = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || serve_one(stream));
        }
    });
    site.announce_as("raw", address, 1, ServerPhase::Ready);
    site.configure(1);
    let far = site.gateway(1);
    let near = site.gateway(0);
    for gateway in [&near, &far] {
        gateway.wait_served();
    }
    let mut wrong = Vec::new();
    for (place, gateway) in [("own region", &far), ("other region", &near)] {
        for prefix in ["/stream/", "/stream/resume/"] {
            let mut attempts = 0;
            wait_for("a response", || {
                attempts += 1;
                let id = format!("l{attempts}");
                let reply = call(gateway.callers(), &format!("{prefix}{id}"), &id);
                let Some(reply) = reply else {
                    wrong.push(format!("{place} {prefix}: no answer"));
                    return true;
                };
                if reply.status != StatusCode::OK {
                    return false;
                }
                if reply.broken || reply.text() != BODY {
                    wrong.push(format!(
                        "{place} {prefix}: broken {} {:?}",
                        reply.broken,
                        reply.text()
                    ));
                }
                true
            });
        }
    }
    assert_eq!(wrong, Vec::<String>::new());
}
