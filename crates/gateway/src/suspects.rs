//! Requests that crash servers: what this VM notes of them, and where they may go.
//!
//! 28 servers crashed under one caption whose caller sent it again and again, each with
//! up to 128 runs of other callers. What a crash teaches is therefore kept beyond the
//! request and told to every VM (`onyxfall_suspects`); this module applies it.

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

/// Time after which a caller may come back where the same request is running: a server
/// crashed 40 to 180 ms after it had begun to run such a request, and a stream that is
/// whole takes some tenths of a second.
const RUNNING_RETRY: Duration = Duration::from_millis(300);
/// The same where the VM that holds the request cannot be reached: it is replaced after
/// its silence is noticed, 1.3 s.
const HOLDER_RETRY: Duration = Duration::from_millis(900);

/// The board of a gateway, which its tasks share.
pub(crate) type SharedBoard = RefCell<SuspectBoard>;

/// What this VM knows of requests that crash servers.
#[derive(Debug, Default)]
pub(crate) struct SuspectBoard {
    table: SuspectTable,
    /// Runs under way of requests that are known to the table.
    running: HashMap<RequestFingerprint, u32>,
}

/// A run of a request that is known to have been on a server that broke off; it counts
/// as under way while this lives.
pub(crate) struct SuspectRun {
    gateway: Rc<Gateway>,
    fingerprint: RequestFingerprint,
}

impl SuspectRun {
    /// Counts a run that begins; none if nothing is known of its request.
    pub(crate) fn start(gateway: &Rc<Gateway>, call: &CallContext) -> Option<Self> {
        let mut board = gateway.suspects.borrow_mut();
        if board.table.is_empty() || !board.table.knows(call.fingerprint()) {
            return None;
        }
        *board.running.entry(call.fingerprint()).or_default() += 1;
        drop(board);
        Some(Self {
            gateway: Rc::clone(gateway),
            fingerprint: call.fingerprint(),
        })
    }
}

impl Drop for SuspectRun {
    fn drop(&mut self) {
        let mut board = self.gateway.suspects.borrow_mut();
        if let Some(count) = board.running.get_mut(&self.fingerprint) {
            *count -= 1;
            if *count == 0 {
                board.running.remove(&self.fingerprint);
            }
        }
    }
}

impl Gateway {
    /// Notes that a server broke off under a request, and tells other VMs at once.
    pub(crate) fn note_lost_run(&self, now: Moment, call: &CallContext, server: ServerId) {
        let life = self.life_of(server);
        let fingerprint = call.fingerprint();
        let verdict = {
            let mut board = self.suspects.borrow_mut();
            board.table.record_crash(now, fingerprint, life);
            board.table.judge(now, fingerprint)
        };
        self.metrics.count("onyxfall_lost_runs_total");
        if verdict != SuspectVerdict::Clear {
            log::warn!(
                request = call.request_id.as_str(),
                fingerprint:% = fingerprint,
                verdict = verdict.as_str();
                "request judged by the servers that it was lost with"
            );
        }
        self.send_updates_now.notify_waiters();
    }

    /// Notes that a request ran to a good end.
    pub(crate) fn note_good_run(&self, call: &CallContext) {
        let mut board = self.suspects.borrow_mut();
        if !board.table.is_empty() {
            board.table.record_success(call.fingerprint());
        }
    }

    /// Lets time count, and servers that live on clear what was lost with them.
    pub(crate) fn refresh_suspects(&self, now: Moment) {
        let mut board = self.suspects.borrow_mut();
        if board.table.is_empty() {
            return;
        }
        let lost: Vec<InstanceTag> = board.table.lost_instances().collect();
        let fleet = self.fleet.borrow();
        for life in lost {
            let server = fleet.find_instance(life.number());
            let sign = server.and_then(|id| fleet.server(id).last_liveness());
            if let Some(sign) = sign {
                board.table.record_liveness(life, sign);
            }
        }
        board.table.expire(now);
    }

    fn life_of(&self, server: ServerId) -> InstanceTag {
        let fleet = self.fleet.borrow();
        InstanceTag::from_number(fleet.server(server).instance_hash())
    }

