//! Serves a request: decision, attempts, retries, verdict and response.
//!
//! The verdict of a request is the largest verdict of its attempts. Another attempt is
//! made only while no part of a response has been sent, the deadline and the retry
//! budget allow it, and either the kind is repeatable or every attempt so far was
//! not-run.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use crossbeam::channel::Receiver;
use fastrace::Span;
use onyxfall_bundle::{RequestKind, ServiceBundle};
use onyxfall_clock::BootInstant;
use onyxfall_http::CancelToken;
use onyxfall_policy::{
    ArrivalOrigin, AttemptOutcome, BackoffCurve, Moment, PrefixKey, RegionSet, RequestArrival,
    RequestRouter, RouteStep, WaitId, allowed_regions,
};
use onyxfall_types::{
    CenterName, KindName, RefusalReason, RegionName, RequestError, RunVerdict, ServerId, ServerName,
};

use crate::backend::{AttemptError, BackendCall, run_attempt};
use crate::core::{ArrivalStep, EntryCore, WakeUp};
use crate::peer::{ForwardCall, run_forward};
use crate::response::ResponseSink;
use crate::trace::header_of;

const BACKOFF: BackoffCurve = BackoffCurve {
    base: Duration::from_millis(25),
    cap: Duration::from_millis(500),
};
/// How long past its deadline a waiting request blocks on its channel. The router
/// expires the request before that.
const WAIT_SLACK: Duration = Duration::from_secs(2);
/// Number of reroutes after a refusal that do not use the retry budget.
const FREE_REROUTES: u32 = 2;

/// Source of a request, which limits where it may be served.
#[derive(Clone, Debug)]
pub(crate) enum RequestOrigin {
    /// A caller of this VM.
    Caller,
    /// Another entry, with the regions that it allows.
    Peer { allowed: Vec<RegionName> },
}

/// A request being served.
pub(crate) struct RequestContext {
    pub(crate) request_id: String,
    pub(crate) kind: KindName,
    pub(crate) home: Option<RegionName>,
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) content_type: String,
    pub(crate) body: Bytes,
    pub(crate) prefix: Option<PrefixKey>,
    pub(crate) deadline: Moment,
    pub(crate) origin: RequestOrigin,
    pub(crate) cancel: CancelToken,
    pub(crate) span: Span,
}

/// Results of the earlier attempts of a request.
struct AttemptHistory {
    verdict: RunVerdict,
    excluded: Vec<ServerName>,
    excluded_centers: Vec<CenterName>,
    retries: u32,
    reroutes: u32,
}

/// Serves a request into `sink` and closes the sink; returns the outcome.
pub(crate) fn serve_request(
    core: &Arc<EntryCore>,
    context: &RequestContext,
    mut sink: ResponseSink,
) -> Result<(), RequestError> {
    let started = BootInstant::now();
    let result = serve_into(core, context, &mut sink);
    let first_byte = sink
        .first_byte()
        .map_or_else(|| started.elapsed(), |at| at - started);
    let result = match result {
        Ok(()) => sink.finish().map_err(|_| {
            let detail = "the caller disconnected before the end of the response";
            RequestError::failed(RunVerdict::Ran, RefusalReason::Cancelled, detail)
        }),
        Err(error) => {
            sink.fail(&error);
            Err(error)
        }
    };
    record_end(core, context, &result, first_byte, started.elapsed());
    result
}

/// Serves a request into a sink that the caller of this function closes.
pub(crate) fn serve_into(
    core: &Arc<EntryCore>,
    context: &RequestContext,
    sink: &mut ResponseSink,
) -> Result<(), RequestError> {
    let mut history = AttemptHistory {
        verdict: RunVerdict::NotRun,
        excluded: Vec::new(),
        excluded_centers: Vec::new(),
        retries: 0,
        reroutes: 0,
    };
    core.with_router(|router| {
        if let Some(kind) = router.bundle().kind_id(context.kind.as_str()) {
            router.record_first(kind);
        }
    });
    loop {
        let step =
            next_step(core, context, &history).map_err(|e| with_history_verdict(e, &history))?;
        let failure = match step {
            RouteStep::Run { attempt, server } => {
                run_local(core, context, attempt, server, sink, &mut history)
            }
            RouteStep::Forward { attempt, center } => {
                run_remote(core, context, attempt, center, sink, &mut history)
            }
            RouteStep::Refuse(error) => return Err(with_history_verdict(error, &history)),
            RouteStep::Wait(_) => unreachable!("next_step resolves waits"),
        };
        let Err(failure) = failure else { return Ok(()) };
        history.verdict = history.verdict.max(failure.error.verdict);
        if !may_retry(core, context, sink, &mut history, &failure) {
            return Err(with_history_verdict(failure.error, &history));
        }
    }
}

fn with_history_verdict(mut error: RequestError, history: &AttemptHistory) -> RequestError {
    error.verdict = error.verdict.max(history.verdict);
    error
}

