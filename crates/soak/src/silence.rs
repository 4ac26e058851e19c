//! Draws short silences of the store near changes.
//!
//! A silent store loses every watch that arrives or would be answered meanwhile, and the
//! connections stay open.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Silences are drawn in a series of their own, so that a seed gives the same faults with and
/// without them.
const SILENCE_SERIES: u64 = 0x7369_6c65_6e63_6531;
/// Silences of a seed, their lengths and the time from a change to the next one, in
/// milliseconds.
const SILENCES: usize = 2;
const LENGTH_MS: std::ops::Range<u64> = 300..3000;
const AFTER_CHANGE_MS: std::ops::Range<u64> = 0..500;

/// Time after a silence, or a change just after it, within which every VM has to act on what was
/// confirmed.
pub(crate) const NOTICE_BOUND: Duration = Duration::from_millis(1500);

/// A silence of the store.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StoreSilence {
    pub(crate) after_change: Duration,
    pub(crate) length: Duration,
    /// Whether the operator changes the configuration during the silence, and not after it.
    pub(crate) hides_change: bool,
}

/// The silences of a seed.
pub(crate) fn draw_silences(seed: u64) -> [StoreSilence; SILENCES] {
    let mut rng = StdRng::seed_from_u64(seed ^ SILENCE_SERIES);
    std::array::from_fn(|number| StoreSilence {
        after_change: Duration::from_millis(rng.random_range(AFTER_CHANGE_MS)),
        length: Duration::from_millis(rng.random_range(LENGTH_MS)),
        hides_change: number % 2 == 0,
    })
}
