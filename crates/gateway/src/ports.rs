//! The connections to each port, and how they are closed in favour of others.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use onyxfall_clock::BootInstant;
use onyxfall_intake::{ConnectionId, ConnectionTable, EvictedConnection, PortRole};
use tokio::sync::Notify;

use crate::metrics::GatewayMetrics;

/// Least time between two log lines about a port that is full.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Wakes the task of a connection that is to close.
#[derive(Debug, Default)]
struct CloseSignal {
    notify: Notify,
    has_served: Cell<bool>,
}

/// The connections to one port.
#[derive(Debug)]
pub(crate) struct PortConnections {
    role: PortRole,
    table: RefCell<ConnectionTable>,
    signals: RefCell<HashMap<ConnectionId, Rc<CloseSignal>>>,
    logged_at: Cell<Option<BootInstant>>,
}

impl PortConnections {
    pub(crate) fn new(role: PortRole) -> Self {
        Self {
            role,
            table: RefCell::default(),
            signals: RefCell::default(),
            logged_at: Cell::new(None),
        }
    }

    /// Whether the next connection replaces another one.
    pub(crate) fn is_full(&self, limit: usize) -> bool {
        self.table.borrow().count() >= limit
    }

    /// Takes a new connection, in place of another one if there are `limit`. `None` if none of them
    /// gives way.
    pub(crate) fn open(
        self: &Rc<Self>,
        limit: usize,
        metrics: &GatewayMetrics,
    ) -> Option<OpenConnection> {
        let admission = self.table.borrow_mut().open(limit);
        let Some(admission) = admission else {
            metrics.count("onyxfall_refused_connections_total");
            self.log_full(limit, "a connection was refused: its port is full");
            return None;
        };
        if let Some(evicted) = admission.evicted {
            metrics.count("onyxfall_evicted_connections_total");
            self.log_full(limit, "an idle connection gives way: its port is full");
            self.signal(evicted);
        }
        let signal = Rc::<CloseSignal>::default();
        let signals = &mut self.signals.borrow_mut();
        signals.insert(admission.id, Rc::clone(&signal));
        Some(OpenConnection {
            port: Rc::clone(self),
            id: admission.id,
            signal,
        })
    }

    fn signal(&self, evicted: EvictedConnection) {
        if let Some(signal) = self.signals.borrow().get(&evicted.id) {
            signal.has_served.set(evicted.has_served);
            signal.notify.notify_one();
        }
    }

    fn log_full(&self, limit: usize, message: &str) {
        let logged = self.logged_at.get();
        if logged.is_none_or(|at| at.elapsed() >= LOG_INTERVAL) {
            self.logged_at.set(Some(BootInstant::now()));
            log::warn!(port:? = self.role, limit; "{message}");
        }
    }
}

/// A connection that counts as open until dropped.
#[derive(Debug)]
pub(crate) struct OpenConnection {
    port: Rc<PortConnections>,
    id: ConnectionId,
    signal: Rc<CloseSignal>,
}

impl OpenConnection {
    /// Waits until the connection is to close in favour of another one. Returns whether it has
    /// completed a request.
    pub(crate) async fn wait_eviction(&self) -> bool {
        self.signal.notify.notified().await;
        self.signal.has_served.get()
    }

    /// Keeps the connection open until the returned value is dropped.
    pub(crate) fn serve_request(self: &Rc<Self>) -> ServedRequest {
        self.keep();
        ServedRequest(Rc::clone(self))
    }

    /// Keeps the connection open from now on.
    pub(crate) fn keep(&self) {
        // The task of a connection that gives way ends before it is given another request.
        self.port.table.borrow_mut().begin_request(self.id);
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.port.table.borrow_mut().close(self.id);
        self.port.signals.borrow_mut().remove(&self.id);
    }
}

/// A request that is served on a connection.
#[derive(Debug)]
pub(crate) struct ServedRequest(Rc<OpenConnection>);

impl Drop for ServedRequest {
    fn drop(&mut self) {
        self.0.port.table.borrow_mut().end_request(self.0.id);
    }
}
