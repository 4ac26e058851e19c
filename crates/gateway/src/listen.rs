//! The listening ports of a gateway and their HTTP handlers.

use std::cell::{Cell, OnceCell};
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_TYPE, RETRY_AFTER, WWW_AUTHENTICATE};
use http::request::Parts;
use http::{HeaderValue, Request, Response, StatusCode, Version};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use onyxfall_adapter::{CallHead, forward_headers, hide_credential, read_call};
use onyxfall_capacity::ClassTag;
use onyxfall_clock::BootInstant;
use onyxfall_fleet::{CallRequirements, ResponseShape, RouteRule, RouteTable, TeamRule};
use onyxfall_held::HeldFull;
use onyxfall_intake::{
    BodyError, EVICTION_LIMIT, GuardedBody, HoldRule, OpenConnection, PortConnections, PortRole,
    ReceiveBuffers, RequestTracker, TimedStream, TrackedRequest, collect_body, discard_body,
};
use onyxfall_suspects::EvidenceKey;
use onyxfall_types::{RefusalReason, RequestError, RunVerdict};
use socket2::SockRef;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

use crate::body::ReplyBody;
use crate::call::{CallContext, CallOrigin, CallRules, ResponseRule, limit_to_version};
use crate::caller_stream::{CallerStream, STALL_LIMIT, StalledWrite};
use crate::connection::{USER_TIMEOUT, VM_USER_TIMEOUT, set_socket_options};
use crate::directory::{handle_directory, handle_verdict};
use crate::gateway::Gateway;
use crate::links::serve_link;
use crate::relay::handle_relayed;
use crate::report::millis;
use crate::serve::{CallFailure, serve};
use crate::shutdown::{accepts, closes_connections, wait_for_close};
use crate::teams::{CallerStanding, QuotaCharge, admit, identify};
use onyxfall_capacity::{importance, urgency};

/// Most connections that wait to be accepted.
const BACKLOG: u32 = 1024;
/// Idle timeout and head size limit until a configuration sets them.
const DEFAULT_IDLE: Duration = Duration::from_secs(15);
const DEFAULT_HEAD: usize = 16 * 1024;
/// Smallest buffer size that hyper accepts.
const MIN_BUFFER: usize = 8 * 1024;
/// Pause after the system ran out of descriptors for a new connection.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Retry delay sent to a caller before the first configuration is loaded.
const NOT_READY_RETRY: Duration = Duration::from_millis(500);
/// Retry delay sent to a caller whose request found the account of held bytes full: bytes are
/// released as other requests end, most of them within a goal of some hundred milliseconds.
const HELD_FULL_RETRY: Duration = Duration::from_millis(500);
/// Most bytes that the kernel takes for a caller without sending them; it takes more when half
/// of them are sent. Without this limit, its buffer grows to megabytes and takes more only when a
/// third of it is free, so that a slow caller looks like one that reads nothing.
const MAX_UNSENT: u32 = 64 * 1024;
/// Step between the urgencies of two priorities, so that the admission order of a model
/// server follows the route's rank. 5 stands for none.
const URGENCY_STEP: u8 = 2;
/// Urgency of the highest priority, and the last urgency.
const FIRST_URGENCY: u8 = 3;
const LAST_URGENCY: u8 = 9;

/// Binds all ports and starts serving them.
pub(crate) fn start(gateway: &Rc<Gateway>) -> io::Result<()> {
    let settings = gateway.settings();
    let ports = [
        (settings.callers, PortRole::Callers),
        (settings.ready, PortRole::Status),
        (settings.directory, PortRole::Directory),
        (settings.relay, PortRole::Relay),
        (settings.peers, PortRole::Links),
    ];
    for (address, role) in ports {
        let listener = bind(address, settings.machine.receive_buffers(role))?;
        tokio::task::spawn_local(serve_port(Rc::clone(gateway), listener, role));
    }
    Ok(())
}

fn bind(address: SocketAddr, buffers: Option<ReceiveBuffers>) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    if let Some(buffers) = buffers {
        SockRef::from(&socket).set_recv_buffer_size(buffers.inherited())?;
    }
    socket
        .bind(address)
        .and_then(|()| socket.listen(BACKLOG))
        .map_err(|e| io::Error::new(e.kind(), format!("cannot listen on {address}: {e}")))
}

/// Accepts the next connection, and waits while the system has no descriptor left.
async fn accept(listener: &TcpListener, user_timeout: Duration) -> (TcpStream, SocketAddr) {
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                if let Err(e) = set_socket_options(&stream, user_timeout) {
                    log::warn!(error:% = e; "cannot set the socket options");
                }
                return (stream, from);
            }
            Err(e) => {
                log::warn!(error:% = e; "cannot accept a connection");
                tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
            }
        }
    }
}

