//! Selection of the aggregators, and of those that a VM reports to.
//!
//! Each VM computes the selection from its own view without exchanging messages, so VMs
//! with the same view agree. Large VMs are selected first, since an aggregator of 50 VMs
//! handles about 650 frames a second; among VMs of equal size a hash decides.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use onyxfall_types::{CenterName, RegionName, VmName, stable_hash};

use crate::record::VmRecord;
use crate::roster::Roster;

/// Largest region that is a full mesh. Every VM receives directly from all others there;
/// eight VMs that send every 60 ms cost 117 frames a second per VM.
pub const MESH_VMS: usize = 8;
/// VMs of a data centre per pair of aggregators; each further group of this size, or part
/// of one, gets another pair.
pub const GROUP_VMS: usize = 64;
/// Aggregators per group. Two tolerate the loss of one.
const GROUP_AGGREGATORS: usize = 2;
/// Number of aggregators of another region that send their VMs to one aggregator. Two
/// tolerate the loss of one; three, used while regions are few, that of two.
const REMOTE_SOURCES: std::ops::RangeInclusive<usize> = 2..=3;
/// Target for the number of sources over all regions, which reduces the number per region:
/// at 44 regions an aggregator receives 215 frames a second from other regions.
const TARGET_REMOTE_SOURCES: usize = 24;

/// The two aggregators that a VM reports to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct MemberAggregators<'a> {
    /// The aggregator that counts the work of the VM.
    pub(crate) primary: &'a VmRecord,
    /// The aggregator that takes over when the primary fails.
    pub(crate) standby: Option<&'a VmRecord>,
}

/// The aggregators of every region, computed from one view of the fleet.
#[derive(Clone, Debug)]
pub struct FleetLevels<'a> {
    regions: BTreeMap<&'a RegionName, Vec<&'a VmRecord>>,
}

impl<'a> FleetLevels<'a> {
    /// The aggregators of a region.
    pub fn region(&self, region: &RegionName) -> &[&'a VmRecord] {
        self.regions.get(region).map_or(&[], Vec::as_slice)
    }

    /// Every region with its aggregators.
    pub(crate) fn regions(&self) -> impl Iterator<Item = (&'a RegionName, &[&'a VmRecord])> {
        self.regions
            .iter()
            .map(|(region, vms)| (*region, vms.as_slice()))
    }
}

impl Roster {
    /// VMs that may have duties: those alive and not shutting down, this one included. Each
    /// comes with its hash rank for the duty of an aggregator.
    fn eligible_vms(&self) -> impl Iterator<Item = (u64, &VmRecord)> {
        let own = (!self.own().status.is_leaving).then_some((self.own_order(), self.own()));
        self.others()
            .filter(|vm| vm.is_staying())
            .map(|vm| (vm.order(), &vm.record))
            .chain(own)
    }

