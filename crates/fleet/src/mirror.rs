//! Local copy of the store's items, on which this VM acts.
//!
//! The copy is fed by watches and full reads, or by a peer whose copy is newer. Leases
//! expire while the store is unavailable, so an item that is missing after an outage is kept
//! for a while: its owner writes it again if it is alive. An item that is deleted while the
//! store is healthy is removed at once.
//!
//! Revisions are the order of a [`StorePosition`], so that changes of a restored store are
//! later than all changes before. A restored store lacks what was written after its backup
//! and brings back what was deleted since. Missing items may return, as after an outage, and
//! resurrected items are withheld until they are written again or have stayed in the store
//! for [`RESURRECTION_WINDOW`].
//!
//! Invariant: an item is never replaced by one of a smaller revision, and an older update
//! does not bring back an item that was deleted lately.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use bytes::Bytes;
use onyxfall_policy::Moment;
use onyxfall_types::StorePosition;

use crate::follow::CopyState;
use xxhash_rust::xxh3::xxh3_64;

/// How long an item may be missing after an outage. A live owner must be back within 2 s; the
/// remainder covers the propagation of its update.
pub const RETURN_WINDOW: Duration = Duration::from_millis(2500);

/// How long an item of the operator may be missing that a restored store lacks.
const REWRITE_WINDOW: Duration = Duration::from_secs(10);

/// How long a deleted item that a restored store brings back is withheld: longer than the
/// lease of a server that is gone.
const RESURRECTION_WINDOW: Duration = Duration::from_secs(5);

/// Most deletions that are recorded, about 60 bytes each. Updates of other VMs are at most
/// seconds old, and a large fleet replaces 90 servers a second.
const MAX_DELETIONS: usize = 2048;

/// An item of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreItem {
    /// Key of the item.
    pub key: String,
    /// Value of the item.
    pub value: Bytes,
    /// Revision of the item's last change.
    pub revision: u64,
}

/// A change of one key in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreEvent {
    /// The item was written.
    Put(StoreItem),
    /// The key was deleted at this revision.
    Delete {
        /// The deleted key.
        key: String,
        /// Revision of the deletion.
        revision: u64,
    },
}

impl StoreEvent {
    /// Revision of the change.
    fn revision(&self) -> u64 {
        match self {
            Self::Put(item) => item.revision,
            Self::Delete { revision, .. } => *revision,
        }
    }
}

/// A change of the copy, for its readers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MirrorChange {
    /// The key has a new value.
    Set(String, Bytes),
    /// The key was removed.
    Removed(String),
}

impl MirrorChange {
    /// The key that changed.
    pub fn key(&self) -> &String {
        match self {
            Self::Set(key, _) | Self::Removed(key) => key,
        }
    }
}

/// Changes of one copy that are sent to another copy.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MirrorDelta {
    /// Revision of the copy before the changes.
    pub base: u64,
    /// Revision of the copy after the changes.
    pub revision: u64,
    /// Current state of the items that have changed.
    pub items: Vec<StoreItem>,
    /// Keys that were removed.
    pub removed: Vec<String>,
    /// Whether items were left out because of their size.
    pub is_partial: bool,
}

/// Whether the store was unavailable shortly before an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreHealth {
    /// The store was available; missing items are deleted.
    Steady,
    /// The store has recently become available again; missing items may return.
    Returned,
}

/// An item of the copy, stored under its key.
#[derive(Clone, Debug)]
struct MirrorItem {
    value: Bytes,
    revision: u64,
    /// When the item is removed unless it returns, if it is missing.
    missing_until: Option<Moment>,
}

impl MirrorItem {
    /// Whether `item` is the same change as this one, in the same era or in another era of a
    /// restored store.
    fn is_same(&self, item: &StoreItem) -> bool {
        let revision = |order| StorePosition::from_order(order).revision();
        self.revision == item.revision
            || (revision(self.revision) == revision(item.revision) && self.value == item.value)
    }

    /// This item with its key.
    fn with_key(&self, key: &str) -> StoreItem {
        StoreItem {
            key: key.to_owned(),
            value: self.value.clone(),
            revision: self.revision,
        }
    }
}

/// Local copy of the store.
#[derive(Clone, Debug, Default)]
pub struct StoreMirror {
    items: BTreeMap<String, MirrorItem>,
    revision: u64,
    /// Hash over the items that are not missing. It is updated incrementally, since every
    /// message to other VMs contains it.
    hash: u64,
    /// Keys of the items that are missing.
    missing: BTreeSet<String>,
    deletions: RecentDeletions,
    /// Deleted items that a restored store has brought back, and when each was first seen.
    resurrected: BTreeMap<String, (StoreItem, Moment)>,
    /// When the first revision of a later era arrived.
    restored_at: Option<Moment>,
    /// Prefix of the operator's keys.
    operator_prefix: Option<&'static str>,
}

