//! A connection to a caller that ends when the caller reads nothing while bytes wait for it.
//!
//! Only a blocked write counts: a caller whose next event has not come has no bytes waiting.
//! The timer is polled by the connection's own task, and only while a write is blocked.
//!
//! The kernel ends a connection after the same time if the caller is unreachable or keeps its
//! receive window closed, which it sees also while no write is blocked: its buffer may hold a whole
//! response. That end is reported in the same way.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use hyper::rt::{Read, ReadBufCursor, Write};
use tokio::time::Sleep;

/// How long a caller may take none of the bytes that wait for it.
pub(crate) const STALL_LIMIT: Duration = Duration::from_secs(10);

/// What ended a stalled connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StallEnd {
    /// The write was blocked for [`STALL_LIMIT`].
    Limit,
    /// The kernel timed out the connection.
    Kernel,
}

impl StallEnd {
    /// Name in logs.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Limit => "limit",
            Self::Kernel => "kernel",
        }
    }
}

/// A connection that ended while bytes waited for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct StalledWrite {
    /// Time since the caller last took bytes.
    pub(crate) waited: Duration,
    /// What ended the connection.
    pub(crate) end: StallEnd,
}

/// A connection to a caller. Calls `report` once if it ends because the caller is stalled.
pub(crate) struct CallerStream<T, F> {
    inner: T,
    report: F,
    /// Wakes the task of the connection at the limit, while a write is blocked.
    timer: Option<Pin<Box<Sleep>>>,
}

impl<T, F: Fn(StalledWrite)> CallerStream<T, F> {
    pub(crate) fn new(inner: T, report: F) -> Self {
        Self {
            inner,
            report,
            timer: None,
        }
    }

    /// Returns the connection without the limit.
    pub(crate) fn into_inner(self) -> T {
        self.inner
    }

    /// Checks the result of a write, and turns a blocked write past the limit into an error.
    fn check_write(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        match written {
            Poll::Pending => {
                if !self.is_past_limit(cx) {
                    return Poll::Pending;
                }
                self.report_stall(StallEnd::Limit);
                Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
            }
            Poll::Ready(Ok(bytes)) => {
                self.timer = None;
                Poll::Ready(Ok(bytes))
            }
            Poll::Ready(Err(e)) => Poll::Ready(Err(self.check_error(e))),
        }
    }

    fn is_past_limit(&mut self, cx: &mut Context<'_>) -> bool {
        let timer = &mut self.timer;
        let timer = timer.get_or_insert_with(|| Box::pin(tokio::time::sleep(STALL_LIMIT)));
        timer.as_mut().poll(cx).is_ready()
    }

    /// Reports a time-out of the kernel while a write is blocked.
    fn check_error(&mut self, error: io::Error) -> io::Error {
        if error.kind() == io::ErrorKind::TimedOut {
            self.report_stall(StallEnd::Kernel);
        }
        error
    }

    fn report_stall(&mut self, end: StallEnd) {
        if let Some(timer) = self.timer.take() {
            let blocked_at = timer.deadline() - STALL_LIMIT;
            let waited = blocked_at.elapsed();
            (self.report)(StalledWrite { waited, end });
        }
    }
}

impl<T: Read + Unpin, F: Fn(StalledWrite) + Unpin> Read for CallerStream<T, F> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let read = Pin::new(&mut this.inner).poll_read(cx, buffer);
        read.map_err(|e| this.check_error(e))
    }
}

impl<T: Write + Unpin, F: Fn(StalledWrite) + Unpin> Write for CallerStream<T, F> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let written = Pin::new(&mut this.inner).poll_write(cx, bytes);
        this.check_write(cx, written)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().inner).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().inner).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let written = Pin::new(&mut this.inner).poll_write_vectored(cx, slices);
        this.check_write(cx, written)
    }
}
