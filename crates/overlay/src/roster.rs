//! Every VM of the fleet as this VM knows it.
//!
//! Records come by any way and the newest version stands. Whether a VM lives is a
//! matter of evidence: it is heard here, or an aggregator names it in a word that is
//! still fresh (see [`Evidence`]).
//!
//! Invariant: of one VM, an older record never replaces a newer one.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use onyxfall_policy::Moment;
use onyxfall_types::VmName;

use crate::evidence::{Evidence, UpdateScope};
use crate::levels::aggregator_order;
use crate::record::{VmRecord, VmStatus};
use crate::word::RosterUpdate;

/// When silence counts.
#[derive(Clone, Copy, Debug)]
pub struct RosterTiming {
    /// Silence after which a VM is not taken for alive, and an aggregator's word counts
    /// no longer.
    pub unresponsive_after: Duration,
    /// Age up to which an aggregator's word on the whole fleet counts: longer, so that
    /// its members still know each other when it has died, and find the next one.
    pub fleet_update_lifetime: Duration,
    /// Silence after which a VM is forgotten. Until then it counts where limits are
    /// shared, and is looked for.
    pub forget_after: Duration,
}

/// A VM as known here.
#[derive(Clone, Debug)]
pub struct KnownVm {
    /// What it says of itself.
    pub record: VmRecord,
    /// Best evidence that it lives.
    pub evidence: Evidence,
    /// When this VM last heard it itself.
    heard: Option<Moment>,
    /// Since when this VM expects to hear it, as an aggregator that it reports to.
    expected: Option<Moment>,
    /// When it failed to be heard as expected; earlier words on it do not count.
    muted: Option<Moment>,
    /// Last moment with any evidence.
    seen: Moment,
    /// Its order for the duty of an aggregator.
    order: u64,
}

impl KnownVm {
    /// Whether it lives, as far as known.
    pub fn is_alive(&self) -> bool {
        self.evidence > Evidence::None
    }

    pub(crate) fn order(&self) -> u64 {
        self.order
    }

    /// Whether it lives and is not stopping.
    pub fn is_staying(&self) -> bool {
        self.is_alive() && !self.record.status.is_leaving
    }
}

/// A word of another VM that counts while it is fresh.
#[derive(Clone, Debug)]
struct HeardWord {
    heard: Moment,
    /// Whether it counted when this was last looked at.
    was_fresh: bool,
    /// Whether this VM no longer reports to the one that told it.
    is_ended: bool,
    names: BTreeSet<VmName>,
}

impl HeardWord {
    /// Whether it counts.
    fn is_fresh(&self, now: Moment, scope: UpdateScope, timing: RosterTiming) -> bool {
        let life = match scope {
            UpdateScope::Fleet if !self.is_ended => timing.fleet_update_lifetime,
            _ => timing.unresponsive_after,
        };
        now - self.heard < life
    }
}

/// The VMs of the fleet.
#[derive(Clone, Debug)]
pub struct Roster {
    own: VmRecord,
    own_order: u64,
    timing: RosterTiming,
    vms: BTreeMap<VmName, KnownVm>,
    words: BTreeMap<(VmName, UpdateScope), HeardWord>,
    /// Grows with each change of a record or of evidence.
    changes: u64,
    /// VMs that have come to life or fallen silent since this was last asked for.
    news: Vec<VmName>,
}

impl Roster {
    /// A roster that knows only this VM.
    pub fn new(own: VmRecord, timing: RosterTiming) -> Self {
        Self {
            own_order: aggregator_order(&own.name),
            own,
            timing,
            vms: BTreeMap::new(),
            words: BTreeMap::new(),
            changes: 1,
            news: Vec::new(),
        }
    }

    /// What this VM says of itself.
    pub fn own(&self) -> &VmRecord {
        &self.own
    }

    pub(crate) fn own_order(&self) -> u64 {
        self.own_order
    }

    /// Sets what changes in this VM's life; whether it is news.
    pub fn set_status(&mut self, status: VmStatus) -> bool {
        if self.own.status == status {
            return false;
        }
        self.own.status = status;
        self.own.version.change += 1;
        self.changes += 1;
        true
    }