async fn serve_port(gateway: Rc<Gateway>, listener: TcpListener, role: PortRole) {
    let user_timeout = match role {
        // The kernel does not tell a caller that is gone from one that reads nothing for a while
        // and acknowledges every probe.
        PortRole::Callers | PortRole::Status | PortRole::Directory => STALL_LIMIT,
        PortRole::Relay => VM_USER_TIMEOUT,
        PortRole::Links => USER_TIMEOUT,
    };
    let port = PortConnections::new(role.as_str());
    loop {
        let (stream, from) = accept(&listener, user_timeout).await;
        let limit = gateway.settings().machine.connections(role);
        let Some(open) = port.open(limit) else {
            gateway.metrics.count("onyxfall_refused_connections_total");
            // Uploads that have taken long give way, and their connections end.
            gateway.held.demand_room();
            tokio::task::yield_now().await;
            continue;
        };
        if let Some(buffers) = gateway.settings().machine.receive_buffers(role) {
            buffers.enlarge(&stream, port.count());
        }
        if open.replaces_another() {
            gateway.metrics.count("onyxfall_evicted_connections_total");
        }
        let gateway = Rc::clone(&gateway);
        match role {
            PortRole::Callers => serve_connection(gateway, stream, open, role, handle_caller),
            PortRole::Status => serve_connection(gateway, stream, open, role, handle_status),
            PortRole::Directory => serve_connection(gateway, stream, open, role, handle_lookup),
            PortRole::Relay => serve_connection(gateway, stream, open, role, handle_relayed),
            PortRole::Links => serve_link(gateway, stream, from, open),
        }
        if port.is_full(limit) {
            // A connection that gives way closes before the next one is accepted.
            tokio::task::yield_now().await;
        }
    }
}

fn serve_connection<F>(
    gateway: Rc<Gateway>,
    stream: TcpStream,
    open: OpenConnection,
    role: PortRole,
    handle: impl Fn(Rc<Gateway>, Request<Incoming>) -> F + 'static,
) where
    F: Future<Output = Response<ReplyBody>> + 'static,
{
    let limits = gateway.table().map(|table| table.limits());
    let idle = limits.map_or(DEFAULT_IDLE, |limits| limits.idle);
    // VMs may stand still for longer than a caller may take for a head.
    let callers_limits = limits.filter(|_| role != PortRole::Relay);
    let head_time = callers_limits.map_or(idle, |limits| limits.head_time);
    let head = limits.map_or(DEFAULT_HEAD, |limits| limits.max_head);
    let served = Rc::clone(&gateway);
    let is_delimited = Rc::new(Cell::new(true));
    let accepts_chunks = Rc::clone(&is_delimited);
    let open = Arc::new(open);
    let serving = Arc::clone(&open);
    let tracker = RequestTracker::default();
    let stream = TimedStream::new(stream, head_time, tracker.clone());
    let service = service_fn(move |mut request: Request<Incoming>| {
        let served_request = serving.serve_request();
        let tracked_request = tracker.begin_request();
        request.extensions_mut().insert(tracked_request.clone());
        accepts_chunks.set(request.version() >= Version::HTTP_11);
        let handled = handle(Rc::clone(&served), request);
        let guard = OpenRequest::start(&served);
        async move {
            let response = handled.await;
            drop(guard);
            let guards = (served_request, tracked_request);
            Ok::<_, Infallible>(response.map(|body| GuardedBody::new(body, guards)))
        }
    });
    let stream = watch_stalls(Rc::clone(&gateway), stream);
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .auto_date_header(false)
        .max_buf_size(head.max(MIN_BUFFER))
        .serve_connection(stream, service);
    tokio::task::spawn_local(async move {
        let ended = tokio::select! {
            biased;
            has_served = open.wait_eviction() => {
                if !has_served {
                    return;
                }
                Pin::new(&mut connection).graceful_shutdown();
                let closing = tokio::time::timeout(EVICTION_LIMIT, &mut connection);
                closing.await.unwrap_or(Ok(()))
            }
            ended = &mut connection => ended,
            () = wait_for_close(&gateway) => {
                Pin::new(&mut connection).graceful_shutdown();
                (&mut connection).await
            }
        };
        if let Err(e) = ended {
            log::debug!("an incoming connection ended: {e}");
            let stream = connection.into_parts().io.into_inner().into_inner();
            if stream.has_timed_out() {
                gateway.metrics.count("onyxfall_slow_heads_total");
                log::info!(
                    limit_ms = millis(head_time);
                    "caller disconnected: its request head took too long"
                );
            }
            if !is_delimited.get() {
                reset(&stream.into_inner());
            }
        }
    });
}

