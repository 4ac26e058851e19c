//! Bodies of answers to callers and to other VMs.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use thiserror::Error;

use crate::stream::StreamRelay;

/// Why an answer that had begun breaks off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(crate) enum RelayError {
    /// The server broke off and nobody could go on.
    #[error("the server broke off its answer")]
    Broken,
    /// The time of the request is over.
    #[error("the time of the request is over")]
    TimedOut,
}

/// A body.
pub(crate) enum ReplyBody {
    /// Known whole.
    Whole(Full<Bytes>),
    /// Passed on as it comes.
    Stream(Box<StreamRelay>),
}

impl ReplyBody {
    /// A body that is known whole.
    pub(crate) fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Full::new(bytes.into()))
    }
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = RelayError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, RelayError>>> {
        match self.get_mut() {
            Self::Whole(full) => match Pin::new(full).poll_frame(cx) {
                Poll::Ready(Some(Ok(frame))) => Poll::Ready(Some(Ok(frame))),
                Poll::Ready(None) => Poll::Ready(None),
                Poll::Pending => Poll::Pending,
                Poll::Ready(Some(Err(never))) => match never {},
            },
            Self::Stream(relay) => relay.poll_next(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(full) => full.is_end_stream(),
            Self::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(full) => full.size_hint(),
            Self::Stream(_) => SizeHint::default(),
        }
    }
}
