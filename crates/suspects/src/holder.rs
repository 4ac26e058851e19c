//! Choice of the one VM that may run the requests with a suspected key.

use onyxfall_types::VmName;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::key::EvidenceKey;

/// The VM of `vms` that may run the requests with a key, by rendezvous hashing: VMs with the same list
/// choose the same holder, and each side of a network partition has one.
///
/// ```
/// use onyxfall_suspects::{PartScope, holder_of};
/// use onyxfall_types::VmName;
/// let key = PartScope::of(&"models".parse().unwrap(), None).key(0x91bd);
/// let vms: Vec<VmName> = ["vm1", "vm2"].map(|name| name.parse().unwrap()).to_vec();
/// let holder = holder_of(key, vms.iter());
/// assert_eq!(holder, holder_of(key, vms.iter().rev()));
/// ```
pub fn holder_of<'a>(
    key: EvidenceKey,
    vms: impl Iterator<Item = &'a VmName>,
) -> Option<&'a VmName> {
    let seed = xxh3_64(key.as_bytes());
    vms.max_by_key(|vm| (xxh3_64_with_seed(vm.as_str().as_bytes(), seed), *vm))
}