/// The most recently deleted keys with the revisions of their deletions. Keys that are merely
/// absent from a received copy are not recorded: that copy may have lacked an item that still
/// exists.
#[derive(Clone, Debug, Default)]
struct RecentDeletions {
    revisions: HashMap<String, u64>,
    order: VecDeque<String>,
}

impl RecentDeletions {
    fn record(&mut self, key: &str, revision: u64) {
        if let Some(recorded) = self.revisions.get_mut(key) {
            *recorded = revision.max(*recorded);
            return;
        }
        self.revisions.insert(key.to_owned(), revision);
        self.order.push_back(key.to_owned());
        if self.order.len() > MAX_DELETIONS
            && let Some(oldest) = self.order.pop_front()
        {
            self.revisions.remove(&oldest);
        }
    }

    /// Whether an item was deleted at or after its revision.
    fn covers(&self, item: &StoreItem) -> bool {
        let deleted = self.revisions.get(&item.key);
        deleted.is_some_and(|deleted| item.revision <= *deleted)
    }

    /// Whether a restored store may have brought back a deleted item: the item was deleted in
    /// an earlier era, at no smaller revision.
    fn may_resurrect(&self, item: &StoreItem) -> bool {
        let position = StorePosition::from_order;
        let item_at = position(item.revision);
        let deleted = self.revisions.get(&item.key).map(|order| position(*order));
        deleted.is_some_and(|deleted| {
            deleted.era() < item_at.era() && item_at.revision() <= deleted.revision()
        })
    }

    /// Drops the deletions of eras before that of `position`.
    fn drop_before(&mut self, position: StorePosition) {
        let is_kept = |order: &u64| StorePosition::from_order(*order).era() >= position.era();
        self.revisions.retain(|_, order| is_kept(order));
        let revisions = &self.revisions;
        self.order.retain(|key| revisions.contains_key(key));
    }
}

/// Contribution of an item to the hash of a copy. The era is left out, so that items which a
/// restored store still has contribute the same in both eras.
fn item_hash(key: &str, revision: u64) -> u64 {
    let revision = StorePosition::from_order(revision).revision();
    xxh3_64(key.as_bytes()) ^ revision.wrapping_mul(0x9e37_79b9)
}

impl StoreMirror {
    /// Creates an empty copy of a store in which the operator's keys start with `prefix`. These
    /// have no lease, so one that a restored store lacks was written after the backup.
    pub fn with_operator(prefix: &'static str) -> Self {
        Self {
            operator_prefix: Some(prefix),
            ..Self::default()
        }
    }

    /// Latest revision of the store that the copy reflects.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Revision of an item's last change.
    pub fn item_revision(&self, key: &str) -> Option<u64> {
        self.items.get(key).map(|item| item.revision)
    }

    /// Whether the copy has no items.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Whether an item is missing or withheld, and so may change by time alone.
    pub fn has_missing(&self) -> bool {
        !self.missing.is_empty() || !self.resurrected.is_empty()
    }

    /// Whether another copy at `revision` reflects an earlier era than this one. Such a copy
    /// may contain items that the restored store has lost.
    pub fn is_past_era(&self, revision: u64) -> bool {
        let era = |order| StorePosition::from_order(order).era();
        era(revision) < era(self.revision)
    }

    /// Advances to a revision. The first revision of a later era shows that the store was
    /// restored.
    fn advance(&mut self, now: Moment, revision: u64) {
        let is_later_era = StorePosition::from_order(revision).era()
            > StorePosition::from_order(self.revision).era();
        if self.revision > 0 && is_later_era {
            self.restored_at = Some(now);
        }
        self.revision = self.revision.max(revision);
    }

    /// How missing items are treated, given the state `link` of the connection to the store.
    fn health(&self, now: Moment, link: StoreHealth) -> StoreHealth {
        if self.is_restored_lately(now) {
            StoreHealth::Returned
        } else {
            link
        }
    }

    /// Hash over keys and revisions; equal copies have equal hashes.
    pub fn hash(&self) -> u64 {
        self.hash
    }

    /// Revision and hash of the copy.
    pub fn state(&self) -> CopyState {
        CopyState {
            revision: self.revision(),
            hash: self.hash(),
        }
    }

    /// The delta to send to another copy after `changes`, which started at revision `base` of
    /// this copy. Values larger than `largest` bytes are left out. A key that changed several
    /// times is sent with its current value, since the revisions of its earlier values are
    /// not kept.
    pub fn delta(&self, base: u64, changes: &[MirrorChange], largest: usize) -> MirrorDelta {
        let keys: BTreeSet<&String> = changes.iter().map(MirrorChange::key).collect();
        let mut delta = MirrorDelta {
            base,
            revision: self.revision,
            ..MirrorDelta::default()
        };
        for key in keys {
            match self.items.get(key) {
                None => delta.removed.push(key.clone()),
                Some(item) if item.value.len() > largest => delta.is_partial = true,
                Some(item) => delta.items.push(item.with_key(key)),
            }
        }
        delta
    }