fn record_end(
    core: &EntryCore,
    context: &RequestContext,
    result: &Result<(), RequestError>,
    first_byte: Duration,
    total: Duration,
) {
    match result {
        Ok(()) => core
            .metrics
            .record_response(&context.kind, first_byte, total),
        Err(error) => {
            core.metrics
                .record_refusal(&context.kind, error.verdict, error.reason);
            log::info!(
                "request {} of kind {}: {error}",
                context.request_id,
                context.kind
            );
        }
    }
}

/// Gets the router's next decision, waiting for it if necessary.
fn next_step(
    core: &Arc<EntryCore>,
    context: &RequestContext,
    history: &AttemptHistory,
) -> Result<RouteStep, RequestError> {
    loop {
        if context.cancel.is_cancelled() {
            return Err(RequestError::not_run(
                RefusalReason::Cancelled,
                "the caller disconnected",
            ));
        }
        match core.arrive(|router| make_arrival(router, context, history))? {
            ArrivalStep::Step(step) => return Ok(step),
            ArrivalStep::Wait(id, wake) => {
                let _span = Span::enter_with_parent("wait", &context.span);
                if let Some(step) = wait_for(core, context, id, &wake) {
                    return Ok(step);
                }
            }
        }
    }
}

/// Blocks until the router decides; `None` means that the request must arrive again.
fn wait_for(
    core: &Arc<EntryCore>,
    context: &RequestContext,
    id: WaitId,
    wake: &Receiver<WakeUp>,
) -> Option<RouteStep> {
    let hook_core = Arc::clone(core);
    let _hook = context.cancel.on_cancel(move || hook_core.cancel_wait(id));
    let timeout = (context.deadline - core.now()) + WAIT_SLACK;
    match wake.recv_timeout(timeout) {
        Ok(WakeUp::Step(step)) => Some(step),
        Ok(WakeUp::Rearrive) => None,
        Err(_) => {
            core.cancel_wait(id);
            let detail = "no server became free before the deadline";
            Some(RouteStep::Refuse(RequestError::not_run(
                RefusalReason::Deadline,
                detail,
            )))
        }
    }
}

fn make_arrival(
    router: &RequestRouter,
    context: &RequestContext,
    history: &AttemptHistory,
) -> Result<RequestArrival, RequestError> {
    let bundle = router.bundle();
    let kind_id = bundle
        .kind_id(context.kind.as_str())
        .ok_or_else(|| unknown_kind(&context.kind))?;
    let kind = &bundle.kinds[kind_id];
    let allowed = permitted_regions(bundle, kind, context)?;
    if !allowed.contains(bundle.centers[router.center()].region) {
        let detail = format!("kind {} may not be served in this region", kind.name);
        return Err(RequestError::not_run(RefusalReason::Residency, detail));
    }
    let origin = match context.origin {
        RequestOrigin::Caller => ArrivalOrigin::Caller,
        RequestOrigin::Peer { .. } => ArrivalOrigin::Peer,
    };
    let server_ids = history
        .excluded
        .iter()
        .filter_map(|name| bundle.server_id(name.as_str()));
    let center_ids = history
        .excluded_centers
        .iter()
        .filter_map(|name| bundle.center_id(name.as_str()));
    Ok(RequestArrival {
        kind: kind_id,
        allowed,
        prefix: context.prefix,
        deadline: context.deadline,
        origin,
        excluded: server_ids.collect(),
        excluded_centers: center_ids.collect(),
    })
}

pub(crate) fn unknown_kind(kind: &KindName) -> RequestError {
    RequestError::not_run(
        RefusalReason::UnknownKind,
        format!("kind {kind} is not declared"),
    )
}

/// Regions that the own bundle allows, intersected with those that the sender allows.
pub(crate) fn permitted_regions(
    bundle: &ServiceBundle,
    kind: &RequestKind,
    context: &RequestContext,
) -> Result<RegionSet, RequestError> {
    let home = home_region(bundle, context.home.as_ref())?;
    let own = allowed_regions(bundle, kind, home)?;
    match &context.origin {
        RequestOrigin::Caller => Ok(own),
        RequestOrigin::Peer { allowed } => {
            let names = allowed
                .iter()
                .filter_map(|name| bundle.region_id(name.as_str()));
            Ok(own.intersection(names.collect()))
        }
    }
}

pub(crate) fn home_region(
    bundle: &ServiceBundle,
    home: Option<&RegionName>,
) -> Result<Option<onyxfall_types::RegionId>, RequestError> {
    let Some(home) = home else { return Ok(None) };
    let id = bundle.region_id(home.as_str());
    id.map(Some).ok_or_else(|| {
        let detail = format!("home region {home} is not declared");
        RequestError::not_run(RefusalReason::BadRequest, detail)
    })
}

