//! Selection of the VMs that record the version of a stream.

use std::cmp::Reverse;

use onyxfall_types::{VmName, stable_hash};

use crate::tag::StreamTag;

/// Owners among the VMs of the region. A caller's next VM usually is one of them, and two tolerate
/// the loss of one.
const NEAR_OWNERS: usize = 2;
/// Owners among all VMs, for callers whose region was lost.
const FLEET_OWNERS: usize = 2;

/// The owners of a stream among `vms`, other VMs that are alive, each with whether it is of this
/// region. A VM that does not count itself and one that does not count the first agree on all
/// owners but one.
///
/// ```
/// use onyxfall_streams::{StreamTag, stream_owners};
/// use onyxfall_types::VmName;
/// let vms: Vec<VmName> = ["a", "b", "c"].map(|name| name.parse().unwrap()).into();
/// let owners = stream_owners(StreamTag::of("r1"), vms.iter().map(|vm| (vm, true)));
/// assert_eq!(owners.len(), 2);
/// ```
pub fn stream_owners<'a>(
    tag: StreamTag,
    vms: impl Iterator<Item = (&'a VmName, bool)>,
) -> Vec<&'a VmName> {
    let key = tag.to_string();
    let mut ranked: Vec<(u64, &VmName, bool)> = vms
        .map(|(vm, is_near)| (stable_hash(&["stream", &key, vm.as_str()]), vm, is_near))
        .collect();
    ranked.sort_unstable_by_key(|(rank, vm, _)| (Reverse(*rank), *vm));
    let near = ranked.iter().filter(|(_, _, is_near)| *is_near);
    let mut owners: Vec<&VmName> = near.take(NEAR_OWNERS).map(|(_, vm, _)| *vm).collect();
    for (_, vm, _) in ranked.iter().take(FLEET_OWNERS) {
        if !owners.contains(vm) {
            owners.push(vm);
        }
    }
    owners
}
