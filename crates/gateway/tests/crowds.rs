//! Crowds of callers outside the limits end no VM: it stays within its memory and descriptors, and
//! an ordinary request is served while the crowd's connections are open.

mod support;

use std::fmt::Write as _;
use std::io::{self, Read as _, Write as _};
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method};
use onyxfall_adapter::stub::caller_headers;
use onyxfall_fakes::{CallerCrowd, CrowdBounds, RawUpload, ServerStub, UploadShape};
use support::{Gateway, HOST, SERVICE, Site, send};

/// Memory of the smallest VM, in megabytes.
const MEMORY_MB: u64 = 120;
/// Descriptors of the process, of which 200 are for files.
const OPEN_FILES: u64 = 456;
const MAX_SOCKETS: usize = 256;
/// More connections than the process has descriptors.
const MANY_CALLERS: usize = 600;
/// Largest legal body.
const MAX_BODY: usize = 4 * 1024 * 1024;
/// Largest body that another VM may forward, and the largest frame on a link.
const MAX_RELAYED: usize = 8 * 1024 * 1024;
/// Timeout of the routes and of the callers: nothing of a crowd ends by it.
const PATIENCE: Duration = Duration::from_mins(2);
/// Callers that send bytes behind a request, and the bytes of each.
const PIPELINING_CALLERS: usize = 700;
const PIPELINED: usize = 1024 * 1024;
const PIPELINED_PIECE: usize = 64 * 1024;
/// Servers that take the requests of these callers, and descriptors of their gateway.
const PIPELINING_SERVERS: usize = 8;
const PIPELINING_FILES: u64 = 4100;
/// The kernel holds unread bytes in at most one part in this many of the memory.
const UNREAD_PARTS: u64 = 4;
/// One caller in this many sends its body to the end.
const COMPLETE_EVERY: usize = 8;
/// Rounds of a crowd against one process: what the first one leaves behind may not add up.
const ROUNDS: usize = 2;
const BOUNDS: CrowdBounds = CrowdBounds {
    memory: MEMORY_MB * 1_000_000,
    sockets: MAX_SOCKETS,
};

/// Attempts of an ordinary caller, and the pause before each.
const ATTEMPTS: usize = 20;
const ATTEMPT_PAUSE: Duration = Duration::from_millis(250);
/// Longest time for a response to an ordinary request.
const ATTEMPT_LIMIT: Duration = Duration::from_secs(3);

/// Crowds are played one at a time.
static PLAYING: Mutex<()> = Mutex::new(());

/// A port of a VM.
#[derive(Clone, Copy, Debug)]
enum VmPort {
    Callers,
    Ready,
    Directory,
    Peers,
    Relay,
}

impl VmPort {
    fn address(self, gateway: &Gateway) -> SocketAddr {
        let ports = &gateway.ports;
        let port = match self {
            Self::Callers => ports.callers,
            Self::Ready => ports.ready,
            Self::Directory => ports.directory,
            Self::Peers => ports.peers,
            Self::Relay => ports.relay,
        };
        SocketAddr::new(IpAddr::V4(gateway.ip), port)
    }
}

struct CrowdCase {
    name: &'static str,
    port: VmPort,
    path: &'static str,
    callers: usize,
    shape: UploadShape,
}

const fn case(
    name: &'static str,
    port: VmPort,
    path: &'static str,
    callers: usize,
    shape: UploadShape,
) -> CrowdCase {
    CrowdCase {
        name,
        port,
        path,
        callers,
        shape,
    }
}

const ONCE: &str = "/once/crowd";
const NEARLY_WHOLE: UploadShape = UploadShape::Announced {
    length: MAX_BODY,
    sent: MAX_BODY,
    piece: 64 * 1024,
};

const BODY_CROWDS: [CrowdCase; 6] = [
    case(
        "large bodies, whole",
        VmPort::Callers,
        ONCE,
        60,
        NEARLY_WHOLE,
    ),
    case(
        "large bodies, piece by piece",
        VmPort::Callers,
        ONCE,
        60,
        UploadShape::Announced {
            length: MAX_BODY,
            sent: MAX_BODY,
            piece: 1000,
        },
    ),
    case(
        "large chunks",
        VmPort::Callers,
        ONCE,
        60,
        UploadShape::Chunked {
            chunk: 256 * 1024,
            chunks: 16,
        },
    ),
    case(
        "very small chunks",
        VmPort::Callers,
        ONCE,
        60,
        UploadShape::Chunked {
            chunk: 256,
            chunks: MAX_BODY / 256,
        },
    ),
    case(
        "far over the limit, announced",
        VmPort::Callers,
        ONCE,
        60,
        UploadShape::Announced {
            length: 1 << 30,
            sent: 2 * MAX_BODY,
            piece: 64 * 1024,
        },
    ),
    case(
        "far over the limit, just sent",
        VmPort::Callers,
        ONCE,
        60,
        UploadShape::Chunked {
            chunk: 64 * 1024,
            chunks: 256,
        },
    ),
];

