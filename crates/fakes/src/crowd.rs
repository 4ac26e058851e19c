//! Crowds of callers that keep to no limit: they send large or endless bodies, stop short of the
//! end, and leave their connections open.

use std::collections::HashMap;
use std::fmt::Write as _;
use std::fs;
use std::io::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

/// How long a caller waits for the other side to read before it stops sending. Its connection
/// stays open.
const WRITE_LIMIT: Duration = Duration::from_secs(30);
/// The same for callers whose unread bytes are counted, and the pause between two counts.
const UNREAD_LIMIT: Duration = Duration::from_secs(3);
const UNREAD_PAUSE: Duration = Duration::from_millis(50);
/// Pause between two looks at a process, most looks, and those without growth after which it is
/// settled. Buffers of its background tasks grow a little at any time.
const LOOK_PAUSE: Duration = Duration::from_millis(250);
const SETTLE_LOOKS: usize = 120;
const UNCHANGED_LOOKS: usize = 6;
const SETTLED_GROWTH: u64 = 64 * 1024;
/// Bytes that are written at once where the size of a piece does not matter.
const WRITE_SIZE: usize = 64 * 1024;
/// Stack of a caller's thread.
const CALLER_STACK: usize = 64 * 1024;

/// What one caller of a crowd writes to its connection.
///
/// ```
/// use onyxfall_fakes::RawUpload;
/// let upload = RawUpload { head: b"POST / HTTP/1.1\r\n\r\n".to_vec(), piece: vec![b'x'], pieces: 3 };
/// assert_eq!(upload.bytes(), 22);
/// ```
#[derive(Clone, Debug, Default)]
pub struct RawUpload {
    /// Written first, in one call.
    pub head: Vec<u8>,
    /// Written `pieces` times, each in a call of its own.
    pub piece: Vec<u8>,
    /// Number of pieces.
    pub pieces: usize,
}

impl RawUpload {
    /// Number of bytes that are written if the other side reads them all.
    pub fn bytes(&self) -> usize {
        self.head.len() + self.piece.len() * self.pieces
    }

    /// Writes until the end, or until the other side closes the connection or reads nothing for
    /// `patience`.
    fn write(&self, stream: &mut TcpStream, patience: Duration) -> std::io::Result<()> {
        stream.set_write_timeout(Some(patience))?;
        stream.set_nodelay(true)?;
        stream.write_all(&self.head)?;
        for _ in 0..self.pieces {
            stream.write_all(&self.piece)?;
        }
        Ok(())
    }
}

/// The form in which a caller of a crowd sends what it sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UploadShape {
    /// Nothing.
    Idle,
    /// A head of so many bytes, without its end.
    HalfHead(usize),
    /// A body that is announced as `length` bytes, of which `sent` follow in pieces.
    Announced {
        /// Value of the header.
        length: usize,
        /// Bytes that follow.
        sent: usize,
        /// Bytes of a piece.
        piece: usize,
    },
    /// So many chunks, and no end of the body.
    Chunked {
        /// Bytes of a chunk.
        chunk: usize,
        /// Number of chunks.
        chunks: usize,
    },
    /// The start of a length-delimited frame of so many bytes, without its end.
    HalfFrame(usize),
}

impl UploadShape {
    /// What a caller sends to `path` with the given header lines. One that is not to be `complete`
    /// leaves out the last piece.
    ///
    /// ```
    /// use onyxfall_fakes::UploadShape;
    /// let shape = UploadShape::Announced { length: 8, sent: 8, piece: 4 };
    /// assert_eq!(shape.upload("/a", "host: a\r\n", true).pieces, 2);
    /// assert_eq!(shape.upload("/a", "host: a\r\n", false).pieces, 1);
    /// ```
    pub fn upload(self, path: &str, headers: &str, complete: bool) -> RawUpload {
        let missing = usize::from(!complete);
        let mut head = format!("POST {path} HTTP/1.1\r\n{headers}");
        let (piece, pieces) = match self {
            Self::Idle => return RawUpload::default(),
            Self::HalfHead(bytes) => {
                let filler = "x".repeat(bytes.saturating_sub(head.len()));
                let _ = write!(head, "x-filler: {filler}");
                (Vec::new(), 0)
            }
            Self::Announced {
                length,
                sent,
                piece,
            } => {
                let _ = write!(head, "content-length: {length}\r\n\r\n");
                (vec![b'x'; piece], sent / piece - missing)
            }
            Self::Chunked { chunk, chunks } => {
                head.push_str("transfer-encoding: chunked\r\n\r\n");
                let mut piece = format!("{chunk:x}\r\n").into_bytes();
                piece.resize(piece.len() + chunk, b'x');
                piece.extend_from_slice(b"\r\n");
                let together = (WRITE_SIZE / piece.len()).clamp(1, chunks);
                (piece.repeat(together), chunks / together - missing)
            }
            Self::HalfFrame(length) => {
                let prefix = u32::try_from(length).unwrap_or(u32::MAX).to_be_bytes();
                return RawUpload {
                    head: prefix.to_vec(),
                    piece: vec![b'x'; WRITE_SIZE],
                    pieces: length / WRITE_SIZE - 1,
                };
            }
        };
        RawUpload {
            head: head.into_bytes(),
            piece,
            pieces,
        }
    }
}

