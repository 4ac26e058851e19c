//! The decisions tied together: events in, steps out.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use onyxfall_bundle::{AwayRule, RequestKind, ServiceBundle};
use onyxfall_types::{
    CenterId, EntityMap, KindId, ModelId, RefusalReason, RequestError, ServerId, ServerName,
    TeamId, VmName, name_tag,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::away::{AwayChoice, AwayContext, AwayMode, objective_score};
use crate::bucket::TokenBucket;
use crate::center::{CenterDigest, CenterTable, ModelDigest};
use crate::choose::{ChooseContext, ServerChoice};
use crate::drain::DrainTable;
use crate::estimate::ServiceEstimate;
use crate::moment::Moment;
use crate::prefix::{CacheEvent, PrefixKey, PrefixTable};
use crate::queue::{QueuedRequest, WaitId, WeightedQueue};
use crate::residency::RegionSet;
use crate::retry::RetryBudget;
use crate::server::{LoadReport, ServerState};

/// Part of the free slots that a data centre keeps from its grants.
const GRANT_RESERVE: f64 = 0.1;
/// Largest exponent of the service time in a lane's worth.
const MAX_TAIL_EXPONENT: f64 = 2.0;
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
const MAX_RETRY_AFTER: Duration = Duration::from_mins(1);

/// How requests are routed; all but the first are baselines for measurement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoutingPolicy {
    /// Least expected completion, queueing and sending away.
    Expected,
    /// As `Expected`, without sending away.
    LocalOnly,
    /// Any permitted server anywhere, drawn evenly, no queue.
    Random,
    /// The data centre's own servers in turn, no queue.
    RoundRobin,
}

impl RoutingPolicy {
    /// Every policy.
    pub const ALL: [Self; 4] = [
        Self::Expected,
        Self::LocalOnly,
        Self::Random,
        Self::RoundRobin,
    ];

    /// Name in settings and tables.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Expected => "expected",
            Self::LocalOnly => "local-only",
            Self::Random => "random",
            Self::RoundRobin => "round-robin",
        }
    }
}

impl std::fmt::Display for RoutingPolicy {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.as_str())
    }
}

impl std::str::FromStr for RoutingPolicy {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let found = Self::ALL.into_iter().find(|policy| policy.as_str() == text);
        found.ok_or_else(|| "expected one of expected, local-only, random, round-robin".to_owned())
    }
}

/// Settings of the decisions.
#[derive(Clone, Debug)]
pub struct PolicySettings {
    /// How requests are routed.
    pub routing: RoutingPolicy,
    /// Requests that may wait for one model.
    pub queue_limit: usize,
    /// Prefixes remembered.
    pub prefix_limit: usize,
    /// Seed of the generator.
    pub seed: u64,
}

impl Default for PolicySettings {
    fn default() -> Self {
        Self {
            routing: RoutingPolicy::Expected,
            queue_limit: 2048,
            prefix_limit: 16_384,
            seed: 1,
        }
    }
}

/// Where a request came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ArrivalOrigin {
    /// A caller; it may be sent away.
    Caller,
    /// An entry of another data centre; it is run here or refused.
    Peer,
}

/// A request, or the next attempt of one.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestArrival {
    /// Its kind.
    pub kind: KindId,
    /// Where it may be served.
    pub allowed: RegionSet,
    /// Its prompt prefix.
    pub prefix: Option<PrefixKey>,
    /// When its answer must be whole.
    pub deadline: Moment,
    /// Where it came from.
    pub origin: ArrivalOrigin,
    /// Servers that failed it before.
    pub excluded: Vec<ServerId>,
    /// Data centres that failed or refused it before.
    pub excluded_centers: Vec<CenterId>,
}

