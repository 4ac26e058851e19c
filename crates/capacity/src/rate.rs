//! Work per second, in seconds of server time.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use thiserror::Error;

/// Largest rate. The planned fleet has 12,000 servers; sums of a few thousand rates of this
/// size keep microseconds in an `f64`.
const MAX_RATE: f64 = 1e6;
const MICROS: f64 = 1e6;

/// Error for text that is not a rate of work.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("`{0}` is not a rate of work: expected 0 to 1000000, such as `1.250 s/s`")]
pub struct WorkRateError(String);

/// Seconds of server time per second: 0 to 1,000,000, never NaN.
///
/// ```
/// use onyxfall_capacity::WorkRate;
/// let rate: WorkRate = "1.25 s/s".parse().unwrap();
/// assert_eq!(rate.to_string(), "1.250 s/s");
/// assert!("-1 s/s".parse::<WorkRate>().is_err());
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct WorkRate(f64);

impl WorkRate {
    /// No work.
    pub const ZERO: Self = Self(0.0);
    /// The largest rate.
    pub const MAX: Self = Self(MAX_RATE);

    /// Creates a rate. Figures out of range are clamped, and NaN is no work.
    ///
    /// ```
    /// use onyxfall_capacity::WorkRate;
    /// assert_eq!(WorkRate::clamped(f64::NAN), WorkRate::ZERO);
    /// assert_eq!(WorkRate::clamped(f64::INFINITY), WorkRate::MAX);
    /// ```
    pub fn clamped(seconds: f64) -> Self {
        if seconds.is_nan() {
            return Self::ZERO;
        }
        Self(seconds.clamp(0.0, MAX_RATE))
    }

    /// Creates a rate from microseconds of work per second. Larger figures than
    /// [`WorkRate::MAX`] are clamped.
    ///
    /// ```
    /// use onyxfall_capacity::WorkRate;
    /// assert_eq!(WorkRate::from_micros(2_500_000).per_second(), 2.5);
    /// assert_eq!(WorkRate::from_micros(u64::MAX), WorkRate::MAX);
    /// ```
    pub fn from_micros(micros: u64) -> Self {
        Self::clamped(micros as f64 / MICROS)
    }

    /// Seconds of work per second.
    pub const fn per_second(self) -> f64 {
        self.0
    }

    /// Microseconds of work per second.
    pub fn micros(self) -> u64 {
        u64::try_from(Duration::from_secs_f64(self.0).as_micros()).unwrap_or(u64::MAX)
    }
}

impl fmt::Display for WorkRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3} s/s", self.0)
    }
}

impl FromStr for WorkRate {
    type Err = WorkRateError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.strip_suffix("s/s")
            .and_then(|digits| digits.trim().parse::<f64>().ok())
            .filter(|rate| (0.0..=MAX_RATE).contains(rate))
            .map(Self)
            .ok_or_else(|| WorkRateError(text.to_owned()))
    }
}
