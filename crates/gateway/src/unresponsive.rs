//! Handling of servers that are judged unresponsive.
//!
//! Requests that wait for such a server's response and may be sent again are moved to another
//! server at once. Their connection is closed with that; otherwise it would be dropped only
//! after 1.5 s, and an idle one after 2 s.

use std::collections::BTreeSet;
use std::rc::Rc;

use onyxfall_policy::Moment;
use onyxfall_types::ServerId;

use crate::gateway::Gateway;

/// Waits until a server is judged unresponsive.
pub(crate) async fn wait_until_unresponsive(gateway: Rc<Gateway>, server: ServerId) {
    loop {
        let notified = gateway.unresponsive.notified();
        if gateway.is_unresponsive(server) {
            return;
        }
        notified.await;
    }
}

/// Waits until a server has restarted: whatever ran on the old instance is lost.
pub(crate) async fn wait_for_replacement(gateway: Rc<Gateway>, server: ServerId) {
    loop {
        let notified = gateway.unresponsive.notified();
        if gateway.fleet.borrow().server(server).is_replaced() {
            return;
        }
        notified.await;
    }
}

impl Gateway {
    /// Whether a server is judged unresponsive.
    pub(crate) fn is_unresponsive(&self, server: ServerId) -> bool {
        let now = self.now();
        self.fleet.borrow().is_unresponsive(now, server)
    }

    /// Looks for servers that have become unresponsive by passage of time alone: a response to
    /// this VM became overdue after the other VMs' votes had arrived.
    pub(crate) fn refresh_unresponsive(&self, now: Moment) {
        let live: BTreeSet<ServerId> = self.fleet.borrow().live().map(|(id, _)| id).collect();
        self.unresponsive_servers
            .borrow_mut()
            .retain(|id| live.contains(id));
        for server in live {
            self.update_unresponsive(now, server);
        }
    }

    /// Logs when a server becomes unresponsive or responsive again, and wakes the tasks that
    /// wait for it to become unresponsive.
    pub(crate) fn update_unresponsive(&self, now: Moment, server: ServerId) {
        let fleet = self.fleet.borrow();
        let is_unresponsive = fleet.is_unresponsive(now, server);
        let mut unresponsive = self.unresponsive_servers.borrow_mut();
        let has_changed = if is_unresponsive {
            unresponsive.insert(server)
        } else {
            unresponsive.remove(&server)
        };
        if !has_changed {
            return;
        }
        let votes = fleet.votes(now, server);
        log::info!(
            server = fleet.server(server).record.name.as_str(),
            silent = is_unresponsive,
            good = votes.good,
            bad = votes.bad;
            "server responsiveness changed"
        );
        if is_unresponsive {
            self.metrics.count("onyxfall_silent_servers_total");
            self.unresponsive.notify_waiters();
        } else if !fleet.server(server).is_gone() {
            // The instance had not ended: it was silent for a while only.
            self.metrics.count("onyxfall_returned_servers_total");
        }
    }
}
