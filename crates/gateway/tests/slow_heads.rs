//! A request head has the time that the configuration states, apart from the idle time of its
//! connection and from the time of its body.

mod support;

use std::fmt::Write as _;
use std::io::{self, Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

use onyxfall_adapter::stub::caller_headers;
use support::{HOST, Site};

const HEAD_TIME: Duration = Duration::from_secs(1);
/// Idle timeout of connections, and timeout of the routes.
const PATIENCE: Duration = Duration::from_mins(2);
/// Longer than a head may last.
const PAUSE: Duration = Duration::from_secs(2);
/// How long a caller waits for what it reads.
const READ_LIMIT: Duration = Duration::from_secs(30);
const SERVED: &[u8; 12] = b"HTTP/1.1 200";

/// Where a caller pauses.
#[derive(Clone, Copy, Debug)]
enum PausePoint {
    BeforeHead,
    WithinHead,
    WithinBody,
}

/// What a caller gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallerEnd {
    /// The start of a response with status 200.
    Served,
    /// The end of its connection, without a response.
    Closed,
    /// Nothing, or another response.
    Other,
}

struct SlowCase {
    point: PausePoint,
    expected: CallerEnd,
}

const CASES: [SlowCase; 3] = [
    SlowCase {
        point: PausePoint::BeforeHead,
        expected: CallerEnd::Served,
    },
    SlowCase {
        point: PausePoint::WithinHead,
        expected: CallerEnd::Closed,
    },
    SlowCase {
        point: PausePoint::WithinBody,
        expected: CallerEnd::Served,
    },
];

/// Sends a request with a pause. A head with a pause has no end.
fn call(callers: SocketAddr, point: PausePoint) -> io::Result<TcpStream> {
    let mut stream = TcpStream::connect(callers)?;
    stream.set_read_timeout(Some(READ_LIMIT))?;
    let mut head = "POST /repeat/a HTTP/1.1\r\ncontent-length: 4\r\n".to_owned();
    for (name, value) in &caller_headers(HOST, &format!("{point:?}"), PATIENCE) {
        let _ = write!(head, "{name}: {}\r\n", value.to_str().unwrap());
    }
    let (first, rest) = match point {
        PausePoint::BeforeHead => (String::new(), head + "\r\nbody"),
        PausePoint::WithinHead => (head, String::new()),
        PausePoint::WithinBody => (head + "\r\nbo", "dy".to_owned()),
    };
    stream.write_all(first.as_bytes())?;
    thread::sleep(PAUSE);
    stream.write_all(rest.as_bytes())?;
    Ok(stream)
}

fn read_end(stream: &mut TcpStream) -> CallerEnd {
    let mut start = [0; SERVED.len()];
    match stream.read(&mut start) {
        Ok(0) => CallerEnd::Closed,
        Ok(_) if start == *SERVED => CallerEnd::Served,
        Err(e) if e.kind() == io::ErrorKind::ConnectionReset => CallerEnd::Closed,
        _ => CallerEnd::Other,
    }
}

/// Guards against heads that keep a connection as long as it may be idle.
#[test]
fn a_head_that_stops_ends_its_connection_and_other_pauses_do_not() {
    let site = Site::start(1);
    let _servers = site.start_servers(1);
    site.configure_times(1, HEAD_TIME, PATIENCE);
    let gateway = site.gateway(0);
    gateway.wait_served();
    for case in CASES {
        let mut stream = call(gateway.callers(), case.point).unwrap();
        assert_eq!(read_end(&mut stream), case.expected, "{:?}", case.point);
    }
}
