//! Instances of backend servers.
//!
//! A server may restart under the same name, and the new process has none of the state of
//! the old one. State about a server is therefore kept per instance, which is identified by
//! the server's name and its start time.

use std::fmt;
use std::str::FromStr;

use onyxfall_types::{ServerName, stable_hash};
use thiserror::Error;

/// Separates name and start time in the text form of an instance; no name contains it.
const START_TIME_SEPARATOR: char = '@';

/// Start time of a server by its own clock, in milliseconds of Unix time. Only start times of
/// servers of the same name are compared.
///
/// ```
/// use onyxfall_fleet::StartTime;
/// let start_time: StartTime = "1700000000000".parse().unwrap();
/// assert!(start_time > StartTime::UNKNOWN);
/// assert_eq!(start_time.to_string(), "1700000000000");
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StartTime(u64);

/// Error for a text that is not a valid start time.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("`{0}` is not a start time: expected milliseconds of Unix time")]
pub struct StartTimeError(String);

impl StartTime {
    /// Start time of a server that does not report one; less than any other.
    pub const UNKNOWN: Self = Self(0);

    /// Creates a start time from milliseconds of Unix time.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// The start time in milliseconds of Unix time.
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

/// One instance of a server.
///
/// ```
/// use onyxfall_fleet::{StartTime, ServerInstance};
/// let instance = ServerInstance {
///     name: "s1".parse().unwrap(),
///     started_at: StartTime::from_millis(5),
/// };
/// assert_eq!(instance.to_string(), "s1@5");
/// let without_start_time = ServerInstance { started_at: StartTime::UNKNOWN, ..instance };
/// assert_eq!(without_start_time.to_string(), "s1");
/// ```
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerInstance {
    /// Name of the server.
    pub name: ServerName,
    /// Start time of the instance.
    pub started_at: StartTime,
}

impl ServerInstance {
    /// Hash of the instance, the same on every VM.
    pub(crate) fn hash(&self) -> u64 {
        stable_hash(&[&self.to_string()])
    }
}

impl fmt::Display for ServerInstance {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.started_at == StartTime::UNKNOWN {
            return fmt::Display::fmt(&self.name, f);
        }
        write!(f, "{}{START_TIME_SEPARATOR}{}", self.name, self.started_at)
    }
}
