//! Forwards a stream of events as it arrives.
//!
//! Where the route allows it, or a backup copy of the run exists, another server resumes a
//! stream after a lost connection. Such a stream is forwarded in whole events, and the id of
//! the last event names the point to resume from. Any other stream is forwarded byte by
//! byte, and a lost connection aborts the response to the caller, so that it never looks
//! complete.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use futures_util::future::LocalBoxFuture;
use hyper::body::{Body, Frame};
use onyxfall_fleet::AttemptResult;

use crate::attempt::UpstreamResponse;
use crate::backup::continue_run;
use crate::body::RelayError;
use crate::call::{ResponseRule, SharedCall};
use crate::gateway::Gateway;
use crate::held::HeldBytes;
use crate::serve::{CallProgress, ResumedStream, resume};
use crate::suspension::wait_for_deadline;
use crate::unresponsive::wait_until_unresponsive;

/// Marks the end of an event.
const EVENT_END: &[u8] = b"\n\n";
/// Prefix of the line that holds the id of an event.
const ID_FIELD: &[u8] = b"id:";

/// Splits a stream into whole events.
#[derive(Debug, Default)]
struct EventSplitter {
    incomplete: BytesMut,
    last_id: Option<String>,
}

impl EventSplitter {
    /// Adds bytes and returns the whole events that they complete.
    fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.incomplete.extend_from_slice(bytes);
        let end = self
            .incomplete
            .windows(EVENT_END.len())
            .rposition(|window| window == EVENT_END)?;
        let whole = self.incomplete.split_to(end + EVENT_END.len()).freeze();
        if let Some(id) = last_event_id(&whole) {
            self.last_id = Some(id);
        }
        Some(whole)
    }
}

fn last_event_id(events: &[u8]) -> Option<String> {
    let line = events
        .split(|byte| *byte == b'\n')
        .rev()
        .find_map(|line| line.strip_prefix(ID_FIELD))?;
    let id = std::str::from_utf8(line).ok()?;
    Some(id.trim().to_owned())
}

/// Counts the events of a stream by the empty lines that end them, however the stream is
/// split into frames.
#[derive(Debug, Default)]
struct EventCounter {
    ends_in_newline: bool,
}

impl EventCounter {
    /// Returns the number of events that end in `bytes`.
    fn count(&mut self, bytes: &[u8]) -> u32 {
        let mut events = 0;
        for byte in bytes {
            let is_newline = *byte == b'\n';
            if is_newline && self.ends_in_newline {
                events += 1;
                self.ends_in_newline = false;
            } else {
                self.ends_in_newline = is_newline;
            }
        }
        events
    }
}

/// State of a relayed stream.
enum RelayState {
    /// A server is sending the stream.
    Open(Box<UpstreamResponse>),
    /// Another server is being asked to resume the stream.
    Resuming(LocalBoxFuture<'static, Option<ResumedStream>>),
    /// The stream has ended.
    Ended,
}

/// Forwards a stream to a caller or another VM.
pub(crate) struct StreamRelay {
    gateway: Rc<Gateway>,
    call: SharedCall,
    progress: CallProgress,
    state: RelayState,
    buffer: Option<EventSplitter>,
    /// Counts the incomplete event in `buffer`.
    held: HeldBytes,
    counter: EventCounter,
    /// Number of events forwarded, over all servers.
    events: u32,
    deadline: LocalBoxFuture<'static, ()>,
    /// Completes when the sending server becomes unresponsive; `None` if no other server
    /// could resume the stream.
    unresponsive: Option<LocalBoxFuture<'static, ()>>,
}

impl StreamRelay {
    /// Starts forwarding the body of `response`.
    pub(crate) fn new(
        gateway: &Rc<Gateway>,
        call: &SharedCall,
        progress: CallProgress,
        response: Box<UpstreamResponse>,
    ) -> Self {
        gateway.open_streams.set(gateway.open_streams.get() + 1);
        let resumable =
            call.rules.response == ResponseRule::Resumable && response.status.is_success();
        let has_backup = response.backup.is_some();
        let can_resume = resumable || has_backup;
        Self {
            unresponsive: can_resume
                .then(|| watch_server(gateway, &response))
                .flatten(),
            gateway: Rc::clone(gateway),
            call: Rc::clone(call),
            progress,
            state: RelayState::Open(response),
            buffer: can_resume.then(EventSplitter::default),
            held: gateway.held.hold(0),
            counter: EventCounter::default(),
            events: 0,
            deadline: Box::pin(wait_for_deadline(Rc::clone(gateway), Rc::clone(call))),
        }
    }