    /// What may be done with a request.
    pub(crate) fn judge(&self, call: &CallContext) -> SuspectVerdict {
        let board = self.suspects.borrow();
        if board.table.is_empty() || !self.is_on(DecisionSwitch::CrashSuspects) {
            return SuspectVerdict::Clear;
        }
        board.table.judge(self.now(), call.fingerprint())
    }

    /// Where a request goes that was on servers that broke off; none if it is decided
    /// on as any other.
    pub(crate) fn decide_suspect(
        &self,
        call: &CallContext,
        progress: &CallProgress,
    ) -> Option<RouteStep> {
        let verdict = self.judge(call);
        match verdict {
            SuspectVerdict::Clear => None,
            SuspectVerdict::Quarantined { left } => Some(RouteStep::Refuse(quarantined(left))),
            SuspectVerdict::Pending { left } => {
                Some(refuse("servers have crashed around it", left))
            }
            SuspectVerdict::Suspected => Some(self.decide_alone(call, progress)),
        }
    }

    fn is_running(&self, call: &CallContext) -> bool {
        let board = self.suspects.borrow();
        board.running.contains_key(&call.fingerprint())
    }

    /// Lets one VM of the system run a request, once at a time, where the least is lost
    /// with it.
    fn decide_alone(&self, call: &CallContext, progress: &CallProgress) -> RouteStep {
        if call.origin == CallOrigin::Caller
            && let Some(holder) = self.suspect_holder(call)
            && holder.name != *self.vm()
        {
            if !progress.vms.is_empty() {
                return refuse(
                    "the VM that holds this request cannot be reached",
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
            LocalOption::BackedOff(end) => self.wait_for_rest(call, end - now),
            _ => self.wait_or_refuse(call, "no server is usable", call.needs.goal / 2),
        }
    }

    /// The VM that may run a suspected request: of those that live, in a region that may
    /// serve it and has servers.
    fn suspect_holder(&self, call: &CallContext) -> Option<VmRecord> {
        let overlay = self.overlay.borrow();
        let roster = overlay.roster();
        let fleet = self.fleet.borrow();
        let serves = |region: &RegionName| {
            call.needs.allows_region(region) && fleet.has_servers_in(&call.needs.service, region)
        };
        let others = roster.others().filter(|vm| vm.is_alive() && is_open(vm));
        let vms = others.map(|vm| &vm.record).chain([roster.own()]);
        let serving: Vec<&VmRecord> = vms.filter(|vm| serves(&vm.region)).collect();
        let holder = holder_of(call.fingerprint(), serving.iter().map(|vm| &vm.name))?;
        let record = serving.iter().find(|vm| vm.name == *holder)?;
        Some((*record).clone())
    }

    /// What is news of suspects on a link.
    pub(crate) fn collect_suspects(&self, told: &mut SuspectCursor, update: &mut VmUpdate) {
        let news = self.suspects.borrow().table.tell(self.now(), told);
        if !news.is_empty() {
            wire_suspects(&news, update);
        }
    }

    /// Takes what another VM tells of suspects.
    pub(crate) fn apply_suspects(&self, now: Moment, update: &VmUpdate) {
        if update.suspects.is_empty() && update.lost_lives.is_empty() {
            return;
        }
        let (news, malformed) = read_suspects(update);
        self.metrics
            .count_more("onyxfall_absurd_suspects_total", malformed);
        let is_urgent = self.suspects.borrow_mut().table.take(now, &news);
        if is_urgent {
            self.send_updates_now.notify_waiters();
        }
    }
}

fn is_open(vm: &KnownVm) -> bool {
    vm.record.status.is_ready && !vm.record.status.is_leaving
}

fn refuse(detail: &str, after: Duration) -> RouteStep {
    let error = RequestError::not_run(RefusalReason::Overloaded, detail);
    RouteStep::Refuse(error.with_retry_after(after))
}

fn quarantined(left: Duration) -> RequestError {
    let detail = "servers crash under this request";
    RequestError::not_run(RefusalReason::Quarantined, detail).with_retry_after(left)
}
