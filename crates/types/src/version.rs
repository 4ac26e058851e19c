//! Versions of the software that backend servers run.

use std::borrow::Borrow;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use thiserror::Error;

/// Maximum length of a version in bytes.
const MAX_VERSION_LEN: usize = 63;

/// Error for text that is not a valid software version.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("not a version: expected 1 to 63 printable characters without blanks")]
pub struct VersionError;

/// Software version of a backend server, such as `v2`. Versions are only compared for
/// equality: `Ord` sorts them as text, not by release.
///
/// ```
/// use onyxfall_types::SoftwareVersion;
/// let version: SoftwareVersion = "v2".parse().unwrap();
/// assert_eq!(version.to_string(), "v2");
/// assert!("".parse::<SoftwareVersion>().is_err());
/// assert!("two words".parse::<SoftwareVersion>().is_err());
/// ```
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SoftwareVersion(Arc<str>);

impl SoftwareVersion {
    /// Returns the version as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl Borrow<str> for SoftwareVersion {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl fmt::Debug for SoftwareVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for SoftwareVersion {
    type Err = VersionError;

    fn from_str(text: &str) -> Result<Self, VersionError> {
        let is_printable = text.bytes().all(|byte| byte.is_ascii_graphic());
        if text.is_empty() || text.len() > MAX_VERSION_LEN || !is_printable {
            return Err(VersionError);
        }
        Ok(Self(text.into()))
    }
}
