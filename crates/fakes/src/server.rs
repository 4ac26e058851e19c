//! Stub of a backend server, with the protocol that the adapter uses and with faults.

use std::collections::VecDeque;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::ops::RangeInclusive;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::request::Parts;
use http::{Request, Response, StatusCode, Version};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming};
use onyxfall_adapter::stub::{
    HEALTH_PATH, ReceivedCall, add_server_load, mark_draining, mark_not_run, received_call,
    set_retry_after, set_server_brittle, set_server_limit, sign_response,
};
use parking_lot::Mutex;
use tokio::time::{Instant as TimerInstant, Sleep};

use crate::copies::{put_copy, take_copy};
use crate::serving::{PeerAddress, ResetSwitch, ServingThread, StopSignal};

/// How a server handles requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerFault {
    /// Runs the request and sends a complete response.
    #[default]
    None,
    /// Runs the request and responds with 500.
    Fails,
    /// Responds that the request has not run, and does not run it.
    Rejects,
    /// Responds that the request is for another instance.
    Replaced,
    /// Runs the request and closes the connection without a response.
    Closes,
    /// Runs the request and responds with the id of another request.
    WrongResponse,
    /// Runs the request and closes the connection after the first event.
    Disconnects,
    /// Runs the request and never responds.
    Unresponsive,
    /// Sends all events of a stream but the last, then nothing.
    Stalls,
    /// Reads the body of the request slowly, then runs it.
    ReadsSlowly,
    /// Breaks streams that start on this server, but continues runs of other servers of
    /// which it holds a backup.
    BreaksStreams(BreakPoint),
    /// Breaks streams that start on this server, and has lost the backups that it held.
    BreaksAndLosesBackups,
}

impl ServerFault {
    /// Whether streams are broken off between two events.
    const fn breaks_between_events(self) -> bool {
        matches!(
            self,
            Self::Disconnects
                | Self::BreaksStreams(BreakPoint::AfterEvent | BreakPoint::BeforeEnd)
                | Self::BreaksAndLosesBackups
        )
    }
}

/// Signals in a server's responses, independent of its fault.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StubSignals {
    /// Whether every response signals that the server is draining.
    pub is_draining: bool,
    /// If set, the server rejects requests and asks for this backoff.
    pub backoff: Option<RequestedBackoff>,
    /// Limit in every response, in requests per second, as in the header.
    pub limit: Option<&'static str>,
    /// If set, the server crashes when it rejects more requests for want of room in a second,
    /// and says so in every response, as in the header.
    pub brittle: Option<&'static str>,
}

/// The backoff that a server asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestedBackoff {
    /// Duration in seconds, as in the header.
    pub seconds: &'static str,
    /// The server rejects every request whose number is a multiple of this.
    pub every: usize,
}

/// A request that reached the stub, whether it was run or not.
#[derive(Clone, Debug)]
pub struct ArrivedRequest {
    /// Arrival time.
    pub at: Instant,
    /// Source address of the connection.
    pub from: IpAddr,
    /// Id of the caller's attempt.
    pub request_id: String,
    /// When the request had ended: its response was sent, or its connection closed.
    pub done: Option<Instant>,
    /// Signals in the response to the request.
    pub signals: StubSignals,
    /// How far the stub got with the request.
    pub run: RunState,
    /// Whether it has sent a part of the body of its response.
    pub has_sent: bool,
}

/// How far a server got with a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RunState {
    /// The server has not run it.
    #[default]
    NotRun,
    /// The server is running it.
    Running,
    /// The server has sent its whole response.
    Finished,
    /// The server has broken off its response, answered with another id or answered the
    /// continuation of a stream with an error, or it has crashed.
    BrokenOff,
    /// The connection was closed by its other end before the server had ended.
    Abandoned,
}