/// What a process takes of its machine.
///
/// ```
/// use onyxfall_fakes::ProcessUse;
/// let use_of_self = ProcessUse::of(std::process::id()).unwrap();
/// assert!(use_of_self.peak_memory > 0);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessUse {
    /// Most memory that the process has held so far, in bytes.
    pub peak_memory: u64,
    /// Sockets that it has open.
    pub sockets: usize,
}

impl ProcessUse {
    /// Looks at a process. `None` if it has ended.
    ///
    /// ```
    /// use onyxfall_fakes::ProcessUse;
    /// assert!(ProcessUse::of(std::process::id()).is_some());
    /// ```
    pub fn of(process: u32) -> Option<Self> {
        let status = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kibibytes: u64 = line?.trim().strip_suffix(" kB")?.parse().ok()?;
        let files = fs::read_dir(format!("/proc/{process}/fd")).ok()?;
        let targets = files.flatten().flat_map(|file| fs::read_link(file.path()));
        let sockets = targets.filter(|target| target.to_string_lossy().starts_with("socket:"));
        Some(Self {
            peak_memory: kibibytes * 1024,
            sockets: sockets.count(),
        })
    }

    /// Waits until a process has taken in what the kernel holds for it: until its memory grows no
    /// further to speak of, or for 30 s. `None` if it has ended.
    pub fn wait_settled(process: u32) -> Option<Self> {
        let (mut last, mut unchanged) = (Self::of(process)?, 0);
        for _ in 0..SETTLE_LOOKS {
            if unchanged == UNCHANGED_LOOKS {
                break;
            }
            thread::sleep(LOOK_PAUSE);
            let current = Self::of(process)?;
            let growth = current.peak_memory.saturating_sub(last.peak_memory);
            let is_settled = growth <= SETTLED_GROWTH;
            unchanged = if is_settled { unchanged + 1 } else { 0 };
            last = current;
        }
        Some(last)
    }
}

/// Bytes that the kernel holds for a process that has not read them from the connections to one of
/// its listening IPv4 addresses.
fn unread_bytes(address: SocketAddr) -> u64 {
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let lines = table.lines().skip(1).filter_map(parse_socket);
    let own = lines.filter(|socket| socket.local == address && socket.state != LISTENING);
    // The table is no snapshot: a socket has several lines if others come and go meanwhile.
    let by_remote: HashMap<SocketAddr, u64> =
        own.map(|socket| (socket.remote, socket.unread)).collect();
    by_remote.values().sum()
}

/// What a process may take of its machine, whoever connects to it.
///
/// ```
/// use onyxfall_fakes::CrowdBounds;
/// let bounds = CrowdBounds { memory: u64::MAX, sockets: usize::MAX };
/// assert!(bounds.faults(std::process::id(), || true).is_empty());
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrowdBounds {
    /// Most memory, in bytes.
    pub memory: u64,
    /// Most open sockets.
    pub sockets: usize,
}

impl CrowdBounds {
    /// What is wrong with a process once it has settled: it has ended, takes more than it may, or
    /// does not serve an ordinary request.
    pub fn faults(&self, process: u32, is_served: impl FnOnce() -> bool) -> Vec<String> {
        let ended = || vec!["the process ended".to_owned()];
        let Some(settled) = ProcessUse::wait_settled(process) else {
            return ended();
        };
        let mut faults = Vec::new();
        if settled.sockets > self.sockets {
            faults.push(format!("{} sockets are open", settled.sockets));
        }
        if !is_served() {
            faults.push("no ordinary request is served".to_owned());
        }
        let Some(last) = ProcessUse::of(process) else {
            return ended();
        };
        if last.peak_memory > self.memory {
            faults.push(format!("{} bytes of memory", last.peak_memory));
        }
        faults
    }
}

