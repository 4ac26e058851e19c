//! What a backend server says of itself in the store.

use std::net::SocketAddr;
use std::time::Duration;

use onyxfall_types::{CenterName, ServerName, ServiceName};

/// Whether a server takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerPhase {
    /// It does.
    Ready,
    /// It is leaving.
    Draining {
        /// After this it is gone, whatever it runs; none if it finishes.
        left: Option<Duration>,
    },
}

/// A server's entry. Every start of a server has a name of its own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerRecord {
    /// Name of this life of the server.
    pub name: ServerName,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its data centre.
    pub center: CenterName,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub phase: ServerPhase,
    /// How much longer it stays cold, counted from the entry's writing.
    pub cold_left: Duration,
}
