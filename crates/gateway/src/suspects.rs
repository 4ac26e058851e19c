//! Requests that crash servers: what this VM records of them, and where they may run.
//!
//! A single request that is retried, or a part that many prompts have in common, can crash
//! one server after the other, each with up to 128 runs of other callers. Crash evidence
//! therefore outlives the request and is sent to every VM. `onyxfall_suspects` evaluates the
//! evidence, and this module applies its verdicts.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use onyxfall_fleet::{DecisionSwitch, LocalOption, TimePrediction};
use onyxfall_overlay::{KnownVm, VmRecord};
use onyxfall_policy::Moment;
use onyxfall_suspects::{
    CallJudgement, EvidenceKey, InstanceTag, PartScope, SuspectCursor, SuspectTable,
    SuspectVerdict, holder_of,
};
use onyxfall_types::{RefusalReason, RegionName, RequestError, ServerId, TeamName};
use onyxfall_wire::VmUpdate;

use crate::call::{CallContext, CallOrigin};
use crate::decide::{RouteStep, server_target};
use crate::frames::{read_suspects, wire_suspects};
use crate::gateway::Gateway;
use crate::reach::LostRun;
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
    /// Number of runs in progress for each key that is in the table.
    running: HashMap<EvidenceKey, u32>,
}

/// A run of a request with crash evidence. It counts as running until dropped.
pub(crate) struct SuspectRun {
    gateway: Rc<Gateway>,
    keys: Vec<EvidenceKey>,
}

impl SuspectRun {
    /// Counts a run that starts. Returns `None` if there is no evidence against its request.
    pub(crate) fn start(gateway: &Rc<Gateway>, call: &CallContext) -> Option<Self> {
        if gateway.suspects.borrow().table.is_empty() {
            return None;
        }
        let tested = gateway.judge(call).map(|judgement| judgement.key);
        let mut state = gateway.suspects.borrow_mut();
        let mut keys = state.table.known_keys(call.keys());
        keys.extend(tested.filter(|key| !keys.contains(key)));
        for key in &keys {
            *state.running.entry(*key).or_default() += 1;
        }
        drop(state);
        let gateway = Rc::clone(gateway);
        (!keys.is_empty()).then_some(Self { gateway, keys })
    }
}

impl Drop for SuspectRun {
    fn drop(&mut self) {
        let mut state = self.gateway.suspects.borrow_mut();
        for key in &self.keys {
            if let Some(count) = state.running.get_mut(key) {
                *count -= 1;
                if *count == 0 {
                    state.running.remove(key);
                }
            }
        }
    }
}

impl Gateway {
    /// Records that a server was lost while it ran a request, and sends the evidence at
    /// once.
    pub(crate) fn record_lost_run(&self, run: &LostRun) {
        let instance = self.instance_of(run.server);
        let keys = run.call.keys();
        {
            let mut state = self.suspects.borrow_mut();
            state.table.record_loss(run.at, keys, instance, run.written);
        }
        self.metrics.count("onyxfall_lost_runs_total");
        if let Some(judgement) = self.judge(&run.call) {
            log::warn!(
                request = run.call.request_id.as_str(),
                key:% = judgement.key,
                part = part_text(&run.call, judgement.key).as_deref().unwrap_or("none"),
                verdict = judgement.verdict.as_str();
                "request suspected of crashing servers"
            );
        }
        self.send_updates_now.notify_waiters();
    }

    /// Records that a server has begun to write the answer to a request.
    pub(crate) fn record_written_run(&self, now: Moment, call: &CallContext, server: ServerId) {
        let parts = call.part_keys();
        if parts.is_empty() {
            return;
        }
        let instance = self.instance_of(server);
        let mut state = self.suspects.borrow_mut();
        state.table.record_start(now, instance, parts);
    }

    /// Records that a request whose answer began at `started` completed without a crash.
    pub(crate) fn record_completed_run(
        &self,
        call: &CallContext,
        started: Moment,
        server: ServerId,
    ) {
        let instance = self.instance_of(server);
        let mut state = self.suspects.borrow_mut();
        state.table.record_end(started, instance);
        if !state.table.is_empty() {
            state.table.record_success(call.keys().request);
        }
    }

    /// Expires evidence, and clears evidence of lost servers that have shown to be alive and of
    /// parts of prompts that servers have survived.
    pub(crate) fn refresh_suspects(&self, now: Moment) {
        let mut state = self.suspects.borrow_mut();
        let fleet = self.fleet.borrow();
        let last_alive = |instance: InstanceTag| {
            let server = fleet.find_instance(instance.number())?;
            fleet.server(server).last_liveness()
        };
        state.table.settle(now, last_alive);
        if state.table.is_empty() {
            return;
        }
        let lost_instances: Vec<InstanceTag> = state.table.lost_instances().collect();
        for instance in lost_instances {
            if let Some(last_alive) = last_alive(instance) {
                state.table.record_liveness(instance, last_alive);
            }
        }
        state.table.expire(now);
    }

    /// The tag of a server's instance, the same on every VM.
    pub(crate) fn instance_of(&self, server: ServerId) -> InstanceTag {
        let fleet = self.fleet.borrow();
        InstanceTag::from_number(fleet.server(server).instance_hash())
    }

    /// Judges a request. Returns `None` if it may run as any other.
    pub(crate) fn judge(&self, call: &CallContext) -> Option<CallJudgement> {
        let state = self.suspects.borrow();
        if state.table.is_empty() || !self.is_on(DecisionSwitch::CrashSuspects) {
            return None;
        }
        let judgement = state.table.judge(self.now(), call.keys());
        (judgement.verdict != SuspectVerdict::Clear).then_some(judgement)
    }

