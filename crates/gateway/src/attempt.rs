//! One attempt of a request: at a server of this region, or at another VM.
//!
//! Invariant: an attempt counts as not run only if no byte of it was written,
//! or if the other side said so.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use onyxfall_adapter::{
    ResponseKind, classify_response, keep_alive_timeout, parse_signals, set_copy_to,
    set_expected_server, set_team, set_time_left, set_urgency,
};
use onyxfall_fleet::{AttemptResult, ChoiceReason, DecisionSwitch, TimePrediction};
use onyxfall_types::{RunVerdict, ServerId};

use crate::backup::RunBackup;
use crate::call::{CallContext, SharedCall};
use crate::connection::{HttpConnection, LATE_DIAL_LIMIT, NEAR_DIAL_LIMIT, SendError};
use crate::gateway::Gateway;
use crate::open::OpenAttempt;
use crate::pool::ConnectionChoice;
use crate::relay::{PeerTarget, read_verdict, set_relay_headers};
use crate::suspension::within_deadline;
use crate::unresponsive::{wait_for_replacement, wait_until_unresponsive};

/// Largest body of a refusal that is read so that its connection can be kept.
const REFUSAL_BODY_LIMIT: usize = 64 * 1024;
/// Longest wait for the rest of a refusal.
const REFUSAL_BODY_WAIT: Duration = Duration::from_millis(200);

/// A server to try.
#[derive(Clone, Debug)]
pub(crate) struct ServerTarget {
    /// The server.
    pub(crate) id: ServerId,
    /// Name of its life.
    pub(crate) name: String,
    /// Where it listens.
    pub(crate) address: SocketAddr,
    /// Expected times.
    pub(crate) predicted: TimePrediction,
    /// Why it was chosen.
    pub(crate) reason: ChoiceReason,
}

/// Head of an answer, with the body still to come.
pub(crate) struct UpstreamResponse {
    /// Status as sent.
    pub(crate) status: StatusCode,
    /// Headers as sent.
    pub(crate) headers: HeaderMap,
    /// Body.
    pub(crate) body: Incoming,
    /// Connection that it comes on.
    pub(crate) connection: HttpConnection,
    /// Other end of the connection.
    pub(crate) address: SocketAddr,
    /// Booking of the attempt; none if another VM books it.
    pub(crate) booking: Option<OpenAttempt>,
    /// Events that have come so far.
    pub(crate) events: u32,
    /// Where a copy of the run is kept, if anywhere.
    pub(crate) copy: Option<RunBackup>,
}

impl UpstreamResponse {
    /// Books the end, and keeps the connection if the answer is whole.
    pub(crate) fn finish(mut self, gateway: &Gateway, result: AttemptResult) {
        if let Some(booking) = &mut self.booking {
            booking.finish_stream(result, Some(self.events));
        }
        let is_whole = matches!(result, AttemptResult::Succeeded | AttemptResult::Failed);
        if is_whole {
            let limit = keep_alive_timeout(&self.headers);
            gateway.pool.put(self.address, self.connection, limit);
        }
    }
}

/// How an attempt ended.
pub(crate) enum AttemptEnd {
    /// An answer has begun.
    Answer(Box<UpstreamResponse>),
    /// It did not run and will not.
    NotRun {
        /// Whether the request reached a server.
        arrived: bool,
        /// Why, for the log.
        cause: &'static str,
    },
    /// It may have run, and brings no answer.
    Lost {
        /// Why, for the log.
        cause: &'static str,
    },
}

