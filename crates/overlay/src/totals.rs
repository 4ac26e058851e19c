//! Work at servers, summed over VMs.
//!
//! A member sends its own work to one aggregator. The aggregator sums the work of its
//! members, sends that sum to the other aggregators of the region, and sends each member
//! the total without the member's own part. Sums are updated by differences, so that
//! processing a message costs time by its entries and not by servers times VMs.
//!
//! Invariant: each sum contains every counted origin exactly once.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use onyxfall_fleet::WorkShare;
use onyxfall_policy::Moment;
use onyxfall_types::{VmName, name_tag};

/// Time after which the work received from another VM is excluded from the sums.
const WORK_LIFETIME: Duration = Duration::from_millis(1300);
/// Time after which the work received from another VM is dropped. Until then a VM that was
/// paused can continue with differences to it.
const EVICT_AFTER: Duration = Duration::from_mins(2);
/// Time for which a server without work is kept, so that every link sends its empty entry. A
/// link that sends less often than this has failed.
const EMPTY_LIFETIME: Duration = Duration::from_secs(10);
/// Upper bounds for each figure that one VM reports of one server. Entries beyond them are
/// rejected as implausible. With these bounds a sum over a million VMs does not overflow.
const MAX_REQUESTS: u32 = 4_000;
const MAX_TOKENS: u64 = 1 << 40;
/// A change of flow alone is sent only if it exceeds the flow divided by this number.
const FLOW_CHANGE_DIVISOR: u64 = 8;

/// Short name of a server in messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerTag(pub u32);

impl ServerTag {
    /// Computes the tag of a server's name.
    ///
    /// ```
    /// use onyxfall_overlay::ServerTag;
    /// assert_eq!(ServerTag::of("i-1"), ServerTag::of("i-1"));
    /// assert_ne!(ServerTag::of("i-1"), ServerTag::of("i-2"));
    /// ```
    pub fn of(name: &str) -> Self {
        Self(name_tag(name))
    }
}

/// Work at one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkEntry {
    /// The server.
    pub server: ServerTag,
    /// Work at the server.
    pub share: WorkShare,
}

/// Update of the work at servers: a complete one first, then differences.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WorkUpdate {
    /// Whether servers that are not listed have no work.
    pub is_whole: bool,
    /// Work of the listed servers.
    pub entries: Vec<WorkEntry>,
}

/// Whose work a message from another VM contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WorkOrigin {
    /// That of the sender, which reports to this VM.
    Member,
    /// That of the sender and of its members.
    Partial,
    /// That of every VM except this one.
    Digest,
}

/// Whether the work of an origin is part of the sums.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OriginState {
    /// Included in the sums.
    Counted,
    /// Excluded, since another origin covers the same work.
    Superseded,
    /// Excluded while its VM is unresponsive; included again with the next message.
    Unresponsive,
}

/// Result of applying a message.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReceivedWork {
    /// Number of implausible entries that were rejected.
    pub implausible: usize,
    /// Whether a message that this one builds on is missing, so that a complete update must
    /// be sent.
    pub is_cut: bool,
}

/// Selects the sum that a message contains.
#[derive(Clone, Copy, Debug)]
pub enum WorkView<'a> {
    /// This VM's own work.
    Own,
    /// Work of this VM and of its members.
    Partial,
    /// Work of all VMs except one.
    AllBut(&'a VmName),
}

/// Send position in one direction of a link: the last change that was included.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkCursor(Option<u64>);

impl WorkCursor {
    /// Whether a change was already included.
    fn has_seen(self, change: u64) -> bool {
        self.0.is_some_and(|seen| seen >= change)
    }
}

/// Sums at one server.
#[derive(Clone, Copy, Debug, Default)]
struct ServerSums {
    own: WorkShare,
    members: WorkShare,
    aggregators: WorkShare,
    /// Last change of `own`.
    own_changed: u64,
    /// Last change of `own` or `members`.
    partial_changed: u64,
    /// Last change of any of the sums.
    changed: u64,
    /// When the server was first found without any work.
    empty_since: Option<Moment>,
}

#[derive(Clone, Debug)]
struct OriginShares {
    state: OriginState,
    received: Moment,
    shares: HashMap<ServerTag, WorkShare>,
}

/// Work at the servers of a region, from this VM and as received from others.
#[derive(Clone, Debug, Default)]
pub struct WorkTotals {
    clock: u64,
    /// Last change of this VM's own work.
    own_clock: u64,
    servers: BTreeMap<ServerTag, ServerSums>,
    origins: BTreeMap<(VmName, WorkOrigin), OriginShares>,
    /// Servers at which other VMs' work changed since the last [`WorkTotals::take_changes`].
    changed_servers: Vec<ServerTag>,
}

