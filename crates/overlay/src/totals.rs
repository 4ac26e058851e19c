//! Work at servers, summed over VMs.
//!
//! A member tells its own work to one aggregator. The aggregator adds up what its
//! members told, tells other aggregators of the region that sum, and each member the
//! sum of everything but the member's own part. Sums are kept up to date by
//! differences, so that a message costs work by what it names and not by servers
//! times VMs.
//!
//! Invariant: the sums are those over the origins that count, each once.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use onyxfall_fleet::WorkShare;
use onyxfall_policy::Moment;
use onyxfall_types::{VmName, name_tag};

/// Age at which what another VM told of its work counts no longer.
const WORK_LIFE: Duration = Duration::from_millis(1300);
/// How long a server without work is remembered, so that every link tells that it has
/// none; a link that tells less often is broken.
const EMPTY_LIFE: Duration = Duration::from_secs(10);
/// Bound on each figure of what one VM tells of one server; beyond, an entry is absurd
/// and left out. A sum over a million VMs does not overflow.
const MOST_REQUESTS: u32 = 4_000;
const MOST_TOKENS: u64 = 1 << 40;
/// A flow that changed by less than this part of it is no news by itself.
const FLOW_STEP: u64 = 8;

/// Short name of a server in messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerTag(pub u32);

impl ServerTag {
    /// The tag of a server's name.
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
    /// The work there.
    pub share: WorkShare,
}

/// Work at servers: whole at first, then what has changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WorkWord {
    /// Whether servers that are not named have none.
    pub is_whole: bool,
    /// The servers whose work is told.
    pub entries: Vec<WorkEntry>,
}

/// Whose work a message of another VM tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkOrigin {
    /// Its own; it reports to this VM.
    Member,
    /// That of others: of an aggregator's members, or of all.
    Aggregator,
}

/// Which sum a message tells.
#[derive(Clone, Copy, Debug)]
pub enum WorkView<'a> {
    /// This VM's own work.
    Own,
    /// That of this VM and of those that report to it.
    Partial,
    /// Everybody's but one VM's.
    AllBut(&'a VmName),
}

/// What was told in one direction of a link: the last change that was looked at.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkTold(Option<u64>);

/// Sums at one server.
#[derive(Clone, Copy, Debug, Default)]
struct ServerSums {
    own: WorkShare,
    members: WorkShare,
    aggregators: WorkShare,
    /// Last change of `own`, of `own` or `members`, and of any.
    own_changed: u64,
    partial_changed: u64,
    changed: u64,
    /// When it was first seen without any work.
    empty_since: Option<Moment>,
}

#[derive(Clone, Debug)]
struct OriginShares {
    origin: WorkOrigin,
    /// Whether it is part of the sums.
    counts: bool,
    heard: Moment,
    shares: HashMap<ServerTag, WorkShare>,
}

/// Work at the servers of a region, as told by other VMs.
#[derive(Clone, Debug, Default)]
pub struct WorkTotals {
    clock: u64,
    servers: BTreeMap<ServerTag, ServerSums>,
    origins: BTreeMap<VmName, OriginShares>,
    /// Servers whose sums over others have changed since they were last asked for.
    news: Vec<ServerTag>,
}

impl WorkTotals {
    /// Sets this VM's own work; servers that are not named have none.
    pub fn set_own(&mut self, work: impl IntoIterator<Item = WorkEntry>) {
        let mut now: HashMap<ServerTag, WorkShare> =
            work.into_iter().map(|e| (e.server, e.share)).collect();
        let clock = self.clock + 1;
        for (tag, sums) in &mut self.servers {
            let share = now.remove(tag).unwrap_or_default();
            if is_news(sums.own, share) {
                self.clock = clock;
                sums.own = share;
                sums.own_changed = clock;
                sums.partial_changed = clock;
                sums.changed = clock;
            }
        }
        for (tag, share) in now {
            if share != WorkShare::default() {
                self.clock = clock;
                let sums = self.servers.entry(tag).or_default();
                sums.own = share;
                sums.own_changed = clock;
                sums.partial_changed = clock;
                sums.changed = clock;
            }
        }
    }

    /// Takes what another VM tells; the number of absurd entries that were left out.
    /// Work that does not `count` is kept for later.
    pub fn take(
        &mut self,
        now: Moment,
        from: &VmName,
        origin: WorkOrigin,
        counts: bool,
        word: &WorkWord,
    ) -> usize {
        let is_other = |held: &OriginShares| held.origin != origin || held.counts != counts;
        if self.origins.get(from).is_some_and(is_other) {
            self.turn(from, origin, counts);
        }
        let held = self
            .origins
            .entry(from.clone())
            .or_insert_with(|| OriginShares {
                origin,
                counts,
                heard: now,
                shares: HashMap::new(),
            });
        held.heard = now;
        let mut changes: Vec<(ServerTag, WorkShare, WorkShare)> = Vec::new();
        let mut absurd = 0;
        let mut unnamed = if word.is_whole {
            std::mem::take(&mut held.shares)
        } else {
            HashMap::new()
        };
        for entry in &word.entries {
            if !is_sensible(&entry.share) {
                absurd += 1;
                continue;
            }
            let whole = unnamed.remove(&entry.server);
            let before = held.shares.remove(&entry.server).or(whole);
            if entry.share != WorkShare::default() {
                held.shares.insert(entry.server, entry.share);
            }
            changes.push((entry.server, before.unwrap_or_default(), entry.share));
        }
        let none = WorkShare::default();
        changes.extend(unnamed.into_iter().map(|(tag, before)| (tag, before, none)));
        if counts {
            for (tag, before, after) in changes {
                self.change(tag, origin, before, after);
            }
        }
        absurd
    }

