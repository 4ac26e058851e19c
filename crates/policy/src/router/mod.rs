//! The router: takes events, returns steps.

mod baseline;
mod capacity;
mod decide;
mod kinds;
mod rebundle;
mod wake;

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use onyxfall_bundle::{RequestKind, ServiceBundle};
use onyxfall_types::{
    CenterId, EntityMap, KindId, ModelId, RefusalReason, RequestError, ServerId, ServerName,
    TeamId, VmName, name_tag,
};
use rand::SeedableRng;
use rand::rngs::StdRng;

pub use kinds::{
    ArrivalOrigin, AttemptEnd, AttemptOutcome, PolicySettings, RequestArrival, RouteCounts,
    RouteStep, RoutingPolicy,
};

use crate::bucket::TokenBucket;
use crate::center::{CenterDigest, CenterTable};
use crate::drain::DrainTable;
use crate::estimate::ServiceEstimate;
use crate::moment::Moment;
use crate::prefix::{CacheEvent, PrefixTable};
use crate::queue::WeightedQueue;
use crate::remote::RemoteMode;
use crate::retry::RetryBudget;
use crate::server::{LoadReport, ServerState};

/// Largest exponent of the service time in a lane's value.
const MAX_TAIL_EXPONENT: f64 = 2.0;
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
const MAX_RETRY_AFTER: Duration = Duration::from_mins(1);

#[derive(Clone, Copy, Debug)]
enum AttemptTarget {
    Server(ServerId),
    Center(CenterId),
}

#[derive(Clone, Copy, Debug)]
struct OpenAttempt {
    target: AttemptTarget,
    kind: KindId,
    expected: Duration,
}

#[derive(Clone, Debug)]
struct ModelPool {
    servers: Vec<ServerId>,
    queue: WeightedQueue<RequestArrival>,
    mode: RemoteMode,
    next_index: usize,
    /// Best priority, whose requests may queue in servers; `None` if all kinds
    /// have the same priority.
    top_priority: Option<u8>,
    from_remote: BTreeMap<CenterId, u32>,
    peer_work: BTreeMap<VmName, Duration>,
}

/// The routing decisions of one entry VM under one bundle.
pub struct RequestRouter {
    bundle: Arc<ServiceBundle>,
    center: CenterId,
    settings: PolicySettings,
    rng: StdRng,
    servers: EntityMap<ServerId, ServerState>,
    pools: EntityMap<ModelId, ModelPool>,
    estimates: EntityMap<KindId, ServiceEstimate>,
    budgets: EntityMap<KindId, RetryBudget>,
    teams: EntityMap<TeamId, TokenBucket>,
    prefixes: PrefixTable,
    centers: CenterTable,
    drains: DrainTable,
    server_tags: HashMap<u32, ServerId>,
    model_tags: HashMap<u32, ModelId>,
    open: BTreeMap<u64, OpenAttempt>,
    next_id: u64,
    rank: usize,
    members: usize,
    counts: RouteCounts,
}

impl RequestRouter {
    /// Creates a router for the data centre `center` of `bundle`.
    pub fn new(
        bundle: Arc<ServiceBundle>,
        center: CenterId,
        settings: PolicySettings,
        now: Moment,
    ) -> Self {
        let own_region = bundle.centers[center].region;
        let rtts: Vec<Duration> = bundle
            .centers
            .values()
            .map(|other| {
                if other.region == own_region {
                    bundle.center_rtt
                } else {
                    bundle.region_rtt
                }
            })
            .collect();
        let teams = bundle
            .teams
            .values()
            .map(|team| TokenBucket::new(team.rate.per_second(), f64::from(team.burst), now))
            .collect();
        Self {
            rng: StdRng::seed_from_u64(settings.seed),
            servers: bundle
                .servers
                .values()
                .map(|server| ServerState::new(server.slots))
                .collect(),
            pools: bundle
                .models
                .keys()
                .map(|id| new_pool(&bundle, center, id, &settings))
                .collect(),
            estimates: bundle
                .kinds
                .values()
                .map(|k| ServiceEstimate::new(k.service_time))
                .collect(),
            budgets: bundle.kinds.values().map(|_| RetryBudget::new()).collect(),
            teams,
            prefixes: PrefixTable::new(settings.prefix_limit),
            centers: CenterTable::new(rtts),
            drains: DrainTable::new(),
            server_tags: bundle
                .servers
                .iter()
                .filter(|(_, server)| server.center == center)
                .map(|(id, server)| (name_tag(server.name.as_str()), id))
                .collect(),
            model_tags: bundle
                .models
                .iter()
                .map(|(id, model)| (name_tag(model.name.as_str()), id))
                .collect(),
            open: BTreeMap::new(),
            next_id: 1,
            rank: 0,
            members: 1,
            counts: RouteCounts::default(),
            bundle,
            center,
            settings,
        }
    }

    /// The bundle in force.
    pub fn bundle(&self) -> &Arc<ServiceBundle> {
        &self.bundle
    }

    /// Data centre of this VM.
    pub fn center(&self) -> CenterId {
        self.center
    }

