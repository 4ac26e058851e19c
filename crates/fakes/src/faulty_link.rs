//! A loopback proxy in front of one listener that can delay, stall and reset connections, for
//! all of its clients or for those with one source address.
//!
//! A cut path drops packets in the kernel, so that the other end sees what a real partition
//! causes: handshakes without an answer, unacknowledged data and unanswered keep-alive probes.

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use parking_lot::Mutex;
use socket2::{Domain, SockFilter, SockRef, Socket, Type};

/// Delay of a slow link in one direction.
const SLOW_DELAY: Duration = Duration::from_millis(80);
/// Bytes a second of a narrow link.
const NARROW_RATE: f64 = 100e3;
/// Interval at which a stalled direction is checked for its release.
const STALL_POLL: Duration = Duration::from_millis(10);
const CHUNK: usize = 16 * 1024;

/// What a link does with the bytes of its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkMode {
    /// Forwards them.
    #[default]
    Open,
    /// Forwards them with a delay.
    Slow,
    /// Forwards few bytes a second in each direction of a connection.
    Narrow,
    /// Resets every connection, including new ones.
    Broken,
    /// Stalls the bytes to the target.
    StalledToTarget,
    /// Stalls the bytes from the target.
    StalledFromTarget,
    /// Stalls both directions.
    Stalled,
}

/// Direction in which bytes are forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LinkDirection {
    ToTarget,
    FromTarget,
}

impl LinkMode {
    fn stalls(self, direction: LinkDirection) -> bool {
        match self {
            Self::Open | Self::Slow | Self::Narrow | Self::Broken => false,
            Self::StalledToTarget => direction == LinkDirection::ToTarget,
            Self::StalledFromTarget => direction == LinkDirection::FromTarget,
            Self::Stalled => true,
        }
    }
}

/// How the path from one source address is cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathCut {
    /// All packets are lost.
    Silent,
    /// Open connections are reset, and the packets of new ones are lost.
    Reset,
    /// Open connections live on, and the packets of new ones are lost.
    NewConnections,
}

impl PathCut {
    /// All ways to cut a path.
    pub const ALL: [Self; 3] = [Self::Silent, Self::Reset, Self::NewConnections];
}

/// Both ends of a forwarded connection.
struct OpenConnection {
    number: u64,
    source: IpAddr,
    near: TcpStream,
    far: TcpStream,
}

struct LinkState {
    mode: LinkMode,
    target: SocketAddr,
    cuts: BTreeMap<IpAddr, PathCut>,
    open: Vec<OpenConnection>,
    /// Number of connections so far.
    connections: u64,
}

impl LinkState {
    /// Whether bytes of a connection from `source` are held back in `direction`.
    fn stalls(&self, source: IpAddr, direction: LinkDirection) -> bool {
        self.mode.stalls(direction) || self.cuts.get(&source) == Some(&PathCut::Silent)
    }
}

/// A running proxy that can be made faulty.
pub struct FaultyLink {
    address: SocketAddr,
    listener: TcpListener,
    state: Arc<Mutex<LinkState>>,
}

impl FaultyLink {
    /// Listens on a free port of `ip` and forwards connections to `target`.
    ///
    /// # Errors
    ///
    /// No port is free, or no thread can be started.
    pub fn start(ip: IpAddr, target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(LinkState {
            mode: LinkMode::Open,
            target,
            cuts: BTreeMap::new(),
            open: Vec::new(),
            connections: 0,
        }));
        let served = Arc::clone(&state);
        let accepting = listener.try_clone()?;
        thread::Builder::new()
            .name("faulty-link".to_owned())
            .spawn(move || {
                for stream in accepting.incoming().flatten() {
                    let state = Arc::clone(&served);
                    thread::spawn(move || forward(stream, &state));
                }
            })?;
        Ok(Self {
            address,
            listener,
            state,
        })
    }

    /// Address on which the link listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the mode of the link, also for open connections.
    pub fn set_mode(&self, mode: LinkMode) {
        let mut state = self.state.lock();
        state.mode = mode;
        if mode == LinkMode::Broken {
            for connection in state.open.drain(..) {
                connection.reset();
            }
        }
    }

    /// Cuts the path from `source`, or restores it. Only the packets from `source` are lost;
    /// those to it are held back.
    ///
    /// # Errors
    ///
    /// The kernel accepts no packet filter.
    pub fn set_cut(&self, source: Ipv4Addr, cut: Option<PathCut>) -> io::Result<()> {
        let mut state = self.state.lock();
        let ip = IpAddr::V4(source);
        match cut {
            Some(cut) => state.cuts.insert(ip, cut),
            None => state.cuts.remove(&ip),
        };
        SockRef::from(&self.listener).attach_filter(&drop_sources(state.cuts.keys()))?;
        let (of_source, others): (Vec<_>, Vec<_>) =
            state.open.drain(..).partition(|open| open.source == ip);
        state.open = others;
        for connection in of_source {
            let socket = SockRef::from(&connection.near);
            match cut {
                Some(PathCut::Reset) => {
                    connection.reset();
                    continue;
                }
                Some(PathCut::Silent) => socket.attach_filter(&DROP_ALL)?,
                Some(PathCut::NewConnections) | None => socket.attach_filter(&ACCEPT_ALL)?,
            }
            state.open.push(connection);
        }
        Ok(())
    }

    /// Forwards new connections to another target.
    pub fn set_target(&self, target: SocketAddr) {
        self.state.lock().target = target;
    }
}

