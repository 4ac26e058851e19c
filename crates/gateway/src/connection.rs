//! Outgoing HTTP/1.1 connections and how they are dialled.

use std::cell::Cell;
use std::error::Error as _;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::ext::on_informational;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use onyxfall_framing::{MalformedHead, begins_response, response_framing};
use socket2::{SockRef, Socket, TcpKeepalive};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::Notify;
use tokio::task::JoinHandle;

/// Time after which unacknowledged data or keep-alive probes break the connection, so that a
/// peer without power or behind a network cut is detected within the goal of a request. Data is
/// retransmitted up to 1.4 s after it was sent, so that a peer may be silent for a second. Linux
/// also ends a connection whose peer has kept its receive window closed for 1.8 s, and one whose
/// only probe was lost, 2 s after the last byte: see `docs/design/suspicion.md`.
pub(crate) const USER_TIMEOUT: Duration = Duration::from_millis(1500);
/// The same between VMs for runs that are lost with their connection, so that they outlive a network
/// cut of 3 s. The roster takes another VM for gone much earlier, and new requests go elsewhere.
pub(crate) const VM_USER_TIMEOUT: Duration = Duration::from_secs(5);
/// Idle time before the first keep-alive probe; the shortest that the kernel supports.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Number of unacknowledged probes that breaks a connection where the kernel does not apply the
/// user timeout to probes. Linux does, and ignores the number then.
const KEEPALIVE_PROBES: u32 = 2;
/// Longest time to establish a connection within the region, which takes one to three
/// milliseconds. The kernel retransmits a lost SYN only after a second, which is too late
/// for any goal, while another server can be tried. The margin covers a VM that is
/// throttled for a tenth of a second because its CPU quota is used up.
pub(crate) const LOCAL_DIAL_LIMIT: Duration = Duration::from_millis(250);
/// Dial limit without early dialling: long enough for the kernel's first SYN
/// retransmission.
pub(crate) const LATE_DIAL_LIMIT: Duration = Duration::from_millis(1200);

/// Interim responses to one request after which its connection is given up. Servers send one or
/// two, if any.
const MAX_INTERIM: u32 = 16;

#[cfg(test)]
mod tests;

/// Aborts a task when dropped, and closes the socket that the task owns.
#[derive(Debug)]
struct AbortGuard(JoinHandle<()>);

impl Drop for AbortGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A connection that serves one request at a time. Dropping it closes the connection, which
/// cancels the request at the other side.
#[derive(Debug)]
pub(crate) struct HttpConnection {
    sender: SendRequest<Full<Bytes>>,
    _task: AbortGuard,
    /// Second handle to the socket of a connection to another VM.
    socket: Option<Socket>,
    /// Whether the connection has ended with bytes after a response that begin no other one.
    has_surplus: Rc<Cell<bool>>,
}

/// Why a request got no response head.
#[derive(Debug)]
pub(crate) enum SendError {
    /// No byte of the request was written.
    Unsent,
    /// The request may have been received.
    Broken(hyper::Error),
    /// The request may have been received; interim responses come without end.
    Flooded,
    /// The request may have been received; the head does not tell what the body is.
    Malformed(MalformedHead),
}

/// Whether the kernel has timed out a connection, which proves nothing of what its peer does.
pub(crate) fn is_kernel_timeout(error: &hyper::Error) -> bool {
    let cause = error.source().and_then(|cause| cause.downcast_ref());
    cause.is_some_and(|cause: &io::Error| cause.kind() == io::ErrorKind::TimedOut)
}

/// Sets the socket options that detect an unresponsive peer.
pub(crate) fn set_socket_options(stream: &TcpStream, user_timeout: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_IDLE)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(user_timeout))
}

/// How to dial a connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DialPlan {
    /// Longest time to establish the connection.
    pub(crate) limit: Duration,
    /// Local address to bind; `None` lets the system choose.
    pub(crate) source: Option<IpAddr>,
}

