//! Lives of backend servers.
//!
//! A server that starts again may do so under the name that it had. It then knows nothing
//! of before, so that whatever is kept of a server is kept for its life: its name and the
//! moment of its start.

use std::fmt;
use std::str::FromStr;

use onyxfall_types::{ServerName, stable_hash};
use thiserror::Error;

/// Between name and birth in a life's text form; no name holds it.
const BIRTH_MARK: char = '@';

/// The moment of a server's start by its own clock, in milliseconds of Unix time. Births
/// of one name are compared with each other only.
///
/// ```
/// use onyxfall_fleet::StartTime;
/// let birth: StartTime = "1700000000000".parse().unwrap();
/// assert!(birth > StartTime::UNKNOWN);
/// assert_eq!(birth.to_string(), "1700000000000");
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StartTime(u64);

/// A text that is no birth.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("`{0}` is not a birth: expected milliseconds of Unix time")]
pub struct StartTimeError(String);

impl StartTime {
    /// Of a server that does not say when it started; before any other.
    pub const UNKNOWN: Self = Self(0);

    /// A birth at so many milliseconds of Unix time.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// Milliseconds of Unix time.
    pub const fn millis(self) -> u64 {
        self.0
    }
}

impl fmt::Display for StartTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl FromStr for StartTime {
    type Err = StartTimeError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let millis = text.parse().map_err(|_| StartTimeError(text.to_owned()))?;
        Ok(Self(millis))
    }
}

/// One life of a server.
///
/// ```
/// use onyxfall_fleet::{StartTime, ServerInstance};
/// let life = ServerInstance {
///     name: "s1".parse().unwrap(),
///     born: StartTime::from_millis(5),
/// };
/// assert_eq!(life.to_string(), "s1@5");
/// let unborn = ServerInstance { born: StartTime::UNKNOWN, ..life };
/// assert_eq!(unborn.to_string(), "s1");
/// ```
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerInstance {
    /// The server's name.
    pub name: ServerName,
    /// When it started.
    pub born: StartTime,
}

impl ServerInstance {
    /// Its hash, the same on every VM.
    pub(crate) fn hash(&self) -> u64 {
        stable_hash(&[&self.to_string()])
    }
}

impl fmt::Display for ServerInstance {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.born == StartTime::UNKNOWN {
            return fmt::Display::fmt(&self.name, f);
        }
        write!(f, "{}{BIRTH_MARK}{}", self.name, self.born)
    }
}
