//! When connections to a peer that has become unreachable end, and what a response that stops
//! midway is taken for.

use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use onyxfall_fakes::{FaultyLink, PathCut};
use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::{DialPlan, HttpConnection, KEEPALIVE_IDLE, SendError, dial};

const SOURCE: Ipv4Addr = Ipv4Addr::new(127, 63, 254, 9);

async fn connect(link: &FaultyLink) -> TcpStream {
    let plan = DialPlan {
        limit: Duration::from_secs(5),
        source: Some(IpAddr::V4(SOURCE)),
    };
    let mut stream = dial(link.address(), plan).await.unwrap();
    // The link has accepted the connection once it has passed a byte on.
    stream.write_all(b"a").await.unwrap();
    stream.read_u8().await.unwrap();
    stream
}

/// Echoes what it receives, on one thread for each connection.
fn start_echo() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || {
                let mut from = stream.try_clone().unwrap();
                let mut to = stream;
                let _ = std::io::copy(&mut from, &mut to);
            });
        }
    });
    address
}

/// Guards against idle connections that outlive their user timeout by a number of keep-alive
/// probes.
#[tokio::test]
async fn the_user_timeout_ends_idle_and_waiting_connections() {
    let link = FaultyLink::start(Ipv4Addr::LOCALHOST.into(), start_echo()).unwrap();
    let (mut idle, mut waiting) = (connect(&link).await, connect(&link).await);
    let mut without_timeout = connect(&link).await;
    let socket = SockRef::from(&without_timeout);
    socket.set_tcp_user_timeout(None).unwrap();
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_IDLE)
        .with_retries(20);
    socket.set_tcp_keepalive(&probes).unwrap();
    link.set_cut(SOURCE, Some(PathCut::Silent)).unwrap();
    waiting.write_all(b"b").await.unwrap();
    let ended = async {
        let ends = tokio::join!(idle.read_u8(), waiting.read_u8());
        [ends.0, ends.1]
    };
    tokio::select! {
        ends = ended => assert!(ends.iter().all(Result::is_err), "{ends:?}"),
        _ = without_timeout.read_u8() => panic!("probes alone ended a connection first"),
    }
}

/// Longer than any silence of a server that is still there.
const SILENCE: Duration = Duration::from_secs(3);
/// Fits into the receive window that a host opens at first.
const SMALL_BODY: usize = 48 * 1024;

/// Guards against timers of the kernel that end the connection of a stopped process, whose host
/// acknowledges data and probes.
#[tokio::test]
async fn a_peer_that_acknowledges_and_reads_nothing_keeps_its_connection() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let plan = DialPlan {
        limit: Duration::from_secs(5),
        source: None,
    };
    let mut waiting = dial(listener.local_addr().unwrap(), plan).await.unwrap();
    let (mut peer, _) = listener.accept().unwrap();
    waiting.write_all(&vec![0; SMALL_BODY]).await.unwrap();
    let ended = tokio::time::timeout(SILENCE, waiting.read_u8()).await;
    assert!(ended.is_err(), "{ended:?}");
    peer.read_exact(&mut vec![0; SMALL_BODY]).unwrap();
    peer.write_all(b"a").unwrap();
    assert_eq!(waiting.read_u8().await.unwrap(), b'a');
}

/// How a peer ends a connection.
#[derive(Clone, Copy, Debug)]
enum PeerEnd {
    Close,
    Reset,
}

/// What a peer writes before it ends the connection, up to any byte of the head or the body.
struct PartCase {
    name: &'static str,
    /// Whether the connection has carried a whole response before.
    is_kept: bool,
    /// Interim responses before the head.
    interim: &'static str,
    head: &'static str,
    body: &'static str,
    /// Whether a body that ends early can be told from a whole one, closed or reset.
    shows_short_body: [bool; 2],
}

const WITH_LENGTH: &str =
    "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ncontent-length: 5\r\n\r\n";
const IN_CHUNKS: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ndate: now\r\n\r\n";