    /// The server of this data centre with a name tag.
    pub fn server_by_tag(&self, tag: u32) -> Option<ServerId> {
        self.server_tags.get(&tag).copied()
    }

    /// The model with a name tag.
    pub fn model_by_tag(&self, tag: u32) -> Option<ModelId> {
        self.model_tags.get(&tag).copied()
    }

    /// Drops the queued work reported by another entry of the data centre.
    pub fn evict_peer(&mut self, peer: &VmName) {
        for (_, pool) in self.pools.iter_mut() {
            pool.peer_work.remove(peer);
        }
    }

    /// Counts of steps so far.
    pub fn counts(&self) -> RouteCounts {
        let switches = self.pools.values().map(|pool| pool.mode.switches()).sum();
        RouteCounts {
            switches,
            ..self.counts
        }
    }

    /// State of a server.
    pub fn server(&self, id: ServerId) -> &ServerState {
        &self.servers[id]
    }

    /// Table of the other data centres.
    pub fn centers_mut(&mut self) -> &mut CenterTable {
        &mut self.centers
    }

    /// Table of known drains.
    pub fn drains(&self) -> &DrainTable {
        &self.drains
    }

    /// Number of waiting requests, over all models.
    pub fn waiting(&self) -> usize {
        self.pools.values().map(|pool| pool.queue.len()).sum()
    }

    /// Total service time of the requests waiting for a model.
    pub fn queued_work(&self, model: ModelId) -> Duration {
        self.pools[model].queue.work()
    }

    /// Sets the total service time of the requests waiting for a model in another
    /// entry.
    pub fn set_peer_work(&mut self, model: ModelId, peer: &VmName, work: Duration) {
        let peers = &mut self.pools[model].peer_work;
        if work.is_zero() {
            peers.remove(peer);
        } else {
            peers.insert(peer.clone(), work);
        }
    }

    /// Sets this VM's rank among the members of its data centre.
    pub fn set_members(&mut self, now: Moment, rank: usize, members: usize) {
        let members = members.max(1);
        self.rank = rank.min(members - 1);
        self.members = members;
        self.centers.set_members(self.rank, members);
        let parts = members as f64;
        for (id, bucket) in self.teams.iter_mut() {
            let team = &self.bundle.teams[id];
            let burst = (f64::from(team.burst) / parts).max(1.0);
            bucket.resize(team.rate.per_second() / parts, burst, now);
        }
    }

    /// Counts a request of a team against the team's rate.
    ///
    /// # Errors
    ///
    /// The team has exceeded its rate; the error carries the time to retry after.
    pub fn admit_team(&mut self, now: Moment, team: TeamId) -> Result<(), RequestError> {
        let bucket = &mut self.teams[team];
        if bucket.take(now, 1.0) {
            return Ok(());
        }
        let after = bucket
            .wait(now, 1.0)
            .clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        let detail = format!(
            "team {} has exceeded its rate",
            self.bundle.teams[team].name
        );
        Err(RequestError::not_run(RefusalReason::RateLimited, detail).with_retry_after(after))
    }

    /// Decides about a new request, or about the next attempt of one.
    pub fn arrive(&mut self, now: Moment, arrival: RequestArrival) -> RouteStep {
        let step = match self.settings.routing {
            RoutingPolicy::Expected | RoutingPolicy::LocalOnly => self.route(now, arrival),
            RoutingPolicy::Random => self.route_random(now, &arrival),
            RoutingPolicy::RoundRobin => self.route_round_robin(now, &arrival),
        };
        if let RouteStep::Refuse(_) = step {
            self.counts.refused += 1;
        }
        step
    }

    /// Records the first attempt of a request in the retry budget.
    pub fn record_first(&mut self, kind: KindId) {
        self.budgets[kind].record_first();
    }

    /// Whether a request of `kind` may be retried; spends a retry if so.
    pub fn try_retry(&mut self, kind: KindId) -> bool {
        let granted = self.budgets[kind].try_spend();
        self.counts.retries += u64::from(granted);
        granted
    }

    /// Records the end of an attempt; returns the server whose circuit breaker the
    /// failure opened.
    pub fn end(&mut self, now: Moment, end: &AttemptEnd) -> Option<ServerId> {
        let open = self.open.remove(&end.attempt)?;
        match open.target {
            AttemptTarget::Server(server) => self.end_local(now, end, open, server),
            AttemptTarget::Center(center) => {
                let refused = matches!(
                    end.outcome,
                    AttemptOutcome::Refused | AttemptOutcome::Failed
                );
                let model = self.bundle.kinds[open.kind].model;
                self.centers.end(now, center, model, refused);
                None
            }
        }
    }

    /// Records that the server of an attempt requests a backoff of `time`.
    pub fn record_backoff(&mut self, now: Moment, attempt: u64, time: Duration) {
        let open = self.open.get(&attempt);
        if let Some(AttemptTarget::Server(server)) = open.map(|open| open.target) {
            self.servers[server].record_backoff(now, time);
        }
    }

