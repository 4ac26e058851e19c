//! The listener, its limits and its graceful shutdown.

use std::convert::Infallible;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use onyxfall_held::HeldAccount;
use onyxfall_intake::{
    EVICTION_LIMIT, GuardedBody, PortConnections, ReceiveBuffers, ServedRequest, discard_body,
};
use onyxfall_types::ByteSize;
use tokio::runtime::{Handle, Runtime};
use tokio::sync::{mpsc, oneshot, watch};

use crate::cancel::CancelToken;
use crate::reply::{CancelOnDrop, HttpReply, ReplyBody, Responder, ServerBody, StreamBody};
use crate::request::HttpRequest;

/// Stack size of a handler thread.
const HANDLER_STACK: usize = 256 * 1024;
/// Delay after a failed accept (out of file descriptors), to avoid a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Bytes of the body of a refused request that are read and discarded.
const MAX_DISCARDED: usize = 64 * 1024;
/// Smallest buffer that `hyper` accepts for a request head.
const MIN_HEAD_BYTES: usize = 8192;

/// Limits of a server; exceeding one yields an error response or closes the connection.
#[derive(Clone)]
pub struct HttpLimits {
    /// Name of the port in logs.
    pub port: &'static str,
    /// Maximum number of open connections; further ones replace those that serve no request, or
    /// are closed on accept.
    pub max_connections: usize,
    /// Sizes of the receive buffers of connections; without them, the kernel chooses.
    pub buffers: Option<ReceiveBuffers>,
    /// Maximum number of concurrent requests; further ones get [`Self::overload_reply`].
    pub max_requests: usize,
    /// Account of the bytes of request bodies, whose bound applies to all servers that share it.
    pub held: HeldAccount,
    /// Maximum size of a request head.
    pub max_head: ByteSize,
    /// Timeout for a request head, including the idle time between requests.
    pub head_timeout: Duration,
    /// Timeout for a request body.
    pub body_timeout: Duration,
    /// Time for which a caller may stop reading a streamed response.
    pub stall_timeout: Duration,
    /// Threads that drive connections.
    pub io_threads: usize,
    /// Response when `max_requests` are being handled.
    pub overload_reply: fn() -> HttpReply,
}

impl Default for HttpLimits {
    fn default() -> Self {
        Self {
            port: "http",
            max_connections: 4096,
            buffers: None,
            max_requests: 1024,
            held: HeldAccount::default(),
            max_head: ByteSize::new(16 * 1024),
            head_timeout: Duration::from_mins(1),
            body_timeout: Duration::from_secs(30),
            stall_timeout: Duration::from_secs(30),
            io_threads: 2,
            overload_reply: default_overload,
        }
    }
}

fn default_overload() -> HttpReply {
    HttpReply::full(503, "text/plain", "too many requests at once\n")
        .with_header("retry-after", "1")
}

type HandlerFn = dyn Fn(HttpRequest, Responder) + Send + Sync;

struct ServerShared {
    limits: HttpLimits,
    handler: Box<HandlerFn>,
    handle: Handle,
    connections: PortConnections,
    requests: AtomicUsize,
}

/// A listening server.
pub struct HttpServer {
    address: SocketAddr,
    shared: Arc<ServerShared>,
    shutdown_signal: watch::Sender<bool>,
    done: Option<oneshot::Receiver<()>>,
    runtime: Option<Runtime>,
}

