//! Servers of two versions, and callers that resume their streams at another VM.

use std::fmt::Write as _;
use std::io::{Read, Write as _};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use http::Method;
use onyxfall_adapter::stub::{caller_headers, resume_stream};
use onyxfall_fakes::ServerStub;

use super::{Gateway, HOST, Reply, Site, record, send};

pub const VERSIONS: [&str; 2] = ["v1", "v2"];
pub const RESUMABLE: &str = "/stream/resume/";
const PATIENCE: Duration = Duration::from_secs(3);
/// Time in which the owners of a stream learn its version. No server that stalls for so long is
/// treated as unresponsive.
pub const RECORD_TIME: Duration = Duration::from_millis(150);

/// Starts a server of a version, announced in the first VM's data centre.
pub fn start_server(site: &Site, name: &str, version: &'static str) -> ServerStub {
    let server = ServerStub::start(site.ip(0)).unwrap();
    server.set_version(version);
    site.announce_version(name, &server, 0, version);
    server
}

/// The version of which all events of a part of a stream are.
pub fn version_of(part: &str) -> Option<&'static str> {
    let is_of = |version: &&&str| part.lines().all(|line| !names_other(line, version));
    VERSIONS.iter().find(is_of).copied()
}

fn names_other(line: &str, version: &str) -> bool {
    line.starts_with("data: ") && !line.ends_with(version)
}

pub fn has_run(server: &ServerStub, id: &str) -> bool {
    server.runs().iter().any(|run| run.call.request_id == id)
}

/// Writes the entry of a server of a version that started at `started_at`.
pub fn put_version(
    site: &Site,
    name: &str,
    server: &ServerStub,
    version: &str,
    started_at: SystemTime,
) {
    let started_at = started_at.duration_since(UNIX_EPOCH).unwrap();
    let started_at = u64::try_from(started_at.as_millis()).unwrap();
    let mut entry = record(name, server, started_at);
    entry.version = Some(version.parse().unwrap());
    site.put(&entry);
}

/// A stream that a caller is reading.
pub struct OpenStream {
    pub id: String,
    connection: TcpStream,
    received: String,
}

impl OpenStream {
    /// Sends a request and reads the first event.
    pub fn begin(gateway: &Gateway, id: String) -> Self {
        let mut connection = TcpStream::connect(gateway.callers()).unwrap();
        let mut head = format!("POST {RESUMABLE}{id} HTTP/1.1\r\ncontent-length: 0\r\n");
        for (name, value) in &caller_headers(HOST, &id, PATIENCE) {
            let _ = write!(head, "{name}: {}\r\n", value.to_str().unwrap());
        }
        head.push_str("\r\n");
        connection.write_all(head.as_bytes()).unwrap();
        let mut stream = Self {
            id,
            connection,
            received: String::new(),
        };
        while !stream.received.contains("data: ") {
            assert!(stream.read() > 0, "ended early: {}", stream.received);
        }
        stream
    }

    fn read(&mut self) -> usize {
        let mut buffer = [0; 4096];
        let count = self.connection.read(&mut buffer).unwrap_or(0);
        self.received
            .push_str(&String::from_utf8_lossy(&buffer[..count]));
        count
    }

    /// Reads to the end of the connection; returns the whole events, without the framing.
    pub fn finish(mut self) -> String {
        while self.read() > 0 {}
        let whole = VERSIONS.map(ServerStub::stream_of);
        let events = whole
            .iter()
            .flat_map(|stream| stream.split_inclusive("\n\n"));
        let received = events.filter(|event| self.received.contains(event));
        received.collect()
    }
}

/// Resumes a stream after the part that its caller has received.
pub fn resume(gateway: &Gateway, attempt: &str, received: &str, id: &str) -> Reply {
    let last = received
        .lines()
        .rev()
        .find_map(|line| line.strip_prefix("id: "));
    let mut headers = caller_headers(HOST, id, PATIENCE);
    resume_stream(&mut headers, attempt, last.unwrap_or("0"));
    let path = format!("{RESUMABLE}{attempt}");
    send(
        gateway.callers(),
        Method::POST,
        &path,
        headers,
        Bytes::new(),
    )
    .unwrap()
}

/// Sends requests for `count` streams and reads the first event of each.
pub fn begin_streams(gateway: &Gateway, count: usize) -> Vec<OpenStream> {
    let begin = |number| OpenStream::begin(gateway, format!("begun{number}"));
    thread::scope(|scope| {
        let readers: Vec<_> = (0..count)
            .map(|number| scope.spawn(move || begin(number)))
            .collect();
        let streams = readers.into_iter().map(|reader| reader.join().unwrap());
        streams.collect()
    })
}

/// Starts a server at the address of one that has crashed.
pub fn restart_server(former: &ServerStub, version: &'static str) -> ServerStub {
    let mut restarted = None;
    super::wait_for("the port to be free", || {
        restarted = ServerStub::start_at(former.address()).ok();
        restarted.is_some()
    });
    let restarted = restarted.unwrap();
    restarted.set_version(version);
    restarted
}