    /// Notes that a VM was heard that has told nothing new.
    pub fn hear(&mut self, now: Moment, from: &VmName) {
        if let Some(held) = self.origins.get_mut(from) {
            held.heard = now;
        }
    }

    /// Whether what a VM told is part of the sums.
    pub fn counts(&self, from: &VmName) -> bool {
        self.origins.get(from).is_some_and(|held| held.counts)
    }

    /// Sets whether what a VM told is part of the sums.
    pub fn set_counts(&mut self, from: &VmName, counts: bool) {
        if let Some(origin) = self.origins.get(from).map(|held| held.origin) {
            self.turn(from, origin, counts);
        }
    }

    /// Forgets what a VM told.
    pub fn remove(&mut self, from: &VmName) {
        self.set_counts(from, false);
        self.origins.remove(from);
    }

    /// Forgets those that have told nothing for long.
    pub fn expire(&mut self, now: Moment) {
        let silent: Vec<VmName> = self
            .origins
            .iter()
            .filter(|(_, held)| now - held.heard >= WORK_LIFE)
            .map(|(name, _)| name.clone())
            .collect();
        for name in silent {
            self.remove(&name);
        }
        self.servers.retain(|_, sums| {
            if !sums.is_empty() {
                sums.empty_since = None;
                return true;
            }
            now - *sums.empty_since.get_or_insert(now) < EMPTY_LIFE
        });
    }

    /// What VMs told of their own work.
    pub fn members(&self) -> impl Iterator<Item = &VmName> {
        self.origins
            .iter()
            .filter(|(_, held)| held.origin == WorkOrigin::Member)
            .map(|(name, _)| name)
    }

    /// Aggregators but `from` whose word is part of the sums.
    pub(crate) fn counted_aggregators(&self, from: &VmName) -> Vec<VmName> {
        self.origins
            .iter()
            .filter(|(name, held)| {
                held.counts && held.origin == WorkOrigin::Aggregator && *name != from
            })
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Other VMs' work at a server.
    pub fn others(&self, server: ServerTag) -> WorkShare {
        self.servers
            .get(&server)
            .map_or(WorkShare::default(), |sums| {
                sums.members.plus(sums.aggregators)
            })
    }

    /// Servers at which other VMs' work has changed since this was last asked.
    pub fn take_news(&mut self) -> Vec<ServerTag> {
        let mut news = std::mem::take(&mut self.news);
        news.sort_unstable();
        news.dedup();
        news
    }

    /// What to tell on a link, after what was told before.
    pub fn tell(&self, view: WorkView<'_>, told: &mut WorkTold) -> WorkWord {
        let before = told.0;
        told.0 = Some(self.clock);
        let but = match view {
            WorkView::AllBut(vm) => self.origins.get(vm).filter(|held| held.counts),
            WorkView::Own | WorkView::Partial => None,
        };
        let mut entries = Vec::new();
        for (tag, sums) in &self.servers {
            let (share, changed) = match view {
                WorkView::Own => (sums.own, sums.own_changed),
                WorkView::Partial => (sums.own.plus(sums.members), sums.partial_changed),
                WorkView::AllBut(_) => {
                    let all = sums.own.plus(sums.members).plus(sums.aggregators);
                    let part = but.and_then(|held| held.shares.get(tag));
                    (all.without(part.copied().unwrap_or_default()), sums.changed)
                }
            };
            let is_told = match before {
                None => share != WorkShare::default(),
                Some(before) => changed > before,
            };
            if is_told {
                entries.push(WorkEntry {
                    server: *tag,
                    share,
                });
            }
        }
        WorkWord {
            is_whole: before.is_none(),
            entries,
        }
    }

    /// Changes what a VM's word is, or whether it counts.
    fn turn(&mut self, from: &VmName, origin: WorkOrigin, counts: bool) {
        let Some(mut held) = self.origins.remove(from) else {
            return;
        };
        let none = WorkShare::default();
        for (tag, share) in &held.shares {
            if held.counts {
                self.change(*tag, held.origin, *share, none);
            }
            if counts {
                self.change(*tag, origin, none, *share);
            }
        }
        held.origin = origin;
        held.counts = counts;
        self.origins.insert(from.clone(), held);
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
            WorkOrigin::Aggregator => &mut sums.aggregators,
        };
        *sum = sum.without(before).plus(after);
        sums.changed = self.clock;
        self.news.push(tag);
    }
}

impl ServerSums {
    fn is_empty(&self) -> bool {
        let none = WorkShare::default();
        self.own == none && self.members == none && self.aggregators == none
    }
}

fn is_sensible(share: &WorkShare) -> bool {
    share.requests <= MOST_REQUESTS
        && share.unread.total() <= MOST_TOKENS
        && share.memory <= MOST_TOKENS
        && share.flow <= MOST_TOKENS
}

/// Whether a change of a VM's own work is worth telling: flow changes all the time.
fn is_news(before: WorkShare, after: WorkShare) -> bool {
    let same_but_flow = WorkShare {
        flow: before.flow,
        ..after
    };
    let step = before.flow / FLOW_STEP;
    same_but_flow != before
        || before.flow.abs_diff(after.flow) > step
        || (after.flow == 0) != (before.flow == 0)
}
