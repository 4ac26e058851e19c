//! Stub of a backend server, with the protocol that the adapter uses and with faults.

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
    report_body, report_path, set_retry_after, set_server_brittle, set_server_limit, sign_response,
};
use onyxfall_server_model::{
    Admission, Answer, BreakEnd, CRASH_AFTER, Capacity, CrashPoint, Health, NextPart, Rejection,
    RequestNumber, RequestRecord, RunRequest, RunState, ServerFault, ServerModel, StubFraming,
    StubSignals, StubTransfer,
};
use parking_lot::{Mutex, MutexGuard};
use tokio::sync::Notify;
use tokio::time::Sleep;

use crate::copies::{put_copy, take_copy};
use crate::serving::{PeerAddress, ResetSwitch, ServingThread, StopSignal};

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

/// Body of a request that crashes the server that runs it.
pub const CRASHING_BODY: &[u8] = b"crash";
/// Hashes of prompt parts that crash each server that begins to write an answer on them. With an
/// odd one it crashes before the head of the response, with an even one after the first event.
pub const CRASHING_PARTS: RangeInclusive<u64> = 0xdead_0000..=0xdead_ffff;

/// What a stub does with runs whose connection was lost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LostRuns {
    /// They end with their connection.
    #[default]
    End,
    /// They go on for this time, and are in its reports.
    GoOn(Duration),
    /// They may go on: the stub has no reports.
    Unreported,
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

struct ServerState {
    /// When the model has begun.
    started: Instant,
    model: ServerModel,
    /// Name of the instance; requests for another one are rejected.
    name: Option<String>,
    address: Option<SocketAddr>,
    /// Delay before each event; `None` is the usual one.
    event_pause: Option<Duration>,
    /// Software version in its events.
    version: Option<&'static str>,
    /// Load in every response, as in the header.
    load: Option<String>,
    /// Slots and pace; the load in every response is made from these and the requests running.
    pace: Option<(u32, &'static str)>,
    /// Source address and id of each request, in the order of arrival.
    callers: Vec<(IpAddr, String)>,
    runs: Vec<ReceivedRequest>,
    /// Number of responses that were in progress when their connection closed.
    cut: usize,
    /// What it reports of the runs whose connection was lost.
    lost_runs: LostRuns,
}

impl ServerState {
    fn new() -> Self {
        Self {
            started: Instant::now(),
            model: ServerModel::new(EVENTS.len()),
            name: None,
            address: None,
            event_pause: None,
            version: None,
            load: None,
            pace: None,
            callers: Vec::new(),
            runs: Vec::new(),
            cut: 0,
            lost_runs: LostRuns::default(),
        }
    }

    /// The present time of the model.
    fn now(&self) -> Duration {
        self.started.elapsed()
    }
}

/// The state of a stub, shared by its handle and its thread.
struct SharedServer {
    state: Mutex<ServerState>,
    /// Notified when a request has ended, for those that wait for its place.
    freed: Notify,
}

impl SharedServer {
    fn lock(&self) -> MutexGuard<'_, ServerState> {
        self.state.lock()
    }
}