    /// Every other VM, by name.
    pub fn others(&self) -> impl Iterator<Item = &KnownVm> {
        self.vms.values()
    }

    /// Another VM by name.
    pub fn get(&self, name: &VmName) -> Option<&KnownVm> {
        self.vms.get(name)
    }

    /// Whether a record is of this VM's region.
    pub fn is_near(&self, record: &VmRecord) -> bool {
        record.region == self.own.region
    }

    /// A number that grows with each change of a record or of evidence.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// VMs that have come to life or fallen silent since this was last asked.
    pub fn take_changes(&mut self) -> Vec<VmName> {
        std::mem::take(&mut self.news)
    }

    /// Notes that a VM was heard, and what it says of itself.
    pub fn hear(&mut self, now: Moment, record: &VmRecord) {
        self.take_record(now, record);
        if let Some(known) = self.vms.get_mut(&record.name) {
            known.heard = Some(now);
            self.weigh(now, &record.name);
        }
    }

    /// Notes that a VM which said before who it is was heard once more.
    pub fn hear_again(&mut self, now: Moment, name: &VmName) {
        if let Some(known) = self.vms.get_mut(name) {
            known.heard = Some(now);
            if known.evidence < Evidence::Direct {
                self.weigh(now, name);
            }
        }
    }

    /// Notes that a VM stands by its last word of a scope; false if there is none. Its
    /// words of other scopes grow old: it may have told them on a link that is gone.
    pub fn hear_word_again(&mut self, now: Moment, from: &VmName, scope: UpdateScope) -> bool {
        let Some(word) = self.words.get_mut(&(from.clone(), scope)) else {
            return false;
        };
        let was_fresh = word.is_fresh(now, scope, self.timing);
        word.heard = now;
        word.was_fresh = true;
        word.is_ended = false;
        if !was_fresh {
            let names = word.names.clone();
            for name in &names {
                self.weigh(now, name);
            }
        }
        true
    }

    /// Sets the VMs that this VM expects to hear: the aggregators that it reports to.
    /// One that stays silent is dead to this VM, whatever earlier words say.
    pub(crate) fn expect(&mut self, now: Moment, names: &[&VmName]) {
        for (name, vm) in &mut self.vms {
            if names.contains(&name) {
                vm.expected.get_or_insert(now);
            } else {
                vm.expected = None;
            }
        }
        for ((teller, scope), word) in &mut self.words {
            word.is_ended |= *scope == UpdateScope::Fleet && !names.contains(&teller);
        }
    }

    /// Takes a word of another VM on who lives; false if it follows one that is not
    /// known here, so that the whole must be told again.
    pub fn take_word(&mut self, now: Moment, from: &VmName, word: &RosterUpdate) -> bool {
        let Some(teller) = self.vms.get(from) else {
            return false;
        };
        let region = teller.record.region.clone();
        let is_meant = |record: &VmRecord| !word.scope.is_regional() || record.region == region;
        let key = (from.clone(), word.scope);
        if word.is_whole {
            let none = HeardWord {
                heard: now,
                was_fresh: true,
                is_ended: false,
                names: BTreeSet::new(),
            };
            self.words.entry(key.clone()).or_insert(none);
        } else if !self.hear_word_again(now, from, word.scope) {
            return false;
        }
        let Some(held) = self.words.get_mut(&key) else {
            return false;
        };
        held.heard = now;
        held.is_ended = false;
        let mut weighed: BTreeSet<VmName> = word.gone.iter().cloned().collect();
        if word.is_whole {
            weighed.append(&mut held.names);
        }
        for name in &word.gone {
            held.names.remove(name);
        }
        for record in word.records.iter().filter(|record| is_meant(record)) {
            held.names.insert(record.name.clone());
            weighed.insert(record.name.clone());
        }
        for record in &word.records {
            self.take_record(now, record);
        }
        for name in weighed {
            self.weigh(now, &name);
        }
        true
    }

    /// Forgets a VM's word of a scope.
    pub fn drop_word(&mut self, now: Moment, from: &VmName, scope: UpdateScope) {
        if let Some(word) = self.words.remove(&(from.clone(), scope)) {
            for name in &word.names {
                self.weigh(now, name);
            }
        }
    }

