//! Pool of idle connections by address.
//!
//! The most recently used connection is reused first, so that connections beyond the need
//! expire here before the other side closes them.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::connection::{HttpConnection, USER_TIMEOUT};
use onyxfall_clock::BootInstant;

/// How long an idle connection is kept if the other side names no limit. It is long because
/// new connections to servers are expensive and a closed connection is detected.
const DEFAULT_IDLE: Duration = Duration::from_secs(40);
/// Share of the other side's idle limit that is used, so that a request is not sent while
/// the other side closes the connection.
const IDLE_SHARE: f64 = 0.9;

/// Longest idle time of a connection used for a request that may not be repeated. A server
/// may have dropped an older connection silently, and the request would be lost with it.
const MAX_RECENT_IDLE: Duration = Duration::from_secs(5);

struct IdleConnection {
    connection: HttpConnection,
    idle_since: BootInstant,
    expires: BootInstant,
}

/// Which pooled connections are acceptable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionChoice {
    /// Any open connection.
    Any,
    /// Only a recently used connection.
    Recent,
}

/// Idle connections that can be reused.
#[derive(Default)]
pub(crate) struct ConnectionPool {
    idle: RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// Claims an idle connection that is ready to send.
    pub(crate) fn claim(
        &self,
        address: SocketAddr,
        choice: ConnectionChoice,
    ) -> Option<HttpConnection> {
        let now = BootInstant::now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        connections.retain(|entry| !entry.connection.is_closed() && now < entry.expires);
        let newest = connections
            .iter()
            .rposition(|entry| entry.connection.is_ready())?;
        if choice == ConnectionChoice::Recent
            && now - connections[newest].idle_since > MAX_RECENT_IDLE
        {
            return None;
        }
        Some(connections.remove(newest).connection)
    }

    /// Whether the pool has a connection to `address` that is ready to send.
    pub(crate) fn has_idle(&self, address: SocketAddr) -> bool {
        let now = BootInstant::now();
        let idle = self.idle.borrow();
        let connections = idle.get(&address).into_iter().flatten();
        connections
            .into_iter()
            .any(|entry| entry.connection.is_ready() && now < entry.expires)
    }

    /// Returns a connection to the pool after a whole response. `limit` is the idle limit that
    /// the other side sent.
    pub(crate) fn put(
        &self,
        address: SocketAddr,
        connection: HttpConnection,
        limit: Option<Duration>,
    ) {
        connection.set_user_timeout(USER_TIMEOUT);
        let lifetime = limit.map_or(DEFAULT_IDLE, |limit| limit.mul_f64(IDLE_SHARE));
        let now = BootInstant::now();
        let entry = IdleConnection {
            connection,
            idle_since: now,
            expires: now + lifetime,
        };
        self.idle
            .borrow_mut()
            .entry(address)
            .or_default()
            .push(entry);
    }

    /// Closes all idle connections.
    pub(crate) fn clear(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Closes expired connections, and drops those that the other side has closed.
    pub(crate) fn close_expired(&self) {
        let now = BootInstant::now();
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|entry| !entry.connection.is_closed() && now < entry.expires);
            !connections.is_empty()
        });
    }
}
