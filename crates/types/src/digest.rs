//! A hash that is identical on every VM and in every release.
//!
//! Rendezvous hashing requires all VMs to compute the same values, which rules out
//! the randomly seeded hasher of the standard library.

use xxhash_rust::xxh3::Xxh3;

/// Returns a stable 32-bit tag that replaces `name` in frequent messages: the low half
/// of its [`stable_hash`].
///
/// ```
/// use onyxfall_types::name_tag;
/// assert_eq!(name_tag("s1"), name_tag("s1"));
/// ```
pub fn name_tag(name: &str) -> u32 {
    let [_, _, _, _, a, b, c, d] = stable_hash(&[name]).to_be_bytes();
    u32::from_be_bytes([a, b, c, d])
}

/// Hashes `parts` in order with 64-bit XXH3. Each part is prefixed with its length, so
/// different splits of the same text have different hashes.
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
