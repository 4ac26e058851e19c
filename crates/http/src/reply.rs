//! Responses, sent whole or streamed by the thread of the handler.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use hyper::body::{Body, Frame};
use tokio::runtime::Handle;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Sleep;

use crate::cancel::CancelToken;

/// Number of chunks that are queued for a slow caller before the handler blocks.
const STREAM_DEPTH: usize = 16;
/// Time to send the last bytes of an incomplete response before the connection is closed.
const ABORT_DELAY: Duration = Duration::from_millis(50);

/// Status, headers and body of a response.
pub struct HttpReply {
    /// Status code.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: ReplyBody,
}

/// Body of a response.
pub enum ReplyBody {
    /// The whole body.
    Full(Bytes),
    /// Chunks that the handler sends afterwards.
    Stream,
}

impl HttpReply {
    /// Creates a response with a whole body.
    pub fn full(status: u16, content_type: &str, body: impl Into<Bytes>) -> Self {
        let reply = Self {
            status: StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR),
            headers: HeaderMap::new(),
            body: ReplyBody::Full(body.into()),
        };
        reply.with_header("content-type", content_type)
    }

    /// Creates a response with a streamed body.
    pub fn stream(status: u16, content_type: &str) -> Self {
        let mut reply = Self::full(status, content_type, Bytes::new());
        reply.body = ReplyBody::Stream;
        reply
    }

    /// Adds a header; an invalid value is ignored.
    #[must_use]
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        let name = HeaderName::try_from(name);
        let value = HeaderValue::try_from(value);
        debug_assert!(name.is_ok(), "header names are constants");
        if let (Ok(name), Ok(value)) = (name, value) {
            self.headers.insert(name, value);
        }
        self
    }
}

/// The caller has disconnected, or has exceeded the stall timeout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerDisconnected;

/// Responds to one request; if it is dropped unused, the response is a 500.
pub struct Responder {
    pub(crate) sender: oneshot::Sender<(HttpReply, Option<mpsc::Receiver<Chunk>>)>,
    pub(crate) handle: Handle,
    pub(crate) stall_timeout: Duration,
}

impl Responder {
    /// Sends a response with a whole body.
    ///
    /// # Errors
    ///
    /// The caller has disconnected.
    pub fn reply(self, reply: HttpReply) -> Result<(), CallerDisconnected> {
        debug_assert!(matches!(reply.body, ReplyBody::Full(_)));
        self.sender
            .send((reply, None))
            .map_err(|_| CallerDisconnected)
    }

    /// Sends status and headers, and returns the sender of the chunks.
    ///
    /// # Errors
    ///
    /// The caller has disconnected.
    pub fn stream(self, reply: HttpReply) -> Result<StreamSender, CallerDisconnected> {
        debug_assert!(matches!(reply.body, ReplyBody::Stream));
        let (sender, receiver) = mpsc::channel(STREAM_DEPTH);
        self.sender
            .send((reply, Some(receiver)))
            .map_err(|_| CallerDisconnected)?;
        Ok(StreamSender {
            sender,
            handle: self.handle,
            stall_timeout: self.stall_timeout,
        })
    }
}

pub(crate) enum Chunk {
    Data(Bytes),
    Finish,
}

/// Sends the chunks of a streamed response.
///
/// If it is dropped without [`Self::finish`], the body is left incomplete.
pub struct StreamSender {
    sender: mpsc::Sender<Chunk>,
    handle: Handle,
    stall_timeout: Duration,
}

impl StreamSender {
    /// Sends a chunk; blocks while the caller is slow, up to the stall timeout.
    ///
    /// # Errors
    ///
    /// The caller has disconnected or stalled.
    pub fn send(&self, bytes: Bytes) -> Result<(), CallerDisconnected> {
        self.push(Chunk::Data(bytes))
    }

    /// Ends the body as complete.
    ///
    /// # Errors
    ///
    /// The caller has disconnected or stalled.
    pub fn finish(self) -> Result<(), CallerDisconnected> {
        self.push(Chunk::Finish)
    }

    fn push(&self, chunk: Chunk) -> Result<(), CallerDisconnected> {
        let Err(full) = self.sender.try_send(chunk) else {
            return Ok(());
        };
        let chunk = match full {
            mpsc::error::TrySendError::Closed(_) => return Err(CallerDisconnected),
            mpsc::error::TrySendError::Full(chunk) => chunk,
        };
        self.handle
            .block_on(self.sender.send_timeout(chunk, self.stall_timeout))
            .map_err(|_| CallerDisconnected)
    }
}

/// Cancels its token on drop, unless [`Self::disarm`] was called for a complete response.
pub(crate) struct CancelOnDrop {
    token: Option<CancelToken>,
}

impl CancelOnDrop {
    pub(crate) fn new(token: CancelToken) -> Self {
        Self { token: Some(token) }
    }

    pub(crate) fn disarm(&mut self) {
        self.token = None;
    }
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        if let Some(token) = self.token.take() {
            token.cancel();
        }
    }
}

/// A streamed body that is being sent to the caller.
pub(crate) struct StreamBody {
    receiver: mpsc::Receiver<Chunk>,
    guard: CancelOnDrop,
    state: StreamState,
}

/// Progress of a streamed body.
enum StreamState {
    Open,
    /// The handler ended without finishing. The error is delayed so that earlier chunks are
    /// sent, since `hyper` drops its buffer when a body fails.
    Aborting(Pin<Box<Sleep>>),
    Ended,
}

impl StreamBody {
    pub(crate) fn new(receiver: mpsc::Receiver<Chunk>, guard: CancelOnDrop) -> Self {
        Self {
            receiver,
            guard,
            state: StreamState::Open,
        }
    }

    fn poll_chunk(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        loop {
            match &mut self.state {
                StreamState::Ended => return Poll::Ready(None),
                StreamState::Aborting(delay) => {
                    ready!(delay.as_mut().poll(cx));
                    self.state = StreamState::Ended;
                    return Poll::Ready(Some(Err(io::Error::other("response body is incomplete"))));
                }
                StreamState::Open => match ready!(self.receiver.poll_recv(cx)) {
                    Some(Chunk::Data(bytes)) => return Poll::Ready(Some(Ok(Frame::data(bytes)))),
                    Some(Chunk::Finish) => {
                        self.state = StreamState::Ended;
                        self.guard.disarm();
                    }
                    None => {
                        let delay = Box::pin(tokio::time::sleep(ABORT_DELAY));
                        self.state = StreamState::Aborting(delay);
                    }
                },
            }
        }
    }
}

/// The response body that is passed to `hyper`.
pub(crate) enum ServerBody {
    Full(Option<Bytes>),
    Stream(StreamBody),
}

impl Body for ServerBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match &mut *self {
            Self::Full(bytes) => {
                let bytes = bytes.take().filter(|bytes| !bytes.is_empty());
                Poll::Ready(bytes.map(|bytes| Ok(Frame::data(bytes))))
            }
            Self::Stream(stream) => stream.poll_chunk(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Full(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Self::Stream(stream) => matches!(stream.state, StreamState::Ended),
        }
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        match self {
            Self::Full(bytes) => {
                hyper::body::SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            Self::Stream(_) => hyper::body::SizeHint::default(),
        }
    }
}
