//! Stub of the platform's store, with the protocol that the adapter uses.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::ops::Bound;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use onyxfall_adapter::stub::{
    PAGE_ITEMS, StoreCall, StoreWrite, batch_body, is_store_write, page_body, read_store_call,
    read_store_write, set_store_era, written_body,
};
use onyxfall_fleet::{StoreEvent, StoreItem};
use onyxfall_types::StoreEra;
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::serving::{ServingThread, StopSignal};

/// Longest time that the stub keeps a watch open; no test needs a longer one.
const LONGEST_WATCH: Duration = Duration::from_millis(500);

/// How the store behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreMode {
    /// Responds to every call.
    #[default]
    Normal,
    /// Rejects every call with 503.
    Refusing,
    /// Responds to no call, nor to the watches that are open. Their connections stay open and
    /// are never answered again.
    Unresponsive,
}

/// Contents of the store, or of a snapshot of it.
#[derive(Clone, Default)]
struct StoreData {
    items: BTreeMap<String, StoreItem>,
    history: Vec<StoreEvent>,
    compacted: u64,
    revision: u64,
}

#[derive(Default)]
struct StoreState {
    data: StoreData,
    /// The snapshot to restore.
    snapshot: StoreData,
    era: u16,
    mode: StoreMode,
    open_watches: usize,
    /// Number of future watches that are never answered.
    stalled_watches: usize,
    /// Number of watches that were answered.
    answered_watches: usize,
    answered_ranges: usize,
    /// Number of conditional writes that took effect.
    writes: usize,
    /// Number of future conditional writes that take effect but are never answered.
    lost_responses: usize,
    /// Number of calls so far that are never answered.
    unanswered_calls: usize,
}

impl StoreData {
    /// Sets a key at the current revision.
    fn set(&mut self, key: &str, value: Bytes) {
        let item = StoreItem {
            key: key.to_owned(),
            value,
            revision: self.revision,
        };
        self.history.push(StoreEvent::Put(item.clone()));
        self.items.insert(key.to_owned(), item);
    }

    /// Deletes a key.
    fn remove(&mut self, key: &str) {
        self.revision += 1;
        self.items.remove(key);
        self.history.push(StoreEvent::Delete {
            key: key.to_owned(),
            revision: self.revision,
        });
    }
}

impl StoreState {
    /// Applies a write if its condition holds; returns whether it was applied.
    fn write(&mut self, write: &StoreWrite) -> bool {
        let data = &mut self.data;
        let revision = |key: &String| data.items.get(key).map_or(0, |item| item.revision);
        let mut expected = write.expected.iter();
        if !expected.all(|(key, expected)| revision(key) == *expected) {
            return false;
        }
        data.revision += 1;
        for (key, value) in &write.set {
            data.set(key, Bytes::from(value.clone()));
        }
        self.writes += 1;
        true
    }
}

#[derive(Default)]
struct StoreShared {
    state: Mutex<StoreState>,
    changed: Notify,
}

/// A running stub of the store.
pub struct StoreStub {
    shared: Arc<StoreShared>,
    thread: ServingThread,
}

impl StoreStub {
    /// Starts it on a free port of `ip`.
    ///
    /// # Errors
    ///
    /// No port is free, or no thread can be started.
    pub fn start(ip: std::net::IpAddr) -> std::io::Result<Self> {
        let shared = Arc::new(StoreShared::default());
        let served = Arc::clone(&shared);
        let address = SocketAddr::new(ip, 0);
        let thread = ServingThread::start(address, StopSignal::default(), move |request| {
            respond(Arc::clone(&served), request)
        })?;
        Ok(Self { shared, thread })
    }

    /// Address on which it listens.
    pub fn address(&self) -> SocketAddr {
        self.thread.address()
    }

    /// Writes an item.
    pub fn put(&self, key: &str, value: String) {
        let data = &mut self.shared.state.lock().data;
        data.revision += 1;
        data.set(key, Bytes::from(value));
        self.shared.changed.notify_waiters();
    }

    /// The value of an item.
    pub fn get(&self, key: &str) -> Option<Bytes> {
        let state = self.shared.state.lock();
        state.data.items.get(key).map(|item| item.value.clone())
    }

    /// Makes the next `count` conditional writes take effect without a response.
    pub fn drop_write_responses(&self, count: usize) {
        self.shared.state.lock().lost_responses += count;
    }

    /// Number of conditional writes that took effect so far.
    pub fn writes(&self) -> usize {
        self.shared.state.lock().writes
    }

    /// Deletes an item.
    pub fn delete(&self, key: &str) {
        self.shared.state.lock().data.remove(key);
        self.shared.changed.notify_waiters();
    }

    /// Saves a snapshot of the store, which replaces the previous one.
    pub fn save_snapshot(&self) {
        let state = &mut *self.shared.state.lock();
        state.snapshot = state.data.clone();
    }

    /// Restores the snapshot: later writes are lost, and their revisions are reused.
    pub fn restore_snapshot(&self) {
        let state = &mut *self.shared.state.lock();
        state.data = state.snapshot.clone();
        state.era += 1;
        self.shared.changed.notify_waiters();
    }

    /// Drops the history, so that watches from earlier revisions are rejected.
    pub fn compact_history(&self) {
        let data = &mut self.shared.state.lock().data;
        data.history.clear();
        data.compacted = data.revision;
    }

    /// Number of watches that are waiting for a change.
    pub fn open_watches(&self) -> usize {
        self.shared.state.lock().open_watches
    }

    /// Makes the next watch wait forever, whatever changes.
    pub fn stall_next_watch(&self) {
        self.shared.state.lock().stalled_watches += 1;
    }

