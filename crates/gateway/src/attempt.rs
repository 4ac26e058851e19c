//! One attempt of a request: at a server of this region, or at another VM.
//!
//! Invariant: an attempt counts as not run only if no byte of it was written, or if the
//! other side reports that it did not run.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::header::CONTENT_LENGTH;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::combinators::{MapErr, MapFrame};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Frame, Incoming};
use onyxfall_adapter::{
    ResponseKind, classify_response, keep_alive_timeout, parse_signals, set_copy_to,
    set_expected_server, set_team, set_time_left, set_urgency,
};
use onyxfall_clock::BootInstant;
use onyxfall_events::{BodyFraming, ReceivedBody};
use onyxfall_fleet::{AttemptResult, ChoiceReason, DecisionSwitch, PathState, TimePrediction};
use onyxfall_framing::MalformedHead;
use onyxfall_types::{RunVerdict, ServerId, SoftwareVersion};

use crate::backup::RunBackup;
use crate::body::body_framing;
use crate::call::{CallContext, SharedCall};
use crate::connection::{
    HttpConnection, LATE_DIAL_LIMIT, LOCAL_DIAL_LIMIT, SendError, USER_TIMEOUT, VM_USER_TIMEOUT,
    is_kernel_timeout,
};
use crate::gateway::Gateway;
use crate::numbered::decode_stream;
use crate::open::OpenAttempt;
use crate::pool::ConnectionChoice;
use crate::relay::{PeerTarget, parse_verdict, set_relay_headers, take_server, take_version};
use crate::suspension::within_deadline;
use crate::suspicion::wait_until_suspected;

/// Largest body of a rejection that is drained so that its connection can be reused.
const MAX_REJECTION_BODY: usize = 64 * 1024;
/// Longest wait for the rest of the body of a rejection.
const REJECTION_BODY_TIMEOUT: Duration = Duration::from_millis(200);

/// A server to try.
#[derive(Clone, Debug)]
pub(crate) struct ServerTarget {
    /// Id of the server.
    pub(crate) id: ServerId,
    /// Name of the server instance.
    pub(crate) name: String,
    /// Address that it listens on.
    pub(crate) address: SocketAddr,
    /// Predicted times.
    pub(crate) predicted: TimePrediction,
    /// Why it was chosen.
    pub(crate) reason: ChoiceReason,
}

/// A body whose frames and errors are looked at on their way.
type WatchedBody = MapErr<
    MapFrame<Incoming, Box<dyn FnMut(Frame<Bytes>) -> Frame<Bytes>>>,
    Box<dyn FnMut(hyper::Error) -> hyper::Error>,
>;

/// Head of a response whose body is still being received.
pub(crate) struct UpstreamResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: ReceivedBody<WatchedBody>,
    /// Whether the kernel has timed out the connection.
    is_timed_out: Rc<Cell<bool>>,
    /// When this VM last received a part of the response.
    pub(crate) received: Rc<Cell<BootInstant>>,
    /// How the body is delimited.
    pub(crate) framing: BodyFraming,
    /// Connection that the response arrives on.
    pub(crate) connection: HttpConnection,
    /// Remote address of the connection.
    pub(crate) address: SocketAddr,
    /// Server that sends it; `None` if another VM does not name its server.
    pub(crate) server: Option<ServerId>,
    /// Accounting of the attempt; `None` if another VM accounts for it.
    pub(crate) attempt: Option<OpenAttempt>,
    /// Number of events received so far.
    pub(crate) events: u32,
    /// When the first of them was received.
    pub(crate) first_event: Option<BootInstant>,
    /// Backup copy of the run, if there is one.
    pub(crate) backup: Option<RunBackup>,
    /// Software version of the server; `None` if it is not known.
    pub(crate) version: Option<SoftwareVersion>,
}

impl UpstreamResponse {
    /// Whether the body, which has ended, was longer than its head says, as far as the rest has
    /// arrived. Other bytes may follow a body whose end does not depend on a length.
    pub(crate) fn is_cut_short(&self) -> bool {
        self.headers.contains_key(CONTENT_LENGTH) && self.connection.has_surplus()
    }

