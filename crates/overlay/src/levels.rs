//! Which VMs are aggregators, and which of them a VM reports to.
//!
//! Worked out from what a VM sees, without a word to anybody: VMs with the same view
//! agree. Large VMs go first, since an aggregator of 50 VMs handles some 650 frames a
//! second; among equals hashing decides.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use onyxfall_types::{CenterName, RegionName, VmName, stable_hash};

use crate::record::VmRecord;
use crate::roster::Roster;

/// Largest region whose VMs all tell each other. Every VM hears everybody without a
/// detour, and eight VMs tell each other each 60 ms with 117 frames a second and VM.
pub const MESH_VMS: usize = 8;
/// VMs of a data centre for which there are two aggregators; with more, there are two
/// more for each such number.
pub const GROUP_VMS: usize = 64;
/// Aggregators of a group: one may be lost.
const GROUP_AGGREGATORS: usize = 2;
/// Aggregators of another region that tell an aggregator of their VMs: one may be lost
/// at once, or two while regions are few.
const FAR_TELLERS: std::ops::RangeInclusive<usize> = 2..=3;
/// Tellers over all regions that one more is given up for: at 44 regions an aggregator
/// takes 215 frames a second from other regions.
const ALL_FAR_TELLERS: usize = 24;

/// The two aggregators that a VM reports to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct MemberAggregators<'a> {
    /// The one that counts its work.
    pub(crate) primary: &'a VmRecord,
    /// The one that takes over.
    pub(crate) standby: Option<&'a VmRecord>,
}

/// The aggregators of every region, worked out from one view of the fleet.
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
    /// The VMs that may have duties: alive and not stopping, this one included; with
    /// the order of each for the duty of an aggregator.
    fn staying(&self) -> impl Iterator<Item = (u64, &VmRecord)> {
        let own = (!self.own().status.is_leaving).then_some((self.own_order(), self.own()));
        self.others()
            .filter(|vm| vm.is_staying())
            .map(|vm| (vm.order(), &vm.record))
            .chain(own)
    }

    /// Works out the aggregators of every region.
    pub fn levels(&self) -> FleetLevels<'_> {
        let mut vms: Vec<(u64, &VmRecord)> = self.staying().collect();
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

    /// The aggregators that this VM reports to; none if there are none of its data
    /// centre.
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

    /// Aggregators of other regions that this one, an aggregator, tells of its region.
    pub(crate) fn far_listeners<'a>(&self, levels: &FleetLevels<'a>) -> Vec<&'a VmRecord> {
        let own = self.own();
        let tellers = levels.region(&own.region);
        let count = ALL_FAR_TELLERS / levels.regions.len().max(1);
        let count = count.clamp(*FAR_TELLERS.start(), *FAR_TELLERS.end());
        levels
            .regions()
            .filter(|(region, _)| **region != own.region)
            .flat_map(|(_, listeners)| listeners)
            .copied()
            .filter(|listener| tells(tellers, own, listener, count))
            .collect()
    }

    /// The VMs of `tier` in the order in which they hold a duty: by hashing, one of
    /// each data centre first.
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

    /// VMs of another region to which this VM passes requests: those that rank first
    /// for it among the ready ones, so that all VMs spread over all and connections
    /// are used again.
    pub fn relay_targets(&self, region: &RegionName, count: usize) -> Vec<&VmRecord> {
        let own = self.own();
        let mut ranked: Vec<&VmRecord> = self
            .others()
            .filter(|vm| vm.is_staying() && vm.record.status.is_ready)
            .map(|vm| &vm.record)
            .filter(|vm| vm.region == *region)
            .collect();
        let order = |vm: &VmRecord| stable_hash(&["relay", own.name.as_str(), vm.name.as_str()]);
        ranked.sort_by_cached_key(|vm| Reverse(order(vm)));
        ranked.truncate(count);
        ranked
    }
}

/// The aggregators of a region: its VMs by data centre, the first of each first.
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

/// Order of a VM for the duty of an aggregator among those as large as it.
pub(crate) fn aggregator_order(name: &VmName) -> u64 {
    stable_hash(&["aggregate", name.as_str()])
}

/// Whether `own` is among the first `count` of its region's aggregators for `listener`.
fn tells(tellers: &[&VmRecord], own: &VmRecord, listener: &VmRecord, count: usize) -> bool {
    let order = |vm: &VmRecord| stable_hash(&["tell", listener.name.as_str(), vm.name.as_str()]);
    let mine = order(own);
    let before = tellers
        .iter()
        .filter(|vm| vm.name != own.name && order(vm) > mine)
        .count();
    before < count
}
