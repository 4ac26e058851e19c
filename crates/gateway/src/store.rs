//! The link to the platform's store: one watch over everything that matters.
//!
//! A VM that starts reads the first page, which holds the configuration, and gets the
//! rest from another VM; only those that watch, and the VMs of the settings' addresses,
//! read everything. A watch goes on from the revision of the last answer. When it is
//! cut, or the history is gone, everything is read again: a store that drops its
//! history may cut watches before it refuses them. While the store does not answer, the
//! copy stays in force and peers may have a newer one.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use onyxfall_adapter::{
    EventBatch, ItemPage, StoreError, WATCHED_PREFIX, range_request, read_batch, read_page,
    watch_request,
};
use onyxfall_fleet::{
    BEHIND_LIMIT, MirrorChange, RETURN_WINDOW, StoreEvent, StoreHealth, StoreMirror,
};
use onyxfall_policy::Moment;
use onyxfall_types::StorePosition;
use rand::Rng;
use thiserror::Error;

use crate::gateway::Gateway;
use crate::store_client::{CallError, StoreClient};

/// How long the store may hold a watch. Each call is priced; a dead connection
/// is found by probes, so this is the bound for a store that hangs.
const WATCH_WAIT: Duration = Duration::from_secs(8);
/// Pauses between calls that fail: from this, doubled, up to the next.
const FIRST_PAUSE: Duration = Duration::from_millis(60);
const LAST_PAUSE: Duration = Duration::from_millis(700);
/// The same for a VM that need not watch: it takes the copy of one that does, and
/// refused calls are priced too.
const LAST_IDLE_PAUSE: Duration = Duration::from_millis(2100);
/// Age from which a VM without a whole copy reads everything itself: another VM's copy
/// takes some 0.4 s where all start at once.
const READ_ALONE_AFTER: Duration = Duration::from_millis(1200);
/// The same for a VM that others aggregate for: hundreds of them would read megabytes at
/// once, the store's link would be taken for half a minute, and with its first page each
/// can serve.
const READ_BESIDE_AFTER: Duration = Duration::from_secs(5);
/// Spread of that age: all VMs may have started at once.
const READ_ALONE_SPREAD: Duration = Duration::from_millis(800);
/// The same where no other VM was heard yet.
const ALONE_AFTER: Duration = Duration::from_millis(300);
/// Pause after an answer of a watch, so that changes that come close together
/// cost one call; far below the bounds on what must be in force.
const BATCH_PAUSE: Duration = Duration::from_millis(150);
/// Look whether another VM watches.
const FOLLOW_LOOK: Duration = Duration::from_millis(50);

/// What is known of the store's availability.
#[derive(Debug, Default)]
pub(crate) struct StoreLink {
    is_reached: bool,
    is_watched: bool,
    was_lost: bool,
    /// When changes may have been missed, until everything is read.
    missed_at: Option<Moment>,
    returned_at: Option<Moment>,
}

impl StoreLink {
    /// Whether this VM itself watches.
    pub(crate) fn is_watched(&self) -> bool {
        self.is_reached && self.is_watched
    }

    /// Notes that changes may have been missed.
    pub(crate) fn note_missed(&mut self, now: Moment) {
        self.missed_at = Some(now);
    }

    fn lose(&mut self) -> bool {
        self.was_lost = true;
        std::mem::replace(&mut self.is_reached, false)
    }

    fn gain(&mut self, now: Moment) -> bool {
        if self.is_reached {
            return false;
        }
        self.is_reached = true;
        if self.was_lost {
            self.returned_at = Some(now);
        }
        true
    }

    /// How news is to be taken: leases may have run out during an outage.
    pub(crate) fn health(&self, now: Moment) -> StoreHealth {
        let lately = self.returned_at.is_some_and(|at| now - at < RETURN_WINDOW);
        if lately || (!self.is_reached && self.was_lost) {
            StoreHealth::Returned
        } else {
            StoreHealth::Steady
        }
    }
}

/// Why a watch ended.
#[derive(Debug, Error)]
enum WatchEnd {
    #[error("the watch ended: {0}")]
    Failed(CallError),
    #[error("another VM watches")]
    Relieved,
}

