//! Where things lie in the platform's service.

use std::fmt::Display;

/// Builds keys under one prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformKeys {
    prefix: String,
}

impl PlatformKeys {
    /// Keys of one deployment.
    ///
    /// ```
    /// let keys = onyxfall_platform::PlatformKeys::new("gallery");
    /// assert_eq!(keys.head(), "/onyxfall/gallery/head");
    /// ```
    pub fn new(deployment: &str) -> Self {
        Self {
            prefix: format!("/onyxfall/{deployment}"),
        }
    }

    /// The head record.
    pub fn head(&self) -> String {
        format!("{}/head", self.prefix)
    }

    /// Text of a bundle.
    pub fn bundle(&self, digest: impl Display) -> String {
        format!("{}/bundles/{digest}", self.prefix)
    }

    /// Prefix of a bundle's signatures.
    pub fn signatures(&self, digest: impl Display) -> String {
        format!("{}/signatures/{digest}/", self.prefix)
    }

    /// One operator's signature of a bundle.
    pub fn signature(&self, digest: impl Display, operator: impl Display) -> String {
        format!("{}{operator}", self.signatures(digest))
    }

    /// Prefix of the operators' drains.
    pub fn drains(&self) -> String {
        format!("{}/drains/", self.prefix)
    }

    /// Drain of one VM or backend server.
    pub fn drain(&self, name: impl Display) -> String {
        format!("{}{name}", self.drains())
    }

    /// Lease on giving orders to one backend server.
    pub fn order_lease(&self, server: impl Display) -> String {
        format!("{}/orders/{server}", self.prefix)
    }
}