/// Instructions of packet filters: load the source address of a packet, compare it, return
/// how many bytes of the packet are accepted.
const LOAD_WORD: u16 = 0x20;
const JUMP_IF_EQUAL: u16 = 0x15;
const RETURN: u16 = 0x06;
/// Offset of the source address in the network header, which filters address from the end.
const SOURCE_OFFSET: u32 = 0xfff0_0000 + 12;
const ACCEPT: SockFilter = SockFilter::new(RETURN, 0, 0, u32::MAX);
const DROP: SockFilter = SockFilter::new(RETURN, 0, 0, 0);
const ACCEPT_ALL: [SockFilter; 1] = [ACCEPT];
const DROP_ALL: [SockFilter; 1] = [DROP];

/// A filter that drops the packets of some sources.
fn drop_sources<'a>(sources: impl Iterator<Item = &'a IpAddr>) -> Vec<SockFilter> {
    let mut filter = vec![SockFilter::new(LOAD_WORD, 0, 0, SOURCE_OFFSET)];
    for source in sources {
        if let IpAddr::V4(ip) = source {
            filter.push(SockFilter::new(JUMP_IF_EQUAL, 0, 1, u32::from(*ip)));
            filter.push(DROP);
        }
    }
    filter.push(ACCEPT);
    filter
}

impl OpenConnection {
    fn reset(&self) {
        reset(&self.near);
        reset(&self.far);
    }
}

/// Resets a connection, also while other handles keep its socket open.
fn reset(stream: &TcpStream) {
    // A socket that has already failed needs no reset.
    let _ = rustix::net::connect_unspec(stream);
}

/// Connects to the target from the source address of the incoming connection, so that the
/// target can identify the VM.
fn connect_as(near: &TcpStream, target: SocketAddr) -> io::Result<TcpStream> {
    let source = SocketAddr::new(near.peer_addr()?.ip(), 0);
    let socket = Socket::new(Domain::for_address(target), Type::STREAM, None)?;
    socket.bind(&source.into())?;
    socket.connect(&target.into())?;
    Ok(socket.into())
}

fn forward(near: TcpStream, state: &Arc<Mutex<LinkState>>) {
    let (mode, target) = {
        let state = state.lock();
        (state.mode, state.target)
    };
    if mode == LinkMode::Broken {
        reset(&near);
        return;
    }
    let Ok(far) = connect_as(&near, target) else {
        reset(&near);
        return;
    };
    let Ok(source) = near.peer_addr().map(|peer| peer.ip()) else {
        return;
    };
    let copies = (near.try_clone(), far.try_clone());
    let kept = (near.try_clone(), far.try_clone());
    let ((Ok(near_copy), Ok(far_copy)), (Ok(kept_near), Ok(kept_far))) = (copies, kept) else {
        return;
    };
    for stream in [&near, &far] {
        let _ = stream.set_nodelay(true);
    }
    let number = {
        let mut state = state.lock();
        state.connections += 1;
        let number = state.connections;
        state.open.push(OpenConnection {
            number,
            source,
            near: kept_near,
            far: kept_far,
        });
        number
    };
    let to_target = Arc::clone(state);
    let other = thread::spawn(move || {
        pipe(
            near_copy,
            far_copy,
            source,
            LinkDirection::ToTarget,
            &to_target,
        );
    });
    pipe(far, near, source, LinkDirection::FromTarget, state);
    // A pipe that panicked has ended as well.
    let _ = other.join();
    state.lock().open.retain(|open| open.number != number);
}

/// Forwards the bytes of one direction of a connection from `source`.
fn pipe(
    mut from: TcpStream,
    mut to: TcpStream,
    source: IpAddr,
    direction: LinkDirection,
    state: &Mutex<LinkState>,
) {
    let mut buffer = vec![0; CHUNK];
    loop {
        let Ok(len) = from.read(&mut buffer) else {
            reset(&to);
            return;
        };
        while state.lock().stalls(source, direction) {
            thread::sleep(STALL_POLL);
        }
        let mode = state.lock().mode;
        match mode {
            LinkMode::Slow => thread::sleep(SLOW_DELAY),
            LinkMode::Narrow => thread::sleep(Duration::from_secs_f64(len as f64 / NARROW_RATE)),
            _ => {}
        }
        if len == 0 || to.write_all(&buffer[..len]).is_err() {
            break;
        }
    }
    // Either end may already be closed.
    let _ = to.shutdown(Shutdown::Write);
}
