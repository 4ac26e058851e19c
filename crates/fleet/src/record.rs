//! What a backend server says of itself in the store.

use std::net::SocketAddr;
use std::time::Duration;

use onyxfall_types::{CenterName, ServerName, ServiceName, SoftwareVersion};

use crate::instance::{ServerInstance, StartTime};

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

/// A server's entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerRecord {
    /// Name of the server.
    pub name: ServerName,
    /// When it started.
    pub born: StartTime,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Version of its software, if it says so.
    pub version: Option<SoftwareVersion>,
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

impl ServerRecord {
    /// The life that wrote it.
    pub fn life(&self) -> ServerInstance {
        ServerInstance {
            name: self.name.clone(),
            born: self.born,
        }
    }

    /// This entry after one of the same life that had the phase `before`: a life that
    /// leaves does not become ready again, so that an entry which says so is an older copy.
    pub(crate) fn leaving_as(self, before: ServerPhase) -> Self {
        match (before, self.phase) {
            (ServerPhase::Draining { .. }, ServerPhase::Ready) => Self {
                phase: before,
                ..self
            },
            _ => self,
        }
    }
}