/// Opens a TCP connection.
pub(crate) async fn dial(address: SocketAddr, plan: DialPlan) -> io::Result<TcpStream> {
    let connecting = connect(address, plan.source);
    let dialled = tokio::time::timeout(plan.limit, connecting).await;
    let stream = dialled.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    set_socket_options(&stream, USER_TIMEOUT)?;
    Ok(stream)
}

async fn connect(address: SocketAddr, source: Option<IpAddr>) -> io::Result<TcpStream> {
    let Some(source) = source else {
        return TcpStream::connect(address).await;
    };
    let socket = match source {
        IpAddr::V4(_) => TcpSocket::new_v4()?,
        IpAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.bind(SocketAddr::new(source, 0))?;
    socket.connect(address).await
}

impl HttpConnection {
    /// Opens a connection.
    pub(crate) async fn open(address: SocketAddr, plan: DialPlan) -> io::Result<Self> {
        let stream = dial(address, plan).await?;
        Self::start(address, stream, None).await
    }

    /// Opens a connection to another VM, whose user timeout can be set for each request.
    pub(crate) async fn open_to_vm(address: SocketAddr, plan: DialPlan) -> io::Result<Self> {
        let stream = dial(address, plan).await?;
        let socket = SockRef::from(&stream).try_clone()?;
        Self::start(address, stream, Some(socket)).await
    }

    async fn start(
        address: SocketAddr,
        stream: TcpStream,
        socket: Option<Socket>,
    ) -> io::Result<Self> {
        let (sender, mut connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        let has_surplus = Rc::new(Cell::new(false));
        let surplus_seen = Rc::clone(&has_surplus);
        let task = tokio::task::spawn_local(async move {
            if let Err(e) = (&mut connection).await {
                log::debug!("connection to {address} ended: {e}");
            }
            let unread = connection.into_parts().read_buf;
            surplus_seen.set(!unread.is_empty() && !begins_response(&unread));
        });
        Ok(Self {
            sender,
            _task: AbortGuard(task),
            socket,
            has_surplus,
        })
    }

    /// Whether bytes have arrived after a whole response that begin no other one, which shows that
    /// its length was wrong. The connection has ended then.
    pub(crate) fn has_surplus(&self) -> bool {
        self.has_surplus.get()
    }

    /// Sets the user timeout of a connection to another VM; that of other connections stays.
    pub(crate) fn set_user_timeout(&self, user_timeout: Duration) {
        let set = |socket: &Socket| socket.set_tcp_user_timeout(Some(user_timeout));
        if let Some(Err(e)) = self.socket.as_ref().map(set) {
            log::debug!("cannot set the user timeout: {e}");
        }
    }

    /// Whether the next request can be sent at once.
    pub(crate) fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Whether either side has closed the connection.
    pub(crate) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends a request and waits for the head of the response.
    pub(crate) async fn send(
        &mut self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        let flooded = limit_interim(&mut request);
        let sent = tokio::select! {
            sent = self.sender.try_send_request(request) => sent,
            () = flooded.notified() => return Err(SendError::Flooded),
        };
        let response = sent.map_err(|mut e| match e.take_message() {
            Some(_) => SendError::Unsent,
            None => SendError::Broken(e.into_error()),
        })?;
        response_framing(response.version(), response.status(), response.headers())
            .map_err(SendError::Malformed)?;
        Ok(response)
    }
}

/// Notifies once the other side has sent more than [`MAX_INTERIM`] interim responses to a request.
/// They end no response, and may come without end.
fn limit_interim(request: &mut Request<Full<Bytes>>) -> Arc<Notify> {
    let (flooded, count) = (Arc::new(Notify::new()), AtomicU32::new(0));
    let notify = Arc::clone(&flooded);
    on_informational(request, move |_| {
        if count.fetch_add(1, Ordering::Relaxed) == MAX_INTERIM {
            notify.notify_one();
        }
    });
    flooded
}
