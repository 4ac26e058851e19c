//! Which VMs of a region watch the store, and how its changes reach the other VMs.
//!
//! Each call to the store is charged for, and all VMs share its rate limit. So only
//! [`STORE_WATCHERS`] VMs of a region watch it, aggregators of different data centres if there
//! are any. They forward changes to the other VMs, and aggregators forward them to their
//! members. A VM gets its copy from another VM. It reads the store itself only if it watches
//! it, or if its copy stays behind the revisions that other VMs report.
//!
//! Invariant: a change that a watcher forwards reaches every VM of the region, or the base
//! revision of the next change shows that one is missing.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use onyxfall_fleet::{
    AgeChange, CopyAge, CopyCheck, CopyState, MirrorChange, MirrorDelta, StoreItem,
};
use onyxfall_overlay::{Roster, VmRecord};
use onyxfall_policy::Moment;
use onyxfall_types::VmName;
use onyxfall_wire::{PackError, SnapshotItem, StoreDelta, pack_items, unpack_items};

use crate::gateway::Gateway;

/// Number of VMs of a region that watch the store, so that one of them may fail or lose its
/// connection to the store.
const STORE_WATCHERS: usize = 2;
/// Name of this duty when VMs of a region are ranked for it.
const WATCH_DUTY: &str = "watch store";
/// Name of the duty to ask the store whether the copies are current.
const CHECK_DUTY: &str = "check store";
/// How long a region may have no watcher before the next VM in the order tries to watch the
/// store, and again until the VM after that tries: the store may reject some VMs. In an outage
/// of nine seconds 24 VMs of a region call the store instead of all.
const NEXT_WATCHER_AFTER: Duration = Duration::from_millis(400);
/// Largest value that is forwarded uncompressed, and the size limit for larger values once
/// packed. If hundreds of VMs read such values from the store instead, its network link is
/// saturated for seconds.
const MAX_PLAIN_VALUE_BYTES: usize = 32 * 1024;
const MAX_PACKED_BYTES: usize = 128 * 1024;
/// Number of changes kept for links that have not sent them yet. If a link misses one, the
/// receiver sees a gap in the revisions and requests the missing entries.
const MAX_DELTAS: usize = 64;

/// Receivers of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DeltaAudience {
    /// Every VM in the region that this VM has a link to.
    Everyone,
    /// The members of this VM: other VMs get the change from another sender.
    Members,
}

/// State of another VM's copy of the store, as that VM reports it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct PeerCopy {
    /// Revision and hash of the copy.
    pub(crate) state: CopyState,
    /// Whether the copy is complete.
    pub(crate) is_whole: bool,
    /// When the copy was last proved to be current.
    pub(crate) proved_at: Option<Moment>,
}

/// Changes to forward, and how this VM's copy compares with those of other VMs.
#[derive(Debug, Default)]
pub(crate) struct StoreShare {
    deltas: VecDeque<(DeltaAudience, StoreDelta)>,
    /// Number of the oldest delta that is kept.
    first: u64,
    check: CopyCheck,
    /// Whether this VM's copy is complete.
    is_whole: bool,
    age: CopyAge,
    /// Since when no VM of the region has reported that it watches the store.
    unwatched_since: Option<Moment>,
    /// The VM whose update arrived last, and the state of its copy.
    last_peer_copy: Option<(VmName, PeerCopy)>,
}

impl StoreShare {
    /// Number of the next delta.
    pub(crate) fn next_number(&self) -> u64 {
        self.first + self.deltas.len() as u64
    }

    /// The deltas for an audience that are still kept, starting at number `from`.
    pub(crate) fn deltas_from(&self, from: u64, audience: DeltaAudience) -> Vec<StoreDelta> {
        let skipped = usize::try_from(from.saturating_sub(self.first)).unwrap_or(usize::MAX);
        let is_included = |target: DeltaAudience| match audience {
            DeltaAudience::Everyone => target == DeltaAudience::Everyone,
            DeltaAudience::Members => true,
        };
        let kept = self.deltas.iter().skip(skipped);
        kept.filter(|(target, _)| is_included(*target))
            .map(|(_, delta)| delta.clone())
            .collect()
    }