    /// Lifts the verdict on a key, and sends that to the other VMs at once. Returns whether there
    /// was evidence against it.
    pub(crate) fn lift_suspect(&self, key: EvidenceKey) -> bool {
        let had_evidence = self.suspects.borrow_mut().table.lift(key);
        if had_evidence {
            self.metrics.count("onyxfall_lifted_suspects_total");
            log::warn!(key:% = key; "verdict on crashing requests lifted by an operator");
            self.send_updates_now.notify_waiters();
        }
        had_evidence
    }

    /// Whether the request is known to crash servers.
    pub(crate) fn is_quarantined(&self, call: &CallContext) -> bool {
        let judgement = self.judge(call);
        judgement.is_some_and(|judgement| {
            matches!(judgement.verdict, SuspectVerdict::Quarantined { .. })
        })
    }

    /// Decides the next step of a request with crash evidence. `None` if the request is routed
    /// as any other.
    pub(crate) fn decide_suspect(
        &self,
        call: &CallContext,
        progress: &CallProgress,
    ) -> Option<RouteStep> {
        let CallJudgement { verdict, key } = self.judge(call)?;
        match verdict {
            SuspectVerdict::Clear => None,
            SuspectVerdict::Quarantined { left } => {
                Some(RouteStep::Refuse(quarantine_error(call, key, left)))
            }
            SuspectVerdict::Pending { left } => {
                Some(reject("servers crashed while running such a request", left))
            }
            SuspectVerdict::Suspected => Some(self.decide_isolated(call, key, progress)),
        }
    }

    /// What is refused because servers crash under it, as gauges of the seconds left and of the
    /// crashes. A key that is no part of a known service's and team's prompts is a request's.
    pub(crate) fn suspect_gauges(&self) -> String {
        let state = self.suspects.borrow();
        if state.table.is_empty() {
            return String::new();
        }
        let table = self.table();
        let services = table.iter().flat_map(|table| table.services());
        let teams = table.iter().filter_map(|table| table.teams());
        let teams = teams.flat_map(|teams| teams.iter().map(|(_, rule)| Some(&rule.name)));
        let teams: Vec<Option<&TeamName>> = teams.chain([None]).collect();
        let scopes: Vec<_> = services
            .flat_map(|service| teams.iter().map(move |team| (&service.name, *team)))
            .map(|(service, team)| (PartScope::of(service, team), service, team))
            .collect();
        let part_of = |key: EvidenceKey| {
            let mut parts = scopes.iter().filter_map(|(scope, service, team)| {
                let team = team.map_or("none", TeamName::as_str);
                let hash = scope.hash_of(key)?;
                Some(format!(
                    "kind=\"part\",service=\"{service}\",team=\"{team}\",id=\"{hash:x}\""
                ))
            });
            parts.next()
        };
        let summaries = state
            .table
            .summaries(self.now(), |key| part_of(key).is_some());
        let gauges = summaries.iter().map(|summary| {
            let label = part_of(summary.key)
                .unwrap_or_else(|| format!("kind=\"request\",id=\"{}\"", summary.key));
            let left = match summary.verdict {
                SuspectVerdict::Quarantined { left } | SuspectVerdict::Pending { left } => left,
                SuspectVerdict::Suspected | SuspectVerdict::Clear => Duration::ZERO,
            };
            let (left, crashes) = (left.as_secs_f64(), summary.crashes);
            let together = summary.together.len();
            format!(
                "onyxfall_suspect_seconds_left{{{label}}} {left:.0}\n\
                 onyxfall_suspect_crashes{{{label}}} {crashes}\n\
                 onyxfall_suspect_together{{{label}}} {together}\n"
            )
        });
        gauges.collect()
    }

    fn is_running(&self, key: EvidenceKey) -> bool {
        self.suspects.borrow().running.contains_key(&key)
    }

    /// Runs requests with a suspected key at a single VM of the system, one run at a time, on the
    /// server where the least would be lost with it.
    fn decide_isolated(
        &self,
        call: &CallContext,
        key: EvidenceKey,
        progress: &CallProgress,
    ) -> RouteStep {
        if call.origin == CallOrigin::Caller
            && let Some(holder) = self.suspect_holder(call, key)
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
        if self.is_running(key) {
            return self.wait_or_refuse(call, "such a request is running", RUNNING_RETRY);
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

    /// Returns the VM that may run requests with a suspected key: one of the live VMs in a region
    /// that may serve the request and has servers for it.
    fn suspect_holder(&self, call: &CallContext, key: EvidenceKey) -> Option<VmRecord> {
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
        let holder = holder_of(key, serving.iter().map(|vm| &vm.name))?;
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

fn quarantine_error(call: &CallContext, key: EvidenceKey, left: Duration) -> RequestError {
    let detail = part_text(call, key).map_or_else(
        || "this request crashes servers".to_owned(),
        |part| format!("part {part} of the prompt crashes servers"),
    );
    RequestError::not_run(RefusalReason::Quarantined, &detail).with_retry_after(left)
}

/// Hash of the part of a request's prompt that a key stands for.
fn part_text(call: &CallContext, key: EvidenceKey) -> Option<String> {
    let hash = call.part_scope().hash_of(key)?;
    Some(format!("{hash:x}"))
}