impl HttpServer {
    /// Serves `listener` with `handler` until [`Self::shutdown`] or drop.
    ///
    /// # Errors
    ///
    /// The runtime or the listener could not be set up.
    ///
    /// ```
    /// use onyxfall_http::{HttpLimits, HttpReply, HttpServer};
    /// let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    /// let server = HttpServer::start(listener, HttpLimits::default(), |_request, responder| {
    ///     let _ = responder.reply(HttpReply::full(200, "text/plain", "hello"));
    /// })
    /// .unwrap();
    /// assert_ne!(server.address().port(), 0);
    /// ```
    pub fn start(
        listener: TcpListener,
        limits: HttpLimits,
        handler: impl Fn(HttpRequest, Responder) + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let address = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(limits.io_threads)
            .thread_name("http-io")
            .enable_all()
            .build()?;
        let shared = Arc::new(ServerShared {
            connections: PortConnections::new(limits.port),
            limits,
            handler: Box::new(handler),
            handle: runtime.handle().clone(),
            requests: AtomicUsize::new(0),
        });
        let listener = {
            let _guard = runtime.enter();
            tokio::net::TcpListener::from_std(listener)?
        };
        let (shutdown_signal, shutdown) = watch::channel(false);
        let (done_sender, done) = oneshot::channel();
        let accept_shared = Arc::clone(&shared);
        runtime.spawn(async move {
            accept_loop(listener, accept_shared, shutdown).await;
            let _ = done_sender.send(());
        });
        Ok(Self {
            address,
            shared,
            shutdown_signal,
            done: Some(done),
            runtime: Some(runtime),
        })
    }

    /// Address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of requests that are being handled.
    pub fn open_requests(&self) -> usize {
        self.shared.requests.load(Ordering::SeqCst)
    }