    fn push(&mut self, audience: DeltaAudience, delta: StoreDelta) {
        self.deltas.push_back((audience, delta));
        if self.deltas.len() > MAX_DELTAS {
            self.deltas.pop_front();
            self.first += 1;
        }
    }
}

impl Gateway {
    /// Whether this VM has to watch the store for its region.
    pub(crate) fn has_watch_duty(&self) -> bool {
        let now = self.now();
        let order = self.watch_order();
        let overlay = self.overlay.borrow();
        let roster = overlay.roster();
        let Some(rank) = order.iter().position(|name| *name == roster.own().name) else {
            return false;
        };
        let is_watcher = |name: &VmName| {
            roster
                .get(name)
                .is_some_and(|vm| vm.record.status.watches_store)
        };
        let share = &mut *self.share.borrow_mut();
        if order.iter().any(is_watcher) {
            share.unwatched_since = None;
        } else {
            share.unwatched_since.get_or_insert(now);
        }
        if rank < STORE_WATCHERS {
            return true;
        }
        if order[..rank].iter().any(is_watcher) {
            return false;
        }
        let step = u32::try_from(rank - STORE_WATCHERS + 1).unwrap_or(u32::MAX);
        let delay = NEXT_WATCHER_AFTER.saturating_mul(step);
        self.store.borrow().is_watched()
            || share
                .unwatched_since
                .is_some_and(|since| now - since >= delay)
    }

    /// The VMs of this region, ordered by who watches the store first. The order is cached
    /// until a VM changes: it is read twenty times a second, and computing it ranks all VMs of
    /// the fleet.
    pub(crate) fn watch_order(&self) -> Rc<[VmName]> {
        let overlay = self.overlay.borrow();
        let changes = overlay.roster().changes();
        let kept = &mut *self.watch_order.borrow_mut();
        if let Some((version, order)) = kept
            && *version == changes
        {
            return Rc::clone(order);
        }
        let order = watch_order(overlay.roster());
        let order: Rc<[VmName]> = order.into_iter().cloned().collect();
        *kept = Some((changes, Rc::clone(&order)));
        order
    }

    /// Whether this VM's copy of the store is complete.
    pub(crate) fn copy_is_whole(&self) -> bool {
        self.share.borrow().is_whole
    }

    /// Whether other VMs may take over this VM's copy of the store.
    pub(crate) fn shares_copy(&self) -> bool {
        let share = self.share.borrow();
        share.is_whole && !share.check.has_gap()
    }

    /// Whether this VM's copy lacks changes and has to be read from the store.
    pub(crate) fn must_catch_up(&self) -> bool {
        self.share.borrow().check.is_due(self.now())
    }

    /// Whether another VM has reported a later revision of the store.
    pub(crate) fn is_behind_peers(&self) -> bool {
        let own = self.mirror.borrow().revision();
        self.share.borrow().check.is_outdated(own)
    }

    /// Number of VMs that ask the store before this one whether the copies are current. All
    /// VMs that watch the store are in the order.
    pub(crate) fn check_rank(&self) -> usize {
        let overlay = self.overlay.borrow();
        let roster = overlay.roster();
        let watchers = roster.others().filter(|vm| vm.is_staying());
        let mut watchers: Vec<&VmRecord> = watchers
            .map(|vm| &vm.record)
            .filter(|vm| vm.status.watches_store)
            .collect();
        watchers.push(roster.own());
        let order = roster.duty_order(CHECK_DUTY, &watchers);
        let rank = order.iter().position(|name| *name == self.vm());
        rank.unwrap_or(order.len())
    }

    /// Time since this VM's copy was last proved to be current; `None` before the first proof.
    pub(crate) fn copy_age(&self) -> Option<Duration> {
        self.share.borrow().age.at(self.now())
    }

    /// Whether the copy is so old that the store may have been unavailable.
    pub(crate) fn copy_spans_outage(&self) -> bool {
        self.share.borrow().age.spans_outage(self.now())
    }

    /// The age of the copy as a metric.
    pub(crate) fn copy_gauges(&self) -> String {
        let gauge =
            |age: Duration| format!("onyxfall_store_copy_age_seconds {:.3}\n", age.as_secs_f64());
        self.copy_age().map_or_else(String::new, gauge)
    }

