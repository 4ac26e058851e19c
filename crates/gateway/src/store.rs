//! Reads and watches the platform's store, with one watch for all keys that matter.
//!
//! A VM that starts reads the first page, which holds the configuration, and gets the rest from
//! another VM. Only the watching VMs and those listed as seeds in the settings read every page.
//! A watch continues from the revision of the last response. If the watch fails, or the store
//! has discarded that revision's history, everything is read again: a store that discards its
//! history may cut watches before it rejects them. While the store is unavailable, the copy
//! stays in force, and peers may have a newer one. A watch that the store has lost is found by
//! checks, see `store_check.rs`.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use onyxfall_adapter::{
    EventBatch, ItemPage, StoreError, WATCHED_PREFIX, range_request, read_batch, read_page,
    watch_request,
};
use onyxfall_fleet::{
    BatchPause, MirrorChange, RETURN_WINDOW, StoreEvent, StoreHealth, StoreMirror,
};
use onyxfall_policy::Moment;
use onyxfall_types::StorePosition;
use rand::Rng;
use thiserror::Error;

use crate::gateway::Gateway;
use crate::store_check::find_missed_changes;
use crate::store_client::{CallError, StoreClient};

/// How long the store may hold a watch request. Each call is charged for, keep-alive probes
/// detect a dead connection, and checks a lost watch.
const WATCH_TIMEOUT: Duration = Duration::from_secs(24);
/// First and largest delay between failed calls; the delay doubles from one to the other.
const MIN_BACKOFF: Duration = Duration::from_millis(60);
const MAX_BACKOFF: Duration = Duration::from_millis(700);
/// Largest delay between failed calls of a VM that need not watch: it gets its copy from a VM
/// that does, and rejected calls are charged for too.
const MAX_IDLE_BACKOFF: Duration = Duration::from_millis(2100);
/// Age from which a VM without a complete copy reads everything itself: getting the copy from
/// another VM takes about 0.4 s if all VMs start at once.
const READ_AFTER: Duration = Duration::from_millis(1200);
/// Age from which a member of an aggregator reads everything itself if it has no complete copy.
/// If hundreds of members read megabytes at once, the store's network link would be saturated
/// for half a minute, and a member can serve with the first page alone.
const MEMBER_READ_AFTER: Duration = Duration::from_secs(5);
/// Upper bound of the jitter added to these ages, doubled for members, since all VMs may have
/// started at once.
const READ_JITTER: Duration = Duration::from_millis(800);
/// Age from which a VM that has no contact with any other VM reads everything itself.
const NO_PEERS_READ_AFTER: Duration = Duration::from_millis(300);
/// Interval at which a VM that does not watch checks whether it has to.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(50);

/// Availability of the store, as this VM observes it.
#[derive(Debug, Default)]
pub(crate) struct StoreLink {
    is_reached: bool,
    is_watched: bool,
    was_lost: bool,
    /// Time at which changes may have been missed, until everything is read again.
    missed_at: Option<Moment>,
    /// When the store last became available again.
    returned_at: Option<Moment>,
}

impl StoreLink {
    /// Whether this VM watches the store itself.
    pub(crate) fn is_watched(&self) -> bool {
        self.is_reached && self.is_watched
    }

    /// Records that changes may have been missed.
    pub(crate) fn record_missed_changes(&mut self, now: Moment) {
        self.missed_at = Some(now);
    }

    fn mark_lost(&mut self) -> bool {
        self.was_lost = true;
        std::mem::replace(&mut self.is_reached, false)
    }

    fn mark_reached(&mut self, now: Moment) -> bool {
        if self.is_reached {
            return false;
        }
        self.is_reached = true;
        if self.was_lost {
            self.returned_at = Some(now);
        }
        true
    }

    /// Records that the store has lost a response, or was unavailable until now.
    pub(crate) fn record_outage(&mut self, now: Moment) {
        self.returned_at = Some(now);
    }