/// What to do with a request.
#[derive(Clone, Debug, PartialEq)]
pub enum RouteStep {
    /// Run it on a server of this data centre.
    Run {
        /// Attempt to report the end of.
        attempt: u64,
        /// The server.
        server: ServerId,
    },
    /// Send it to an entry of another data centre.
    Away {
        /// Attempt to report the end of.
        attempt: u64,
        /// The data centre.
        center: CenterId,
    },
    /// Keep it; [`RequestRouter::poll`] will name it.
    Wait(WaitId),
    /// Refuse it now.
    Refuse(RequestError),
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// A whole answer.
    Success,
    /// No whole answer.
    Failed,
    /// Refused by the other side as not-run, for lack of room.
    Refused,
    /// Ended by our side; says nothing about the other.
    Cancelled,
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptEnd {
    /// The attempt.
    pub attempt: u64,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// Time that the other side took; time lost to a slow caller left out.
    pub elapsed: Duration,
}

/// Counts of steps, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RouteCounts {
    /// Attempts run here.
    pub local: u64,
    /// Attempts sent away.
    pub away: u64,
    /// Requests refused.
    pub refused: u64,
    /// Requests that expired while waiting.
    pub expired: u64,
    /// Retries granted.
    pub retries: u64,
    /// Changes between sending away and not.
    pub switches: u64,
}

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
    mode: AwayMode,
    next_turn: usize,
    /// Priority whose requests may queue in servers, if kinds differ in it.
    top_priority: Option<u8>,
    from_away: BTreeMap<CenterId, u32>,
    peer_work: BTreeMap<VmName, Duration>,
}