    /// Applies a server's load report.
    pub fn report(&mut self, now: Moment, server: ServerId, report: &LoadReport) {
        if self.servers.get(server).is_none() {
            return;
        }
        if self.servers[server].report(now, report) {
            self.prefixes.evict_server(server);
        }
        if report.draining {
            let name = self.bundle.servers[server].name.clone();
            self.drains.record(&name, report.incarnation);
        }
        self.apply_drain(server);
    }

    /// Records that a server has stopped sending load reports.
    pub fn report_unresponsive(&mut self, now: Moment, server: ServerId) {
        if self.servers.get(server).is_some() {
            self.servers[server].record_unresponsive(now);
        }
    }

    /// Applies cache events of a server, numbered from `first`.
    pub fn cache_events(
        &mut self,
        now: Moment,
        server: ServerId,
        first: u64,
        events: &[CacheEvent],
    ) {
        self.prefixes.record_events(server, first, events, now);
    }

    /// Records that a server is draining; returns whether that was unknown.
    ///
    /// `incarnation` 0 stands for the incarnation last reported to this VM.
    pub fn drain(&mut self, name: &ServerName, incarnation: onyxfall_types::Incarnation) -> bool {
        let server = self.bundle.server_id(name.as_str());
        let known = server.map_or(incarnation, |id| self.servers[id].incarnation());
        let drained = if incarnation.get() == 0 {
            known
        } else {
            incarnation
        };
        let is_new = self.drains.record(name, drained);
        if let Some(server) = server {
            self.apply_drain(server);
        }
        is_new
    }

    /// Applies another data centre's digest.
    pub fn receive_center(&mut self, now: Moment, digest: &CenterDigest) {
        self.centers.receive(now, digest);
    }

    fn kind(&self, id: KindId) -> &RequestKind {
        &self.bundle.kinds[id]
    }

    fn apply_drain(&mut self, server: ServerId) {
        let name = &self.bundle.servers[server].name;
        let draining = self
            .drains
            .is_draining(name, self.servers[server].incarnation());
        self.servers[server].set_draining(draining);
    }

    fn next(&mut self) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        id
    }

    fn end_local(
        &mut self,
        now: Moment,
        end: &AttemptEnd,
        open: OpenAttempt,
        server: ServerId,
    ) -> Option<ServerId> {
        let state = &mut self.servers[server];
        if end.outcome == AttemptOutcome::Success {
            state.record_taken(end.attempt);
        }
        state.end(end.attempt);
        match end.outcome {
            AttemptOutcome::Success => {
                let expected = open.expected.as_secs_f64();
                let usual = self.estimates[open.kind].get().as_secs_f64();
                let sample = end.elapsed.mul_f64((usual / expected.max(1e-6)).max(1.0));
                let ratio = self.estimates[open.kind].observe(sample);
                state.succeed(now, ratio);
                None
            }
            AttemptOutcome::Failed => state.fail(now).then_some(server),
            AttemptOutcome::Refused | AttemptOutcome::Cancelled => {
                state.end_inconclusive();
                None
            }
        }
    }
}

fn new_pool(
    bundle: &ServiceBundle,
    center: CenterId,
    model: ModelId,
    settings: &PolicySettings,
) -> ModelPool {
    let mut queue = WeightedQueue::new(settings.queue_limit);
    for (id, kind) in bundle.kinds.iter().filter(|(_, kind)| kind.model == model) {
        queue.add_lane(id, lane_value(bundle, kind), kind.priority);
    }
    let servers = bundle
        .servers
        .iter()
        .filter(|(_, server)| server.center == center && server.models.contains(&model))
        .map(|(id, _)| id)
        .collect();
    ModelPool {
        servers,
        queue,
        mode: RemoteMode::default(),
        next_index: 0,
        top_priority: top_priority(bundle, model),
        from_remote: BTreeMap::new(),
        peer_work: BTreeMap::new(),
    }
}

/// The best priority of a model's kinds; `None` if all have the same.
fn top_priority(bundle: &ServiceBundle, model: ModelId) -> Option<u8> {
    let kinds = bundle.kinds.values().filter(|kind| kind.model == model);
    let priorities: Vec<u8> = kinds.map(|kind| kind.priority).collect();
    let top = priorities.iter().min().copied();
    let differ = priorities.iter().any(|priority| Some(*priority) != top);
    top.filter(|_| differ)
}

/// Value of a kind's lane: weight per second of service. A larger tail objective
/// favours kinds with short service times more strongly.
fn lane_value(bundle: &ServiceBundle, kind: &RequestKind) -> f64 {
    let exponent = bundle.objective.tail.clamp(1.0, MAX_TAIL_EXPONENT);
    kind.weight / kind.service_time.as_secs_f64().max(1e-3).powf(exponent)
}

fn refusal(wait: Option<Duration>) -> RequestError {
    let after = wait
        .unwrap_or(MIN_RETRY_AFTER)
        .clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
    let detail = match wait {
        Some(wait) => format!(
            "expected wait of {} ms exceeds the deadline",
            wait.as_millis()
        ),
        None => "no usable server has room".to_owned(),
    };
    RequestError::not_run(RefusalReason::Overloaded, detail).with_retry_after(after)
}