    /// How to treat changes of the store: leases may have expired during an outage.
    pub(crate) fn health(&self, now: Moment) -> StoreHealth {
        let recently_returned = self.returned_at.is_some_and(|at| now - at < RETURN_WINDOW);
        if recently_returned || (!self.is_reached && self.was_lost) {
            StoreHealth::Returned
        } else {
            StoreHealth::Steady
        }
    }
}

/// Why a watch ended.
#[derive(Debug, Error)]
enum WatchEnd {
    #[error("the watch failed: {0}")]
    Failed(CallError),
    #[error("another VM has taken over the watch")]
    TakenOver,
}

/// Starts the task that reads and watches the store.
pub(crate) fn start(gateway: &Rc<Gateway>) {
    let read_jitter = READ_JITTER.mul_f64(rand::rng().random_range(0.0..1.0));
    let mut reader = StoreReader {
        gateway: Rc::clone(gateway),
        client: StoreClient::new(gateway),
        checker: StoreClient::new(gateway),
        backoff: MIN_BACKOFF,
        read_jitter,
    };
    tokio::task::spawn_local(async move { reader.run().await });
}

struct StoreReader {
    gateway: Rc<Gateway>,
    client: StoreClient,
    /// Client for the short calls that check an open watch.
    checker: StoreClient,
    backoff: Duration,
    /// This VM's share of [`READ_JITTER`], added to the age from which it reads everything
    /// itself.
    read_jitter: Duration,
}

impl StoreReader {
    async fn run(&mut self) {
        self.read_at_start().await;
        loop {
            if self.gateway.has_watch_duty() {
                self.watch_for_region().await;
            } else {
                self.follow_peers().await;
            }
        }
    }

    /// Reads the store at startup: the first page, which holds the configuration, or all pages
    /// if this VM is a seed from which others start.
    async fn read_at_start(&mut self) {
        let settings = self.gateway.settings();
        let is_seed = settings.seeds.contains(&settings.peers);
        let read = if is_seed {
            self.read_all("start").await.map(|_| ())
        } else {
            self.read_first_page().await.map(|_| ())
        };
        match read {
            Ok(()) => self.record_success(),
            Err(e) => self.record_failure(&e).await,
        }
    }

    async fn read_first_page(&mut self) -> Result<StorePosition, CallError> {
        let page = self.read_page(None, "start").await?;
        let (position, is_all) = (page.position, !page.has_more);
        let listed = page.items.iter().map(|item| item.key.clone()).collect();
        self.apply_events(page.items.into_iter().map(StoreEvent::Put).collect());
        if is_all {
            self.apply_listing(position, &listed);
        }
        Ok(position)
    }

    /// Watches the store for the region until the store fails or another VM takes over. With a
    /// complete copy, the watch continues from its revision after one page has shown that the
    /// store is reachable and in the same era. After a failed watch, everything is read again.
    async fn watch_for_region(&mut self) {
        let has_missed = self.gateway.store.borrow().missed_at.is_some();
        let is_current =
            self.gateway.copy_is_whole() && !self.gateway.must_catch_up() && !has_missed;
        let current = StorePosition::from_order(self.gateway.mirror.borrow().revision());
        let read = if is_current {
            match self.read_first_page().await {
                Ok(position) if position.era() == current.era() => Ok(current),
                Ok(_) => self.read_all("restored").await,
                Err(e) => Err(e),
            }
        } else {
            self.read_all("duty").await
        };
        let position = match read {
            Ok(position) => position,
            Err(e) => return self.record_failure(&e).await,
        };
        self.record_success();
        let mut end = self.watch_from(position).await;
        while let WatchEnd::Failed(_) = end {
            log::info!(cause:% = end; "watch failed; reading all pages again");
            match self.read_all("cut").await {
                Ok(position) => {
                    self.record_success();
                    end = self.watch_from(position).await;
                }
                Err(e) => return self.record_failure(&e).await,
            }
        }
        log::info!("another VM has taken over watching the store");
    }