const OTHER_PORTS: [CrowdCase; 5] = [
    case(
        "bodies at the status port",
        VmPort::Ready,
        "/metrics",
        60,
        NEARLY_WHOLE,
    ),
    case(
        "bodies at the directory's port",
        VmPort::Directory,
        "/entries",
        60,
        NEARLY_WHOLE,
    ),
    case(
        "bodies at the port of other VMs",
        VmPort::Relay,
        ONCE,
        60,
        UploadShape::Announced {
            length: MAX_RELAYED,
            sent: MAX_RELAYED,
            piece: 64 * 1024,
        },
    ),
    case(
        "messages in very small chunks",
        VmPort::Relay,
        "/onyxfall/origins/record",
        60,
        UploadShape::Chunked {
            chunk: 1,
            chunks: 32 * 1024,
        },
    ),
    case(
        "frames of strangers",
        VmPort::Peers,
        "",
        60,
        UploadShape::HalfFrame(MAX_RELAYED - 1),
    ),
];

const CONNECTION_CROWDS: [CrowdCase; 7] = [
    case(
        "idle callers",
        VmPort::Callers,
        "",
        MANY_CALLERS,
        UploadShape::Idle,
    ),
    case(
        "half heads",
        VmPort::Callers,
        ONCE,
        MANY_CALLERS,
        UploadShape::HalfHead(15_000),
    ),
    case(
        "short bodies that do not end",
        VmPort::Callers,
        ONCE,
        MANY_CALLERS,
        UploadShape::Announced {
            length: 1000,
            sent: 1000,
            piece: 1000,
        },
    ),
    case(
        "idle connections to the status port",
        VmPort::Ready,
        "",
        MANY_CALLERS,
        UploadShape::Idle,
    ),
    case(
        "idle connections to the directory",
        VmPort::Directory,
        "",
        MANY_CALLERS,
        UploadShape::Idle,
    ),
    case(
        "idle connections to the port of other VMs",
        VmPort::Relay,
        "",
        MANY_CALLERS,
        UploadShape::Idle,
    ),
    case(
        "idle links",
        VmPort::Peers,
        "",
        MANY_CALLERS,
        UploadShape::Idle,
    ),
];

/// What a caller of a crowd sends. Most stop one piece short of the end.
fn upload(case: &CrowdCase, caller: usize) -> RawUpload {
    let mut lines = String::new();
    let headers = caller_headers(HOST, &format!("crowd{caller}"), PATIENCE);
    for (name, value) in &headers {
        let _ = write!(lines, "{name}: {}\r\n", value.to_str().unwrap());
    }
    if matches!(case.port, VmPort::Relay) && case.path == ONCE {
        let _ = write!(
            lines,
            "onyxfall-vm: vm9\r\nonyxfall-service: {SERVICE}\r\nonyxfall-goal-ms: 400\r\n"
        );
    }
    let is_complete = caller.is_multiple_of(COMPLETE_EVERY);
    case.shape.upload(case.path, &lines, is_complete)
}

/// A whole request with a body of so many bytes.
fn whole_upload(body: usize) -> RawUpload {
    let shape = UploadShape::Announced {
        length: body,
        sent: body,
        piece: body,
    };
    upload(&case("whole", VmPort::Callers, "/repeat/a", 1, shape), 0)
}

/// A site with one gateway of the smallest size.
struct SmallSite {
    // Fields drop in order: the gateway before what it depends on.
    gateway: Gateway,
    servers: Vec<ServerStub>,
    _site: Site,
    _playing: MutexGuard<'static, ()>,
}

impl SmallSite {
    fn start() -> Self {
        Self::start_with(OPEN_FILES, 1)
    }

    fn start_with(open_files: u64, servers: usize) -> Self {
        let playing = PLAYING.lock().unwrap_or_else(PoisonError::into_inner);
        let site = Site::start(1);
        let servers = site.start_servers(servers);
        site.configure_limits(1, PATIENCE, MAX_BODY);
        let gateway = site.gateway_on(0, MEMORY_MB, open_files);
        gateway.wait_served();
        Self {
            gateway,
            servers,
            _site: site,
            _playing: playing,
        }
    }
}

/// Plays a crowd against a VM. Returns what the VM did not outlive.
fn play(case: &CrowdCase) -> Vec<String> {
    let mut site = SmallSite::start();
    let gateway = &mut site.gateway;
    let mut faults = Vec::new();
    for round in 0..ROUNDS {
        let uploads = (0..case.callers).map(|caller| upload(case, caller));
        let crowd = CallerCrowd::send(case.port.address(gateway), uploads.collect());
        let found = BOUNDS.faults(gateway.child.id(), || is_served(gateway));
        drop(crowd);
        let found = found.iter().map(|f| format!("{}, {round}: {f}", case.name));
        faults.extend(found);
    }
    if !gateway.is_running() {
        faults.push(format!("{}: the gateway ended", case.name));
    }
    faults
}

