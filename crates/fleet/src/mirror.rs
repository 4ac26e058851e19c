//! A copy of the store's items that this VM acts on.
//!
//! The copy is fed by watches and whole reads, or by a peer whose copy is newer.
//! Leases run out while the store is away, so an item that is missing after an
//! outage is kept for a while: its owner writes it again if it lives. An item
//! that vanishes while the store is well is gone at once.
//!
//! Revisions are the order of a [`StorePosition`], so that changes of a restored store are
//! later than all changes before. Such a store lacks what was written after its backup and
//! brings back what was deleted since: missing items may return, as after an outage, and
//! deleted ones are held back until they are written again or stay.
//!
//! Invariant: an item is never replaced by one of a smaller revision, and one that was
//! deleted lately does not come back by news from before that.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use bytes::Bytes;
use onyxfall_policy::Moment;
use onyxfall_types::StorePosition;

use crate::follow::CopyState;
use xxhash_rust::xxh3::xxh3_64;

/// How long an item may be missing after an outage. The users' letter gives two
/// seconds for a live owner to be back; the rest is the way of the news.
pub const RETURN_WINDOW: Duration = Duration::from_millis(2500);

/// The same for the operator's items that a restored store lacks.
const REWRITE_WINDOW: Duration = Duration::from_secs(10);

/// How long a deleted item that a restored store brings back is held back: longer than the
/// lease of a server that is gone.
const RESURRECTION_WINDOW: Duration = Duration::from_secs(5);

/// Deletions that are remembered, some 60 bytes each. Other VMs' news are seconds old at
/// most, and a large fleet replaces ninety servers a second.
const MOST_DELETIONS: usize = 2048;

/// An item of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreItem {
    /// Its key.
    pub key: String,
    /// Its value.
    pub value: Bytes,
    /// Revision of its last change.
    pub revision: u64,
}

/// A change of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreEvent {
    /// The item was written.
    Put(StoreItem),
    /// The key was deleted at this revision.
    Delete {
        /// The key.
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

/// What a change of the copy means for its readers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MirrorChange {
    /// The key has a new value.
    Set(String, Bytes),
    /// The key is gone.
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

/// Changes of one copy, for another one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MirrorDelta {
    /// Revision of the copy before them.
    pub base: u64,
    /// Revision of the copy after them.
    pub revision: u64,
    /// Items that have changed, as they stand.
    pub items: Vec<StoreItem>,
    /// Keys that are gone.
    pub removed: Vec<String>,
    /// Whether items were left out for their size.
    pub is_partial: bool,
}

/// Whether the store was away shortly before the news.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreHealth {
    /// It was well; what is missing is gone.
    Steady,
    /// It came back lately; what is missing may return.
    Returned,
}

#[derive(Clone, Debug)]
struct HeldItem {
    value: Bytes,
    revision: u64,
    /// Until when it may come back, if it is missing.
    missing_until: Option<Moment>,
}

impl HeldItem {
    /// Whether an item is this one, in the same era or in a later one of a store that was
    /// restored.
    fn is_same(&self, item: &StoreItem) -> bool {
        let revision = |order| StorePosition::from_order(order).revision();
        self.revision == item.revision
            || (revision(self.revision) == revision(item.revision) && self.value == item.value)
    }

    /// The item, whose key is not kept with it.
    fn under(&self, key: &str) -> StoreItem {
        StoreItem {
            key: key.to_owned(),
            value: self.value.clone(),
            revision: self.revision,
        }
    }
}

/// The copy.
#[derive(Clone, Debug, Default)]
pub struct StoreMirror {
    items: BTreeMap<String, HeldItem>,
    revision: u64,
    /// Hash over the items that are not missing, kept up to date with each change: it is
    /// told in every message to other VMs.
    hash: u64,
    /// Keys of the items that are missing.
    missing: BTreeSet<String>,
    deletions: RecentDeletions,
    /// Deleted items that a restored store has brought back, and when they were first seen.
    resurrected: BTreeMap<String, (StoreItem, Moment)>,
    /// When the first revision of a later era came.
    restored_at: Option<Moment>,
    /// Start of the operator's keys.
    operator_prefix: Option<&'static str>,
}

/// The keys that were deleted last, with the revision of it. What a copy merely did not
/// name is not among them: the copy may have lacked it, and the item still be there.
#[derive(Clone, Debug, Default)]
struct RecentDeletions {
    revisions: HashMap<String, u64>,
    order: VecDeque<String>,
}