    /// Records the result, and returns the connection to the pool if the response is whole.
    pub(crate) fn finish(mut self, gateway: &Gateway, result: AttemptResult) {
        let result = match result {
            AttemptResult::Broken if self.is_timed_out.get() => AttemptResult::TimedOut,
            result => result,
        };
        if let Some(attempt) = &mut self.attempt {
            attempt.finish_stream(result, Some(self.events));
        }
        let is_whole = matches!(result, AttemptResult::Succeeded | AttemptResult::Failed);
        if is_whole && self.framing == BodyFraming::Delimited {
            let limit = keep_alive_timeout(&self.headers);
            gateway.pool.put(self.address, self.connection, limit);
        }
    }
}

/// Result of an attempt.
pub(crate) enum AttemptEnd {
    /// The head of a response was received.
    Response(Box<UpstreamResponse>),
    /// The request did not run and will not.
    NotRun {
        /// Whether the request reached a server.
        arrived: bool,
        /// Reason, for the log.
        cause: &'static str,
    },
    /// The request may have run, but its response is lost.
    Lost {
        /// Reason, for the log.
        cause: &'static str,
    },
    /// The same at a server that has ended, by the verdict of another VM.
    LostWithServer {
        /// Reason, for the log.
        cause: &'static str,
    },
}

/// Sends a request to a server of this region. `on_drop` is the result of the attempt if it is
/// dropped before its end.
pub(crate) async fn try_server(
    gateway: &Rc<Gateway>,
    call: &SharedCall,
    target: &ServerTarget,
    extra: &HeaderMap,
    on_drop: Rc<Cell<AttemptResult>>,
) -> AttemptEnd {
    let is_from_start = extra.is_empty();
    let mut attempt = OpenAttempt::start(gateway, target.id, call, is_from_start, on_drop);
    let version = {
        let fleet = gateway.fleet.borrow();
        fleet.server(target.id).record.version.clone()
    };
    // A run that is resumed or continued from a backup is not backed up again.
    let backup = if is_from_start {
        gateway.reserve_backup(call, target)
    } else {
        None
    };
    let build = || {
        let mut headers = call.headers.clone();
        headers.extend(extra.clone());
        set_expected_server(&mut headers, &target.name);
        if let Some(team) = &call.team {
            set_team(&mut headers, team);
        }
        if call.needs.engine.is_some() {
            set_urgency(&mut headers, call.needs.urgency);
        }
        if let Some(backup) = &backup {
            set_copy_to(&mut headers, backup.address);
        }
        set_time_left(&mut headers, call.time_left());
        build_request(call, headers)
    };
    let destination = ExchangeTarget {
        address: target.address,
        dial_limit: local_dial_limit(gateway),
        server: Some(target.id),
    };
    let is_written = Cell::new(false);
    let exchanged = exchange(gateway, call, &destination, &is_written, build);
    let exchanged = tokio::select! {
        exchanged = exchanged => exchanged,
        () = suspected_unwritten(gateway, target.id, &is_written) => Err(ExchangeFailure::Unwritten),
    };
    let (connection, response) = match exchanged {
        Ok(exchanged) => exchanged,
        Err(failure) => {
            let failure = failure.after_write(is_written.get());
            attempt.finish(failure.attempt_result());
            return failure.into_attempt_end();
        }
    };
    let kind = classify_response(response.status(), response.headers(), &call.request_id);
    record_response_signals(gateway, call, &attempt, kind, &response);
    match kind {
        ResponseKind::Signed => {
            attempt.record_first_byte();
            gateway.record_done_work(call);
            let mut upstream =
                upstream_response(connection, response, target.address, Some(attempt));
            upstream.backup = backup;
            upstream.version = version;
            AttemptEnd::Response(Box::new(upstream))
        }
        ResponseKind::Unmarked => {
            attempt.record_first_byte();
            gateway.record_done_work(call);
            attempt.finish(AttemptResult::Failed);
            drain_rejection(gateway, target.address, connection, response).await;
            AttemptEnd::Lost {
                cause: "the server rejected the request and may have run it",
            }
        }
        ResponseKind::NotRun => {
            attempt.finish(AttemptResult::Shed);
            drain_rejection(gateway, target.address, connection, response).await;
            AttemptEnd::NotRun {
                arrived: true,
                cause: "the server rejected the request",
            }
        }
        ResponseKind::WrongServer => {
            attempt.finish(AttemptResult::Unknown);
            gateway.record_replaced(&target.name);
            AttemptEnd::NotRun {
                arrived: true,
                cause: "another server instance has the address",
            }
        }
        ResponseKind::Stray => {
            attempt.finish(AttemptResult::Broken);
            AttemptEnd::Lost {
                cause: "the response does not belong to this request",
            }
        }
    }
}

