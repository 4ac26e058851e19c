//! Backend servers that are leaving.
//!
//! Four sources tell of a drain; the earliest wins and none takes it back. Only
//! a later incarnation of the same server ends it.

use std::collections::BTreeMap;

use onyxfall_types::{Incarnation, ServerName};

/// Where the news of a drain came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainSource {
    /// The platform's lagging list.
    PlatformList,
    /// An operator's drain.
    Operator,
    /// The server's own report or refusal.
    Server,
    /// Another entry of the data centre.
    Peer,
}

impl DrainSource {
    /// Label for logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::PlatformList => "platform-list",
            Self::Operator => "operator",
            Self::Server => "server",
            Self::Peer => "peer",
        }
    }
}

/// Drains known so far, by server name.
#[derive(Clone, Debug, Default)]
pub struct DrainTable {
    drains: BTreeMap<ServerName, Incarnation>,
}

impl DrainTable {
    /// An empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that an incarnation of a server is leaving; returns whether that is news.
    ///
    /// ```
    /// use onyxfall_policy::DrainTable;
    /// use onyxfall_types::Incarnation;
    /// let mut table = DrainTable::new();
    /// let name = "s1".parse().unwrap();
    /// assert!(table.note(&name, Incarnation::new(1)));
    /// assert!(table.is_draining(&name, Incarnation::new(1)));
    /// assert!(!table.is_draining(&name, Incarnation::new(2)));
    /// ```
    pub fn note(&mut self, server: &ServerName, incarnation: Incarnation) -> bool {
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

    /// Whether that incarnation of the server is leaving.
    pub fn is_draining(&self, server: &ServerName, incarnation: Incarnation) -> bool {
        self.drains
            .get(server)
            .is_some_and(|drained| incarnation <= *drained)
    }

    /// Every drain, for the digest to peers.
    pub fn iter(&self) -> impl Iterator<Item = (&ServerName, Incarnation)> {
        self.drains
            .iter()
            .map(|(name, incarnation)| (name, *incarnation))
    }
}
