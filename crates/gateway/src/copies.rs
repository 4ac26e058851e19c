//! Copies of the store on their way between two VMs.
//!
//! A copy may be megabytes, and an aggregator gives it to dozens of VMs at once over narrow
//! links. So it goes in parts: what a link holds is bounded, updates go between two parts,
//! and the receiver serves with what it has. The parts are made and packed once for all who
//! ask; one of an earlier build gets them unpacked.
//!
//! Invariant: what a receiver held before and the copy does not name is removed only when
//! all parts of one copy have come, in order.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use onyxfall_adapter::WATCHED_PREFIX;
use onyxfall_fleet::{CopyState, StoreEvent, StoreHealth, StoreItem};
use onyxfall_policy::Moment;
use onyxfall_types::VmName;
use onyxfall_wire::{PackError, SnapshotItem, StoreSnapshot, pack_items, unpack_items};

use crate::gateway::Gateway;
use crate::share::{store_item, wire_item};

/// Bytes of items in a part before it is packed; a single larger item makes a part of its
/// own. A small VM's link carries one in some milliseconds.
const PART_BYTES: usize = 48 * 1024;
/// How long a copy that is coming in is waited for after its last part.
const PART_WAIT: Duration = Duration::from_secs(2);

/// The parts of one copy.
pub(crate) type CopyParts = Rc<[StoreSnapshot]>;

/// The parts that were made last, for all links that ask.
#[derive(Debug, Default)]
pub(crate) struct CachedParts {
    /// State of the copy that they are of, and whether it was steady.
    of: Option<(CopyState, bool)>,
    parts: Option<CopyParts>,
}

/// A copy that another VM is giving to this one.
#[derive(Debug)]
pub(crate) struct IncomingCopy {
    from: VmName,
    next: u32,
    listed: BTreeSet<String>,
    heard: Moment,
}

/// Parts of a copy that a link has still to send.
#[derive(Default)]
pub(crate) struct OutgoingCopy {
    parts: Option<CopyParts>,
    next: usize,
    takes_packed: bool,
}

impl OutgoingCopy {
    /// Begins with a copy, for a VM that understands packed items or does not.
    pub(crate) fn begin(&mut self, parts: CopyParts, takes_packed: bool) {
        self.parts = Some(parts);
        self.next = 0;
        self.takes_packed = takes_packed;
    }

    /// Whether a part is left.
    pub(crate) fn has_next(&self) -> bool {
        self.parts.is_some()
    }

    /// The next part.
    pub(crate) fn take_next(&mut self) -> Result<Option<StoreSnapshot>, PackError> {
        let Some(parts) = &self.parts else {
            return Ok(None);
        };
        let part = parts.get(self.next).cloned();
        self.next += 1;
        if self.next >= parts.len() {
            self.parts = None;
        }
        if self.takes_packed {
            return Ok(part);
        }
        part.map(unpacked).transpose()
    }
}

/// A part whose items are not packed.
fn unpacked(mut part: StoreSnapshot) -> Result<StoreSnapshot, PackError> {
    if !part.packed.is_empty() {
        let packed = std::mem::take(&mut part.packed);
        part.items.extend(unpack_items(&packed)?);
    }
    Ok(part)
}

/// A part with packed items, where they can be packed.
fn packed(mut part: StoreSnapshot) -> StoreSnapshot {
    match pack_items(part.items.clone()) {
        Ok(packed) => {
            part.packed = packed;
            part.items = Vec::new();
        }
        Err(e) => log::warn!(error:% = e; "part of a copy not packed"),
    }
    part
}

/// Cuts items into parts.
fn cut(items: Vec<SnapshotItem>, revision: u64, is_steady: bool) -> CopyParts {
    let part = |number: usize| StoreSnapshot {
        revision,
        items: Vec::new(),
        is_steady,
        part: u32::try_from(number).unwrap_or(u32::MAX),
        has_more: true,
        packed: Bytes::new(),
    };
    let mut parts = vec![part(0)];
    let mut bytes = 0;
    for item in items {
        let size = item.key.len() + item.value.len();
        if bytes > 0 && bytes + size > PART_BYTES {
            parts.push(part(parts.len()));
            bytes = 0;
        }
        bytes += size;
        if let Some(last) = parts.last_mut() {
            last.items.push(item);
        }
    }
    if let Some(last) = parts.last_mut() {
        last.has_more = false;
    }
    parts.into_iter().map(packed).collect()
}

