//! The link to the platform's store: one watch over everything that matters.
//!
//! A watch goes on from the revision of the last answer. When it is cut, or the
//! history is gone, everything is read again: a store that drops its history may
//! cut watches before it refuses them. While the store does not answer, the copy
//! stays in force and peers may have a newer one.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use onyxfall_adapter::{
    EventBatch, ItemPage, StoreError, WATCHED_PREFIX, range_request, read_batch, read_page,
    watch_request,
};
use onyxfall_fleet::{MirrorChange, RETURN_WINDOW, StoreEvent, StoreHealth, StoreMirror};
use onyxfall_policy::Moment;
use rand::Rng;
use thiserror::Error;

use crate::connection::{HttpConnection, SendError};
use crate::gateway::Gateway;

/// How long the store may hold a watch. Each call is priced; a dead connection
/// is found by probes, so this is the bound for a store that hangs.
const WATCH_WAIT: Duration = Duration::from_secs(8);
/// Longest time for an answer beyond the wait.
const ANSWER_LIMIT: Duration = Duration::from_millis(1500);
/// Longest time for a connection to the store to come up; it may be in another
/// region, and slow.
const DIAL_LIMIT: Duration = Duration::from_millis(700);
/// Pauses between calls that fail: from this, doubled, up to the next.
const FIRST_PAUSE: Duration = Duration::from_millis(60);
const LAST_PAUSE: Duration = Duration::from_millis(700);
/// The same for a VM that need not watch: it takes the copy of one that does, and
/// refused calls are priced too.
const LAST_IDLE_PAUSE: Duration = Duration::from_millis(2100);
/// Pause after an answer of a watch, so that changes that come close together
/// cost one call; far below the bounds on what must be in force.
const BATCH_PAUSE: Duration = Duration::from_millis(150);
/// Look whether another VM watches.
const FOLLOW_LOOK: Duration = Duration::from_millis(50);
/// Largest answer: a page holds at most about a megabyte, in base64.
const ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// What is known of the store's availability.
#[derive(Debug, Default)]
pub(crate) struct StoreLink {
    is_reached: bool,
    is_watched: bool,
    returned_at: Option<Moment>,
}

impl StoreLink {
    /// Whether everything was read, and is watched by this VM or another one.
    pub(crate) fn is_reached(&self) -> bool {
        self.is_reached
    }

    /// Whether this VM itself watches.
    pub(crate) fn is_watched(&self) -> bool {
        self.is_reached && self.is_watched
    }

    fn lose(&mut self) -> bool {
        std::mem::replace(&mut self.is_reached, false)
    }

    fn gain(&mut self, now: Moment) -> bool {
        if self.is_reached {
            return false;
        }
        self.is_reached = true;
        self.returned_at = Some(now);
        true
    }

    /// How news is to be taken: leases may have run out during an outage.
    pub(crate) fn health(&self, now: Moment) -> StoreHealth {
        let lately = self.returned_at.is_some_and(|at| now - at < RETURN_WINDOW);
        if lately || !self.is_reached {
            StoreHealth::Returned
        } else {
            StoreHealth::Steady
        }
    }
}