/// Sends a request to a server of this region.
pub(crate) async fn try_server(
    gateway: &Rc<Gateway>,
    call: &SharedCall,
    target: &ServerTarget,
    extra: &HeaderMap,
) -> AttemptEnd {
    let is_from_start = extra.is_empty();
    let mut booking = OpenAttempt::start(gateway, target.id, call, is_from_start);
    // What goes on from a copy, or resumes, is not copied once more.
    let copy = if is_from_start {
        gateway.start_copy(call, target)
    } else {
        None
    };
    let make = || {
        let mut headers = call.headers.clone();
        headers.extend(extra.clone());
        set_expected_server(&mut headers, &target.name);
        if let Some(team) = &call.team {
            set_team(&mut headers, team);
        }
        if call.needs.engine.is_some() {
            set_urgency(&mut headers, call.needs.urgency);
        }
        if let Some(copy) = &copy {
            set_copy_to(&mut headers, copy.address);
        }
        set_time_left(&mut headers, call.time_left());
        make_request(call, headers)
    };
    let way = ExchangeWay {
        address: target.address,
        dial_limit: near_limit(gateway),
        server: Some(target.id),
    };
    let exchanged = exchange(gateway, call, &way, make);
    // A request that may run only once waits on while the server may still answer.
    let exchanged = if call.rules.repeatable {
        tokio::select! {
            exchanged = exchanged => exchanged,
            () = wait_until_unresponsive(Rc::clone(gateway), target.id) => Err(ExchangeFailure::Silent),
        }
    } else {
        tokio::select! {
            exchanged = exchanged => exchanged,
            () = wait_for_replacement(Rc::clone(gateway), target.id) => Err(ExchangeFailure::Silent),
        }
    };
    let (connection, response) = match exchanged {
        Ok(exchanged) => exchanged,
        Err(failure) => {
            booking.finish(failure.blame());
            return failure.into_end();
        }
    };
    let kind = classify_response(response.status(), response.headers(), &call.request_id);
    if kind != ResponseKind::WrongServer {
        let word = parse_signals(response.status(), response.headers());
        gateway.record_signals(call, target.id, word);
        let is_own = matches!(kind, ResponseKind::Signed | ResponseKind::NotRun);
        let sent = is_own.then(|| booking.started());
        gateway.record_limit(target.id, word.limit, sent);
        gateway.record_unknown_signal_headers(response.headers());
    }
    match kind {
        ResponseKind::Signed => {
            booking.answer();
            let mut answer = upstream(connection, response, target.address, Some(booking));
            answer.copy = copy;
            AttemptEnd::Answer(Box::new(answer))
        }
        ResponseKind::NotRun => {
            booking.finish(AttemptResult::Shed);
            keep_after_refusal(gateway, target.address, connection, response).await;
            AttemptEnd::NotRun {
                arrived: true,
                cause: "the server did not take it",
            }
        }
        ResponseKind::WrongServer => {
            booking.finish(AttemptResult::Unknown);
            gateway.record_replaced(&target.name);
            AttemptEnd::NotRun {
                arrived: true,
                cause: "another server has the address",
            }
        }
        ResponseKind::Stray => {
            booking.finish(AttemptResult::Broken);
            AttemptEnd::Lost {
                cause: "the answer is not this request's",
            }
        }
    }
}

/// Passes a request on to a VM of another region.
pub(crate) async fn try_peer(
    gateway: &Rc<Gateway>,
    call: &SharedCall,
    target: &PeerTarget,
    extra: &HeaderMap,
) -> AttemptEnd {
    let make = || {
        let mut headers = call.headers.clone();
        headers.extend(extra.clone());
        set_relay_headers(&mut headers, gateway.vm(), call);
        set_time_left(&mut headers, call.time_left());
        make_request(call, headers)
    };
    let way = ExchangeWay {
        address: target.address,
        dial_limit: far_limit(gateway, target),
        server: None,
    };
    let (connection, response) = match exchange(gateway, call, &way, make).await {
        Ok(exchanged) => exchanged,
        Err(failure) => {
            gateway.note_relay_failed(&target.vm);
            return failure.into_end();
        }
    };
    if let Some(word) = read_verdict(response.headers()) {
        keep_after_refusal(gateway, target.address, connection, response).await;
        return match word.verdict {
            RunVerdict::NotRun => AttemptEnd::NotRun {
                arrived: word.arrived,
                cause: "the other region refused it",
            },
            RunVerdict::MayHaveRun | RunVerdict::Ran => AttemptEnd::Lost {
                cause: "the other region lost it",
            },
        };
    }
    match classify_response(response.status(), response.headers(), &call.request_id) {
        ResponseKind::Signed => AttemptEnd::Answer(Box::new(upstream(
            connection,
            response,
            target.address,
            None,
        ))),
        _ => AttemptEnd::Lost {
            cause: "the other region's answer is not this request's",
        },
    }
}

/// How long to wait for a connection to a server of the region.
fn near_limit(gateway: &Gateway) -> Duration {
    if gateway.is_on(DecisionSwitch::EarlyDial) {
        NEAR_DIAL_LIMIT
    } else {
        LATE_DIAL_LIMIT
    }
}

/// How long to wait for a connection to a VM of another region.
fn far_limit(gateway: &Gateway, target: &PeerTarget) -> Duration {
    if gateway.is_on(DecisionSwitch::EarlyDial) {
        let limit = gateway.trips.borrow().dial_limit(Some(&target.region), 0);
        limit.max(NEAR_DIAL_LIMIT)
    } else {
        LATE_DIAL_LIMIT
    }
}

/// Why an exchange brought no head of an answer.
enum ExchangeFailure {
    Unreachable,
    Broken,
    TimedOut,
    /// The server is taken for silent by all VMs.
    Silent,
    /// The server has said meanwhile that it wants no work.
    Held,
}