/// Makes a connection end with a reset. Without chunks, a response is delimited by a regular end,
/// and a caller would take the part of an aborted response for the whole.
fn reset(stream: &TcpStream) {
    if let Err(e) = SockRef::from(stream).set_linger(Some(Duration::ZERO)) {
        log::warn!(error:% = e; "cannot reset a connection");
    }
}

/// Wraps a connection so that it ends when its caller reads nothing while bytes wait.
fn watch_stalls(
    gateway: Rc<Gateway>,
    stream: TimedStream<TcpStream>,
) -> CallerStream<TokioIo<TimedStream<TcpStream>>, impl Fn(StalledWrite)> {
    // Without a bound on held bytes, the kernel's buffer may grow as it likes.
    if gateway.settings().machine.memory.is_some()
        && let Err(e) = SockRef::from(stream.get_ref()).set_tcp_notsent_lowat(MAX_UNSENT)
    {
        log::warn!(error:% = e; "cannot limit the unsent bytes of a connection");
    }
    let address = stream.get_ref().peer_addr().ok();
    let address = address.map(|address| address.to_string());
    CallerStream::new(TokioIo::new(stream), move |stalled| {
        gateway.metrics.count("onyxfall_stalled_callers_total");
        log::info!(
            caller = address.as_deref().unwrap_or("unknown"),
            waited_ms = millis(stalled.waited),
            ended_by = stalled.end.as_str();
            "caller disconnected: it read nothing while bytes waited for it"
        );
    })
}

/// Counts a request as open until dropped.
pub(crate) struct OpenRequest(Rc<Gateway>);

impl OpenRequest {
    /// Counts one more open request.
    pub(crate) fn start(gateway: &Rc<Gateway>) -> Self {
        gateway.open_requests.set(gateway.open_requests.get() + 1);
        Self(Rc::clone(gateway))
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.open_requests.set(self.0.open_requests.get() - 1);
    }
}

async fn handle_status(gateway: Rc<Gateway>, request: Request<Incoming>) -> Response<ReplyBody> {
    match request
        .uri()
        .path()
        .strip_prefix(EvidenceKey::VERDICTS_PATH)
    {
        Some(key) => handle_verdict(&gateway, request.method(), key),
        None => handle_directory(&gateway, request.uri()),
    }
}

/// Serves callers, who may not lift verdicts.
async fn handle_lookup(gateway: Rc<Gateway>, request: Request<Incoming>) -> Response<ReplyBody> {
    handle_directory(&gateway, request.uri())
}

