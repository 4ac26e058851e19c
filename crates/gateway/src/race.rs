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
use onyxfall_events::{EventFramer, FramedBytes};
use onyxfall_fleet::AttemptResult;
use onyxfall_streams::{RunEvent, RunRace, RunSide};
use onyxfall_types::ServerId;

use crate::attempt::{AttemptEnd, UpstreamResponse};
use crate::call::SharedCall;
use crate::gateway::Gateway;
use crate::report::millis;
use crate::serve::{CallProgress, may_reach_another, start_attempt};
use crate::suspicion::{wait_until_stalled, wait_until_suspected};

/// Time after which a second run is asked for again if no server takes one.
const ASK_INTERVAL: Duration = Duration::from_millis(50);

/// An attempt under way. Dropping it closes its connection, which cancels the run.
pub(crate) struct OpenRun {
    /// Completes with the head of a response or a failure.
    pub(crate) end: LocalBoxFuture<'static, AttemptEnd>,
    /// Result of the attempt if it is dropped before its end.
    pub(crate) on_drop: Rc<Cell<AttemptResult>>,
    /// Server of the attempt; `None` if it is another VM.
    pub(crate) server: Option<ServerId>,
}

/// Waits until a server is suspected, or has sent nothing for `pause`. Completes at most once per
/// [`ASK_INTERVAL`] after a second run `was_asked` for.
pub(crate) async fn wait_for_suspicion(
    gateway: Rc<Gateway>,
    server: ServerId,
    pause: Option<Duration>,
    was_asked: bool,
) {
    if was_asked {
        tokio::time::sleep(ASK_INTERVAL).await;
    }
    let stalled = wait_until_stalled(Rc::clone(&gateway), server, pause.unwrap_or(Duration::MAX));
    tokio::select! {
        () = wait_until_suspected(gateway, server) => {}
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
    if !may_reach_another(call, progress) {
        return None;
    }
    let silent = progress.last_target.clone();
    let step = gateway.decide(call, progress);
    if !step.is_attempt() || !gateway.take_retry(&call.needs.service) {
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
        let suspected = wait_for_suspicion(Rc::clone(gateway), server, None, has_asked);
        tokio::select! {
            biased;
            end = &mut first.end => {
                let Some((run, after)) = second else {
                    return end;
                };
                if matches!(end, AttemptEnd::Response(_)) {
                    // The cancelled run may have reached its server.
                    progress.count_run();
                    log_race(gateway, call, RunSide::First);
                    return end;
                }
                progress.count(&end);
                progress.take_target(after);
                return run.end.await;
            }
            end = second_end => {
                let Some((_, after)) = second.take() else { continue };
                if matches!(end, AttemptEnd::Response(_)) {
                    first.on_drop.set(AttemptResult::Overtaken);
                    progress.count_run();
                    progress.take_target(after);
                    log_race(gateway, call, RunSide::Second);
                    return end;
                }
                progress.servers = after.servers;
                progress.vms = after.vms;
                progress.count(&end);
                race.apply(RunEvent::Ended(RunSide::Second));
            }
            () = suspected, if race.may_start() => {
                has_asked = true;
                let mut after = progress.with_run();
                match start_second(gateway, call, &mut after, extra) {
                    Some(run) => {
                        race.apply(RunEvent::Suspected);
                        second = Some((run, after));
                    }
                    None => log::debug!(request = call.request_id.as_str(); "no server takes a second run"),
                }
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
    run: OpenRun,
    mut framer: EventFramer,
) -> Result<SecondStart, AttemptEnd> {
    let lost = |cause| Err(AttemptEnd::Lost { cause });
    let mut response = match run.end.await {
        AttemptEnd::Response(response) => response,
        end => return Err(end),
    };
    if !response.status.is_success() {
        return lost("the server returned an error");
    }
    loop {
        let part = match response.body.frame().await {
            Some(Ok(frame)) => match frame.into_data().map(|data| framer.push(data)) {
                Ok(Ok(part)) if part.events == 0 => continue,
                Ok(Ok(part)) => part,
                Ok(Err(_)) => return lost("an event is too long"),
                Err(_) => continue,
            },
            None if framer.end(response.framing).is_complete() => FramedBytes::default(),
            Some(Err(_)) | None => return lost("the connection was lost"),
        };
        return Ok(SecondStart {
            response,
            framer,
            part,
        });
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