impl RecentDeletions {
    fn note(&mut self, key: &str, revision: u64) {
        if let Some(held) = self.revisions.get_mut(key) {
            *held = revision.max(*held);
            return;
        }
        self.revisions.insert(key.to_owned(), revision);
        self.order.push_back(key.to_owned());
        if self.order.len() > MOST_DELETIONS
            && let Some(oldest) = self.order.pop_front()
        {
            self.revisions.remove(&oldest);
        }
    }

    /// Whether an item was deleted after its revision.
    fn covers(&self, item: &StoreItem) -> bool {
        let deleted = self.revisions.get(&item.key);
        deleted.is_some_and(|deleted| item.revision <= *deleted)
    }

    /// Whether a restored store may have brought back a deleted item: it was deleted in an
    /// earlier era, at no smaller revision.
    fn may_resurrect(&self, item: &StoreItem) -> bool {
        let position = StorePosition::from_order;
        let item_at = position(item.revision);
        let deleted = self.revisions.get(&item.key).map(|order| position(*order));
        deleted.is_some_and(|deleted| {
            deleted.era() < item_at.era() && item_at.revision() <= deleted.revision()
        })
    }

    /// Forgets the deletions before an era.
    fn forget_before(&mut self, position: StorePosition) {
        let is_kept = |order: &u64| StorePosition::from_order(*order).era() >= position.era();
        self.revisions.retain(|_, order| is_kept(order));
        let revisions = &self.revisions;
        self.order.retain(|key| revisions.contains_key(key));
    }
}

/// What an item adds to the hash of a copy. Items that a restored store still has are the
/// same in both eras.
fn item_hash(key: &str, revision: u64) -> u64 {
    let revision = StorePosition::from_order(revision).revision();
    xxh3_64(key.as_bytes()) ^ revision.wrapping_mul(0x9e37_79b9)
}

impl StoreMirror {
    /// An empty copy of a store in which the operator's keys start with a prefix. They have
    /// no lease: one that a restored store lacks was lost with the backup.
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

    /// Whether nothing is known.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Whether an item is missing that may come back, or is held back.
    pub fn has_missing(&self) -> bool {
        !self.missing.is_empty() || !self.resurrected.is_empty()
    }

    /// Whether another copy at `revision` reflects an era before this one's. It may hold
    /// items that the restored store has lost.
    pub fn is_past_era(&self, revision: u64) -> bool {
        let era = |order| StorePosition::from_order(order).era();
        era(revision) < era(self.revision)
    }

    /// Advances to a revision; the first one of a later era shows that the store was restored.
    fn advance(&mut self, now: Moment, revision: u64) {
        let is_later_era = StorePosition::from_order(revision).era()
            > StorePosition::from_order(self.revision).era();
        if self.revision > 0 && is_later_era {
            self.restored_at = Some(now);
        }
        self.revision = self.revision.max(revision);
    }

    /// How a missing item is treated, given the state of the link to the store.
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

    /// Its revision and hash.
    pub fn state(&self) -> CopyState {
        CopyState {
            revision: self.revision(),
            hash: self.hash(),
        }
    }