/// Body of a request that crashes the server that runs it.
pub const CRASHING_BODY: &[u8] = b"crash";
/// Hashes of prompt parts that crash each server that begins to write an answer on them. With an
/// odd one it crashes before the head of the response, with an even one after the first event.
pub const CRASHING_PARTS: RangeInclusive<u64> = 0xdead_0000..=0xdead_ffff;
/// Time in which rejections for want of room are counted.
const REJECTION_WINDOW: Duration = Duration::from_secs(1);
/// Time from the start of such a run to the crash: a model server crashed 40 to 180 ms
/// after the start of a run.
const CRASH_AFTER: Duration = Duration::from_millis(40);

/// Point at which a stream is broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BreakPoint {
    /// Before its first event.
    BeforeEvents,
    /// After its first event.
    AfterEvent,
    /// In the middle of its second event.
    InEvent,
    /// After the last event, before the end of the stream.
    BeforeEnd,
}

/// How the body of a response is delimited.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StubFraming {
    /// By chunks.
    #[default]
    Chunks,
    /// By the end of the connection, without a length or chunks.
    UntilClose,
}

/// How a connection ends whose response is broken off. Without a length or chunks, one that is
/// broken off between two events is always reset: nothing else tells it from a complete one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BreakEnd {
    /// With a regular close.
    #[default]
    Close,
    /// With a reset.
    Reset,
}

/// How a server transfers its responses, independent of its fault.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StubTransfer {
    /// Framing of all responses to requests that it runs.
    pub framing: StubFraming,
    /// End of the connections of streams that it breaks off.
    pub break_end: BreakEnd,
}

/// A request that the stub ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedRequest {
    /// Parsed headers of the request.
    pub call: ReceivedCall,
    /// Method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Body.
    pub body: Bytes,
}

#[derive(Default)]
struct ServerState {
    fault: ServerFault,
    /// Name of the instance; requests for another one are rejected.
    name: Option<String>,
    address: Option<SocketAddr>,
    signals: StubSignals,
    transfer: StubTransfer,
    /// Delay before each event; `None` is the usual one.
    event_pause: Option<Duration>,
    /// Software version in its events.
    version: Option<&'static str>,
    /// Load in every response, as in the header.
    load: Option<String>,
    /// Slots and pace; the load in every response is made from these and the requests running.
    pace: Option<(u32, &'static str)>,
    /// Most requests under way; others are rejected.
    room: Option<u32>,
    /// When requests were rejected for want of room within the last second.
    rejected: VecDeque<Instant>,
    /// Number of requests that have arrived and not ended.
    running: u32,
    arrivals: Vec<ArrivedRequest>,
    runs: Vec<ReceivedRequest>,
    /// Number of responses that were in progress when their connection closed.
    cut: usize,
    /// Whether the stub has crashed.
    is_crashed: bool,
}

/// A running stub of a server.
pub struct ServerStub {
    state: Arc<Mutex<ServerState>>,
    thread: ServingThread,
}

/// Events of a stream, in order; an event's id is its number.
const EVENTS: [&str; 3] = [
    "id: 1\ndata: a\n\n",
    "id: 2\ndata: b\n\n",
    "id: 3\ndata: c\n\n",
];
/// Delay before each event.
const EVENT_PAUSE: Duration = Duration::from_millis(20);
/// Delay before each part of a body that is read slowly.
const READ_PAUSE: Duration = Duration::from_millis(60);
/// Prefix of the paths whose responses are streams.
const STREAM_PATH: &str = "/stream/";
/// Query of a stream's path that sets the delay before each event, in milliseconds.
const PAUSE_QUERY: &str = "pause-ms=";

impl ServerStub {
    /// Starts it on a free port of `ip`.
    ///
    /// # Errors
    ///
    /// No port is free, or no thread can be started.
    pub fn start(ip: IpAddr) -> io::Result<Self> {
        let state = Arc::new(Mutex::new(ServerState::default()));
        let served = Arc::clone(&state);
        let stop = StopSignal::default();
        let crash = StopSignal::clone(&stop);
        let thread = ServingThread::start(SocketAddr::new(ip, 0), stop, move |request| {
            respond(Arc::clone(&served), StopSignal::clone(&crash), request)
        })?;
        state.lock().address = Some(thread.address());
        Ok(Self { state, thread })
    }

