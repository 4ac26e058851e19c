//! Layout of the keys in the platform's service.

use std::fmt::Display;

/// Builds the keys of one deployment, under a common prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformKeys {
    prefix: String,
}

impl PlatformKeys {
    /// Creates the key builder of one deployment.
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

    /// Key of the head record.
    pub fn head(&self) -> String {
        format!("{}/head", self.prefix)
    }

    /// Key of the text of a bundle.
    pub fn bundle(&self, digest: impl Display) -> String {
        format!("{}/bundles/{digest}", self.prefix)
    }

    /// Prefix of the keys of a bundle's signatures.
    pub fn signatures(&self, digest: impl Display) -> String {
        format!("{}/signatures/{digest}/", self.prefix)
    }

    /// Key of one operator's signature of a bundle.
    pub fn signature(&self, digest: impl Display, operator: impl Display) -> String {
        format!("{}{operator}", self.signatures(digest))
    }

    /// Prefix of the keys of all drain requests by operators.
    pub fn drains(&self) -> String {
        format!("{}/drains/", self.prefix)
    }

    /// Key of the drain request for one VM or backend server.
    pub fn drain(&self, name: impl Display) -> String {
        format!("{}{name}", self.drains())
    }

    /// Key of the lease that permits its holder to send orders to one backend server.
    pub fn order_lease(&self, server: impl Display) -> String {
        format!("{}/orders/{server}", self.prefix)
    }
}