impl Gateway {
    /// This VM's copy of the store, in parts.
    pub(crate) fn own_copy(&self) -> CopyParts {
        let mirror = self.mirror.borrow();
        let is_steady = {
            let store = self.store.borrow();
            let is_settled = !store.is_watched() || store.health(self.now()) == StoreHealth::Steady;
            self.copy_is_whole() && is_settled && !mirror.has_missing()
        };
        let made = &mut *self.cached_parts.borrow_mut();
        let of = Some((mirror.state(), is_steady));
        if let Some(parts) = made.parts.as_ref().filter(|_| made.of == of) {
            return CopyParts::clone(parts);
        }
        let items = mirror.snapshot().into_iter().map(wire_item).collect();
        let parts = cut(items, mirror.revision(), is_steady);
        made.of = of;
        made.parts = Some(CopyParts::clone(&parts));
        parts
    }

    /// Whether another VM is giving its copy to this one.
    pub(crate) fn awaits_copy(&self) -> bool {
        let now = self.now();
        let incoming = self.incoming_copy.borrow();
        incoming
            .as_ref()
            .is_some_and(|copy| now - copy.heard < PART_WAIT)
    }

    /// Takes a part of another VM's copy of the store, unless this VM watches the store
    /// itself or knows of a later era.
    pub(crate) fn take_copy_part(&self, from: &VmName, part: StoreSnapshot) {
        if self.store.borrow().is_watched() || self.mirror.borrow().is_past_era(part.revision) {
            return;
        }
        let part = match unpacked(part) {
            Ok(part) => part,
            Err(e) => {
                // The parts after it do not follow, so that the copy is asked for again.
                log::warn!(from = from.as_str(), error:% = e; "part of a copy not understood");
                self.metrics.count("onyxfall_items_not_understood_total");
                return;
            }
        };
        if !self.note_part(from, &part) {
            return;
        }
        let health = if part.is_steady {
            StoreHealth::Steady
        } else {
            StoreHealth::Returned
        };
        let items: Vec<StoreItem> = part.items.into_iter().map(store_item).collect();
        let puts = items.into_iter().map(StoreEvent::Put).collect();
        let changes = self
            .mirror
            .borrow_mut()
            .apply(self.now(), puts, StoreHealth::Returned);
        self.apply_changes(changes);
        if !part.has_more {
            self.finish_copy(from, part.revision, health);
        }
    }

    /// Notes a part; whether it follows the one before.
    fn note_part(&self, from: &VmName, part: &StoreSnapshot) -> bool {
        let heard = self.now();
        let incoming = &mut *self.incoming_copy.borrow_mut();
        if part.part == 0 {
            *incoming = Some(IncomingCopy {
                from: from.clone(),
                next: 0,
                listed: BTreeSet::new(),
                heard,
            });
        }
        let follows = |copy: &&mut IncomingCopy| copy.from == *from && copy.next == part.part;
        let Some(copy) = incoming.as_mut().filter(follows) else {
            return false;
        };
        copy.next += 1;
        copy.heard = heard;
        copy.listed
            .extend(part.items.iter().map(|item| item.key.clone()));
        true
    }

    /// All parts of a copy have come: what it does not name is gone.
    fn finish_copy(&self, from: &VmName, revision: u64, health: StoreHealth) {
        let Some(copy) = self.incoming_copy.borrow_mut().take() else {
            return;
        };
        log::info!(
            from = from.as_str(),
            revision,
            items = copy.listed.len();
            "copy of the store taken from another VM"
        );
        let now = self.now();
        let changes = {
            let mut mirror = self.mirror.borrow_mut();
            mirror.remove_unlisted(now, WATCHED_PREFIX, &copy.listed, revision, health)
        };
        self.note_caught_up();
        self.apply_changes(changes);
    }
}
