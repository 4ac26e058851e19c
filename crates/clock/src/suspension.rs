//! Detection of suspensions of the machine.

use std::time::{Duration, Instant};

use crate::instant::BootInstant;

/// Minimum difference between the clocks that counts as a suspension. If the thread is
/// descheduled between the readings of the two clocks, they may differ by 0.1 s.
const MIN_SUSPENSION: Duration = Duration::from_millis(300);

/// Detects suspensions by the difference between the boot-time clock and the monotonic
/// clock, which stops during them. No other code needs the monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct SuspensionWatch {
    monotonic: Instant,
    boot: BootInstant,
    /// Time of the last check.
    last_check: BootInstant,
}

impl SuspensionWatch {
    /// Starts to watch for suspensions.
    ///
    /// ```
    /// use onyxfall_clock::{BootInstant, SuspensionWatch};
    /// assert_eq!(SuspensionWatch::start().look(BootInstant::now()), None);
    /// ```
    pub fn start() -> Self {
        let boot = BootInstant::now();
        Self {
            monotonic: Instant::now(),
            boot,
            last_check: boot,
        }
    }

    /// Checks for a suspension since the last one that was detected, and returns its duration.
    /// `now` is the current time, which most callers have already read.
    pub fn look(&mut self, now: BootInstant) -> Option<Duration> {
        // No suspension fits between two checks that are closer than the minimum, so most
        // checks, one for each request, read no clock: 5 ns instead of 51 ns (benchmark of
        // this crate).
        let since = now - std::mem::replace(&mut self.last_check, now);
        if since < MIN_SUSPENSION {
            return None;
        }
        let running = self.monotonic.elapsed();
        let suspended = (now - self.boot).saturating_sub(running);
        if suspended < MIN_SUSPENSION {
            return None;
        }
        *self = Self::start();
        Some(suspended)
    }
}
