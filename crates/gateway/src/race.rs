//! Second runs of requests whose servers are silent.
//!
//! `onyxfall_streams` decides what may be done ([`RunRace`]); this module starts the second run and
//! accounts for the run that is cancelled.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use http::HeaderMap;
use http_body_util::BodyExt;
use onyxfall_adapter::set_last_event;
use onyxfall_clock::BootInstant;
use onyxfall_events::{BodyFraming, EventFramer, FramedBytes};
use onyxfall_fleet::{AttemptResult, RetryPurpose};
use onyxfall_streams::{RunEvent, RunRace, RunSide, RunStep};
use onyxfall_types::ServerId;

use crate::attempt::{AttemptEnd, UpstreamResponse};
use crate::call::SharedCall;
use crate::gateway::Gateway;
use crate::report::millis;
use crate::serve::{CallProgress, may_reach_another, start_attempt};
use crate::suspicion::{wait_until_run_suspected, wait_until_stalled};

/// Time after which a second run is asked for again if no server takes one. Each question is a
/// choice over all servers.
const ASK_INTERVAL: Duration = Duration::from_millis(100);

/// An attempt under way. Dropping it closes its connection, which cancels the run.
pub(crate) struct OpenRun {
    /// Completes with the head of a response or a failure.
    pub(crate) end: LocalBoxFuture<'static, AttemptEnd>,
    /// Result of the attempt if it is dropped before its end.
    pub(crate) on_drop: Rc<Cell<AttemptResult>>,
    /// Server of the attempt; `None` if it is another VM.
    pub(crate) server: Option<ServerId>,
}

impl OpenRun {
    /// The run of a stream, which completes with the first part of its body. A head alone may be
    /// followed by nothing.
    fn until_first_part(self, gateway: Rc<Gateway>) -> Self {
        let Self {
            end,
            on_drop,
            server,
        } = self;
        let end = Box::pin(async move {
            let mut response = match end.await {
                AttemptEnd::Response(response) if response.status.is_success() => response,
                end => return end,
            };
            let is_delimited = response.framing == BodyFraming::Delimited;
            match response.body.wait_for_part().await {
                Ok(has_part) if has_part || is_delimited => AttemptEnd::Response(response),
                Ok(_) | Err(_) => {
                    response.finish(&gateway, AttemptResult::Broken);
                    AttemptEnd::Lost {
                        cause: "the stream ended before its first event",
                    }
                }
            }
        });
        Self {
            end,
            on_drop,
            server,
        }
    }
}

/// Waits until a run recorded for a server is suspected, or the server has sent nothing for `pause`.
/// `received` holds when the run last sent something, or was sent. Completes at most once per
/// [`ASK_INTERVAL`] after a second run `was_asked` for.
pub(crate) async fn wait_for_suspicion(
    gateway: Rc<Gateway>,
    server: ServerId,
    received: Rc<Cell<BootInstant>>,
    pause: Option<Duration>,
    was_asked: bool,
) {
    if was_asked {
        tokio::time::sleep(ASK_INTERVAL).await;
    }
    let stalled = wait_until_stalled(Rc::clone(&gateway), server, pause.unwrap_or(Duration::MAX));
    tokio::select! {
        () = wait_until_run_suspected(gateway, server, received) => {}
        () = stalled, if pause.is_some() => {}
    }
}

/// Starts a second run of a request at a server that can take it now. `progress` then names its
/// server, and counts it once it has ended.
pub(crate) fn start_second(
    gateway: &Rc<Gateway>,
    call: &SharedCall,
    progress: &mut CallProgress,
    extra: &HeaderMap,
) -> Option<OpenRun> {
    let purpose = RetryPurpose::SecondRun;
    if !may_reach_another(gateway, call, progress) || !gateway.has_retry(call, purpose) {
        return None;
    }
    let silent = progress.last_target.clone();
    let step = gateway.decide(call, progress);
    if !step.is_attempt() || !gateway.take_retry(call, purpose) {
        return None;
    }
    let run = start_attempt(gateway, call, progress, extra, step)?;
    gateway.metrics.count("onyxfall_second_runs_total");
    log::info!(
        request = call.request_id.as_str(),
        silent = silent.as_str(),
        target = progress.last_target.as_str(),
        age_ms = millis(call.age());
        "second run started"
    );
    Some(run)
}

/// Logs which of two runs the answer comes from.
pub(crate) fn log_race(gateway: &Gateway, call: &SharedCall, kept: RunSide) {
    let kept = match kept {
        RunSide::First => "first",
        RunSide::Second => {
            gateway.metrics.count("onyxfall_second_runs_kept_total");
            "second"
        }
    };
    log::info!(
        request = call.request_id.as_str(),
        kept,
        age_ms = millis(call.age());
        "race of two runs decided"
    );
}

