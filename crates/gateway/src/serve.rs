//! Serves a request: attempts, retries and the final verdict.
//!
//! A request is retried only while nothing of a response has been sent to the caller, and
//! only if it is repeatable or no attempt so far ran. The verdict of the request is the
//! largest verdict of its attempts.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::header::CONTENT_LENGTH;
use http::{HeaderMap, Method, Response, StatusCode};
use onyxfall_adapter::response_headers;
use onyxfall_events::StreamEnd;
use onyxfall_fleet::{AttemptResult, RetryPurpose, TimePrediction};
use onyxfall_intake::{HoldRule, collect_body};
use onyxfall_streams::AttemptLog;
use onyxfall_types::{RefusalReason, RequestError, RunVerdict, ServerId, SoftwareVersion, VmName};

use crate::attempt::{AttemptEnd, UpstreamResponse, try_peer, try_server};
use crate::body::ReplyBody;
use crate::call::{CallOrigin, SharedCall};
use crate::decide::RouteStep;
use crate::gateway::Gateway;
use crate::race::{OpenRun, race_attempt, resume_headers};
use crate::relay::{PeerReason, set_server, set_version};
use crate::stream::StreamRelay;
use crate::suspension::within_deadline;
use crate::suspicion::{find_ended, note_ended};

/// Responses up to this size are buffered whole before their head is sent to the caller,
/// so that a response cut off by a lost connection can be replaced by a retry.
const MAX_BUFFERED_BODY: usize = 256 * 1024;
/// Retry delay sent to a caller when no better one is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Time for which a stream whose server has ended waits for another one, and the pause between
/// two choices. Callers give a stream up after two seconds without an event at the earliest.
pub(crate) const RESUME_PATIENCE: Duration = Duration::from_secs(2);
pub(crate) const RESUME_PAUSE: Duration = Duration::from_millis(50);
/// Interval at which a waiting stream asks those again that it has tried. Attempts without a
/// connection are limited, too.
const FORGET_INTERVAL: Duration = Duration::from_millis(500);

/// Attempts of a request so far.
#[derive(Clone, Debug, Default)]
pub(crate) struct CallProgress {
    /// Servers that are not tried again.
    pub(crate) servers: Vec<ServerId>,
    /// VMs that are not tried again.
    pub(crate) vms: Vec<VmName>,
    /// Attempts so far, without the one under way.
    pub(crate) log: AttemptLog,
    /// Server of the last attempt; `None` if it went to another VM.
    pub(crate) server: Option<ServerId>,
    /// Number of times that another server resumed the stream.
    pub(crate) resumes: u32,
    /// Number of events forwarded to the caller.
    pub(crate) events: u32,
    /// How the stream ended at the server that last sent it.
    pub(crate) stream_end: Option<StreamEnd>,
    /// Whether the work of the request was recorded for the capacity plan.
    pub(crate) is_work_recorded: bool,
    /// Whether the end of the request was logged.
    pub(crate) is_end_logged: bool,
    /// Predicted times of the last attempt.
    pub(crate) predicted: TimePrediction,
    /// Age of the request when the last attempt was sent.
    pub(crate) sent: Duration,
    /// Time from the arrival of the request to the head of its response.
    pub(crate) first_byte: Duration,
    /// Server or VM of the last attempt, for the log.
    pub(crate) last_target: String,
    /// Why the last attempt went to that server or VM, for the log.
    pub(crate) reason: &'static str,
    /// Why the last attempt failed, for the log.
    pub(crate) last_cause: &'static str,
}

impl CallProgress {
    /// Counts the last attempt, which may have run.
    pub(crate) fn count_run(&mut self) {
        self.log.record_run(self.server);
    }

    /// Counts the last attempt, which has brought this end.
    pub(crate) fn count(&mut self, end: &AttemptEnd) {
        match end {
            AttemptEnd::Response(response) => self.log.record_run(response.server),
            AttemptEnd::NotRun { arrived, cause } => {
                self.last_cause = cause;
                if *arrived {
                    self.log.record_rejection();
                } else {
                    self.log.record_unreached();
                }
            }
            AttemptEnd::Lost { cause } => {
                self.last_cause = cause;
                self.count_run();
            }
            AttemptEnd::LostWithServer { cause } => {
                self.last_cause = cause;
                self.log.record_ended_run();
            }
        }
    }

    /// The progress with one more attempt that may have run.
    pub(crate) fn with_run(&self) -> Self {
        let mut next = self.clone();
        next.count_run();
        next
    }

    /// What a retry after the last attempt saves.
    fn retry_purpose(&self) -> RetryPurpose {
        if self.resumes > 0 {
            RetryPurpose::Resumption
        } else {
            RetryPurpose::Repetition
        }
    }

