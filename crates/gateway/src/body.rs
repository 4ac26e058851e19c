//! Bodies of responses for callers and other VMs.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http::response::Parts;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use onyxfall_events::{BodyFraming, MAX_EVENT_BYTES, NumberedBody};
use onyxfall_framing::response_framing;
use thiserror::Error;

use crate::stream::StreamRelay;

/// Why a response ended after its head was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(crate) enum RelayError {
    /// The connection to the server was lost and no other server resumed the stream.
    #[error("the connection to the server was lost during the response")]
    Broken,
    /// The deadline of the request has passed.
    #[error("the deadline of the request has passed")]
    TimedOut,
    /// An event is too long to be held until it is complete.
    #[error("an event of the response is longer than {MAX_EVENT_BYTES} bytes")]
    EventTooLong,
}

/// How the body of a response with the given head is delimited.
pub(crate) fn body_framing(head: &Parts) -> BodyFraming {
    match response_framing(head.version, head.status, &head.headers) {
        Ok(framing) if framing.is_delimited() => BodyFraming::Delimited,
        Ok(_) | Err(_) => BodyFraming::UntilClose,
    }
}

/// The body of a response.
pub(crate) enum ReplyBody {
    /// A body held whole in memory.
    Whole(Full<Bytes>),
    /// A stream forwarded as it arrives.
    Stream(Box<StreamRelay>),
    /// A stream forwarded to another VM in numbered frames.
    Numbered(Box<NumberedBody<Self>>),
}

impl ReplyBody {
    /// Creates a body from `bytes`.
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
            Self::Numbered(stream) => Pin::new(stream.as_mut()).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(full) => full.is_end_stream(),
            Self::Stream(_) | Self::Numbered(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(full) => full.size_hint(),
            Self::Stream(_) | Self::Numbered(_) => SizeHint::default(),
        }
    }
}
