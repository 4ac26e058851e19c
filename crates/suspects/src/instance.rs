//! Short tags of server instances.

use std::fmt;
use std::str::FromStr;

use onyxfall_types::stable_hash;
use thiserror::Error;

/// Short tag of one instance of a server, the same on every VM.
///
/// ```
/// use onyxfall_suspects::InstanceTag;
/// let instance = InstanceTag::of("server-1");
/// assert_eq!(instance.to_string().parse(), Ok(instance));
/// assert_ne!(instance, InstanceTag::of("server-2"));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct InstanceTag(u64);

/// The text is not an instance tag.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("`{0}` is not an instance tag: expected `life` followed by a hexadecimal number")]
pub struct InstanceTagError(String);

impl InstanceTag {
    /// The tag of the instance called `name`.
    pub fn of(name: &str) -> Self {
        Self(stable_hash(&[name]))
    }

    /// The tag with this number, as carried in messages.
    pub const fn from_number(number: u64) -> Self {
        Self(number)
    }

    /// The number of the tag, as carried in messages.
    pub const fn number(self) -> u64 {
        self.0
    }
}

impl fmt::Display for InstanceTag {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "life{:016x}", self.0)
    }
}

impl FromStr for InstanceTag {
    type Err = InstanceTagError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number = text.strip_prefix("life");
        let number = number.and_then(|digits| u64::from_str_radix(digits, 16).ok());
        number
            .map(Self)
            .ok_or_else(|| InstanceTagError(text.to_owned()))
    }
}