/// Waits until the server of an attempt is suspected before anything was written to it. What was
/// written may still be answered.
async fn suspected_unwritten(gateway: &Rc<Gateway>, server: ServerId, is_written: &Cell<bool>) {
    wait_until_suspected(Rc::clone(gateway), server).await;
    if is_written.get() {
        std::future::pending::<()>().await;
    }
}

/// Records the signals in a response of the server of an attempt.
fn record_response_signals(
    gateway: &Gateway,
    call: &CallContext,
    attempt: &OpenAttempt,
    kind: ResponseKind,
    response: &Response<Incoming>,
) {
    // Another server that has the address speaks for itself.
    if kind == ResponseKind::WrongServer {
        return;
    }
    let server = attempt.server();
    let signals = parse_signals(response.status(), response.headers());
    gateway.record_signals(call, server, signals);
    let is_own = matches!(
        kind,
        ResponseKind::Signed | ResponseKind::Unmarked | ResponseKind::NotRun
    );
    let sent_at = is_own.then(|| attempt.started());
    gateway.record_limit(server, signals.limit, sent_at);
    if let Some(sent_at) = sent_at {
        gateway.record_pace(server, signals.pace);
        gateway.record_brittle(server, signals.brittle, sent_at);
    }
    gateway.record_unknown_signal_headers(response.headers());
}

/// Forwards a request to a VM of another region.
pub(crate) async fn try_peer(
    gateway: &Rc<Gateway>,
    call: &SharedCall,
    target: &PeerTarget,
    extra: &HeaderMap,
) -> AttemptEnd {
    let build = || {
        let mut headers = call.headers.clone();
        headers.extend(extra.clone());
        set_relay_headers(&mut headers, gateway.vm(), call);
        set_time_left(&mut headers, call.time_left());
        build_request(call, headers)
    };
    let destination = ExchangeTarget {
        address: target.address,
        dial_limit: remote_dial_limit(gateway, target),
        server: None,
    };
    let is_written = Cell::new(false);
    let exchanged = exchange(gateway, call, &destination, &is_written, build).await;
    let (connection, response) = match exchanged {
        Ok(exchanged) => exchanged,
        Err(failure) => {
            gateway.record_relay_failure(&target.vm);
            return failure.after_write(is_written.get()).into_attempt_end();
        }
    };
    if let Some(peer) = parse_verdict(response.headers()) {
        drain_rejection(gateway, target.address, connection, response).await;
        return match peer.verdict {
            RunVerdict::NotRun => AttemptEnd::NotRun {
                arrived: peer.arrived,
                cause: "the other region rejected the request",
            },
            RunVerdict::MayHaveRun | RunVerdict::Ran if peer.is_ended => {
                AttemptEnd::LostWithServer {
                    cause: "the other region lost the request with its server",
                }
            }
            RunVerdict::MayHaveRun | RunVerdict::Ran => AttemptEnd::Lost {
                cause: "the other region lost the request",
            },
        };
    }
    match classify_response(response.status(), response.headers(), &call.request_id) {
        ResponseKind::Signed => {
            let mut upstream = upstream_response(connection, response, target.address, None);
            upstream.version = take_version(&mut upstream.headers);
            let server = take_server(&mut upstream.headers);
            upstream.server = server.and_then(|tag| gateway.find_instance(tag));
            decode_stream(gateway, call, &mut upstream);
            if call.rules.response.is_stream() {
                // From here on, a second run can start while the connection stands.
                upstream.connection.set_user_timeout(VM_USER_TIMEOUT);
            }
            let version = upstream.version.as_ref();
            if upstream.status.is_success() && !call.needs.allows_version(version) {
                // A VM of an older build does not know that the request needs a version.
                upstream.finish(gateway, AttemptResult::Unknown);
                return AttemptEnd::Lost {
                    cause: "the other VM does not name the version that the stream needs",
                };
            }
            AttemptEnd::Response(Box::new(upstream))
        }
        ResponseKind::Unmarked => AttemptEnd::Lost {
            cause: "a server of the other region rejected the request and may have run it",
        },
        _ => AttemptEnd::Lost {
            cause: "the response of the other region does not belong to this request",
        },
    }
}

/// Dial limit for servers of this region.
fn local_dial_limit(gateway: &Gateway) -> Duration {
    if gateway.is_on(DecisionSwitch::EarlyDial) {
        LOCAL_DIAL_LIMIT
    } else {
        LATE_DIAL_LIMIT
    }
}

