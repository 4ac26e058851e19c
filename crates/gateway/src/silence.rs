//! Leaving a server that is taken for silent.
//!
//! What waits for such a server's answer and may be sent again is moved at once: its
//! connection, which is closed with that, would break only after 1.5 s, and one that is
//! merely idle after three.

use std::collections::BTreeSet;
use std::rc::Rc;

use onyxfall_policy::Moment;
use onyxfall_types::ServerId;

use crate::gateway::Gateway;

/// Ends when a server is taken for silent.
pub(crate) async fn wait_until_unresponsive(gateway: Rc<Gateway>, server: ServerId) {
    loop {
        let noticed = gateway.silence.notified();
        if gateway.is_silent(server) {
            return;
        }
        noticed.await;
    }
}

/// Ends when a server has started again: what ran there has ended.
pub(crate) async fn wait_for_replacement(gateway: Rc<Gateway>, server: ServerId) {
    loop {
        let noticed = gateway.silence.notified();
        if gateway.fleet.borrow().server(server).is_replaced() {
            return;
        }
        noticed.await;
    }
}

impl Gateway {
    /// Whether a server is taken for silent.
    pub(crate) fn is_silent(&self, server: ServerId) -> bool {
        let now = self.now();
        self.fleet.borrow().is_silent(now, server)
    }

    /// Looks for servers that are silent by time alone: an answer of this VM has become
    /// overdue after the other votes had come.
    pub(crate) fn refresh_unresponsive(&self, now: Moment) {
        let live: BTreeSet<ServerId> = self.fleet.borrow().live().map(|(id, _)| id).collect();
        self.unresponsive_servers
            .borrow_mut()
            .retain(|id| live.contains(id));
        for server in live {
            self.note_silence(now, server);
        }
    }

    /// Logs that a server is now taken for silent, or no longer, and wakes those that wait
    /// for it.
    pub(crate) fn note_silence(&self, now: Moment, server: ServerId) {
        let fleet = self.fleet.borrow();
        let is_silent = fleet.is_silent(now, server);
        let mut noted = self.unresponsive_servers.borrow_mut();
        let is_news = if is_silent {
            noted.insert(server)
        } else {
            noted.remove(&server)
        };
        if !is_news {
            return;
        }
        let votes = fleet.server(server).votes(now);
        log::info!(
            server = fleet.server(server).record.name.as_str(),
            silent = is_silent,
            good = votes.good,
            bad = votes.bad;
            "server judged by all VMs"
        );
        if is_silent {
            self.metrics.count("onyxfall_silent_servers_total");
            self.silence.notify_waiters();
        }
    }
}
