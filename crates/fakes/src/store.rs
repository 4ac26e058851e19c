//! Stand-in of the platform's store as the adapter speaks to it.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use onyxfall_adapter::standin::{StoreCall, batch_body, page_body, read_store_call};
use onyxfall_fleet::{StoreEvent, StoreItem};
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

#[derive(Default)]
struct StoreState {
    items: BTreeMap<String, StoreItem>,
    history: Vec<StoreEvent>,
    forgotten: u64,
    revision: u64,
    mode: StoreMode,
    open_watches: usize,
    /// Watches to come that are never answered.
    deaf_watches: usize,
    /// Watches that were answered.
    answered_watches: usize,
}

#[derive(Default)]
struct StoreShared {
    state: Mutex<StoreState>,
    changed: Notify,
}

/// A running stand-in of the store.
pub struct StoreStandIn {
    shared: Arc<StoreShared>,
    thread: ServingThread,
}

impl StoreStandIn {
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
        let mut state = self.shared.state.lock();
        state.revision += 1;
        let item = StoreItem {
            key: key.to_owned(),
            value: Bytes::from(value),
            revision: state.revision,
        };
        state.history.push(StoreEvent::Put(item.clone()));
        state.items.insert(key.to_owned(), item);
        self.shared.changed.notify_waiters();
    }

    /// Deletes an item.
    pub fn delete(&self, key: &str) {
        let mut state = self.shared.state.lock();
        state.revision += 1;
        let (key, revision) = (key.to_owned(), state.revision);
        state.items.remove(&key);
        state.history.push(StoreEvent::Delete { key, revision });
        self.shared.changed.notify_waiters();
    }

    /// Drops the history, so that watches from before are refused.
    pub fn forget_history(&self) {
        let mut state = self.shared.state.lock();
        state.history.clear();
        state.forgotten = state.revision;
    }

    /// Watches that wait for a change now.
    pub fn open_watches(&self) -> usize {
        self.shared.state.lock().open_watches
    }

    /// Lets the next watch wait for ever, whatever changes.
    pub fn deafen_next_watch(&self) {
        self.shared.state.lock().deaf_watches += 1;
    }

    /// Whether a watch that is to wait for ever has not come yet.
    pub fn awaits_deaf_watch(&self) -> bool {
        self.shared.state.lock().deaf_watches > 0
    }

    /// Watches that were answered so far.
    pub fn answered_watches(&self) -> usize {
        self.shared.state.lock().answered_watches
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
    let mode = shared.state.lock().mode;
    match mode {
        StoreMode::Well => {}
        StoreMode::Refusing => return Ok(reply(StatusCode::SERVICE_UNAVAILABLE, String::new())),
        StoreMode::Silent => std::future::pending().await,
    }
    Ok(match read_store_call(request.uri()) {
        Some(StoreCall::Range { prefix }) => {
            let state = shared.state.lock();
            let items: Vec<StoreItem> = state
                .items
                .values()
                .filter(|item| item.key.starts_with(&prefix))
                .cloned()
                .collect();
            reply(StatusCode::OK, page_body(&items, state.revision))
        }
        Some(StoreCall::Watch { after, wait, .. }) => {
            if take_deaf(&shared) {
                std::future::pending::<()>().await;
            }
            let answer = watch(&shared, after, wait).await;
            shared.state.lock().answered_watches += 1;
            answer
        }
        None => reply(StatusCode::NOT_FOUND, String::new()),
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
    let state = shared.state.lock();
    if after < state.forgotten {
        return Some(reply(StatusCode::GONE, String::new()));
    }
    let events: Vec<StoreEvent> = state
        .history
        .iter()
        .filter(|event| revision_of(event) > after)
        .cloned()
        .collect();
    let body = || batch_body(&events, state.revision);
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
