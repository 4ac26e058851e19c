//! Stand-in of the platform's store as the adapter speaks to it.

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

/// Longest time that the stand-in holds a watch; tests need no longer one.
const LONGEST_WATCH: Duration = Duration::from_millis(500);

/// How the store behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreMode {
    /// As it should.
    #[default]
    Well,
    /// Every call is refused.
    Refusing,
    /// No call is answered.
    Silent,
}

/// What a copy of the store holds.
#[derive(Clone, Default)]
struct StoreData {
    items: BTreeMap<String, StoreItem>,
    history: Vec<StoreEvent>,
    forgotten: u64,
    revision: u64,
}

#[derive(Default)]
struct StoreState {
    data: StoreData,
    /// A copy to come back from.
    kept: StoreData,
    era: u16,
    mode: StoreMode,
    open_watches: usize,
    /// Watches to come that are never answered.
    deaf_watches: usize,
    /// Watches that were answered.
    answered_watches: usize,
    answered_ranges: usize,
    /// Changes under a condition that were made.
    writes: usize,
    /// Such changes to come whose answer is lost.
    lost_answers: usize,
}

impl StoreData {
    /// Sets a key at the present revision.
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
    /// Makes a change if its condition holds; whether it was made.
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

/// A running stand-in of the store.
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
            answer(Arc::clone(&served), request)
        })?;
        Ok(Self { shared, thread })
    }

    /// Where it listens.
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

    /// Loses the answers of so many changes to come, which are made.
    pub fn drop_write_responses(&self, count: usize) {
        self.shared.state.lock().lost_answers += count;
    }

    /// Changes under a condition that were made so far.
    pub fn writes(&self) -> usize {
        self.shared.state.lock().writes
    }

    /// Deletes an item.
    pub fn delete(&self, key: &str) {
        self.shared.state.lock().data.remove(key);
        self.shared.changed.notify_waiters();
    }

    /// Keeps a copy of everything, in place of the one before.
    pub fn save_snapshot(&self) {
        let state = &mut *self.shared.state.lock();
        state.kept = state.data.clone();
    }

    /// Comes back from the copy: what was written since is gone, and its revisions are
    /// given out again.
    pub fn restore_snapshot(&self) {
        let state = &mut *self.shared.state.lock();
        state.data = state.kept.clone();
        state.era += 1;
        self.shared.changed.notify_waiters();
    }

    /// Drops the history, so that watches from before are refused.
    pub fn compact_history(&self) {
        let data = &mut self.shared.state.lock().data;
        data.history.clear();
        data.forgotten = data.revision;
    }

    /// Watches that wait for a change now.
    pub fn open_watches(&self) -> usize {
        self.shared.state.lock().open_watches
    }

    /// Lets the next watch wait for ever, whatever changes.
    pub fn stall_next_watch(&self) {
        self.shared.state.lock().deaf_watches += 1;
    }

    /// Whether a watch that is to wait for ever has not come yet.
    pub fn awaits_stalled_watch(&self) -> bool {
        self.shared.state.lock().deaf_watches > 0
    }

    /// Watches that were answered so far.
    pub fn answered_watches(&self) -> usize {
        self.shared.state.lock().answered_watches
    }

    /// Reads of a page that were answered so far.
    pub fn answered_ranges(&self) -> usize {
        self.shared.state.lock().answered_ranges
    }

    /// Sets how it behaves.
    pub fn set_mode(&self, mode: StoreMode) {
        self.shared.state.lock().mode = mode;
    }
}

async fn answer(
    shared: Arc<StoreShared>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let mut response = answer_call(&shared, request).await?;
    let era = StoreEra::new(shared.state.lock().era);
    set_store_era(response.headers_mut(), era);
    Ok(response)
}

async fn answer_call(
    shared: &StoreShared,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let mode = shared.state.lock().mode;
    match mode {
        StoreMode::Normal => {}
        StoreMode::Refusing => return Ok(reply(StatusCode::SERVICE_UNAVAILABLE, String::new())),
        StoreMode::Unresponsive => std::future::pending().await,
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
            if take_deaf(shared) {
                std::future::pending::<()>().await;
            }
            let answer = watch(shared, after, wait).await;
            shared.state.lock().answered_watches += 1;
            answer
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
    let (is_made, revision, is_lost) = {
        let mut state = shared.state.lock();
        let is_made = state.write(&write);
        let is_lost = is_made && state.lost_answers > 0;
        state.lost_answers -= usize::from(is_lost);
        (is_made, state.data.revision, is_lost)
    };
    if is_made {
        shared.changed.notify_waiters();
    }
    if is_lost {
        std::future::pending::<()>().await;
    }
    Ok(if is_made {
        reply(StatusCode::OK, written_body(revision))
    } else {
        reply(StatusCode::PRECONDITION_FAILED, String::new())
    })
}

/// Whether this watch is one that waits for ever.
fn take_deaf(shared: &StoreShared) -> bool {
    let mut state = shared.state.lock();
    let is_deaf = state.deaf_watches > 0;
    state.deaf_watches -= usize::from(is_deaf);
    is_deaf
}

/// Counts a watch as open while it lives.
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
    if let Some(reply) = news(shared, after) {
        return reply;
    }
    let open = OpenWatch::start(shared);
    let _ = tokio::time::timeout(wait.min(LONGEST_WATCH), changed).await;
    drop(open);
    news(shared, after).unwrap_or_else(|| reply(StatusCode::OK, batch_body(&[], after)))
}

fn news(shared: &StoreShared, after: u64) -> Option<Response<Full<Bytes>>> {
    let data = &shared.state.lock().data;
    if after < data.forgotten || after > data.revision {
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
