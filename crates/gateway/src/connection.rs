//! One outgoing HTTP/1.1 connection, and how it is dialled.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::JoinHandle;

/// Sent bytes that stay unacknowledged this long break the connection, so that
/// a peer without power or behind a cut is found within a request's goal.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_millis(1500);
/// Rest after which an idle connection is probed; the least that the kernel has.
const PROBE_REST: Duration = Duration::from_secs(1);
/// Unanswered probes after which a connection breaks.
const PROBES: u32 = 2;
/// Longest time for a connection within the region to come up, which takes one to
/// three milliseconds: a lost opening packet is sent again by the kernel after a
/// second, which is too late for any goal, and another server can be tried. The
/// rest is for a VM whose share of the processor is used up for a tenth of a second.
pub(crate) const NEAR_DIAL_LIMIT: Duration = Duration::from_millis(250);
/// The same where early dialling is off: past the kernel's second opening packet.
pub(crate) const LATE_DIAL_LIMIT: Duration = Duration::from_millis(1200);

/// Ends a task when dropped, and with it the socket that the task owns.
#[derive(Debug)]
struct TaskGuard(JoinHandle<()>);

impl Drop for TaskGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A connection that serves one request at a time. Dropping it closes it, which
/// is how a request is cancelled at the other side.
#[derive(Debug)]
pub(crate) struct HttpConnection {
    sender: SendRequest<Full<Bytes>>,
    _task: TaskGuard,
}

/// Why a request brought no head of an answer.
#[derive(Debug)]
pub(crate) enum SendError {
    /// No byte of it was written.
    Unsent,
    /// It may have been received.
    Broken(hyper::Error),
}

/// Prepares a socket so that a silent peer is noticed.
pub(crate) fn watch_peer(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_REST)
        .with_interval(PROBE_REST)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT))
}

/// How a connection is dialled.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DialPlan {
    /// Longest time until it is up.
    pub(crate) limit: Duration,
    /// Address that it comes from; none if the system picks one.
    pub(crate) source: Option<IpAddr>,
}

/// Opens a TCP connection.
pub(crate) async fn dial(address: SocketAddr, plan: DialPlan) -> io::Result<TcpStream> {
    let connecting = connect(address, plan.source);
    let dialled = tokio::time::timeout(plan.limit, connecting).await;
    let stream = dialled.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    watch_peer(&stream)?;
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
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        let task = tokio::task::spawn_local(async move {
            if let Err(e) = connection.await {
                log::debug!("connection to {address} ended: {e}");
            }
        });
        Ok(Self {
            sender,
            _task: TaskGuard(task),
        })
    }

    /// Whether the next request can be sent at once.
    pub(crate) fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Whether either side has closed it.
    pub(crate) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends a request and waits for the head of the answer.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        let sent = self.sender.try_send_request(request).await;
        sent.map_err(|mut e| match e.take_message() {
            Some(_) => SendError::Unsent,
            None => SendError::Broken(e.into_error()),
        })
    }
}
