//! Accepts links of other entries and serves the requests that they forward.
//!
//! This module has no call that forwards a request: a request that arrives here is run
//! in this data centre or refused.

use std::collections::{HashMap, HashSet, VecDeque};
use std::io::{self, Read};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use fastrace::Span;
use onyxfall_clock::BootInstant;
use onyxfall_http::CancelToken;
use onyxfall_policy::{PrefixKey, TicketId};
use onyxfall_types::{RefusalReason, RequestError, RunVerdict};
use onyxfall_wire::{
    CreditWindow, FrameClass, FrameReader, FrameWriter, MAX_FRAME, OpenMode, OpenRequest,
    PeerPayload,
};
use parking_lot::Mutex;

use crate::control::handle_control;
use crate::core::EntryCore;
use crate::edge::serve_ticket;
use crate::metrics::{ByteFlow, CounterName};
use crate::peer::convert::{check_hello, own_hello};
use crate::peer::link::PeerLink;
use crate::peer::reply::PeerResponse;
use crate::response::ResponseSink;
use crate::serve::{RequestContext, RequestOrigin, serve_request};
use crate::supervisor::StopSignal;
use crate::trace::context_of;

/// Longest time between a connection and its hello, and the longest hello.
const HELLO_TIMEOUT: Duration = Duration::from_secs(3);
const MAX_HELLO: usize = 16 * 1024;
/// Most connections that have not sent a hello.
const MAX_STRANGERS: usize = 16;
const ACCEPT_POLL: Duration = Duration::from_millis(50);
const REQUEST_STACK: usize = 256 * 1024;
/// Number of attempt ids that are kept per link to detect duplicates.
const SEEN_LIMIT: usize = 4096;

/// Accepts other entries until shutdown.
pub(crate) fn listen_for_peers(core: &Arc<EntryCore>, listener: &TcpListener, stop: &StopSignal) {
    if let Err(e) = listener.set_nonblocking(true) {
        log::error!("cannot make the peer listener nonblocking: {e}");
        return;
    }
    let strangers = Arc::<StrangerList>::default();
    while !stop.is_stopped() {
        match listener.accept() {
            Ok((stream, _)) => start_receiver(core, &strangers, stream),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                stop.wait(ACCEPT_POLL);
            }
            Err(e) => {
                log::warn!("peer accept failed: {e}");
                stop.wait(ACCEPT_POLL);
            }
        }
    }
}

fn start_receiver(core: &Arc<EntryCore>, strangers: &Arc<StrangerList>, stream: TcpStream) {
    let number = match strangers.add(core, &stream) {
        Ok(number) => number,
        Err(e) => {
            log::warn!("peer connection refused: {e}");
            return;
        }
    };
    let (core, strangers) = (Arc::clone(core), Arc::clone(strangers));
    let spawned = thread::Builder::new()
        .name("peer-receiver".to_owned())
        .stack_size(REQUEST_STACK)
        .spawn(move || {
            let greeted = greet(&core, stream);
            strangers.remove(number);
            match greeted {
                Ok((receiver, reader)) => receiver.read_frames(reader),
                Err(e) => log::warn!("peer connection refused: {e}"),
            }
        });
    if let Err(e) = spawned {
        log::error!("cannot start a thread for a peer connection: {e}");
    }
}

/// Accepted connections that have not sent a valid hello.
#[derive(Default)]
struct StrangerList {
    state: Mutex<StrangerState>,
}

#[derive(Default)]
struct StrangerState {
    next: u64,
    /// In the order in which they were accepted.
    streams: VecDeque<(u64, TcpStream)>,
}

impl StrangerList {
    /// Adds a connection. The oldest one is closed if there are [`MAX_STRANGERS`].
    fn add(&self, core: &EntryCore, stream: &TcpStream) -> io::Result<u64> {
        let stream = stream.try_clone()?;
        let mut state = self.state.lock();
        if state.streams.len() >= MAX_STRANGERS
            && let Some((_, oldest)) = state.streams.pop_front()
        {
            core.metrics.count(CounterName::EvictedStrangers);
            let _ = oldest.shutdown(Shutdown::Both);
        }
        state.next += 1;
        let number = state.next;
        state.streams.push_back((number, stream));
        Ok(number)
    }