    /// Logs when the copy becomes old and when it is proved again.
    pub(crate) fn log_copy_age(&self) {
        let change = self.share.borrow_mut().age.take_change(self.now());
        let revision = self.mirror.borrow().revision();
        match change {
            Some(AgeChange::Old) => {
                log::warn!(revision; "nothing proves that the copy of the store is current");
            }
            Some(AgeChange::Current) => log::info!(revision; "the copy of the store is current"),
            None => {}
        }
    }

    /// Records that this VM's copy held everything that the store did at a moment.
    pub(crate) fn record_copy_proof(&self, at: Moment) {
        self.share.borrow_mut().age.record_proof(at);
    }

    /// Records that this VM's copy is complete.
    pub(crate) fn record_caught_up(&self) {
        let mut share = self.share.borrow_mut();
        share.check.record_full_read(self.now());
        share.is_whole = true;
    }

    /// Queues changes for the links to the other VMs of the region if this VM watches the
    /// store. `base` is the revision of the copy before the changes.
    pub(crate) fn pass_on(&self, base: u64, changes: &[MirrorChange]) {
        let mirror = self.mirror.borrow();
        let has_changes = !changes.is_empty() || mirror.revision() != base;
        if has_changes && self.store.borrow().is_watched() {
            let delta = mirror.delta(base, changes, MAX_PLAIN_VALUE_BYTES);
            let large = mirror.large_items(changes, MAX_PLAIN_VALUE_BYTES);
            let delta = to_wire(delta, large);
            self.push_delta(DeltaAudience::Everyone, delta);
        }
    }

    fn push_delta(&self, audience: DeltaAudience, delta: StoreDelta) {
        self.share.borrow_mut().push(audience, delta);
        self.send_deltas_now.notify_waiters();
        if audience == DeltaAudience::Everyone {
            self.send_updates_now.notify_waiters();
        }
    }

    /// Applies changes that another VM forwards. They are ignored if this VM watches the store
    /// itself or its copy is of a later era.
    pub(crate) fn apply_delta(&self, from: &VmName, delta: StoreDelta) {
        if self.store.borrow().is_watched() || self.mirror.borrow().is_past_era(delta.revision) {
            return;
        }
        let (revision, base) = (delta.revision, delta.base);
        let large = match unpack_large(&delta) {
            Ok(large) => large,
            Err(e) => {
                // Handled like items that the sender left out: they are read from the store.
                log::warn!(from = from.as_str(), error:% = e; "cannot unpack store change");
                self.metrics.count("onyxfall_items_not_understood_total");
                Vec::new()
            }
        };
        let is_whole = !delta.is_partial || !large.is_empty();
        let before = self.mirror.borrow().revision();
        let changes = {
            let mut mirror = self.mirror.borrow_mut();
            mirror.merge(self.now(), from_wire(delta.clone(), large))
        };
        self.share
            .borrow_mut()
            .check
            .record_change(before, base, is_whole);
        if revision <= before && changes.is_empty() {
            return;
        }
        log::info!(
            from = from.as_str(),
            revision,
            base,
            before,
            changes = changes.len();
            "applied store changes from another VM"
        );
        self.push_delta(self.audience_after(from), delta);
        self.apply_changes(changes);
    }

    /// Receivers that still need a change received from `from`. A VM that is not a member of
    /// this one sends its changes to the other aggregators itself.
    fn audience_after(&self, from: &VmName) -> DeltaAudience {
        let overlay = self.overlay.borrow();
        let is_member = overlay.totals().members().any(|member| member == from);
        if is_member {
            DeltaAudience::Everyone
        } else {
            DeltaAudience::Members
        }
    }

