//! Points in time of the boot-time clock, which includes suspensions.

use std::ops::{Add, Sub};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Offset of the clock of this process from that of the machine, in microseconds.
static AHEAD: AtomicU64 = AtomicU64::new(0);

/// Advances the clock of this process to `ahead` of the machine's clock, as a suspension
/// would; the offset never decreases. For tests, which lack the privileges to suspend the
/// machine.
pub fn advance_clock(ahead: Duration) {
    let micros = u64::try_from(ahead.as_micros()).unwrap_or(u64::MAX);
    AHEAD.fetch_max(micros, Ordering::Relaxed);
}

/// A point in time since the boot of the machine, including suspensions.
///
/// ```
/// use onyxfall_clock::BootInstant;
/// use std::time::Duration;
/// let start = BootInstant::now();
/// assert!(start + Duration::from_secs(60) > BootInstant::now());
/// assert_eq!(start - (start + Duration::from_secs(1)), Duration::ZERO);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootInstant(Duration);

impl BootInstant {
    /// The current time.
    pub fn now() -> Self {
        let read = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(read.tv_sec).unwrap_or_default();
        let nanos = u32::try_from(read.tv_nsec).unwrap_or_default();
        let ahead = Duration::from_micros(AHEAD.load(Ordering::Relaxed));
        Self(Duration::new(seconds, nanos) + ahead)
    }

    /// Time since this instant.
    pub fn elapsed(self) -> Duration {
        Self::now() - self
    }

    /// Time from `earlier` to this instant; zero if `earlier` is later.
    #[must_use]
    pub fn saturating_duration_since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<Duration> for BootInstant {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        Self(self.0.saturating_add(rhs))
    }
}

impl Sub for BootInstant {
    type Output = Duration;

    /// Time from `rhs` to `self`; zero if `rhs` is later.
    fn sub(self, rhs: Self) -> Duration {
        self.saturating_duration_since(rhs)
    }
}