    /// Allows servers and VMs that were tried to be tried again.
    fn forget_targets(&mut self) {
        self.servers.clear();
        self.vms.clear();
    }

    /// Takes over what was tried last from `other`, but not its counts.
    pub(crate) fn take_target(&mut self, other: Self) {
        let log = std::mem::take(&mut self.log);
        *self = Self { log, ..other };
    }

    /// Counts the attempt of `other` with its end, and leaves out what it has tried.
    pub(crate) fn count_other(&mut self, other: Self, end: &AttemptEnd) {
        let server = std::mem::replace(&mut self.server, other.server);
        self.count(end);
        self.server = server;
        self.servers = other.servers;
        self.vms = other.vms;
    }
}

/// A response that was received whole.
struct WholeResponse {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

/// Result of a request without a response from a server.
#[derive(Debug)]
pub(crate) struct CallFailure {
    /// Why it failed, and whether it may have run.
    pub(crate) error: RequestError,
    /// Number of attempts that reached a server.
    pub(crate) arrivals: u32,
    /// Whether all servers that may have run it have ended.
    pub(crate) is_ended: bool,
}

impl From<RequestError> for CallFailure {
    /// Converts the error of a request that was rejected before any attempt.
    fn from(error: RequestError) -> Self {
        Self {
            error,
            arrivals: 0,
            is_ended: false,
        }
    }
}

/// Serves a request. The body of the response may still be streaming when this returns.
pub(crate) async fn serve(
    gateway: &Rc<Gateway>,
    call: &SharedCall,
) -> Result<Response<ReplyBody>, CallFailure> {
    let mut progress = CallProgress::default();
    let mut fallback: Option<WholeResponse> = None;
    loop {
        let end = match next_attempt(gateway, call, &mut progress, &HeaderMap::new()).await {
            Ok(end) => end,
            Err(error) => return finish_unserved(gateway, call, &progress, fallback, error),
        };
        let AttemptEnd::Response(response) = end else {
            if let Err(error) = record_failure(gateway, call, &mut progress, &end).await {
                return finish_unserved(gateway, call, &progress, fallback, error);
            }
            continue;
        };
        progress.log.record_run(response.server);
        progress.first_byte = call.age();
        if call.rules.response.is_stream() && response.status.is_success() {
            return Ok(stream_reply(gateway, call, progress, response));
        }
        match read_whole(gateway, call, *response).await {
            Some(whole) if !whole.status.is_server_error() => {
                gateway.log_request_end(call, &progress, "served");
                return Ok(whole_reply(whole));
            }
            Some(whole) => {
                progress.last_cause = "the server returned an error";
                log_failed_attempt(call, &progress);
                fallback = Some(whole);
            }
            None => progress.last_cause = "the connection was lost during the response",
        }
        if let Err(error) = claim_retry(gateway, call, &mut progress).await {
            return finish_unserved(gateway, call, &progress, fallback, error);
        }
    }
}

/// A stream resumed by another server.
pub(crate) struct ResumedStream {
    /// Response of that server.
    pub(crate) response: Box<UpstreamResponse>,
    /// Attempts of the request so far, including this one.
    pub(crate) progress: CallProgress,
}

/// Resumes a stream after `last_event` at another server. Each resumption counts as an
/// attempt; otherwise a request that crashes its servers reaches more of them than its
/// route allows, as when one reached four servers in half a second with two allowed.
pub(crate) async fn resume(
    gateway: &Rc<Gateway>,
    call: &SharedCall,
    progress: CallProgress,
    last_event: Option<String>,
) -> Option<ResumedStream> {
    let resumed = try_resume(gateway, call, progress, last_event).await;
    if let Err(error) = &resumed {
        log::info!(
            request = call.request_id.as_str(),
            reason = error.reason.as_str(),
            detail = error.detail.as_str();
            "stream could not be resumed"
        );
    }
    resumed.ok()
}

async fn try_resume(
    gateway: &Rc<Gateway>,
    call: &SharedCall,
    mut progress: CallProgress,
    last_event: Option<String>,
) -> Result<ResumedStream, RequestError> {
    let extra = resume_headers(last_event.as_deref());
    let wait_end = call.age() + RESUME_PATIENCE;
    let mut forget_at = call.age();
    claim_retry(gateway, call, &mut progress).await?;
    loop {
        let end = match next_attempt(gateway, call, &mut progress, &extra).await {
            Ok(end) => end,
            // The other servers may be silent only, and one that was tried may be back.
            Err(error) if error.reason == RefusalReason::Overloaded && call.age() < wait_end => {
                if call.age() >= forget_at {
                    progress.forget_targets();
                    forget_at = call.age() + FORGET_INTERVAL;
                }
                tokio::time::sleep(RESUME_PAUSE).await;
                continue;
            }
            Err(error) => return Err(error),
        };
        match end {
            AttemptEnd::Response(response) if response.status.is_success() => {
                let (needed, version) = (&call.needs.version, &response.version);
                log::info!(
                    request = call.request_id.as_str(),
                    after = last_event.as_deref().unwrap_or("start"),
                    needed_version = needed.as_ref().map_or("any", SoftwareVersion::as_str),
                    version = version.as_ref().map_or("unknown", SoftwareVersion::as_str),
                    stream_end = progress.stream_end.map_or("none", StreamEnd::as_str),
                    target = progress.last_target.as_str();
                    "stream resumed"
                );
                progress.log.record_run(response.server);
                return Ok(ResumedStream { response, progress });
            }
            AttemptEnd::Response(response) => {
                progress.log.record_run(response.server);
                response.finish(gateway, AttemptResult::Failed);
                claim_retry(gateway, call, &mut progress).await?;
            }
            other => record_failure(gateway, call, &mut progress, &other).await?,
        }
    }
}

/// Decides the next step of a request and makes the attempt.
async fn next_attempt(
    gateway: &Rc<Gateway>,
    call: &SharedCall,
    progress: &mut CallProgress,
    extra: &HeaderMap,
) -> Result<AttemptEnd, RequestError> {
    loop {
        gateway.query_before_choice().await;
        gateway.record_class_work(call, progress);
        progress.is_work_recorded = true;
        let step = gateway.decide(call, progress);
        // A waiting request decides again every few milliseconds without any change of its own.
        if !matches!(step, RouteStep::Later(_)) {
            gateway.record_own_change();
        }
        match step {
            RouteStep::Later(pause) => tokio::time::sleep(pause).await,
            RouteStep::Refuse(error) => return Err(error),
            RouteStep::Server(_) | RouteStep::Peer(_) => {
                if let Some(run) = start_attempt(gateway, call, progress, extra, step) {
                    return Ok(race_attempt(gateway, call, progress, extra, run).await);
                }
            }
        }
    }
}

/// Starts the attempt of a step and records its target. `None` if the step makes no attempt.
pub(crate) fn start_attempt(
    gateway: &Rc<Gateway>,
    call: &SharedCall,
    progress: &mut CallProgress,
    extra: &HeaderMap,
    step: RouteStep,
) -> Option<OpenRun> {
    let on_drop = Rc::new(Cell::new(AttemptResult::Unknown));
    let (gateway, call, extra) = (Rc::clone(gateway), Rc::clone(call), extra.clone());
    gateway.record_rate(&call, progress);
    progress.sent = call.age();
    match step {
        RouteStep::Server(target) => {
            progress.servers.push(target.id);
            progress.server = Some(target.id);
            progress.predicted = target.predicted;
            progress.reason = target.reason.as_str();
            progress.last_target.clone_from(&target.name);
            let (server, dropped) = (Some(target.id), Rc::clone(&on_drop));
            let end = async move { try_server(&gateway, &call, &target, &extra, dropped).await };
            Some(OpenRun {
                end: Box::pin(end),
                on_drop,
                server,
            })
        }
        RouteStep::Peer(target) => {
            progress.vms.push(target.vm.clone());
            progress.server = None;
            progress.predicted = target.predicted;
            progress.reason = target.reason.as_str();
            progress.last_target = target.vm.to_string();
            let sent = progress.sent;
            let end = async move {
                let end = try_peer(&gateway, &call, &target, &extra).await;
                let is_predicted = target.reason == PeerReason::Remote;
                if matches!(end, AttemptEnd::Response(_)) && is_predicted {
                    let took = call.age().saturating_sub(sent);
                    let mut table = gateway.remote_table.borrow_mut();
                    table.record_first(&target.region, target.predicted.first, took);
                }
                end
            };
            Some(OpenRun {
                end: Box::pin(end),
                on_drop,
                server: None,
            })
        }
        RouteStep::Later(_) | RouteStep::Refuse(_) => None,
    }
}

/// Records a failed attempt. Returns an error if the request may not be retried.
async fn record_failure(
    gateway: &Gateway,
    call: &SharedCall,
    progress: &mut CallProgress,
    end: &AttemptEnd,
) -> Result<(), RequestError> {
    if matches!(end, AttemptEnd::Response(_)) {
        return Ok(());
    }
    progress.count(end);
    log_failed_attempt(call, progress);
    match end {
        // The retry that was claimed for this attempt has reached no server and is left.
        AttemptEnd::NotRun { arrived: false, .. } => check_retry(call, progress),
        _ => claim_retry(gateway, call, progress).await,
    }
}

fn log_failed_attempt(call: &SharedCall, progress: &CallProgress) {
    log::info!(
        request = call.request_id.as_str(),
        target = progress.last_target.as_str(),
        arrivals = progress.log.arrivals(),
        runs = progress.log.runs(),
        cause = progress.last_cause;
        "attempt failed"
    );
}

/// Checks whether the request may be retried, and claims a retry from the budget.
async fn claim_retry(
    gateway: &Gateway,
    call: &SharedCall,
    progress: &mut CallProgress,
) -> Result<(), RequestError> {
    find_ended(gateway, call, &mut progress.log).await;
    check_retry(call, progress)?;
    if progress.log.arrivals() > 0 && !gateway.take_retry(call, progress.retry_purpose()) {
        let detail = "the retry budget is used up";
        return Err(unretried(progress, RefusalReason::Backend, detail));
    }
    Ok(())
}

/// Whether the attempts that a request has left allow another one.
pub(crate) fn may_reach_another(
    gateway: &Rc<Gateway>,
    call: &SharedCall,
    progress: &mut CallProgress,
) -> bool {
    note_ended(gateway, call, &mut progress.log);
    check_retry(call, progress).is_ok()
}

fn unretried(progress: &CallProgress, reason: RefusalReason, detail: &str) -> RequestError {
    RequestError {
        verdict: verdict_of(progress),
        reason,
        detail: detail.to_owned(),
        retry_after: Some(DEFAULT_RETRY_AFTER),
    }
}

/// Checks whether the request may be retried.
fn check_retry(call: &SharedCall, progress: &CallProgress) -> Result<(), RequestError> {
    let verdict = verdict_of(progress);
    let reject = |reason, detail: &str| Err(unretried(progress, reason, detail));
    if call.time_left().is_zero() {
        return reject(
            RefusalReason::Deadline,
            "the deadline of the request has passed",
        );
    }
    if verdict == RunVerdict::MayHaveRun && !call.rules.repeatable {
        return reject(RefusalReason::Backend, progress.last_cause);
    }
    if !progress.log.has_attempt(call.rules.max_attempts) {
        let cause = match progress.last_cause {
            "" => "no attempt is left",
            cause => cause,
        };
        return reject(RefusalReason::Backend, cause);
    }
    Ok(())
}

fn verdict_of(progress: &CallProgress) -> RunVerdict {
    if progress.log.runs() > 0 {
        RunVerdict::MayHaveRun
    } else {
        RunVerdict::NotRun
    }
}

fn finish_unserved(
    gateway: &Gateway,
    call: &SharedCall,
    progress: &CallProgress,
    fallback: Option<WholeResponse>,
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
        arrivals: progress.log.arrivals(),
        is_ended: progress.log.is_ended(),
    })
}

