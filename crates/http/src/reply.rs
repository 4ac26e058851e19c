//! Answers: whole, or streamed by the handler's thread.

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

/// Chunks that may wait for a slow caller before the handler blocks.
const STREAM_DEPTH: usize = 16;
/// Time for the last bytes to leave before a broken answer is cut.
const BREAK_PAUSE: Duration = Duration::from_millis(50);

/// Status, headers and body of an answer.
pub struct HttpReply {
    /// Status code.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: ReplyBody,
}

/// Body of an answer.
pub enum ReplyBody {
    /// The whole body.
    Full(Bytes),
    /// Chunks sent by the handler afterwards.
    Stream,
}

impl HttpReply {
    /// A whole answer.
    pub fn full(status: u16, content_type: &str, body: impl Into<Bytes>) -> Self {
        let reply = Self {
            status: StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR),
            headers: HeaderMap::new(),
            body: ReplyBody::Full(body.into()),
        };
        reply.with_header("content-type", content_type)
    }

    /// A streamed answer.
    pub fn stream(status: u16, content_type: &str) -> Self {
        let mut reply = Self::full(status, content_type, Bytes::new());
        reply.body = ReplyBody::Stream;
        reply
    }

    /// Adds a header; a value that no header can hold is left out.
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

/// The caller is gone, or too slow for the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerGone;

/// Answers one request; dropped without an answer it yields a 500.
pub struct Responder {
    pub(crate) sender: oneshot::Sender<(HttpReply, Option<mpsc::Receiver<Chunk>>)>,
    pub(crate) handle: Handle,
    pub(crate) stall_timeout: Duration,
}

impl Responder {
    /// Sends a whole answer.
    ///
    /// # Errors
    ///
    /// The caller is gone.
    pub fn reply(self, reply: HttpReply) -> Result<(), CallerGone> {
        debug_assert!(matches!(reply.body, ReplyBody::Full(_)));
        self.sender.send((reply, None)).map_err(|_| CallerGone)
    }

    /// Sends status and headers and returns where chunks go.
    ///
    /// # Errors
    ///
    /// The caller is gone.
    pub fn stream(self, reply: HttpReply) -> Result<StreamSender, CallerGone> {
        debug_assert!(matches!(reply.body, ReplyBody::Stream));
        let (sender, receiver) = mpsc::channel(STREAM_DEPTH);
        self.sender
            .send((reply, Some(receiver)))
            .map_err(|_| CallerGone)?;
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

/// Sends the chunks of a streamed answer.
///
/// Dropping it without [`Self::finish`] breaks the body.
pub struct StreamSender {
    sender: mpsc::Sender<Chunk>,
    handle: Handle,
    stall_timeout: Duration,
}

impl StreamSender {
    /// Sends a chunk; blocks while the caller is slow, up to the stall limit.
    ///
    /// # Errors
    ///
    /// The caller is gone or stalled.
    pub fn send(&self, bytes: Bytes) -> Result<(), CallerGone> {
        self.push(Chunk::Data(bytes))
    }

    /// Ends the body as whole.
    ///
    /// # Errors
    ///
    /// The caller is gone or stalled.
    pub fn finish(self) -> Result<(), CallerGone> {
        self.push(Chunk::Finish)
    }

    fn push(&self, chunk: Chunk) -> Result<(), CallerGone> {
        let Err(full) = self.sender.try_send(chunk) else {
            return Ok(());
        };
        let chunk = match full {
            mpsc::error::TrySendError::Closed(_) => return Err(CallerGone),
            mpsc::error::TrySendError::Full(chunk) => chunk,
        };
        self.handle
            .block_on(self.sender.send_timeout(chunk, self.stall_timeout))
            .map_err(|_| CallerGone)
    }
}

/// Cancels its token unless the whole answer left.
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

/// A streamed body on its way to the caller.
pub(crate) struct StreamBody {
    receiver: mpsc::Receiver<Chunk>,
    guard: CancelOnDrop,
    state: StreamState,
}

/// How far a streamed body has come.
enum StreamState {
    Open,
    /// Broken off: what was sent before is given time to leave, since `hyper`
    /// drops its buffer when a body fails.
    Breaking(Pin<Box<Sleep>>),
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
                StreamState::Breaking(pause) => {
                    ready!(pause.as_mut().poll(cx));
                    self.state = StreamState::Ended;
                    return Poll::Ready(Some(Err(io::Error::other("answer broke off"))));
                }
                StreamState::Open => match ready!(self.receiver.poll_recv(cx)) {
                    Some(Chunk::Data(bytes)) => return Poll::Ready(Some(Ok(Frame::data(bytes)))),
                    Some(Chunk::Finish) => {
                        self.state = StreamState::Ended;
                        self.guard.disarm();
                    }
                    None => {
                        let pause = Box::pin(tokio::time::sleep(BREAK_PAUSE));
                        self.state = StreamState::Breaking(pause);
                    }
                },
            }
        }
    }
}

/// The body handed to `hyper`.
pub(crate) enum EdgeBody {
    Full(Option<Bytes>),
    Stream(StreamBody),
}

impl Body for EdgeBody {
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