    /// Address on which it listens.
    pub fn address(&self) -> SocketAddr {
        self.thread.address()
    }

    /// Crashes it: its port and connections are closed; its recorded requests stay available.
    pub fn crash(&self) {
        self.state.lock().is_crashed = true;
        self.thread.stop();
    }

    /// Stops it as a signal stops a process while `is_silent`: its port and connections stay
    /// open, and it neither reads nor writes.
    pub fn set_silent(&self, is_silent: bool) {
        self.thread.set_paused(is_silent);
    }

    /// Sets the delay before each event of the streams that start from now on.
    pub fn set_event_pause(&self, pause: Duration) {
        self.state.lock().event_pause = Some(pause);
    }

    /// Sets how it handles requests.
    pub fn set_fault(&self, fault: ServerFault) {
        self.state.lock().fault = fault;
    }

    /// Sets the name of its instance: it rejects requests for another one.
    pub fn set_name(&self, name: &str) {
        self.state.lock().name = Some(name.to_owned());
    }

    /// Sets the signals in its responses.
    pub fn set_signals(&self, signals: StubSignals) {
        self.state.lock().signals = signals;
    }

    /// Makes it name its software version in every event.
    pub fn set_version(&self, version: &'static str) {
        self.state.lock().version = Some(version);
    }

    /// Sets how it transfers its responses.
    pub fn set_transfer(&self, transfer: StubTransfer) {
        self.state.lock().transfer = transfer;
    }

    /// Sets the load in its responses, as in the header: `"1, 0, 4, 160"` for one running
    /// request, none waiting, four slots and a pace of 160. It may be malformed.
    pub fn set_load(&self, load: Option<&str>) {
        self.state.lock().load = load.map(str::to_owned);
    }

    /// Makes it state its load in every response: the requests running, none waiting, `slots`
    /// and `pace`, which may be malformed.
    pub fn set_pace(&self, slots: u32, pace: &'static str) {
        self.state.lock().pace = Some((slots, pace));
    }

    /// Sets how many requests may be under way; it rejects others. `None` sets no bound.
    pub fn set_room(&self, room: Option<u32>) {
        self.state.lock().room = room;
    }

    /// The requests that reached it, without the first `from`.
    pub fn arrivals_from(&self, from: usize) -> Vec<ArrivedRequest> {
        let state = self.state.lock();
        state.arrivals.iter().skip(from).cloned().collect()
    }

    /// Number of requests that reached it.
    pub fn arrived(&self) -> usize {
        self.state.lock().arrivals.len()
    }

    /// The requests that it ran.
    pub fn runs(&self) -> Vec<ReceivedRequest> {
        self.state.lock().runs.clone()
    }

    /// The heads of the requests that it ran, without the first `from`.
    pub fn runs_from(&self, from: usize) -> Vec<ReceivedCall> {
        let state = self.state.lock();
        let runs = state.runs.iter().skip(from);
        runs.map(|run| run.call.clone()).collect()
    }

    /// Whether it has crashed: its port and connections are closed.
    pub fn is_crashed(&self) -> bool {
        self.state.lock().is_crashed
    }

    /// Number of responses that were in progress when their connection closed.
    pub fn cut(&self) -> usize {
        self.state.lock().cut
    }

    /// The complete stream that it sends if it names no version.
    pub fn whole_stream() -> String {
        EVENTS.concat()
    }

