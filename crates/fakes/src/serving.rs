//! A thread that serves HTTP on its own event loop.

use std::error::Error;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use http::{Request, Response};
use hyper::body::{Body, Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use parking_lot::{Condvar, Mutex};
use socket2::{SockRef, Socket};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// Pause after the system ran out of descriptors for a new connection.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Stops a serving thread, which closes its port and every connection at once.
pub type StopSignal = Arc<Notify>;

/// Stops a serving thread as a signal stops a process: its kernel still accepts connections and
/// data, and the thread neither reads nor writes.
#[derive(Clone, Debug, Default)]
pub struct PauseGate(Arc<PauseState>);

#[derive(Debug, Default)]
struct PauseState {
    gate: Mutex<GateState>,
    opened: Condvar,
    closed: Notify,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum GateState {
    #[default]
    Open,
    Closed,
    /// The thread ends, also if the gate was closed before.
    Ended,
}

impl PauseGate {
    /// Stops the thread or lets it go on.
    pub fn set_closed(&self, is_closed: bool) {
        self.set(if is_closed {
            GateState::Closed
        } else {
            GateState::Open
        });
    }

    /// Ends the thread, which does nothing more even if it is stopped.
    fn end(&self) {
        self.set(GateState::Ended);
    }

    fn set(&self, to: GateState) {
        let mut gate = self.0.gate.lock();
        if *gate != GateState::Ended {
            *gate = to;
        }
        self.0.closed.notify_one();
        self.0.opened.notify_all();
    }

    /// Blocks the calling thread whenever the gate is closed; returns when it has ended.
    async fn block_while_closed(&self) {
        loop {
            self.0.closed.notified().await;
            let mut gate = self.0.gate.lock();
            while *gate == GateState::Closed {
                self.0.opened.wait(&mut gate);
            }
            if *gate == GateState::Ended {
                return;
            }
        }
    }
}

/// Peer address of a request's connection, attached to each request as an extension.
#[derive(Clone, Copy, Debug)]
pub struct PeerAddress(pub SocketAddr);

/// Sets whether a request's connection is reset when it is closed; attached to each request as
/// an extension.
#[derive(Clone, Debug)]
pub struct ResetSwitch(Arc<Socket>);

impl ResetSwitch {
    fn new(stream: &TcpStream) -> io::Result<Self> {
        SockRef::from(stream).try_clone().map(Arc::new).map(Self)
    }

    /// Sets whether the connection is reset when it is closed. A reset loses unsent data.
    ///
    /// # Errors
    ///
    /// The kernel does not accept the option.
    pub fn set(&self, is_on: bool) -> io::Result<()> {
        self.0.set_linger(is_on.then_some(Duration::ZERO))
    }
}

/// A serving thread; dropping it closes the port and every connection.
pub struct ServingThread {
    address: SocketAddr,
    gate: PauseGate,
    thread: Option<JoinHandle<()>>,
}

impl ServingThread {
    /// Serves `address` with `handler` until `stop` is notified. An error of `handler`
    /// closes the connection without a response.
    ///
    /// # Errors
    ///
    /// The address cannot be listened on, or no thread can be started.
    pub fn start<F, B, E>(
        address: SocketAddr,
        stop: StopSignal,
        handler: impl Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    ) -> io::Result<Self>
    where
        F: Future<Output = Result<Response<B>, E>> + 'static,
        B: Body<Data = Bytes> + 'static,
        B::Error: Into<Box<dyn Error + Send + Sync>>,
        E: Into<Box<dyn Error + Send + Sync>> + 'static,
    {
        let listener = std::net::TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let gate = PauseGate::default();
        let paused = gate.clone();
        let thread = thread::Builder::new()
            .name("stand-in".to_owned())
            .spawn(move || serve(listener, &stop, &paused, &handler))?;
        Ok(Self {
            address,
            gate,
            thread: Some(thread),
        })
    }

    /// Closes the port and every connection, also while the thread is paused.
    pub fn stop(&self) {
        self.gate.end();
    }

    /// Stops the thread while `is_paused`; its port and connections stay open.
    pub fn set_paused(&self, is_paused: bool) {
        self.gate.set_closed(is_paused);
    }

    /// Address on which it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for ServingThread {
    fn drop(&mut self) {
        self.gate.end();
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            log::error!("the thread of a stub panicked");
        }
    }
}

fn serve<F, B, E>(
    listener: std::net::TcpListener,
    stopped: &Notify,
    paused: &PauseGate,
    handler: &(impl Fn(Request<Incoming>) -> F + Clone + Send + 'static),
) where
    F: Future<Output = Result<Response<B>, E>> + 'static,
    B: Body<Data = Bytes> + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
    E: Into<Box<dyn Error + Send + Sync>> + 'static,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(e) => {
            log::error!("cannot start the event loop of a stub: {e}");
            return;
        }
    };
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, async {
        let listener = match TcpListener::from_std(listener) {
            Ok(listener) => listener,
            Err(e) => {
                log::error!("a stub cannot listen: {e}");
                return;
            }
        };
        let accepting = async {
            loop {
                let (stream, peer) = match listener.accept().await {
                    Ok(accepted) => accepted,
                    Err(e) => {
                        log::warn!("a stub cannot accept a connection: {e}");
                        tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
                        continue;
                    }
                };
                let handler = handler.clone();
                let Ok(reset) = ResetSwitch::new(&stream) else {
                    log::error!("a stub cannot duplicate a socket");
                    continue;
                };
                let service = service_fn(move |mut request| {
                    request.extensions_mut().insert(PeerAddress(peer));
                    request.extensions_mut().insert(reset.clone());
                    handler(request)
                });
                tokio::task::spawn_local(async move {
                    let connection = http1::Builder::new();
                    let served = connection.serve_connection(TokioIo::new(stream), service);
                    if let Err(e) = served.await {
                        log::debug!("a connection to a stub failed: {e}");
                    }
                });
            }
        };
        tokio::select! {
            () = accepting => {}
            () = paused.block_while_closed() => {}
            () = stopped.notified() => {}
        }
    });
}