async fn read_whole(
    gateway: &Gateway,
    call: &SharedCall,
    mut response: UpstreamResponse,
) -> Option<WholeResponse> {
    let held = gateway.held.hold(0);
    let collecting = collect_body(
        &mut response.body,
        MAX_BUFFERED_BODY,
        held,
        HoldRule::BeyondBound,
    );
    let read = within_deadline(gateway, call, collecting).await;
    // The task of the connection sees what follows the body in its next turn.
    tokio::task::yield_now().await;
    let is_cut_short = response.is_cut_short();
    if is_cut_short {
        gateway.metrics.count("onyxfall_short_lengths_total");
    }
    let (Some(Ok(body)), false) = (&read, is_cut_short) else {
        let result = if read.is_none() {
            AttemptResult::Unknown
        } else {
            AttemptResult::Broken
        };
        response.finish(gateway, result);
        return None;
    };
    let mut headers = response_headers(&response.headers);
    if call.method != Method::HEAD {
        // The length of what is sent is that of the bytes received.
        headers.remove(CONTENT_LENGTH);
    }
    let whole = WholeResponse {
        status: response.status,
        headers,
        body: body.clone(),
    };
    let result = if whole.status.is_server_error() {
        AttemptResult::Failed
    } else {
        AttemptResult::Succeeded
    };
    response.finish(gateway, result);
    Some(whole)
}

fn whole_reply(whole: WholeResponse) -> Response<ReplyBody> {
    let mut response = Response::new(ReplyBody::whole(whole.body));
    *response.status_mut() = whole.status;
    *response.headers_mut() = whole.headers;
    response
}

fn stream_reply(
    gateway: &Rc<Gateway>,
    call: &SharedCall,
    progress: CallProgress,
    response: Box<UpstreamResponse>,
) -> Response<ReplyBody> {
    let (status, mut headers) = (response.status, response_headers(&response.headers));
    let is_relayed = call.origin != CallOrigin::Caller;
    let version = response.version.as_ref().filter(|_| is_relayed);
    set_version(&mut headers, version);
    let server = response.server.filter(|_| is_relayed);
    set_server(&mut headers, server.map(|id| gateway.instance_of(id)));
    let relay = StreamRelay::new(gateway, call, progress, response);
    let mut response = Response::new(ReplyBody::Stream(Box::new(relay)));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}