/// Starts the task that reads and watches.
pub(crate) fn start(gateway: &Rc<Gateway>) {
    let spread = READ_ALONE_SPREAD.mul_f64(rand::rng().random_range(0.0..1.0));
    let mut watch = StoreWatch {
        gateway: Rc::clone(gateway),
        client: StoreClient::new(gateway),
        pause: FIRST_PAUSE,
        spread,
    };
    tokio::task::spawn_local(async move { watch.run().await });
}

/// Waits until others have known for a while what a watch that is under way has not
/// brought: one that works answers at once. A VM that is behind by a moment again and
/// again, as where changes never end, is not deaf, since its watch answers meanwhile.
async fn wait_until_deaf(gateway: &Gateway) {
    let mut waited = Duration::ZERO;
    while waited < BEHIND_LIMIT {
        tokio::time::sleep(FOLLOW_LOOK).await;
        waited = if gateway.knows_later_revision() {
            waited + FOLLOW_LOOK
        } else {
            Duration::ZERO
        };
    }
}

struct StoreWatch {
    gateway: Rc<Gateway>,
    client: StoreClient,
    pause: Duration,
    /// This VM's part of the spread of the age from which it reads everything itself if it
    /// has no whole copy.
    spread: Duration,
}

impl StoreWatch {
    async fn run(&mut self) {
        self.read_first().await;
        loop {
            if self.gateway.has_watch_duty() {
                self.hold_duty().await;
            } else {
                self.follow().await;
            }
        }
    }

    /// Reads the first page at the start, with the configuration; all pages if other
    /// VMs begin with this one.
    async fn read_first(&mut self) {
        let settings = self.gateway.settings();
        let is_seed = settings.seeds.contains(&settings.peers);
        let read = if is_seed {
            self.read_all("start").await.map(|_| ())
        } else {
            self.read_start().await.map(|_| ())
        };
        match read {
            Ok(()) => self.note_success(),
            Err(e) => self.note_failure(&e).await,
        }
    }

    async fn read_start(&mut self) -> Result<StorePosition, CallError> {
        let page = self.read_page(None, "start").await?;
        let (position, is_all) = (page.position, !page.has_more);
        let listed = page.items.iter().map(|item| item.key.clone()).collect();
        self.take_events(page.items.into_iter().map(StoreEvent::Put).collect());
        if is_all {
            self.note_listed(position, &listed);
        }
        Ok(position)
    }

    /// Watches the store for the region until that fails or another VM does. A VM
    /// whose copy is whole goes on from it once a page has shown that the store
    /// answers in the same era; after a failed watch everything is read.
    async fn hold_duty(&mut self) {
        let has_missed = self.gateway.store.borrow().missed_at.is_some();
        let is_current =
            self.gateway.copy_is_whole() && !self.gateway.must_catch_up() && !has_missed;
        let held = StorePosition::from_order(self.gateway.mirror.borrow().revision());
        let read = if is_current {
            match self.read_start().await {
                Ok(position) if position.era() == held.era() => Ok(held),
                Ok(_) => self.read_all("restored").await,
                Err(e) => Err(e),
            }
        } else {
            self.read_all("duty").await
        };
        let position = match read {
            Ok(position) => position,
            Err(e) => return self.note_failure(&e).await,
        };
        self.note_success();
        let mut end = self.watch_from(position).await;
        while let WatchEnd::Failed(_) = end {
            log::info!(cause:% = end; "reading everything");
            match self.read_all("cut").await {
                Ok(position) => {
                    self.note_success();
                    end = self.watch_from(position).await;
                }
                Err(e) => return self.note_failure(&e).await,
            }
        }
        log::info!("another VM watches the store for this one");
    }

    /// Watches until an answer fails, or another VM watches for this one; a cut
    /// is not yet a failure of the store.
    async fn watch_from(&mut self, mut position: StorePosition) -> WatchEnd {
        self.set_watched(true);
        let end = loop {
            match self.watch(position).await {
                Ok(batch) => {
                    position = batch.position.max(position);
                    if !batch.events.is_empty() {
                        self.take_events(batch.events);
                        tokio::time::sleep(BATCH_PAUSE).await;
                    }
                }
                Err(e) => break WatchEnd::Failed(e),
            }
            if !self.gateway.has_watch_duty() {
                break WatchEnd::Relieved;
            }
        };
        self.set_watched(false);
        end
    }

