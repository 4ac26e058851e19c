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
/// Age at which it is forgotten. Until then a VM that was paused goes on from it.
const FORGET_AFTER: Duration = Duration::from_mins(2);
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
pub struct WorkUpdate {
    /// Whether servers that are not named have none.
    pub is_whole: bool,
    /// The servers whose work is told.
    pub entries: Vec<WorkEntry>,
}

/// Whose work a message of another VM tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WorkOrigin {
    /// Its own; it reports to this VM.
    Member,
    /// Its own and that of those that report to it.
    Partial,
    /// That of every VM but this one.
    Digest,
}

/// Whether what a VM told is part of the sums.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OriginState {
    /// It is.
    Counted,
    /// Another VM's word stands for the same work.
    Aside,
    /// Its VM has been silent; should it go on, so does the sum.
    Silent,
}

/// What became of a message.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReceivedWork {
    /// Absurd entries that were left out.
    pub absurd: usize,
    /// It follows a message that is not known here, so that the whole must be told
    /// again.
    pub is_cut: bool,
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
pub struct WorkCursor(Option<u64>);

impl WorkCursor {
    /// Whether a change was looked at.
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
    /// Last change of `own`, of `own` or `members`, and of any.
    own_changed: u64,
    partial_changed: u64,
    changed: u64,
    /// When it was first seen without any work.
    empty_since: Option<Moment>,
}

#[derive(Clone, Debug)]
struct OriginShares {
    state: OriginState,
    heard: Moment,
    shares: HashMap<ServerTag, WorkShare>,
}

/// Work at the servers of a region, as told by other VMs.
#[derive(Clone, Debug, Default)]
pub struct WorkTotals {
    clock: u64,
    /// Last change of this VM's own work.
    own_clock: u64,
    servers: BTreeMap<ServerTag, ServerSums>,
    origins: BTreeMap<(VmName, WorkOrigin), OriginShares>,
    /// Servers whose sums over others have changed since they were last asked for.
    news: Vec<ServerTag>,
}

