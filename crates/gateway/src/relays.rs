//! Selection of the VMs that receive forwarded requests: those of other regions and, for a VM
//! that does not reach servers, those of its own.
//!
//! A new connection to another region costs two round trips before its first response, so
//! a VM uses only a few VMs of each region and prefers those with an open connection.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use onyxfall_clock::BootInstant;
use onyxfall_overlay::{Roster, ServiceSet};
use onyxfall_types::{RegionName, ServiceName, VmName};

use crate::gateway::Gateway;

/// Number of target VMs in each region. If half of them fail at once, two are left.
const TARGETS_PER_REGION: usize = 4;
/// How long a VM that could not be reached is skipped.
const FAILED_BACKOFF: Duration = Duration::from_secs(1);

/// A VM that receives forwarded requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RelayTarget {
    /// Name of the VM.
    pub(crate) vm: VmName,
    /// Address for requests forwarded by other VMs.
    pub(crate) address: SocketAddr,
    /// Services whose servers the VM does not reach.
    unreached: ServiceSet,
}

/// The VMs that this VM forwards requests to.
#[derive(Debug, Default)]
pub(crate) struct RelayTable {
    /// Change count of the roster that the targets were computed from.
    roster_changes: u64,
    targets: BTreeMap<RegionName, Vec<RelayTarget>>,
    failed: BTreeMap<VmName, BootInstant>,
    next_index: usize,
}

impl RelayTable {
    fn refresh(&mut self, roster: &Roster, port: u16) {
        if self.roster_changes == roster.changes() {
            return;
        }
        self.roster_changes = roster.changes();
        self.targets.clear();
        for vm in roster.others() {
            let region = &vm.record.region;
            if !self.targets.contains_key(region) {
                let targets = roster.relay_targets(region, TARGETS_PER_REGION);
                let targets = targets.into_iter().map(|record| RelayTarget {
                    vm: record.name.clone(),
                    address: SocketAddr::new(record.peer_address.ip(), port),
                    unreached: record.status.unreached,
                });
                self.targets.insert(region.clone(), targets.collect());
            }
        }
    }

    /// Targets of a region that reach the servers of a service, have not failed recently and are
    /// not in `tried`.
    fn usable(
        &self,
        region: &RegionName,
        service: &ServiceName,
        tried: &[VmName],
    ) -> Vec<&RelayTarget> {
        let has_failed = |vm: &VmName| {
            let at = self.failed.get(vm);
            at.is_some_and(|at| at.elapsed() < FAILED_BACKOFF)
        };
        let targets = self.targets.get(region).into_iter().flatten();
        targets
            .filter(|target| !tried.contains(&target.vm) && !has_failed(&target.vm))
            .filter(|target| !target.unreached.contains(service))
            .collect()
    }
}

impl Gateway {
    /// Regions that have no usable target for a service left besides `tried`.
    pub(crate) fn unreachable_regions(
        &self,
        service: &ServiceName,
        tried: &[VmName],
    ) -> Vec<RegionName> {
        let relays = self.relays();
        let regions = relays.targets.keys();
        regions
            .filter(|region| relays.usable(region, service, tried).is_empty())
            .cloned()
            .collect()
    }

    /// Selects a VM of a region to forward a request to: round robin over the usable targets,
    /// preferring those with an open connection.
    pub(crate) fn relay_target(
        &self,
        region: &RegionName,
        service: &ServiceName,
        tried: &[VmName],
    ) -> Option<RelayTarget> {
        let mut relays = self.relays();
        relays.next_index = relays.next_index.wrapping_add(1);
        let usable = relays.usable(region, service, tried);
        let open: Vec<&RelayTarget> = usable
            .iter()
            .copied()
            .filter(|target| self.pool.has_idle(target.address))
            .collect();
        let candidates = if open.is_empty() { usable } else { open };
        let index = relays.next_index.checked_rem(candidates.len())?;
        candidates.get(index).map(|target| (*target).clone())
    }

    /// Records that a VM could not be reached.
    pub(crate) fn record_relay_failure(&self, vm: &VmName) {
        let mut relays = self.relays.borrow_mut();
        relays.failed.retain(|_, at| at.elapsed() < FAILED_BACKOFF);
        relays.failed.insert(vm.clone(), BootInstant::now());
    }

    fn relays(&self) -> std::cell::RefMut<'_, RelayTable> {
        let port = self.settings().relay.port();
        let mut relays = RefCell::borrow_mut(&self.relays);
        relays.refresh(self.overlay.borrow().roster(), port);
        relays
    }
}
