//! Entity names used in files, messages and logs.
//!
//! A name consists of 1 to 63 bytes of `a-z`, `0-9`, `-`, `_` and `.`, and starts with
//! a letter or a digit, so that it is safe in store keys, headers and file names.

use std::borrow::Borrow;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Maximum length of a name in bytes.
const MAX_NAME_LEN: usize = 63;

/// Error for text that is not a valid name.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("`{text}` is not a name: expected 1 to 63 of a-z, 0-9, `-`, `_`, `.`")]
pub struct NameError {
    text: String,
}

fn check_name(text: &str) -> Result<(), NameError> {
    let starts_valid = text
        .bytes()
        .next()
        .is_some_and(|byte| byte.is_ascii_lowercase() || byte.is_ascii_digit());
    let has_valid_bytes = text
        .bytes()
        .all(|byte| matches!(byte, b'a'..=b'z' | b'0'..=b'9' | b'-' | b'_' | b'.'));
    if starts_valid && has_valid_bytes && text.len() <= MAX_NAME_LEN {
        return Ok(());
    }
    Err(NameError {
        text: text.chars().take(MAX_NAME_LEN).collect(),
    })
}

macro_rules! entity_name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                check_name(text)?;
                Ok(Self(text.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(text: String) -> Result<Self, Self::Error> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().to_owned()
            }
        }
    };
}

entity_name!(
    /// Name of a region, such as `brisbane`.
    RegionName
);
entity_name!(
    /// Name of a data centre, such as `brisbane-1`.
    CenterName
);
entity_name!(
    /// Name of an entry VM.
    VmName
);
entity_name!(
    /// Name of a backend server.
    ServerName
);
entity_name!(
    /// Name of a request kind, such as `photo-caption`.
    KindName
);
entity_name!(
    /// Name of a service: a set of interchangeable backend servers.
    ServiceName
);
entity_name!(
    /// Name of a route of the configuration.
    RouteName
);
entity_name!(
    /// Name of a model.
    ModelName
);
entity_name!(
    /// Name of an adapter of a model.
    AdapterName
);
entity_name!(
    /// Name of a team.
    TeamName
);
entity_name!(
    /// Name of an operator, who is identified by a signing key.
    OperatorName
);
