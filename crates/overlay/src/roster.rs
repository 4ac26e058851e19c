//! This VM's view of every VM of the fleet.
//!
//! Records may arrive by any path; the newest version is kept. A VM counts as alive on
//! evidence: messages from it arrive here, or a recent update of an aggregator lists it
//! (see [`Evidence`]).
//!
//! Invariant: an older record of a VM never replaces a newer one.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use onyxfall_policy::Moment;
use onyxfall_types::VmName;

use crate::evidence::{Evidence, UpdateScope};
use crate::levels::aggregator_order;
use crate::record::{VmRecord, VmStatus};
use crate::update::RosterUpdate;

/// Timeouts of the roster.
#[derive(Clone, Copy, Debug)]
pub struct RosterTiming {
    /// Time without messages after which a VM no longer counts as alive, and after which an
    /// aggregator's update expires.
    pub unresponsive_after: Duration,
    /// Time after which an aggregator's update on the whole fleet expires. It is longer than
    /// `unresponsive_after` so that the members of a dead aggregator still know each other
    /// and find the next one.
    pub fleet_update_lifetime: Duration,
    /// Time without evidence after which a VM is evicted. Until then it counts where limits
    /// are shared, and is probed.
    pub forget_after: Duration,
}

/// Local view of another VM.
#[derive(Clone, Debug)]
pub struct KnownVm {
    /// Newest record of the VM.
    pub record: VmRecord,
    /// Best evidence that the VM is alive.
    pub evidence: Evidence,
    /// When this VM last received a message from it.
    received: Option<Moment>,
    /// Since when this VM expects messages from it, as an aggregator that it reports to.
    expected: Option<Moment>,
    /// When expected messages were last missing; earlier updates that list it do not count.
    missed: Option<Moment>,
    /// Last moment at which there was any evidence.
    last_evidence: Moment,
    /// Hash rank for the duty of an aggregator.
    order: u64,
}

impl KnownVm {
    /// Whether there is any evidence that the VM is alive.
    pub fn is_alive(&self) -> bool {
        self.evidence > Evidence::None
    }

    pub(crate) fn order(&self) -> u64 {
        self.order
    }

    /// Whether the VM is alive and not shutting down.
    pub fn is_staying(&self) -> bool {
        self.is_alive() && !self.record.status.is_leaving
    }
}

/// State of the roster updates of one scope from another VM; it counts until it expires.
#[derive(Clone, Debug)]
struct ReceivedUpdate {
    received: Moment,
    /// Whether the update was fresh at the last check.
    was_fresh: bool,
    /// Whether this VM no longer reports to the sender.
    is_former: bool,
    names: BTreeSet<VmName>,
}

impl ReceivedUpdate {
    /// Whether the update has not expired.
    fn is_fresh(&self, now: Moment, scope: UpdateScope, timing: RosterTiming) -> bool {
        let lifetime = match scope {
            UpdateScope::Fleet if !self.is_former => timing.fleet_update_lifetime,
            _ => timing.unresponsive_after,
        };
        now - self.received < lifetime
    }
}

/// Known VMs of the fleet and the evidence for each.
#[derive(Clone, Debug)]
pub struct Roster {
    own: VmRecord,
    own_order: u64,
    timing: RosterTiming,
    vms: BTreeMap<VmName, KnownVm>,
    updates: BTreeMap<(VmName, UpdateScope), ReceivedUpdate>,
    /// Counter of changes of records and of evidence.
    changes: u64,
    /// VMs that became alive or unresponsive since the last [`Roster::take_changes`].
    changed_vms: Vec<VmName>,
}

impl Roster {
    /// Creates a roster that contains only this VM.
    pub fn new(own: VmRecord, timing: RosterTiming) -> Self {
        Self {
            own_order: aggregator_order(&own.name),
            own,
            timing,
            vms: BTreeMap::new(),
            updates: BTreeMap::new(),
            changes: 1,
            changed_vms: Vec::new(),
        }
    }

    /// This VM's own record.
    pub fn own(&self) -> &VmRecord {
        &self.own
    }

    pub(crate) fn own_order(&self) -> u64 {
        self.own_order
    }

