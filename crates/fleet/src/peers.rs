//! The other VMs of this VM's region, with which it shares what a server can take.
//!
//! Cold servers, servers with limits and brittle servers are shared without coordination, by the
//! names of the VMs that send to them.

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

impl FleetView {
    /// Updates the other VMs of the region with those discovered so far. A VM that has run for
    /// `discovery_time` since [`Moment::ZERO`] usually knows all of them.
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
        let sharing = peers.into_iter().filter(|peer| peer.unreached.is_empty());
        let vms: Vec<VmName> = sharing.map(|peer| peer.vm).collect();
        self.set_alone(vms.is_empty() && now - Moment::ZERO >= discovery_time);
        self.update_region_vms(now, vms, discovery_time);
    }
}
