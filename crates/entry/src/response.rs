//! Sinks for a response: a caller, another entry, or memory.
//!
//! Until [`ResponseSink::is_started`], no part of the response has been sent, so
//! another attempt may replace it. Responses that are not streamed are buffered until
//! they are complete, up to a limit.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use onyxfall_clock::BootInstant;
use onyxfall_http::{HttpReply, Responder, StreamSender};
use onyxfall_types::{RegionName, RequestError, RunVerdict};

use crate::edge::problem_json;
use crate::peer::PeerResponse;

/// Error: the receiver of the response is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SinkGone;

/// Status and content type of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ResponseHead {
    pub(crate) status: u16,
    pub(crate) content_type: String,
}

/// A complete response in memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct BufferedResponse {
    pub(crate) head: ResponseHead,
    pub(crate) body: Bytes,
}

/// Destination of a response.
pub(crate) enum ResponseSink {
    /// A caller over HTTP.
    Caller(CallerResponse),
    /// Another entry.
    Peer(PeerResponse),
    /// Memory, for a ticket.
    Memory(MemoryResponse),
}

impl ResponseSink {
    /// Sets the head of the response; replaces the head of a response that was not
    /// started.
    pub(crate) fn head(&mut self, head: ResponseHead) -> Result<(), SinkGone> {
        match self {
            Self::Caller(response) => response.head(head),
            Self::Peer(response) => response.head(&head),
            Self::Memory(response) => {
                *response = MemoryResponse {
                    head: Some(head),
                    body: BytesMut::new(),
                };
                Ok(())
            }
        }
    }

    /// Records the region that serves the request, which is reported to the caller.
    pub(crate) fn set_region(&mut self, region: &RegionName) {
        if let Self::Caller(response) = self {
            response.region = Some(region.clone());
        }
    }

    /// When the first bytes of the response arrived.
    pub(crate) fn first_byte(&self) -> Option<BootInstant> {
        match self {
            Self::Caller(response) => response.first_byte,
            Self::Peer(response) => response.first_byte(),
            Self::Memory(_) => None,
        }
    }

    /// Appends bytes to the body.
    pub(crate) fn data(&mut self, bytes: Bytes) -> Result<(), SinkGone> {
        match self {
            Self::Caller(response) => response.data(bytes),
            Self::Peer(response) => response.data(bytes),
            Self::Memory(response) => {
                response.body.extend_from_slice(&bytes);
                Ok(())
            }
        }
    }

    /// Whether a part of the response has been sent.
    pub(crate) fn is_started(&self) -> bool {
        match self {
            Self::Caller(response) => response.stream.is_some(),
            Self::Peer(response) => response.is_started(),
            Self::Memory(_) => false,
        }
    }

    /// Time spent waiting for a slow receiver.
    pub(crate) fn stalled(&self) -> Duration {
        match self {
            Self::Caller(response) => response.stalled,
            Self::Peer(response) => response.stalled(),
            Self::Memory(_) => Duration::ZERO,
        }
    }

    /// Completes the response.
    pub(crate) fn finish(self) -> Result<(), SinkGone> {
        match self {
            Self::Caller(response) => response.finish(),
            Self::Peer(response) => response.finish(),
            Self::Memory(_) => Ok(()),
        }
    }

    /// Ends the response with an error; one that was started is cut off.
    pub(crate) fn fail(self, error: &RequestError) {
        match self {
            Self::Caller(response) => response.fail(error),
            Self::Peer(response) => response.fail(error),
            Self::Memory(_) => {}
        }
    }
}

/// A response collected in memory.
#[derive(Default)]
pub(crate) struct MemoryResponse {
    head: Option<ResponseHead>,
    body: BytesMut,
}

impl MemoryResponse {
    pub(crate) fn into_buffered(self) -> Option<BufferedResponse> {
        Some(BufferedResponse {
            head: self.head?,
            body: self.body.freeze(),
        })
    }
}

/// A response to a caller.
pub(crate) struct CallerResponse {
    request_id: String,
    traceparent: String,
    streaming: bool,
    max_buffered: usize,
    responder: Option<Responder>,
    stream: Option<StreamSender>,
    head: Option<ResponseHead>,
    region: Option<RegionName>,
    buffered: BytesMut,
    first_byte: Option<BootInstant>,
    stalled: Duration,
}

