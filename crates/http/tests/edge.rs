//! Guarantees of the HTTP server to handlers and callers, tested over real sockets.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::time::Duration;

use bytes::Bytes;
use onyxfall_http::{BodyError, HttpLimits, HttpReply, HttpRequest, HttpServer, Responder};
use onyxfall_types::ByteSize;

/// Timeout of waits for events that must occur; far above the time that they take.
const EVENT_TIMEOUT: Duration = Duration::from_secs(20);

fn start(
    limits: HttpLimits,
    handler: impl Fn(HttpRequest, Responder) + Send + Sync + 'static,
) -> HttpServer {
    HttpServer::start(TcpListener::bind("127.0.0.1:0").unwrap(), limits, handler).unwrap()
}

fn send(address: SocketAddr, text: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(EVENT_TIMEOUT)).unwrap();
    stream.write_all(text.as_bytes()).unwrap();
    stream
}

/// Reads until the server closes the connection.
fn read_all(mut stream: TcpStream) -> String {
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).unwrap();
    String::from_utf8_lossy(&bytes).into_owned()
}

const GET: &str = "GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";

fn ok(responder: Responder) {
    let _ = responder.reply(HttpReply::full(200, "text/plain", "ok"));
}

struct RequestCase {
    name: &'static str,
    request: String,
    status: &'static str,
}

#[test]
fn malformed_and_oversized_requests_get_a_response() {
    let limits = HttpLimits {
        body_timeout: Duration::from_millis(200),
        ..HttpLimits::default()
    };
    let server = start(limits, |mut request, responder| {
        match request.read_body(ByteSize::new(10)) {
            Ok(_) => ok(responder),
            Err(error) => {
                let status = match error {
                    BodyError::TooLarge => 413,
                    BodyError::TimedOut => 408,
                    BodyError::Broken => 400,
                    BodyError::Held(_) => 503,
                };
                let _ = responder.reply(HttpReply::full(status, "text/plain", "no"));
            }
        }
    });
    let body = |len: usize, sent: &str| {
        format!(
            "POST / HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {len}\r\n\r\n{sent}"
        )
    };
    let cases = [
        RequestCase {
            name: "plain",
            request: GET.to_owned(),
            status: "200",
        },
        RequestCase {
            name: "not HTTP",
            request: "hello\r\n\r\n".to_owned(),
            status: "400",
        },
        RequestCase {
            name: "large body",
            request: body(11, "01234567890"),
            status: "413",
        },
        RequestCase {
            name: "slow body",
            request: body(5, "01"),
            status: "408",
        },
        RequestCase {
            name: "large head",
            request: format!("GET / HTTP/1.1\r\nx: {}\r\n\r\n", "y".repeat(64 * 1024)),
            status: "431",
        },
    ];
    for case in cases {
        let response = read_all(send(server.address(), &case.request));
        assert_eq!(
            response.get(9..12),
            Some(case.status),
            "{}: {response}",
            case.name
        );
    }
}

#[test]
fn overloaded_server_rejects_requests() {
    let (release, released) = mpsc::channel::<()>();
    let released = std::sync::Mutex::new(released);
    let limits = HttpLimits {
        max_requests: 1,
        ..HttpLimits::default()
    };
    let (entered, inside) = mpsc::channel();
    let server = start(limits, move |_, responder| {
        entered.send(()).unwrap();
        let _ = released.lock().unwrap().recv_timeout(EVENT_TIMEOUT);
        ok(responder);
    });
    let first = send(server.address(), GET);
    inside.recv_timeout(EVENT_TIMEOUT).unwrap();
    let rejected = read_all(send(server.address(), GET));
    assert!(
        rejected.starts_with("HTTP/1.1 503") && rejected.contains("retry-after"),
        "{rejected}"
    );
    release.send(()).unwrap();
    assert!(read_all(first).starts_with("HTTP/1.1 200"));
}

#[test]
fn disconnect_before_the_first_byte_cancels() {
    let (cancelled, seen) = mpsc::channel();
    let (entered, inside) = mpsc::channel();
    let server = start(HttpLimits::default(), move |request, responder| {
        let cancelled = cancelled.clone();
        let _hook = request
            .cancel
            .on_cancel(move || cancelled.send(()).unwrap());
        entered.send(()).unwrap();
        while !request.cancel.is_cancelled() {
            std::thread::sleep(Duration::from_millis(5));
        }
        drop(responder);
    });
    let stream = send(server.address(), GET);
    inside.recv_timeout(EVENT_TIMEOUT).unwrap();
    drop(stream);
    seen.recv_timeout(EVENT_TIMEOUT).expect("the hook ran");
}