    /// Computes the aggregators of every region.
    pub fn levels(&self) -> FleetLevels<'_> {
        let mut vms: Vec<(u64, &VmRecord)> = self.eligible_vms().collect();
        vms.sort_unstable_by(|(a_order, a), (b_order, b)| {
            let place = (&a.region, &a.center).cmp(&(&b.region, &b.center));
            let rank = (b.capacity, b_order).cmp(&(a.capacity, a_order));
            place.then(rank)
        });
        let groups = vms.chunk_by(|(_, a), (_, b)| a.region == b.region);
        let regions = groups.map(|vms| (&vms[0].1.region, aggregators(vms)));
        FleetLevels {
            regions: regions.collect(),
        }
    }

    /// The aggregators that this VM reports to; none if its data centre has no other
    /// aggregator.
    pub(crate) fn member_aggregators<'a>(
        &self,
        levels: &FleetLevels<'a>,
    ) -> Option<MemberAggregators<'a>> {
        let own = self.own();
        let mut ranked: Vec<&VmRecord> = levels
            .region(&own.region)
            .iter()
            .copied()
            .filter(|vm| vm.center == own.center && vm.name != own.name)
            .collect();
        let order = |vm: &VmRecord| stable_hash(&["report", own.name.as_str(), vm.name.as_str()]);
        ranked.sort_by_cached_key(|vm| Reverse(order(vm)));
        let mut ranked = ranked.into_iter();
        Some(MemberAggregators {
            primary: ranked.next()?,
            standby: ranked.next(),
        })
    }

    /// Aggregators of other regions to which this VM, an aggregator, sends the VMs of its
    /// region.
    pub(crate) fn remote_receivers<'a>(&self, levels: &FleetLevels<'a>) -> Vec<&'a VmRecord> {
        let own = self.own();
        let sources = levels.region(&own.region);
        let count = TARGET_REMOTE_SOURCES / levels.regions.len().max(1);
        let count = count.clamp(*REMOTE_SOURCES.start(), *REMOTE_SOURCES.end());
        levels
            .regions()
            .filter(|(region, _)| **region != own.region)
            .flat_map(|(_, receivers)| receivers)
            .copied()
            .filter(|receiver| sends_to(sources, own, receiver, count))
            .collect()
    }

    /// Ranks the VMs of `tier` for a duty by hash, with one VM of each data centre first.
    pub fn duty_order<'a>(&self, duty: &str, tier: &[&'a VmRecord]) -> Vec<&'a VmName> {
        let order = |vm: &VmRecord| Reverse(stable_hash(&[duty, vm.name.as_str()]));
        let mut ranked: Vec<&VmRecord> = tier.to_vec();
        ranked.sort_by_cached_key(|vm| order(vm));
        let mut seen: Vec<&CenterName> = Vec::new();
        let mut first = Vec::new();
        let mut rest = Vec::new();
        for vm in ranked {
            if seen.contains(&&vm.center) {
                rest.push(&vm.name);
            } else {
                seen.push(&vm.center);
                first.push(&vm.name);
            }
        }
        first.append(&mut rest);
        first
    }

    /// VMs of a region to which this VM forwards requests: the first `count` ready ones, those
    /// that reach all servers and those of its own data centre first, by a hash that includes
    /// this VM's name. This spreads the senders over all targets and lets each sender reuse its
    /// connections.
    pub fn relay_targets(&self, region: &RegionName, count: usize) -> Vec<&VmRecord> {
        let own = self.own();
        let mut ranked: Vec<&VmRecord> = self
            .others()
            .filter(|vm| vm.is_staying() && vm.record.status.is_ready)
            .map(|vm| &vm.record)
            .filter(|vm| vm.region == *region)
            .collect();
        let order = |vm: &VmRecord| stable_hash(&["relay", own.name.as_str(), vm.name.as_str()]);
        ranked.sort_by_cached_key(|vm| {
            let is_partitioned = !vm.status.unreached.is_empty();
            (is_partitioned, vm.center != own.center, Reverse(order(vm)))
        });
        ranked.truncate(count);
        ranked
    }
}

/// Selects the aggregators of a region from its VMs, which are grouped by data centre and
/// ranked within each.
fn aggregators<'a>(vms: &[(u64, &'a VmRecord)]) -> Vec<&'a VmRecord> {
    if vms.len() <= MESH_VMS {
        return vms.iter().map(|(_, vm)| *vm).collect();
    }
    let centers = vms.chunk_by(|(_, a), (_, b)| a.center == b.center);
    centers
        .flat_map(|center| {
            let count = GROUP_AGGREGATORS * center.len().div_ceil(GROUP_VMS);
            center.iter().take(count).map(|(_, vm)| *vm)
        })
        .collect()
}

/// Hash rank of a VM for the duty of an aggregator among VMs of equal capacity.
pub(crate) fn aggregator_order(name: &VmName) -> u64 {
    stable_hash(&["aggregate", name.as_str()])
}

/// Whether `own` is among the first `count` of its region's aggregators that send to
/// `receiver`.
fn sends_to(sources: &[&VmRecord], own: &VmRecord, receiver: &VmRecord, count: usize) -> bool {
    let order = |vm: &VmRecord| stable_hash(&["tell", receiver.name.as_str(), vm.name.as_str()]);
    let own_order = order(own);
    let higher_ranked = sources
        .iter()
        .filter(|vm| vm.name != own.name && order(vm) > own_order)
        .count();
    higher_ranked < count
}