impl WorkTotals {
    /// Sets this VM's own work; servers that are not named have none.
    pub fn set_own(&mut self, work: impl IntoIterator<Item = WorkEntry>) {
        let mut now: HashMap<ServerTag, WorkShare> =
            work.into_iter().map(|e| (e.server, e.share)).collect();
        let clock = self.clock + 1;
        let mut is_changed = false;
        for (tag, sums) in &mut self.servers {
            let share = now.remove(tag).unwrap_or_default();
            if is_news(sums.own, share) {
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

    /// Takes what another VM tells.
    pub fn take(
        &mut self,
        now: Moment,
        from: &VmName,
        origin: WorkOrigin,
        word: &WorkUpdate,
    ) -> ReceivedWork {
        let key = (from.clone(), origin);
        if !word.is_whole && !self.origins.contains_key(&key) {
            return ReceivedWork {
                absurd: 0,
                is_cut: true,
            };
        }
        self.wake(&key);
        let held = self.origins.entry(key).or_insert_with(|| OriginShares {
            state: OriginState::Counted,
            heard: now,
            shares: HashMap::new(),
        });
        held.heard = now;
        let is_counted = held.state == OriginState::Counted;
        let mut unnamed = if word.is_whole {
            std::mem::take(&mut held.shares)
        } else {
            HashMap::new()
        };
        let none = WorkShare::default();
        let mut absurd = 0;
        let mut changes: Vec<(ServerTag, WorkShare, WorkShare)> = Vec::new();
        for entry in &word.entries {
            if !is_sensible(&entry.share) {
                absurd += 1;
                continue;
            }
            let whole = unnamed.remove(&entry.server);
            let before = held.shares.remove(&entry.server).or(whole);
            if entry.share != none {
                held.shares.insert(entry.server, entry.share);
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
            absurd,
            is_cut: false,
        }
    }

    /// Takes the sum over all VMs from an aggregator that this VM reports to. One that
    /// has just become an aggregator may lack members: its word counts when it `is_warm`,
    /// and until then the word of the one before it does.
    pub fn take_digest(
        &mut self,
        now: Moment,
        from: &VmName,
        is_warm: bool,
        word: &WorkUpdate,
    ) -> ReceivedWork {
        let taken = self.take(now, from, WorkOrigin::Digest, word);
        let mut others = self.counted_digests();
        others.retain(|(name, _)| name != from);
        let own = (from.clone(), WorkOrigin::Digest);
        if is_warm || others.is_empty() {
            for other in others {
                self.turn(&other, OriginState::Aside);
            }
            self.turn(&own, OriginState::Counted);
        } else {
            self.turn(&own, OriginState::Aside);
        }
        taken
    }

    /// Leaves digests out of the sums: this VM is an aggregator and has the parts.
    pub fn drop_digests(&mut self) {
        for key in self.counted_digests() {
            self.turn(&key, OriginState::Aside);
        }
    }

    fn counted_digests(&self) -> Vec<(VmName, WorkOrigin)> {
        let digests = self.origins.iter().filter(|((_, origin), held)| {
            *origin == WorkOrigin::Digest && held.state == OriginState::Counted
        });
        digests.map(|(key, _)| key.clone()).collect()
    }

    /// Forgets what a VM told in one way: it tells its work in another one now.
    pub fn remove(&mut self, from: &VmName, origin: WorkOrigin) {
        let key = (from.clone(), origin);
        self.turn(&key, OriginState::Aside);
        self.origins.remove(&key);
    }

    /// Leaves those out of the sums that have told nothing for long, and forgets them
    /// after that.
    pub fn expire(&mut self, now: Moment) {
        let silent: Vec<(VmName, WorkOrigin)> = self
            .origins
            .iter()
            .filter(|(_, held)| now - held.heard >= WORK_LIFE)
            .map(|(key, _)| key.clone())
            .collect();
        for key in silent {
            self.turn(&key, OriginState::Silent);
        }
        self.origins
            .retain(|_, held| now - held.heard < FORGET_AFTER);
        self.servers.retain(|_, sums| {
            if !sums.is_empty() {
                sums.empty_since = None;
                return true;
            }
            now - *sums.empty_since.get_or_insert(now) < EMPTY_LIFE
        });
    }

    /// VMs that report their work to this one.
    pub fn members(&self) -> impl Iterator<Item = &VmName> {
        self.origins
            .iter()
            .filter(|((_, origin), held)| {
                *origin == WorkOrigin::Member && held.state == OriginState::Counted
            })
            .map(|((name, _), _)| name)
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
    pub fn take_changes(&mut self) -> Vec<ServerTag> {
        let mut news = std::mem::take(&mut self.news);
        news.sort_unstable();
        news.dedup();
        news
    }

    /// What to tell on a link, after what was told before.
    pub fn tell(&self, view: WorkView<'_>, told: &mut WorkCursor) -> WorkUpdate {
        let before = told.0;
        told.0 = Some(self.clock);
        let but = match view {
            WorkView::AllBut(vm) => self.origins.get(&(vm.clone(), WorkOrigin::Member)),
            WorkView::Own | WorkView::Partial => None,
        };
        let but = but.filter(|held| held.state == OriginState::Counted);
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
        WorkUpdate {
            is_whole: before.is_none(),
            entries,
        }
    }

    /// Whether this VM's own work has changed since it was told on a link.
    pub(crate) fn has_own_news(&self, told: WorkCursor) -> bool {
        !told.has_seen(self.own_clock)
    }

    /// Whether anybody's work has.
    pub(crate) fn has_changes(&self, told: WorkCursor) -> bool {
        !told.has_seen(self.clock)
    }

    /// A VM that was silent goes on.
    fn wake(&mut self, key: &(VmName, WorkOrigin)) {
        let state = self.origins.get(key).map(|held| held.state);
        if state == Some(OriginState::Silent) {
            self.turn(key, OriginState::Counted);
        }
    }

    /// Changes whether what a VM told is part of the sums.
    fn turn(&mut self, key: &(VmName, WorkOrigin), state: OriginState) {
        let Some(held) = self.origins.get_mut(key) else {
            return;
        };
        let was_counted = held.state == OriginState::Counted;
        held.state = state;
        if was_counted == (state == OriginState::Counted) {
            return;
        }
        let none = WorkShare::default();
        let shares: Vec<(ServerTag, WorkShare)> = held
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
        self.news.push(tag);
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

fn is_sensible(share: &WorkShare) -> bool {
    share.requests <= MOST_REQUESTS
        && share.votes.good.max(share.votes.bad) <= MOST_REQUESTS
        && share.unread.total() <= MOST_TOKENS
        && share.memory <= MOST_TOKENS
        && share.flow <= MOST_TOKENS
        && share.limits.vms <= MOST_REQUESTS
        && share.limits.thousandths <= MOST_TOKENS
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