impl WorkTotals {
    /// Sets this VM's own work; servers that are not listed have none.
    pub fn set_own(&mut self, work: impl IntoIterator<Item = WorkEntry>) {
        let mut now: HashMap<ServerTag, WorkShare> =
            work.into_iter().map(|e| (e.server, e.share)).collect();
        let clock = self.clock + 1;
        let mut is_changed = false;
        for (tag, sums) in &mut self.servers {
            let share = now.remove(tag).unwrap_or_default();
            if is_significant(sums.own, share) {
                sums.set_own(clock, share);
                is_changed = true;
            }
        }
        for (tag, share) in now {
            if share != WorkShare::default() {
                self.servers.entry(tag).or_default().set_own(clock, share);
                is_changed = true;
            }
        }
        if is_changed {
            self.clock = clock;
            self.own_clock = clock;
        }
    }

    /// Applies the work received from another VM.
    pub fn apply(
        &mut self,
        now: Moment,
        from: &VmName,
        origin: WorkOrigin,
        update: &WorkUpdate,
    ) -> ReceivedWork {
        let key = (from.clone(), origin);
        if !update.is_whole && !self.origins.contains_key(&key) {
            return ReceivedWork {
                implausible: 0,
                is_cut: true,
            };
        }
        self.resume(&key);
        let stored = self.origins.entry(key).or_insert_with(|| OriginShares {
            state: OriginState::Counted,
            received: now,
            shares: HashMap::new(),
        });
        stored.received = now;
        let is_counted = stored.state == OriginState::Counted;
        let mut unnamed = if update.is_whole {
            std::mem::take(&mut stored.shares)
        } else {
            HashMap::new()
        };
        let none = WorkShare::default();
        let mut implausible = 0;
        let mut changes: Vec<(ServerTag, WorkShare, WorkShare)> = Vec::new();
        for entry in &update.entries {
            if !is_plausible(&entry.share) {
                implausible += 1;
                continue;
            }
            let whole = unnamed.remove(&entry.server);
            let before = stored.shares.remove(&entry.server).or(whole);
            if entry.share != none {
                stored.shares.insert(entry.server, entry.share);
            }
            changes.push((entry.server, before.unwrap_or(none), entry.share));
        }
        changes.extend(unnamed.into_iter().map(|(tag, before)| (tag, before, none)));
        if is_counted {
            for (tag, before, after) in changes {
                self.change(tag, origin, before, after);
            }
        }
        ReceivedWork {
            implausible,
            is_cut: false,
        }
    }

    /// Applies a digest from an aggregator that this VM reports to. The digest of a new
    /// aggregator may lack members, so it counts only once it `is_warm`; until then the
    /// digest of the previous aggregator counts, if there is one.
    pub fn apply_digest(
        &mut self,
        now: Moment,
        from: &VmName,
        is_warm: bool,
        update: &WorkUpdate,
    ) -> ReceivedWork {
        let received = self.apply(now, from, WorkOrigin::Digest, update);
        let mut others = self.counted_digests();
        others.retain(|(name, _)| name != from);
        let own = (from.clone(), WorkOrigin::Digest);
        if is_warm || others.is_empty() {
            for other in others {
                self.set_state(&other, OriginState::Superseded);
            }
            self.set_state(&own, OriginState::Counted);
        } else {
            self.set_state(&own, OriginState::Superseded);
        }
        received
    }

    /// Excludes digests from the sums, since this VM is an aggregator and receives the parts.
    pub fn exclude_digests(&mut self) {
        for key in self.counted_digests() {
            self.set_state(&key, OriginState::Superseded);
        }
    }

    fn counted_digests(&self) -> Vec<(VmName, WorkOrigin)> {
        let digests = self.origins.iter().filter(|((_, origin), stored)| {
            *origin == WorkOrigin::Digest && stored.state == OriginState::Counted
        });
        digests.map(|(key, _)| key.clone()).collect()
    }

    /// Removes the work received from a VM as one origin, since that origin no longer applies.
    pub fn remove(&mut self, from: &VmName, origin: WorkOrigin) {
        let key = (from.clone(), origin);
        self.set_state(&key, OriginState::Superseded);
        self.origins.remove(&key);
    }

    /// Excludes origins without recent messages from the sums, and later drops them.
    pub fn expire(&mut self, now: Moment) {
        let unresponsive: Vec<(VmName, WorkOrigin)> = self
            .origins
            .iter()
            .filter(|(_, stored)| now - stored.received >= WORK_LIFETIME)
            .map(|(key, _)| key.clone())
            .collect();
        for key in unresponsive {
            self.set_state(&key, OriginState::Unresponsive);
        }
        self.origins
            .retain(|_, stored| now - stored.received < EVICT_AFTER);
        self.servers.retain(|_, sums| {
            if !sums.is_empty() {
                sums.empty_since = None;
                return true;
            }
            now - *sums.empty_since.get_or_insert(now) < EMPTY_LIFETIME
        });
    }

    /// VMs that currently report their work to this one.
    pub fn members(&self) -> impl Iterator<Item = &VmName> {
        self.origins
            .iter()
            .filter(|((_, origin), stored)| {
                *origin == WorkOrigin::Member && stored.state == OriginState::Counted
            })
            .map(|((name, _), _)| name)
    }

    /// Work of other VMs at a server.
    pub fn others(&self, server: ServerTag) -> WorkShare {
        self.servers
            .get(&server)
            .map_or(WorkShare::default(), |sums| {
                sums.members.plus(sums.aggregators)
            })
    }

