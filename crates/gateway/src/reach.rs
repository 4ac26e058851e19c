//! This VM's paths to the servers of its region: checks of paths that are doubted or lost, and
//! forwarding of requests to another VM of the region that reaches the servers.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::{self, LocalBoxFuture, join_all};
use http::header::HOST;
use http::{HeaderValue, Method, Request, Uri};
use http_body_util::Full;
use onyxfall_fleet::{
    LocalOption, LossEvidence, LossMoment, PathCheck, PathState, RegionPeer, RegionReach,
    RouteTable, TimePrediction,
};
use onyxfall_overlay::{KnownVm, Roster, ServiceSet};
use onyxfall_policy::Moment;
use onyxfall_types::{RefusalReason, RequestError, ServerId, ServiceName};

use crate::call::{CallContext, CallOrigin, SharedCall};
use crate::connection::{HttpConnection, LOCAL_DIAL_LIMIT};
use crate::decide::RouteStep;
use crate::gateway::Gateway;
use crate::relay::{PeerReason, PeerTarget};
use crate::serve::CallProgress;

/// Time between two checks of a path that is not open.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time after which a connection that was accepted for a check and not reset shows an open path.
/// A reset takes one round trip within the region, or longer if what resets it is busy.
const ACCEPTED_AFTER: Duration = Duration::from_millis(100);
/// Longest wait for the response to a check, which shows that the server is alive. A server may
/// answer health checks in turn with its requests.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause of a request that waits for the first check of a path.
const SETTLING_PAUSE: Duration = Duration::from_millis(5);
/// Retry delay of callers whose requests reach no server by any way. They then try another VM.
const UNREACHED_RETRY: Duration = Duration::from_millis(200);

/// A run whose connection was lost.
pub(crate) struct LostRun {
    /// When it was lost.
    pub(crate) at: Moment,
    pub(crate) call: SharedCall,
    pub(crate) server: ServerId,
    /// Whether its server is only suspected: another run has overtaken it, or the kernel has timed
    /// out its connection.
    pub(crate) is_suspicion: bool,
    /// Whether the response had begun.
    pub(crate) had_begun: bool,
    /// Time since the first event of the answer; zero if there was none.
    pub(crate) written: Duration,
}

/// States of the paths by service.
type PathStates = BTreeMap<ServiceName, PathState>;

impl Gateway {
    fn path_states(&self) -> PathStates {
        let fleet = self.fleet.borrow();
        let states = fleet.path_states();
        states
            .map(|(service, state)| (service.clone(), state))
            .collect()
    }

    /// Applies what servers and other VMs show about the paths to the servers of the region.
    pub(crate) fn refresh_reach(&self, now: Moment) {
        self.refresh_paths(now);
        let states = self.path_states();
        let overlay = self.overlay.borrow();
        let mut fleet = self.fleet.borrow_mut();
        for (service, state) in states {
            let reach = region_reach(&service, state, overlay.roster());
            fleet.set_region_reach(&service, reach);
        }
    }

    /// Applies what servers show about the paths to them.
    pub(crate) fn refresh_paths(&self, now: Moment) {
        let before = self.path_states();
        self.fleet.borrow_mut().refresh_paths(now);
        self.note_paths(&before);
    }

    /// Records whether a new connection to a server could be established.
    pub(crate) fn record_dial(&self, server: ServerId, is_established: bool) {
        self.fleet.borrow_mut().record_dial(server, is_established);
        self.refresh_paths(self.now());
    }

    /// Records a check of the paths to a service.
    fn record_check(&self, service: &ServiceName, check: PathCheck) {
        let before = self.path_states();
        let now = self.now();
        self.fleet.borrow_mut().record_check(now, service, check);
        self.note_paths(&before);
    }

    /// Logs changes of paths since `before`, tells other VMs and starts checks.
    fn note_paths(&self, before: &PathStates) {
        for (service, state) in self.path_states() {
            if state != PathState::Open {
                self.path_closed.notify_one();
            }
            let before = before.get(&service).copied().unwrap_or_default();
            if state == before {
                continue;
            }
            log::info!(
                service = service.as_str(),
                before = before.as_str(),
                state = state.as_str();
                "path to servers changed"
            );
            if state == PathState::Lost {
                self.metrics.count("onyxfall_lost_paths_total");
                // Requests that wait for servers which this VM does not reach are moved.
                self.suspicion.notify_waiters();
            }
        }
        self.settle_lost_runs();
        self.refresh_status();
    }

