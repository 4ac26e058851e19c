//! What the edge promises its handlers and its callers, over real sockets.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::time::Duration;

use bytes::Bytes;
use onyxfall_http::{BodyError, HttpLimits, HttpReply, HttpRequest, HttpServer, Responder};
use onyxfall_types::ByteSize;

/// Longest wait for what must happen; far above what it takes.
const PATIENCE: Duration = Duration::from_secs(20);

fn start(
    limits: HttpLimits,
    handler: impl Fn(HttpRequest, Responder) + Send + Sync + 'static,
) -> HttpServer {
    HttpServer::start(TcpListener::bind("127.0.0.1:0").unwrap(), limits, handler).unwrap()
}

fn send(address: SocketAddr, text: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    stream.write_all(text.as_bytes()).unwrap();
    stream
}

/// Everything until the server closes.
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
fn malformed_and_oversized_requests_get_an_answer() {
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
        let answer = read_all(send(server.address(), &case.request));
        assert_eq!(
            answer.get(9..12),
            Some(case.status),
            "{}: {answer}",
            case.name
        );
    }
}

#[test]
fn a_full_server_refuses_and_does_not_hang() {
    let (release, held) = mpsc::channel::<()>();
    let held = std::sync::Mutex::new(held);
    let limits = HttpLimits {
        max_requests: 1,
        ..HttpLimits::default()
    };
    let (entered, seen) = mpsc::channel();
    let server = start(limits, move |_, responder| {
        entered.send(()).unwrap();
        let _ = held.lock().unwrap().recv_timeout(PATIENCE);
        ok(responder);
    });
    let first = send(server.address(), GET);
    seen.recv_timeout(PATIENCE).unwrap();
    let refused = read_all(send(server.address(), GET));
    assert!(
        refused.starts_with("HTTP/1.1 503") && refused.contains("retry-after"),
        "{refused}"
    );
    release.send(()).unwrap();
    assert!(read_all(first).starts_with("HTTP/1.1 200"));
}

#[test]
fn a_caller_that_leaves_before_the_first_byte_cancels() {
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
    inside.recv_timeout(PATIENCE).unwrap();
    drop(stream);
    seen.recv_timeout(PATIENCE).expect("the hook ran");
}

#[test]
fn a_caller_that_leaves_in_mid_stream_ends_the_stream() {
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
    assert!(seen.recv_timeout(PATIENCE).unwrap(), "cancelled");
}

#[test]
fn a_caller_that_stalls_is_given_up() {
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
    seen.recv_timeout(PATIENCE).expect("the handler was freed");
}

#[test]
fn each_chunk_leaves_at_once() {
    let (go, wait) = mpsc::channel::<()>();
    let wait = std::sync::Mutex::new(wait);
    let server = start(HttpLimits::default(), move |_, responder| {
        let stream = responder
            .stream(HttpReply::stream(200, "text/event-stream"))
            .unwrap();
        stream.send(Bytes::from_static(b"first")).unwrap();
        wait.lock().unwrap().recv_timeout(PATIENCE).unwrap();
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
    go.send(()).unwrap();
    assert!(read_all(stream).ends_with("0\r\n\r\n"), "whole");
}

#[test]
fn an_unfinished_stream_never_looks_whole() {
    let server = start(HttpLimits::default(), |_, responder| {
        let stream = responder
            .stream(HttpReply::stream(200, "text/plain"))
            .unwrap();
        stream.send(Bytes::from_static(b"half")).unwrap();
    });
    let answer = read_all(send(server.address(), GET));
    assert!(
        answer.contains("half") && !answer.ends_with("0\r\n\r\n"),
        "{answer}"
    );
}

#[test]
fn a_handler_without_an_answer_may_have_run() {
    let server = start(HttpLimits::default(), |_, responder| drop(responder));
    let answer = read_all(send(server.address(), GET));
    assert!(
        answer.starts_with("HTTP/1.1 500") && answer.contains("may-have-run"),
        "{answer}"
    );
}

#[test]
fn a_stop_closes_the_listener_and_lets_open_answers_finish() {
    let (go, wait) = mpsc::channel::<()>();
    let wait = std::sync::Mutex::new(wait);
    let (entered, seen) = mpsc::channel();
    let server = start(HttpLimits::default(), move |_, responder| {
        let stream = responder
            .stream(HttpReply::stream(200, "text/plain"))
            .unwrap();
        stream.send(Bytes::from_static(b"begin ")).unwrap();
        entered.send(()).unwrap();
        wait.lock().unwrap().recv_timeout(PATIENCE).unwrap();
        stream.send(Bytes::from_static(b"end")).unwrap();
        stream.finish().unwrap();
    });
    let address = server.address();
    let open = send(address, GET);
    seen.recv_timeout(PATIENCE).unwrap();
    let stopper = std::thread::spawn(move || server.shutdown(PATIENCE));
    while TcpStream::connect(address).is_ok() {
        std::thread::sleep(Duration::from_millis(5));
    }
    go.send(()).unwrap();
    let answer = read_all(open);
    assert!(
        answer.contains("end") && answer.ends_with("0\r\n\r\n"),
        "{answer}"
    );
    assert_eq!(stopper.join().unwrap(), 0, "nothing was cut");
}

#[test]
fn a_handler_that_lingers_after_its_answer_was_not_cut() {
    let (let_go, lingers) = mpsc::channel::<()>();
    let lingers = std::sync::Mutex::new(lingers);
    let server = start(HttpLimits::default(), move |_, responder| {
        let reply = HttpReply::full(200, "text/plain", "whole");
        assert!(responder.reply(reply).is_ok());
        lingers.lock().unwrap().recv_timeout(PATIENCE).unwrap();
    });
    let answer = read_all(send(server.address(), GET));
    assert!(answer.ends_with("whole"), "{answer}");
    assert_eq!(server.shutdown(PATIENCE), 0, "its answer was whole");
    let_go.send(()).unwrap();
}