/// Dial limit for VMs of another region.
fn remote_dial_limit(gateway: &Gateway, target: &PeerTarget) -> Duration {
    if gateway.is_on(DecisionSwitch::EarlyDial) {
        let limit = gateway.trips.borrow().dial_limit(Some(&target.region), 0);
        limit.max(LOCAL_DIAL_LIMIT)
    } else {
        LATE_DIAL_LIMIT
    }
}

/// Why an exchange ended without the head of a response.
enum ExchangeFailure {
    Unreachable,
    Broken,
    /// The kernel has timed out the connection.
    Unacknowledged,
    TimedOut,
    /// The server has asked for no work since it was chosen, or is not reached any more.
    Declined,
    /// The wait for a connection was given up.
    Unwritten,
}

impl ExchangeFailure {
    /// The failure, given whether the request may have been written to a connection. One that
    /// was not cannot have run, whatever ended the exchange.
    fn after_write(self, is_written: bool) -> Self {
        match self {
            Self::TimedOut if !is_written => Self::Unwritten,
            failure => failure,
        }
    }

    fn attempt_result(&self) -> AttemptResult {
        match self {
            Self::Unreachable => AttemptResult::Unreachable,
            Self::Broken => AttemptResult::Broken,
            Self::Unacknowledged => AttemptResult::TimedOut,
            Self::TimedOut => AttemptResult::Failed,
            Self::Declined | Self::Unwritten => AttemptResult::Unknown,
        }
    }

    fn into_attempt_end(self) -> AttemptEnd {
        match self {
            Self::Unreachable => AttemptEnd::NotRun {
                arrived: false,
                cause: "no connection",
            },
            Self::Broken => AttemptEnd::Lost {
                cause: "the connection was lost",
            },
            Self::Unacknowledged => AttemptEnd::Lost {
                cause: "the kernel timed out the connection",
            },
            Self::TimedOut => AttemptEnd::Lost {
                cause: "no response before the deadline",
            },
            Self::Declined => AttemptEnd::NotRun {
                arrived: false,
                cause: "the server takes no requests any more",
            },
            Self::Unwritten => AttemptEnd::NotRun {
                arrived: false,
                cause: "no connection in time",
            },
        }
    }
}

/// Destination of an exchange.
struct ExchangeTarget {
    address: SocketAddr,
    /// Longest time to establish a connection.
    dial_limit: Duration,
    /// Server at the address; `None` if it is another VM.
    server: Option<ServerId>,
}

impl ExchangeTarget {
    /// Whether a new connection may be tried. While none can be established to the servers of its
    /// service, only checks try.
    fn may_dial(&self, gateway: &Gateway) -> bool {
        let fleet = gateway.fleet.borrow();
        self.server.is_none_or(|server| {
            let service = &fleet.server(server).record.service;
            fleet.path_state(service) == PathState::Open
        })
    }

    /// Fails if the server has started draining, asked for backoff or become unresponsive since
    /// it was chosen, or if the request was found to crash servers. A new connection takes up to
    /// a quarter of a second, and no request may follow that evidence.
    fn check_accepting(
        &self,
        gateway: &Gateway,
        call: &CallContext,
    ) -> Result<(), ExchangeFailure> {
        let now = gateway.now();
        let is_accepting = |server| gateway.fleet.borrow().may_send(now, server);
        if self.server.is_none_or(is_accepting) && !gateway.is_quarantined(call) {
            return Ok(());
        }
        gateway.metrics.count("onyxfall_sends_held_total");
        Err(ExchangeFailure::Declined)
    }
}