    fn remove(&self, number: u64) {
        let mut state = self.state.lock();
        state.streams.retain(|(other, _)| *other != number);
    }
}

/// A connection whose reads fail after a time, until the limit is lifted.
struct TimedStream {
    stream: TcpStream,
    until: Option<BootInstant>,
}

impl Read for TimedStream {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        if let Some(until) = self.until {
            let left = until.saturating_duration_since(BootInstant::now());
            if left.is_zero() {
                return Err(io::ErrorKind::TimedOut.into());
            }
            self.stream.set_read_timeout(Some(left))?;
        }
        self.stream.read(buffer)
    }
}

/// Exchanges hellos on an accepted connection.
fn greet(
    core: &Arc<EntryCore>,
    stream: TcpStream,
) -> Result<(Arc<PeerReceiver>, FrameReader<TimedStream>), String> {
    let text = |e: io::Error| e.to_string();
    stream.set_nonblocking(false).map_err(text)?;
    stream.set_nodelay(true).map_err(text)?;
    let mut reader = FrameReader::new(TimedStream {
        stream: stream.try_clone().map_err(text)?,
        until: Some(BootInstant::now() + HELLO_TIMEOUT),
    });
    reader.limit_frames(MAX_HELLO);
    let (frame, _) = reader.read().map_err(|e| e.to_string())?;
    let member = check_hello(core, frame.payload)?;
    reader.limit_frames(MAX_FRAME);
    reader.stream_mut().until = None;
    let mut writer = FrameWriter::new(stream.try_clone().map_err(text)?);
    writer
        .write(&own_hello(core).into())
        .map_err(|e| e.to_string())?;
    stream.set_read_timeout(None).map_err(text)?;
    let now = core.now();
    core.members.lock().receive(now, &member);
    let link = PeerLink::start(core, member, stream, writer)
        .map_err(|_| "cannot start a thread".to_owned())?;
    core.links.record_accepted(&link);
    let receiver = PeerReceiver {
        core: Arc::clone(core),
        link,
        open: Mutex::default(),
    };
    Ok((Arc::new(receiver), reader))
}

struct OpenAttempt {
    cancel: CancelToken,
    window: Arc<CreditWindow>,
}

#[derive(Default)]
struct AttemptTable {
    open: HashMap<u64, OpenAttempt>,
    seen: HashSet<u64>,
}

/// The receiving side of one accepted connection.
struct PeerReceiver {
    core: Arc<EntryCore>,
    link: Arc<PeerLink>,
    open: Mutex<AttemptTable>,
}

impl PeerReceiver {
    fn read_frames(self: &Arc<Self>, mut reader: FrameReader<TimedStream>) {
        loop {
            let (frame, len) = match reader.read() {
                Ok(read) => read,
                Err(e) => {
                    log::debug!("reading from the link of {} failed: {e}", self.link.name());
                    break;
                }
            };
            self.link.record_received();
            let Some(payload) = frame.payload else {
                continue;
            };
            self.core
                .metrics
                .record_bytes(FrameClass::of(&payload), ByteFlow::In, len);
            self.handle(payload);
        }
        self.link.close();
        for (_, attempt) in self.open.lock().open.drain() {
            attempt.window.close();
            attempt.cancel.cancel();
        }
    }

    fn handle(self: &Arc<Self>, payload: PeerPayload) {
        match payload {
            PeerPayload::Open(open) => self.start(open),
            PeerPayload::Credit(credit) => {
                if let Some(attempt) = self.open.lock().open.get(&credit.attempt) {
                    attempt.window.grant(credit.bytes);
                }
            }
            PeerPayload::Cancel(cancel) => {
                let attempt = self.open.lock().open.remove(&cancel.attempt);
                if let Some(attempt) = attempt {
                    attempt.window.close();
                    attempt.cancel.cancel();
                }
            }
            other => handle_control(&self.core, &self.link, other),
        }
    }