    /// The complete stream that it sends if it names `version`.
    pub fn stream_of(version: &str) -> String {
        EVENTS
            .map(|event| with_version(event, Some(version)))
            .concat()
    }
}

/// An event that names the version of its server.
fn with_version(event: &str, version: Option<&str>) -> String {
    match version {
        Some(version) => event.replace("\n\n", &format!(" of {version}\n\n")),
        None => event.to_owned(),
    }
}

/// Counts a response as cut if its connection closes before its end.
struct CutGuard {
    state: Arc<Mutex<ServerState>>,
    is_over: bool,
}

impl Drop for CutGuard {
    fn drop(&mut self) {
        if !self.is_over {
            self.state.lock().cut += 1;
        }
    }
}

/// Records the progress of a request, and its end when dropped.
struct RunningGuard {
    state: Arc<Mutex<ServerState>>,
    number: usize,
}

impl RunningGuard {
    fn new(state: Arc<Mutex<ServerState>>, number: usize) -> Self {
        state.lock().running += 1;
        Self { state, number }
    }

    fn begin(&self) {
        self.state.lock().arrivals[self.number - 1].run = RunState::Running;
    }

    fn has_sent(&self) -> bool {
        self.state.lock().arrivals[self.number - 1].has_sent
    }

    fn record_sent(&self) {
        self.state.lock().arrivals[self.number - 1].has_sent = true;
    }

