//! The time limit of a request head, apart from the time for which a connection may be idle.
//!
//! `hyper` limits both by one timer. Here a timer starts with the first bytes that arrive while no
//! request is served. Invariant: it never runs while the connection is idle or a request is served,
//! so that it ends neither an honest caller's idle connection nor a slow body.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Sleep;

#[derive(Debug, Default)]
struct RequestCounts {
    begun: AtomicU64,
    ended: AtomicU64,
}

/// Tells a [`TimedStream`] when requests are served on it. Clones share the stream.
#[derive(Clone, Debug, Default)]
pub struct RequestTracker(Arc<RequestCounts>);

impl RequestTracker {
    /// Notes that the head of a request is complete. The request is served until the returned value
    /// and its clones are dropped.
    ///
    /// ```
    /// let tracker = onyxfall_intake::RequestTracker::default();
    /// let request = tracker.begin_request();
    /// assert!(tracker.is_serving());
    /// drop(request);
    /// assert!(!tracker.is_serving());
    /// ```
    pub fn begin_request(&self) -> TrackedRequest {
        self.0.begun.fetch_add(1, Ordering::Relaxed);
        TrackedRequest(Arc::new(RequestEnd(Arc::clone(&self.0))))
    }

    /// Whether a request is served.
    ///
    /// ```
    /// assert!(!onyxfall_intake::RequestTracker::default().is_serving());
    /// ```
    pub fn is_serving(&self) -> bool {
        self.begun() > self.0.ended.load(Ordering::Relaxed)
    }

    fn begun(&self) -> u64 {
        self.0.begun.load(Ordering::Relaxed)
    }
}

#[derive(Debug)]
struct RequestEnd(Arc<RequestCounts>);

impl Drop for RequestEnd {
    fn drop(&mut self) {
        self.0.ended.fetch_add(1, Ordering::Relaxed);
    }
}

/// A request that is served, or whose body is still being read.
#[derive(Clone, Debug)]
pub struct TrackedRequest(#[expect(dead_code, reason = "held for its drop")] Arc<RequestEnd>);

/// A connection that fails with [`io::ErrorKind::TimedOut`] when a request head takes too long.
///
/// ```
/// use std::time::Duration;
/// use onyxfall_intake::{RequestTracker, TimedStream};
/// use tokio::io::{AsyncReadExt, AsyncWriteExt};
/// let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
/// runtime.block_on(async {
///     let (mut caller, stream) = tokio::io::duplex(64);
///     let limit = Duration::from_millis(10);
///     let mut stream = TimedStream::new(stream, limit, RequestTracker::default());
///     caller.write_all(b"GET").await.unwrap();
///     let mut head = Vec::new();
///     assert!(stream.read_to_end(&mut head).await.is_err());
/// });
/// ```
#[derive(Debug)]
pub struct TimedStream<T> {
    inner: T,
    limit: Duration,
    tracker: RequestTracker,
    /// Requests that had begun when the first bytes of a head arrived; `None` before these.
    head: Option<u64>,
    timer: Option<Pin<Box<Sleep>>>,
    has_timed_out: bool,
}

impl<T> TimedStream<T> {
    /// Limits the time between the first byte and the last one of each head on `inner` to `limit`.
    ///
    /// ```
    /// use onyxfall_intake::{RequestTracker, TimedStream};
    /// let stream = TimedStream::new((), std::time::Duration::MAX, RequestTracker::default());
    /// stream.into_inner();
    /// ```
    pub fn new(inner: T, limit: Duration, tracker: RequestTracker) -> Self {
        Self {
            inner,
            limit,
            tracker,
            head: None,
            timer: None,
            has_timed_out: false,
        }
    }

    /// Whether the connection failed because a head took too long.
    ///
    /// ```
    /// use onyxfall_intake::{RequestTracker, TimedStream};
    /// let stream = TimedStream::new((), std::time::Duration::MAX, RequestTracker::default());
    /// assert!(!stream.has_timed_out());
    /// ```
    pub fn has_timed_out(&self) -> bool {
        self.has_timed_out
    }

    /// The connection without the limit.
    ///
    /// ```
    /// use onyxfall_intake::{RequestTracker, TimedStream};
    /// let stream = TimedStream::new(5, std::time::Duration::MAX, RequestTracker::default());
    /// assert_eq!(stream.get_ref(), &5);
    /// ```
    pub fn get_ref(&self) -> &T {
        &self.inner
    }

    /// Returns the connection without the limit.
    ///
    /// ```
    /// use onyxfall_intake::{RequestTracker, TimedStream};
    /// let stream = TimedStream::new(5, std::time::Duration::MAX, RequestTracker::default());
    /// assert_eq!(stream.into_inner(), 5);
    /// ```
    pub fn into_inner(self) -> T {
        self.inner
    }

    /// Notes that bytes have arrived.
    fn note_bytes(&mut self) {
        let begun = Some(self.tracker.begun());
        if self.head != begun && !self.tracker.is_serving() {
            self.head = begun;
            self.timer = None;
        }
    }

    /// Whether a head that has begun has taken too long. Wakes the task when it has.
    fn is_late(&mut self, cx: &mut Context<'_>) -> bool {
        if self.head != Some(self.tracker.begun()) {
            self.head = None;
            self.timer = None;
            return false;
        }
        let limit = self.limit;
        let timer = &mut self.timer;
        let timer = timer.get_or_insert_with(|| Box::pin(tokio::time::sleep(limit)));
        self.has_timed_out = timer.as_mut().poll(cx).is_ready();
        self.has_timed_out
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for TimedStream<T> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let filled = buffer.filled().len();
        let read = Pin::new(&mut this.inner).poll_read(cx, buffer);
        match read {
            Poll::Pending if this.is_late(cx) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Ready(Ok(())) if buffer.filled().len() > filled => {
                this.note_bytes();
                read
            }
            read => read,
        }
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for TimedStream<T> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().inner).poll_write(cx, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().inner).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().inner).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().inner).poll_write_vectored(cx, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}
