//! Crowds of callers outside the limits end no entry: it stays within its memory and descriptors,
//! and an ordinary request is served while the crowd's connections are open.

mod support;

use std::fs;
use std::io::{self, Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use onyxfall_fakes::{CallerCrowd, CrowdBounds, FakeService, ServiceSettings, UploadShape};
use support::{TestDeployment, free_address, loopback, try_call, wait_until};

/// Memory of the smallest VM, in megabytes.
const MEMORY_MB: u64 = 120;
/// Descriptors of the process, of which 200 are for files.
const OPEN_FILES: u64 = 456;
const MAX_SOCKETS: usize = 256;
/// More connections than the process has descriptors.
const MANY_CALLERS: usize = 600;
/// Largest legal body, and the largest frame between entries.
const MAX_BODY: usize = 4 * 1024 * 1024;
const MAX_FRAME: usize = 8 * 1024 * 1024;
/// Callers that send bytes behind a request, and the bytes of each.
const PIPELINING_CALLERS: usize = 700;
const PIPELINED: usize = 1024 * 1024;
/// Descriptors of their entry, the requests that its service takes at once, and how long it works on
/// each.
const PIPELINING_FILES: u64 = 4100;
const PIPELINING_SLOTS: u32 = 1400;
const PIPELINING_WORK: Duration = Duration::from_secs(1);
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
/// Attempts of an ordinary caller, the pause before each, and the longest time for a response.
const ATTEMPTS: usize = 20;
const ATTEMPT_PAUSE: Duration = Duration::from_millis(250);
const ATTEMPT_LIMIT: Duration = Duration::from_secs(3);

/// Crowds are played one at a time.
static PLAYING: Mutex<()> = Mutex::new(());

/// A port of an entry.
#[derive(Clone, Copy, Debug)]
enum EntryPort {
    Callers,
    Peers,
    Admin,
}

struct CrowdCase {
    name: &'static str,
    port: EntryPort,
    callers: usize,
    shape: UploadShape,
}

const fn case(
    name: &'static str,
    port: EntryPort,
    callers: usize,
    shape: UploadShape,
) -> CrowdCase {
    CrowdCase {
        name,
        port,
        callers,
        shape,
    }
}

const fn announced(length: usize, sent: usize, piece: usize) -> UploadShape {
    UploadShape::Announced {
        length,
        sent,
        piece,
    }
}

const PIECE: usize = 64 * 1024;

const BODY_CROWDS: [CrowdCase; 8] = [
    case(
        "large bodies, whole",
        EntryPort::Callers,
        60,
        announced(MAX_BODY, MAX_BODY, PIECE),
    ),
    case(
        "large bodies, piece by piece",
        EntryPort::Callers,
        60,
        announced(MAX_BODY, MAX_BODY, 1000),
    ),
    case(
        "large chunks",
        EntryPort::Callers,
        60,
        UploadShape::Chunked {
            chunk: 256 * 1024,
            chunks: 16,
        },
    ),
    case(
        "very small chunks",
        EntryPort::Callers,
        60,
        UploadShape::Chunked {
            chunk: 1,
            chunks: 64 * 1024,
        },
    ),
    case(
        "far over the limit, announced",
        EntryPort::Callers,
        60,
        announced(1 << 30, 2 * MAX_BODY, PIECE),
    ),
    case(
        "far over the limit, just sent",
        EntryPort::Callers,
        60,
        UploadShape::Chunked {
            chunk: PIECE,
            chunks: 256,
        },
    ),
    case(
        "bodies at the admin port",
        EntryPort::Admin,
        60,
        announced(MAX_BODY, MAX_BODY, PIECE),
    ),
    case(
        "frames of strangers",
        EntryPort::Peers,
        60,
        UploadShape::HalfFrame(MAX_FRAME - 1),
    ),
];

const CONNECTION_CROWDS: [CrowdCase; 5] = [
    case(
        "idle callers",
        EntryPort::Callers,
        MANY_CALLERS,
        UploadShape::Idle,
    ),
    case(
        "half heads",
        EntryPort::Callers,
        MANY_CALLERS,
        UploadShape::HalfHead(15_000),
    ),
    case(
        "short bodies that do not end",
        EntryPort::Callers,
        MANY_CALLERS,
        announced(1000, 1000, 1000),
    ),
    case(
        "idle links",
        EntryPort::Peers,
        MANY_CALLERS,
        UploadShape::Idle,
    ),
    case(
        "idle connections to the admin port",
        EntryPort::Admin,
        MANY_CALLERS,
        UploadShape::Idle,
    ),
];

/// An entry in a process of its own, with a plain service behind it.
struct SmallEntry {
    child: Child,
    admin: SocketAddr,
    deployment: TestDeployment,
    file: PathBuf,
    service: FakeService,
    _playing: MutexGuard<'static, ()>,
}

impl SmallEntry {
    fn start() -> Self {
        Self::start_with(OPEN_FILES, ServiceSettings::default())
    }

    fn start_with(open_files: u64, service: ServiceSettings) -> Self {
        let playing = PLAYING.lock().unwrap_or_else(PoisonError::into_inner);
        let service = FakeService::start(loopback(1), service).unwrap();
        let deployment = TestDeployment::new(&[1]);
        let admin = free_address(1);
        let file = std::env::temp_dir().join(format!("{}.ini", deployment.name));
        let memory = format!("[vm]\nmemory-mb = {MEMORY_MB}\n");
        let settings = deployment
            .settings(0)
            .replacen("[vm]\n", &memory, 1)
            .replacen("admin = 127.0.1.1:0", &format!("admin = {admin}"), 1)
            .replacen("body-size = 64KiB", "body-size = 4MiB", 1);
        fs::write(&file, settings).unwrap();
        let limit = format!("ulimit -n {open_files} && exec \"$0\" \"$@\"");
        let child = Command::new("sh")
            .args(["-c", &limit, env!("CARGO_BIN_EXE_onyxfall-entry")])
            .arg("--settings")
            .arg(&file)
            .stdout(Stdio::null())
            .spawn()
            .unwrap();
        let entry = Self {
            child,
            admin,
            deployment,
            file,
            service,
            _playing: playing,
        };
        wait_until("the entry is up", || entry.deployment.version(0).is_some());
        let content = entry.deployment.sign(&format!(
            "[service app]\n[server a]\ndata-centre = c1\naddress = {}\nserves = app\n\
             [kind post]\nserved-by = app\nrepeatable = no\nresidency = anywhere\n\
             service-ms = 10\n",
            entry.service.address()
        ));
        entry.deployment.roll(content);
        wait_until("a request is served", || {
            ask(entry.address(EntryPort::Callers)).is_ok_and(|start| start == SERVED)
        });
        entry
    }

    fn address(&self, port: EntryPort) -> SocketAddr {
        match port {
            EntryPort::Callers => self.deployment.callers(0),
            EntryPort::Peers => self.deployment.peers(0),
            EntryPort::Admin => self.admin,
        }
    }

    fn is_running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }

    /// Whether an ordinary request is served within some attempts.
    fn is_serving(&self) -> bool {
        (0..ATTEMPTS).any(|_| {
            thread::sleep(ATTEMPT_PAUSE);
            ask(self.address(EntryPort::Callers)).is_ok_and(|start| start == SERVED)
        })
    }
}