impl ExchangeFailure {
    fn blame(&self) -> AttemptResult {
        match self {
            Self::Unreachable => AttemptResult::Unreachable,
            Self::Broken | Self::Silent => AttemptResult::Broken,
            Self::TimedOut => AttemptResult::Failed,
            Self::Held => AttemptResult::Unknown,
        }
    }

    fn into_end(self) -> AttemptEnd {
        match self {
            Self::Unreachable => AttemptEnd::NotRun {
                arrived: false,
                cause: "no connection",
            },
            Self::Broken => AttemptEnd::Lost {
                cause: "the connection broke",
            },
            Self::TimedOut => AttemptEnd::Lost {
                cause: "no answer in time",
            },
            Self::Silent => AttemptEnd::Lost {
                cause: "the server is silent",
            },
            Self::Held => AttemptEnd::NotRun {
                arrived: false,
                cause: "the server wants no work",
            },
        }
    }
}

/// Where a request is sent.
struct ExchangeWay {
    address: SocketAddr,
    /// How long to wait for a connection.
    dial_limit: Duration,
    /// The server there; none if it is another VM.
    server: Option<ServerId>,
}

impl ExchangeWay {
    /// Fails if the server has said since it was chosen that it wants no work: a new
    /// connection takes up to a quarter of a second, and none is to be sent after that.
    fn check_wanted(&self, gateway: &Gateway) -> Result<(), ExchangeFailure> {
        let now = gateway.now();
        let is_wanted = |server| gateway.fleet.borrow().may_send(now, server);
        if self.server.is_none_or(is_wanted) {
            return Ok(());
        }
        gateway.metrics.count("onyxfall_sends_held_total");
        Err(ExchangeFailure::Held)
    }
}

/// Sends a request on a kept connection or a new one, up to the answer's head.
async fn exchange(
    gateway: &Gateway,
    call: &CallContext,
    way: &ExchangeWay,
    make: impl Fn() -> Request<Full<Bytes>>,
) -> Result<(HttpConnection, Response<Incoming>), ExchangeFailure> {
    let address = way.address;
    let exchanged = within_deadline(gateway, call, async {
        let choice = if call.rules.repeatable {
            ConnectionChoice::Any
        } else {
            ConnectionChoice::Proven
        };
        while let Some(mut kept) = gateway.pool.take(address, choice) {
            way.check_wanted(gateway)?;
            match kept.send(make()).await {
                Ok(response) => return Ok((kept, response)),
                // The other side had closed it; nothing was written.
                Err(SendError::Unsent) => {}
                Err(SendError::Broken(e)) => return Err(broken(address, &e)),
            }
        }
        let opened = HttpConnection::open(address, gateway.dial_plan(way.dial_limit)).await;
        let mut connection = opened.map_err(|e| {
            log::info!(address:% = address, error:% = e; "no connection");
            ExchangeFailure::Unreachable
        })?;
        way.check_wanted(gateway)?;
        match connection.send(make()).await {
            Ok(response) => Ok((connection, response)),
            Err(SendError::Unsent) => Err(ExchangeFailure::Unreachable),
            Err(SendError::Broken(e)) => Err(broken(address, &e)),
        }
    });
    exchanged.await.unwrap_or(Err(ExchangeFailure::TimedOut))
}

fn broken(address: SocketAddr, error: &hyper::Error) -> ExchangeFailure {
    log::info!(address:% = address, error:% = error; "connection broke");
    ExchangeFailure::Broken
}

fn make_request(call: &CallContext, headers: HeaderMap) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.target.clone();
    *request.headers_mut() = headers;
    request
}

fn upstream(
    connection: HttpConnection,
    response: Response<Incoming>,
    address: SocketAddr,
    booking: Option<OpenAttempt>,
) -> UpstreamResponse {
    let (head, body) = response.into_parts();
    UpstreamResponse {
        status: head.status,
        headers: head.headers,
        body,
        connection,
        address,
        booking,
        events: 0,
        copy: None,
    }
}

/// Reads the rest of a refusal, so that its connection can serve again.
async fn keep_after_refusal(
    gateway: &Gateway,
    address: SocketAddr,
    connection: HttpConnection,
    response: Response<Incoming>,
) {
    let (head, body) = response.into_parts();
    let rest = Limited::new(body, REFUSAL_BODY_LIMIT).collect();
    let read = tokio::time::timeout(REFUSAL_BODY_WAIT, rest).await;
    if matches!(read, Ok(Ok(_))) {
        let limit = keep_alive_timeout(&head.headers);
        gateway.pool.put(address, connection, limit);
    }
}
