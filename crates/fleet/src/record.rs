//! Store entry of a backend server.

use std::net::SocketAddr;
use std::time::Duration;

use onyxfall_types::{CenterName, ServerName, ServiceName, SoftwareVersion};

use crate::instance::{ServerInstance, StartTime};

/// Whether a server accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerPhase {
    /// The server accepts new requests.
    Ready,
    /// The server is draining.
    Draining {
        /// Time after which the server exits, whatever it runs; none if it finishes its
        /// requests.
        left: Option<Duration>,
    },
}

/// Store entry of a server instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerRecord {
    /// Name of the server.
    pub name: ServerName,
    /// Start time of the instance.
    pub started_at: StartTime,
    /// Service that the server belongs to.
    pub service: ServiceName,
    /// Version of its software, if reported.
    pub version: Option<SoftwareVersion>,
    /// Address that the server listens on.
    pub address: SocketAddr,
    /// Data centre of the server.
    pub center: CenterName,
    /// Number of requests that the server processes concurrently.
    pub slots: u32,
    /// Whether the server accepts new requests.
    pub phase: ServerPhase,
    /// Remaining time for which the server stays cold, counted from the writing of the
    /// entry.
    pub cold_left: Duration,
}

impl ServerRecord {
    /// The instance that wrote the entry.
    pub fn instance(&self) -> ServerInstance {
        ServerInstance {
            name: self.name.clone(),
            started_at: self.started_at,
        }
    }

    /// Returns this entry with its phase corrected by that of the instance's previous
    /// entry, `before`. A draining instance does not become ready again, so an entry
    /// that says so is an older copy.
    pub(crate) fn with_phase_after(self, before: ServerPhase) -> Self {
        match (before, self.phase) {
            (ServerPhase::Draining { .. }, ServerPhase::Ready) => Self {
                phase: before,
                ..self
            },
            _ => self,
        }
    }
}