    /// Returns and clears the servers at which other VMs' work changed since the last call.
    pub fn take_changes(&mut self) -> Vec<ServerTag> {
        let mut changed = std::mem::take(&mut self.changed_servers);
        changed.sort_unstable();
        changed.dedup();
        changed
    }

    /// Builds the update of a sum that follows the state already sent on a link.
    pub fn next_update(&self, view: WorkView<'_>, cursor: &mut WorkCursor) -> WorkUpdate {
        let before = cursor.0;
        cursor.0 = Some(self.clock);
        let excluded = match view {
            WorkView::AllBut(vm) => self.origins.get(&(vm.clone(), WorkOrigin::Member)),
            WorkView::Own | WorkView::Partial => None,
        };
        let excluded = excluded.filter(|stored| stored.state == OriginState::Counted);
        let mut entries = Vec::new();
        for (tag, sums) in &self.servers {
            let (share, changed) = match view {
                WorkView::Own => (sums.own, sums.own_changed),
                WorkView::Partial => (sums.own.plus(sums.members), sums.partial_changed),
                WorkView::AllBut(_) => {
                    let all = sums.own.plus(sums.members).plus(sums.aggregators);
                    let part = excluded.and_then(|stored| stored.shares.get(tag));
                    (all.without(part.copied().unwrap_or_default()), sums.changed)
                }
            };
            let is_included = match before {
                None => share != WorkShare::default(),
                Some(before) => changed > before,
            };
            if is_included {
                entries.push(WorkEntry {
                    server: *tag,
                    share,
                });
            }
        }
        WorkUpdate {
            is_whole: before.is_none(),
            entries,
        }
    }

    /// Whether this VM's own work has changed since the last update on a link.
    pub(crate) fn has_own_changes(&self, cursor: WorkCursor) -> bool {
        !cursor.has_seen(self.own_clock)
    }

    /// Whether the work of any VM has changed since the last update on a link.
    pub(crate) fn has_changes(&self, cursor: WorkCursor) -> bool {
        !cursor.has_seen(self.clock)
    }

    /// Includes the work of a VM again that was unresponsive.
    fn resume(&mut self, key: &(VmName, WorkOrigin)) {
        let state = self.origins.get(key).map(|stored| stored.state);
        if state == Some(OriginState::Unresponsive) {
            self.set_state(key, OriginState::Counted);
        }
    }

    /// Sets the state of an origin and includes or excludes its work accordingly.
    fn set_state(&mut self, key: &(VmName, WorkOrigin), state: OriginState) {
        let Some(stored) = self.origins.get_mut(key) else {
            return;
        };
        let was_counted = stored.state == OriginState::Counted;
        stored.state = state;
        if was_counted == (state == OriginState::Counted) {
            return;
        }
        let none = WorkShare::default();
        let shares: Vec<(ServerTag, WorkShare)> = stored
            .shares
            .iter()
            .map(|(tag, share)| (*tag, *share))
            .collect();
        for (tag, share) in shares {
            if was_counted {
                self.change(tag, key.1, share, none);
            } else {
                self.change(tag, key.1, none, share);
            }
        }
    }

    fn change(&mut self, tag: ServerTag, origin: WorkOrigin, before: WorkShare, after: WorkShare) {
        if before == after {
            return;
        }
        self.clock += 1;
        let sums = self.servers.entry(tag).or_default();
        let sum = match origin {
            WorkOrigin::Member => {
                sums.partial_changed = self.clock;
                &mut sums.members
            }
            WorkOrigin::Partial | WorkOrigin::Digest => &mut sums.aggregators,
        };
        *sum = sum.without(before).plus(after);
        sums.changed = self.clock;
        self.changed_servers.push(tag);
    }
}

impl ServerSums {
    fn set_own(&mut self, clock: u64, share: WorkShare) {
        self.own = share;
        self.own_changed = clock;
        self.partial_changed = clock;
        self.changed = clock;
    }

    fn is_empty(&self) -> bool {
        let none = WorkShare::default();
        self.own == none && self.members == none && self.aggregators == none
    }
}

fn is_plausible(share: &WorkShare) -> bool {
    share.requests <= MAX_REQUESTS
        && share.votes.good.max(share.votes.bad) <= MAX_REQUESTS
        && share.prefill.total() <= MAX_TOKENS
        && share.memory <= MAX_TOKENS
        && share.flow <= MAX_TOKENS
        && share.limits.vms <= MAX_REQUESTS
        && share.limits.thousandths <= MAX_TOKENS
        && share.paces.vms <= MAX_REQUESTS
        && share.paces.percent <= MAX_TOKENS
}

/// Whether a change of a VM's own work should be sent. Flow changes constantly, so a change of
/// flow alone must exceed a fraction of it.
fn is_significant(before: WorkShare, after: WorkShare) -> bool {
    let with_same_flow = WorkShare {
        flow: before.flow,
        ..after
    };
    let step = before.flow / FLOW_CHANGE_DIVISOR;
    with_same_flow != before
        || before.flow.abs_diff(after.flow) > step
        || (after.flow == 0) != (before.flow == 0)
}
