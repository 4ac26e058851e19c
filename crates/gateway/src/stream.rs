//! A stream of events passed on as it comes.
//!
//! Where the route allows it, another server goes on with a stream that broke
//! off: then only whole events are passed on, and the id of the last one names
//! the point to go on from. Otherwise bytes are passed on as they are, and a
//! break breaks the caller's answer too, so that it never looks complete.

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
use crate::serve::{CallProgress, ResumedStream, resume};
use crate::suspension::wait_for_deadline;
use crate::unresponsive::wait_until_unresponsive;

/// End of an event in a stream.
const EVENT_END: &[u8] = b"\n\n";
/// Line of an event that holds its id.
const ID_FIELD: &[u8] = b"id:";

/// Cuts a stream into whole events.
#[derive(Debug, Default)]
struct EventBuffer {
    rest: BytesMut,
    last_id: Option<String>,
}

impl EventBuffer {
    /// Adds bytes; returns the whole events that they complete.
    fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.rest.extend_from_slice(bytes);
        let end = self
            .rest
            .windows(EVENT_END.len())
            .rposition(|window| window == EVENT_END)?;
        let whole = self.rest.split_to(end + EVENT_END.len()).freeze();
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

/// Counts the events of a stream by the empty lines that end them, whatever the
/// pieces in which it comes.
#[derive(Debug, Default)]
struct EventCounter {
    ends_in_newline: bool,
}

impl EventCounter {
    /// Number of events that end in `bytes`.
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

/// What is going on with a stream.
enum RelayState {
    /// A server sends it.
    Open(Box<UpstreamResponse>),
    /// Another server is being asked to go on.
    Resuming(LocalBoxFuture<'static, Option<ResumedStream>>),
    /// It is over.
    Ended,
}

/// A stream on its way to a caller or another VM.
pub(crate) struct StreamRelay {
    gateway: Rc<Gateway>,
    call: SharedCall,
    progress: CallProgress,
    state: RelayState,
    buffer: Option<EventBuffer>,
    counter: EventCounter,
    /// Events passed on, of all servers.
    events: u32,
    deadline: LocalBoxFuture<'static, ()>,
    /// Ends when the server that sends it is taken for silent, if another one can go on.
    silence: Option<LocalBoxFuture<'static, ()>>,
}

impl StreamRelay {
    /// Passes on the body of `answer`.
    pub(crate) fn new(
        gateway: &Rc<Gateway>,
        call: &SharedCall,
        progress: CallProgress,
        answer: Box<UpstreamResponse>,
    ) -> Self {
        gateway.open_streams.set(gateway.open_streams.get() + 1);
        let resumable = call.rules.answer == ResponseRule::Resumable && answer.status.is_success();
        let is_copied = answer.copy.is_some();
        let can_go_on = resumable || is_copied;
        Self {
            silence: can_go_on.then(|| silence_of(gateway, &answer)).flatten(),
            gateway: Rc::clone(gateway),
            call: Rc::clone(call),
            progress,
            state: RelayState::Open(answer),
            buffer: can_go_on.then(EventBuffer::default),
            counter: EventCounter::default(),
            events: 0,
            deadline: Box::pin(wait_for_deadline(Rc::clone(gateway), Rc::clone(call))),
        }
    }

    /// The next bytes.
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
                RelayState::Resuming(going_on) => match going_on.as_mut().poll(cx) {
                    Poll::Pending => return Poll::Pending,
                    Poll::Ready(Some(ResumedStream { answer, progress })) => {
                        self.progress = progress;
                        // A run that goes on from its copy has no other one.
                        self.silence = match self.call.rules.answer {
                            ResponseRule::Resumable => silence_of(&self.gateway, &answer),
                            _ => None,
                        };
                        self.state = RelayState::Open(answer);
                        continue;
                    }
                    Poll::Ready(None) => {
                        self.end(AttemptResult::Broken, "broken off");
                        return Poll::Ready(Some(Err(RelayError::Broken)));
                    }
                },
                RelayState::Open(answer) => Pin::new(&mut answer.body).poll_frame(cx),
            };
            match polled {
                Poll::Pending if self.is_silent(cx) => {
                    if !self.try_resume() {
                        self.end(AttemptResult::Broken, "broken off");
                        return Poll::Ready(Some(Err(RelayError::Broken)));
                    }
                }
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Some(Ok(frame))) => {
                    if let Some(frame) = self.pass(frame) {
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

    /// Whether the server is taken for silent; asked while nothing comes.
    fn is_silent(&mut self, cx: &mut Context<'_>) -> bool {
        let has_last = self.buffer.as_ref().is_some_and(|b| b.last_id.is_some());
        if self.call.rules.answer == ResponseRule::LostWithServer && !has_last {
            return false;
        }
        let Some(silence) = &mut self.silence else {
            return false;
        };
        if silence.as_mut().poll(cx).is_pending() {
            return false;
        }
        self.silence = None;
        true
    }

    fn pass(&mut self, frame: Frame<Bytes>) -> Option<Frame<Bytes>> {
        let data = frame.into_data().ok()?;
        let events = self.counter.count(&data);
        self.events += events;
        if let RelayState::Open(answer) = &mut self.state {
            answer.events += events;
            if let Some(booking) = &answer.booking {
                booking.record_liveness();
            }
        }
        match &mut self.buffer {
            None => Some(Frame::data(data)),
            Some(buffer) => buffer.push(&data).map(Frame::data),
        }
    }

    /// The server ended the stream; what is left of an event is passed on.
    fn complete(&mut self) -> Option<Result<Frame<Bytes>, RelayError>> {
        let call = &self.call;
        self.gateway
            .record_response_length(&call.route, &call.needs.prompt, self.events);
        self.end(AttemptResult::Succeeded, "served");
        let rest = self.buffer.take().map(|buffer| buffer.rest.freeze())?;
        (!rest.is_empty()).then(|| Ok(Frame::data(rest)))
    }

    fn try_resume(&mut self) -> bool {
        let Some(buffer) = &mut self.buffer else {
            return false;
        };
        buffer.rest.clear();
        self.counter = EventCounter::default();
        let last = buffer.last_id.clone();
        let RelayState::Open(answer) = std::mem::replace(&mut self.state, RelayState::Ended) else {
            return false;
        };
        let mut answer = answer;
        let copy = answer.copy.take();
        answer.finish(&self.gateway, AttemptResult::Broken);
        let gateway = Rc::clone(&self.gateway);
        let call = Rc::clone(&self.call);
        if self.call.rules.answer == ResponseRule::LostWithServer {
            let (Some(copy), Some(last)) = (copy, last) else {
                return false;
            };
            self.progress.resumes += 1;
            let progress = self.progress.clone();
            self.state = RelayState::Resuming(Box::pin(async move {
                let answer = continue_run(&gateway, &call, copy, &last).await?;
                Some(ResumedStream { answer, progress })
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
        if let RelayState::Open(answer) = state {
            answer.finish(&self.gateway, result);
        }
        if !self.progress.is_told {
            self.progress.is_told = true;
            self.progress.events = self.events;
            self.gateway
                .log_request_end(&self.call, &self.progress, outcome);
        }
    }
}

/// Ends when the server of an answer is taken for silent; none if another VM's answer
/// is passed on.
fn silence_of(
    gateway: &Rc<Gateway>,
    answer: &UpstreamResponse,
) -> Option<LocalBoxFuture<'static, ()>> {
    let server = answer.booking.as_ref()?.server();
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