async fn handle_caller(gateway: Rc<Gateway>, request: Request<Incoming>) -> Response<ReplyBody> {
    let arrived = BootInstant::now();
    gateway.check_suspension(arrived);
    let head = read_call(request.headers());
    let request_id = head.as_ref().map(|head| head.request_id.clone());
    let result = match read_request(&gateway, request, head, arrived).await {
        Ok((call, charge)) => {
            gateway.record_first_request(&call.needs.service);
            let served = serve(&gateway, &Rc::new(call)).await;
            refund_if_not_run(charge, &served);
            served
        }
        Err(error) => {
            gateway
                .metrics
                .record_end("none", error.reason.as_str(), arrived.elapsed());
            log::info!(
                request = request_id.as_deref().unwrap_or("none"),
                reason = error.reason.as_str(),
                detail = error.detail.as_str();
                "request rejected"
            );
            Err(error.into())
        }
    };
    let mut response = result.unwrap_or_else(|failure| rejection(&failure.error));
    if closes_connections(&gateway) {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

/// Refunds the quota charge of a request that did not run.
fn refund_if_not_run(
    charge: Option<QuotaCharge>,
    served: &Result<Response<ReplyBody>, CallFailure>,
) {
    let has_not_run = matches!(served, Err(failure) if failure.error.verdict == RunVerdict::NotRun);
    if let (true, Some(charge)) = (has_not_run, charge) {
        charge.refund();
    }
}

/// Receives a whole request, matches it to its route and team, and charges it to the quota
/// of the team.
async fn read_request(
    gateway: &Rc<Gateway>,
    request: Request<Incoming>,
    call: Option<CallHead>,
    arrived: BootInstant,
) -> Result<(CallContext, Option<QuotaCharge>), RequestError> {
    let (head, body) = request.into_parts();
    let table = gateway.table().ok_or_else(|| {
        RequestError::not_run(RefusalReason::NotReady, "no configuration is loaded yet")
            .with_retry_after(NOT_READY_RETRY)
    })?;
    let call = call.ok_or_else(|| {
        RequestError::not_run(
            RefusalReason::BadRequest,
            "the request lacks a host or an id",
        )
    })?;
    let rule = table.find(&call.host, head.uri.path()).ok_or_else(|| {
        RequestError::not_run(RefusalReason::UnknownKind, "no route matches the path")
    })?;
    let team = identify(&table, rule, call.credential)?;
    let time_left = call
        .time_left
        .map_or(rule.timeout, |left| left.min(rule.timeout));
    let team = team.and_then(|id| Some((table.teams()?, id)));
    let team_rule = team.map(|(teams, id)| teams.rule(id));
    let needs = call_requirements(gateway, &table, rule, team_rule, &call, time_left);
    if !accepts(gateway, time_left) {
        let error = RequestError::not_run(RefusalReason::Stopping, "this VM is shutting down");
        return Err(error.with_retry_after(Duration::from_millis(50)));
    }
    let charge = match team {
        Some((teams, id)) => {
            let standing = CallerStanding {
                rank: rule.priority,
                time_left,
            };
            admit(gateway, teams, id, &call.request_id, &call.prompt, standing)?
        }
        None => None,
    };
    let max_body = table.limits().max_body;
    let body = match read_body(gateway, &head, body, max_body, time_left).await {
        Ok(body) => body,
        Err(error) => {
            charge.into_iter().for_each(QuotaCharge::refund);
            return Err(error);
        }
    };
    let class = class_of(gateway, rule, team_rule, &needs);
    let needs = match resumed_needs(gateway, rule, needs, &call).await {
        Ok(needs) => needs,
        Err(error) => {
            charge.into_iter().for_each(QuotaCharge::refund);
            return Err(error);
        }
    };
    let mut headers = forward_headers(&head.headers);
    if table.teams().is_some() {
        hide_credential(&mut headers);
    }
    let call = CallContext {
        request_id: call.request_id,
        route: rule.name.to_string(),
        team: team_rule.map(|team| team.name.clone()),
        keys: OnceCell::new(),
        version: table.version(),
        rules: CallRules {
            repeatable: rule.is_repeatable(),
            response: response_rule(rule),
            max_attempts: rule.max_attempts,
            gap_goal: rule.gap_goal(),
        },
        needs,
        class,
        method: head.method,
        target: head.uri,
        headers,
        body,
        origin: CallOrigin::Caller,
        arrived,
        deadline: arrived + time_left,
    };
    Ok((call, charge))
}

/// The requirements of a request that may resume a stream, limited to the version that began it.
async fn resumed_needs(
    gateway: &Rc<Gateway>,
    rule: &RouteRule,
    needs: CallRequirements,
    call: &CallHead,
) -> Result<CallRequirements, RequestError> {
    let resumption = call.resumption.as_ref();
    let resumption = resumption.filter(|_| response_rule(rule) == ResponseRule::Resumable);
    let Some(resumption) = resumption else {
        return Ok(needs);
    };
    let version = gateway
        .find_origin(&needs.service, call, resumption)
        .await?;
    Ok(limit_to_version(&needs, &gateway.fleet.borrow(), &version))
}

/// The class of a request if capacity is planned for its service.
fn class_of(
    gateway: &Gateway,
    rule: &RouteRule,
    team: Option<&TeamRule>,
    needs: &CallRequirements,
) -> Option<ClassTag> {
    needs.engine.filter(|_| gateway.plans_capacity())?;
    let importance = importance(rule.priority, team.and_then(|team| team.priority));
    let capacity = gateway.capacity.borrow();
    capacity.class(&needs.service, importance, &needs.homes)
}

fn response_rule(rule: &RouteRule) -> ResponseRule {
    match rule.shape {
        ResponseShape::Whole => ResponseRule::Whole,
        ResponseShape::Stream {
            resumable: true, ..
        } => ResponseRule::Resumable,
        ResponseShape::Stream { .. } => ResponseRule::LostWithServer,
    }
}

fn call_requirements(
    gateway: &Gateway,
    table: &RouteTable,
    rule: &RouteRule,
    team: Option<&TeamRule>,
    call: &CallHead,
    time_left: Duration,
) -> CallRequirements {
    // A resumed stream stays at the service of its first attempt.
    let first_attempt = call
        .resumption
        .as_ref()
        .and_then(|r| r.first_attempt.as_ref());
    let service = rule.service_for(first_attempt.unwrap_or(&call.request_id));
    let service = service.clone();
    let engine = table.service(&service).and_then(|service| service.engine);
    let priority = team.and_then(|team| team.priority);
    let plans_capacity = engine.is_some() && gateway.plans_capacity();
    let urgency = if plans_capacity {
        urgency(importance(rule.priority, priority))
    } else {
        let urgency = priority.unwrap_or(rule.priority);
        let urgency = urgency.saturating_mul(URGENCY_STEP);
        urgency.saturating_add(FIRST_URGENCY).min(LAST_URGENCY)
    };
    let backlog_limit = gateway.backlog_limit(&service, rule.priority);
    let homes = team.map_or_else(|| rule.homes.clone(), |team| rule.homes.and(&team.homes));
    CallRequirements {
        service,
        engine,
        prompt: call.prompt.clone(),
        goal: rule.goal,
        urgency,
        backlog_limit,
        deadline: gateway.now() + time_left,
        events: gateway.expected_events(rule.name.as_str(), &call.prompt),
        homes,
        version: None,
    }
}

/// Receives a body of at most `limit` bytes within the account of held bytes. The rest of a body that
/// is refused is discarded for a while, so that the caller can read why.
pub(crate) async fn read_body(
    gateway: &Gateway,
    parts: &Parts,
    mut body: Incoming,
    limit: usize,
    time_left: Duration,
) -> Result<Bytes, RequestError> {
    let held = gateway.held.hold(0);
    let reading = collect_body(&mut body, limit, held, HoldRule::WithinBound);
    let error = match tokio::time::timeout(time_left, reading).await {
        Ok(Ok(body)) => return Ok(body),
        Ok(Err(error)) => error,
        Err(_) => {
            return Err(RequestError::not_run(
                RefusalReason::Deadline,
                "the body was not received before the deadline",
            ));
        }
    };
    let refusal = match error {
        BodyError::TooLarge => {
            gateway.metrics.count("onyxfall_oversized_bodies_total");
            RequestError::not_run(RefusalReason::TooLarge, "the body is too large")
        }
        BodyError::Held(full) => held_full(gateway, full, time_left),
        BodyError::Broken(e) => {
            let detail = format!("cannot receive the body: {e}");
            return Err(RequestError::not_run(RefusalReason::BadRequest, detail));
        }
    };
    let request = parts.extensions.get::<TrackedRequest>().cloned();
    tokio::task::spawn_local(async move {
        discard_body(body, limit).await;
        drop(request);
    });
    Err(refusal)
}

/// Counts and describes the refusal of a request whose body cannot be held.
fn held_full(gateway: &Gateway, full: HeldFull, time_left: Duration) -> RequestError {
    gateway.metrics.count("onyxfall_held_refusals_total");
    RequestError::not_run(RefusalReason::Overloaded, full.to_string())
        .with_retry_after(HELD_FULL_RETRY.min(time_left / 3))
}

/// Status code of a rejection. 503 promises that the request did not run; 502 and 504
/// promise nothing.
fn rejection_status(error: &RequestError) -> StatusCode {
    let default = StatusCode::from_u16(error.reason.status());
    let default = default.unwrap_or(StatusCode::BAD_GATEWAY);
    match error.verdict {
        RunVerdict::NotRun if default.is_client_error() => default,
        RunVerdict::NotRun => StatusCode::SERVICE_UNAVAILABLE,
        RunVerdict::MayHaveRun | RunVerdict::Ran if error.reason == RefusalReason::Deadline => {
            StatusCode::GATEWAY_TIMEOUT
        }
        RunVerdict::MayHaveRun | RunVerdict::Ran => StatusCode::BAD_GATEWAY,
    }
}

fn rejection(error: &RequestError) -> Response<ReplyBody> {
    let status = rejection_status(error);
    let mut response = Response::new(ReplyBody::whole(format!("{error}\n")));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    let verdict = HeaderValue::from_static(error.verdict.as_str());
    headers.insert("onyxfall-verdict", verdict);
    if status == StatusCode::UNAUTHORIZED {
        headers.insert(WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
    }
    let retryable = [
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::TOO_MANY_REQUESTS,
    ];
    if let (true, Some(after)) = (retryable.contains(&status), error.retry_after) {
        let seconds = format!("{:.3}", after.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            headers.insert(RETRY_AFTER, value);
        }
    }
    response
}