    /// Sets this VM's status and returns whether it changed.
    pub fn set_status(&mut self, status: VmStatus) -> bool {
        if self.own.status == status {
            return false;
        }
        self.own.status = status;
        self.own.version.change += 1;
        self.changes += 1;
        true
    }

    /// Every other known VM, ordered by name.
    pub fn others(&self) -> impl Iterator<Item = &KnownVm> {
        self.vms.values()
    }

    /// Looks up another VM by name.
    pub fn get(&self, name: &VmName) -> Option<&KnownVm> {
        self.vms.get(name)
    }

    /// Whether a record belongs to a VM of this VM's region.
    pub fn is_near(&self, record: &VmRecord) -> bool {
        record.region == self.own.region
    }

    /// Counter that grows with each change of a record or of evidence.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Returns and clears the VMs that became alive or unresponsive since the last call.
    pub fn take_changes(&mut self) -> Vec<VmName> {
        std::mem::take(&mut self.changed_vms)
    }

    /// Records a message from a VM that carries its record.
    pub fn receive(&mut self, now: Moment, record: &VmRecord) {
        self.apply_record(now, record);
        if let Some(known) = self.vms.get_mut(&record.name) {
            known.received = Some(now);
            self.update_evidence(now, &record.name);
        }
    }

    /// Records a message without a record from a VM that sent its record earlier.
    pub fn renew(&mut self, now: Moment, name: &VmName) {
        if let Some(known) = self.vms.get_mut(name) {
            known.received = Some(now);
            if known.evidence < Evidence::Direct {
                self.update_evidence(now, name);
            }
        }
    }

    /// Renews the last update of a VM for a scope; false if there is none. Its updates of
    /// other scopes keep ageing, since they may have been sent on a link that is closed.
    pub fn renew_update(&mut self, now: Moment, from: &VmName, scope: UpdateScope) -> bool {
        let Some(update) = self.updates.get_mut(&(from.clone(), scope)) else {
            return false;
        };
        let was_fresh = update.is_fresh(now, scope, self.timing);
        update.received = now;
        update.was_fresh = true;
        update.is_former = false;
        if !was_fresh {
            let names = update.names.clone();
            for name in &names {
                self.update_evidence(now, name);
            }
        }
        true
    }

    /// Sets the VMs from which this VM expects messages: the aggregators that it reports to.
    /// One that stays unresponsive is treated as dead whatever earlier updates list.
    pub(crate) fn expect(&mut self, now: Moment, names: &[&VmName]) {
        for (name, vm) in &mut self.vms {
            if names.contains(&name) {
                vm.expected.get_or_insert(now);
            } else {
                vm.expected = None;
            }
        }
        for ((sender, scope), update) in &mut self.updates {
            update.is_former |= *scope == UpdateScope::Fleet && !names.contains(&sender);
        }
    }

    /// Applies a roster update of another VM. Returns false if the sender is unknown or an
    /// update that this one builds on is missing, so that a complete one must be sent.
    pub fn apply_update(&mut self, now: Moment, from: &VmName, update: &RosterUpdate) -> bool {
        let Some(sender) = self.vms.get(from) else {
            return false;
        };
        let region = sender.record.region.clone();
        let is_in_scope =
            |record: &VmRecord| !update.scope.is_regional() || record.region == region;
        let key = (from.clone(), update.scope);
        if update.is_whole {
            let none = ReceivedUpdate {
                received: now,
                was_fresh: true,
                is_former: false,
                names: BTreeSet::new(),
            };
            self.updates.entry(key.clone()).or_insert(none);
        } else if !self.renew_update(now, from, update.scope) {
            return false;
        }
        let Some(stored) = self.updates.get_mut(&key) else {
            return false;
        };
        stored.received = now;
        stored.is_former = false;
        let mut affected: BTreeSet<VmName> = update.gone.iter().cloned().collect();
        if update.is_whole {
            affected.append(&mut stored.names);
        }
        for name in &update.gone {
            stored.names.remove(name);
        }
        for record in update.records.iter().filter(|record| is_in_scope(record)) {
            stored.names.insert(record.name.clone());
            affected.insert(record.name.clone());
        }
        for record in &update.records {
            self.apply_record(now, record);
        }
        for name in affected {
            self.update_evidence(now, &name);
        }
        true
    }

