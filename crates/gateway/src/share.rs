//! Who watches the store for a region, and how the others learn of its changes.
//!
//! Each call of the store is priced, and its rate is shared by all VMs. So only
//! [`STORE_WATCHERS`] VMs of a region watch; they pass changes on to the others
//! of the region at once. Every VM still reads the store itself when it starts,
//! when no watcher is heard, and when its copy stays behind what others tell.
//!
//! Invariant: a VM goes without a watch of its own only while it hears a VM of
//! its region that says it watches.

use std::collections::VecDeque;

use onyxfall_fleet::{CopyCheck, CopyState, MirrorChange, MirrorDelta, StoreItem};
use onyxfall_policy::MemberTable;
use onyxfall_types::VmName;
use onyxfall_wire::{SnapshotItem, StoreDelta, VmBeat};

use crate::gateway::Gateway;

/// VMs of a region that watch the store: one may die or be cut off from it.
const STORE_WATCHERS: usize = 2;
/// Name of the duty among the VMs of a region.
const WATCH_DUTY: &str = "watch store";
/// Largest value that is passed on, in bytes. The links of small VMs are narrow,
/// and a large configuration goes to all VMs sooner through the store's own link.
const PASSED_VALUE: usize = 32 * 1024;
/// Changes kept for links that have not sent them yet; what a link misses shows
/// at the other end as a gap, and is then read from the store.
const KEPT_DELTAS: usize = 64;

/// Changes to pass on, and how this VM's copy compares with what others tell.
#[derive(Debug, Default)]
pub(crate) struct StoreShare {
    deltas: VecDeque<StoreDelta>,
    /// Number of the first delta that is kept.
    first: u64,
    check: CopyCheck,
}

impl StoreShare {
    /// Number that the next delta will get.
    pub(crate) fn next_number(&self) -> u64 {
        self.first + self.deltas.len() as u64
    }

    /// The deltas from number `from` on that are still kept.
    pub(crate) fn deltas_from(&self, from: u64) -> Vec<StoreDelta> {
        let skipped = usize::try_from(from.saturating_sub(self.first)).unwrap_or(usize::MAX);
        self.deltas.iter().skip(skipped).cloned().collect()
    }

    fn push(&mut self, delta: StoreDelta) {
        self.deltas.push_back(delta);
        if self.deltas.len() > KEPT_DELTAS {
            self.deltas.pop_front();
            self.first += 1;
        }
    }
}

impl Gateway {
    /// Whether this VM has to watch the store for its region.
    pub(crate) fn has_watch_duty(&self) -> bool {
        watch_holders(&self.members.borrow()).contains(&self.vm())
    }

    /// Whether another VM watches the store for this one.
    pub(crate) fn follows_watcher(&self) -> bool {
        let members = self.members.borrow();
        let holders = watch_holders(&members);
        !holders.contains(&self.vm()) && holders.into_iter().any(|vm| self.is_watcher(vm))
    }

    fn is_watcher(&self, vm: &VmName) -> bool {
        let heard = self.heard_vms.borrow();
        heard.get(vm).is_some_and(|status| status.watches_store)
    }

    /// Whether this VM's copy misses something, so that it must be read.
    pub(crate) fn must_catch_up(&self) -> bool {
        self.share.borrow().check.is_due(self.now())
    }

    /// Notes that everything was read.
    pub(crate) fn note_caught_up(&self) {
        self.share.borrow_mut().check.note_read(self.now());
    }

    /// Keeps changes for the links to the other VMs of the region; `base` is the
    /// revision of the copy before them.
    pub(crate) fn pass_on(&self, base: u64, changes: &[MirrorChange]) {
        let mirror = self.mirror.borrow();
        let is_news = !changes.is_empty() || mirror.revision() != base;
        if !is_news || !self.has_watch_duty() {
            return;
        }
        let delta = to_wire(mirror.delta(base, changes, PASSED_VALUE));
        self.share.borrow_mut().push(delta);
        self.beat_now.notify_waiters();
    }

    /// Takes changes that a watcher passes on; a VM that watches itself knows.
    pub(crate) fn take_delta(&self, delta: StoreDelta) {
        if self.store.borrow().is_watched() {
            return;
        }
        let (revision, base) = (delta.revision, delta.base);
        let is_whole = !delta.is_partial;
        let before = self.mirror.borrow().revision();
        let changes = {
            let mut mirror = self.mirror.borrow_mut();
            mirror.merge(self.now(), from_wire(delta))
        };
        self.share
            .borrow_mut()
            .check
            .note_change(before, base, is_whole);
        log::info!(
            revision,
            base,
            before,
            changes = changes.len();
            "changes of the store taken from a watcher"
        );
        self.apply_changes(changes);
    }

    /// Compares this VM's copy with what a heartbeat tells of another's.
    pub(crate) fn compare_copy(&self, beat: &VmBeat, is_near: bool) {
        let now = self.now();
        let own = self.mirror.borrow().state();
        let other = CopyState {
            revision: beat.mirror_revision,
            hash: beat.mirror_hash,
        };
        let check = &mut self.share.borrow_mut().check;
        check.note_other(now, own, other);
        if is_near && beat.watches_store {
            check.note_watcher(now, own, other);
        }
    }
}

fn watch_holders(members: &MemberTable) -> Vec<&VmName> {
    members.duty_holders(WATCH_DUTY, STORE_WATCHERS)
}

/// An item as other VMs get it.
pub(crate) fn wire_item(item: StoreItem) -> SnapshotItem {
    SnapshotItem {
        key: item.key,
        value: item.value,
        revision: item.revision,
    }
}

/// An item of another VM's copy.
pub(crate) fn store_item(item: SnapshotItem) -> StoreItem {
    StoreItem {
        key: item.key,
        value: item.value,
        revision: item.revision,
    }
}

fn to_wire(delta: MirrorDelta) -> StoreDelta {
    StoreDelta {
        revision: delta.revision,
        items: delta.items.into_iter().map(wire_item).collect(),
        removed: delta.removed,
        base: delta.base,
        is_partial: delta.is_partial,
    }
}

fn from_wire(delta: StoreDelta) -> MirrorDelta {
    MirrorDelta {
        base: delta.base,
        revision: delta.revision,
        items: delta.items.into_iter().map(store_item).collect(),
        removed: delta.removed,
        is_partial: delta.is_partial,
    }
}
