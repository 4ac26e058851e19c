//! Who watches the store for a region, and how the others learn of its changes.
//!
//! Each call of the store is priced, and its rate is shared by all VMs. So only
//! [`STORE_WATCHERS`] VMs of a region watch, aggregators of different data centres
//! where there are any; they pass changes on, aggregators to their members. A VM takes
//! its copy from another one, and reads the store itself only if it watches, or if its
//! copy stays behind what others tell.
//!
//! Invariant: a change that a watcher passes on reaches every VM of the region, or the
//! gap that it leaves shows in the revision of the next one.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use onyxfall_fleet::{CopyCheck, CopyState, MirrorChange, MirrorDelta, StoreItem};
use onyxfall_overlay::{Roster, VmRecord};
use onyxfall_policy::Moment;
use onyxfall_types::VmName;
use onyxfall_wire::{PackError, SnapshotItem, StoreDelta, pack_items, unpack_items};

use crate::gateway::Gateway;

/// VMs of a region that watch the store: one may die or be cut off from it.
const STORE_WATCHERS: usize = 2;
/// Name of the duty among the VMs of a region.
const WATCH_DUTY: &str = "watch store";
/// How long nobody of the region may watch before the next VM in the order of the duty
/// tries, and again until the one after it does: the store may turn some VMs away. An
/// outage of nine seconds is met by 24 VMs of a region instead of all.
const NEXT_WATCHER_AFTER: Duration = Duration::from_millis(400);
/// Largest value that is passed on as it is, and most bytes of larger ones when they are
/// packed. Where hundreds of VMs read the store instead, its link is taken for seconds.
const PASSED_VALUE: usize = 32 * 1024;
const PASSED_PACKED: usize = 128 * 1024;
/// Changes kept for links that have not sent them yet; what a link misses shows
/// at the other end as a gap, and is then asked for.
const KEPT_DELTAS: usize = 64;

/// Who is told of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DeltaAudience {
    /// Every VM to which there is a link in the region.
    Everyone,
    /// VMs that report to this one: the others have it from elsewhere.
    Members,
}

/// Another VM's copy of the store, as it tells.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct PeerCopy {
    /// Its state.
    pub(crate) state: CopyState,
    /// Whether it holds everything.
    pub(crate) is_whole: bool,
}

/// Changes to pass on, and how this VM's copy compares with what others tell.
#[derive(Debug, Default)]
pub(crate) struct StoreShare {
    deltas: VecDeque<(DeltaAudience, StoreDelta)>,
    /// Number of the first delta that is kept.
    first: u64,
    check: CopyCheck,
    /// Whether this VM's copy holds everything.
    is_whole: bool,
    /// Since when no VM of the region says that it watches.
    unwatched_since: Option<Moment>,
    /// What the VM that was heard last told of its copy.
    last_heard: Option<(VmName, PeerCopy)>,
}

impl StoreShare {
    /// Number that the next delta will get.
    pub(crate) fn next_number(&self) -> u64 {
        self.first + self.deltas.len() as u64
    }

    /// The deltas for an audience from number `from` on that are still kept.
    pub(crate) fn deltas_from(&self, from: u64, audience: DeltaAudience) -> Vec<StoreDelta> {
        let skipped = usize::try_from(from.saturating_sub(self.first)).unwrap_or(usize::MAX);
        let is_meant = |meant: DeltaAudience| match audience {
            DeltaAudience::Everyone => meant == DeltaAudience::Everyone,
            DeltaAudience::Members => true,
        };
        let kept = self.deltas.iter().skip(skipped);
        kept.filter(|(meant, _)| is_meant(*meant))
            .map(|(_, delta)| delta.clone())
            .collect()
    }