impl Drop for SmallEntry {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.file);
    }
}

const SERVED: &str = "HTTP/1.1 200";

/// Sends an ordinary request. Returns the start of the response.
fn ask(address: SocketAddr) -> io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&address, ATTEMPT_LIMIT)?;
    stream.set_read_timeout(Some(ATTEMPT_LIMIT))?;
    stream.write_all(
        b"POST /v1/services/post/x HTTP/1.1\r\nhost: a.example\r\ncontent-length: 2\r\n\r\n{}",
    )?;
    let mut start = [0; SERVED.len()];
    stream.read_exact(&mut start)?;
    Ok(String::from_utf8_lossy(&start).into_owned())
}

/// Plays a crowd against an entry. Returns what the entry did not outlive.
fn play(case: &CrowdCase) -> Vec<String> {
    let mut entry = SmallEntry::start();
    let mut faults = Vec::new();
    for round in 0..ROUNDS {
        let uploads = (0..case.callers).map(|caller| {
            let is_complete = caller.is_multiple_of(COMPLETE_EVERY);
            let path = "/v1/services/post/crowd";
            case.shape.upload(path, "host: a.example\r\n", is_complete)
        });
        let crowd = CallerCrowd::send(entry.address(case.port), uploads.collect());
        let found = BOUNDS.faults(entry.child.id(), || entry.is_serving());
        drop(crowd);
        let found = found.iter().map(|f| format!("{}, {round}: {f}", case.name));
        faults.extend(found);
    }
    if !entry.is_running() {
        faults.push(format!("{}: the entry ended", case.name));
    }
    faults
}

fn play_all(cases: &[CrowdCase]) {
    let faults: Vec<String> = cases.iter().flat_map(play).collect();
    assert!(faults.is_empty(), "{faults:#?}");
}

/// Guards against uploads and frames that fill the memory of an entry.
#[test]
fn crowds_of_bodies_leave_an_entry_within_its_memory() {
    play_all(&BODY_CROWDS);
}

/// Guards against bytes behind a request that fill the kernel's buffers while it is served.
#[test]
fn bytes_behind_requests_leave_an_entrys_machine_its_memory() {
    let service = ServiceSettings {
        slots: PIPELINING_SLOTS,
        work: PIPELINING_WORK,
        ..ServiceSettings::default()
    };
    let mut entry = SmallEntry::start_with(PIPELINING_FILES, service);
    let address = entry.address(EntryPort::Callers);
    let path = "/v1/services/post/crowd";
    let mut pipelined = announced(1, 1, 1).upload(path, "host: a.example\r\n", true);
    pipelined.piece = vec![b'x'; PIECE];
    pipelined.pieces = PIPELINED / PIECE;
    let uploads = vec![pipelined; PIPELINING_CALLERS];
    let (crowd, unread) = CallerCrowd::send_unread(address, uploads);
    let bound = MEMORY_MB * 1_000_000 / UNREAD_PARTS;
    assert!(unread <= bound, "{unread} bytes are unread");
    assert!(entry.is_serving());
    assert!(entry.is_running());
    drop(crowd);
}

/// Guards against connections that use up the descriptors of an entry.
#[test]
fn crowds_of_connections_leave_an_entry_descriptors() {
    play_all(&CONNECTION_CROWDS);
}

/// Guards against limits that refuse a request inside them in calm.
#[test]
fn an_entry_serves_the_largest_legal_body_in_calm() {
    let entry = SmallEntry::start();
    let body = "x".repeat(MAX_BODY);
    let callers = entry.address(EntryPort::Callers);
    let answer = try_call(callers, "POST", "/v1/services/post/large", &[], &body);
    assert_eq!(answer.expect("a response").status, 200);
}
