//! When connections to a peer that has become unreachable end.

use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::time::Duration;

use onyxfall_fakes::{FaultyLink, PathCut};
use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::{DialPlan, KEEPALIVE_IDLE, dial};

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
