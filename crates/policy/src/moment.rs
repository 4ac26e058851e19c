//! Points in time within one process.

use std::fmt;
use std::ops::{Add, Sub};
use std::time::Duration;

/// Time since the start of the process, from a monotonic clock, in microseconds.
///
/// Moments of different processes must not be compared.
///
/// ```
/// use onyxfall_policy::Moment;
/// use std::time::Duration;
/// let later = Moment::ZERO + Duration::from_millis(5);
/// assert_eq!(later - Moment::ZERO, Duration::from_millis(5));
/// assert_eq!(Moment::ZERO - later, Duration::ZERO);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Moment(u64);

impl Moment {
    /// The start of the process.
    pub const ZERO: Self = Self(0);

    /// The moment `since_start` after the start of the process.
    pub fn from_duration(since_start: Duration) -> Self {
        Self(u64::try_from(since_start.as_micros()).unwrap_or(u64::MAX))
    }

    /// The moment `time` earlier, but not before the start of the process.
    ///
    /// ```
    /// use onyxfall_policy::Moment;
    /// use std::time::Duration;
    /// let second = Moment::from_duration(Duration::from_secs(1));
    /// assert_eq!(second.before(Duration::from_secs(2)), Moment::ZERO);
    /// ```
    #[must_use]
    pub fn before(self, time: Duration) -> Self {
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }

    /// Microseconds since the start of the process.
    pub const fn as_micros(self) -> u64 {
        self.0
    }
}

impl Add<Duration> for Moment {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        let micros = u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

impl Sub for Moment {
    type Output = Duration;

    /// Time from `rhs` to `self`, or zero if `rhs` is later.
    fn sub(self, rhs: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(rhs.0))
    }
}

impl fmt::Display for Moment {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}us", self.0)
    }
}
