//! Short ids of streams.

use std::fmt;
use std::str::FromStr;

use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

/// Error for text that is not a stream tag.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("not a stream tag: expected 16 hexadecimal digits")]
pub struct TagError;

/// Hash of the id of the caller's attempt that received the first event of a stream.
///
/// ```
/// use onyxfall_streams::StreamTag;
/// let tag = StreamTag::of("3238621073a71ffa");
/// assert_eq!(tag.to_string().parse(), Ok(tag));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamTag(u64);

impl StreamTag {
    /// Computes the tag of an attempt's id.
    pub fn of(attempt: &str) -> Self {
        Self(xxh3_64(attempt.as_bytes()))
    }

    /// The tag with this number in a message.
    pub const fn from_number(number: u64) -> Self {
        Self(number)
    }

    /// Number of the tag in messages.
    pub const fn number(self) -> u64 {
        self.0
    }
}

impl fmt::Display for StreamTag {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for StreamTag {
    type Err = TagError;

    fn from_str(text: &str) -> Result<Self, TagError> {
        if text.len() != 16 {
            return Err(TagError);
        }
        u64::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| TagError)
    }
}