/// State of a listening socket in `/proc/net/tcp`, whose unread bytes are connections.
const LISTENING: u8 = 0x0a;

/// A line of `/proc/net/tcp`.
struct KernelSocket {
    local: SocketAddr,
    remote: SocketAddr,
    state: u8,
    unread: u64,
}

fn parse_socket(line: &str) -> Option<KernelSocket> {
    let mut fields = line.split_whitespace().skip(1);
    let local = parse_address(fields.next()?)?;
    let remote = parse_address(fields.next()?)?;
    let state = u8::from_str_radix(fields.next()?, 16).ok()?;
    let (_unsent, unread) = fields.next()?.split_once(':')?;
    Some(KernelSocket {
        local,
        remote,
        state,
        unread: u64::from_str_radix(unread, 16).ok()?,
    })
}

fn parse_address(text: &str) -> Option<SocketAddr> {
    let (ip, port) = text.split_once(':')?;
    // The address is printed as a number of the machine's byte order.
    let ip = Ipv4Addr::from(u32::from_str_radix(ip, 16).ok()?.to_ne_bytes());
    let port = u16::from_str_radix(port, 16).ok()?;
    Some(SocketAddr::new(IpAddr::V4(ip), port))
}

/// Open connections of callers that have sent what they meant to send.
#[derive(Debug, Default)]
pub struct CallerCrowd {
    streams: Vec<TcpStream>,
}

impl CallerCrowd {
    /// Sends all uploads at once, each on a connection of its own, and waits until none is sent
    /// any further. Connections that the other side refuses or closes are left out or kept as
    /// they are.
    ///
    /// ```
    /// use onyxfall_fakes::{CallerCrowd, RawUpload};
    /// let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    /// let address = listener.local_addr().unwrap();
    /// let crowd = CallerCrowd::send(address, vec![RawUpload::default(); 2]);
    /// assert_eq!(crowd.connections(), 2);
    /// ```
    pub fn send(address: SocketAddr, uploads: Vec<RawUpload>) -> Self {
        Self::send_within(address, uploads, WRITE_LIMIT)
    }

    fn send_within(address: SocketAddr, uploads: Vec<RawUpload>, patience: Duration) -> Self {
        let callers: Vec<_> = uploads
            .into_iter()
            .filter_map(|upload| {
                let caller = thread::Builder::new().stack_size(CALLER_STACK);
                let caller = caller.spawn(move || {
                    let mut stream = TcpStream::connect(address).ok()?;
                    // The other side may refuse the rest at any byte.
                    let _ = upload.write(&mut stream, patience);
                    Some(stream)
                });
                caller.ok()
            })
            .collect();
        let streams = callers
            .into_iter()
            .filter_map(|caller| caller.join().ok()?)
            .collect();
        Self { streams }
    }

    /// Sends all uploads as [`Self::send`] does. Returns, too, the most bytes that the kernel held
    /// unread for the other side meanwhile.
    ///
    /// ```
    /// use onyxfall_fakes::{CallerCrowd, RawUpload};
    /// let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    /// let upload = RawUpload { head: b"unread".to_vec(), ..RawUpload::default() };
    /// let address = listener.local_addr().unwrap();
    /// let (_crowd, unread) = CallerCrowd::send_unread(address, vec![upload; 2]);
    /// assert_eq!(unread, 12);
    /// ```
    pub fn send_unread(address: SocketAddr, uploads: Vec<RawUpload>) -> (Self, u64) {
        thread::scope(|scope| {
            let crowd = scope.spawn(|| Self::send_within(address, uploads, UNREAD_LIMIT));
            let mut most = 0;
            while !crowd.is_finished() {
                most = unread_bytes(address).max(most);
                thread::sleep(UNREAD_PAUSE);
            }
            let crowd = crowd.join().unwrap_or_default();
            (crowd, unread_bytes(address).max(most))
        })
    }

    /// Number of connections that were opened.
    pub fn connections(&self) -> usize {
        self.streams.len()
    }
}
