//! Waiting for what may have become of a server: a suspicion that it has ended, which may be
//! wrong, and its certain end.

use std::cell::Cell;
use std::collections::BTreeSet;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use onyxfall_clock::BootInstant;
use onyxfall_policy::Moment;
use onyxfall_types::ServerId;

use crate::gateway::Gateway;

/// Interval at which the VM of a relayed stream is checked.
const VM_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Silence of a stream from which the roster is asked for its VM.
const MIN_VM_SILENCE: Duration = Duration::from_millis(400);

/// Waits until a server is suspected to have ended.
pub(crate) async fn wait_until_suspected(gateway: Rc<Gateway>, server: ServerId) {
    loop {
        let notified = gateway.suspicion.notified();
        if gateway.is_suspected(server) {
            return;
        }
        notified.await;
    }
}

/// Waits until a server has sent this VM nothing for `pause`. A process that hangs is seen by its
/// streams alone if no first byte is due.
pub(crate) async fn wait_until_stalled(gateway: Rc<Gateway>, server: ServerId, pause: Duration) {
    let start = gateway.now();
    loop {
        let sign = gateway.fleet.borrow().server(server).last_liveness();
        let silent_for = gateway.now() - sign.map_or(start, |at| at.max(start));
        if silent_for >= pause {
            return;
        }
        tokio::time::sleep(pause.saturating_sub(silent_for)).await;
    }
}

/// Waits until the VM that relays a stream is suspected: this VM has received nothing for `pause`,
/// or for [`MIN_VM_SILENCE`] while the roster takes the other VM for gone. A stream that arrives
/// shows its VM to be alive, whatever the roster knows.
pub(crate) async fn wait_until_vm_suspected(
    gateway: Rc<Gateway>,
    address: IpAddr,
    received: Rc<Cell<BootInstant>>,
    pause: Duration,
) {
    loop {
        tokio::time::sleep(VM_CHECK_INTERVAL).await;
        let silent_for = received.get().elapsed();
        if silent_for >= pause || (silent_for >= MIN_VM_SILENCE && gateway.is_vm_gone(address)) {
            return;
        }
    }
}

/// Waits until a server has ended for certain: whatever ran on it is lost.
pub(crate) async fn wait_until_ended(gateway: Rc<Gateway>, server: ServerId) {
    loop {
        let notified = gateway.suspicion.notified();
        if gateway.fleet.borrow().has_ended(server) {
            return;
        }
        notified.await;
    }
}

impl Gateway {
    /// Whether the roster knows no live VM at an address.
    fn is_vm_gone(&self, address: IpAddr) -> bool {
        let overlay = self.overlay.borrow();
        let mut others = overlay.roster().others();
        !others.any(|vm| vm.is_alive() && vm.record.peer_address.ip() == address)
    }

    /// Whether a server is suspected to have ended.
    pub(crate) fn is_suspected(&self, server: ServerId) -> bool {
        let now = self.now();
        self.fleet.borrow().is_suspected(now, server)
    }

    /// Looks for servers that are suspected by passage of time alone: a response to this VM became
    /// overdue after the other VMs' votes had arrived.
    pub(crate) fn refresh_suspected(&self, now: Moment) {
        let live: BTreeSet<ServerId> = self.fleet.borrow().live().map(|(id, _)| id).collect();
        self.suspected_servers
            .borrow_mut()
            .retain(|id| live.contains(id));
        for server in live {
            self.update_suspected(now, server);
        }
    }

    /// Logs when a suspicion of a server begins or ends, and wakes the tasks that wait for it.
    pub(crate) fn update_suspected(&self, now: Moment, server: ServerId) {
        let fleet = self.fleet.borrow();
        let is_suspected = fleet.is_suspected(now, server);
        let mut suspected = self.suspected_servers.borrow_mut();
        let has_changed = if is_suspected {
            suspected.insert(server)
        } else {
            suspected.remove(&server)
        };
        if !has_changed {
            return;
        }
        let votes = fleet.votes(now, server);
        log::info!(
            server = fleet.server(server).record.name.as_str(),
            silent = is_suspected,
            path = fleet.path_state(&fleet.server(server).record.service).as_str(),
            good = votes.good,
            bad = votes.bad;
            "server responsiveness changed"
        );
        if is_suspected {
            self.metrics.count("onyxfall_silent_servers_total");
            self.suspicion.notify_waiters();
        } else if !fleet.server(server).is_gone() {
            // The instance had not ended: it was silent for a while only.
            self.metrics.count("onyxfall_returned_servers_total");
        }
    }
}