    /// Watches until a call fails or another VM takes over. A single failed watch does not
    /// count as an outage of the store.
    async fn watch_from(&mut self, mut position: StorePosition) -> WatchEnd {
        self.set_watched(true);
        let mut pause = BatchPause::default();
        let end = loop {
            let sent_at = self.gateway.now();
            match self.watch(position).await {
                Ok((batch, proved_at)) => {
                    position = batch.position.max(position);
                    let has_events = !batch.events.is_empty();
                    apply_batch(&self.gateway, batch);
                    self.gateway.record_copy_proof(proved_at);
                    if has_events {
                        let waited = self.gateway.now() - sent_at;
                        tokio::time::sleep(pause.after_changes(waited)).await;
                    }
                }
                Err(e) => break WatchEnd::Failed(e),
            }
            if !self.gateway.has_watch_duty() {
                break WatchEnd::TakenOver;
            }
        };
        self.set_watched(false);
        end
    }

    fn set_watched(&self, is_watched: bool) {
        self.gateway.store.borrow_mut().is_watched = is_watched;
        self.gateway.refresh_status();
    }

    /// Relies on changes that other VMs forward until this VM has to watch.
    async fn follow_peers(&mut self) {
        while !self.gateway.has_watch_duty() {
            if self.must_read() {
                match self.read_all("behind").await {
                    Ok(_) => self.record_success(),
                    Err(e) => self.record_failure(&e).await,
                }
            }
            tokio::time::sleep(FOLLOW_INTERVAL).await;
        }
    }

    /// Whether this VM has to read the store itself although it need not watch it.
    fn must_read(&self) -> bool {
        if self.gateway.store.borrow().missed_at.is_some() {
            return true;
        }
        if self.gateway.copy_is_whole() {
            return self.gateway.must_catch_up();
        }
        let age = self.gateway.started.elapsed();
        let is_alone = !self.gateway.has_live_peers();
        let delay = if self.gateway.is_member() {
            MEMBER_READ_AFTER + self.read_jitter * 2
        } else {
            READ_AFTER + self.read_jitter
        };
        let is_overdue = age >= delay && !self.gateway.is_receiving_copy();
        is_overdue || (is_alone && age >= NO_PEERS_READ_AFTER)
    }

    fn apply_events(&self, events: Vec<StoreEvent>) {
        update_mirror(&self.gateway, |mirror, now, health| {
            mirror.apply(now, events, health)
        });
    }

    /// Reads every page. Returns the position from which to watch.
    async fn read_all(&mut self, cause: &'static str) -> Result<StorePosition, CallError> {
        let begun_at = self.gateway.now();
        let mut listed = BTreeSet::new();
        let mut position = None;
        let mut after: Option<String> = None;
        loop {
            let page = self.read_page(after.as_deref(), cause).await?;
            // The pages are not one snapshot, so the watch starts from the first one.
            let first = *position.get_or_insert(page.position);
            if page.position.era() != first.era() {
                return Err(CallError::Store(StoreError::Restored));
            }
            let last = page.items.last().map(|item| item.key.clone());
            let is_last = !page.has_more;
            if !is_last && last <= after {
                return Err(CallError::NoProgress);
            }
            after = last;
            // The store may be in another region and have many pages. Items that are listed are
            // applied at once; items that are missing are known only after the last page.
            listed.extend(page.items.iter().map(|item| item.key.clone()));
            self.apply_events(page.items.into_iter().map(StoreEvent::Put).collect());
            if is_last {
                self.apply_listing(first, &listed);
                self.gateway.record_copy_proof(begun_at);
                return Ok(first);
            }
        }
    }

    /// Removes all items that are not listed, since the store no longer has them.
    fn apply_listing(&self, position: StorePosition, listed: &BTreeSet<String>) {
        update_mirror(&self.gateway, |mirror, now, health| {
            mirror.remove_unlisted(now, WATCHED_PREFIX, listed, position.order(), health)
        });
        self.gateway.store.borrow_mut().missed_at = None;
        self.gateway.record_caught_up();
    }

