//! Whether the machine was suspended.

use std::time::{Duration, Instant};

use crate::instant::BootInstant;

/// Least difference between the clocks that is taken for a suspension: readings of the two
/// may lie a lost turn of the processor apart, a tenth of a second.
const LEAST: Duration = Duration::from_millis(300);

/// Notices suspensions by what the steady clock does not count. The only place that needs
/// the steady clock.
#[derive(Clone, Copy, Debug)]
pub struct SuspensionWatch {
    steady: Instant,
    boot: BootInstant,
    /// The last look.
    looked: BootInstant,
}

impl SuspensionWatch {
    /// Looks from now on.
    ///
    /// ```
    /// use onyxfall_clock::{BootInstant, SuspensionWatch};
    /// assert_eq!(SuspensionWatch::start().look(BootInstant::now()), None);
    /// ```
    pub fn start() -> Self {
        let boot = BootInstant::now();
        Self {
            steady: Instant::now(),
            boot,
            looked: boot,
        }
    }

    /// How long the machine was suspended since the last suspension that was noticed, if
    /// it was; `now` is the present, which a caller mostly has at hand.
    pub fn look(&mut self, now: BootInstant) -> Option<Duration> {
        // No suspension fits between two looks that are closer, so that most looks, one for
        // each request, read no clock: 5 ns instead of 51 (the benchmark of this crate).
        let since = now - std::mem::replace(&mut self.looked, now);
        if since < LEAST {
            return None;
        }
        let running = self.steady.elapsed();
        let away = (now - self.boot).saturating_sub(running);
        if away < LEAST {
            return None;
        }
        *self = Self::start();
        Some(away)
    }
}