/// Every decision of one entry VM for one bundle.
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
    /// A router for the data centre `center` of `bundle`.
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

    /// The bundle that decisions are made by.
    pub fn bundle(&self) -> &Arc<ServiceBundle> {
        &self.bundle
    }

    /// This VM's data centre.
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

    /// Forgets what another entry of the data centre told.
    pub fn forget_peer(&mut self, peer: &VmName) {
        for (_, pool) in self.pools.iter_mut() {
            pool.peer_work.remove(peer);
        }
    }

    /// Counts so far.
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

    /// Other data centres.
    pub fn centers_mut(&mut self) -> &mut CenterTable {
        &mut self.centers
    }

    /// Drains known so far.
    pub fn drains(&self) -> &DrainTable {
        &self.drains
    }

    /// Requests that wait, over all models.
    pub fn waiting(&self) -> usize {
        self.pools.values().map(|pool| pool.queue.len()).sum()
    }

    /// Service time of what waits for a model.
    pub fn queued_work(&self, model: ModelId) -> Duration {
        self.pools[model].queue.work()
    }

    /// Sets the service time of what waits for a model in another entry.
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

    /// Takes a request of a team against the team's rate.
    ///
    /// # Errors
    ///
    /// The team is past its rate; the error says when to come back.
    pub fn admit_team(&mut self, now: Moment, team: TeamId) -> Result<(), RequestError> {
        let bucket = &mut self.teams[team];
        if bucket.take(now, 1.0) {
            return Ok(());
        }
        let after = bucket
            .wait(now, 1.0)
            .clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        let detail = format!("team {} is past its rate", self.bundle.teams[team].name);
        Err(RequestError::not_run(RefusalReason::RateLimited, detail).with_retry_after(after))
    }

    /// Decides about a new request, or the next attempt of one.
    pub fn arrive(&mut self, now: Moment, arrival: RequestArrival) -> RouteStep {
        let step = match self.settings.routing {
            RoutingPolicy::Expected | RoutingPolicy::LocalOnly => self.route(now, arrival),
            RoutingPolicy::Random => self.route_random(now, &arrival),
            RoutingPolicy::RoundRobin => self.route_in_turn(now, &arrival),
        };
        if let RouteStep::Refuse(_) = step {
            self.counts.refused += 1;
        }
        step
    }

    /// Notes the first attempt of a request, for the retry budget.
    pub fn note_first(&mut self, kind: KindId) {
        self.budgets[kind].note_first();
    }

    /// Whether a request of `kind` may be tried again.
    pub fn try_retry(&mut self, kind: KindId) -> bool {
        let granted = self.budgets[kind].try_spend();
        self.counts.retries += u64::from(granted);
        granted
    }

    /// Takes back a waiting request whose caller went away; whether it waited.
    pub fn cancel(&mut self, id: WaitId) -> bool {
        self.pools
            .iter_mut()
            .any(|(_, pool)| pool.queue.remove(id).is_some())
    }

    /// Names the waiting requests that can go on, or are too late.
    pub fn poll(&mut self, now: Moment) -> Vec<(WaitId, RouteStep)> {
        let mut steps = Vec::new();
        let busy: Vec<ModelId> = self
            .pools
            .iter()
            .filter(|(_, pool)| !pool.queue.is_empty())
            .map(|(id, _)| id)
            .collect();
        for model in busy {
            self.poll_expired(now, model, &mut steps);
            self.poll_local(now, model, &mut steps);
            self.poll_away(now, model, &mut steps);
        }
        steps
    }

    /// Notes the end of an attempt; returns the server that its failure cut off.
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

    /// Takes a server's load report.
    pub fn report(&mut self, now: Moment, server: ServerId, report: &LoadReport) {
        if self.servers.get(server).is_none() {
            return;
        }
        if self.servers[server].report(now, report) {
            self.prefixes.forget_server(server);
        }
        if report.draining {
            let name = self.bundle.servers[server].name.clone();
            self.drains.note(&name, report.incarnation);
        }
        self.apply_drain(server);
    }

    /// Takes cache events of a server, numbered from `first`.
    pub fn cache_events(
        &mut self,
        now: Moment,
        server: ServerId,
        first: u64,
        events: &[CacheEvent],
    ) {
        self.prefixes.note_events(server, first, events, now);
    }

    /// Notes that a server is leaving; returns whether that is news.
    ///
    /// `incarnation` 0 stands for the life that is known here.
    pub fn drain(&mut self, name: &ServerName, incarnation: onyxfall_types::Incarnation) -> bool {
        let server = self.bundle.server_id(name.as_str());
        let known = server.map_or(incarnation, |id| self.servers[id].incarnation());
        let life = if incarnation.get() == 0 {
            known
        } else {
            incarnation
        };
        let news = self.drains.note(name, life);
        if let Some(server) = server {
            self.apply_drain(server);
        }
        news
    }

    /// Takes another data centre's digest.
    pub fn hear_center(&mut self, now: Moment, digest: &CenterDigest) {
        self.centers.hear(now, digest);
    }

    /// Counts a request that another data centre has under way here.
    pub fn note_from_away(&mut self, center: CenterId, model: ModelId, started: bool) {
        let count = self.pools[model].from_away.entry(center).or_default();
        *count = if started {
            *count + 1
        } else {
            count.saturating_sub(1)
        };
    }

    /// What this data centre tells another one.
    ///
    /// `askers` counts the data centres among which a model's free slots are
    /// split; `from_away` counts the requests that the other one has under way
    /// here, over all entries.
    pub fn digest_for(
        &self,
        now: Moment,
        askers: impl Fn(ModelId) -> usize,
        from_away: impl Fn(ModelId) -> u32,
    ) -> Vec<ModelDigest> {
        self.bundle
            .models
            .keys()
            .filter(|model| !self.pools[*model].servers.is_empty())
            .map(|model| {
                let free = self.free_slots(now, model);
                let part = free / u32::try_from(askers(model).max(1)).unwrap_or(u32::MAX);
                let grant = from_away(model) + part;
                ModelDigest {
                    model,
                    free,
                    wait: self.center_wait(now, model),
                    grant,
                }
            })
            .collect()
    }

    /// Requests of `center` under way through this VM.
    pub fn from_away(&self, center: CenterId, model: ModelId) -> u32 {
        self.pools[model]
            .from_away
            .get(&center)
            .copied()
            .unwrap_or(0)
    }

    /// Moves state to a new bundle; returns the waiting requests that must arrive again.
    pub fn rebundle(
        &mut self,
        now: Moment,
        bundle: &Arc<ServiceBundle>,
        center: CenterId,
    ) -> Vec<WaitId> {
        let mut next = Self::new(Arc::clone(bundle), center, self.settings.clone(), now);
        next.next_id = self.next_id;
        next.rng = self.rng.clone();
        next.counts = self.counts;
        next.drains = self.drains.clone();
        next.set_members(now, self.rank, self.members);
        for (id, server) in bundle.servers.iter() {
            let old = self.bundle.server_id(server.name.as_str());
            let same = old.filter(|old| self.bundle.servers[*old].address == server.address);
            if let Some(old) = same {
                next.servers[id] = self.servers[old].clone();
            }
            next.apply_drain(id);
        }
        next.open = self.map_open(bundle);
        for open in next.open.values() {
            if let AttemptTarget::Center(center) = open.target {
                next.centers.start(center, bundle.kinds[open.kind].model);
            }
        }
        let mut waiting = Vec::new();
        for (_, pool) in self.pools.iter_mut() {
            waiting.extend(pool.queue.drain().into_iter().map(|request| request.id));
        }
        *self = next;
        waiting
    }

    fn map_open(&self, bundle: &ServiceBundle) -> BTreeMap<u64, OpenAttempt> {
        let mut mapped = BTreeMap::new();
        for (attempt, open) in &self.open {
            let kind = bundle.kind_id(self.bundle.kinds[open.kind].name.as_str());
            let target = match open.target {
                AttemptTarget::Server(id) => bundle
                    .server_id(self.bundle.servers[id].name.as_str())
                    .map(AttemptTarget::Server),
                AttemptTarget::Center(id) => bundle
                    .center_id(self.bundle.centers[id].name.as_str())
                    .map(AttemptTarget::Center),
            };
            if let (Some(kind), Some(target)) = (kind, target) {
                mapped.insert(
                    *attempt,
                    OpenAttempt {
                        target,
                        kind,
                        expected: open.expected,
                    },
                );
            }
        }
        mapped
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

    fn route(&mut self, now: Moment, arrival: RequestArrival) -> RouteStep {
        let kind = self.kind(arrival.kind);
        let (model, service) = (kind.model, self.estimates[arrival.kind].get());
        let remaining = arrival.deadline - now;
        if self.pools[model].queue.is_empty()
            && let Some(choice) = self.choose_local(now, &arrival)
            && choice.expected <= remaining.max(service)
        {
            return self.start_local(now, &arrival, choice);
        }
        if arrival.origin == ArrivalOrigin::Peer {
            let detail = "no free slot for a request from another data centre";
            return RouteStep::Refuse(RequestError::not_run(RefusalReason::Overloaded, detail));
        }
        let wait = self.local_wait(now, arrival.kind, arrival.deadline);
        let local = wait.map(|wait| wait + service);
        let away = self.choose_away(now, &arrival);
        if let Some(away) = self.prefer_away(now, model, local, away) {
            return self.start_away(&arrival, away.center);
        }
        match local {
            Some(local) if local <= remaining => self.enqueue(arrival, service),
            _ => match away {
                Some(away) => self.start_away(&arrival, away.center),
                None => RouteStep::Refuse(refusal(wait)),
            },
        }
    }

    fn prefer_away(
        &mut self,
        now: Moment,
        model: ModelId,
        local: Option<Duration>,
        away: Option<AwayChoice>,
    ) -> Option<AwayChoice> {
        let away = away?;
        let Some(local) = local else {
            return Some(away);
        };
        let local = objective_score(&self.bundle.objective, local, Duration::ZERO);
        self.pools[model]
            .mode
            .takes(now, local - away.score)
            .then_some(away)
    }

    fn enqueue(&mut self, arrival: RequestArrival, service: Duration) -> RouteStep {
        let id = WaitId(self.next());
        let model = self.kind(arrival.kind).model;
        let request = QueuedRequest {
            id,
            kind: arrival.kind,
            deadline: arrival.deadline,
            service,
            payload: arrival,
        };
        match self.pools[model].queue.push(request) {
            Ok(()) => RouteStep::Wait(id),
            Err(_) => RouteStep::Refuse(refusal(None)),
        }
    }

    fn choose_local(&mut self, now: Moment, arrival: &RequestArrival) -> Option<ServerChoice> {
        let kind = &self.bundle.kinds[arrival.kind];
        if !arrival
            .allowed
            .contains(self.bundle.centers[self.center].region)
        {
            return None;
        }
        let context = ChooseContext {
            now,
            pool: &self.pools[kind.model].servers,
            servers: &self.servers,
            prefixes: &self.prefixes,
            members: self.members,
            excluded: &arrival.excluded,
            eager: self.pools[kind.model].top_priority == Some(kind.priority),
            prefix: arrival.prefix,
            service: self.estimates[arrival.kind].get(),
            prefix_share: kind.prefix_share,
            cost_weight: self.bundle.objective.cost,
        };
        context.choose(&mut self.rng)
    }

    fn choose_away(&self, now: Moment, arrival: &RequestArrival) -> Option<AwayChoice> {
        let kind = self.kind(arrival.kind);
        let barred = self.settings.routing != RoutingPolicy::Expected
            || arrival.origin == ArrivalOrigin::Peer
            || kind.away == AwayRule::Never;
        if barred {
            return None;
        }
        let service = self.estimates[arrival.kind].get();
        let context = AwayContext {
            now,
            bundle: &self.bundle,
            centers: &self.centers,
            own_center: self.center,
            allowed: arrival.allowed,
            model: kind.model,
            service,
            cold_work: service.mul_f64(kind.prefix_share),
            remaining: arrival.deadline - now,
        };
        let choice = context.choose()?;
        (!arrival.excluded_centers.contains(&choice.center)).then_some(choice)
    }

    /// How many times slower than usual the servers of a model answer, the
    /// median. A queue in every server is no fault of one.
    fn usual_slowness(&self, now: Moment, model: ModelId) -> f64 {
        let servers = self.pools[model]
            .servers
            .iter()
            .map(|id| &self.servers[*id]);
        let mut all: Vec<f64> = servers
            .filter(|s| s.is_usable(now))
            .map(|s| s.slowness(now))
            .collect();
        all.sort_unstable_by(f64::total_cmp);
        all.get(all.len() / 2).copied().unwrap_or(1.0)
    }

    /// Slots that serve this VM's queue, a server slower than its peers
    /// counted as less.
    fn pool_slots(&self, now: Moment, model: ModelId) -> f64 {
        let usual = self.usual_slowness(now, model);
        let servers = self.pools[model]
            .servers
            .iter()
            .map(|id| &self.servers[*id]);
        let slots = |server: &ServerState| {
            server.allowance(now, self.members) / (server.slowness(now) / usual).max(1.0)
        };
        servers
            .filter(|server| server.is_usable(now))
            .map(slots)
            .sum()
    }

    /// Expected wait in the own queue; `None` if no server is usable.
    fn local_wait(&self, now: Moment, kind: KindId, deadline: Moment) -> Option<Duration> {
        let model = self.kind(kind).model;
        let slots = self.pool_slots(now, model);
        if slots <= 0.0 {
            return None;
        }
        let residual = self.estimates[kind].get().div_f64(slots.max(1.0));
        Some(self.pools[model].queue.expected_wait(kind, deadline, slots) + residual)
    }

    fn start_local(
        &mut self,
        now: Moment,
        arrival: &RequestArrival,
        choice: ServerChoice,
    ) -> RouteStep {
        debug_assert!(
            arrival
                .allowed
                .contains(self.bundle.centers[self.center].region)
        );
        let attempt = self.next();
        self.servers[choice.server].start(now, attempt, choice.service);
        if let Some(prefix) = arrival.prefix {
            self.prefixes.note_routed(prefix, choice.server, now);
        }
        let target = AttemptTarget::Server(choice.server);
        let open = OpenAttempt {
            target,
            kind: arrival.kind,
            expected: choice.service,
        };
        self.open.insert(attempt, open);
        self.counts.local += 1;
        RouteStep::Run {
            attempt,
            server: choice.server,
        }
    }

    fn start_away(&mut self, arrival: &RequestArrival, center: CenterId) -> RouteStep {
        debug_assert!(arrival.origin == ArrivalOrigin::Caller, "one hop only");
        debug_assert!(arrival.allowed.contains(self.bundle.centers[center].region));
        let attempt = self.next();
        self.centers.start(center, self.kind(arrival.kind).model);
        let target = AttemptTarget::Center(center);
        let expected = self.estimates[arrival.kind].get();
        self.open.insert(
            attempt,
            OpenAttempt {
                target,
                kind: arrival.kind,
                expected,
            },
        );
        self.counts.away += 1;
        RouteStep::Away { attempt, center }
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
        state.end(end.attempt);
        match end.outcome {
            AttemptOutcome::Success => {
                let saved = open.expected.as_secs_f64();
                let whole = self.estimates[open.kind].get().as_secs_f64();
                let sample = end.elapsed.mul_f64((whole / saved.max(1e-6)).max(1.0));
                let ratio = self.estimates[open.kind].observe(sample);
                state.succeed(now, ratio);
                None
            }
            AttemptOutcome::Failed => state.fail(now).then_some(server),
            AttemptOutcome::Refused | AttemptOutcome::Cancelled => {
                state.forget();
                None
            }
        }
    }

    fn poll_expired(&mut self, now: Moment, model: ModelId, steps: &mut Vec<(WaitId, RouteStep)>) {
        for request in self.pools[model].queue.take_expired(now) {
            self.counts.expired += 1;
            let wait = self.local_wait(now, request.kind, request.deadline);
            steps.push((request.id, RouteStep::Refuse(refusal(wait))));
        }
    }

    fn poll_local(&mut self, now: Moment, model: ModelId, steps: &mut Vec<(WaitId, RouteStep)>) {
        while self.has_room(now, model) {
            let Some(request) = self.pools[model].queue.pop(now).next else {
                return;
            };
            let step = if let Some(choice) = self.choose_local(now, &request.payload) {
                self.start_local(now, &request.payload, choice)
            } else {
                RouteStep::Refuse(refusal(self.local_wait(
                    now,
                    request.kind,
                    request.deadline,
                )))
            };
            steps.push((request.id, step));
        }
    }

    /// Sends waiting requests away while that beats their wait.
    fn poll_away(&mut self, now: Moment, model: ModelId, steps: &mut Vec<(WaitId, RouteStep)>) {
        if self.settings.routing != RoutingPolicy::Expected {
            return;
        }
        loop {
            let bundle = Arc::clone(&self.bundle);
            let movable = |request: &QueuedRequest<RequestArrival>| {
                bundle.kinds[request.kind].away == AwayRule::Allowed
            };
            let Some(request) = self.pools[model].queue.pop_last(movable) else {
                return;
            };
            let local = self
                .local_wait(now, request.kind, request.deadline)
                .map(|wait| wait + request.service);
            let away = self.choose_away(now, &request.payload);
            if let Some(away) = self.prefer_away(now, model, local, away) {
                steps.push((request.id, self.start_away(&request.payload, away.center)));
                continue;
            }
            let back = self.pools[model].queue.push(request);
            debug_assert!(back.is_ok(), "a request taken out fits back in");
            return;
        }
    }

    /// Whether a server has room for what waits first.
    fn has_room(&self, now: Moment, model: ModelId) -> bool {
        let pool = &self.pools[model];
        let eager = pool
            .queue
            .first_priority()
            .is_some_and(|p| pool.top_priority == Some(p));
        let has_room = |id: &ServerId| self.servers[*id].has_room(now, self.members, eager);
        !pool.queue.is_empty() && pool.servers.iter().any(has_room)
    }

    fn free_slots(&self, now: Moment, model: ModelId) -> u32 {
        let pool = &self.pools[model];
        if !pool.queue.is_empty() || !pool.peer_work.is_empty() {
            return 0;
        }
        let usual = self.usual_slowness(now, model);
        let servers = pool.servers.iter().map(|id| &self.servers[*id]);
        let spare = |server: &ServerState| {
            let spare = (f64::from(server.slots()) - server.busy(now)).max(0.0);
            spare / (server.slowness(now) / usual).max(1.0)
        };
        let free: f64 = servers
            .filter(|server| server.is_usable(now))
            .map(spare)
            .sum();
        let free = (free * (1.0 - GRANT_RESERVE)).floor();
        // A count of slots: not negative, far below 2^32.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let free = free.max(0.0) as u32;
        free
    }

    fn center_wait(&self, now: Moment, model: ModelId) -> Duration {
        let pool = &self.pools[model];
        let slots = self.pool_slots(now, model).max(1.0) * self.members as f64;
        (pool.queue.work() + pool.peer_work.values().sum::<Duration>()).div_f64(slots)
    }

    fn route_random(&mut self, now: Moment, arrival: &RequestArrival) -> RouteStep {
        let model = self.kind(arrival.kind).model;
        let here = arrival.origin == ArrivalOrigin::Peer
            || self.kind(arrival.kind).away == AwayRule::Never;
        let permitted: Vec<ServerId> = self
            .bundle
            .servers
            .iter()
            .filter(|(_, server)| server.models.contains(&model))
            .filter(|(_, server)| !here || server.center == self.center)
            .filter(|(_, server)| {
                arrival
                    .allowed
                    .contains(self.bundle.centers[server.center].region)
            })
            .map(|(id, _)| id)
            .collect();
        if permitted.is_empty() {
            return RouteStep::Refuse(refusal(None));
        }
        let server = permitted[self.rng.random_range(0..permitted.len())];
        let center = self.bundle.servers[server].center;
        if center != self.center {
            return self.start_away(arrival, center);
        }
        self.start_plain(now, arrival, server)
    }

    fn route_in_turn(&mut self, now: Moment, arrival: &RequestArrival) -> RouteStep {
        let model = self.kind(arrival.kind).model;
        let pool = &mut self.pools[model];
        if pool.servers.is_empty() {
            return RouteStep::Refuse(refusal(None));
        }
        let server = pool.servers[pool.next_turn % pool.servers.len()];
        pool.next_turn += 1;
        self.start_plain(now, arrival, server)
    }

    fn start_plain(
        &mut self,
        now: Moment,
        arrival: &RequestArrival,
        server: ServerId,
    ) -> RouteStep {
        let service = self.estimates[arrival.kind].get();
        self.start_local(
            now,
            arrival,
            ServerChoice {
                server,
                service,
                expected: service,
            },
        )
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
        queue.add_lane(id, lane_worth(bundle, kind), kind.priority);
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
        mode: AwayMode::default(),
        next_turn: 0,
        top_priority: top_priority(bundle, model),
        from_away: BTreeMap::new(),
        peer_work: BTreeMap::new(),
    }
}

/// The best priority of a model's kinds, if they differ in it.
fn top_priority(bundle: &ServiceBundle, model: ModelId) -> Option<u8> {
    let kinds = bundle.kinds.values().filter(|kind| kind.model == model);
    let priorities: Vec<u8> = kinds.map(|kind| kind.priority).collect();
    let top = priorities.iter().min().copied();
    let differ = priorities.iter().any(|priority| Some(*priority) != top);
    top.filter(|_| differ)
}

/// Worth of a kind's lane: weight per second of service, the more the tail
/// counts the more in favour of short kinds.
fn lane_worth(bundle: &ServiceBundle, kind: &RequestKind) -> f64 {
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