    /// Records how the run has ended, unless it did not begin or has ended before.
    fn end(&self, end: RunState) {
        self.state.lock().arrivals[self.number - 1].end(end);
    }
}

impl ArrivedRequest {
    fn end(&mut self, end: RunState) {
        if self.run == RunState::Running {
            self.run = end;
        }
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        let mut state = self.state.lock();
        state.running -= 1;
        let end = if state.is_crashed {
            RunState::BrokenOff
        } else {
            RunState::Abandoned
        };
        let arrived = &mut state.arrivals[self.number - 1];
        arrived.done = Some(Instant::now());
        arrived.end(end);
    }
}

/// Reads a body, with a pause before each part if it `is_slow`.
async fn read_body(mut body: Incoming, is_slow: bool) -> Result<Bytes, io::Error> {
    let mut read = Vec::new();
    loop {
        if is_slow {
            tokio::time::sleep(READ_PAUSE).await;
        }
        let Some(frame) = body.frame().await else {
            return Ok(read.into());
        };
        if let Ok(part) = frame.map_err(io::Error::other)?.into_data() {
            read.extend_from_slice(&part);
        }
    }
}

/// Whether a request is meant for another instance.
fn is_for_other_instance(state: &Mutex<ServerState>, call: &ReceivedCall) -> bool {
    let state = state.lock();
    let named = state.name.as_ref().zip(call.expected_server.as_ref());
    named.is_some_and(|(own, expected)| own != expected)
}

/// Records that a request has arrived; returns its number.
fn record_arrival(
    state: &Mutex<ServerState>,
    from: Option<&PeerAddress>,
    call: &ReceivedCall,
) -> usize {
    let mut state = state.lock();
    state.arrivals.push(ArrivedRequest {
        at: Instant::now(),
        from: from.map_or(Ipv4Addr::UNSPECIFIED.into(), |peer| peer.0.ip()),
        request_id: call.request_id.clone(),
        done: None,
        signals: StubSignals::default(),
        run: RunState::NotRun,
        has_sent: false,
    });
    state.arrivals.len()
}

async fn respond(
    state: Arc<Mutex<ServerState>>,
    crash: StopSignal,
    request: Request<Incoming>,
) -> Result<Response<EventBody>, io::Error> {
    let (head, body) = request.into_parts();
    if head.uri.path() == HEALTH_PATH {
        return check_health(&state, &crash).await;
    }
    let call = received_call(&head.headers);
    if is_for_other_instance(&state, &call) {
        return Ok(whole(StatusCode::MISDIRECTED_REQUEST, ""));
    }
    let number = record_arrival(&state, head.extensions.get(), &call);
    let running = RunningGuard::new(Arc::clone(&state), number);
    let is_slow = state.lock().fault == ServerFault::ReadsSlowly;
    let body = read_body(body, is_slow).await?;
    let mut signals = state.lock().signals;
    signals.backoff = signals
        .backoff
        .filter(|backoff| number.is_multiple_of(backoff.every));
    let mut response = if has_no_room(&state, &crash) {
        let mut rejection = whole(StatusCode::SERVICE_UNAVAILABLE, "");
        mark_not_run(rejection.headers_mut());
        rejection
    } else if let Some(backoff) = signals.backoff {
        let mut rejection = whole(StatusCode::SERVICE_UNAVAILABLE, "");
        mark_not_run(rejection.headers_mut());
        set_retry_after(rejection.headers_mut(), backoff.seconds);
        rejection
    } else {
        run(&running, crash, &head, call, body).await?
    };
    if signals.is_draining {
        mark_draining(response.headers_mut());
    }
    if let Some(limit) = signals.limit {
        set_server_limit(response.headers_mut(), limit);
    }
    if let Some(rejections) = signals.brittle {
        set_server_brittle(response.headers_mut(), rejections);
    }
    {
        let mut state = state.lock();
        if let Some(load) = &state.load {
            add_server_load(response.headers_mut(), load);
        }
        if let Some((slots, pace)) = state.pace {
            let load = format!("{}, 0, {slots}, {pace}", state.running);
            add_server_load(response.headers_mut(), &load);
        }
        // A request without a response has received no signals.
        state.arrivals[number - 1].signals = signals;
    }
    response.body_mut().running = Some(running);
    Ok(response)
}

/// Answers a health check, which is neither recorded nor run.
async fn check_health(
    state: &Mutex<ServerState>,
    crash: &StopSignal,
) -> Result<Response<EventBody>, io::Error> {
    if has_no_room(state, crash) {
        return Ok(whole(StatusCode::SERVICE_UNAVAILABLE, ""));
    }
    let (fault, is_draining) = {
        let state = state.lock();
        (state.fault, state.signals.is_draining)
    };
    match fault {
        ServerFault::Unresponsive => std::future::pending().await,
        ServerFault::Closes => Err(io::Error::other("closed by the stub")),
        _ if is_draining => Ok(whole(StatusCode::SERVICE_UNAVAILABLE, "")),
        _ => Ok(whole(StatusCode::OK, "")),
    }
}

/// Whether the stub has no room for the request that has just arrived. A brittle one crashes if
/// it has rejected too many for that.
fn has_no_room(state: &Mutex<ServerState>, crash: &StopSignal) -> bool {
    let mut state = state.lock();
    if state.room.is_none_or(|room| state.running <= room) {
        return false;
    }
    let now = Instant::now();
    state.rejected.push_back(now);
    let is_old = |at: &Instant| now.duration_since(*at) > REJECTION_WINDOW;
    while state.rejected.front().is_some_and(is_old) {
        state.rejected.pop_front();
    }
    let tolerated = state
        .signals
        .brittle
        .and_then(|text| text.parse::<f64>().ok());
    if tolerated.is_some_and(|tolerated| state.rejected.len() as f64 > tolerated) {
        state.is_crashed = true;
        crash.notify_one();
    }
    true
}

/// Handles a request according to the fault of the stub.
async fn run(
    running: &RunningGuard,
    crash: StopSignal,
    head: &Parts,
    call: ReceivedCall,
    body: Bytes,
) -> Result<Response<EventBody>, io::Error> {
    let state = Arc::clone(&running.state);
    let (fault, transfer) = {
        let state = state.lock();
        (state.fault, state.transfer)
    };
    match fault {
        ServerFault::Rejects => {
            let mut rejection = whole(StatusCode::SERVICE_UNAVAILABLE, "");
            mark_not_run(rejection.headers_mut());
            return Ok(rejection);
        }
        ServerFault::Replaced => return Ok(whole(StatusCode::MISDIRECTED_REQUEST, "")),
        _ => {}
    }
    let address = state.lock().address;
    if let (Some(run), Some(address)) = (&call.copy_from, address)
        && (!take_copy(address, run) || fault == ServerFault::BreaksAndLosesBackups)
    {
        let mut rejection = whole(StatusCode::SERVICE_UNAVAILABLE, "");
        mark_not_run(rejection.headers_mut());
        return Ok(rejection);
    }
    if let (Some(backup), Some(address)) = (call.copy_to, address) {
        put_copy(backup, format!("{address}/{}", call.request_id));
    }
    let target = head.uri.to_string();
    let is_stream = target.starts_with(STREAM_PATH);
    state.lock().runs.push(ReceivedRequest {
        call: call.clone(),
        method: head.method.to_string(),
        target,
        body: body.clone(),
    });
    running.begin();
    let crashing_part = call.shared_parts.iter().find(|id| is_crashing_part(**id));
    let is_crashing = body == CRASHING_BODY || crashing_part.is_some();
    if is_crashing {
        crash_soon(Arc::clone(&state), crash);
    }
    let is_silent = crashing_part.is_some_and(|id| !id.is_multiple_of(2));
    let mut guard = CutGuard {
        state,
        is_over: false,
    };
    let mut response = match fault {
        ServerFault::Fails => {
            // A stream that another server has begun cannot go on with an error.
            if call.last_event.is_some() {
                running.end(RunState::BrokenOff);
            }
            whole(StatusCode::INTERNAL_SERVER_ERROR, "failed")
        }
        ServerFault::Closes => {
            guard.is_over = true;
            running.end(RunState::BrokenOff);
            return Err(io::Error::other("closed by the stub"));
        }
        ServerFault::Unresponsive => std::future::pending().await,
        _ if is_silent => std::future::pending().await,
        _ if is_stream => {
            let is_endless = is_crashing || fault == ServerFault::Stalls;
            let pause = head.uri.query().and_then(requested_pause);
            Response::new(EventBody::stream(&call, fault, pause, guard).with_endless(is_endless))
        }
        _ if is_crashing => std::future::pending().await,
        _ => {
            guard.is_over = true;
            whole(StatusCode::OK, "answer")
        }
    };
    let id = match fault {
        ServerFault::WrongResponse => {
            running.end(RunState::BrokenOff);
            "somebody-else"
        }
        _ => &call.request_id,
    };
    sign_response(response.headers_mut(), id);
    if transfer.framing == StubFraming::UntilClose {
        // Hyper delimits the body of an HTTP/1.0 response by the end of the connection.
        *response.version_mut() = Version::HTTP_10;
        response.body_mut().is_delimited = false;
    }
    let is_reset = transfer.break_end == BreakEnd::Reset
        || (transfer.framing == StubFraming::UntilClose && fault.breaks_between_events());
    if transfer != StubTransfer::default()
        && let Some(reset) = head.extensions.get::<ResetSwitch>()
    {
        // A server that crashes during the response resets the connection.
        reset.set(true)?;
        let body = response.body_mut();
        body.reset = (!body.breaks || !is_reset).then(|| reset.clone());
    }
    Ok(response)
}

/// The delay before each event that the query of a path asks for.
fn requested_pause(query: &str) -> Option<Duration> {
    let millis = query.strip_prefix(PAUSE_QUERY)?.parse().ok()?;
    Some(Duration::from_millis(millis))
}

/// Whether a part of a prompt crashes the servers that run it.
pub fn is_crashing_part(id: u64) -> bool {
    CRASHING_PARTS.contains(&id)
}

fn crash_soon(state: Arc<Mutex<ServerState>>, crash: StopSignal) {
    tokio::task::spawn_local(async move {
        tokio::time::sleep(CRASH_AFTER).await;
        state.lock().is_crashed = true;
        crash.notify_one();
    });
}

fn whole(status: StatusCode, body: &'static str) -> Response<EventBody> {
    let mut response = Response::new(EventBody::whole(body));
    *response.status_mut() = status;
    response
}

/// A complete body, or a stream of events.
pub struct EventBody {
    events: Vec<Bytes>,
    breaks: bool,
    /// Whether the body has a delimiter of its own.
    is_delimited: bool,
    /// Whether the last event is never sent.
    is_endless: bool,
    pause: Option<(Duration, Pin<Box<Sleep>>)>,
    guard: Option<CutGuard>,
    running: Option<RunningGuard>,
    /// Turned off at the end of the body, so that the connection closes regularly.
    reset: Option<ResetSwitch>,
}

impl BreakPoint {
    /// Truncates `events` to those sent before the break.
    fn cut(self, events: &mut Vec<Bytes>) {
        match self {
            Self::BeforeEvents => events.clear(),
            Self::AfterEvent => events.truncate(1),
            Self::InEvent => {
                events.truncate(2);
                if let Some(second) = events.get_mut(1) {
                    second.truncate(second.len() / 2);
                }
            }
            Self::BeforeEnd => {}
        }
    }
}

impl EventBody {
    fn whole(body: &'static str) -> Self {
        Self {
            events: vec![Bytes::from_static(body.as_bytes())],
            breaks: false,
            is_delimited: true,
            is_endless: false,
            pause: None,
            guard: None,
            running: None,
            reset: None,
        }
    }

