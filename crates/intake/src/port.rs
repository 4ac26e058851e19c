//! The connections to one port, and the signals that close them in favour of others.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use onyxfall_clock::BootInstant;
use tokio::sync::Notify;

use crate::connections::{ConnectionId, ConnectionTable, EvictedConnection};

/// Longest time for which a connection that gives way to another one sends its last response.
pub const EVICTION_LIMIT: Duration = Duration::from_secs(2);
/// Least time between two log lines about a port that is full.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Wakes the task of a connection that is to close.
#[derive(Debug, Default)]
struct CloseSignal {
    notify: Notify,
    has_served: AtomicBool,
}

#[derive(Debug, Default)]
struct PortState {
    table: ConnectionTable,
    signals: HashMap<ConnectionId, Arc<CloseSignal>>,
    logged_at: Option<BootInstant>,
}

impl PortState {
    fn signal(&self, evicted: EvictedConnection) {
        if let Some(signal) = self.signals.get(&evicted.id) {
            signal
                .has_served
                .store(evicted.has_served, Ordering::Relaxed);
            signal.notify.notify_one();
        }
    }

    fn log_full(&mut self, port: &str, limit: usize, message: &str) {
        if self.logged_at.is_none_or(|at| at.elapsed() >= LOG_INTERVAL) {
            self.logged_at = Some(BootInstant::now());
            log::warn!(port, limit; "{message}");
        }
    }
}

/// The connections to one port. Clones share them.
#[derive(Clone, Debug)]
pub struct PortConnections {
    name: &'static str,
    state: Arc<Mutex<PortState>>,
}

impl PortConnections {
    /// Creates a port without connections; `name` stands in logs.
    ///
    /// ```
    /// use onyxfall_intake::PortConnections;
    /// assert!(!PortConnections::new("callers").is_full(1));
    /// ```
    pub fn new(name: &'static str) -> Self {
        Self {
            name,
            state: Arc::default(),
        }
    }

    /// Takes a new connection, in place of another one if there are `limit`. `None` if none of them
    /// gives way; it is logged, as are connections that give way, at most once a second.
    ///
    /// ```
    /// use onyxfall_intake::PortConnections;
    /// let port = PortConnections::new("callers");
    /// let first = port.open(1).unwrap();
    /// let second = port.open(1).unwrap();
    /// assert!(!first.replaces_another());
    /// assert!(second.replaces_another());
    /// ```
    pub fn open(&self, limit: usize) -> Option<OpenConnection> {
        let mut state = self.lock();
        let Some(admission) = state.table.open(limit) else {
            let message = "a connection was refused: its port is full";
            state.log_full(self.name, limit, message);
            return None;
        };
        if let Some(evicted) = admission.evicted {
            let message = "an idle connection gives way: its port is full";
            state.log_full(self.name, limit, message);
            state.signal(evicted);
        }
        let signal = Arc::<CloseSignal>::default();
        state.signals.insert(admission.id, Arc::clone(&signal));
        Some(OpenConnection {
            port: self.clone(),
            id: admission.id,
            signal,
            replaces_another: admission.evicted.is_some(),
        })
    }

    /// Number of open connections.
    ///
    /// ```
    /// use onyxfall_intake::PortConnections;
    /// assert_eq!(PortConnections::new("callers").count(), 0);
    /// ```
    pub fn count(&self) -> usize {
        self.lock().table.count()
    }

    /// Whether the next connection replaces another one or is refused.
    ///
    /// ```
    /// use onyxfall_intake::PortConnections;
    /// let port = PortConnections::new("callers");
    /// let _open = port.open(1).unwrap();
    /// assert!(port.is_full(1));
    /// ```
    pub fn is_full(&self, limit: usize) -> bool {
        self.count() >= limit
    }

    fn lock(&self) -> MutexGuard<'_, PortState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A connection that counts as open until dropped.
#[derive(Debug)]
pub struct OpenConnection {
    port: PortConnections,
    id: ConnectionId,
    signal: Arc<CloseSignal>,
    replaces_another: bool,
}

impl OpenConnection {
    /// Whether another connection was closed for this one.
    ///
    /// ```
    /// use onyxfall_intake::PortConnections;
    /// assert!(!PortConnections::new("callers").open(1).unwrap().replaces_another());
    /// ```
    pub fn replaces_another(&self) -> bool {
        self.replaces_another
    }

    /// Waits until the connection is to close in favour of another one. Returns whether it has
    /// completed a request, so that a response may still be under way, for which it has
    /// [`EVICTION_LIMIT`].
    ///
    /// ```
    /// use onyxfall_intake::PortConnections;
    /// let port = PortConnections::new("callers");
    /// let first = port.open(1).unwrap();
    /// let _second = port.open(1).unwrap();
    /// let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
    /// assert!(!runtime.block_on(first.wait_eviction()));
    /// ```
    pub async fn wait_eviction(&self) -> bool {
        self.signal.notify.notified().await;
        self.signal.has_served.load(Ordering::Relaxed)
    }

    /// Keeps the connection open until the returned value is dropped. `None` if it is closing.
    ///
    /// ```
    /// use std::sync::Arc;
    /// use onyxfall_intake::PortConnections;
    /// let port = PortConnections::new("callers");
    /// let open = Arc::new(port.open(1).unwrap());
    /// let request = open.serve_request().unwrap();
    /// assert!(port.open(1).is_none());
    /// drop(request);
    /// assert!(port.open(1).is_some());
    /// ```
    pub fn serve_request(self: &Arc<Self>) -> Option<ServedRequest> {
        self.keep().then(|| ServedRequest(Arc::clone(self)))
    }

    /// Keeps the connection open from now on. Returns whether it was not closing already.
    ///
    /// ```
    /// use onyxfall_intake::PortConnections;
    /// let port = PortConnections::new("links");
    /// let open = port.open(1).unwrap();
    /// assert!(open.keep());
    /// assert!(port.open(1).is_none());
    /// ```
    pub fn keep(&self) -> bool {
        self.port.lock().table.begin_request(self.id)
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let mut state = self.port.lock();
        state.table.close(self.id);
        state.signals.remove(&self.id);
    }
}

/// A request that is served on a connection, up to the last byte of the response.
#[derive(Debug)]
pub struct ServedRequest(Arc<OpenConnection>);

impl Drop for ServedRequest {
    fn drop(&mut self) {
        self.0.port.lock().table.end_request(self.0.id);
    }
}
