//! A hash that is the same on every VM and in every release.
//!
//! Rendezvous choices are only useful when all VMs compute the same values, so
//! the standard library's seeded hasher cannot serve here.

use xxhash_rust::xxh3::Xxh3;

/// Hashes `parts` in order (XXH3, 64 bits); the boundary between parts counts.
///
/// ```
/// use onyxfall_types::stable_hash;
/// assert_eq!(stable_hash(&["a", "b"]), stable_hash(&["a", "b"]));
/// assert_ne!(stable_hash(&["ab", ""]), stable_hash(&["a", "b"]));
/// ```
pub fn stable_hash(parts: &[&str]) -> u64 {
    let mut hasher = Xxh3::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    hasher.digest()
}
