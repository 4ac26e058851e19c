//! Requests that crash servers: what this VM records of them, and where they may run.
//!
//! A single caller that retries such a request can crash many servers: 28 crashed in one
//! incident, each with up to 128 runs of other callers. Crash evidence therefore outlives
//! the request and is sent to every VM. `onyxfall_suspects` evaluates the evidence, and
//! this module applies its verdicts.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use onyxfall_fleet::{DecisionSwitch, LocalOption, TimePrediction};
use onyxfall_overlay::{KnownVm, VmRecord};
use onyxfall_policy::Moment;
use onyxfall_suspects::{
    InstanceTag, RequestFingerprint, SuspectCursor, SuspectTable, SuspectVerdict, holder_of,
};
use onyxfall_types::{RefusalReason, RegionName, RequestError, ServerId};
use onyxfall_wire::VmUpdate;

use crate::call::{CallContext, CallOrigin};
use crate::decide::{RouteStep, server_target};
use crate::frames::{read_suspects, wire_suspects};
use crate::gateway::Gateway;
use crate::relay::{PeerReason, PeerTarget};
use crate::serve::CallProgress;

/// Retry delay while the same request is running. A server crashed 40 to 180 ms after it
/// had started such a request, and a stream that completes takes some tenths of a second.
const RUNNING_RETRY: Duration = Duration::from_millis(300);
/// Retry delay while the VM that holds the request cannot be reached. Another holder takes
/// over once the VM counts as unresponsive, after 1.3 s.
const HOLDER_RETRY: Duration = Duration::from_millis(900);

/// Suspect state shared by the tasks of a gateway.
pub(crate) type SharedSuspects = RefCell<SuspectState>;

/// Evidence and running requests of this VM.
#[derive(Debug, Default)]
pub(crate) struct SuspectState {
    table: SuspectTable,
    /// Number of runs in progress for each request that is in the table.
    running: HashMap<RequestFingerprint, u32>,
}

/// A run of a request with crash evidence. It counts as running until dropped.
pub(crate) struct SuspectRun {
    gateway: Rc<Gateway>,
    fingerprint: RequestFingerprint,
}

impl SuspectRun {
    /// Counts a run that starts. Returns `None` if there is no evidence against its request.
    pub(crate) fn start(gateway: &Rc<Gateway>, call: &CallContext) -> Option<Self> {
        let mut state = gateway.suspects.borrow_mut();
        if state.table.is_empty() || !state.table.knows(call.fingerprint()) {
            return None;
        }
        *state.running.entry(call.fingerprint()).or_default() += 1;
        drop(state);
        Some(Self {
            gateway: Rc::clone(gateway),
            fingerprint: call.fingerprint(),
        })
    }
}

impl Drop for SuspectRun {
    fn drop(&mut self) {
        let mut state = self.gateway.suspects.borrow_mut();
        if let Some(count) = state.running.get_mut(&self.fingerprint) {
            *count -= 1;
            if *count == 0 {
                state.running.remove(&self.fingerprint);
            }
        }
    }
}

impl Gateway {
    /// Records that a server was lost while it ran a request, and sends the evidence at
    /// once.
    pub(crate) fn record_lost_run(&self, now: Moment, call: &CallContext, server: ServerId) {
        let instance = self.instance_of(server);
        let fingerprint = call.fingerprint();
        let verdict = {
            let mut state = self.suspects.borrow_mut();
            state.table.record_crash(now, fingerprint, instance);
            state.table.judge(now, fingerprint)
        };
        self.metrics.count("onyxfall_lost_runs_total");
        if verdict != SuspectVerdict::Clear {
            log::warn!(
                request = call.request_id.as_str(),
                fingerprint:% = fingerprint,
                verdict = verdict.as_str();
                "request suspected of crashing servers"
            );
        }
        self.send_updates_now.notify_waiters();
    }

    /// Records that a request completed without a crash.
    pub(crate) fn record_completed_run(&self, call: &CallContext) {
        let mut state = self.suspects.borrow_mut();
        if !state.table.is_empty() {
            state.table.record_success(call.fingerprint());
        }
    }

    /// Expires evidence, and clears evidence of lost servers that have shown to be alive.
    pub(crate) fn refresh_suspects(&self, now: Moment) {
        let mut state = self.suspects.borrow_mut();
        if state.table.is_empty() {
            return;
        }
        let lost_instances: Vec<InstanceTag> = state.table.lost_instances().collect();
        let fleet = self.fleet.borrow();
        for instance in lost_instances {
            let server = fleet.find_instance(instance.number());
            let last_liveness = server.and_then(|id| fleet.server(id).last_liveness());
            if let Some(last_liveness) = last_liveness {
                state.table.record_liveness(instance, last_liveness);
            }
        }
        state.table.expire(now);
    }

    fn instance_of(&self, server: ServerId) -> InstanceTag {
        let fleet = self.fleet.borrow();
        InstanceTag::from_number(fleet.server(server).instance_hash())
    }