    /// Lets silence count. Looks only at VMs whose evidence may have grown too old.
    pub fn tick(&mut self, now: Moment) {
        let timing = self.timing;
        let mut weighed: BTreeSet<VmName> = BTreeSet::new();
        for ((_, scope), word) in &mut self.words {
            let is_fresh = word.is_fresh(now, *scope, timing);
            if word.was_fresh && !is_fresh {
                weighed.extend(word.names.iter().cloned());
            }
            word.was_fresh = is_fresh;
        }
        for (name, vm) in &mut self.vms {
            let is_silent = vm
                .heard
                .is_none_or(|at| now - at >= timing.unresponsive_after);
            let is_missed = vm
                .expected
                .is_some_and(|since| now - since >= timing.unresponsive_after);
            if is_silent && is_missed {
                vm.muted = Some(now);
            }
            if is_silent && (is_missed || vm.evidence == Evidence::Direct) {
                weighed.insert(name.clone());
            }
        }
        for name in weighed {
            self.weigh(now, &name);
        }
        // A VM that was paused goes on from its last word, so that is kept.
        self.words
            .retain(|_, word| now - word.heard < timing.forget_after);
        let before = self.vms.len();
        self.vms
            .retain(|_, vm| vm.is_alive() || now - vm.seen < timing.forget_after);
        if self.vms.len() != before {
            self.changes += 1;
        }
    }

    /// VMs that a word of a scope names, this one included.
    pub(crate) fn named_in(&self, scope: UpdateScope) -> impl Iterator<Item = &VmRecord> {
        let least = scope.least_evidence();
        let others = self
            .vms
            .values()
            .filter(move |vm| vm.evidence >= least)
            .filter(move |vm| !scope.is_regional() || self.is_near(&vm.record))
            .map(|vm| &vm.record);
        others.chain([&self.own])
    }

    /// Takes a record if it is newer than the one held.
    fn take_record(&mut self, now: Moment, record: &VmRecord) {
        if record.name == self.own.name {
            self.take_own(record);
            return;
        }
        match self.vms.get_mut(&record.name) {
            Some(known) if known.record.version >= record.version => {}
            Some(known) => {
                known.record = record.clone();
                self.changes += 1;
            }
            None => {
                let known = KnownVm {
                    record: record.clone(),
                    evidence: Evidence::None,
                    heard: None,
                    expected: None,
                    muted: None,
                    seen: now,
                    order: aggregator_order(&record.name),
                };
                self.vms.insert(record.name.clone(), known);
                self.changes += 1;
            }
        }
    }

    /// A record of this VM's name from a later life than its own: the clock went back
    /// between two lives, and a later one still is taken.
    fn take_own(&mut self, record: &VmRecord) {
        if record.version.incarnation > self.own.version.incarnation {
            self.own.version.incarnation = record.version.incarnation.next();
            self.changes += 1;
        }
    }

    /// Works out the evidence for a VM.
    fn weigh(&mut self, now: Moment, name: &VmName) {
        let timing = self.timing;
        let own_region = self.own.region.clone();
        let Some(known) = self.vms.get(name) else {
            return;
        };
        let is_heard = |at: Moment| now - at < timing.unresponsive_after;
        let evidence = if known.heard.is_some_and(is_heard) {
            Evidence::Direct
        } else {
            let counts = |scope: UpdateScope, word: &HeardWord| {
                word.is_fresh(now, scope, timing)
                    && known.muted.is_none_or(|muted| word.heard > muted)
            };
            let is_near = known.record.region == own_region;
            self.words
                .iter()
                .filter(|((_, scope), word)| counts(*scope, word) && word.names.contains(name))
                .map(|((_, scope), _)| scope.evidence(is_near))
                .max()
                .unwrap_or_default()
        };
        let Some(known) = self.vms.get_mut(name) else {
            return;
        };
        if evidence > Evidence::None || known.is_alive() {
            known.seen = now;
        }
        if known.evidence != evidence {
            let was_alive = known.is_alive();
            known.evidence = evidence;
            self.changes += 1;
            if known.is_alive() != was_alive {
                self.news.push(name.clone());
            }
        }
    }
}