    /// Changed items whose values are larger than `largest` bytes.
    pub fn large_items(&self, changes: &[MirrorChange], largest: usize) -> Vec<StoreItem> {
        let keys: BTreeSet<&String> = changes.iter().map(MirrorChange::key).collect();
        let updated = keys
            .into_iter()
            .filter_map(|key| self.items.get_key_value(key));
        let large = updated.filter(|(_, item)| item.value.len() > largest);
        large.map(|(key, item)| item.with_key(key)).collect()
    }

    /// Applies a delta of a copy that watches the store. The sender has already waited for
    /// missing items to return, so removed items are removed at once.
    pub fn merge(&mut self, now: Moment, delta: MirrorDelta) -> Vec<MirrorChange> {
        let revision = delta.revision;
        let puts = delta.items.into_iter().map(StoreEvent::Put);
        let deletions = delta.removed.into_iter();
        let deletions = deletions.map(|key| StoreEvent::Delete { key, revision });
        let events = puts.chain(deletions).collect();
        let changes = self.apply_as(now, events, StoreHealth::Steady);
        self.advance(now, revision);
        changes
    }

    /// All items that are not missing.
    pub fn snapshot(&self) -> Vec<StoreItem> {
        self.present()
            .map(|(key, item)| item.with_key(key))
            .collect()
    }

    /// Applies events of a watch.
    pub fn apply(
        &mut self,
        now: Moment,
        events: Vec<StoreEvent>,
        health: StoreHealth,
    ) -> Vec<MirrorChange> {
        for event in &events {
            self.advance(now, event.revision());
        }
        let health = self.health(now, health);
        self.apply_as(now, events, health)
    }

    /// Records that the store has no changes up to `revision` that the copy lacks.
    ///
    /// ```
    /// use onyxfall_fleet::StoreMirror;
    /// use onyxfall_policy::Moment;
    /// let mut mirror = StoreMirror::default();
    /// mirror.confirm(Moment::ZERO, 7);
    /// mirror.confirm(Moment::ZERO, 5);
    /// assert_eq!(mirror.revision(), 7);
    /// ```
    pub fn confirm(&mut self, now: Moment, revision: u64) {
        self.advance(now, revision);
    }

    /// Applies events, treating deletions according to `health`.
    fn apply_as(
        &mut self,
        now: Moment,
        events: Vec<StoreEvent>,
        health: StoreHealth,
    ) -> Vec<MirrorChange> {
        let mut changes = Vec::new();
        for event in events {
            self.advance(now, event.revision());
            match event {
                StoreEvent::Put(item) => changes.extend(self.put(now, item)),
                StoreEvent::Delete { key, revision } => {
                    self.resurrected.remove(&key);
                    self.deletions.record(&key, revision);
                    let until = now + RETURN_WINDOW;
                    changes.extend(self.delete(until, &key, revision, health));
                }
            }
        }
        changes
    }

    /// Replaces the items under `prefix` by `items`, which were read at `revision` or later.
    pub fn replace(
        &mut self,
        now: Moment,
        prefix: &str,
        items: Vec<StoreItem>,
        revision: u64,
        health: StoreHealth,
    ) -> Vec<MirrorChange> {
        let listed: BTreeSet<String> = items.iter().map(|item| item.key.clone()).collect();
        let puts = items.into_iter().map(StoreEvent::Put).collect();
        let mut changes = self.apply(now, puts, health);
        changes.extend(self.remove_unlisted(now, prefix, &listed, revision, health));
        changes
    }

    /// Removes the items under `prefix` that are not in `listed`, the keys that the store had
    /// when it was read at `revision` or later.
    pub fn remove_unlisted(
        &mut self,
        now: Moment,
        prefix: &str,
        listed: &BTreeSet<String>,
        revision: u64,
        health: StoreHealth,
    ) -> Vec<MirrorChange> {
        self.advance(now, revision);
        let health = self.health(now, health);
        self.resurrected
            .retain(|key, _| !key.starts_with(prefix) || listed.contains(key));
        // The listing contains everything that the backup has brought back.
        self.deletions
            .drop_before(StorePosition::from_order(revision));
        let absent: Vec<String> = self
            .items
            .iter()
            .filter(|(key, item)| {
                key.starts_with(prefix) && !listed.contains(*key) && item.revision <= revision
            })
            .map(|(key, _)| key.clone())
            .collect();
        absent
            .into_iter()
            .filter_map(|key| {
                let until = now + self.return_window(now, &key);
                self.delete(until, &key, revision, health)
            })
            .collect()
    }