/// Whether a gateway serves an ordinary request within some attempts.
fn is_served(gateway: &Gateway) -> bool {
    (0..ATTEMPTS).any(|attempt| {
        thread::sleep(ATTEMPT_PAUSE);
        let headers = caller_headers(HOST, &format!("ordinary{attempt}"), PATIENCE);
        let status = ask(gateway, &headers).unwrap_or_default();
        status.starts_with("HTTP/1.1 200")
    })
}

/// Sends an ordinary request. Returns the start of the response.
fn ask(gateway: &Gateway, headers: &HeaderMap) -> io::Result<String> {
    let address = gateway.callers();
    let mut stream = TcpStream::connect_timeout(&address, ATTEMPT_LIMIT)?;
    stream.set_read_timeout(Some(ATTEMPT_LIMIT))?;
    let mut request = "POST /repeat/a HTTP/1.1\r\ncontent-length: 4\r\n".to_owned();
    for (name, value) in headers {
        let _ = write!(request, "{name}: {}\r\n", value.to_str().unwrap());
    }
    stream.write_all((request + "\r\nbody").as_bytes())?;
    let mut start = [0; "HTTP/1.1 200".len()];
    stream.read_exact(&mut start)?;
    Ok(String::from_utf8_lossy(&start).into_owned())
}

fn play_all(cases: &[CrowdCase]) {
    let faults: Vec<String> = cases.iter().flat_map(play).collect();
    assert!(faults.is_empty(), "{faults:#?}");
}

/// Guards against uploads that fill the memory of a VM without a capacity plan.
#[test]
fn crowds_of_bodies_leave_a_vm_within_its_memory() {
    play_all(&BODY_CROWDS);
}

/// Guards against bytes behind a request that fill the kernel's buffers while it is served.
#[test]
fn bytes_behind_requests_leave_the_machine_its_memory() {
    let mut site = SmallSite::start_with(PIPELINING_FILES, PIPELINING_SERVERS);
    let address = site.gateway.callers();
    site.servers
        .iter()
        .for_each(|server| server.set_silent(true));
    let mut pipelined = whole_upload(1);
    pipelined.piece = vec![b'x'; PIPELINED_PIECE];
    pipelined.pieces = PIPELINED / PIPELINED_PIECE;
    let uploads = vec![pipelined; PIPELINING_CALLERS];
    let (crowd, unread) = CallerCrowd::send_unread(address, uploads);
    site.servers
        .iter()
        .for_each(|server| server.set_silent(false));
    let bound = MEMORY_MB * 1_000_000 / UNREAD_PARTS;
    assert!(unread <= bound, "{unread} bytes are unread");
    assert!(is_served(&site.gateway));
    assert!(site.gateway.is_running());
    drop(crowd);
}

/// Guards against bytes that other ports than the callers' hold without a bound.
#[test]
fn crowds_at_other_ports_leave_a_vm_within_its_memory() {
    play_all(&OTHER_PORTS);
}

/// Guards against connections that use up the descriptors of a VM.
#[test]
fn crowds_of_connections_leave_a_vm_descriptors() {
    play_all(&CONNECTION_CROWDS);
}

/// Guards against limits that refuse a request inside them in calm.
#[test]
fn the_largest_legal_body_is_served_in_calm() {
    let site = SmallSite::start();
    let body = Bytes::from(vec![b'x'; MAX_BODY]);
    for path in ["/once/a", "/repeat/a", "/stream/a"] {
        let headers = caller_headers(HOST, &format!("large{path}"), PATIENCE);
        let reply = send(
            site.gateway.callers(),
            Method::POST,
            path,
            headers,
            body.clone(),
        );
        assert_eq!(reply.expect("a response").status.as_u16(), 200, "{path}");
    }
}

/// Guards against bodies that are taken in though their announced length is over the limit.
#[test]
fn a_body_announced_as_too_large_is_refused_before_it_is_sent() {
    let site = SmallSite::start();
    let mut caller = TcpStream::connect(site.gateway.callers()).unwrap();
    caller.set_read_timeout(Some(ATTEMPT_LIMIT)).unwrap();
    let case = case(
        "announced",
        VmPort::Callers,
        ONCE,
        1,
        UploadShape::Announced {
            length: MAX_BODY + 1,
            sent: 0,
            piece: 1,
        },
    );
    caller.write_all(&upload(&case, 0).head).unwrap();
    let mut start = [0; "HTTP/1.1 413".len()];
    caller.read_exact(&mut start).expect("a response");
    assert_eq!(&start, b"HTTP/1.1 413");
}
