//! Forwards a stream of events as it arrives.
//!
//! Where the route allows it, or a backup copy of the run exists, another server resumes a
//! stream that was broken off. Such a stream is forwarded in whole events, and the id of
//! the last event names the point to resume from. Any other stream is forwarded byte by
//! byte. If no server resumes a stream, the response to the caller is aborted, so that it never
//! looks complete.
//!
//! A server that is only suspected to have ended keeps its stream: a second server may send the
//! next event first, and takes the stream over with it.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use http::HeaderMap;
use http::header::CONTENT_TYPE;
use hyper::body::{Body, Frame};
use onyxfall_clock::BootInstant;
use onyxfall_events::{BodyFraming, EventFramer, ForwardUnit, FramedBytes, StreamEnd};
use onyxfall_fleet::AttemptResult;
use onyxfall_held::HeldBytes;
use onyxfall_streams::{RunEvent, RunRace, RunSide, RunStep};
use onyxfall_types::SoftwareVersion;

use crate::attempt::{AttemptEnd, UpstreamResponse};
use crate::backup::continue_run;
use crate::body::RelayError;
use crate::call::{ResponseRule, SharedCall};
use crate::gateway::Gateway;
use crate::race::{
    SecondStart, begin_second, log_race, resume_headers, start_second, wait_for_suspicion,
};
use crate::serve::{CallProgress, ResumedStream, resume};
use crate::suspension::wait_for_deadline;
use crate::suspicion::wait_until_vm_suspected;

/// Number of longest pauses between events after which a server that sends this VM nothing is
/// suspected. One such pause may come from a long prompt that the server reads.
const STALLED_GAPS: u32 = 2;
/// Shortest silence of a relayed stream that starts a second run by itself: the path to the other
/// VM may be cut while both reach the rest of the fleet.
const RELAY_PAUSE: Duration = Duration::from_secs(2);
/// Media type of a stream of events.
const EVENT_STREAM: &str = "text/event-stream";

/// Software version of the server that sent the first event of a stream. Another server may
/// resume the stream only if it has the same one.
#[derive(Clone, Debug, PartialEq, Eq)]
enum StreamVersion {
    /// No event was forwarded yet.
    Open,
    /// The version is known.
    Known(SoftwareVersion),
    /// The server has no valid version, or its VM does not name it.
    Unknown,
}

