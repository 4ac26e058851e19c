//! A loopback proxy before one listener, whose connections can be harmed.

use std::io::{self, Read, Write};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use parking_lot::Mutex;
use socket2::{Domain, SockRef, Socket, Type};

/// Delay of a slow link in one direction.
const SLOW: Duration = Duration::from_millis(80);
/// Look whether a held direction is free again.
const LOOK: Duration = Duration::from_millis(10);
const CHUNK: usize = 16 * 1024;

/// What a link does with bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum LinkMode {
    /// Passes them on.
    #[default]
    Open,
    /// Passes them on late.
    Slow,
    /// Resets every connection, also new ones.
    Broken,
    /// Holds what goes to the target.
    HeldThere,
    /// Holds what comes from the target.
    HeldBack,
    /// Holds both directions.
    Held,
}

/// Direction of bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LinkWay {
    There,
    Back,
}

impl LinkMode {
    fn holds(self, way: LinkWay) -> bool {
        match self {
            Self::Open | Self::Slow | Self::Broken => false,
            Self::HeldThere => way == LinkWay::There,
            Self::HeldBack => way == LinkWay::Back,
            Self::Held => true,
        }
    }
}

struct LinkState {
    mode: LinkMode,
    target: SocketAddr,
    open: Vec<TcpStream>,
}

/// A running proxy.
pub(crate) struct HarmedLink {
    address: SocketAddr,
    state: Arc<Mutex<LinkState>>,
}

impl HarmedLink {
    /// Passes connections to `ip`, on a free port, on to `target`.
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

    /// Where it listens.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets what it does from now on.
    pub(crate) fn set_mode(&self, mode: LinkMode) {
        let mut state = self.state.lock();
        state.mode = mode;
        if mode == LinkMode::Broken {
            for stream in state.open.drain(..) {
                reset(&stream);
            }
        }
    }

    /// Leads new connections to another target.
    pub(crate) fn set_target(&self, target: SocketAddr) {
        self.state.lock().target = target;
    }
}

/// Closes a connection so that its other end sees a reset.
fn reset(stream: &TcpStream) {
    // A socket that has failed already needs no reset.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
    let _ = stream.shutdown(Shutdown::Both);
}

/// Connects to the target from the address that the connection comes from, so that the
/// target sees which VM it is.
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
    let there = Arc::clone(state);
    thread::spawn(move || pipe(near_copy, far_copy, LinkWay::There, &there));
    pipe(far, near, LinkWay::Back, state);
}

fn pipe(mut from: TcpStream, mut to: TcpStream, way: LinkWay, state: &Mutex<LinkState>) {
    let mut buffer = vec![0; CHUNK];
    while let Ok(len) = from.read(&mut buffer) {
        while state.lock().mode.holds(way) {
            thread::sleep(LOOK);
        }
        if state.lock().mode == LinkMode::Slow {
            thread::sleep(SLOW);
        }
        if len == 0 || to.write_all(&buffer[..len]).is_err() {
            break;
        }
    }
    // Either end may be gone already.
    let _ = to.shutdown(Shutdown::Write);
}
