//! The time after which a refused sender may come back.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use crate::quantity::QuantityError;

/// A time as `Retry-After` names it, in seconds, whole or not.
///
/// Dates are not read: they would be measured by a clock that is not the server's. A
/// number beyond all times is the longest one.
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
    /// Wraps a time.
    pub const fn new(time: Duration) -> Self {
        Self(time)
    }

    /// The time.
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
        let bad = || QuantityError::new(text, "seconds, such as 3 or 0.5");
        let trimmed = text.trim();
        // Words such as `inf` are numbers to the parser.
        if !trimmed.starts_with(|first: char| first.is_ascii_digit() || first == '.') {
            return Err(bad());
        }
        let seconds: f64 = trimmed.parse().map_err(|_| bad())?;
        Ok(Self(
            Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX),
        ))
    }
}