    async fn read_page(
        &mut self,
        after: Option<&str>,
        cause: &'static str,
    ) -> Result<ItemPage, CallError> {
        let request = range_request(&self.client.host(), WATCHED_PREFIX, after);
        // While VMs start, pages saturate the store's link, and repeated reads add to that.
        let reply = if self.gateway.copy_is_whole() {
            self.client.call_repeatedly(request, cause).await?
        } else {
            self.client.call(request, Duration::ZERO, cause).await?
        };
        let page = read_page(reply.status, &reply.headers, &reply.body)?;
        note_answer(&self.gateway, page.position);
        Ok(page)
    }

    /// Waits for changes after a position. Returns them, and when they were all changes.
    async fn watch(&mut self, after: StorePosition) -> Result<(EventBatch, Moment), CallError> {
        let host = self.client.host();
        let request = watch_request(&host, WATCHED_PREFIX, after, WATCH_TIMEOUT);
        let gateway = Rc::clone(&self.gateway);
        let (batch, proved_at) = tokio::select! {
            reply = self.client.call(request, WATCH_TIMEOUT, "watch") => {
                let reply = reply?;
                let batch = read_batch(after, reply.status, &reply.headers, &reply.body)?;
                (batch, gateway.now())
            }
            missed = find_missed_changes(&gateway, &mut self.checker, after) => missed?,
            () = gateway.woken.notified() => return Err(CallError::Suspended),
        };
        note_answer(&gateway, batch.position);
        Ok((batch, proved_at))
    }

    fn record_success(&mut self) {
        self.backoff = MIN_BACKOFF;
        let now = self.gateway.now();
        if self.gateway.store.borrow_mut().mark_reached(now) {
            log::info!("store is reachable");
        }
    }

    async fn record_failure(&mut self, error: &CallError) {
        if self.gateway.store.borrow_mut().mark_lost() {
            log::warn!(error:% = error; "store is unreachable");
        }
        // All VMs reconnect at the same moment after an outage; jitter spreads their calls.
        let jitter = rand::rng().random_range(0.5..1.5);
        tokio::time::sleep(self.backoff.mul_f64(jitter)).await;
        let longest = if self.gateway.has_watch_duty() {
            MAX_BACKOFF
        } else {
            MAX_IDLE_BACKOFF
        };
        self.backoff = (self.backoff * 2).min(longest);
    }
}

/// Records an answer of the store before it is applied.
pub(crate) fn note_answer(gateway: &Gateway, position: StorePosition) {
    check_restored(gateway, position);
    let mut store = gateway.store.borrow_mut();
    // After a suspension of this VM the copy is old although the store was available.
    if store.missed_at.is_none() && gateway.copy_spans_outage() {
        store.record_outage(gateway.now());
    }
}

/// Logs if the store was restored from a backup since this VM's copy was made.
fn check_restored(gateway: &Gateway, position: StorePosition) {
    let current = StorePosition::from_order(gateway.mirror.borrow().revision());
    if current != StorePosition::default() && position.era() > current.era() {
        gateway.metrics.count("onyxfall_store_restores_total");
        log::warn!(position:% = position, held:% = current; "store was restored");
    }
}

/// Applies the changes of a watch or of its check.
pub(crate) fn apply_batch(gateway: &Gateway, batch: EventBatch) {
    update_mirror(gateway, |mirror, now, health| {
        let changes = mirror.apply(now, batch.events, health);
        mirror.confirm(now, batch.position.order());
        changes
    });
}

/// Changes the copy, forwards the changes and applies them.
fn update_mirror(
    gateway: &Gateway,
    change: impl FnOnce(&mut StoreMirror, Moment, StoreHealth) -> Vec<MirrorChange>,
) {
    let now = gateway.now();
    let health = gateway.store.borrow().health(now);
    let base = gateway.mirror.borrow().revision();
    let changes = change(&mut gateway.mirror.borrow_mut(), now, health);
    gateway.pass_on(base, &changes);
    gateway.apply_changes(changes);
}
