//! The other VMs of this VM's region, with which it shares what a server can take.
//!
//! Cold servers, servers with limits and brittle servers are shared without coordination, by the
//! names of the VMs that send to them. A VM that does not reach a service needs no part of its
//! servers. Invariant: VMs that lose their paths together do not leave each other out, since
//! each of them would then take the whole once it reaches the servers again.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use onyxfall_policy::Moment;
use onyxfall_types::{ServiceName, VmName};

use crate::view::FleetView;

/// Another VM of the region, as it reports itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegionPeer {
    /// Name of the VM.
    pub vm: VmName,
    /// Services whose servers it does not reach.
    pub unreached: Vec<ServiceName>,
}

/// The other VMs of the region.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerTable {
    /// All of them; may include this VM.
    pub(crate) vms: Vec<VmName>,
    /// Those that reach a service, for the services that some do not reach.
    reaching: BTreeMap<ServiceName, Vec<VmName>>,
    /// Whether this VM is known to be the only one of its region.
    pub(crate) is_alone: bool,
}

impl FleetView {
    /// Updates the other VMs of the region with those discovered so far. A VM that has run for
    /// `discovery_time` since [`Moment::ZERO`] usually knows all of them, and a VM whose paths
    /// have been open for that time knows which of the others reach the servers.
    ///
    /// ```
    /// use std::time::Duration;
    /// use onyxfall_fleet::{FleetView, RegionPeer, VmLocation};
    /// # use onyxfall_policy::Moment;
    /// # let (center, region): (onyxfall_types::CenterName, onyxfall_types::RegionName) =
    /// #     ("c1".parse().unwrap(), "r1".parse().unwrap());
    /// # let mut fleet = FleetView::new(VmLocation {
    /// #     vm: "vm1".parse().unwrap(),
    /// #     center: center.clone(),
    /// #     region: region.clone(),
    /// #     centers: [(center, region)].into(),
    /// # });
    /// let peer = RegionPeer { vm: "vm2".parse().unwrap(), unreached: Vec::new() };
    /// fleet.update_region_peers(Moment::ZERO, vec![peer], Duration::from_secs(1));
    /// assert_eq!(fleet.region_vms().len(), 1);
    /// ```
    pub fn update_region_peers(
        &mut self,
        now: Moment,
        peers: Vec<RegionPeer>,
        discovery_time: Duration,
    ) {
        let services: BTreeSet<&ServiceName> =
            peers.iter().flat_map(|peer| &peer.unreached).collect();
        let services = services
            .into_iter()
            .filter(|service| self.is_path_open_for(now, service, discovery_time));
        let reaching = services.map(|service| {
            let others = peers
                .iter()
                .filter(|peer| !peer.unreached.contains(service));
            (
                service.clone(),
                others.map(|peer| peer.vm.clone()).collect(),
            )
        });
        self.peers.reaching = reaching.collect();
        let vms: Vec<VmName> = peers.into_iter().map(|peer| peer.vm).collect();
        self.set_alone(vms.is_empty() && now - Moment::ZERO >= discovery_time);
        self.update_region_vms(now, vms, discovery_time);
    }

    /// The other VMs of the region that send to the servers of a service.
    pub(crate) fn sharing_vms(&self, service: &ServiceName) -> &[VmName] {
        self.peers.reaching.get(service).unwrap_or(&self.peers.vms)
    }

    /// Whether this VM is known to be the only one that sends to the servers of a service.
    pub(crate) fn is_only_sender(&self, service: &ServiceName) -> bool {
        let reaching = self.peers.reaching.get(service);
        self.peers.is_alone || reaching.is_some_and(Vec::is_empty)
    }
}