    /// Drops the updates of a VM for a scope.
    pub fn drop_update(&mut self, now: Moment, from: &VmName, scope: UpdateScope) {
        if let Some(update) = self.updates.remove(&(from.clone(), scope)) {
            for name in &update.names {
                self.update_evidence(now, name);
            }
        }
    }

    /// Expires evidence and evicts VMs. Re-evaluates only VMs whose evidence may be too old.
    pub fn tick(&mut self, now: Moment) {
        let timing = self.timing;
        let mut affected: BTreeSet<VmName> = BTreeSet::new();
        for ((_, scope), update) in &mut self.updates {
            let is_fresh = update.is_fresh(now, *scope, timing);
            if update.was_fresh && !is_fresh {
                affected.extend(update.names.iter().cloned());
            }
            update.was_fresh = is_fresh;
        }
        for (name, vm) in &mut self.vms {
            let is_unresponsive = vm
                .received
                .is_none_or(|at| now - at >= timing.unresponsive_after);
            let is_overdue = vm
                .expected
                .is_some_and(|since| now - since >= timing.unresponsive_after);
            if is_unresponsive && is_overdue {
                vm.missed = Some(now);
            }
            if is_unresponsive && (is_overdue || vm.evidence == Evidence::Direct) {
                affected.insert(name.clone());
            }
        }
        for name in affected {
            self.update_evidence(now, &name);
        }
        // Expired updates are kept, since a paused VM continues with differences to them.
        self.updates
            .retain(|_, update| now - update.received < timing.forget_after);
        let before = self.vms.len();
        self.vms
            .retain(|_, vm| vm.is_alive() || now - vm.last_evidence < timing.forget_after);
        if self.vms.len() != before {
            self.changes += 1;
        }
    }

    /// VMs that an update of a scope lists, this one included.
    pub(crate) fn listed_in(&self, scope: UpdateScope) -> impl Iterator<Item = &VmRecord> {
        let least = scope.least_evidence();
        let others = self
            .vms
            .values()
            .filter(move |vm| vm.evidence >= least)
            .filter(move |vm| !scope.is_regional() || self.is_near(&vm.record))
            .map(|vm| &vm.record);
        others.chain([&self.own])
    }

    /// Stores a record if it is newer than the known one.
    fn apply_record(&mut self, now: Moment, record: &VmRecord) {
        if record.name == self.own.name {
            self.apply_own_record(record);
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
                    received: None,
                    expected: None,
                    missed: None,
                    last_evidence: now,
                    order: aggregator_order(&record.name),
                };
                self.vms.insert(record.name.clone(), known);
                self.changes += 1;
            }
        }
    }

    /// Handles a record under this VM's own name. If its incarnation is later than the
    /// current one, the clock went back between two incarnations, and this VM moves to a
    /// later incarnation still.
    fn apply_own_record(&mut self, record: &VmRecord) {
        if record.version.incarnation > self.own.version.incarnation {
            self.own.version.incarnation = record.version.incarnation.next();
            self.changes += 1;
        }
    }

    /// Recomputes the evidence for a VM.
    fn update_evidence(&mut self, now: Moment, name: &VmName) {
        let timing = self.timing;
        let own_region = self.own.region.clone();
        let Some(known) = self.vms.get(name) else {
            return;
        };
        let is_recent = |at: Moment| now - at < timing.unresponsive_after;
        let evidence = if known.received.is_some_and(is_recent) {
            Evidence::Direct
        } else {
            let counts = |scope: UpdateScope, update: &ReceivedUpdate| {
                update.is_fresh(now, scope, timing)
                    && known.missed.is_none_or(|missed| update.received > missed)
            };
            let is_near = known.record.region == own_region;
            self.updates
                .iter()
                .filter(|((_, scope), update)| {
                    counts(*scope, update) && update.names.contains(name)
                })
                .map(|((_, scope), _)| scope.evidence(is_near))
                .max()
                .unwrap_or_default()
        };
        let Some(known) = self.vms.get_mut(name) else {
            return;
        };
        if evidence > Evidence::None || known.is_alive() {
            known.last_evidence = now;
        }
        if known.evidence != evidence {
            let was_alive = known.is_alive();
            known.evidence = evidence;
            self.changes += 1;
            if known.is_alive() != was_alive {
                self.changed_vms.push(name.clone());
            }
        }
    }
}