    fn stream(
        call: &ReceivedCall,
        fault: ServerFault,
        pause: Option<Duration>,
        guard: CutGuard,
    ) -> Self {
        let sent = call.last_event.as_deref().and_then(|id| id.parse().ok());
        let (version, usual_pause) = {
            let state = guard.state.lock();
            (state.version, state.event_pause.unwrap_or(EVENT_PAUSE))
        };
        let pause = pause.unwrap_or(usual_pause);
        let events = EVENTS[sent.unwrap_or(0)..].iter();
        let mut events: Vec<Bytes> = events
            .map(|event| with_version(event, version).into())
            .collect();
        let starts_here = call.copy_from.is_none();
        let breaks = match fault {
            ServerFault::Disconnects => {
                events.truncate(1);
                true
            }
            ServerFault::BreaksStreams(moment) if starts_here => {
                moment.cut(&mut events);
                true
            }
            ServerFault::BreaksAndLosesBackups if starts_here => {
                BreakPoint::AfterEvent.cut(&mut events);
                true
            }
            _ => false,
        };
        Self {
            events,
            breaks,
            is_delimited: true,
            is_endless: false,
            pause: Some((pause, Box::pin(tokio::time::sleep(pause)))),
            guard: Some(guard),
            running: None,
            reset: None,
        }
    }
}

impl EventBody {
    /// If `is_endless`, never sends the last event: the server crashes before it.
    fn with_endless(self, is_endless: bool) -> Self {
        Self { is_endless, ..self }
    }
}

impl Body for EventBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let this = self.get_mut();
        if let Some((pause, timer)) = &mut this.pause {
            if timer.as_mut().poll(cx).is_pending() {
                return Poll::Pending;
            }
            timer.as_mut().reset(TimerInstant::now() + *pause);
        }
        if this.is_endless && this.events.len() <= 1 {
            return Poll::Pending;
        }
        if !this.events.is_empty() {
            let event = this.events.remove(0);
            if let Some(running) = &this.running {
                running.record_sent();
            }
            return Poll::Ready(Some(Ok(Frame::data(event))));
        }
        if let Some(guard) = &mut this.guard {
            guard.is_over = true;
        }
        if let Some(running) = &this.running {
            // Without a delimiter, an empty body may also have broken off before its first event.
            let is_complete = this.is_delimited || running.has_sent();
            running.end(if this.breaks || !is_complete {
                RunState::BrokenOff
            } else {
                RunState::Finished
            });
        }
        if let Some(reset) = this.reset.take() {
            reset.set(false)?;
        }
        if this.breaks {
            return Poll::Ready(Some(Err(io::Error::other("disconnected by the stub"))));
        }
        Poll::Ready(None)
    }
}