    /// Counts lost runs as evidence of crashes, unless they were lost with their path.
    pub(crate) fn settle_lost_runs(&self) {
        let runs = self.lost_runs.take();
        for run in runs {
            let evidence = {
                let fleet = self.fleet.borrow();
                if run.is_suspicion {
                    fleet.silence_evidence(self.now(), run.server, run.at)
                } else {
                    fleet.loss_evidence(&run.call.needs.service, LossMoment::AfterCheck)
                }
            };
            match evidence {
                LossEvidence::Open => self.lost_runs.borrow_mut().push(run),
                LossEvidence::None => {}
                LossEvidence::Crash => {
                    self.record_lost_run(&run);
                    if run.had_begun {
                        self.fleet.borrow_mut().record_crash(run.at, run.server);
                    }
                }
            }
        }
    }

    /// Services for which other VMs should send this VM nothing.
    pub(crate) fn unreached_services(&self) -> ServiceSet {
        let mut unreached = ServiceSet::default();
        for service in self.fleet.borrow().unreached_services() {
            unreached.insert(service);
        }
        unreached
    }

    /// The paths to servers as gauges: 1 for an open one.
    pub(crate) fn path_gauges(&self) -> String {
        let gauge = |(service, state): (ServiceName, PathState)| {
            let is_open = u8::from(state == PathState::Open);
            format!("onyxfall_path_open{{service=\"{service}\"}} {is_open}\n")
        };
        self.path_states().into_iter().map(gauge).collect()
    }

    /// Servers that a request is not sent to: those already tried and, while no connections can
    /// be established, those without an open one.
    pub(crate) fn excluded_servers(
        &self,
        call: &CallContext,
        progress: &CallProgress,
    ) -> Vec<ServerId> {
        let mut excluded = progress.servers.clone();
        let fleet = self.fleet.borrow();
        if fleet.path_state(&call.needs.service) == PathState::OpenConnectionsOnly {
            let servers = fleet.servers_of(&call.needs.service).iter().copied();
            excluded.extend(servers.filter(|id| {
                let address = fleet.server(*id).record.address;
                !self.pool.has_idle(address)
            }));
        }
        excluded
    }

    /// Whether no server of this region that may run the request is reached from here.
    pub(crate) fn is_unreached(&self, call: &CallContext, local: LocalOption) -> bool {
        let fleet = self.fleet.borrow();
        let has_no_connection = local == LocalOption::None
            && fleet.path_state(&call.needs.service) == PathState::OpenConnectionsOnly
            && call.needs.allows_region(&fleet.place().region);
        local == LocalOption::Unreachable || has_no_connection
    }

    /// Next step of a request that reaches no server from here: another VM of the region. A
    /// request that a VM has forwarded goes back to it at once.
    pub(crate) fn decide_unreached(
        &self,
        call: &CallContext,
        progress: &CallProgress,
    ) -> Option<RouteStep> {
        let is_settling = {
            let fleet = self.fleet.borrow();
            let service = &call.needs.service;
            // The evidence against a request that has lost a run waits for the check.
            let is_held =
                progress.log.runs() > 0 && fleet.path_state(service) == PathState::Doubted;
            is_held || fleet.is_path_settling(self.now(), service)
        };
        if is_settling {
            return Some(RouteStep::Later(SETTLING_PAUSE));
        }
        let service = &call.needs.service;
        let state = self.fleet.borrow().path_state(service);
        if call.origin != CallOrigin::Caller {
            return Some(refuse_unreached(state.unserved_reason()));
        }
        // Where the path is open, another VM has little reason to reach more.
        if state == PathState::Open && !progress.vms.is_empty() {
            return None;
        }
        let region = self.settings().place.region.clone();
        let target = self.relay_target(&region, service, &progress.vms)?;
        self.metrics.count("onyxfall_neighbour_requests_total");
        Some(RouteStep::Peer(PeerTarget {
            vm: target.vm,
            address: target.address,
            region,
            predicted: TimePrediction::default(),
            reason: PeerReason::Neighbour,
        }))
    }

    /// Next step of a request that neither this region nor another one can serve. A lost path
    /// cannot serve it. Servers that are silent may go on at any moment, and while the path is
    /// only doubted, a check is about to show whether servers are reached.
    pub(crate) fn wait_for_path(&self, call: &CallContext) -> RouteStep {
        let state = self.fleet.borrow().path_state(&call.needs.service);
        let retry = match state {
            PathState::Lost => return refuse_unreached("no VM of the region reaches a server"),
            PathState::Open => call.needs.goal / 2,
            PathState::Doubted | PathState::OpenConnectionsOnly => UNREACHED_RETRY,
        };
        self.wait_or_refuse(call, state.unserved_reason(), retry)
    }
}

fn refuse_unreached(detail: &str) -> RouteStep {
    let error = RequestError::not_run(RefusalReason::Overloaded, detail);
    RouteStep::Refuse(error.with_retry_after(UNREACHED_RETRY))
}