/// A running stub of a server.
pub struct ServerStub {
    state: Arc<SharedServer>,
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
        Self::start_at(SocketAddr::new(ip, 0))
    }

    /// Starts it at `address`, where another one may have crashed.
    ///
    /// # Errors
    ///
    /// The port is in use, or no thread can be started.
    pub fn start_at(address: SocketAddr) -> io::Result<Self> {
        let state = Arc::new(SharedServer {
            state: Mutex::new(ServerState::new()),
            freed: Notify::new(),
        });
        let served = Arc::clone(&state);
        let stop = StopSignal::default();
        let crash = StopSignal::clone(&stop);
        let thread = ServingThread::start(address, stop, move |request| {
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
        let mut state = self.state.lock();
        let now = state.now();
        state.model.crash(now);
        drop(state);
        self.thread.stop();
    }

    /// Stops it as a signal stops a process while `is_silent`: its port and connections stay
    /// open, and it neither reads nor writes.
    pub fn set_silent(&self, is_silent: bool) {
        self.thread.set_paused(is_silent);
    }

    /// Sets what it does with runs whose connection was lost.
    pub fn set_lost_runs(&self, lost_runs: LostRuns) {
        self.state.lock().lost_runs = lost_runs;
    }

    /// Sets the delay before each event of the streams that start from now on.
    pub fn set_event_pause(&self, pause: Duration) {
        self.state.lock().event_pause = Some(pause);
    }

    /// Sets how it handles requests.
    pub fn set_fault(&self, fault: ServerFault) {
        self.state.lock().model.set_fault(fault);
    }

    /// Sets the name of its instance: it rejects requests for another one.
    pub fn set_name(&self, name: &str) {
        self.state.lock().name = Some(name.to_owned());
    }

    /// Sets the signals in its responses.
    pub fn set_signals(&self, signals: StubSignals) {
        self.state.lock().model.set_signals(signals);
    }

    /// Makes it name its software version in every event.
    pub fn set_version(&self, version: &'static str) {
        self.state.lock().version = Some(version);
    }

    /// Sets how it transfers its responses.
    pub fn set_transfer(&self, transfer: StubTransfer) {
        self.state.lock().model.set_transfer(transfer);
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
        let model = &mut self.state.lock().model;
        let capacity = model.capacity();
        model.set_capacity(Capacity { room, ..capacity });
    }

    /// Sets how many requests it runs at the same time; others wait in its queue. `None` sets no
    /// bound.
    pub fn set_places(&self, places: Option<u32>) {
        let model = &mut self.state.lock().model;
        let capacity = model.capacity();
        model.set_capacity(Capacity { places, ..capacity });
        self.state.freed.notify_waiters();
    }

    /// The requests that reached it, without the first `from`.
    pub fn arrivals_from(&self, from: usize) -> Vec<ArrivedRequest> {
        let state = self.state.lock();
        let arrivals = state.model.records().zip(&state.callers).skip(from);
        let arrivals = arrivals.map(|(record, (source, request_id))| ArrivedRequest {
            at: state.started + record.at,
            from: *source,
            request_id: request_id.clone(),
            done: record.done.map(|done| state.started + done),
            signals: record.signals,
            run: record.run,
            has_sent: record.has_sent,
        });
        arrivals.collect()
    }

    /// Number of requests that reached it.
    pub fn arrived(&self) -> usize {
        self.state.lock().callers.len()
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
        self.state.lock().model.is_crashed()
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
    state: Arc<SharedServer>,
    is_over: bool,
}

impl Drop for CutGuard {
    fn drop(&mut self) {
        if !self.is_over {
            self.state.lock().cut += 1;
        }
    }
}

/// Records the end of a request when dropped.
struct RunningGuard {
    state: Arc<SharedServer>,
    number: RequestNumber,
}

impl RunningGuard {
    /// Takes the next part of the response, if it is due.
    fn next(&self) -> NextPart {
        let mut state = self.state.lock();
        let now = state.now();
        state.model.next(self.number, now)
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        let mut state = self.state.lock();
        let now = state.now();
        state.model.leave(self.number, now);
        drop(state);
        self.state.freed.notify_waiters();
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
fn is_for_other_instance(state: &SharedServer, call: &ReceivedCall) -> bool {
    let state = state.lock();
    let named = state.name.as_ref().zip(call.expected_server.as_ref());
    named.is_some_and(|(own, expected)| own != expected)
}

/// Records that a request has arrived.
fn record_arrival(
    state: &Arc<SharedServer>,
    from: Option<&PeerAddress>,
    call: &ReceivedCall,
) -> RunningGuard {
    let mut locked = state.lock();
    let source = from.map_or(Ipv4Addr::UNSPECIFIED.into(), |peer| peer.0.ip());
    locked.callers.push((source, call.request_id.clone()));
    let now = locked.now();
    RunningGuard {
        state: Arc::clone(state),
        number: locked.model.arrive(now),
    }
}

async fn respond(
    state: Arc<SharedServer>,
    crash: StopSignal,
    request: Request<Incoming>,
) -> Result<Response<EventBody>, io::Error> {
    let (head, body) = request.into_parts();
    if head.uri.path() == report_path() {
        return Ok(report(&state.lock()));
    }
    if head.uri.path() == HEALTH_PATH {
        return check_health(&state, &crash).await;
    }
    let call = received_call(&head.headers);
    if is_for_other_instance(&state, &call) {
        return Ok(whole(StatusCode::MISDIRECTED_REQUEST, ""));
    }
    let running = record_arrival(&state, head.extensions.get(), &call);
    let is_slow = state.lock().model.fault() == ServerFault::ReadsSlowly;
    let body = read_body(body, is_slow).await?;
    let rejection = admit(&running, &crash).await;
    let mut response = match rejection {
        Some(rejection) => reject(rejection),
        None => run(&running, crash, &head, call, body).await?,
    };
    // A request without a response has received no signals.
    let signals = state.lock().model.respond(running.number, rejection);
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
        let state = state.lock();
        if let Some(load) = &state.load {
            add_server_load(response.headers_mut(), load);
        }
        if let Some((slots, pace)) = state.pace {
            let load = format!("{}, 0, {slots}, {pace}", state.model.under_way());
            add_server_load(response.headers_mut(), &load);
        }
    }
    response.body_mut().running = Some(running);
    Ok(response)
}

/// Waits until the model runs or rejects a request.
async fn admit(running: &RunningGuard, crash: &StopSignal) -> Option<Rejection> {
    loop {
        let freed = running.state.freed.notified();
        let admission = {
            let mut state = running.state.lock();
            let now = state.now();
            let admission = state.model.admit(running.number, now);
            if state.model.is_crashed() {
                crash.notify_one();
            }
            admission
        };
        match admission {
            Admission::Run => return None,
            Admission::Reject(rejection) => return Some(rejection),
            Admission::Wait => freed.await,
        }
    }
}

/// The response to a request that is not run.
fn reject(rejection: Rejection) -> Response<EventBody> {
    if rejection == Rejection::Misdirected {
        return whole(StatusCode::MISDIRECTED_REQUEST, "");
    }
    let mut response = whole(StatusCode::SERVICE_UNAVAILABLE, "");
    mark_not_run(response.headers_mut());
    if let Rejection::Backoff(seconds) = rejection {
        set_retry_after(response.headers_mut(), seconds);
    }
    response
}

/// Reports the runs that are under way.
fn report(state: &ServerState) -> Response<EventBody> {
    let kept = match state.lost_runs {
        LostRuns::End => Duration::ZERO,
        LostRuns::GoOn(time) => time,
        LostRuns::Unreported => return whole(StatusCode::NOT_FOUND, ""),
    };
    let is_under_way = |record: &RequestRecord| match record.run {
        RunState::Running => true,
        RunState::BrokenOff | RunState::Abandoned => {
            record.done.is_none_or(|done| state.now() < done + kept)
        }
        _ => false,
    };
    let runs = state.model.records().zip(&state.callers);
    let runs = runs.filter(|(record, _)| is_under_way(record));
    let ids: Vec<String> = runs.map(|(_, (_, id))| id.clone()).collect();
    let body = Bytes::from(report_body(&ids));
    Response::new(EventBody::new(vec![body], None))
}

/// Answers a health check, which is neither recorded nor run.
async fn check_health(
    state: &SharedServer,
    crash: &StopSignal,
) -> Result<Response<EventBody>, io::Error> {
    let health = {
        let mut state = state.lock();
        let now = state.now();
        let health = state.model.check_health(now);
        if state.model.is_crashed() {
            crash.notify_one();
        }
        health
    };
    match health {
        Health::Never => std::future::pending().await,
        Health::Closes => Err(io::Error::other("closed by the stub")),
        Health::NotReady => Ok(whole(StatusCode::SERVICE_UNAVAILABLE, "")),
        Health::Ready => Ok(whole(StatusCode::OK, "")),
    }
}

/// Runs a request that was admitted.
async fn run(
    running: &RunningGuard,
    crash: StopSignal,
    head: &Parts,
    call: ReceivedCall,
    body: Bytes,
) -> Result<Response<EventBody>, io::Error> {
    let state = Arc::clone(&running.state);
    let (fault, transfer, address) = {
        let state = state.lock();
        (state.model.fault(), state.model.transfer(), state.address)
    };
    if let (Some(run), Some(address)) = (&call.copy_from, address)
        && (!take_copy(address, run) || fault == ServerFault::BreaksAndLosesBackups)
    {
        return Ok(reject(Rejection::Unwanted));
    }
    if let (Some(backup), Some(address)) = (call.copy_to, address) {
        put_copy(backup, format!("{address}/{}", call.request_id));
    }
    let target = head.uri.to_string();
    let crashing_part = call.shared_parts.iter().find(|id| is_crashing_part(**id));
    let request = RunRequest {
        is_stream: target.starts_with(STREAM_PATH),
        received: call.last_event.as_deref().map(|id| id.parse().unwrap_or(0)),
        is_from_copy: call.copy_from.is_some(),
        crash: match crashing_part {
            Some(id) if !id.is_multiple_of(2) => Some(CrashPoint::BeforeHead),
            Some(_) => Some(CrashPoint::DuringAnswer),
            None => (body == CRASHING_BODY).then_some(CrashPoint::DuringAnswer),
        },
        pause: head
            .uri
            .query()
            .and_then(requested_pause)
            .or(state.lock().event_pause)
            .unwrap_or(EVENT_PAUSE),
    };
    let answer = {
        let mut state = state.lock();
        state.runs.push(ReceivedRequest {
            call: call.clone(),
            method: head.method.to_string(),
            target,
            body,
        });
        let now = state.now();
        state.model.begin(running.number, &request, now)
    };
    if request.crash.is_some() {
        crash_soon(Arc::clone(&state), crash);
    }
    let version = state.lock().version;
    let guard = CutGuard {
        state: Arc::clone(&state),
        is_over: matches!(answer, Answer::Whole | Answer::Closed),
    };
    let mut response = match answer {
        Answer::Never => std::future::pending().await,
        Answer::Closed => return Err(io::Error::other("closed by the stub")),
        Answer::Failure => whole(failure_status(fault), "failed"),
        Answer::Whole => whole(StatusCode::OK, "answer"),
        Answer::Stream => {
            let events = EVENTS.map(|event| Bytes::from(with_version(event, version)));
            Response::new(EventBody::new(events.into(), Some(guard)))
        }
    };
    let id = match fault {
        ServerFault::WrongResponse => "somebody-else",
        _ => &call.request_id,
    };
    sign_response(response.headers_mut(), id);
    if transfer.framing == StubFraming::UntilClose {
        // Hyper delimits the body of an HTTP/1.0 response by the end of the connection.
        *response.version_mut() = Version::HTTP_10;
    }
    let is_reset = transfer.break_end == BreakEnd::Reset
        || (transfer.framing == StubFraming::UntilClose && fault.breaks_between_events());
    if transfer != StubTransfer::default()
        && let Some(reset) = head.extensions.get::<ResetSwitch>()
    {
        // A server that crashes during the response resets the connection.
        reset.set(true)?;
        let breaks = state.lock().model.breaks(running.number);
        response.body_mut().reset = (!breaks || !is_reset).then(|| reset.clone());
    }
    Ok(response)
}

fn failure_status(fault: ServerFault) -> StatusCode {
    let status = match fault {
        ServerFault::FailsWith(status) => StatusCode::from_u16(status).ok(),
        _ => None,
    };
    status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
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

fn crash_soon(state: Arc<SharedServer>, crash: StopSignal) {
    tokio::task::spawn_local(async move {
        tokio::time::sleep(CRASH_AFTER).await;
        {
            let mut state = state.lock();
            let now = state.now();
            state.model.crash(now);
        }
        crash.notify_one();
    });
}

fn whole(status: StatusCode, body: &'static str) -> Response<EventBody> {
    let body = Bytes::from_static(body.as_bytes());
    let mut response = Response::new(EventBody::new(vec![body], None));
    *response.status_mut() = status;
    response
}

/// A complete body, or a stream of events, of which the model says what is sent when.
pub struct EventBody {
    /// The events by index; of a complete body, the body.
    events: Vec<Bytes>,
    timer: Pin<Box<Sleep>>,
    guard: Option<CutGuard>,
    /// The request; `None` for a complete body that is not recorded.
    running: Option<RunningGuard>,
    /// Turned off at the end of the body, so that the connection closes regularly.
    reset: Option<ResetSwitch>,
}

impl EventBody {
    fn new(events: Vec<Bytes>, guard: Option<CutGuard>) -> Self {
        Self {
            events,
            timer: Box::pin(tokio::time::sleep(Duration::ZERO)),
            guard,
            running: None,
            reset: None,
        }
    }

    fn next(&mut self) -> NextPart {
        match &self.running {
            Some(running) => running.next(),
            // The body of an answer to a health check, or to a request for another instance.
            None if self.events.is_empty() => NextPart::End,
            None => NextPart::Event(0),
        }
    }

    /// Takes an event, or the whole body.
    fn take(&mut self, index: usize) -> Bytes {
        let event = self.events.get_mut(index).map(std::mem::take);
        if self.running.is_none() {
            self.events.clear();
        }
        event.unwrap_or_default()
    }

    /// Records that the server has ended the body.
    fn end(&mut self) -> io::Result<()> {
        if let Some(guard) = &mut self.guard {
            guard.is_over = true;
        }
        match self.reset.take() {
            Some(reset) => reset.set(false),
            None => Ok(()),
        }
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
        loop {
            let sent = match this.next() {
                NextPart::Never => return Poll::Pending,
                NextPart::At(due) => {
                    let started = this
                        .running
                        .as_ref()
                        .map(|guard| guard.state.lock().started);
                    let due = started.unwrap_or_else(Instant::now) + due;
                    this.timer.as_mut().reset(due.into());
                    if this.timer.as_mut().poll(cx).is_pending() {
                        return Poll::Pending;
                    }
                    continue;
                }
                NextPart::Event(index) => this.take(index),
                NextPart::HalfEvent(index) => {
                    let event = this.take(index);
                    event.slice(..event.len() / 2)
                }
                NextPart::End => {
                    this.end()?;
                    return Poll::Ready(None);
                }
                NextPart::Break => {
                    this.end()?;
                    let error = io::Error::other("disconnected by the stub");
                    return Poll::Ready(Some(Err(error)));
                }
            };
            return Poll::Ready(Some(Ok(Frame::data(sent))));
        }
    }
}