/// Waits for the end of an attempt. While its server is suspected, a request that may run twice
/// runs at a second server, too, and the first response is taken. `progress` counts all attempts
/// but the one whose end is returned.
pub(crate) async fn race_attempt(
    gateway: &Rc<Gateway>,
    call: &SharedCall,
    progress: &mut CallProgress,
    extra: &HeaderMap,
    mut first: OpenRun,
) -> AttemptEnd {
    let Some(server) = first.server.filter(|_| call.rules.repeatable) else {
        return first.end.await;
    };
    let sent = Rc::new(Cell::new(BootInstant::now()));
    let mut race = RunRace::new(true);
    let mut has_asked = false;
    let mut second: Option<(OpenRun, CallProgress)> = None;
    loop {
        let second_end = async {
            match &mut second {
                Some((run, _)) => (&mut run.end).await,
                None => std::future::pending().await,
            }
        };
        let suspected = wait_for_suspicion(
            Rc::clone(gateway),
            server,
            Rc::clone(&sent),
            None,
            has_asked,
        );
        tokio::select! {
            biased;
            end = &mut first.end => {
                let event = match &end {
                    AttemptEnd::Response(_) => RunEvent::Progressed(RunSide::First),
                    _ => RunEvent::Ended(RunSide::First),
                };
                return match (race.apply(event), second) {
                    (RunStep::Wait, Some((run, after))) => {
                        progress.count(&end);
                        progress.take_target(after);
                        run.end.await
                    }
                    (RunStep::Keep(kept), Some((_, after))) => {
                        // The cancelled run may have reached its server.
                        progress.log.record_run(after.server);
                        log_race(gateway, call, kept);
                        end
                    }
                    _ => end,
                };
            }
            end = second_end => {
                let Some((_, after)) = second.take() else { continue };
                if let RunStep::Keep(kept) = race.apply(end.second_event()) {
                    first.on_drop.set(AttemptResult::Overtaken);
                    progress.count_run();
                    progress.take_target(after);
                    log_race(gateway, call, kept);
                    return end;
                }
                progress.count_other(after, &end);
                if let AttemptEnd::Response(response) = end {
                    response.finish(gateway, AttemptResult::Failed);
                }
            }
            () = suspected, if race.may_start() => {
                has_asked = true;
                let mut after = progress.with_run();
                match start_second(gateway, call, &mut after, extra) {
                    Some(run) if race.apply(RunEvent::Suspected) == RunStep::Start => {
                        let run = if call.rules.response.is_stream() {
                            run.until_first_part(Rc::clone(gateway))
                        } else {
                            run
                        };
                        second = Some((run, after));
                    }
                    _ => log::debug!(request = call.request_id.as_str(); "no server takes a second run"),
                }
            }
        }
    }
}

impl AttemptEnd {
    /// The end of a second run before its first part, as an event of its race. One that has not
    /// run costs nothing, and another server may be asked; the failure of a second run is no
    /// answer while the first one may go on.
    pub(crate) fn second_event(&self) -> RunEvent {
        match self {
            Self::Response(response) if !response.status.is_server_error() => {
                RunEvent::Progressed(RunSide::Second)
            }
            Self::NotRun { .. } => RunEvent::Refused,
            Self::Response(_) | Self::Lost { .. } | Self::LostWithServer { .. } => {
                RunEvent::Ended(RunSide::Second)
            }
        }
    }
}

/// A second run of a stream whose first event has arrived, or which has ended complete before it.
pub(crate) struct SecondStart {
    pub(crate) response: Box<UpstreamResponse>,
    pub(crate) framer: EventFramer,
    pub(crate) part: FramedBytes,
}

/// Waits for the first event of a second run of a stream.
pub(crate) async fn begin_second(
    gateway: Rc<Gateway>,
    run: OpenRun,
    mut framer: EventFramer,
) -> Result<SecondStart, AttemptEnd> {
    let mut response = match run.end.await {
        AttemptEnd::Response(response) => response,
        end => return Err(end),
    };
    let begun = if response.status.is_success() {
        first_event(&mut response, &mut framer).await
    } else {
        Err((AttemptResult::Failed, "the server returned an error"))
    };
    match begun {
        Ok(part) => Ok(SecondStart {
            response,
            framer,
            part,
        }),
        Err((result, cause)) => {
            response.finish(&gateway, result);
            Err(AttemptEnd::Lost { cause })
        }
    }
}

/// Receives a stream up to its first event, or its end if it is complete without one.
async fn first_event(
    response: &mut UpstreamResponse,
    framer: &mut EventFramer,
) -> Result<FramedBytes, (AttemptResult, &'static str)> {
    loop {
        let data = match response.body.frame().await {
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            None if framer.end(response.framing).is_complete() => {
                return Ok(FramedBytes::default());
            }
            Some(Err(_)) | None => {
                return Err((AttemptResult::Broken, "the connection was lost"));
            }
        };
        match framer.push(data) {
            Ok(part) if part.events > 0 => return Ok(part),
            Ok(_) => {}
            Err(_) => return Err((AttemptResult::Unknown, "an event is too long")),
        }
    }
}

/// Headers of a run that resumes a stream after `last_event`.
pub(crate) fn resume_headers(last_event: Option<&str>) -> HeaderMap {
    let mut headers = HeaderMap::new();
    if let Some(event) = last_event {
        set_last_event(&mut headers, event);
    }
    headers
}
