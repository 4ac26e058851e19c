//! Suspicions that a server or VM has ended, which may be wrong, and proofs that a server has.

use std::cell::Cell;
use std::collections::BTreeSet;
use std::io;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use onyxfall_clock::BootInstant;
use onyxfall_fleet::EndCheck;
use onyxfall_policy::Moment;
use onyxfall_streams::AttemptLog;
use onyxfall_suspects::InstanceTag;
use onyxfall_types::ServerId;

use crate::call::{CallContext, CallOrigin};
use crate::connection::{LOCAL_DIAL_LIMIT, dial};
use crate::gateway::Gateway;

/// Pauses before the checks of whether servers have ended. A process that is ending may close
/// its port after its connections.
const END_CHECK_PAUSES: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(20),
    Duration::from_millis(60),
];
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

/// Waits until a run recorded for a server is suspected to be lost. `received` holds when the run
/// last sent something, or was sent.
pub(crate) async fn wait_until_run_suspected(
    gateway: Rc<Gateway>,
    server: ServerId,
    received: Rc<Cell<BootInstant>>,
) {
    loop {
        let notified = gateway.suspicion.notified();
        if gateway.is_run_suspected(server, received.get()) {
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

/// Records in `log` which servers have ended, if the request has no attempt left otherwise.
/// Dials those of which this VM has no proof.
pub(crate) async fn find_ended(gateway: &Gateway, call: &CallContext, log: &mut AttemptLog) {
    for pause in END_CHECK_PAUSES {
        let unproved = gateway.take_proofs(call, log);
        if unproved.is_empty() {
            return;
        }
        tokio::time::sleep(pause).await;
        join_all(unproved.into_iter().map(|id| gateway.check_end(id))).await;
    }
    gateway.take_proofs(call, log);
}

/// Like [`find_ended`], but the checks are started only and found by a later call.
pub(crate) fn note_ended(gateway: &Rc<Gateway>, call: &CallContext, log: &mut AttemptLog) {
    let now = gateway.now();
    for server in gateway.take_proofs(call, log) {
        if !gateway.fleet.borrow_mut().start_end_check(now, server) {
            continue;
        }
        let gateway = Rc::clone(gateway);
        tokio::task::spawn_local(async move {
            gateway.check_end(server).await;
        });
    }
}

impl Gateway {
    /// Records in `log` which servers are known to have ended, if the request has no attempt left
    /// otherwise. Returns those that may have ended, too, if it would have one left then.
    fn take_proofs(&self, call: &CallContext, log: &mut AttemptLog) -> Vec<ServerId> {
        let may_run_again = call.rules.repeatable || call.origin != CallOrigin::Caller;
        if !may_run_again || log.has_attempt(call.rules.max_attempts) || !log.has_arrival() {
            return Vec::new();
        }
        let (now, fleet) = (self.now(), self.fleet.borrow());
        let mut unproved = Vec::new();
        for server in log.unproved() {
            if fleet.is_proved_ended(server) {
                log.record_end(server);
            } else if fleet.may_have_ended(now, server) {
                unproved.push(server);
            }
        }
        unproved
    }

    /// Dials a server to learn whether it has ended.
    pub(crate) async fn check_end(&self, server: ServerId) -> EndCheck {
        let address = self.fleet.borrow().server(server).record.address;
        let check = match dial(address, self.dial_plan(LOCAL_DIAL_LIMIT)).await {
            Ok(_) => EndCheck::Accepted,
            Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => EndCheck::Refused,
            Err(_) => EndCheck::Unanswered,
        };
        self.metrics.count("onyxfall_end_checks_total");
        self.fleet.borrow_mut().record_end_check(server, check);
        check
    }

    /// Finds a live server by the tag of its instance.
    pub(crate) fn find_instance(&self, tag: InstanceTag) -> Option<ServerId> {
        self.fleet.borrow().find_instance(tag.number())
    }

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

    /// Whether a run recorded for a server, which last sent something at `received`, is suspected
    /// to be lost.
    fn is_run_suspected(&self, server: ServerId, received: BootInstant) -> bool {
        let (now, last_seen) = (self.now(), self.moment_of(received));
        let fleet = self.fleet.borrow();
        fleet.is_run_suspected(now, server, last_seen)
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
