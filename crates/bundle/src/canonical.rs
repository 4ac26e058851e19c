//! Canonical text of a bundle, and the SHA-256 digest of that text.
//!
//! Invariant: two files with the same sections, keys and values have the same
//! digest, regardless of order, whitespace and comments.

use std::fmt;
use std::str::FromStr;

use onyxfall_settings::IniDocument;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use thiserror::Error;

/// Length of a digest in bytes.
const DIGEST_LEN: usize = 32;

/// SHA-256 of a bundle's canonical text, formatted as 64 hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ContentDigest([u8; DIGEST_LEN]);

impl ContentDigest {
    /// Computes the digest of a canonical text.
    pub fn of(canonical: &str) -> Self {
        Self(Sha256::digest(canonical.as_bytes()).into())
    }

    /// First twelve hexadecimal digits, for display.
    pub fn short(&self) -> String {
        hex::encode(&self.0[..6])
    }
}

impl fmt::Display for ContentDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl fmt::Debug for ContentDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.short())
    }
}

/// Error for a text that is not a valid digest.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("`{0}` is not a content digest: expected 64 hexadecimal digits")]
pub struct DigestError(String);

impl FromStr for ContentDigest {
    type Err = DigestError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut bytes = [0; DIGEST_LEN];
        hex::decode_to_slice(text, &mut bytes).map_err(|_| DigestError(text.to_owned()))?;
        Ok(Self(bytes))
    }
}

impl TryFrom<String> for ContentDigest {
    type Error = DigestError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<ContentDigest> for String {
    fn from(digest: ContentDigest) -> Self {
        digest.to_string()
    }
}

/// Serializes a document with sections and keys sorted and surrounding whitespace removed.
///
/// ```
/// use onyxfall_bundle::canonical_text;
/// use onyxfall_settings::IniDocument;
/// let document = IniDocument::parse("b", "; note\n[b]\ny=2\nx = 1\n[a]\n").unwrap();
/// assert_eq!(canonical_text(&document), "[a]\n[b]\nx=1\ny=2\n");
/// ```
pub fn canonical_text(document: &IniDocument) -> String {
    let mut sections: Vec<_> = document.sections().iter().collect();
    sections.sort_by_key(|section| section.header());
    let mut text = String::new();
    for section in sections {
        text.extend(["[", section.header(), "]\n"]);
        let mut pairs: Vec<_> = section.pairs().iter().collect();
        pairs.sort();
        for (key, value) in pairs {
            text.extend([key.as_str(), "=", value.trim(), "\n"]);
        }
    }
    text
}
