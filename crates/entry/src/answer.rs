//! Where an answer goes: to a caller, to another entry, or into memory.
//!
//! Until [`AnswerSink::is_started`], nothing of the answer is visible outside,
//! so another attempt may still take its place. Answers that are not streamed
//! are held back until whole, up to a limit.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use onyxfall_clock::BootInstant;
use onyxfall_http::{HttpReply, Responder, StreamSender};
use onyxfall_types::{RegionName, RequestError, RunVerdict};

use crate::edge::problem_json;
use crate::peer::PeerAnswer;

/// The receiver of an answer is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SinkGone;

/// Status and type of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct AnswerHead {
    pub(crate) status: u16,
    pub(crate) content_type: String,
}

/// A whole answer in memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct HeldAnswer {
    pub(crate) head: AnswerHead,
    pub(crate) body: Bytes,
}

/// Where an answer goes; a closed set.
pub(crate) enum AnswerSink {
    /// To a caller over HTTP.
    Caller(CallerAnswer),
    /// To another entry.
    Peer(PeerAnswer),
    /// Into memory, for a ticket.
    Memory(MemoryAnswer),
}

impl AnswerSink {
    /// Takes the head of an answer, replacing one that was not started.
    pub(crate) fn head(&mut self, head: AnswerHead) -> Result<(), SinkGone> {
        match self {
            Self::Caller(answer) => answer.head(head),
            Self::Peer(answer) => answer.head(&head),
            Self::Memory(answer) => {
                *answer = MemoryAnswer {
                    head: Some(head),
                    body: BytesMut::new(),
                };
                Ok(())
            }
        }
    }

    /// Notes the region whose server answers, for the caller to see.
    pub(crate) fn set_region(&mut self, region: &RegionName) {
        if let Self::Caller(answer) = self {
            answer.region = Some(region.clone());
        }
    }

    /// When the first bytes of the answer came.
    pub(crate) fn first_byte(&self) -> Option<BootInstant> {
        match self {
            Self::Caller(answer) => answer.first_byte,
            Self::Peer(answer) => answer.first_byte(),
            Self::Memory(_) => None,
        }
    }

    /// Takes the next bytes.
    pub(crate) fn data(&mut self, bytes: Bytes) -> Result<(), SinkGone> {
        match self {
            Self::Caller(answer) => answer.data(bytes),
            Self::Peer(answer) => answer.data(bytes),
            Self::Memory(answer) => {
                answer.body.extend_from_slice(&bytes);
                Ok(())
            }
        }
    }

    /// Whether a part of the answer is visible outside.
    pub(crate) fn is_started(&self) -> bool {
        match self {
            Self::Caller(answer) => answer.stream.is_some(),
            Self::Peer(answer) => answer.is_started(),
            Self::Memory(_) => false,
        }
    }

    /// Time lost to a slow receiver.
    pub(crate) fn stalled(&self) -> Duration {
        match self {
            Self::Caller(answer) => answer.stalled,
            Self::Peer(answer) => answer.stalled(),
            Self::Memory(_) => Duration::ZERO,
        }
    }

    /// Ends the answer as whole.
    pub(crate) fn finish(self) -> Result<(), SinkGone> {
        match self {
            Self::Caller(answer) => answer.finish(),
            Self::Peer(answer) => answer.finish(),
            Self::Memory(_) => Ok(()),
        }
    }

    /// Ends the answer with an error; a part that is visible is broken off.
    pub(crate) fn fail(self, error: &RequestError) {
        match self {
            Self::Caller(answer) => answer.fail(error),
            Self::Peer(answer) => answer.fail(error),
            Self::Memory(_) => {}
        }
    }
}

/// An answer in memory.
#[derive(Default)]
pub(crate) struct MemoryAnswer {
    head: Option<AnswerHead>,
    body: BytesMut,
}

impl MemoryAnswer {
    pub(crate) fn into_held(self) -> Option<HeldAnswer> {
        Some(HeldAnswer {
            head: self.head?,
            body: self.body.freeze(),
        })
    }
}

/// An answer to a caller.
pub(crate) struct CallerAnswer {
    request_id: String,
    traceparent: String,
    streaming: bool,
    max_held: usize,
    responder: Option<Responder>,
    stream: Option<StreamSender>,
    head: Option<AnswerHead>,
    region: Option<RegionName>,
    held: BytesMut,
    first_byte: Option<BootInstant>,
    stalled: Duration,
}

impl CallerAnswer {
    pub(crate) fn new(
        responder: Responder,
        request_id: String,
        traceparent: String,
        streaming: bool,
        max_held: usize,
    ) -> Self {
        Self {
            request_id,
            traceparent,
            streaming,
            max_held,
            responder: Some(responder),
            stream: None,
            head: None,
            region: None,
            held: BytesMut::new(),
            first_byte: None,
            stalled: Duration::ZERO,
        }
    }

    fn head(&mut self, head: AnswerHead) -> Result<(), SinkGone> {
        debug_assert!(self.stream.is_none(), "a visible answer is never replaced");
        self.held.clear();
        self.first_byte = None;
        let streams = self.streaming && head.content_type.starts_with("text/event-stream");
        self.head = Some(head);
        if streams { self.start_stream() } else { Ok(()) }
    }

    fn data(&mut self, bytes: Bytes) -> Result<(), SinkGone> {
        self.first_byte.get_or_insert_with(BootInstant::now);
        if self.stream.is_none() {
            if self.held.len() + bytes.len() <= self.max_held {
                self.held.extend_from_slice(&bytes);
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
        let reply = self.marked(reply, RunVerdict::Ran);
        let responder = self.responder.take().ok_or(SinkGone)?;
        let stream = responder.stream(reply).map_err(|_| SinkGone)?;
        let body = std::mem::take(&mut self.held).freeze();
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
        let body = std::mem::take(&mut self.held).freeze();
        let reply = HttpReply::full(head.status, &head.content_type, body);
        let reply = self.marked(reply, RunVerdict::Ran);
        let responder = self.responder.take().ok_or(SinkGone)?;
        responder.reply(reply).map_err(|_| SinkGone)
    }

    /// A stream gets an error event, then breaks; a held answer is replaced.
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
        let mut reply = self.marked(reply, error.verdict);
        if let Some(after) = error.retry_after {
            let seconds = after.as_secs_f64().ceil().max(1.0);
            reply = reply.with_header("retry-after", &format!("{seconds}"));
        }
        let _ = responder.reply(reply);
    }

    fn marked(&self, reply: HttpReply, verdict: RunVerdict) -> HttpReply {
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
