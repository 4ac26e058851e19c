//! Backend servers that are draining.
//!
//! Four sources report drains; the first report takes effect and no source can
//! revoke it. Only a later incarnation of the same server ends a drain.

use std::collections::BTreeMap;

use onyxfall_types::{Incarnation, ServerName};

/// Source of a drain report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainSource {
    /// The platform's list of servers, which lags.
    PlatformList,
    /// A drain ordered by an operator.
    Operator,
    /// The server's own load report or refusal.
    Server,
    /// Another entry of the data centre.
    Peer,
}

impl DrainSource {
    /// Label of the source in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::PlatformList => "platform-list",
            Self::Operator => "operator",
            Self::Server => "server",
            Self::Peer => "peer",
        }
    }
}

/// Known drains, by server name.
#[derive(Clone, Debug, Default)]
pub struct DrainTable {
    drains: BTreeMap<ServerName, Incarnation>,
}

impl DrainTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that an incarnation of a server is draining; returns whether that was
    /// unknown.
    ///
    /// ```
    /// use onyxfall_policy::DrainTable;
    /// use onyxfall_types::Incarnation;
    /// let mut table = DrainTable::new();
    /// let name = "s1".parse().unwrap();
    /// assert!(table.record(&name, Incarnation::new(1)));
    /// assert!(table.is_draining(&name, Incarnation::new(1)));
    /// assert!(!table.is_draining(&name, Incarnation::new(2)));
    /// ```
    pub fn record(&mut self, server: &ServerName, incarnation: Incarnation) -> bool {
        match self.drains.get_mut(server) {
            Some(known) if *known >= incarnation => false,
            Some(known) => {
                *known = incarnation;
                true
            }
            None => {
                self.drains.insert(server.clone(), incarnation);
                true
            }
        }
    }

    /// Whether an incarnation of a server is draining.
    pub fn is_draining(&self, server: &ServerName, incarnation: Incarnation) -> bool {
        self.drains
            .get(server)
            .is_some_and(|drained| incarnation <= *drained)
    }

    /// All known drains, for the digest to peers.
    pub fn iter(&self) -> impl Iterator<Item = (&ServerName, Incarnation)> {
        self.drains
            .iter()
            .map(|(name, incarnation)| (name, *incarnation))
    }
}
