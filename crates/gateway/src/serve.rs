//! A request from decision to answer: attempts, retries, the verdict.
//!
//! A second attempt is made only while nothing of an answer has left, and only
//! if the request may be repeated or every attempt so far did not run. The
//! request's verdict is the largest of its attempts'.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use onyxfall_adapter::{response_headers, set_last_event};
use onyxfall_fleet::{AttemptResult, TimePrediction};
use onyxfall_types::{RefusalReason, RequestError, RunVerdict, ServerId, VmName};

use crate::attempt::{AttemptEnd, UpstreamResponse, try_peer, try_server};
use crate::body::ReplyBody;
use crate::call::SharedCall;
use crate::decide::RouteStep;
use crate::gateway::Gateway;
use crate::relay::PeerReason;
use crate::stream::StreamRelay;
use crate::suspension::within_deadline;

/// Arrivals at servers that one request may cause, refusals included.
const MAX_ARRIVALS: u32 = 3;
/// Attempts that reach nobody (no connection) before a request is refused.
const MAX_UNREACHED: u32 = 6;
/// Answers up to this size are read whole before the caller gets their head, so
/// that one that breaks off can still be replaced.
const WHOLE_LIMIT: usize = 256 * 1024;
/// Pause that a caller is told when nothing better is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(200);

/// What a request has been through.
#[derive(Clone, Debug, Default)]
pub(crate) struct CallProgress {
    /// Servers that are not tried again.
    pub(crate) servers: Vec<ServerId>,
    /// VMs that are not tried again.
    pub(crate) vms: Vec<VmName>,
    /// Attempts that reached a server.
    pub(crate) arrivals: u32,
    /// Attempts that may have run.
    pub(crate) runs: u32,
    /// Attempts that reached nobody.
    pub(crate) unreached: u32,
    /// Times that another server went on with the stream.
    pub(crate) resumes: u32,
    /// Events that the caller has.
    pub(crate) events: u32,
    /// Whether the end was logged.
    pub(crate) is_told: bool,
    /// Expected times of the last attempt.
    pub(crate) predicted: TimePrediction,
    /// Age of the request when the last attempt was sent.
    pub(crate) sent: Duration,
    /// Time from the request to the first byte of its answer.
    pub(crate) first_byte: Duration,
    /// Where the last attempt went, for the log.
    pub(crate) last_target: String,
    /// Why the last attempt went there, for the log.
    pub(crate) reason: &'static str,
    /// Why the last attempt failed, for the log.
    pub(crate) last_cause: &'static str,
}