#[test]
fn disconnect_during_a_stream_ends_the_stream() {
    let (ended, seen) = mpsc::channel();
    let server = start(HttpLimits::default(), move |request, responder| {
        let stream = responder
            .stream(HttpReply::stream(200, "text/event-stream"))
            .unwrap();
        while stream.send(Bytes::from_static(b"data: x\n\n")).is_ok() {
            std::thread::sleep(Duration::from_millis(5));
        }
        ended.send(request.cancel.is_cancelled()).unwrap();
    });
    let mut stream = send(server.address(), GET);
    let mut first = [0; 16];
    stream.read_exact(&mut first).unwrap();
    drop(stream);
    assert!(seen.recv_timeout(EVENT_TIMEOUT).unwrap(), "cancelled");
}

#[test]
fn stalled_caller_times_out() {
    let limits = HttpLimits {
        stall_timeout: Duration::from_millis(100),
        ..HttpLimits::default()
    };
    let (ended, seen) = mpsc::channel();
    let server = start(limits, move |_, responder| {
        let stream = responder
            .stream(HttpReply::stream(200, "application/octet-stream"))
            .unwrap();
        let chunk = Bytes::from(vec![0; 256 * 1024]);
        while stream.send(chunk.clone()).is_ok() {}
        ended.send(()).unwrap();
    });
    let _stream = send(server.address(), GET);
    seen.recv_timeout(EVENT_TIMEOUT).expect("the handler ended");
}

#[test]
fn each_chunk_is_sent_immediately() {
    let (release, released) = mpsc::channel::<()>();
    let released = std::sync::Mutex::new(released);
    let server = start(HttpLimits::default(), move |_, responder| {
        let stream = responder
            .stream(HttpReply::stream(200, "text/event-stream"))
            .unwrap();
        stream.send(Bytes::from_static(b"first")).unwrap();
        released
            .lock()
            .unwrap()
            .recv_timeout(EVENT_TIMEOUT)
            .unwrap();
        stream.finish().unwrap();
    });
    let mut stream = send(server.address(), GET);
    let mut text = String::new();
    while !text.contains("first") {
        let mut chunk = [0; 256];
        let len = stream.read(&mut chunk).unwrap();
        assert!(len > 0, "closed early");
        text.push_str(&String::from_utf8_lossy(&chunk[..len]));
    }
    release.send(()).unwrap();
    assert!(read_all(stream).ends_with("0\r\n\r\n"), "complete");
}

#[test]
fn unfinished_stream_is_incomplete_for_the_caller() {
    let server = start(HttpLimits::default(), |_, responder| {
        let stream = responder
            .stream(HttpReply::stream(200, "text/plain"))
            .unwrap();
        stream.send(Bytes::from_static(b"half")).unwrap();
    });
    let response = read_all(send(server.address(), GET));
    assert!(
        response.contains("half") && !response.ends_with("0\r\n\r\n"),
        "{response}"
    );
}

#[test]
fn handler_without_a_response_may_have_run() {
    let server = start(HttpLimits::default(), |_, responder| drop(responder));
    let response = read_all(send(server.address(), GET));
    assert!(
        response.starts_with("HTTP/1.1 500") && response.contains("may-have-run"),
        "{response}"
    );
}

#[test]
fn shutdown_closes_the_listener_and_lets_open_responses_finish() {
    let (release, released) = mpsc::channel::<()>();
    let released = std::sync::Mutex::new(released);
    let (entered, inside) = mpsc::channel();
    let server = start(HttpLimits::default(), move |_, responder| {
        let stream = responder
            .stream(HttpReply::stream(200, "text/plain"))
            .unwrap();
        stream.send(Bytes::from_static(b"begin ")).unwrap();
        entered.send(()).unwrap();
        released
            .lock()
            .unwrap()
            .recv_timeout(EVENT_TIMEOUT)
            .unwrap();
        stream.send(Bytes::from_static(b"end")).unwrap();
        stream.finish().unwrap();
    });
    let address = server.address();
    let open = send(address, GET);
    inside.recv_timeout(EVENT_TIMEOUT).unwrap();
    let shutdown = std::thread::spawn(move || server.shutdown(EVENT_TIMEOUT));
    while TcpStream::connect(address).is_ok() {
        std::thread::sleep(Duration::from_millis(5));
    }
    release.send(()).unwrap();
    let response = read_all(open);
    assert!(
        response.contains("end") && response.ends_with("0\r\n\r\n"),
        "{response}"
    );
    assert_eq!(shutdown.join().unwrap(), 0, "no response was cut off");
}

#[test]
fn handler_that_runs_after_its_response_was_not_cut_off() {
    let (release, released) = mpsc::channel::<()>();
    let released = std::sync::Mutex::new(released);
    let server = start(HttpLimits::default(), move |_, responder| {
        let reply = HttpReply::full(200, "text/plain", "whole");
        assert!(responder.reply(reply).is_ok());
        released
            .lock()
            .unwrap()
            .recv_timeout(EVENT_TIMEOUT)
            .unwrap();
    });
    let response = read_all(send(server.address(), GET));
    assert!(response.ends_with("whole"), "{response}");
    assert_eq!(
        server.shutdown(EVENT_TIMEOUT),
        0,
        "its response was complete"
    );
    release.send(()).unwrap();
}
