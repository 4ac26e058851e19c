//! Retry delay that a refusal sends to its caller.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use crate::quantity::QuantityError;

/// Value of a `Retry-After` header in seconds, optionally with a fraction.
///
/// Dates are rejected, because the clock of the receiver may differ from that of the
/// server. Numbers that exceed the range of [`Duration`] saturate at [`Duration::MAX`].
///
/// ```
/// use onyxfall_types::RetryDelay;
/// use std::time::Duration;
/// let delay: RetryDelay = "1.5".parse().unwrap();
/// assert_eq!(delay.time(), Duration::from_millis(1500));
/// assert_eq!(delay.to_string(), "1.5");
/// assert_eq!("1e400".parse::<RetryDelay>().unwrap().time(), Duration::MAX);
/// for text in ["-1", "soon", "nan", "", "Thu, 03 Dec 2026 03:00:00 GMT"] {
///     assert!(text.parse::<RetryDelay>().is_err(), "{text}");
/// }
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RetryDelay(Duration);

impl RetryDelay {
    /// Creates a retry delay from a duration.
    pub const fn new(time: Duration) -> Self {
        Self(time)
    }

    /// Returns the delay as a duration.
    pub const fn time(self) -> Duration {
        self.0
    }
}

impl fmt::Display for RetryDelay {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0.as_secs_f64(), f)
    }
}

impl FromStr for RetryDelay {
    type Err = QuantityError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || QuantityError::new(text, "seconds, such as 3 or 0.5");
        let trimmed = text.trim();
        // The float parser also accepts `inf`, `nan` and signs.
        if !trimmed.starts_with(|first: char| first.is_ascii_digit() || first == '.') {
            return Err(invalid());
        }
        let seconds: f64 = trimmed.parse().map_err(|_| invalid())?;
        Ok(Self(
            Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX),
        ))
    }
}