/// Why a call failed.
#[derive(Debug, Error)]
enum CallError {
    #[error("{0}")]
    Store(#[from] StoreError),
    #[error("no connection: {0}")]
    Unreachable(#[from] std::io::Error),
    #[error("the connection broke")]
    Broken,
    #[error("no answer")]
    TimedOut,
}

/// Why everything has to be read again.
#[derive(Debug, Error)]
enum WatchEnd {
    #[error("the watch ended: {0}")]
    Failed(CallError),
    #[error("another VM watches")]
    Relieved,
    #[error("no VM is heard that watches")]
    Unwatched,
    #[error("the copy stays behind")]
    Behind,
}

/// Starts the task that reads and watches.
pub(crate) fn start(gateway: &Rc<Gateway>) {
    let mut watch = StoreWatch {
        gateway: Rc::clone(gateway),
        connection: None,
        pause: FIRST_PAUSE,
    };
    tokio::task::spawn_local(async move { watch.run().await });
}

struct StoreWatch {
    gateway: Rc<Gateway>,
    connection: Option<HttpConnection>,
    pause: Duration,
}

impl StoreWatch {
    async fn run(&mut self) {
        loop {
            match self.read_all().await {
                Ok(revision) => {
                    self.note_success();
                    let end = self.stay_current(revision).await;
                    log::info!(cause:% = end; "reading everything");
                }
                Err(e) => self.note_failure(&e).await,
            }
        }
    }

    /// Keeps the copy current, by a watch or by what another VM passes on, until
    /// everything has to be read again.
    async fn stay_current(&mut self, revision: u64) -> WatchEnd {
        if !self.gateway.follows_watcher() {
            let end = self.watch_from(revision).await;
            self.gateway.store.borrow_mut().is_watched = false;
            if let WatchEnd::Failed(_) = end {
                return end;
            }
        }
        log::info!("another VM watches the store for this one");
        self.follow().await
    }

    /// Watches until an answer fails, or another VM watches for this one; a cut
    /// is not yet a failure of the store.
    async fn watch_from(&mut self, mut revision: u64) -> WatchEnd {
        self.gateway.store.borrow_mut().is_watched = true;
        loop {
            match self.watch(revision).await {
                Ok(batch) => {
                    revision = batch.revision.max(revision);
                    if !batch.events.is_empty() {
                        self.take_events(batch.events);
                        tokio::time::sleep(BATCH_PAUSE).await;
                    }
                }
                Err(e) => return WatchEnd::Failed(e),
            }
            if self.gateway.follows_watcher() {
                return WatchEnd::Relieved;
            }
        }
    }

    /// Lives on what another VM passes on.
    async fn follow(&self) -> WatchEnd {
        while self.gateway.follows_watcher() {
            if self.gateway.must_catch_up() {
                return WatchEnd::Behind;
            }
            tokio::time::sleep(FOLLOW_LOOK).await;
        }
        WatchEnd::Unwatched
    }

    fn take_events(&self, events: Vec<StoreEvent>) {
        self.take(|mirror, now, health| mirror.apply(now, events, health));
    }

    /// Changes the copy, passes the changes on and acts on them.
    fn take(
        &self,
        change: impl FnOnce(&mut StoreMirror, Moment, StoreHealth) -> Vec<MirrorChange>,
    ) {
        let now = self.gateway.now();
        let health = self.gateway.store.borrow().health(now);
        let base = self.gateway.mirror.borrow().revision();
        let changes = change(&mut self.gateway.mirror.borrow_mut(), now, health);
        self.gateway.pass_on(base, &changes);
        self.gateway.apply_changes(changes);
    }

    async fn read_all(&mut self) -> Result<u64, CallError> {
        let mut listed = BTreeSet::new();
        let mut revision = None;
        let mut after: Option<String> = None;
        loop {
            let page = self.read_page(after.as_deref()).await?;
            // The pages are no snapshot: watching goes on from the first one.
            let first = *revision.get_or_insert(page.revision);
            after = page.items.last().map(|item| item.key.clone());
            let is_last = !page.has_more || after.is_none();
            // The store may be a region away, and there may be many pages: what is
            // there counts at once, what is missing shows with the last page.
            listed.extend(page.items.iter().map(|item| item.key.clone()));
            self.take_events(page.items.into_iter().map(StoreEvent::Put).collect());
            if is_last {
                self.take(|mirror, now, health| {
                    mirror.remove_unlisted(now, WATCHED_PREFIX, &listed, first, health)
                });
                self.gateway.note_caught_up();
                return Ok(first);
            }
        }
    }

    async fn read_page(&mut self, after: Option<&str>) -> Result<ItemPage, CallError> {
        let host = self.store().to_string();
        let request = range_request(&host, WATCHED_PREFIX, after);
        let (status, body) = self.call(request, Duration::ZERO).await?;
        Ok(read_page(status, &body)?)
    }

    async fn watch(&mut self, revision: u64) -> Result<EventBatch, CallError> {
        let host = self.store().to_string();
        let request = watch_request(&host, WATCHED_PREFIX, revision, WATCH_WAIT);
        let (status, body) = self.call(request, WATCH_WAIT).await?;
        Ok(read_batch(status, &body)?)
    }

    fn store(&self) -> SocketAddr {
        self.gateway.settings().store
    }

    async fn call(
        &mut self,
        request: Request<Bytes>,
        wait: Duration,
    ) -> Result<(StatusCode, Bytes), CallError> {
        let address = self.store();
        self.gateway.metrics.count("onyxfall_store_calls_total");
        let kept = self.connection.take();
        let called = tokio::time::timeout(wait + ANSWER_LIMIT, async {
            let mut connection = match kept.filter(HttpConnection::is_ready) {
                Some(connection) => connection,
                None => HttpConnection::open(address, DIAL_LIMIT).await?,
            };
            let sent = connection.send(request.map(Full::new)).await;
            let response = sent.map_err(|e| match e {
                SendError::Unsent | SendError::Broken(_) => CallError::Broken,
            })?;
            let (head, body) = response.into_parts();
            let body = Limited::new(body, ANSWER_BYTES).collect().await;
            let body = body.map_err(|_| CallError::Broken)?.to_bytes();
            Ok((connection, head.status, body))
        });
        let (connection, status, body) = called.await.unwrap_or(Err(CallError::TimedOut))?;
        self.connection = Some(connection);
        Ok((status, body))
    }

    fn note_success(&mut self) {
        self.pause = FIRST_PAUSE;
        let now = self.gateway.now();
        if self.gateway.store.borrow_mut().gain(now) {
            log::info!("store reached");
        }
    }

    async fn note_failure(&mut self, error: &CallError) {
        if self.gateway.store.borrow_mut().lose() {
            log::warn!(error:% = error; "store lost");
        }
        // Every VM comes back at the same moment; the spread keeps calls apart.
        let spread = rand::rng().random_range(0.5..1.5);
        tokio::time::sleep(self.pause.mul_f64(spread)).await;
        let longest = if self.gateway.has_watch_duty() {
            LAST_PAUSE
        } else {
            LAST_IDLE_PAUSE
        };
        self.pause = (self.pause * 2).min(longest);
    }
}