    fn start(self: &Arc<Self>, open: OpenRequest) {
        let id = open.attempt;
        let cancel = CancelToken::new();
        let window = Arc::new(CreditWindow::new());
        {
            let mut table = self.open.lock();
            if !table.seen.insert(id) {
                drop(table);
                self.core.metrics.count(CounterName::DuplicateFrames);
                return;
            }
            if table.seen.len() > SEEN_LIMIT {
                let oldest = table.seen.iter().min().copied();
                oldest.map(|oldest| table.seen.remove(&oldest));
            }
            let attempt = OpenAttempt {
                cancel: cancel.clone(),
                window: Arc::clone(&window),
            };
            table.open.insert(id, attempt);
        }
        let receiver = Arc::clone(self);
        let spawned = thread::Builder::new()
            .name("peer-request".to_owned())
            .stack_size(REQUEST_STACK)
            .spawn(move || {
                receiver.serve(&open, cancel, window);
                receiver.open.lock().open.remove(&id);
            });
        if let Err(e) = spawned {
            log::error!("cannot start a thread for a forwarded request: {e}");
            self.open.lock().open.remove(&id);
            let error = RequestError::not_run(RefusalReason::Overloaded, "cannot start a thread");
            self.response(id, Arc::new(CreditWindow::new()))
                .fail(&error);
        }
    }

    fn response(&self, attempt: u64, window: Arc<CreditWindow>) -> PeerResponse {
        let stall_timeout = self.core.settings.limits.stall_timeout;
        PeerResponse::new(Arc::clone(&self.link), attempt, window, stall_timeout)
    }

    fn serve(&self, open: &OpenRequest, cancel: CancelToken, window: Arc<CreditWindow>) {
        let response = self.response(open.attempt, window);
        let guard = match self.core.open_request() {
            Ok(guard) => guard,
            Err(error) => return response.fail(&error),
        };
        let context = match request_context(&self.core, open, cancel) {
            Ok(context) => context,
            Err(error) => return response.fail(&error),
        };
        let sink = ResponseSink::Peer(response);
        let is_ticket = open.mode == i32::from(OpenMode::Ticket);
        if is_ticket {
            self.serve_ticket(open, &context, sink);
        } else {
            self.record_from_remote(&context, true);
            let _ = serve_request(&self.core, &context, sink);
            self.record_from_remote(&context, false);
        }
        drop(guard);
    }

    fn serve_ticket(&self, open: &OpenRequest, context: &RequestContext, sink: ResponseSink) {
        match open.ticket.parse::<TicketId>() {
            Ok(ticket) => {
                let _ = serve_ticket(&self.core, context, &ticket, sink);
            }
            Err(e) => {
                let verdict = RunVerdict::NotRun;
                sink.fail(&RequestError::failed(
                    verdict,
                    RefusalReason::BadRequest,
                    e.to_string(),
                ));
            }
        }
    }

    fn record_from_remote(&self, context: &RequestContext, started: bool) {
        let center = self.link.peer().center.clone();
        self.core.with_router(|router| {
            let bundle = Arc::clone(router.bundle());
            let center = bundle.center_id(center.as_str());
            let kind = bundle.kind_id(context.kind.as_str());
            if let (Some(center), Some(kind)) = (center, kind) {
                router.record_from_remote(center, bundle.kinds[kind].model, started);
            }
        });
    }
}

fn request_context(
    core: &EntryCore,
    open: &OpenRequest,
    cancel: CancelToken,
) -> Result<RequestContext, RequestError> {
    let bad = |what: &str| RequestError::not_run(RefusalReason::BadRequest, what);
    let home = match open.home.as_str() {
        "" => None,
        home => Some(home.parse().map_err(|_| bad("malformed home region"))?),
    };
    let allowed = open
        .allowed
        .iter()
        .filter_map(|name| name.parse().ok())
        .collect();
    let span = Span::root("peer", context_of(Some(&open.traceparent)))
        .with_property(|| ("vm", core.settings.name.to_string()));
    Ok(RequestContext {
        request_id: open.request_id.clone(),
        kind: open.kind.parse().map_err(|_| bad("malformed kind"))?,
        home,
        method: open.method.clone(),
        path: open.path.clone(),
        content_type: open.content_type.clone(),
        body: open.body.clone(),
        prefix: (open.prefix != 0).then_some(PrefixKey(open.prefix)),
        deadline: core.now() + Duration::from_millis(open.remaining_ms),
        origin: RequestOrigin::Peer { allowed },
        cancel,
        span,
    })
}