/// Sends a request on a pooled or a new connection and waits for the head of the response.
/// `is_written` is set before any byte may be written, so that it is right wherever this is
/// cancelled.
async fn exchange(
    gateway: &Gateway,
    call: &CallContext,
    destination: &ExchangeTarget,
    is_written: &Cell<bool>,
    build: impl Fn() -> Request<Full<Bytes>>,
) -> Result<(HttpConnection, Response<Incoming>), ExchangeFailure> {
    let address = destination.address;
    let exchanged = within_deadline(gateway, call, async {
        let choice = if call.rules.repeatable {
            ConnectionChoice::Any
        } else {
            ConnectionChoice::Recent
        };
        while let Some(mut pooled) = gateway.pool.claim(address, choice) {
            destination.check_accepting(gateway, call)?;
            is_written.set(true);
            pooled.set_user_timeout(user_timeout(call));
            match pooled.send(build()).await {
                Ok(response) => return Ok((pooled, response)),
                // The other side had closed the connection; nothing was written.
                Err(SendError::Unsent) => is_written.set(false),
                Err(SendError::Broken(e)) => return Err(connection_lost(address, &e)),
                Err(SendError::Flooded) => return Err(ExchangeFailure::Broken),
                Err(SendError::Malformed(e)) => return Err(head_malformed(address, e)),
            }
        }
        if !destination.may_dial(gateway) {
            return Err(ExchangeFailure::Unwritten);
        }
        let plan = gateway.dial_plan(destination.dial_limit);
        let opened = match destination.server {
            Some(_) => HttpConnection::open(address, plan).await,
            None => HttpConnection::open_to_vm(address, plan).await,
        };
        if let Some(server) = destination.server {
            gateway.record_dial(server, opened.is_ok());
        }
        let mut connection = opened.map_err(|e| {
            log::info!(address:% = address, error:% = e; "no connection");
            ExchangeFailure::Unreachable
        })?;
        destination.check_accepting(gateway, call)?;
        is_written.set(true);
        connection.set_user_timeout(user_timeout(call));
        match connection.send(build()).await {
            Ok(response) => Ok((connection, response)),
            Err(SendError::Unsent) => Err(ExchangeFailure::Unreachable),
            Err(SendError::Broken(e)) => Err(connection_lost(address, &e)),
            Err(SendError::Flooded) => Err(ExchangeFailure::Broken),
            Err(SendError::Malformed(e)) => Err(head_malformed(address, e)),
        }
    });
    exchanged.await.unwrap_or(Err(ExchangeFailure::TimedOut))
}

/// User timeout of a connection to another VM. A request that may run twice is sent elsewhere as
/// soon as its connection ends; any other is lost with it.
fn user_timeout(call: &CallContext) -> Duration {
    if call.rules.repeatable {
        USER_TIMEOUT
    } else {
        VM_USER_TIMEOUT
    }
}

fn connection_lost(address: SocketAddr, error: &hyper::Error) -> ExchangeFailure {
    log::info!(address:% = address, error:% = error; "connection lost");
    if is_kernel_timeout(error) {
        ExchangeFailure::Unacknowledged
    } else {
        ExchangeFailure::Broken
    }
}

fn head_malformed(address: SocketAddr, error: MalformedHead) -> ExchangeFailure {
    log::warn!(address:% = address, error:% = error; "malformed head of a response");
    ExchangeFailure::Broken
}

fn build_request(call: &CallContext, headers: HeaderMap) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.target.clone();
    *request.headers_mut() = headers;
    request
}

fn upstream_response(
    connection: HttpConnection,
    response: Response<Incoming>,
    address: SocketAddr,
    attempt: Option<OpenAttempt>,
) -> UpstreamResponse {
    let (head, body) = response.into_parts();
    let is_timed_out = Rc::new(Cell::new(false));
    let seen = Rc::clone(&is_timed_out);
    let look: Box<dyn FnMut(hyper::Error) -> hyper::Error> = Box::new(move |error| {
        seen.set(is_kernel_timeout(&error));
        error
    });
    let received = Rc::new(Cell::new(BootInstant::now()));
    let arrival = Rc::clone(&received);
    let arrive: Box<dyn FnMut(Frame<Bytes>) -> Frame<Bytes>> = Box::new(move |frame| {
        arrival.set(BootInstant::now());
        frame
    });
    let body = body.map_frame(arrive).map_err(look);
    UpstreamResponse {
        is_timed_out,
        received,
        status: head.status,
        framing: body_framing(&head),
        headers: head.headers,
        body: ReceivedBody::new(body),
        connection,
        address,
        server: attempt.as_ref().map(OpenAttempt::server),
        attempt,
        events: 0,
        first_event: None,
        backup: None,
        version: None,
    }
}

/// Drains the body of a rejection, so that its connection can be reused.
async fn drain_rejection(
    gateway: &Gateway,
    address: SocketAddr,
    connection: HttpConnection,
    response: Response<Incoming>,
) {
    let (head, body) = response.into_parts();
    let rest = Limited::new(body, MAX_REJECTION_BODY).collect();
    let read = tokio::time::timeout(REJECTION_BODY_TIMEOUT, rest).await;
    let is_delimited = body_framing(&head) == BodyFraming::Delimited;
    if is_delimited && matches!(read, Ok(Ok(_))) {
        let limit = keep_alive_timeout(&head.headers);
        gateway.pool.put(address, connection, limit);
    }
}