    /// Closes the listener, lets open responses finish for at most `bound`, and returns the
    /// number of requests that were cut off.
    pub fn shutdown(mut self, bound: Duration) -> usize {
        let _ = self.shutdown_signal.send(true);
        if let (Some(done), Some(runtime)) = (self.done.take(), &self.runtime) {
            let ended = runtime.block_on(async { tokio::time::timeout(bound, done).await });
            if ended.is_ok() {
                // Every connection has ended, so no response was cut off, even if a handler
                // has not returned yet.
                return 0;
            }
        }
        self.open_requests()
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

async fn accept_loop(
    listener: tokio::net::TcpListener,
    shared: Arc<ServerShared>,
    mut shutdown: watch::Receiver<bool>,
) {
    let (alive, mut ended) = mpsc::channel(1);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = shutdown.changed() => break,
        };
        match accepted {
            Ok((stream, _)) => serve_connection(stream, &shared, &shutdown, alive.clone()),
            Err(e) => {
                log::warn!("accept failed: {e}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    drop(listener);
    drop(alive);
    // Returns when every connection has dropped its sender.
    let _: Option<Never> = ended.recv().await;
}

/// A message that is never sent.
enum Never {}

fn serve_connection(
    stream: tokio::net::TcpStream,
    shared: &Arc<ServerShared>,
    shutdown: &watch::Receiver<bool>,
    alive: mpsc::Sender<Never>,
) {
    let Some(open) = shared.connections.open(shared.limits.max_connections) else {
        // Uploads that have taken long give way, and their connections end.
        shared.limits.held.demand_room();
        return;
    };
    let _ = stream.set_nodelay(true);
    if let Some(buffers) = shared.limits.buffers {
        buffers.enlarge(&stream, shared.connections.count());
    }
    let open = Arc::new(open);
    let (service_shared, serving) = (Arc::clone(shared), Arc::clone(&open));
    let service = service_fn(move |request| {
        let shared = Arc::clone(&service_shared);
        let served = serving.serve_request();
        async move { Ok::<_, Infallible>(respond_guarded(request, shared, served).await) }
    });
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(shared.limits.head_timeout)
        .max_buf_size(shared.limits.max_head.as_usize().max(MIN_HEAD_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut shutdown = shutdown.clone();
    tokio::spawn(async move {
        let _alive = alive;
        let ended = tokio::select! {
            biased;
            has_served = open.wait_eviction() => {
                if !has_served {
                    return;
                }
                Pin::new(&mut connection).graceful_shutdown();
                let closing = tokio::time::timeout(EVICTION_LIMIT, &mut connection);
                closing.await.unwrap_or(Ok(()))
            }
            () = wait_for_shutdown(&mut shutdown) => {
                Pin::new(&mut connection).graceful_shutdown();
                (&mut connection).await
            }
            ended = &mut connection => ended,
        };
        if let Err(e) = ended {
            log::debug!("connection ended: {e}");
        }
    });
}

async fn wait_for_shutdown(shutdown: &mut watch::Receiver<bool>) {
    // An error tells that the server is gone.
    let _ = shutdown.wait_for(|is_asked| *is_asked).await;
}

type GuardedReply = Response<GuardedBody<ServerBody, Option<ServedRequest>>>;

/// Responds to a request. Its connection does not give way to others until the last byte.
async fn respond_guarded(
    request: Request<Incoming>,
    shared: Arc<ServerShared>,
    served: Option<ServedRequest>,
) -> GuardedReply {
    let response = if served.is_some() {
        respond(request, shared).await
    } else {
        into_response((shared.limits.overload_reply)(), None)
    };
    response.map(|body| GuardedBody::new(body, served))
}

async fn respond(request: Request<Incoming>, shared: Arc<ServerShared>) -> Response<ServerBody> {
    let open = RequestGuard::new(&shared);
    if open.count > shared.limits.max_requests {
        // Uploads that have taken long give way to the next requests.
        shared.limits.held.demand_room();
        shared
            .handle
            .spawn(discard_body(request.into_body(), MAX_DISCARDED));
        return into_response((shared.limits.overload_reply)(), None);
    }
    let cancel = CancelToken::new();
    let mut guard = CancelOnDrop::new(cancel.clone());
    let (sender, receiver) = oneshot::channel();
    let (head, body) = request.into_parts();
    let request = HttpRequest {
        head,
        cancel,
        body: Some(body),
        handle: shared.handle.clone(),
        held: shared.limits.held.clone(),
        body_timeout: shared.limits.body_timeout,
    };
    let stall_timeout = shared.limits.stall_timeout;
    let responder = Responder {
        sender,
        handle: shared.handle.clone(),
        stall_timeout,
    };
    let spawned = std::thread::Builder::new()
        .name("request".to_owned())
        .stack_size(HANDLER_STACK)
        .spawn(move || {
            let shared = Arc::clone(open.shared());
            (shared.handler)(request, responder);
            drop(open);
        });
    if let Err(e) = spawned {
        log::error!("cannot start a thread for a request: {e}");
        guard.disarm();
        return into_response((shared.limits.overload_reply)(), None);
    }
    match receiver.await {
        Ok((reply, None)) => {
            guard.disarm();
            into_response(reply, None)
        }
        Ok((reply, Some(chunks))) => {
            let body = ServerBody::Stream(StreamBody::new(chunks, guard));
            into_response(reply, Some(body))
        }
        Err(_) => {
            guard.disarm();
            let reply = HttpReply::full(500, "text/plain", "the handler gave no answer\n");
            into_response(reply.with_header("onyxfall-verdict", "may-have-run"), None)
        }
    }
}

fn into_response(reply: HttpReply, stream: Option<ServerBody>) -> Response<ServerBody> {
    let body = match (reply.body, stream) {
        (_, Some(stream)) => stream,
        (ReplyBody::Full(bytes), None) => ServerBody::Full(Some(bytes)),
        (ReplyBody::Stream, None) => ServerBody::Full(None),
    };
    let mut response = Response::new(body);
    *response.status_mut() = reply.status;
    *response.headers_mut() = reply.headers;
    response
}

/// Counts a request as open until dropped.
struct RequestGuard {
    shared: Arc<ServerShared>,
    count: usize,
}

impl RequestGuard {
    fn new(shared: &Arc<ServerShared>) -> Self {
        let count = shared.requests.fetch_add(1, Ordering::SeqCst) + 1;
        Self {
            shared: Arc::clone(shared),
            count,
        }
    }

    fn shared(&self) -> &Arc<ServerShared> {
        &self.shared
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.shared.requests.fetch_sub(1, Ordering::SeqCst);
    }
}
