//! Stub of a network link: forwards TCP with a delay, and can cut connections.
//!
//! The third byte of a VM's loopback address is its region, so that one link in front of
//! each VM can delay and cut traffic by pair of regions.

use std::collections::BTreeSet;
use std::io::{self, Read, Write};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel;
use parking_lot::Mutex;

const CHUNK: usize = 16 * 1024;
const PIPE_DEPTH: usize = 256;

/// Delays and cuts of links, by pair of regions.
#[derive(Default)]
pub struct LinkRules {
    state: Mutex<RuleState>,
}

#[derive(Default)]
struct RuleState {
    one_way: Duration,
    cuts: BTreeSet<(u8, u8)>,
    open: Vec<(u8, u8, TcpStream)>,
}

impl LinkRules {
    /// Rules with a one-way delay between regions and none within one.
    pub fn new(one_way: Duration) -> Arc<Self> {
        let state = RuleState {
            one_way,
            ..RuleState::default()
        };
        Arc::new(Self {
            state: Mutex::new(state),
        })
    }

    /// Cuts or restores the links of a pair of regions; a cut closes open connections.
    pub fn set_cut(&self, a: u8, b: u8, cut: bool) {
        let mut state = self.state.lock();
        let pair = (a.min(b), a.max(b));
        if !cut {
            state.cuts.remove(&pair);
            return;
        }
        state.cuts.insert(pair);
        state.open.retain(|(from, to, stream)| {
            let hit = (*from.min(to), *from.max(to)) == pair;
            if hit {
                let _ = stream.shutdown(Shutdown::Both);
            }
            !hit
        });
    }

    fn is_cut(&self, a: u8, b: u8) -> bool {
        self.state.lock().cuts.contains(&(a.min(b), a.max(b)))
    }

    fn delay(&self, a: u8, b: u8) -> Duration {
        if a == b {
            Duration::ZERO
        } else {
            self.state.lock().one_way
        }
    }

    fn track(&self, a: u8, b: u8, stream: &TcpStream) {
        if let Ok(stream) = stream.try_clone() {
            self.state.lock().open.push((a, b, stream));
        }
    }
}

/// Region of a loopback address.
fn region_of(address: &SocketAddr) -> u8 {
    match address.ip() {
        IpAddr::V4(ip) => ip.octets()[2],
        IpAddr::V6(_) => 0,
    }
}

/// A running link in front of one listener.
pub struct FakeLink {
    address: SocketAddr,
}

impl FakeLink {
    /// Forwards connections on `listener` to `target`, which is in the listener's region.
    ///
    /// # Errors
    ///
    /// The listener cannot be used.
    pub fn start(
        listener: TcpListener,
        target: SocketAddr,
        rules: Arc<LinkRules>,
    ) -> io::Result<Self> {
        let address = listener.local_addr()?;
        thread::Builder::new()
            .name("fake-link".to_owned())
            .spawn(move || {
                for stream in listener.incoming().flatten() {
                    let rules = Arc::clone(&rules);
                    thread::spawn(move || forward(stream, address, target, &rules));
                }
            })?;
        Ok(Self { address })
    }

    /// Address on which it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

fn forward(near: TcpStream, own: SocketAddr, target: SocketAddr, rules: &Arc<LinkRules>) {
    let Ok(peer) = near.peer_addr() else { return };
    let (from, to) = (region_of(&peer), region_of(&own));
    if rules.is_cut(from, to) {
        return;
    }
    let delay = rules.delay(from, to);
    thread::sleep(delay * 2);
    let Ok(far) = TcpStream::connect(target) else {
        return;
    };
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    rules.track(from, to, &near);
    rules.track(from, to, &far);
    if rules.is_cut(from, to) {
        return;
    }
    let (Ok(near_read), Ok(far_read)) = (near.try_clone(), far.try_clone()) else {
        return;
    };
    thread::spawn(move || pipe(near_read, far, delay));
    pipe(far_read, near, delay);
}

/// Copies bytes with a delay that does not limit throughput.
fn pipe(mut from: TcpStream, mut to: TcpStream, delay: Duration) {
    let (sender, receiver) = channel::bounded::<(Instant, Vec<u8>)>(PIPE_DEPTH);
    let writer = thread::spawn(move || {
        for (due, bytes) in receiver {
            thread::sleep(due.saturating_duration_since(Instant::now()));
            if to.write_all(&bytes).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Write);
    });
    let mut buffer = vec![0; CHUNK];
    while let Ok(len) = from.read(&mut buffer) {
        if len == 0
            || sender
                .send((Instant::now() + delay, buffer[..len].to_vec()))
                .is_err()
        {
            break;
        }
    }
    drop(sender);
    let _ = writer.join();
}