const PART_CASES: [PartCase; 5] = [
    PartCase {
        name: "with a length",
        is_kept: false,
        interim: "",
        head: WITH_LENGTH,
        body: "whole",
        shows_short_body: [true, true],
    },
    PartCase {
        name: "in chunks",
        is_kept: false,
        interim: "",
        head: IN_CHUNKS,
        body: "5\r\nwhole\r\n0\r\n\r\n",
        shows_short_body: [true, true],
    },
    PartCase {
        name: "until the connection ends",
        is_kept: false,
        interim: "",
        head: "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n\r\n",
        body: "whole",
        shows_short_body: [false, true],
    },
    PartCase {
        name: "on a kept connection",
        is_kept: true,
        interim: "",
        head: WITH_LENGTH,
        body: "whole",
        shows_short_body: [true, true],
    },
    PartCase {
        name: "after interim responses",
        is_kept: false,
        interim: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n",
        head: WITH_LENGTH,
        body: "whole",
        shows_short_body: [true, true],
    },
];

/// Reads one request without a body.
fn read_request(stream: &mut std::net::TcpStream) {
    let mut received = Vec::new();
    while !received.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).unwrap();
        received.push(byte[0]);
    }
}

/// Responds once with the first `bytes` bytes of a response.
fn respond_in_part(listener: &TcpListener, case: &PartCase, bytes: usize, end: PeerEnd) {
    let (mut stream, _) = listener.accept().unwrap();
    if case.is_kept {
        read_request(&mut stream);
        let whole = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
        stream.write_all(whole.as_bytes()).unwrap();
    }
    read_request(&mut stream);
    let response = [case.interim, case.head, case.body].concat();
    stream.write_all(&response.as_bytes()[..bytes]).unwrap();
    if matches!(end, PeerEnd::Reset) {
        let socket = SockRef::from(&stream);
        socket.set_linger(Some(Duration::ZERO)).unwrap();
    }
}

/// How much of a response was taken as whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TakenPart {
    /// No head; `is_unsent` tells whether the request counts as not sent.
    Nothing {
        is_unsent: bool,
    },
    Head,
    HeadAndBody,
}

async fn take_response(address: SocketAddr, is_kept: bool) -> TakenPart {
    let plan = DialPlan {
        limit: Duration::from_secs(5),
        source: None,
    };
    let request = || {
        let request = Request::builder().uri("/").header("host", "a.example");
        request.body(Full::new(Bytes::new())).unwrap()
    };
    let mut connection = HttpConnection::open(address, plan).await.unwrap();
    if is_kept {
        let first = connection.send(request()).await.unwrap();
        first.into_body().collect().await.unwrap();
        connection.sender.ready().await.unwrap();
    }
    match connection.send(request()).await {
        Err(e) => TakenPart::Nothing {
            is_unsent: matches!(e, SendError::Unsent),
        },
        Ok(response) => match response.into_body().collect().await {
            Ok(_) => TakenPart::HeadAndBody,
            Err(_) => TakenPart::Head,
        },
    }
}

/// Guards against a response that stops in its head or body and is taken for a whole one, and
/// against a request that counts as not sent though the peer has read it.
#[tokio::test]
async fn a_response_that_stops_at_any_byte_is_not_whole() {
    let local = tokio::task::LocalSet::new();
    local
        .run_until(async {
            for case in &PART_CASES {
                for (end, shows_short_body) in [PeerEnd::Close, PeerEnd::Reset]
                    .into_iter()
                    .zip(case.shows_short_body)
                {
                    check_parts(case, end, shows_short_body).await;
                }
            }
        })
        .await;
}

async fn check_parts(case: &'static PartCase, end: PeerEnd, shows_short_body: bool) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    let head_end = case.interim.len() + case.head.len();
    let whole = head_end + case.body.len();
    let peer = std::thread::spawn(move || {
        for bytes in 0..whole {
            respond_in_part(&listener, case, bytes, end);
        }
    });
    for bytes in 0..whole {
        let taken = take_response(address, case.is_kept).await;
        let what = format!("{}, {bytes} of {whole} bytes, {end:?}", case.name);
        assert_ne!(taken, TakenPart::Nothing { is_unsent: true }, "{what}");
        if bytes < head_end {
            assert_eq!(taken, TakenPart::Nothing { is_unsent: false }, "{what}");
        } else if shows_short_body {
            // A reset may overtake the head.
            assert_ne!(taken, TakenPart::HeadAndBody, "{what}");
        }
    }
    peer.join().unwrap();
}
