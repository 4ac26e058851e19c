//! Byte sizes, request rates and process incarnations, with their text forms.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Error for text that does not parse as the expected quantity.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("`{text}`: expected {expected}")]
pub struct QuantityError {
    text: String,
    expected: &'static str,
}

impl QuantityError {
    /// Creates an error from the rejected text and a description of the expected form.
    pub fn new(text: &str, expected: &'static str) -> Self {
        Self {
            text: text.to_owned(),
            expected,
        }
    }
}

const KIB: u64 = 1024;
const MIB: u64 = 1024 * KIB;

/// A size in bytes, written with the unit `B`, `KiB` or `MiB`.
///
/// ```
/// use onyxfall_types::ByteSize;
/// let size: ByteSize = "4MiB".parse().unwrap();
/// assert_eq!(size.bytes(), 4 * 1024 * 1024);
/// assert_eq!(size.to_string(), "4MiB");
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ByteSize(u64);

impl ByteSize {
    /// Creates a size from a number of bytes.
    pub const fn new(bytes: u64) -> Self {
        Self(bytes)
    }

    /// Returns the number of bytes.
    pub const fn bytes(self) -> u64 {
        self.0
    }

    /// Returns the number of bytes as a `usize`, saturating at `usize::MAX`.
    pub fn as_usize(self) -> usize {
        usize::try_from(self.0).unwrap_or(usize::MAX)
    }
}

impl fmt::Display for ByteSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            n if n >= MIB && n % MIB == 0 => write!(f, "{}MiB", n / MIB),
            n if n >= KIB && n % KIB == 0 => write!(f, "{}KiB", n / KIB),
            n => write!(f, "{n}B"),
        }
    }
}

impl FromStr for ByteSize {
    type Err = QuantityError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let units = [("MiB", MIB), ("KiB", KIB), ("B", 1)];
        units
            .into_iter()
            .find_map(|(unit, factor)| Some((text.strip_suffix(unit)?, factor)))
            .and_then(|(digits, factor)| digits.trim().parse::<u64>().ok()?.checked_mul(factor))
            .map(Self)
            .ok_or_else(|| QuantityError::new(text, "a size such as 512B, 64KiB or 4MiB"))
    }
}

/// A finite, non-negative request rate in requests per second, written such as `50/s`.
///
/// ```
/// use onyxfall_types::RequestRate;
/// let rate: RequestRate = "2.5/s".parse().unwrap();
/// assert_eq!(rate.per_second(), 2.5);
/// assert!("-1/s".parse::<RequestRate>().is_err());
/// ```
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct RequestRate(f64);

impl RequestRate {
    /// Creates a rate. Returns `None` unless `per_second` is finite and non-negative.
    pub fn new(per_second: f64) -> Option<Self> {
        (per_second.is_finite() && per_second >= 0.0).then_some(Self(per_second))
    }

    /// Returns the rate in requests per second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl FromStr for RequestRate {
    type Err = QuantityError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.strip_suffix("/s")
            .and_then(|digits| digits.trim().parse().ok())
            .and_then(Self::new)
            .ok_or_else(|| QuantityError::new(text, "a rate such as 50/s"))
    }
}

/// Number of one run of a process. It increases each time a process of the same name restarts.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation(u64);

impl Incarnation {
    /// Creates an incarnation from its number.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the incarnation number.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the smallest incarnation later than this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for Incarnation {
    type Err = QuantityError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse()
            .map(Self)
            .map_err(|_| QuantityError::new(text, "a number"))
    }
}