    /// Removes items that have been missing for too long, and accepts withheld items that have
    /// stayed in a restored store for [`RESURRECTION_WINDOW`].
    pub fn expire(&mut self, now: Moment) -> Vec<MirrorChange> {
        let is_settled = |since: &Moment| now - *since >= RESURRECTION_WINDOW;
        let settled = self
            .resurrected
            .extract_if(.., |_, (_, since)| is_settled(since));
        let settled: Vec<StoreItem> = settled.map(|(_, (item, _))| item).collect();
        let mut changes: Vec<MirrorChange> = settled
            .into_iter()
            .filter_map(|item| self.set(item))
            .collect();
        let is_expired = |key: &String| {
            let until = self.items.get(key).and_then(|item| item.missing_until);
            until.is_none_or(|until| now >= until)
        };
        let expired: Vec<String> = self
            .missing
            .iter()
            .filter(|k| is_expired(k))
            .cloned()
            .collect();
        changes.extend(expired.into_iter().map(|key| {
            self.remove(&key);
            MirrorChange::Removed(key)
        }));
        changes
    }

    /// How long an item that the store does not list may be missing before it is removed.
    fn return_window(&self, now: Moment, key: &str) -> Duration {
        let is_operator_key = self
            .operator_prefix
            .is_some_and(|prefix| key.starts_with(prefix));
        if is_operator_key && self.is_restored_lately(now) {
            REWRITE_WINDOW
        } else {
            RETURN_WINDOW
        }
    }

    fn is_restored_lately(&self, now: Moment) -> bool {
        self.restored_at.is_some_and(|at| now - at < RETURN_WINDOW)
    }

    /// Removes an item from the copy.
    fn remove(&mut self, key: &str) {
        if let Some(removed) = self.items.remove(key)
            && removed.missing_until.is_none()
        {
            self.hash = self.hash.wrapping_sub(item_hash(key, removed.revision));
        }
        self.missing.remove(key);
    }

    /// The items that are not missing.
    fn present(&self) -> impl Iterator<Item = (&String, &MirrorItem)> {
        self.items
            .iter()
            .filter(|(_, item)| item.missing_until.is_none())
    }

    /// Applies a write, unless the item was deleted later or has to be withheld.
    fn put(&mut self, now: Moment, item: StoreItem) -> Option<MirrorChange> {
        if !self.items.contains_key(&item.key) {
            if self.deletions.covers(&item) {
                return None;
            }
            let withheld = self
                .resurrected
                .get(&item.key)
                .map(|(item, _)| item.revision);
            let is_seen = withheld.is_some_and(|revision| revision >= item.revision);
            if is_seen || (withheld.is_none() && self.deletions.may_resurrect(&item)) {
                let entry = self.resurrected.entry(item.key.clone());
                entry.or_insert((item, now));
                return None;
            }
        }
        self.resurrected.remove(&item.key);
        self.set(item)
    }

    /// Sets an item, unless the copy has it at this revision or a later one.
    fn set(&mut self, item: StoreItem) -> Option<MirrorChange> {
        let current = self.items.get_mut(&item.key);
        if current
            .as_ref()
            .is_some_and(|stored| stored.revision > item.revision)
        {
            return None;
        }
        if let Some(current) = current
            && current.is_same(&item)
        {
            current.revision = item.revision;
            if current.missing_until.take().is_some() {
                self.missing.remove(&item.key);
                let hash = item_hash(&item.key, item.revision);
                self.hash = self.hash.wrapping_add(hash);
            }
            return None;
        }
        self.remove(&item.key);
        let stored = MirrorItem {
            value: item.value.clone(),
            revision: item.revision,
            missing_until: None,
        };
        let hash = item_hash(&item.key, item.revision);
        self.hash = self.hash.wrapping_add(hash);
        self.items.insert(item.key.clone(), stored);
        Some(MirrorChange::Set(item.key, item.value))
    }

    /// Removes an item that was deleted at `revision`, or marks it as missing until `until`.
    fn delete(
        &mut self,
        until: Moment,
        key: &str,
        revision: u64,
        health: StoreHealth,
    ) -> Option<MirrorChange> {
        let current = self.items.get_mut(key)?;
        if current.revision > revision {
            return None;
        }
        match health {
            StoreHealth::Returned => {
                if current.missing_until.is_none() {
                    current.missing_until = Some(until);
                    let hash = item_hash(key, current.revision);
                    self.hash = self.hash.wrapping_sub(hash);
                    self.missing.insert(key.to_owned());
                }
                None
            }
            StoreHealth::Steady => {
                self.remove(key);
                Some(MirrorChange::Removed(key.to_owned()))
            }
        }
    }
}