    /// Compares this VM's copy with the state that another VM reports for its own.
    pub(crate) fn record_peer_copy(&self, from: &VmName, copy: PeerCopy) {
        let now = self.now();
        let own = self.mirror.borrow().state();
        let is_watcher = {
            let overlay = self.overlay.borrow();
            let vm = overlay.roster().get(from);
            vm.is_some_and(|vm| {
                overlay.roster().is_near(&vm.record) && vm.record.status.watches_store
            })
        };
        let share = &mut *self.share.borrow_mut();
        share.check.record_peer_state(now, own, copy.state);
        if is_watcher {
            share.check.compare_with_watcher(now, own, copy.state);
        }
        if let Some(at) = copy.proved_at
            && share.is_whole
            && !share.check.has_gap()
        {
            share.age.record_peer_proof(own, copy.state, at);
        }
        share.last_peer_copy = Some((from.clone(), copy));
    }

    /// Whether to request a copy of the store from `vm`, whose update arrived last.
    pub(crate) fn should_request_copy(&self, vm: &VmName) -> bool {
        if self.store.borrow().is_watched() || self.is_receiving_copy() {
            return false;
        }
        let now = self.now();
        let own = self.mirror.borrow().state();
        let share = &mut *self.share.borrow_mut();
        let own = share.is_whole.then_some(own);
        match &share.last_peer_copy {
            Some((peer, copy)) if peer == vm && copy.is_whole => {
                share.check.asks(now, own, copy.state)
            }
            _ => false,
        }
    }
}

/// The VMs of this region, ordered by who watches the store first: aggregators before the
/// others.
fn watch_order(roster: &Roster) -> Vec<&VmName> {
    let own = roster.own();
    let levels = roster.levels();
    let aggregators = levels.region(&own.region);
    let is_aggregator = |vm: &VmRecord| {
        aggregators
            .iter()
            .any(|aggregator| aggregator.name == vm.name)
    };
    let others: Vec<&VmRecord> = roster
        .others()
        .filter(|vm| vm.is_staying() && roster.is_near(&vm.record))
        .map(|vm| &vm.record)
        .chain((!own.status.is_leaving).then_some(own))
        .filter(|vm| !is_aggregator(vm))
        .collect();
    let mut order = roster.duty_order(WATCH_DUTY, aggregators);
    order.extend(roster.duty_order(WATCH_DUTY, &others));
    order
}

/// Converts an item of the store to its wire form.
pub(crate) fn wire_item(item: StoreItem) -> SnapshotItem {
    SnapshotItem {
        key: item.key,
        value: item.value,
        revision: item.revision,
    }
}

/// Converts an item received from another VM. The value is copied: a slice of the received
/// frame would keep the whole frame in memory as long as the item exists.
pub(crate) fn store_item(item: SnapshotItem) -> StoreItem {
    StoreItem {
        key: item.key,
        value: Bytes::copy_from_slice(&item.value),
        revision: item.revision,
    }
}

/// Converts changes to their wire form. Large items are packed, or left out if they are too
/// large even then.
fn to_wire(delta: MirrorDelta, large: Vec<StoreItem>) -> StoreDelta {
    let packed = if large.is_empty() {
        Bytes::new()
    } else {
        pack_large(large.into_iter().map(wire_item).collect())
    };
    StoreDelta {
        revision: delta.revision,
        items: delta.items.into_iter().map(wire_item).collect(),
        removed: delta.removed,
        base: delta.base,
        is_partial: delta.is_partial,
        packed,
    }
}

fn pack_large(items: Vec<SnapshotItem>) -> Bytes {
    match pack_items(items) {
        Ok(packed) if packed.len() <= MAX_PACKED_BYTES => packed,
        Ok(packed) => {
            log::info!(bytes = packed.len(); "changed items too large to forward");
            Bytes::new()
        }
        Err(e) => {
            log::warn!(error:% = e; "cannot pack changed items");
            Bytes::new()
        }
    }
}

/// Unpacks the packed items of a change.
fn unpack_large(delta: &StoreDelta) -> Result<Vec<SnapshotItem>, PackError> {
    if delta.packed.is_empty() {
        return Ok(Vec::new());
    }
    unpack_items(&delta.packed)
}

fn from_wire(delta: StoreDelta, large: Vec<SnapshotItem>) -> MirrorDelta {
    let is_partial = delta.is_partial && large.is_empty();
    let items = delta.items.into_iter().chain(large);
    MirrorDelta {
        base: delta.base,
        revision: delta.revision,
        items: items.map(store_item).collect(),
        removed: delta.removed,
        is_partial,
    }
}
