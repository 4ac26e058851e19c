//! Sends the response to a request that another entry forwarded.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use onyxfall_clock::BootInstant;
use onyxfall_types::{RequestError, RunVerdict};
use onyxfall_wire::{CreditWindow, PeerPayload, ReplyData, ReplyEnd, ReplyHead, frame_cost};

use crate::peer::link::PeerLink;
use crate::response::{ResponseHead, SinkGone};

/// Largest payload of a data frame.
const MAX_DATA: usize = 64 * 1024;

/// A response to another entry.
pub(crate) struct PeerResponse {
    link: Arc<PeerLink>,
    attempt: u64,
    window: Arc<CreditWindow>,
    stall_timeout: Duration,
    started: bool,
    first_byte: Option<BootInstant>,
    stalled: Duration,
}

impl PeerResponse {
    pub(crate) fn new(
        link: Arc<PeerLink>,
        attempt: u64,
        window: Arc<CreditWindow>,
        stall_timeout: Duration,
    ) -> Self {
        Self {
            link,
            attempt,
            window,
            stall_timeout,
            started: false,
            first_byte: None,
            stalled: Duration::ZERO,
        }
    }

    pub(crate) fn head(&mut self, head: &ResponseHead) -> Result<(), SinkGone> {
        debug_assert!(!self.started, "a response has one head");
        self.started = true;
        self.send(PeerPayload::Head(ReplyHead {
            attempt: self.attempt,
            status: u32::from(head.status),
            content_type: head.content_type.clone(),
        }))
    }

    pub(crate) fn data(&mut self, mut bytes: Bytes) -> Result<(), SinkGone> {
        self.first_byte.get_or_insert_with(BootInstant::now);
        while !bytes.is_empty() {
            let part = bytes.split_to(bytes.len().min(MAX_DATA));
            let waited = BootInstant::now();
            let credited = self.window.take(frame_cost(part.len()), self.stall_timeout);
            self.stalled += waited.elapsed();
            if !credited {
                return Err(SinkGone);
            }
            let data = ReplyData {
                attempt: self.attempt,
                bytes: part,
            };
            self.send(PeerPayload::Data(data))?;
        }
        Ok(())
    }

    pub(crate) fn first_byte(&self) -> Option<BootInstant> {
        self.first_byte
    }

    pub(crate) fn is_started(&self) -> bool {
        self.started
    }

    pub(crate) fn stalled(&self) -> Duration {
        self.stalled
    }

    pub(crate) fn finish(self) -> Result<(), SinkGone> {
        let end = self.end(RunVerdict::Ran);
        self.send(PeerPayload::End(end))
    }

    pub(crate) fn fail(self, error: &RequestError) {
        let mut end = self.end(error.verdict);
        error.reason.as_str().clone_into(&mut end.reason);
        end.detail.clone_from(&error.detail);
        let after = error.retry_after.unwrap_or_default();
        end.retry_after_ms = u64::try_from(after.as_millis()).unwrap_or(0);
        let _ = self.send(PeerPayload::End(end));
    }

    fn end(&self, verdict: RunVerdict) -> ReplyEnd {
        ReplyEnd {
            attempt: self.attempt,
            verdict: verdict.to_string(),
            ..ReplyEnd::default()
        }
    }

    fn send(&self, payload: PeerPayload) -> Result<(), SinkGone> {
        self.link.send(payload).map_err(|_| SinkGone)
    }
}
