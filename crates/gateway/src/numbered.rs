//! Streams between VMs, in numbered frames: the VM of the caller forwards nothing that arrives
//! after lost bytes.
//!
//! The VM that forwards a request asks for numbered frames, and a response in them says so. A VM
//! of an older build does neither, and its streams travel as they are.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Response};
use hyper::body::{Body, Frame, Incoming};
use onyxfall_events::{FrameDecoder, FrameEncoder, SequenceError};
use thiserror::Error;

use crate::attempt::UpstreamResponse;
use crate::body::{RelayError, ReplyBody};
use crate::call::SharedCall;
use crate::gateway::Gateway;
use crate::stream::StreamRelay;

/// Header of a forwarded request that asks for numbered frames, and of a response in them.
pub(crate) const FRAMES: &str = "onyxfall-frames";
const NUMBERED: HeaderValue = HeaderValue::from_static("numbered");

/// Asks for a stream in numbered frames.
pub(crate) fn request_frames(headers: &mut HeaderMap) {
    headers.insert(FRAMES, NUMBERED);
}

/// Whether a request or a response names numbered frames.
pub(crate) fn names_frames(headers: &HeaderMap) -> bool {
    headers.get(FRAMES) == Some(&NUMBERED)
}

/// Encodes the stream of a response to another VM that has asked for numbered frames.
pub(crate) fn encode_frames(
    gateway: &Rc<Gateway>,
    response: Response<ReplyBody>,
) -> Response<ReplyBody> {
    let (mut head, body) = response.into_parts();
    let body = match body {
        ReplyBody::Stream(relay) => {
            request_frames(&mut head.headers);
            ReplyBody::Numbered(Box::new(NumberedStream {
                gateway: Rc::clone(gateway),
                relay,
                encoder: FrameEncoder::default(),
                has_ended: false,
            }))
        }
        other => other,
    };
    Response::from_parts(head, body)
}

/// A stream to another VM.
pub(crate) struct NumberedStream {
    gateway: Rc<Gateway>,
    relay: Box<StreamRelay>,
    encoder: FrameEncoder,
    has_ended: bool,
}

impl NumberedStream {
    /// Polls for the next frames to send.
    pub(crate) fn poll_next(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, RelayError>>> {
        if self.has_ended {
            return Poll::Ready(None);
        }
        let part = ready!(self.relay.poll_next(cx)).transpose()?;
        self.has_ended = part.is_none();
        // A relayed stream has no trailers.
        let encoded = match part.map(Frame::into_data) {
            Some(Ok(data)) => self.encoder.encode(&data),
            Some(Err(_)) => Bytes::new(),
            None => self.encoder.finish(),
        };
        let held = self.gateway.held.hold(encoded.len());
        Poll::Ready(Some(Ok(Frame::data(held.attach(encoded)))))
    }
}

/// Why the body of a server or another VM did not arrive whole.
#[derive(Debug, Error)]
pub(crate) enum UpstreamError {
    /// The connection failed.
    #[error(transparent)]
    Connection(#[from] hyper::Error),
    /// Bytes of a stream between two VMs are missing.
    #[error(transparent)]
    Sequence(#[from] SequenceError),
}

/// Body of a response from a server or another VM.
pub(crate) struct UpstreamBody {
    incoming: Incoming,
    /// Decodes the numbered frames of another VM; `None` if the body has none.
    frames: Option<FrameReader>,
}

struct FrameReader {
    gateway: Rc<Gateway>,
    call: SharedCall,
    decoder: FrameDecoder,
}

impl UpstreamBody {
    pub(crate) fn new(incoming: Incoming) -> Self {
        Self {
            incoming,
            frames: None,
        }
    }
}

/// Decodes the body of another VM's response if it is in numbered frames.
pub(crate) fn decode_frames(
    gateway: &Rc<Gateway>,
    call: &SharedCall,
    response: &mut UpstreamResponse,
) {
    if names_frames(&response.headers) {
        response.headers.remove(FRAMES);
        response.body.frames = Some(FrameReader {
            gateway: Rc::clone(gateway),
            call: Rc::clone(call),
            decoder: FrameDecoder::default(),
        });
    }
}

impl FrameReader {
    /// Decodes a part of the body, or checks its end.
    fn decode(
        &mut self,
        part: Option<Frame<Bytes>>,
    ) -> Result<Option<Frame<Bytes>>, SequenceError> {
        let decoded = match part.map(Frame::into_data) {
            Some(Ok(data)) => self.decoder.decode(data).map(Frame::data).map(Some),
            Some(Err(trailers)) => Ok(Some(trailers)),
            None => self.decoder.check_end().map(|()| None),
        };
        if let Err(error) = &decoded {
            self.gateway.metrics.count("onyxfall_stream_gaps_total");
            log::warn!(
                request = self.call.request_id.as_str(),
                error:% = error;
                "bytes of a stream from another VM are missing"
            );
        }
        decoded
    }
}

impl Body for UpstreamBody {
    type Data = Bytes;
    type Error = UpstreamError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, UpstreamError>>> {
        let this = self.get_mut();
        let part = ready!(Pin::new(&mut this.incoming).poll_frame(cx)).transpose()?;
        let decoded = match &mut this.frames {
            Some(frames) => frames.decode(part)?,
            None => part,
        };
        Poll::Ready(decoded.map(Ok))
    }
}