    fn push(&mut self, audience: DeltaAudience, delta: StoreDelta) {
        self.deltas.push_back((audience, delta));
        if self.deltas.len() > KEPT_DELTAS {
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
        let turn = u32::try_from(rank - STORE_WATCHERS + 1).unwrap_or(u32::MAX);
        let waits = NEXT_WATCHER_AFTER.saturating_mul(turn);
        self.store.borrow().is_watched()
            || share
                .unwatched_since
                .is_some_and(|since| now - since >= waits)
    }

    /// The VMs of this region in the order in which they watch the store. Worked out anew
    /// only when a VM has changed: it is asked for twenty times a second, and puts all VMs
    /// of the fleet in order.
    pub(crate) fn watch_order(&self) -> Rc<[VmName]> {
        let overlay = self.overlay.borrow();
        let changes = overlay.roster().changes();
        let kept = &mut *self.watch_order.borrow_mut();
        if let Some((of, order)) = kept
            && *of == changes
        {
            return Rc::clone(order);
        }
        let order = watch_order(overlay.roster());
        let order: Rc<[VmName]> = order.into_iter().cloned().collect();
        *kept = Some((changes, Rc::clone(&order)));
        order
    }

    /// Whether this VM's copy of the store holds everything.
    pub(crate) fn copy_is_whole(&self) -> bool {
        self.share.borrow().is_whole
    }

    /// Whether this VM's copy misses something, so that it must be read.
    pub(crate) fn must_catch_up(&self) -> bool {
        self.share.borrow().check.is_due(self.now())
    }

    /// Whether another VM has told of a later revision of the store.
    pub(crate) fn knows_later_revision(&self) -> bool {
        let own = self.mirror.borrow().revision();
        self.share.borrow().check.is_outdated(own)
    }

    /// Notes that this VM's copy holds everything.
    pub(crate) fn note_caught_up(&self) {
        let mut share = self.share.borrow_mut();
        share.check.record_full_read(self.now());
        share.is_whole = true;
    }

    /// Keeps changes for the links to the other VMs of the region; `base` is the
    /// revision of the copy before them.
    pub(crate) fn pass_on(&self, base: u64, changes: &[MirrorChange]) {
        let mirror = self.mirror.borrow();
        let is_news = !changes.is_empty() || mirror.revision() != base;
        if is_news && self.store.borrow().is_watched() {
            let delta = mirror.delta(base, changes, PASSED_VALUE);
            let large = mirror.large_items(changes, PASSED_VALUE);
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

    /// Takes changes that another VM passes on, unless this VM watches the store itself or
    /// knows of a later era.
    pub(crate) fn take_delta(&self, from: &VmName, delta: StoreDelta) {
        if self.store.borrow().is_watched() || self.mirror.borrow().is_past_era(delta.revision) {
            return;
        }
        let (revision, base) = (delta.revision, delta.base);
        let large = match unpack_large(&delta) {
            Ok(large) => large,
            Err(e) => {
                // As if they had been left out: they are read.
                log::warn!(from = from.as_str(), error:% = e; "packed change not understood");
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
            "changes of the store taken from another VM"
        );
        self.push_delta(self.audience_beside(from), delta);
        self.apply_changes(changes);
    }

    /// Who has not heard of a change that came from a VM: it tells aggregators itself,
    /// unless it is a member of this one.
    fn audience_beside(&self, from: &VmName) -> DeltaAudience {
        let overlay = self.overlay.borrow();
        let is_member = overlay.totals().members().any(|member| member == from);
        if is_member {
            DeltaAudience::Everyone
        } else {
            DeltaAudience::Members
        }
    }

    /// Compares this VM's copy with what another VM tells of its own.
    pub(crate) fn compare_copy(&self, from: &VmName, copy: PeerCopy) {
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
        share.last_heard = Some((from.clone(), copy));
    }

    /// Whether to ask the VM that was heard last for its copy of the store.
    pub(crate) fn asks_copy_of(&self, vm: &VmName) -> bool {
        if self.store.borrow().is_watched() || self.awaits_copy() {
            return false;
        }
        let now = self.now();
        let own = self.mirror.borrow().state();
        let share = &mut *self.share.borrow_mut();
        let own = share.is_whole.then_some(own);
        match &share.last_heard {
            Some((heard, copy)) if heard == vm && copy.is_whole => {
                share.check.asks(now, own, copy.state)
            }
            _ => false,
        }
    }
}

/// The VMs of this region in the order in which they watch the store: aggregators
/// before the others.
fn watch_order(roster: &Roster) -> Vec<&VmName> {
    let own = roster.own();
    let levels = roster.levels();
    let aggregators = levels.region(&own.region);
    let is_aggregator = |vm: &VmRecord| {
        aggregators
            .iter()
            .any(|aggregator| aggregator.name == vm.name)
    };
    let rest: Vec<&VmRecord> = roster
        .others()
        .filter(|vm| vm.is_staying() && roster.is_near(&vm.record))
        .map(|vm| &vm.record)
        .chain((!own.status.is_leaving).then_some(own))
        .filter(|vm| !is_aggregator(vm))
        .collect();
    let mut order = roster.duty_order(WATCH_DUTY, aggregators);
    order.extend(roster.duty_order(WATCH_DUTY, &rest));
    order
}

/// An item as other VMs get it.
pub(crate) fn wire_item(item: StoreItem) -> SnapshotItem {
    SnapshotItem {
        key: item.key,
        value: item.value,
        revision: item.revision,
    }
}

/// An item of another VM's copy. Its value is kept for itself: as a part of its frame it
/// would hold the whole of it for as long as it stands.
pub(crate) fn store_item(item: SnapshotItem) -> StoreItem {
    StoreItem {
        key: item.key,
        value: Bytes::copy_from_slice(&item.value),
        revision: item.revision,
    }
}

/// Changes as other VMs get them: large items packed, or left out if they are larger still.
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
        Ok(packed) if packed.len() <= PASSED_PACKED => packed,
        Ok(packed) => {
            log::info!(bytes = packed.len(); "changed items are too large to be passed on");
            Bytes::new()
        }
        Err(e) => {
            log::warn!(error:% = e; "changed items not packed");
            Bytes::new()
        }
    }
}

/// The items of a change that were packed.
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