    /// Polls for the next frame to forward.
    pub(crate) fn poll_next(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, RelayError>>> {
        if self.deadline.as_mut().poll(cx).is_ready() {
            self.end(AttemptResult::Unknown, "deadline");
            return Poll::Ready(Some(Err(RelayError::TimedOut)));
        }
        loop {
            let polled = match &mut self.state {
                RelayState::Ended => return Poll::Ready(None),
                RelayState::Resuming(resuming) => match resuming.as_mut().poll(cx) {
                    Poll::Pending => return Poll::Pending,
                    Poll::Ready(Some(ResumedStream { response, progress })) => {
                        self.progress = progress;
                        // A run continued from its backup has no further backup.
                        self.unresponsive = match self.call.rules.response {
                            ResponseRule::Resumable => watch_server(&self.gateway, &response),
                            _ => None,
                        };
                        self.state = RelayState::Open(response);
                        continue;
                    }
                    Poll::Ready(None) => {
                        self.end(AttemptResult::Broken, "broken off");
                        return Poll::Ready(Some(Err(RelayError::Broken)));
                    }
                },
                RelayState::Open(response) => Pin::new(&mut response.body).poll_frame(cx),
            };
            match polled {
                Poll::Pending if self.is_unresponsive(cx) => {
                    if !self.try_resume() {
                        self.end(AttemptResult::Broken, "broken off");
                        return Poll::Ready(Some(Err(RelayError::Broken)));
                    }
                }
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Some(Ok(frame))) => {
                    if let Some(frame) = self.forward_frame(frame) {
                        return Poll::Ready(Some(Ok(frame)));
                    }
                }
                Poll::Ready(Some(Err(_))) => {
                    if !self.try_resume() {
                        self.end(AttemptResult::Broken, "broken off");
                        return Poll::Ready(Some(Err(RelayError::Broken)));
                    }
                }
                Poll::Ready(None) => return Poll::Ready(self.complete()),
            }
        }
    }

    /// Whether the server has become unresponsive; polled while no data arrives.
    fn is_unresponsive(&mut self, cx: &mut Context<'_>) -> bool {
        let has_last_id = self.buffer.as_ref().is_some_and(|b| b.last_id.is_some());
        if self.call.rules.response == ResponseRule::LostWithServer && !has_last_id {
            return false;
        }
        let Some(unresponsive) = &mut self.unresponsive else {
            return false;
        };
        if unresponsive.as_mut().poll(cx).is_pending() {
            return false;
        }
        self.unresponsive = None;
        true
    }

    fn forward_frame(&mut self, frame: Frame<Bytes>) -> Option<Frame<Bytes>> {
        let data = frame.into_data().ok()?;
        let events = self.counter.count(&data);
        self.events += events;
        if let RelayState::Open(response) = &mut self.state {
            response.events += events;
            if let Some(attempt) = &response.attempt {
                attempt.record_liveness();
            }
        }
        let forwarded = match &mut self.buffer {
            None => data,
            Some(buffer) => {
                let whole = buffer.push(&data);
                self.held.resize(buffer.incomplete.len());
                whole?
            }
        };
        Some(self.held_frame(forwarded))
    }

    /// A frame that counts as held until the caller's connection has taken it.
    fn held_frame(&self, data: Bytes) -> Frame<Bytes> {
        let held = self.gateway.held.hold(data.len());
        Frame::data(held.attach(data))
    }

    /// Ends the stream after its last byte and forwards the rest of an incomplete event.
    fn complete(&mut self) -> Option<Result<Frame<Bytes>, RelayError>> {
        let call = &self.call;
        self.gateway
            .record_response_length(&call.route, &call.needs.prompt, self.events);
        self.end(AttemptResult::Succeeded, "served");
        let remainder = self
            .buffer
            .take()
            .map(|buffer| buffer.incomplete.freeze())?;
        self.held.resize(0);
        (!remainder.is_empty()).then(|| Ok(self.held_frame(remainder)))
    }

    fn try_resume(&mut self) -> bool {
        let Some(buffer) = &mut self.buffer else {
            return false;
        };
        buffer.incomplete.clear();
        self.held.resize(0);
        self.counter = EventCounter::default();
        let last = buffer.last_id.clone();
        let RelayState::Open(response) = std::mem::replace(&mut self.state, RelayState::Ended)
        else {
            return false;
        };
        let mut response = response;
        let backup = response.backup.take();
        response.finish(&self.gateway, AttemptResult::Broken);
        let gateway = Rc::clone(&self.gateway);
        let call = Rc::clone(&self.call);
        if self.call.rules.response == ResponseRule::LostWithServer {
            let (Some(backup), Some(last)) = (backup, last) else {
                return false;
            };
            self.progress.resumes += 1;
            let progress = self.progress.clone();
            self.state = RelayState::Resuming(Box::pin(async move {
                let response = continue_run(&gateway, &call, backup, &last).await?;
                Some(ResumedStream { response, progress })
            }));
            return true;
        }
        self.progress.events = self.events;
        self.progress.resumes += 1;
        let progress = self.progress.clone();
        self.state = RelayState::Resuming(Box::pin(async move {
            resume(&gateway, &call, progress, last).await
        }));
        true
    }

    fn end(&mut self, result: AttemptResult, outcome: &'static str) {
        let state = std::mem::replace(&mut self.state, RelayState::Ended);
        if let RelayState::Open(response) = state {
            response.finish(&self.gateway, result);
        }
        if !self.progress.is_end_logged {
            self.progress.is_end_logged = true;
            self.progress.events = self.events;
            self.gateway
                .log_request_end(&self.call, &self.progress, outcome);
        }
    }
}

/// Completes when the server of `response` becomes unresponsive. `None` if the response comes
/// from another VM.
fn watch_server(
    gateway: &Rc<Gateway>,
    response: &UpstreamResponse,
) -> Option<LocalBoxFuture<'static, ()>> {
    let server = response.attempt.as_ref()?.server();
    Some(Box::pin(wait_until_unresponsive(
        Rc::clone(gateway),
        server,
    )))
}

impl Drop for StreamRelay {
    fn drop(&mut self) {
        self.end(AttemptResult::Unknown, "the caller left");
        let open = &self.gateway.open_streams;
        open.set(open.get() - 1);
    }
}
