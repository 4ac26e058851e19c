//! A loopback proxy in front of one listener that can delay, stall and reset connections.

use std::io::{self, Read, Write};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use parking_lot::Mutex;
use socket2::{Domain, SockRef, Socket, Type};

/// Delay of a slow link in one direction.
const SLOW_DELAY: Duration = Duration::from_millis(80);
/// Interval at which a stalled direction is checked for its release.
const STALL_POLL: Duration = Duration::from_millis(10);
const CHUNK: usize = 16 * 1024;

/// What a link does with the bytes of its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum LinkMode {
    /// Forwards them.
    #[default]
    Open,
    /// Forwards them with a delay.
    Slow,
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
            Self::Open | Self::Slow | Self::Broken => false,
            Self::StalledToTarget => direction == LinkDirection::ToTarget,
            Self::StalledFromTarget => direction == LinkDirection::FromTarget,
            Self::Stalled => true,
        }
    }
}

struct LinkState {
    mode: LinkMode,
    target: SocketAddr,
    open: Vec<TcpStream>,
}

/// A running proxy that can be made faulty.
pub(crate) struct FaultyLink {
    address: SocketAddr,
    state: Arc<Mutex<LinkState>>,
}

impl FaultyLink {
    /// Listens on a free port of `ip` and forwards connections to `target`.
    pub(crate) fn start(ip: IpAddr, target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(LinkState {
            mode: LinkMode::Open,
            target,
            open: Vec::new(),
        }));
        let served = Arc::clone(&state);
        thread::Builder::new()
            .name("harmed-link".to_owned())
            .spawn(move || {
                for stream in listener.incoming().flatten() {
                    let state = Arc::clone(&served);
                    thread::spawn(move || forward(stream, &state));
                }
            })?;
        Ok(Self { address, state })
    }

    /// Address on which the link listens.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the mode of the link, also for open connections.
    pub(crate) fn set_mode(&self, mode: LinkMode) {
        let mut state = self.state.lock();
        state.mode = mode;
        if mode == LinkMode::Broken {
            for stream in state.open.drain(..) {
                reset(&stream);
            }
        }
    }

    /// Forwards new connections to another target.
    pub(crate) fn set_target(&self, target: SocketAddr) {
        self.state.lock().target = target;
    }
}

/// Closes a connection with a reset.
fn reset(stream: &TcpStream) {
    // A socket that has already failed needs no reset.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
    let _ = stream.shutdown(Shutdown::Both);
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
    let copies = (near.try_clone(), far.try_clone());
    let (Ok(near_copy), Ok(far_copy)) = copies else {
        return;
    };
    for stream in [&near, &far] {
        let _ = stream.set_nodelay(true);
        if let Ok(copy) = stream.try_clone() {
            state.lock().open.push(copy);
        }
    }
    let to_target = Arc::clone(state);
    thread::spawn(move || pipe(near_copy, far_copy, LinkDirection::ToTarget, &to_target));
    pipe(far, near, LinkDirection::FromTarget, state);
}

fn pipe(
    mut from: TcpStream,
    mut to: TcpStream,
    direction: LinkDirection,
    state: &Mutex<LinkState>,
) {
    let mut buffer = vec![0; CHUNK];
    while let Ok(len) = from.read(&mut buffer) {
        while state.lock().mode.stalls(direction) {
            thread::sleep(STALL_POLL);
        }
        if state.lock().mode == LinkMode::Slow {
            thread::sleep(SLOW_DELAY);
        }
        if len == 0 || to.write_all(&buffer[..len]).is_err() {
            break;
        }
    }
    // Either end may already be closed.
    let _ = to.shutdown(Shutdown::Write);
}