    fn set_watched(&self, is_watched: bool) {
        self.gateway.store.borrow_mut().is_watched = is_watched;
        self.gateway.refresh_status();
    }

    /// Lives on what other VMs pass on until this VM has to watch.
    async fn follow(&mut self) {
        while !self.gateway.has_watch_duty() {
            if self.must_read() {
                match self.read_all("behind").await {
                    Ok(_) => self.note_success(),
                    Err(e) => self.note_failure(&e).await,
                }
            }
            tokio::time::sleep(FOLLOW_LOOK).await;
        }
    }

    /// Whether this VM, which need not watch, has to read the store itself.
    fn must_read(&self) -> bool {
        if self.gateway.store.borrow().missed_at.is_some() {
            return true;
        }
        if self.gateway.copy_is_whole() {
            return self.gateway.must_catch_up();
        }
        let age = self.gateway.started.elapsed();
        let is_alone = !self.gateway.has_live_peers();
        let patience = if self.gateway.is_member() {
            READ_BESIDE_AFTER + self.spread * 2
        } else {
            READ_ALONE_AFTER + self.spread
        };
        let is_late = age >= patience && !self.gateway.awaits_copy();
        is_late || (is_alone && age >= ALONE_AFTER)
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

    /// Reads every page; the position from which a watch goes on.
    async fn read_all(&mut self, cause: &'static str) -> Result<StorePosition, CallError> {
        let mut listed = BTreeSet::new();
        let mut position = None;
        let mut after: Option<String> = None;
        loop {
            let page = self.read_page(after.as_deref(), cause).await?;
            // The pages are no snapshot: watching goes on from the first one.
            let first = *position.get_or_insert(page.position);
            if page.position.era() != first.era() {
                return Err(CallError::Store(StoreError::Restored));
            }
            after = page.items.last().map(|item| item.key.clone());
            let is_last = !page.has_more || after.is_none();
            // The store may be a region away, and there may be many pages: what is
            // there counts at once, what is missing shows with the last page.
            listed.extend(page.items.iter().map(|item| item.key.clone()));
            self.take_events(page.items.into_iter().map(StoreEvent::Put).collect());
            if is_last {
                self.note_listed(first, &listed);
                return Ok(first);
            }
        }
    }

    /// Takes note that the store holds nothing but the items listed.
    fn note_listed(&self, position: StorePosition, listed: &BTreeSet<String>) {
        self.take(|mirror, now, health| {
            mirror.remove_unlisted(now, WATCHED_PREFIX, listed, position.order(), health)
        });
        self.gateway.store.borrow_mut().missed_at = None;
        self.gateway.note_caught_up();
    }

    async fn read_page(
        &mut self,
        after: Option<&str>,
        cause: &'static str,
    ) -> Result<ItemPage, CallError> {
        let request = range_request(&self.client.host(), WATCHED_PREFIX, after);
        let reply = self.client.call(request, Duration::ZERO, cause).await?;
        let page = read_page(reply.status, &reply.headers, &reply.body)?;
        self.note_position(page.position);
        Ok(page)
    }

    async fn watch(&mut self, after: StorePosition) -> Result<EventBatch, CallError> {
        let host = self.client.host();
        let request = watch_request(&host, WATCHED_PREFIX, after, WATCH_WAIT);
        // A watch may have gone silent, alone or with its connection. Until its own end it
        // would leave this VM, and those that it watches for, behind for eight seconds.
        let gateway = Rc::clone(&self.gateway);
        let reply = tokio::select! {
            answer = self.client.call(request, WATCH_WAIT, "watch") => answer?,
            () = wait_until_deaf(&gateway) => return Err(CallError::Deaf),
            () = gateway.woken.notified() => return Err(CallError::Suspended),
        };
        let batch = read_batch(after, reply.status, &reply.headers, &reply.body)?;
        self.note_position(batch.position);
        Ok(batch)
    }

    /// Logs that the store was restored since this VM's copy was made.
    fn note_position(&self, position: StorePosition) {
        let held = StorePosition::from_order(self.gateway.mirror.borrow().revision());
        if held != StorePosition::default() && position.era() > held.era() {
            self.gateway.metrics.count("onyxfall_store_restores_total");
            log::warn!(position:% = position, held:% = held; "store was restored");
        }
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