    /// What to pass on to another copy after `changes`, which took this one from
    /// revision `base` on; values above `largest` bytes are left out. A key that
    /// changed several times is passed on as it stands now: revisions of its
    /// earlier values are no longer known.
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
                Some(item) => delta.items.push(item.under(key)),
            }
        }
        delta
    }

    /// Items with values above `largest` bytes among `changes`.
    pub fn large_items(&self, changes: &[MirrorChange], largest: usize) -> Vec<StoreItem> {
        let keys: BTreeSet<&String> = changes.iter().map(MirrorChange::key).collect();
        let held = keys
            .into_iter()
            .filter_map(|key| self.items.get_key_value(key));
        let large = held.filter(|(_, item)| item.value.len() > largest);
        large.map(|(key, item)| item.under(key)).collect()
    }

    /// Takes what a copy that watches the store has passed on. It has waited for
    /// items that may come back, so that what it removed is gone.
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

    /// Every item that is not missing.
    pub fn snapshot(&self) -> Vec<StoreItem> {
        self.present().map(|(key, item)| item.under(key)).collect()
    }

    /// Takes news of a watch.
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
                    self.deletions.note(&key, revision);
                    let until = now + RETURN_WINDOW;
                    changes.extend(self.delete(until, &key, revision, health));
                }
            }
        }
        changes
    }

    /// Takes every item under `prefix` as read at `revision` or later.
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

    /// Removes every item under `prefix` that was not among those `listed` when
    /// the store was read at `revision` or later.
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
        // The listing holds all that the backup brought back.
        self.deletions
            .forget_before(StorePosition::from_order(revision));
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

    /// Removes what has been missing for too long, and takes what has stayed in a restored
    /// store for [`RESURRECTION_WINDOW`].
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
        let is_over = |key: &String| {
            let until = self.items.get(key).and_then(|item| item.missing_until);
            until.is_none_or(|until| now >= until)
        };
        let expired: Vec<String> = self
            .missing
            .iter()
            .filter(|k| is_over(k))
            .cloned()
            .collect();
        changes.extend(expired.into_iter().map(|key| {
            self.take_out(&key);
            MirrorChange::Removed(key)
        }));
        changes
    }

    /// How long an item that the store does not list may be missing.
    fn return_window(&self, now: Moment, key: &str) -> Duration {
        let is_operators = self
            .operator_prefix
            .is_some_and(|prefix| key.starts_with(prefix));
        if is_operators && self.is_restored_lately(now) {
            REWRITE_WINDOW
        } else {
            RETURN_WINDOW
        }
    }

    fn is_restored_lately(&self, now: Moment) -> bool {
        self.restored_at.is_some_and(|at| now - at < RETURN_WINDOW)
    }

    /// Removes an item.
    fn take_out(&mut self, key: &str) {
        if let Some(held) = self.items.remove(key)
            && held.missing_until.is_none()
        {
            self.hash = self.hash.wrapping_sub(item_hash(key, held.revision));
        }
        self.missing.remove(key);
    }

    fn present(&self) -> impl Iterator<Item = (&String, &HeldItem)> {
        self.items
            .iter()
            .filter(|(_, item)| item.missing_until.is_none())
    }

    fn put(&mut self, now: Moment, item: StoreItem) -> Option<MirrorChange> {
        if !self.items.contains_key(&item.key) {
            if self.deletions.covers(&item) {
                return None;
            }
            let held_back = self
                .resurrected
                .get(&item.key)
                .map(|(held, _)| held.revision);
            let is_known = held_back.is_some_and(|revision| revision >= item.revision);
            if is_known || (held_back.is_none() && self.deletions.may_resurrect(&item)) {
                let entry = self.resurrected.entry(item.key.clone());
                entry.or_insert((item, now));
                return None;
            }
        }
        self.resurrected.remove(&item.key);
        self.set(item)
    }

    /// Sets an item unless it is held at this revision or a later one.
    fn set(&mut self, item: StoreItem) -> Option<MirrorChange> {
        let held = self.items.get_mut(&item.key);
        if held.as_ref().is_some_and(|h| h.revision > item.revision) {
            return None;
        }
        if let Some(held) = held
            && held.is_same(&item)
        {
            held.revision = item.revision;
            if held.missing_until.take().is_some() {
                self.missing.remove(&item.key);
                let hash = item_hash(&item.key, item.revision);
                self.hash = self.hash.wrapping_add(hash);
            }
            return None;
        }
        self.take_out(&item.key);
        let held = HeldItem {
            value: item.value.clone(),
            revision: item.revision,
            missing_until: None,
        };
        let hash = item_hash(&item.key, item.revision);
        self.hash = self.hash.wrapping_add(hash);
        self.items.insert(item.key.clone(), held);
        Some(MirrorChange::Set(item.key, item.value))
    }

    /// Removes an item that was deleted at a revision, or lets it be missing until a moment.
    fn delete(
        &mut self,
        until: Moment,
        key: &str,
        revision: u64,
        health: StoreHealth,
    ) -> Option<MirrorChange> {
        let held = self.items.get_mut(key)?;
        if held.revision > revision {
            return None;
        }
        match health {
            StoreHealth::Returned => {
                if held.missing_until.is_none() {
                    held.missing_until = Some(until);
                    let hash = item_hash(key, held.revision);
                    self.hash = self.hash.wrapping_sub(hash);
                    self.missing.insert(key.to_owned());
                }
                None
            }
            StoreHealth::Steady => {
                self.take_out(key);
                Some(MirrorChange::Removed(key.to_owned()))
            }
        }
    }
}
