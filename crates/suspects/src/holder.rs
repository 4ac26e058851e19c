//! Choice of the one VM that may run a suspected request.

use onyxfall_types::VmName;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::fingerprint::RequestFingerprint;

/// The VM of `vms` that may run a request, by rendezvous hashing: VMs with the same list
/// choose the same holder, and each side of a network partition has one.
///
/// ```
/// use onyxfall_suspects::{FingerprintParts, RequestFingerprint, holder_of};
/// use onyxfall_types::VmName;
/// let fingerprint = RequestFingerprint::of(&FingerprintParts {
///     method: "GET",
///     host: b"a",
///     target: "/",
///     team: None,
///     body: b"",
/// });
/// let vms: Vec<VmName> = ["vm1", "vm2"].map(|name| name.parse().unwrap()).to_vec();
/// let holder = holder_of(fingerprint, vms.iter());
/// assert_eq!(holder, holder_of(fingerprint, vms.iter().rev()));
/// ```
pub fn holder_of<'a>(
    fingerprint: RequestFingerprint,
    vms: impl Iterator<Item = &'a VmName>,
) -> Option<&'a VmName> {
    let seed = xxh3_64(fingerprint.as_bytes());
    vms.max_by_key(|vm| (xxh3_64_with_seed(vm.as_str().as_bytes(), seed), *vm))
}