/// An answer that a server gave whole.
struct WholeAnswer {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

/// The end of a request without an answer of a server.
#[derive(Debug)]
pub(crate) struct CallFailure {
    /// Why, and whether it may have run.
    pub(crate) error: RequestError,
    /// Attempts that reached a server.
    pub(crate) arrivals: u32,
}

impl From<RequestError> for CallFailure {
    /// A request that was refused before any attempt.
    fn from(error: RequestError) -> Self {
        Self { error, arrivals: 0 }
    }
}

/// Serves a request; the answer may still be on its way when this returns.
pub(crate) async fn serve(
    gateway: &Rc<Gateway>,
    call: &SharedCall,
) -> Result<Response<ReplyBody>, CallFailure> {
    let mut progress = CallProgress::default();
    let mut fallback: Option<WholeAnswer> = None;
    loop {
        let end = match next_attempt(gateway, call, &mut progress, &HeaderMap::new()).await {
            Ok(end) => end,
            Err(error) => return give_up(gateway, call, &progress, fallback, error),
        };
        let AttemptEnd::Answer(answer) = end else {
            if let Err(error) = note_failure(gateway, call, &mut progress, &end) {
                return give_up(gateway, call, &progress, fallback, error);
            }
            continue;
        };
        progress.arrivals += 1;
        progress.runs += 1;
        progress.first_byte = call.age();
        if call.rules.answer.is_stream() && answer.status.is_success() {
            return Ok(stream_reply(gateway, call, progress, answer));
        }
        match read_whole(gateway, call, *answer).await {
            Some(whole) if !whole.status.is_server_error() => {
                gateway.log_request_end(call, &progress, "served");
                return Ok(whole_reply(whole));
            }
            Some(whole) => {
                progress.last_cause = "the server failed";
                tell_failed_attempt(call, &progress);
                fallback = Some(whole);
            }
            None => progress.last_cause = "the answer broke off",
        }
        if let Err(error) = check_repeat(gateway, call, &progress) {
            return give_up(gateway, call, &progress, fallback, error);
        }
    }
}

/// A stream that another server goes on with.
pub(crate) struct ResumedStream {
    /// The answer of that server.
    pub(crate) answer: Box<UpstreamResponse>,
    /// What the request has been through, this answer included.
    pub(crate) progress: CallProgress,
}

/// Asks another server to go on with a stream after `last_event`. Servers that go on
/// with it count as attempts: without that, one caption reached four servers in half a
/// second where its route allows two, and crashed them all.
pub(crate) async fn resume(
    gateway: &Rc<Gateway>,
    call: &SharedCall,
    mut progress: CallProgress,
    last_event: Option<String>,
) -> Option<ResumedStream> {
    let mut extra = HeaderMap::new();
    if let Some(event) = &last_event {
        set_last_event(&mut extra, event);
    }
    loop {
        check_repeat(gateway, call, &progress).ok()?;
        let end = next_attempt(gateway, call, &mut progress, &extra)
            .await
            .ok()?;
        match end {
            AttemptEnd::Answer(answer) if answer.status.is_success() => {
                log::info!(
                    request = call.request_id.as_str(),
                    after = last_event.as_deref().unwrap_or("start"),
                    target = progress.last_target.as_str();
                    "stream resumed"
                );
                progress.arrivals += 1;
                progress.runs += 1;
                return Some(ResumedStream { answer, progress });
            }
            AttemptEnd::Answer(answer) => {
                progress.arrivals += 1;
                progress.runs += 1;
                answer.finish(gateway, AttemptResult::Failed);
            }
            other => note_failure(gateway, call, &mut progress, &other).ok()?,
        }
    }
}

/// Decides where the request goes next and sends it there.
async fn next_attempt(
    gateway: &Rc<Gateway>,
    call: &SharedCall,
    progress: &mut CallProgress,
    extra: &HeaderMap,
) -> Result<AttemptEnd, RequestError> {
    loop {
        gateway.query_before_choice().await;
        let step = gateway.decide(call, progress);
        // A request that is held looks again every few milliseconds, and has changed nothing.
        if !matches!(step, RouteStep::Later(_)) {
            gateway.record_own_change();
        }
        match step {
            RouteStep::Later(pause) => tokio::time::sleep(pause).await,
            RouteStep::Refuse(error) => return Err(error),
            RouteStep::Server(target) => {
                gateway.record_request(call, progress);
                progress.servers.push(target.id);
                progress.sent = call.age();
                progress.predicted = target.predicted;
                progress.reason = target.reason.as_str();
                progress.last_target.clone_from(&target.name);
                return Ok(try_server(gateway, call, &target, extra).await);
            }
            RouteStep::Peer(target) => {
                gateway.record_request(call, progress);
                progress.vms.push(target.vm.clone());
                progress.sent = call.age();
                progress.predicted = target.predicted;
                progress.reason = target.reason.as_str();
                progress.last_target = target.vm.to_string();
                let end = try_peer(gateway, call, &target, extra).await;
                let is_predicted = target.reason == PeerReason::Away;
                if matches!(end, AttemptEnd::Answer(_)) && is_predicted {
                    let took = call.age().saturating_sub(progress.sent);
                    let mut away = gateway.remote_table.borrow_mut();
                    away.note_first(&target.region, target.predicted.first, took);
                }
                return Ok(end);
            }
        }
    }
}

/// Books a failed attempt; an error if the request may not be tried again.
fn note_failure(
    gateway: &Gateway,
    call: &SharedCall,
    progress: &mut CallProgress,
    end: &AttemptEnd,
) -> Result<(), RequestError> {
    match end {
        AttemptEnd::Answer(_) => return Ok(()),
        AttemptEnd::NotRun { arrived, cause } => {
            progress.last_cause = cause;
            progress.arrivals += u32::from(*arrived);
            progress.unreached += u32::from(!*arrived);
        }
        AttemptEnd::Lost { cause } => {
            progress.last_cause = cause;
            progress.arrivals += 1;
            progress.runs += 1;
        }
    }
    tell_failed_attempt(call, progress);
    check_repeat(gateway, call, progress)
}

fn tell_failed_attempt(call: &SharedCall, progress: &CallProgress) {
    log::info!(
        request = call.request_id.as_str(),
        target = progress.last_target.as_str(),
        arrivals = progress.arrivals,
        runs = progress.runs,
        cause = progress.last_cause;
        "attempt failed"
    );
}

/// Whether the request may be sent once more; takes it from the retry budget.
fn check_repeat(
    gateway: &Gateway,
    call: &SharedCall,
    progress: &CallProgress,
) -> Result<(), RequestError> {
    let verdict = verdict_of(progress);
    let refuse = |reason, detail: &str| {
        let error = RequestError {
            verdict,
            reason,
            detail: detail.to_owned(),
            retry_after: Some(DEFAULT_RETRY_AFTER),
        };
        Err(error)
    };
    if call.time_left().is_zero() {
        return refuse(RefusalReason::Deadline, "the time of the request is over");
    }
    if verdict == RunVerdict::MayHaveRun && !call.rules.repeatable {
        return refuse(RefusalReason::Backend, progress.last_cause);
    }
    let out_of_runs = progress.runs >= call.rules.max_attempts;
    if out_of_runs || progress.arrivals >= MAX_ARRIVALS || progress.unreached >= MAX_UNREACHED {
        return refuse(RefusalReason::Backend, progress.last_cause);
    }
    if progress.arrivals > 0 && !gateway.take_retry(&call.needs.service) {
        return refuse(RefusalReason::Backend, "the retry budget is used up");
    }
    Ok(())
}

fn verdict_of(progress: &CallProgress) -> RunVerdict {
    if progress.runs > 0 {
        RunVerdict::MayHaveRun
    } else {
        RunVerdict::NotRun
    }
}

fn give_up(
    gateway: &Gateway,
    call: &SharedCall,
    progress: &CallProgress,
    fallback: Option<WholeAnswer>,
    mut error: RequestError,
) -> Result<Response<ReplyBody>, CallFailure> {
    if let Some(whole) = fallback {
        gateway.log_request_end(call, progress, "the server's failure");
        return Ok(whole_reply(whole));
    }
    error.verdict = error.verdict.max(verdict_of(progress));
    gateway.log_refusal(call, progress, &error);
    Err(CallFailure {
        error,
        arrivals: progress.arrivals,
    })
}

async fn read_whole(
    gateway: &Gateway,
    call: &SharedCall,
    mut answer: UpstreamResponse,
) -> Option<WholeAnswer> {
    let reading = Limited::new(&mut answer.body, WHOLE_LIMIT).collect();
    let read = within_deadline(gateway, call, reading).await;
    let Some(Ok(collected)) = read else {
        let result = if read.is_none() {
            AttemptResult::Unknown
        } else {
            AttemptResult::Broken
        };
        answer.finish(gateway, result);
        return None;
    };
    let whole = WholeAnswer {
        status: answer.status,
        headers: response_headers(&answer.headers),
        body: collected.to_bytes(),
    };
    let result = if whole.status.is_server_error() {
        AttemptResult::Failed
    } else {
        AttemptResult::Succeeded
    };
    answer.finish(gateway, result);
    Some(whole)
}

fn whole_reply(whole: WholeAnswer) -> Response<ReplyBody> {
    let mut response = Response::new(ReplyBody::whole(whole.body));
    *response.status_mut() = whole.status;
    *response.headers_mut() = whole.headers;
    response
}

fn stream_reply(
    gateway: &Rc<Gateway>,
    call: &SharedCall,
    progress: CallProgress,
    answer: Box<UpstreamResponse>,
) -> Response<ReplyBody> {
    let (status, headers) = (answer.status, response_headers(&answer.headers));
    let relay = StreamRelay::new(gateway, call, progress, answer);
    let mut response = Response::new(ReplyBody::Stream(Box::new(relay)));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}