/// State of a relayed stream.
enum RelayState {
    /// A server is sending the stream.
    Open(Box<UpstreamResponse>),
    /// Another server is being asked to resume the stream.
    Resuming(LocalBoxFuture<'static, Option<ResumedStream>>),
    /// The first server has ended, and a second one was already asked.
    Awaiting,
    /// The stream has ended.
    Ended,
}

/// A second run of a stream, up to its first event.
struct SecondRun {
    start: LocalBoxFuture<'static, Result<SecondStart, AttemptEnd>>,
    /// Attempts of the request so far, without this one.
    progress: CallProgress,
}

/// Forwards a stream to a caller or another VM.
pub(crate) struct StreamRelay {
    gateway: Rc<Gateway>,
    call: SharedCall,
    progress: CallProgress,
    state: RelayState,
    /// Splits the body into events; `None` if it is not a stream of events.
    framer: Option<EventFramer>,
    /// Counts the incomplete event in `framer`.
    held: HeldBytes,
    /// Whether another server may resume the stream.
    can_resume: bool,
    version: StreamVersion,
    /// Number of events forwarded, over all servers.
    events: u32,
    deadline: LocalBoxFuture<'static, ()>,
    /// Completes when the sending server is suspected to have ended; `None` if no other server
    /// could resume the stream.
    suspicion: Option<LocalBoxFuture<'static, ()>>,
    race: RunRace,
    second: Option<SecondRun>,
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
        let is_event_stream = is_event_stream(&response.headers);
        let can_resume = is_event_stream && (resumable || has_backup);
        let race = RunRace::new(is_event_stream && resumable);
        let unit = if can_resume {
            ForwardUnit::Events
        } else {
            ForwardUnit::Bytes
        };
        Self {
            suspicion: watch_server(gateway, call, &response, race, false),
            race,
            second: None,
            gateway: Rc::clone(gateway),
            call: Rc::clone(call),
            progress,
            state: RelayState::Open(response),
            framer: is_event_stream.then(|| EventFramer::new(unit)),
            held: gateway.held.hold(0),
            can_resume,
            version: match &call.needs.version {
                Some(version) => StreamVersion::Known(version.clone()),
                None => StreamVersion::Open,
            },
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
                        self.progress = CallProgress {
                            stream_end: None,
                            ..progress
                        };
                        self.race.apply(RunEvent::Progressed(RunSide::Second));
                        self.open(response);
                        continue;
                    }
                    Poll::Ready(None) => {
                        self.end(AttemptResult::Broken, "broken off");
                        return Poll::Ready(Some(Err(RelayError::Broken)));
                    }
                },
                RelayState::Awaiting => Poll::Pending,
                RelayState::Open(response) => Pin::new(&mut response.body).poll_frame(cx),
            };
            match polled {
                Poll::Pending => match self.poll_second(cx) {
                    Poll::Pending => return Poll::Pending,
                    Poll::Ready(Some(part)) if part.events > 0 => {
                        return Poll::Ready(Some(Ok(self.held_frame(part.forwarded))));
                    }
                    Poll::Ready(None) if matches!(self.state, RelayState::Awaiting) => {}
                    Poll::Ready(_) => continue,
                },
                Poll::Ready(Some(Ok(frame))) => match self.forward_frame(frame) {
                    Ok(Some(frame)) => return Poll::Ready(Some(Ok(frame))),
                    Ok(None) => continue,
                    // Another server may send the event.
                    Err(_) if self.can_resume => {
                        self.progress.stream_end = Some(StreamEnd::InsideEvent);
                    }
                    Err(error) => {
                        self.end(AttemptResult::Unknown, "broken off");
                        return Poll::Ready(Some(Err(error)));
                    }
                },
                Poll::Ready(Some(Err(_))) => {
                    self.progress.stream_end = Some(StreamEnd::ConnectionLost);
                }
                Poll::Ready(None) => {
                    let end = self.judge_end();
                    self.progress.stream_end = Some(end);
                    if end.is_complete() {
                        self.complete();
                        return Poll::Ready(None);
                    }
                }
            }
            let step = match &self.state {
                // Both runs have ended.
                RelayState::Awaiting => RunStep::Start,
                _ => self.race.apply(RunEvent::Ended(RunSide::First)),
            };
            if step == RunStep::Wait {
                self.await_second();
            } else if !self.try_resume() {
                self.end(AttemptResult::Broken, "broken off");
                return Poll::Ready(Some(Err(RelayError::Broken)));
            }
        }
    }

    /// How the stream ended, given that the body ended without an error.
    fn judge_end(&self) -> StreamEnd {
        let framing = match &self.state {
            // A shorter length than that of the stream cuts it off.
            RelayState::Open(response) if response.is_cut_short() => return StreamEnd::InsideEvent,
            RelayState::Open(response) => response.framing,
            RelayState::Resuming(_) | RelayState::Awaiting | RelayState::Ended => {
                BodyFraming::Delimited
            }
        };
        match (&self.framer, framing) {
            (Some(framer), framing) => framer.end(framing),
            (None, BodyFraming::Delimited) => StreamEnd::Delimited,
            (None, BodyFraming::UntilClose) => StreamEnd::Closed,
        }
    }

    /// Forwards the stream of `response` from now on.
    fn open(&mut self, response: Box<UpstreamResponse>) {
        self.suspicion = watch_server(&self.gateway, &self.call, &response, self.race, false);
        self.state = RelayState::Open(response);
    }

    /// Polls the second run, or starts one if the sending server is suspected; called while no
    /// data arrives from it. Returns the first events of a second run that takes the stream over,
    /// or `None` if the second run has ended.
    fn poll_second(&mut self, cx: &mut Context<'_>) -> Poll<Option<FramedBytes>> {
        loop {
            if let Some(second) = &mut self.second {
                let start = std::task::ready!(second.start.as_mut().poll(cx));
                let Some(SecondRun { progress, .. }) = self.second.take() else {
                    return Poll::Pending;
                };
                return Poll::Ready(match start {
                    Ok(start) => Some(self.take_over(start, progress)),
                    Err(end) => {
                        self.drop_second(progress, &end);
                        None
                    }
                });
            }
            let Some(suspicion) = &mut self.suspicion else {
                return Poll::Pending;
            };
            std::task::ready!(suspicion.as_mut().poll(cx));
            self.start_second();
        }
    }

    /// Starts a second run after the last whole event, beside the first one.
    fn start_second(&mut self) {
        self.suspicion = None;
        self.check_version();
        let mut progress = self.progress.clone();
        let extra = resume_headers(self.last_id());
        let run = self
            .resumed_call()
            .and_then(|call| start_second(&self.gateway, &call, &mut progress, &extra));
        let (Some(run), Some(framer)) = (run, &self.framer) else {
            // Another server may take the run later, while the silence lasts.
            self.watch_again();
            return;
        };
        self.race.apply(RunEvent::Suspected);
        self.second = Some(SecondRun {
            start: Box::pin(begin_second(Rc::clone(&self.gateway), run, framer.fork())),
            progress,
        });
    }

    /// Goes on with the second run, whose first events have arrived.
    fn take_over(&mut self, start: SecondStart, progress: CallProgress) -> FramedBytes {
        self.race.apply(RunEvent::Progressed(RunSide::Second));
        log_race(&self.gateway, &self.call, RunSide::Second);
        if let RelayState::Open(response) = std::mem::replace(&mut self.state, RelayState::Ended) {
            response.finish(&self.gateway, AttemptResult::Overtaken);
        }
        self.progress = CallProgress {
            stream_end: None,
            resumes: progress.resumes + 1,
            ..progress
        };
        self.progress.log.record_run(start.response.server);
        self.framer = Some(start.framer);
        self.held.resize(0);
        self.open(start.response);
        self.record_part(&start.part);
        start.part
    }

    /// Counts a second run that has ended, or that was cancelled.
    fn drop_second(&mut self, progress: CallProgress, end: &AttemptEnd) {
        self.progress.count_other(progress, end);
        self.race.apply(end.second_event());
        self.watch_again();
    }

    /// Watches the sending server for another suspicion, if it would start a second run.
    fn watch_again(&mut self) {
        if self.suspicion.is_none()
            && let RelayState::Open(response) = &self.state
        {
            self.suspicion = watch_server(&self.gateway, &self.call, response, self.race, true);
        }
    }

    /// Cancels the second run, since the first one goes on.
    fn keep_first(&mut self) {
        self.race.apply(RunEvent::Progressed(RunSide::First));
        if let Some(SecondRun { progress, .. }) = self.second.take() {
            log_race(&self.gateway, &self.call, RunSide::First);
            self.progress.servers = progress.servers;
            self.progress.vms = progress.vms;
            // The cancelled run may have reached its server.
            self.progress.log.record_run(progress.server);
        }
        self.watch_again();
    }

    /// Waits for the second run after the end of the first one.
    fn await_second(&mut self) {
        let state = std::mem::replace(&mut self.state, RelayState::Awaiting);
        if let RelayState::Open(response) = state {
            response.finish(&self.gateway, AttemptResult::Broken);
        }
    }

    /// The request for the rest of the stream; `None` if no server may send it.
    fn resumed_call(&self) -> Option<SharedCall> {
        match &self.version {
            StreamVersion::Open => Some(Rc::clone(&self.call)),
            StreamVersion::Known(version) => {
                let fleet = self.gateway.fleet.borrow();
                Some(Rc::new(self.call.at_version(&fleet, version)))
            }
            StreamVersion::Unknown => None,
        }
    }

    /// Forgets the version of the stream if its server has restarted with another one, and the new
    /// process may have sent the stream.
    fn check_version(&mut self) {
        let RelayState::Open(response) = &self.state else {
            return;
        };
        if let (Some(server), StreamVersion::Known(version)) = (response.server, &self.version) {
            let last_seen = self.gateway.moment_of(response.received.get());
            let fleet = self.gateway.fleet.borrow();
            if fleet.run_version(server, last_seen) != Some(version) {
                self.version = StreamVersion::Unknown;
            }
        }
    }

    /// Id of the last event that was forwarded whole.
    fn last_id(&self) -> Option<&str> {
        self.framer.as_ref()?.last_id()
    }

    /// Takes a frame from the server and returns the one to forward; `None` if nothing can be
    /// forwarded yet.
    fn forward_frame(&mut self, frame: Frame<Bytes>) -> Result<Option<Frame<Bytes>>, RelayError> {
        let Ok(data) = frame.into_data() else {
            return Ok(None);
        };
        if let RelayState::Open(response) = &mut self.state
            && let Some(attempt) = &response.attempt
        {
            attempt.record_liveness();
        }
        let Some(framer) = &mut self.framer else {
            return Ok(Some(self.held_frame(data)));
        };
        let part = framer.push(data).map_err(|_| RelayError::EventTooLong)?;
        self.held.resize(framer.held_bytes());
        if part.events > 0 {
            self.keep_first();
        }
        self.record_part(&part);
        Ok((!part.forwarded.is_empty()).then(|| self.held_frame(part.forwarded)))
    }

    /// Records events that are forwarded.
    fn record_part(&mut self, part: &FramedBytes) {
        self.events += part.events;
        if let RelayState::Open(response) = &mut self.state {
            response.events += part.events;
            if part.events > 0 {
                response.first_event.get_or_insert_with(BootInstant::now);
            }
            if part.events > 0
                && let Some(attempt) = &response.attempt
            {
                attempt.record_written();
            }
            if part.events > 0 && self.version == StreamVersion::Open {
                let version = response.version.clone();
                self.gateway.record_origin(&self.call, version.as_ref());
                self.version = version.map_or(StreamVersion::Unknown, StreamVersion::Known);
            }
        }
    }

    /// A frame that counts as held until the caller's connection has taken it.
    fn held_frame(&self, data: Bytes) -> Frame<Bytes> {
        let held = self.gateway.held.hold(data.len());
        Frame::data(held.attach(data))
    }

    /// Records the end of a complete stream.
    fn complete(&mut self) {
        let call = &self.call;
        self.gateway
            .record_response_length(&call.route, &call.needs.prompt, self.events);
        self.end(AttemptResult::Succeeded, "served");
    }

    /// Starts to resume the stream at another server; returns whether one may be asked.
    fn try_resume(&mut self) -> bool {
        if !self.can_resume {
            return false;
        }
        self.check_version();
        if let Some(framer) = &mut self.framer {
            framer.restart();
        }
        self.held.resize(0);
        let last = self.last_id().map(str::to_owned);
        let mut backup = None;
        let mut is_from_peer = false;
        let mut known_for = Duration::ZERO;
        if let RelayState::Open(mut response) =
            std::mem::replace(&mut self.state, RelayState::Ended)
        {
            backup = response.backup.take();
            is_from_peer = response.attempt.is_none();
            known_for = response.first_event.map_or(known_for, BootInstant::elapsed);
            response.finish(&self.gateway, AttemptResult::Broken);
        }
        let gateway = Rc::clone(&self.gateway);
        let Some(call) = self.resumed_call() else {
            return false;
        };
        if is_from_peer {
            // The VM that relayed the stream is alive for all that is known, and may be the only
            // one beside the servers.
            self.progress.vms.pop();
        }
        if self.call.rules.response == ResponseRule::LostWithServer {
            let (Some(backup), Some(last)) = (backup, last) else {
                return false;
            };
            self.progress.resumes += 1;
            let progress = self.progress.clone();
            self.state = RelayState::Resuming(Box::pin(async move {
                let response = continue_run(&gateway, &call, backup, &last, known_for).await?;
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
        self.second = None;
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

/// Whether a response is a stream of events. One without a media type is taken for one.
fn is_event_stream(headers: &HeaderMap) -> bool {
    let media_type = headers
        .get(CONTENT_TYPE)
        .and_then(|value| value.to_str().ok());
    media_type.is_none_or(|media_type| media_type.trim_start().starts_with(EVENT_STREAM))
}

/// Completes when the server of `response`, or the VM that relays it, is suspected, after a pause if
/// a second run `was_asked` for. `None` if no second run may be started.
fn watch_server(
    gateway: &Rc<Gateway>,
    call: &SharedCall,
    response: &UpstreamResponse,
    race: RunRace,
    was_asked: bool,
) -> Option<LocalBoxFuture<'static, ()>> {
    if !race.may_start() {
        return None;
    }
    let gateway = Rc::clone(gateway);
    let pause = call.rules.gap_goal.map(|goal| goal * STALLED_GAPS);
    Some(match &response.attempt {
        Some(attempt) => Box::pin(wait_for_suspicion(
            gateway,
            attempt.server(),
            Rc::clone(&response.received),
            pause,
            was_asked,
        )),
        None => Box::pin(wait_until_vm_suspected(
            gateway,
            response.address.ip(),
            Rc::clone(&response.received),
            pause.unwrap_or_default().max(RELAY_PAUSE),
        )),
    })
}

impl Drop for StreamRelay {
    fn drop(&mut self) {
        self.end(AttemptResult::Unknown, "the caller left");
        let open = &self.gateway.open_streams;
        open.set(open.get() - 1);
    }
}
