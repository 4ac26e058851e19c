//! Which VMs of other regions this VM passes requests to.
//!
//! A connection to another region costs two round trips before its first answer, so a
//! VM keeps to a few VMs of each region and prefers one to which a connection is open.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use onyxfall_clock::BootInstant;
use onyxfall_overlay::Roster;
use onyxfall_types::{RegionName, VmName};

use crate::gateway::Gateway;

/// VMs of each other region that this VM passes requests to: half of them may be lost
/// at once and two are left.
const TARGETS: usize = 4;
/// How long a VM that could not be reached gets nothing.
const FAILED_REST: Duration = Duration::from_secs(1);

/// A VM of another region.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RelayTarget {
    /// Its name.
    pub(crate) vm: VmName,
    /// Where it takes requests of other VMs.
    pub(crate) address: SocketAddr,
}

/// The VMs that this VM passes requests to.
#[derive(Debug, Default)]
pub(crate) struct RelayTable {
    /// Changes of the roster that the targets were worked out from.
    basis: u64,
    targets: BTreeMap<RegionName, Vec<RelayTarget>>,
    failed: BTreeMap<VmName, BootInstant>,
    turn: usize,
}

impl RelayTable {
    fn refresh(&mut self, roster: &Roster, port: u16) {
        if self.basis == roster.changes() {
            return;
        }
        self.basis = roster.changes();
        self.targets.clear();
        let own = &roster.own().region;
        for vm in roster.others().filter(|vm| vm.record.region != *own) {
            let region = &vm.record.region;
            if !self.targets.contains_key(region) {
                let targets = roster.relay_targets(region, TARGETS);
                let targets = targets.into_iter().map(|record| RelayTarget {
                    vm: record.name.clone(),
                    address: SocketAddr::new(record.peer_address.ip(), port),
                });
                self.targets.insert(region.clone(), targets.collect());
            }
        }
    }

    /// The targets of a region that have not failed lately and were not tried.
    fn usable(&self, region: &RegionName, tried: &[VmName]) -> Vec<&RelayTarget> {
        let has_failed = |vm: &VmName| {
            let at = self.failed.get(vm);
            at.is_some_and(|at| at.elapsed() < FAILED_REST)
        };
        let targets = self.targets.get(region).into_iter().flatten();
        targets
            .filter(|target| !tried.contains(&target.vm) && !has_failed(&target.vm))
            .collect()
    }
}

impl Gateway {
    /// Regions of which no VM is left to pass a request to that was with `tried`.
    pub(crate) fn closed_regions(&self, tried: &[VmName]) -> Vec<RegionName> {
        let relays = self.relays();
        let regions = relays.targets.keys();
        regions
            .filter(|region| relays.usable(region, tried).is_empty())
            .cloned()
            .collect()
    }

    /// The VM of a region that a request is passed to: one with an open connection, in
    /// turn.
    pub(crate) fn relay_target(
        &self,
        region: &RegionName,
        tried: &[VmName],
    ) -> Option<RelayTarget> {
        let mut relays = self.relays();
        relays.turn = relays.turn.wrapping_add(1);
        let usable = relays.usable(region, tried);
        let open: Vec<&RelayTarget> = usable
            .iter()
            .copied()
            .filter(|target| self.pool.has_idle(target.address))
            .collect();
        let choice = if open.is_empty() { usable } else { open };
        let index = relays.turn.checked_rem(choice.len())?;
        choice.get(index).map(|target| (*target).clone())
    }

    /// Notes that a VM could not be reached.
    pub(crate) fn note_relay_failed(&self, vm: &VmName) {
        let mut relays = self.relays.borrow_mut();
        relays.failed.retain(|_, at| at.elapsed() < FAILED_REST);
        relays.failed.insert(vm.clone(), BootInstant::now());
    }

    fn relays(&self) -> std::cell::RefMut<'_, RelayTable> {
        let port = self.settings().relay.port();
        let mut relays = RefCell::borrow_mut(&self.relays);
        relays.refresh(self.overlay.borrow().roster(), port);
        relays
    }
}