    /// Whether a watch that is to wait forever has not arrived yet.
    pub fn awaits_stalled_watch(&self) -> bool {
        self.shared.state.lock().stalled_watches > 0
    }

    /// Number of watches that were answered so far.
    pub fn answered_watches(&self) -> usize {
        self.shared.state.lock().answered_watches
    }

    /// Number of page reads that were answered so far.
    pub fn answered_ranges(&self) -> usize {
        self.shared.state.lock().answered_ranges
    }

    /// Number of calls so far that the store received or answered while it was unresponsive.
    pub fn unanswered_calls(&self) -> usize {
        self.shared.state.lock().unanswered_calls
    }

    /// Sets how it behaves.
    pub fn set_mode(&self, mode: StoreMode) {
        self.shared.state.lock().mode = mode;
    }
}

async fn respond(
    shared: Arc<StoreShared>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let mut response = respond_to_call(&shared, request).await?;
    let is_lost = shared.state.lock().mode == StoreMode::Unresponsive;
    if is_lost {
        match lose_call(&shared).await {}
    }
    let era = StoreEra::new(shared.state.lock().era);
    set_store_era(response.headers_mut(), era);
    Ok(response)
}

/// Never answers a call; the connection that carries it is blocked from then on.
async fn lose_call(shared: &StoreShared) -> Infallible {
    shared.state.lock().unanswered_calls += 1;
    std::future::pending().await
}

async fn respond_to_call(
    shared: &StoreShared,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let mode = shared.state.lock().mode;
    match mode {
        StoreMode::Normal => {}
        StoreMode::Refusing => return Ok(reply(StatusCode::SERVICE_UNAVAILABLE, String::new())),
        StoreMode::Unresponsive => match lose_call(shared).await {},
    }
    if is_store_write(request.uri()) {
        return write(shared, request).await;
    }
    Ok(match read_store_call(request.uri()) {
        Some(StoreCall::Range { prefix, after }) => {
            let mut state = shared.state.lock();
            let begin = after.map_or(Bound::Included(prefix.clone()), Bound::Excluded);
            state.answered_ranges += 1;
            let items = state.data.items.range((begin, Bound::Unbounded));
            let items = items.map(|(_, item)| item);
            let items = items.take_while(|item| item.key.starts_with(&prefix));
            let items: Vec<StoreItem> = items.take(PAGE_ITEMS + 1).cloned().collect();
            reply(StatusCode::OK, page_body(&items, state.data.revision))
        }
        Some(StoreCall::Watch { after, wait, .. }) => {
            if take_stalled(shared) {
                std::future::pending::<()>().await;
            }
            let response = watch(shared, after, wait).await;
            shared.state.lock().answered_watches += 1;
            response
        }
        None => reply(StatusCode::NOT_FOUND, String::new()),
    })
}

async fn write(
    shared: &StoreShared,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let Ok(body) = request.into_body().collect().await else {
        return Ok(reply(StatusCode::BAD_REQUEST, String::new()));
    };
    let Some(write) = read_store_write(&body.to_bytes()) else {
        return Ok(reply(StatusCode::BAD_REQUEST, String::new()));
    };
    let (is_applied, revision, is_lost) = {
        let mut state = shared.state.lock();
        let is_applied = state.write(&write);
        let is_lost = is_applied && state.lost_responses > 0;
        state.lost_responses -= usize::from(is_lost);
        (is_applied, state.data.revision, is_lost)
    };
    if is_applied {
        shared.changed.notify_waiters();
    }
    if is_lost {
        std::future::pending::<()>().await;
    }
    Ok(if is_applied {
        reply(StatusCode::OK, written_body(revision))
    } else {
        reply(StatusCode::PRECONDITION_FAILED, String::new())
    })
}

/// Whether this watch is to wait forever; counts it.
fn take_stalled(shared: &StoreShared) -> bool {
    let mut state = shared.state.lock();
    let is_stalled = state.stalled_watches > 0;
    state.stalled_watches -= usize::from(is_stalled);
    is_stalled
}

/// Counts a watch as open until dropped.
struct OpenWatch<'a>(&'a StoreShared);

impl<'a> OpenWatch<'a> {
    fn start(shared: &'a StoreShared) -> Self {
        shared.state.lock().open_watches += 1;
        Self(shared)
    }
}

impl Drop for OpenWatch<'_> {
    fn drop(&mut self) {
        self.0.state.lock().open_watches -= 1;
    }
}

async fn watch(shared: &StoreShared, after: u64, wait: Duration) -> Response<Full<Bytes>> {
    let changed = shared.changed.notified();
    if let Some(reply) = changes_since(shared, after) {
        return reply;
    }
    let open = OpenWatch::start(shared);
    let _ = tokio::time::timeout(wait.min(LONGEST_WATCH), changed).await;
    drop(open);
    changes_since(shared, after).unwrap_or_else(|| reply(StatusCode::OK, batch_body(&[], after)))
}

fn changes_since(shared: &StoreShared, after: u64) -> Option<Response<Full<Bytes>>> {
    let data = &shared.state.lock().data;
    if after < data.compacted || after > data.revision {
        return Some(reply(StatusCode::GONE, String::new()));
    }
    let events: Vec<StoreEvent> = data
        .history
        .iter()
        .filter(|event| revision_of(event) > after)
        .cloned()
        .collect();
    let body = || batch_body(&events, data.revision);
    (!events.is_empty()).then(|| reply(StatusCode::OK, body()))
}

fn revision_of(event: &StoreEvent) -> u64 {
    match event {
        StoreEvent::Put(item) => item.revision,
        StoreEvent::Delete { revision, .. } => *revision,
    }
}

fn reply(status: StatusCode, body: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
}
