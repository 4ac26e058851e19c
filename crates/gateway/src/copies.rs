//! Transfer of whole copies of the store between VMs.
//!
//! A copy may take megabytes, and an aggregator sends it to dozens of VMs at once over narrow
//! links. So it is sent in parts: the memory queued per link is bounded, updates are sent
//! between two parts, and the receiver serves with the parts that it has. Parts are built and
//! packed once for all receivers; a peer of an earlier build that does not support packing gets
//! them unpacked.
//!
//! Invariant: an item that the receiver had before and that the copy does not list is removed
//! only after all parts of one copy have arrived in order.

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

/// Size of a part before packing; a larger item gets a part of its own. The link of a small VM
/// transmits a part in a few milliseconds.
const PART_BYTES: usize = 48 * 1024;
/// How long the next part of an incoming copy is waited for.
const PART_TIMEOUT: Duration = Duration::from_secs(2);

/// The parts of one copy.
pub(crate) type CopyParts = Rc<[StoreSnapshot]>;

/// The parts built last, shared by all links that send the copy.
#[derive(Debug, Default)]
pub(crate) struct CachedParts {
    /// State of the copy that the parts were built from, and whether it was steady.
    source: Option<(CopyState, bool)>,
    parts: Option<CopyParts>,
}

/// A copy of the store that another VM is sending to this one.
#[derive(Debug)]
pub(crate) struct IncomingCopy {
    from: VmName,
    next_part: u32,
    listed: BTreeSet<String>,
    received_at: Moment,
}

/// Parts of a copy that a link has still to send.
#[derive(Default)]
pub(crate) struct OutgoingCopy {
    parts: Option<CopyParts>,
    next_part: usize,
    accepts_packed: bool,
}

impl OutgoingCopy {
    /// Starts sending a copy. `accepts_packed` tells whether the receiver supports packed
    /// items.
    pub(crate) fn begin(&mut self, parts: CopyParts, accepts_packed: bool) {
        self.parts = Some(parts);
        self.next_part = 0;
        self.accepts_packed = accepts_packed;
    }

    /// Whether a part is left to send.
    pub(crate) fn has_next(&self) -> bool {
        self.parts.is_some()
    }

    /// Removes and returns the next part.
    pub(crate) fn pop_next(&mut self) -> Result<Option<StoreSnapshot>, PackError> {
        let Some(parts) = &self.parts else {
            return Ok(None);
        };
        let part = parts.get(self.next_part).cloned();
        self.next_part += 1;
        if self.next_part >= parts.len() {
            self.parts = None;
        }
        if self.accepts_packed {
            return Ok(part);
        }
        part.map(unpacked).transpose()
    }
}

/// Returns the part with its items unpacked.
fn unpacked(mut part: StoreSnapshot) -> Result<StoreSnapshot, PackError> {
    if !part.packed.is_empty() {
        let packed = std::mem::take(&mut part.packed);
        part.items.extend(unpack_items(&packed)?);
    }
    Ok(part)
}

/// Returns the part with its items packed, or unchanged if packing fails.
fn packed(mut part: StoreSnapshot) -> StoreSnapshot {
    match pack_items(part.items.clone()) {
        Ok(packed) => {
            part.packed = packed;
            part.items = Vec::new();
        }
        Err(e) => log::warn!(error:% = e; "cannot pack store copy part"),
    }
    part
}

/// Splits items into parts.
fn split_parts(items: Vec<SnapshotItem>, revision: u64, is_steady: bool) -> CopyParts {
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
            self.shares_copy() && is_settled && !mirror.has_missing()
        };
        let cached = &mut *self.cached_parts.borrow_mut();
        let source = Some((mirror.state(), is_steady));
        if let Some(parts) = cached.parts.as_ref().filter(|_| cached.source == source) {
            return CopyParts::clone(parts);
        }
        let items = mirror.snapshot().into_iter().map(wire_item).collect();
        let parts = split_parts(items, mirror.revision(), is_steady);
        cached.source = source;
        cached.parts = Some(CopyParts::clone(&parts));
        parts
    }

    /// Whether another VM is sending its copy of the store to this one.
    pub(crate) fn is_receiving_copy(&self) -> bool {
        let now = self.now();
        let incoming = self.incoming_copy.borrow();
        incoming
            .as_ref()
            .is_some_and(|copy| now - copy.received_at < PART_TIMEOUT)
    }

    /// Applies a part of another VM's copy of the store. It is ignored if this VM watches the
    /// store itself or its copy is of a later era.
    pub(crate) fn apply_copy_part(&self, from: &VmName, part: StoreSnapshot) {
        if self.store.borrow().is_watched() || self.mirror.borrow().is_past_era(part.revision) {
            return;
        }
        let part = match unpacked(part) {
            Ok(part) => part,
            Err(e) => {
                // The parts that follow are out of order then, so the copy is requested again.
                log::warn!(from = from.as_str(), error:% = e; "cannot unpack store copy part");
                self.metrics.count("onyxfall_items_not_understood_total");
                return;
            }
        };
        if !self.record_part(from, &part) {
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

    /// Records a part. Returns whether it directly follows the one before.
    fn record_part(&self, from: &VmName, part: &StoreSnapshot) -> bool {
        let received_at = self.now();
        let incoming = &mut *self.incoming_copy.borrow_mut();
        if part.part == 0 {
            *incoming = Some(IncomingCopy {
                from: from.clone(),
                next_part: 0,
                listed: BTreeSet::new(),
                received_at,
            });
        }
        let follows = |copy: &&mut IncomingCopy| copy.from == *from && copy.next_part == part.part;
        let Some(copy) = incoming.as_mut().filter(follows) else {
            return false;
        };
        copy.next_part += 1;
        copy.received_at = received_at;
        copy.listed
            .extend(part.items.iter().map(|item| item.key.clone()));
        true
    }

    /// Completes a copy after its last part: removes the items that it does not list.
    fn finish_copy(&self, from: &VmName, revision: u64, health: StoreHealth) {
        let Some(copy) = self.incoming_copy.borrow_mut().take() else {
            return;
        };
        log::info!(
            from = from.as_str(),
            revision,
            items = copy.listed.len();
            "received a copy of the store from another VM"
        );
        let now = self.now();
        let changes = {
            let mut mirror = self.mirror.borrow_mut();
            mirror.remove_unlisted(now, WATCHED_PREFIX, &copy.listed, revision, health)
        };
        self.record_caught_up();
        self.apply_changes(changes);
    }
}