    /// Returns the verdict on a request.
    pub(crate) fn judge(&self, call: &CallContext) -> SuspectVerdict {
        let state = self.suspects.borrow();
        if state.table.is_empty() || !self.is_on(DecisionSwitch::CrashSuspects) {
            return SuspectVerdict::Clear;
        }
        state.table.judge(self.now(), call.fingerprint())
    }

    /// Decides the next step of a request with crash evidence. `None` if the request is routed
    /// as any other.
    pub(crate) fn decide_suspect(
        &self,
        call: &CallContext,
        progress: &CallProgress,
    ) -> Option<RouteStep> {
        let verdict = self.judge(call);
        match verdict {
            SuspectVerdict::Clear => None,
            SuspectVerdict::Quarantined { left } => Some(RouteStep::Refuse(quarantine_error(left))),
            SuspectVerdict::Pending { left } => {
                Some(reject("servers crashed while running this request", left))
            }
            SuspectVerdict::Suspected => Some(self.decide_isolated(call, progress)),
        }
    }

    fn is_running(&self, call: &CallContext) -> bool {
        let state = self.suspects.borrow();
        state.running.contains_key(&call.fingerprint())
    }

    /// Runs a suspected request at a single VM of the system, one run at a time, on the server
    /// where the least would be lost with it.
    fn decide_isolated(&self, call: &CallContext, progress: &CallProgress) -> RouteStep {
        if call.origin == CallOrigin::Caller
            && let Some(holder) = self.suspect_holder(call)
            && holder.name != *self.vm()
        {
            if !progress.vms.is_empty() {
                return reject(
                    "the VM that may run this request cannot be reached",
                    HOLDER_RETRY,
                );
            }
            return RouteStep::Peer(PeerTarget {
                vm: holder.name,
                address: SocketAddr::new(holder.peer_address.ip(), self.settings().relay.port()),
                region: holder.region,
                predicted: TimePrediction::default(),
                reason: PeerReason::Holder,
            });
        }
        if self.is_running(call) {
            return self.wait_or_refuse(call, "the same request is running", RUNNING_RETRY);
        }
        let now = self.now();
        let fleet = self.fleet.borrow();
        let option = fleet.choose_alone(now, &call.needs, &progress.servers);
        match option {
            LocalOption::Free(choice) => RouteStep::Server(server_target(&fleet, &choice)),
            LocalOption::BackedOff(end) => self.wait_for_backoff(call, end - now),
            _ => self.wait_or_refuse(call, "no server is usable", call.needs.goal / 2),
        }
    }

    /// Returns the VM that may run a suspected request: one of the live VMs in a region that may
    /// serve the request and has servers for it.
    fn suspect_holder(&self, call: &CallContext) -> Option<VmRecord> {
        let overlay = self.overlay.borrow();
        let roster = overlay.roster();
        let fleet = self.fleet.borrow();
        let serves = |region: &RegionName| {
            call.needs.allows_region(region) && fleet.has_servers_in(&call.needs.service, region)
        };
        let others = roster
            .others()
            .filter(|vm| vm.is_alive() && is_accepting(vm));
        let vms = others.map(|vm| &vm.record).chain([roster.own()]);
        let vms = vms.filter(|vm| !vm.status.unreached.contains(&call.needs.service));
        let serving: Vec<&VmRecord> = vms.filter(|vm| serves(&vm.region)).collect();
        let holder = holder_of(call.fingerprint(), serving.iter().map(|vm| &vm.name))?;
        let record = serving.iter().find(|vm| vm.name == *holder)?;
        Some((*record).clone())
    }

    /// Adds suspect changes since the last update on a link to `update`.
    pub(crate) fn collect_suspects(&self, cursor: &mut SuspectCursor, update: &mut VmUpdate) {
        let changes = self.suspects.borrow().table.next_update(self.now(), cursor);
        if !changes.is_empty() {
            wire_suspects(&changes, update);
        }
    }

    /// Applies the suspect changes in another VM's update.
    pub(crate) fn apply_suspects(&self, now: Moment, update: &VmUpdate) {
        if update.suspects.is_empty() && update.lost_lives.is_empty() {
            return;
        }
        let (changes, malformed) = read_suspects(update);
        self.metrics
            .count_more("onyxfall_absurd_suspects_total", malformed);
        let is_urgent = self.suspects.borrow_mut().table.apply(now, &changes);
        if is_urgent {
            self.send_updates_now.notify_waiters();
        }
    }
}

fn is_accepting(vm: &KnownVm) -> bool {
    vm.record.status.is_ready && !vm.record.status.is_leaving
}

fn reject(detail: &str, after: Duration) -> RouteStep {
    let error = RequestError::not_run(RefusalReason::Overloaded, detail);
    RouteStep::Refuse(error.with_retry_after(after))
}

fn quarantine_error(left: Duration) -> RequestError {
    let detail = "this request crashes servers";
    RequestError::not_run(RefusalReason::Quarantined, detail).with_retry_after(left)
}
