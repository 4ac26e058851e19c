//! Kept connections by address.
//!
//! The connection used last is used first, so that those beyond the need grow
//! old and close before the other side closes them.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::connection::HttpConnection;

/// How long an idle connection is kept where the other side names no limit.
const DEFAULT_IDLE: Duration = Duration::from_secs(8);
/// Part of the other side's limit that is used, so that a request does not
/// cross its close.
const IDLE_PART: f64 = 0.7;

struct IdleConnection {
    connection: HttpConnection,
    until: Instant,
}

/// The kept connections.
#[derive(Default)]
pub(crate) struct ConnectionPool {
    idle: RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// Takes a kept connection that can send at once.
    pub(crate) fn take(&self, address: SocketAddr) -> Option<HttpConnection> {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(&address)?;
        while let Some(entry) = kept.pop() {
            if entry.connection.is_ready() && Instant::now() < entry.until {
                return Some(entry.connection);
            }
        }
        None
    }

    /// Keeps a connection whose last answer is whole; `limit` is what the other
    /// side said of idle ones.
    pub(crate) fn put(
        &self,
        address: SocketAddr,
        connection: HttpConnection,
        limit: Option<Duration>,
    ) {
        let kept_for = limit.map_or(DEFAULT_IDLE, |limit| limit.mul_f64(IDLE_PART));
        let entry = IdleConnection {
            connection,
            until: Instant::now() + kept_for,
        };
        self.idle
            .borrow_mut()
            .entry(address)
            .or_default()
            .push(entry);
    }

    /// Closes what has been idle for too long.
    pub(crate) fn sweep(&self) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|_, kept| {
            kept.retain(|entry| now < entry.until);
            !kept.is_empty()
        });
    }
}
