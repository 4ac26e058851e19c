//! Which connections a port keeps when more are opened than it may have.
//!
//! A new connection replaces one that serves no request: first one that has never completed a
//! request, then one that has; of these, the one that has waited longest. If every connection
//! serves a request, or too many that gave way are still closing, the new one is refused.

use std::collections::{BTreeSet, HashMap};
use std::fmt;

/// Connections that are closing may be one part in this many of the limit, beyond it.
const CLOSING_PARTS: usize = 16;

/// A connection of a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(u64);

impl fmt::Display for ConnectionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "c{}", self.0)
    }
}

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionState {
    /// Waits for a request. The numbers order connections by when their wait began.
    Waiting { has_served: bool, since: u64 },
    /// Serves a request.
    Serving,
    /// Is being closed in favour of another one.
    Closing,
}

/// A connection that a table has taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Admission {
    /// The new connection.
    pub id: ConnectionId,
    /// The connection that it replaces.
    pub evicted: Option<EvictedConnection>,
}

/// A connection that its owner is to close.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EvictedConnection {
    /// The connection.
    pub id: ConnectionId,
    /// Whether it has completed a request, so that a response may still be on its way.
    pub has_served: bool,
}

/// The connections to one port.
///
/// ```
/// use onyxfall_intake::ConnectionTable;
/// let mut table = ConnectionTable::default();
/// let first = table.open(2).unwrap().id;
/// let second = table.open(2).unwrap().id;
/// table.begin_request(first);
/// assert_eq!(table.open(2).unwrap().evicted.unwrap().id, second);
/// ```
#[derive(Debug, Default)]
pub struct ConnectionTable {
    connections: HashMap<ConnectionId, ConnectionState>,
    /// Waiting connections in the order in which they give way.
    waiting: BTreeSet<(bool, u64, ConnectionId)>,
    /// Number of connections that are being closed.
    closing: usize,
    next: u64,
}

impl ConnectionTable {
    /// Adds a connection to a table of at most `limit` connections. `None` if none gives way.
    ///
    /// ```
    /// use onyxfall_intake::ConnectionTable;
    /// let mut table = ConnectionTable::default();
    /// let busy = table.open(1).unwrap().id;
    /// table.begin_request(busy);
    /// assert!(table.open(1).is_none());
    /// ```
    pub fn open(&mut self, limit: usize) -> Option<Admission> {
        let evicted = if self.count() < limit {
            None
        } else {
            if self.closing > limit / CLOSING_PARTS {
                return None;
            }
            let (has_served, _, id) = self.waiting.pop_first()?;
            self.connections.insert(id, ConnectionState::Closing);
            self.closing += 1;
            Some(EvictedConnection { id, has_served })
        };
        let id = ConnectionId(self.tick());
        self.wait(id, false);
        Some(Admission { id, evicted })
    }

    /// Records that a connection has received the head of a request. Returns whether it may serve
    /// it: a connection that is being closed may not.
    ///
    /// ```
    /// use onyxfall_intake::ConnectionTable;
    /// let mut table = ConnectionTable::default();
    /// let evicted = table.open(1).unwrap().id;
    /// table.open(1).unwrap();
    /// assert!(!table.begin_request(evicted));
    /// ```
    pub fn begin_request(&mut self, id: ConnectionId) -> bool {
        match self.connections.get(&id) {
            Some(ConnectionState::Waiting { has_served, since }) => {
                self.waiting.remove(&(*has_served, *since, id));
                self.connections.insert(id, ConnectionState::Serving);
                true
            }
            Some(ConnectionState::Serving) => true,
            Some(ConnectionState::Closing) | None => false,
        }
    }

    /// Records that a connection waits for its next request.
    ///
    /// ```
    /// use onyxfall_intake::ConnectionTable;
    /// let mut table = ConnectionTable::default();
    /// let id = table.open(1).unwrap().id;
    /// table.begin_request(id);
    /// table.end_request(id);
    /// assert_eq!(table.open(1).unwrap().evicted.unwrap().id, id);
    /// ```
    pub fn end_request(&mut self, id: ConnectionId) {
        if self.connections.get(&id) == Some(&ConnectionState::Serving) {
            self.wait(id, true);
        }
    }

    /// Removes a connection that has been closed.
    ///
    /// ```
    /// use onyxfall_intake::ConnectionTable;
    /// let mut table = ConnectionTable::default();
    /// let id = table.open(1).unwrap().id;
    /// table.close(id);
    /// assert_eq!(table.count(), 0);
    /// ```
    pub fn close(&mut self, id: ConnectionId) {
        match self.connections.remove(&id) {
            Some(ConnectionState::Waiting { has_served, since }) => {
                self.waiting.remove(&(has_served, since, id));
            }
            Some(ConnectionState::Closing) => self.closing -= 1,
            Some(ConnectionState::Serving) | None => {}
        }
    }

    /// Number of open connections, those that are being closed left out.
    ///
    /// ```
    /// use onyxfall_intake::ConnectionTable;
    /// assert_eq!(ConnectionTable::default().count(), 0);
    /// ```
    pub fn count(&self) -> usize {
        self.connections.len() - self.closing
    }

    fn wait(&mut self, id: ConnectionId, has_served: bool) {
        let since = self.tick();
        let state = ConnectionState::Waiting { has_served, since };
        self.connections.insert(id, state);
        self.waiting.insert((has_served, since, id));
    }

    fn tick(&mut self) -> u64 {
        self.next += 1;
        self.next
    }
}