impl CallerResponse {
    pub(crate) fn new(
        responder: Responder,
        request_id: String,
        traceparent: String,
        streaming: bool,
        max_buffered: usize,
    ) -> Self {
        Self {
            request_id,
            traceparent,
            streaming,
            max_buffered,
            responder: Some(responder),
            stream: None,
            head: None,
            region: None,
            buffered: BytesMut::new(),
            first_byte: None,
            stalled: Duration::ZERO,
        }
    }

    fn head(&mut self, head: ResponseHead) -> Result<(), SinkGone> {
        debug_assert!(
            self.stream.is_none(),
            "a response that was started is never replaced"
        );
        self.buffered.clear();
        self.first_byte = None;
        let streams = self.streaming && head.content_type.starts_with("text/event-stream");
        self.head = Some(head);
        if streams { self.start_stream() } else { Ok(()) }
    }

    fn data(&mut self, bytes: Bytes) -> Result<(), SinkGone> {
        self.first_byte.get_or_insert_with(BootInstant::now);
        if self.stream.is_none() {
            if self.buffered.len() + bytes.len() <= self.max_buffered {
                self.buffered.extend_from_slice(&bytes);
                return Ok(());
            }
            self.start_stream()?;
        }
        let started = BootInstant::now();
        let sent = self.stream.as_ref().ok_or(SinkGone)?.send(bytes);
        self.stalled += started.elapsed();
        sent.map_err(|_| SinkGone)
    }

    fn start_stream(&mut self) -> Result<(), SinkGone> {
        let head = self.head.as_ref().ok_or(SinkGone)?;
        let reply = HttpReply::stream(head.status, &head.content_type);
        let reply = self.with_common_headers(reply, RunVerdict::Ran);
        let responder = self.responder.take().ok_or(SinkGone)?;
        let stream = responder.stream(reply).map_err(|_| SinkGone)?;
        let body = std::mem::take(&mut self.buffered).freeze();
        if !body.is_empty() {
            stream.send(body).map_err(|_| SinkGone)?;
        }
        self.stream = Some(stream);
        Ok(())
    }

    fn finish(mut self) -> Result<(), SinkGone> {
        if let Some(stream) = self.stream.take() {
            return stream.finish().map_err(|_| SinkGone);
        }
        let head = self.head.take().ok_or(SinkGone)?;
        let body = std::mem::take(&mut self.buffered).freeze();
        let reply = HttpReply::full(head.status, &head.content_type, body);
        let reply = self.with_common_headers(reply, RunVerdict::Ran);
        let responder = self.responder.take().ok_or(SinkGone)?;
        responder.reply(reply).map_err(|_| SinkGone)
    }

    /// Sends an error event on an event stream and cuts the stream off; replaces a
    /// buffered response by the error.
    fn fail(mut self, error: &RequestError) {
        if let Some(stream) = self.stream.take() {
            let is_events = self
                .head
                .as_ref()
                .is_some_and(|head| head.content_type.starts_with("text/event-stream"));
            if is_events {
                let event = format!(
                    "event: error\ndata: {}\n\n",
                    problem_json(error, &self.request_id)
                );
                let _ = stream.send(Bytes::from(event));
            }
            return;
        }
        let Some(responder) = self.responder.take() else {
            return;
        };
        let body = problem_json(error, &self.request_id).to_string();
        let reply = HttpReply::full(error.reason.status(), "application/problem+json", body);
        let mut reply = self.with_common_headers(reply, error.verdict);
        if let Some(after) = error.retry_after {
            let seconds = after.as_secs_f64().ceil().max(1.0);
            reply = reply.with_header("retry-after", &format!("{seconds}"));
        }
        let _ = responder.reply(reply);
    }

    fn with_common_headers(&self, reply: HttpReply, verdict: RunVerdict) -> HttpReply {
        let reply = match &self.region {
            Some(region) if verdict == RunVerdict::Ran => {
                reply.with_header("onyxfall-served-region", region.as_str())
            }
            _ => reply,
        };
        reply
            .with_header("onyxfall-verdict", verdict.as_str())
            .with_header("onyxfall-request-id", &self.request_id)
            .with_header("traceparent", &self.traceparent)
    }
}
