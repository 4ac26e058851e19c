//! Kept connections by address.
//!
//! The connection used last is used first, so that those beyond the need grow
//! old and close before the other side closes them.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::connection::HttpConnection;
use onyxfall_clock::BootInstant;

/// How long an idle connection is kept where the other side names no limit: new
/// connections to servers are dear, and a closed one is noticed.
const DEFAULT_IDLE: Duration = Duration::from_secs(40);
/// Part of the other side's limit that is used, so that a request does not
/// cross its close.
const IDLE_PART: f64 = 0.9;

/// Longest rest of a connection that a request which may not be repeated uses: a
/// server may have forgotten an older one without notice, and such a request
/// would be lost with it.
const SAFE_REST: Duration = Duration::from_secs(5);

struct IdleConnection {
    connection: HttpConnection,
    since: BootInstant,
    until: BootInstant,
}

/// Which kept connections will do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionChoice {
    /// Any that is open.
    Any,
    /// Only one that has served lately.
    Proven,
}

/// The kept connections.
#[derive(Default)]
pub(crate) struct ConnectionPool {
    idle: RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// Takes a kept connection that can send at once.
    pub(crate) fn take(
        &self,
        address: SocketAddr,
        choice: ConnectionChoice,
    ) -> Option<HttpConnection> {
        let now = BootInstant::now();
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(&address)?;
        kept.retain(|entry| !entry.connection.is_closed() && now < entry.until);
        let newest = kept.iter().rposition(|entry| entry.connection.is_ready())?;
        if choice == ConnectionChoice::Proven && now - kept[newest].since > SAFE_REST {
            return None;
        }
        Some(kept.remove(newest).connection)
    }

    /// Whether a kept connection could send at once.
    pub(crate) fn has_idle(&self, address: SocketAddr) -> bool {
        let now = BootInstant::now();
        let idle = self.idle.borrow();
        let kept = idle.get(&address).into_iter().flatten();
        kept.into_iter()
            .any(|entry| entry.connection.is_ready() && now < entry.until)
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
        let now = BootInstant::now();
        let entry = IdleConnection {
            connection,
            since: now,
            until: now + kept_for,
        };
        self.idle
            .borrow_mut()
            .entry(address)
            .or_default()
            .push(entry);
    }

    /// Closes all of them.
    pub(crate) fn clear(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Closes what has been idle for too long.
    pub(crate) fn sweep(&self) {
        let now = BootInstant::now();
        self.idle.borrow_mut().retain(|_, kept| {
            kept.retain(|entry| now < entry.until);
            !kept.is_empty()
        });
    }
}