fn run_local(
    core: &Arc<EntryCore>,
    context: &RequestContext,
    attempt: u64,
    server: ServerId,
    sink: &mut ResponseSink,
    history: &mut AttemptHistory,
) -> Result<(), AttemptError> {
    let Some(bundle) = core.bundle() else {
        core.end_attempt(attempt, AttemptOutcome::Cancelled, Duration::ZERO);
        return Err(AttemptError::from_error(crate::core::not_ready(), false));
    };
    let Some(server) = bundle.servers.get(server).cloned() else {
        core.end_attempt(attempt, AttemptOutcome::Cancelled, Duration::ZERO);
        let error = RequestError::not_run(RefusalReason::Overloaded, "the bundle has changed");
        return Err(AttemptError::from_error(error, true));
    };
    let kind = bundle
        .kind_id(context.kind.as_str())
        .map(|id| &bundle.kinds[id]);
    let refusals = kind.map_or(&[][..], |kind| {
        bundle.models[kind.model].refusals.as_slice()
    });
    let span = Span::enter_with_parent("backend", &context.span)
        .with_property(|| ("server", server.name.to_string()));
    let traceparent = header_of(&span);
    let call = BackendCall {
        address: server.address,
        method: &context.method,
        path: &context.path,
        content_type: &context.content_type,
        body: &context.body,
        request_id: &context.request_id,
        traceparent: &traceparent,
        priority: kind.map_or(5, |kind| kind.priority),
        refusals,
        connect_timeout: core.settings.connect_timeout,
        idle_timeout: core.settings.idle_timeout,
        remaining: context.deadline - core.now(),
        cancel: &context.cancel,
    };
    sink.set_region(&core.settings.region);
    let started = BootInstant::now();
    let result = run_attempt(&call, sink);
    let elapsed = started.elapsed().saturating_sub(sink.stalled());
    if let Err(failure) = &result
        && let Some(backoff) = failure.backoff
    {
        core.record_backoff(attempt, backoff);
        log::info!(
            "server {} asks for a backoff of {} ms",
            server.name,
            backoff.as_millis()
        );
    }
    core.end_attempt(attempt, outcome_of(&result), elapsed);
    if result.is_err() {
        history.excluded.push(server.name);
    }
    result
}

fn run_remote(
    core: &Arc<EntryCore>,
    context: &RequestContext,
    attempt: u64,
    center: onyxfall_types::CenterId,
    sink: &mut ResponseSink,
    history: &mut AttemptHistory,
) -> Result<(), AttemptError> {
    let prepared = core.bundle().and_then(|bundle| {
        let center = bundle.centers.get(center)?;
        let region = bundle.regions[center.region].name.clone();
        let center = center.name.clone();
        let kind = &bundle.kinds[bundle.kind_id(context.kind.as_str())?];
        let allowed = permitted_regions(&bundle, kind, context).ok()?;
        let names = bundle
            .regions
            .iter()
            .filter(|(id, _)| allowed.contains(*id));
        let names: Vec<String> = names.map(|(_, region)| region.name.to_string()).collect();
        Some((center, region, names))
    });
    let Some((center, region, allowed)) = prepared else {
        core.end_attempt(attempt, AttemptOutcome::Cancelled, Duration::ZERO);
        let error = RequestError::not_run(RefusalReason::Overloaded, "the bundle has changed");
        return Err(AttemptError::from_error(error, true));
    };
    let span = Span::enter_with_parent("away", &context.span)
        .with_property(|| ("center", center.to_string()));
    let call = ForwardCall {
        context,
        attempt,
        allowed,
        traceparent: header_of(&span),
        ticket: None,
    };
    sink.set_region(&region);
    let started = BootInstant::now();
    let result = run_forward(core, &call, &center, sink);
    let elapsed = started.elapsed().saturating_sub(sink.stalled());
    core.end_attempt(attempt, outcome_of(&result), elapsed);
    if result.is_err() {
        history.excluded_centers.push(center);
    }
    result
}

fn outcome_of(result: &Result<(), AttemptError>) -> AttemptOutcome {
    match result {
        Ok(()) => AttemptOutcome::Success,
        Err(failure) if failure.refused => AttemptOutcome::Refused,
        Err(failure) if failure.error.reason == RefusalReason::Cancelled => {
            AttemptOutcome::Cancelled
        }
        Err(_) => AttemptOutcome::Failed,
    }
}

fn may_retry(
    core: &EntryCore,
    context: &RequestContext,
    sink: &ResponseSink,
    history: &mut AttemptHistory,
    failure: &AttemptError,
) -> bool {
    let is_over = failure.error.reason == RefusalReason::Cancelled
        || failure.error.reason == RefusalReason::Residency
        || context.cancel.is_cancelled()
        || sink.is_started()
        || core.now() >= context.deadline;
    if is_over {
        return false;
    }
    let kind = |router: &RequestRouter| router.bundle().kind_id(context.kind.as_str());
    let is_repeatable = core
        .with_router(|router| kind(router).is_some_and(|id| router.bundle().kinds[id].repeatable))
        .unwrap_or(false);
    if history.verdict != RunVerdict::NotRun && !is_repeatable {
        return false;
    }
    if failure.refused && history.reroutes < FREE_REROUTES {
        history.reroutes += 1;
        return true;
    }
    let is_granted = core
        .with_router(|router| kind(router).is_some_and(|id| router.try_retry(id)))
        .unwrap_or(false);
    if is_granted {
        let pause = BACKOFF.pause(history.retries, &mut rand::rng());
        history.retries += 1;
        std::thread::sleep(pause.min(context.deadline - core.now()));
    }
    is_granted
}