/// How requests reach the servers of a service in this region, given the state of this VM's own
/// paths.
fn region_reach(service: &ServiceName, state: PathState, roster: &Roster) -> RegionReach {
    let reaches = |vm: &KnownVm| {
        let is_reached = !vm.record.status.unreached.contains(service);
        roster.is_near(&vm.record) && vm.is_staying() && is_reached
    };
    if state != PathState::Lost {
        RegionReach::Own
    } else if roster.others().any(reaches) {
        RegionReach::Neighbours
    } else {
        RegionReach::None
    }
}

/// The other VMs of this VM's region, with the services of `table` that each does not reach.
pub(crate) fn region_peers(roster: &Roster, table: Option<&RouteTable>) -> Vec<RegionPeer> {
    let near = roster.others().filter(|vm| roster.is_near(&vm.record));
    let peers = near.map(|vm| {
        let lost = vm.record.status.unreached;
        let services = table.into_iter().flat_map(RouteTable::services);
        let unreached = services.filter(|service| lost.contains(&service.name));
        RegionPeer {
            vm: vm.record.name.clone(),
            unreached: unreached.map(|service| service.name.clone()).collect(),
        }
    });
    peers.collect()
}

/// Waits until a check has shown whether a doubted path is open.
pub(crate) async fn wait_while_doubted(gateway: &Gateway, service: &ServiceName) {
    while gateway.fleet.borrow().path_state(service) == PathState::Doubted {
        tokio::time::sleep(SETTLING_PAUSE).await;
    }
}

/// Starts the task that checks the paths that are not open.
pub(crate) fn start(gateway: &Rc<Gateway>) {
    let gateway = Rc::clone(gateway);
    tokio::task::spawn_local(async move {
        let mut turn = 0;
        loop {
            gateway.path_closed.notified().await;
            loop {
                let closed = closed_paths(&gateway);
                if closed.is_empty() {
                    break;
                }
                join_all(
                    closed
                        .iter()
                        .map(|service| check_path(&gateway, service, turn)),
                )
                .await;
                turn += 1;
                if !closed_paths(&gateway).is_empty() {
                    tokio::time::sleep(CHECK_INTERVAL).await;
                }
            }
        }
    });
}

/// Services whose paths are not open.
fn closed_paths(gateway: &Gateway) -> Vec<ServiceName> {
    let states = gateway.path_states().into_iter();
    let closed = states.filter(|(_, state)| *state != PathState::Open);
    closed.map(|(service, _)| service).collect()
}

/// Checks the paths to a service by asking one server for its health on a new connection. A
/// response that follows after the check still shows that the server is alive.
async fn check_path(gateway: &Rc<Gateway>, service: &ServiceName, turn: usize) {
    let now = gateway.now();
    let servers = gateway.fleet.borrow().servers_to_check(now, service);
    let index = turn.checked_rem(servers.len());
    let chosen = index.and_then(|index| servers.get(index).copied());
    gateway.metrics.count("onyxfall_path_checks_total");
    let Some((server, unreached)) = chosen else {
        return gateway.record_check(service, PathCheck::Unreached);
    };
    let Some(mut response) = ask_health(gateway, service, server).await else {
        return gateway.record_check(service, unreached);
    };
    match tokio::time::timeout(ACCEPTED_AFTER, &mut response).await {
        Ok(true) => gateway.record_check(service, PathCheck::Answered(server)),
        Ok(false) => gateway.record_check(service, unreached),
        Err(_) => {
            gateway.metrics.count("onyxfall_silent_path_checks_total");
            gateway.record_check(service, PathCheck::Accepted);
            let (gateway, service) = (Rc::clone(gateway), service.clone());
            tokio::task::spawn_local(async move {
                if let Ok(true) = tokio::time::timeout(CHECK_TIMEOUT, response).await {
                    gateway.record_check(&service, PathCheck::Answered(server));
                }
            });
        }
    }
}

/// Sends a health request on a new connection, and returns the wait for its end: whether a
/// response arrived. `None` if no connection could be established. Without a health check, the
/// connection itself has to do.
async fn ask_health(
    gateway: &Gateway,
    service: &ServiceName,
    server: ServerId,
) -> Option<LocalBoxFuture<'static, bool>> {
    let address = gateway.fleet.borrow().server(server).record.address;
    let table = gateway.table();
    let service = table.as_ref().and_then(|table| table.service(service));
    let path = service.map_or("", |service| service.health_path.as_str());
    let plan = gateway.dial_plan(LOCAL_DIAL_LIMIT);
    let mut connection = HttpConnection::open(address, plan).await.ok()?;
    let Ok(target) = path.parse::<Uri>() else {
        return Some(future::pending().boxed_local());
    };
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.method_mut() = Method::GET;
    *request.uri_mut() = target;
    if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
        request.headers_mut().insert(HOST, host);
    }
    Some(async move { connection.send(request).await.is_ok() }.boxed_local())
}
