//! This VM's view of the backend servers.
//!
//! Servers come and go on their own. Each instance has a name and a [`ServerId`] that
//! is never reused, so that the end of an attempt is always recorded at the instance
//! that it was sent to.
//!
//! Invariant: an instance that was seen draining or gone never gets new requests.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use onyxfall_policy::Moment;
use onyxfall_rollout::VersionRule;
use onyxfall_types::{
    CenterName, EntityMap, RegionName, ServerId, ServerName, ServiceName, VmName,
};

use crate::backup::CrashTable;
use crate::balance::RateTable;
use crate::brittle::BrittleRecord;
use crate::call::CallRequirements;
use crate::cold::RegionDiscovery;
use crate::flow::FlowMeter;
use crate::instance::StartTime;
use crate::learn::ServiceCosts;
use crate::liveness::ServerVotes;
use crate::peers::PeerTable;
use crate::pools::{
    DormantServer, MIN_WORKING, PoolId, PoolKey, PoolPosition, PoolServer, PoolTable,
};
use crate::reach::{LossEvidence, LossMoment, PathState, PathTable, RegionReach};
use crate::record::ServerRecord;
use crate::route::RouteTable;
use crate::server::ServerState;
use crate::switches::{DecisionSwitch, DecisionSwitches};
use crate::work::WorkShare;

/// Time after which a run that was given up during a silence shows nothing any more: the
/// platform's store reports servers that have ended within about 4 s.
const SILENCE_SETTLED: Duration = Duration::from_secs(10);

/// Delay per 1,000 tokens of a shared part that is accepted to avoid prefilling them
/// again, if the settings give none. It also ties short shared parts to their server:
/// on a day with a power loss 15.1 M tokens of shared parts were prefilled again
/// without it and 11.2 M with it, at a value of 0.692 and 0.708; on three days with a
/// load peak the value was 0.589 without it and 0.592 with it.
pub const REPREFILL_PENALTY: Duration = Duration::from_millis(200);
/// Number of requests per slot of a plain service's server up to which it gets more, in
/// addition to those that have ended since they were reported. With 2 and no addition,
/// a hundred VMs treated a busy server as full until the next report and all sent to
/// the other one: 21 of 100 requests took three times their own time. With these values
/// 3 do (test `herd`).
const MAX_REQUESTS_PER_SLOT: f64 = 3.0;
/// Decay time of the rate of drawn requests. One of hundreds of VMs sends a service two
/// to five requests per second.
const DRAWN_DECAY: Duration = Duration::from_secs(3);

/// Minimum number of start times at which those of removed servers are dropped. Each
/// takes 100 bytes, and the number is twice the servers of the largest plan.
const START_TIMES_PRUNE_LEN: usize = 24_000;

/// Identity and location of this VM.
#[derive(Clone, Debug)]
pub struct VmLocation {
    /// Name of the VM.
    pub vm: VmName,
    /// Data centre of the VM.
    pub center: CenterName,
    /// Region of the VM.
    pub region: RegionName,
    /// Region of every data centre.
    pub centers: BTreeMap<CenterName, RegionName>,
}

/// Latest server instance seen under a name.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LatestInstance {
    pub(crate) started_at: StartTime,
    /// When its entry was first received.
    pub(crate) received_at: Moment,
    /// Id of the latest instance that was in the working set.
    last_working: Option<ServerId>,
}

/// Servers and learned costs as seen by this VM.
#[derive(Clone, Debug)]
pub struct FleetView {
    place: VmLocation,
    servers: EntityMap<ServerId, ServerState>,
    by_name: HashMap<ServerName, ServerId>,
    /// Ids by instance tag, which messages between VMs carry.
    by_tag: HashMap<u32, ServerId>,
    /// Ids by full instance hash, which is unique among tens of thousands of servers.
    by_instance: HashMap<u64, ServerId>,
    /// Working servers by service.
    by_service: BTreeMap<ServiceName, Vec<ServerId>>,
    pools: PoolTable,
    /// Time until which the servers of a data centre may be cold after an evacuation.
    cold_until: BTreeMap<CenterName, Moment>,
    /// Unix time of [`Moment::ZERO`], for converting start times to moments.
    unix_start: Duration,
    /// Latest instance that was seen under each name, including removed servers.
    latest: HashMap<ServerName, LatestInstance>,
    /// Length of `latest` at which the entries of removed servers are dropped.
    prune_len: usize,
    evacuated: BTreeSet<CenterName>,
    /// The other VMs of the region.
    pub(crate) peers: PeerTable,
    /// Paths to the servers of this region, by service.
    pub(crate) paths: PathTable,
    discovery: RegionDiscovery,
    /// Whether `peers` may lack VMs of this region.
    is_discovering: bool,
    switches: DecisionSwitches,
    costs: BTreeMap<ServiceName, ServiceCosts>,
    crashes: CrashTable,
    /// Costs of a service without samples.
    prior: ServiceCosts,
    /// Number of round-robin choices so far.
    round_robin: usize,
    /// Age of other VMs' work when it is received.
    knowledge_age: Duration,
    /// Rate of the requests whose server was chosen by load, by service.
    drawn_rates: BTreeMap<ServiceName, FlowMeter>,
    rates: RateTable,
    /// What servers last stated of the rejections that they bear, by service.
    pub(crate) brittle_services: BTreeMap<ServiceName, BrittleRecord>,
    /// Delay per 1,000 tokens of a shared part that is accepted to avoid prefilling
    /// them again.
    reprefill_penalty: Duration,
    /// Rules on the versions that may get requests, for services with servers of two
    /// versions.
    pub(crate) version_rules: BTreeMap<ServiceName, VersionRule>,
}

impl FleetView {
    /// Creates a view without servers.
    pub fn new(place: VmLocation) -> Self {
        Self {
            place,
            servers: EntityMap::new(),
            by_name: HashMap::new(),
            by_tag: HashMap::new(),
            by_instance: HashMap::new(),
            by_service: BTreeMap::new(),
            pools: PoolTable::default(),
            cold_until: BTreeMap::new(),
            unix_start: Duration::ZERO,
            latest: HashMap::new(),
            prune_len: START_TIMES_PRUNE_LEN,
            evacuated: BTreeSet::new(),
            peers: PeerTable::default(),
            paths: PathTable::default(),
            discovery: RegionDiscovery::default(),
            is_discovering: false,
            switches: DecisionSwitches::default(),
            costs: BTreeMap::new(),
            crashes: CrashTable::new(),
            prior: ServiceCosts::default(),
            round_robin: 0,
            knowledge_age: Duration::ZERO,
            drawn_rates: BTreeMap::new(),
            rates: RateTable::new(),
            brittle_services: BTreeMap::new(),
            reprefill_penalty: REPREFILL_PENALTY,
            version_rules: BTreeMap::new(),
        }
    }

    /// Sets the Unix time of [`Moment::ZERO`].
    pub fn set_unix_start(&mut self, start: Duration) {
        self.unix_start = start;
    }

    /// Converts a start time to a moment of this VM's clock; zero if it is earlier.
    pub(crate) fn moment_of(&self, started_at: StartTime) -> Moment {
        let started_at = Duration::from_millis(started_at.millis());
        Moment::from_duration(started_at.saturating_sub(self.unix_start))
    }

    /// Identity and location of this VM.
    pub fn place(&self) -> &VmLocation {
        &self.place
    }

    /// VMs of this region; may include this one.
    pub fn region_vms(&self) -> &[VmName] {
        &self.peers.vms
    }

    /// Sets the VMs of this region.
    pub fn set_region_vms(&mut self, vms: Vec<VmName>) {
        self.peers.vms = vms;
    }

    /// Updates the VMs of this region with those discovered so far. A VM that has run for
    /// `discovery_time` since [`Moment::ZERO`] usually knows all of them.
    pub(crate) fn update_region_vms(
        &mut self,
        now: Moment,
        vms: Vec<VmName>,
        discovery_time: Duration,
    ) {
        self.discovery.record(now, &self.peers.vms, &vms);
        self.is_discovering = self.discovery.is_running(now, discovery_time);
        self.peers.vms = vms;
    }

    /// Whether the list of this region's VMs is likely to lack some of them.
    pub(crate) fn is_discovering(&self) -> bool {
        self.is_discovering
    }

    /// Sets whether this VM is known to be the only one of its region.
    pub fn set_alone(&mut self, is_alone: bool) {
        self.peers.is_alone = is_alone;
    }

    /// Sets the age of other VMs' work when it is received.
    pub fn set_knowledge_age(&mut self, age: Duration) {
        self.knowledge_age = age;
    }

    /// Records that the server of a request is chosen by its load.
    pub(crate) fn record_drawn(&mut self, now: Moment, service: &ServiceName) {
        let meter = self.drawn_rates.entry(service.clone());
        meter.or_insert(FlowMeter::new(DRAWN_DECAY)).note(now, 1);
    }

    /// Number of requests of a service that the other VMs of the region are expected to
    /// send before this VM receives their reports, assuming that each sends as many as
    /// this one.
    pub(crate) fn unreported_requests(&self, now: Moment, service: &ServiceName) -> f64 {
        let rate = self
            .drawn_rates
            .get(service)
            .map_or(0.0, |m| m.per_second(now));
        rate * self.sharing_vms(service).len() as f64 * self.knowledge_age.as_secs_f64()
    }

    /// Sets the delay per 1,000 tokens of a shared part that is accepted to avoid
    /// prefilling them again.
    pub fn set_reprefill_penalty(&mut self, delay: Duration) {
        self.reprefill_penalty = delay;
    }

    pub(crate) fn reprefill_penalty(&self) -> Duration {
        self.reprefill_penalty
    }

    /// Enabled mechanisms and choice policy.
    pub fn switches(&self) -> &DecisionSwitches {
        &self.switches
    }

    /// Sets the enabled mechanisms and the choice policy.
    pub fn set_switches(&mut self, switches: DecisionSwitches) {
        self.switches = switches;
    }

    /// Learned costs of a service.
    pub(crate) fn costs(&self, service: &ServiceName) -> &ServiceCosts {
        self.costs.get(service).unwrap_or(&self.prior)
    }

    /// Learned costs of a service, for modification.
    pub(crate) fn costs_mut(&mut self, service: &ServiceName) -> &mut ServiceCosts {
        self.costs.entry(service.clone()).or_default()
    }

    /// Learned costs of all services.
    pub(crate) fn all_costs(&self) -> impl Iterator<Item = (&ServiceName, &ServiceCosts)> {
        self.costs.iter()
    }

    /// Recent crashes by service.
    pub(crate) fn crashes(&self) -> &CrashTable {
        &self.crashes
    }

    /// Recent crashes by service, for modification.
    pub(crate) fn crashes_mut(&mut self) -> &mut CrashTable {
        &mut self.crashes
    }

    /// Request rates by service.
    pub(crate) fn rates(&self) -> &RateTable {
        &self.rates
    }

    /// Request rates by service, for modification.
    pub(crate) fn rates_mut(&mut self) -> &mut RateTable {
        &mut self.rates
    }

    /// Servers by service, region and version.
    pub(crate) fn pools(&self) -> &PoolTable {
        &self.pools
    }

    /// Returns the next number of the round-robin counter.
    pub(crate) fn next_round_robin(&mut self) -> usize {
        self.round_robin = self.round_robin.wrapping_add(1);
        self.round_robin
    }

    /// State of a server.
    pub fn server(&self, id: ServerId) -> &ServerState {
        &self.servers[id]
    }

    /// State of a server, for modification.
    pub fn server_mut(&mut self, id: ServerId) -> &mut ServerState {
        &mut self.servers[id]
    }

    /// Finds a working server by name.
    pub fn find(&self, name: &str) -> Option<ServerId> {
        self.by_name.get(name).copied()
    }

    /// Finds a live server by the tag of its instance.
    pub fn find_tag(&self, tag: u32) -> Option<ServerId> {
        self.by_tag.get(&tag).copied()
    }

    /// Finds a live server by the hash of its instance.
    pub fn find_instance(&self, hash: u64) -> Option<ServerId> {
        self.by_instance.get(&hash).copied()
    }

    /// Whether a region has servers of a service that accept requests.
    pub fn has_servers_in(&self, service: &ServiceName, region: &RegionName) -> bool {
        let mut servers = self.servers_of(service).iter();
        servers.any(|id| self.server(*id).region == *region && self.takes_work(*id))
    }

    /// Live working servers of a service.
    pub fn servers_of(&self, service: &ServiceName) -> &[ServerId] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// All live working servers.
    pub fn live(&self) -> impl Iterator<Item = (ServerId, &ServerState)> {
        self.by_service
            .values()
            .flatten()
            .map(|id| (*id, &self.servers[*id]))
    }

    /// Whether a data centre is evacuated, so that its servers must not get requests.
    pub fn is_evacuated(&self, center: &CenterName) -> bool {
        self.evacuated.contains(center)
    }

    /// Whether a server's entry, data centre and version allow new requests.
    pub(crate) fn takes_work(&self, id: ServerId) -> bool {
        self.may_work(id) && self.is_usual_version(id)
    }

    /// Whether a server's entry and data centre allow new requests.
    pub(crate) fn may_work(&self, id: ServerId) -> bool {
        let server = self.server(id);
        server.takes_work() && !self.is_evacuated(&server.record.center)
    }

    /// Servers of a service in this region that may get new requests.
    pub(crate) fn region_servers(&self, service: &ServiceName) -> impl Iterator<Item = ServerId> {
        self.servers_of(service)
            .iter()
            .copied()
            .filter(|id| self.server(*id).region == self.place.region && self.takes_work(*id))
    }

    /// Servers of this region that a request could be sent to immediately.
    pub fn free_servers(
        &self,
        now: Moment,
        needs: &CallRequirements,
    ) -> impl Iterator<Item = ServerId> {
        self.permitted_servers(needs).filter(move |id| {
            let server = self.server(*id);
            self.is_trusted(now, *id)
                && !server.is_cold(now)
                && self.has_room(now, *id, needs)
                && self.is_within_limit(now, *id)
        })
    }

    /// Whether a server can be used by the VMs of the region that reach it: according to its
    /// requested backoff, the votes of all VMs and, if this VM reaches servers, its circuit
    /// breaker.
    pub(crate) fn is_trusted(&self, now: Moment, id: ServerId) -> bool {
        let server = self.server(id);
        let is_trusted_here = match self.region_reach(&server.record.service) {
            RegionReach::Own => server.is_trusted(now),
            // This VM's own failures show the state of its path only.
            RegionReach::Neighbours => server.is_backoff_over(now),
            RegionReach::None => false,
        };
        is_trusted_here && !self.is_voted_unresponsive(now, id)
    }

    /// Whether a server is suspected to have ended: it is unresponsive by the votes of all VMs, it
    /// has restarted since, or this VM does not reach it. A silent server may go on, so a
    /// suspicion leads requests elsewhere and never ends a run.
    pub fn is_suspected(&self, now: Moment, id: ServerId) -> bool {
        let server = self.server(id);
        let is_cut_off = server.region == self.place.region
            && self.path_state(&server.record.service) == PathState::Lost;
        is_cut_off || self.is_voted_unresponsive(now, id)
    }

    /// What is known of a run that was given up at `at` while its server was suspected. Without
    /// any sign of life or proof of its end within [`SILENCE_SETTLED`], it shows nothing.
    pub fn silence_evidence(&self, now: Moment, id: ServerId, at: Moment) -> LossEvidence {
        let server = self.server(id);
        let has_returned = server.last_liveness().is_some_and(|sign| sign > at);
        if has_returned || now - at > SILENCE_SETTLED {
            LossEvidence::None
        } else if self.has_lost_run(id, at) || server.is_broken_since(at) {
            self.loss_evidence(&server.record.service, LossMoment::AfterCheck)
        } else {
            LossEvidence::Open
        }
    }

    fn is_voted_unresponsive(&self, now: Moment, id: ServerId) -> bool {
        let server = self.server(id);
        let has_votes = self.switches().is_on(DecisionSwitch::ServerVotes);
        server.is_replaced() || (has_votes && self.votes(now, id).is_unresponsive())
    }

    /// Whether nothing speaks against this VM's path to a server.
    pub fn has_open_path(&self, id: ServerId) -> bool {
        self.path_state(&self.server(id).record.service) == PathState::Open
    }

    /// Votes of all VMs on whether a server is responsive. A VM whose path is not open
    /// abstains.
    pub fn votes(&self, now: Moment, id: ServerId) -> ServerVotes {
        let server = self.server(id);
        if self.has_open_path(id) {
            server.votes(now)
        } else {
            server.others_votes()
        }
    }

    /// This VM's own work at a server, with its vote on it unless it abstains.
    pub fn own_work(&self, now: Moment, id: ServerId) -> WorkShare {
        let server = self.server(id);
        let share = server.own_work(now);
        if self.has_open_path(id) {
            return share;
        }
        WorkShare {
            votes: ServerVotes::default(),
            ..share
        }
    }

    /// Whether a server has capacity for another request. Some of the other VMs'
    /// requests to a plain service have ended since they were reported.
    pub(crate) fn has_room(&self, now: Moment, id: ServerId, needs: &CallRequirements) -> bool {
        let request_time = self.costs(&needs.service).plain_ms() / 1e3;
        let ended_per_slot = self.knowledge_age.as_secs_f64() / request_time.max(f64::MIN_POSITIVE);
        let limit = MAX_REQUESTS_PER_SLOT + ended_per_slot;
        self.server(id).has_room(needs, limit) && self.has_brittle_room(now, id, needs)
    }

    /// Applies a server's store entry. An entry of an earlier instance is ignored,
    /// whatever its source; one of a later instance ends the earlier one.
    pub fn put_server(&mut self, now: Moment, record: ServerRecord, table: Option<&RouteTable>) {
        let Some(region) = self.place.centers.get(&record.center).cloned() else {
            self.remove_server(now, record.name.as_str());
            return;
        };
        let latest = self.latest.get(&record.name).copied();
        if latest.is_some_and(|latest| latest.started_at > record.started_at) {
            return;
        }
        if self.update_known_server(now, &record, &region) {
            return;
        }
        let key = PoolKey {
            service: record.service.clone(),
            region,
            version: record.version.clone(),
        };
        let pool = self.pools.id_of(&key);
        let service = table.and_then(|table| table.service(&record.service));
        if let Some(service) = service {
            self.pools.get_mut(pool).cold_rate = service.cold_rate;
        }
        self.record_latest(now, &record);
        let record = self.with_interned_names(record, pool);
        let position = self.pools.add(
            pool,
            DormantServer {
                record,
                received_at: now,
            },
        );
        self.update_working_at(pool, &position);
    }

    /// Applies a newer entry of a known server. Returns false if the server is unknown
    /// or the entry is of another instance.
    fn update_known_server(
        &mut self,
        now: Moment,
        record: &ServerRecord,
        region: &RegionName,
    ) -> bool {
        let Some(pool) = self.pools.pool_of(record.name.as_str()) else {
            return false;
        };
        let key = &self.pools.get(pool).key;
        let is_same_pool =
            key.service == record.service && key.region == *region && key.version == record.version;
        let record = self.with_interned_names(record.clone(), pool);
        let last_working = self.find(record.name.as_str());
        let servers = &mut self.servers;
        let current = match self.pools.entry_mut(&record.name) {
            Some(PoolServer::Working(id)) => &mut servers[*id].record,
            Some(PoolServer::Dormant(dormant)) => &mut dormant.record,
            None => return false,
        };
        let is_other_instance = current.started_at != record.started_at;
        if is_other_instance || !is_same_pool {
            self.remove_server(now, record.name.as_str());
            if let Some(id) = last_working {
                self.servers[id].replace();
            }
            return false;
        }
        let record = record.with_phase_after(current.phase);
        let is_other_phase = current.phase != record.phase;
        if let Some(id) = last_working {
            self.servers[id].update(now, record);
        } else if let Some(PoolServer::Dormant(dormant)) = self.pools.entry_mut(&record.name) {
            dormant.update(now, record);
        }
        if is_other_phase {
            self.update_working(pool);
        }
        true
    }

    /// Replaces the service, version and data centre of an entry by shared copies of
    /// the names, so that ten thousand entries do not hold as many copies of them.
    fn with_interned_names(&self, record: ServerRecord, pool: PoolId) -> ServerRecord {
        let key = &self.pools.get(pool).key;
        let center = self.place.centers.get_key_value(&record.center);
        ServerRecord {
            service: if key.service == record.service {
                key.service.clone()
            } else {
                record.service
            },
            version: if key.version == record.version {
                key.version.clone()
            } else {
                record.version
            },
            center: center.map_or(record.center, |(center, _)| center.clone()),
            ..record
        }
    }

    /// Moves a server into the working set.
    fn activate(&mut self, pool: PoolId, position: &PoolPosition) {
        let current = self.pools.get_mut(pool).servers.get_mut(position);
        let Some(PoolServer::Dormant(dormant)) = current else {
            return;
        };
        let DormantServer {
            record,
            received_at,
        } = (**dormant).clone();
        let region = self.pools.get(pool).key.region.clone();
        let cold_rate = self.pools.get(pool).cold_rate;
        let (name, start) = (record.name.clone(), record.started_at);
        let cold_until = self.cold_until.get(&record.center).copied();
        let mut state = ServerState::new(received_at, record, region, cold_rate);
        if let Some(until) = cold_until {
            state.mark_cold(received_at, until - received_at);
        }
        let last_working = self
            .latest
            .get(&name)
            .and_then(|latest| latest.last_working);
        match last_working {
            Some(old) if self.servers[old].record.started_at == start => {
                state.inherit_signals(&self.servers[old]);
            }
            Some(old) => state.apply_ambiguous(received_at, &self.ambiguous_signals(old, start)),
            None => {}
        }
        let id = self.servers.push(state);
        let servers = &mut self.pools.get_mut(pool).servers;
        servers.insert(position.clone(), PoolServer::Working(id));
        if let Some(latest) = self.latest.get_mut(&name) {
            latest.last_working = Some(id);
        }
        self.by_tag.insert(self.servers[id].tag(), id);
        self.by_instance
            .insert(self.servers[id].instance_hash(), id);
        self.by_name.insert(name, id);
    }

    /// Updates the working set of a pool after a change at a position.
    fn update_working_at(&mut self, pool: PoolId, position: &PoolPosition) {
        if self.pools.get(pool).is_in_working_range(position) {
            self.update_working(pool);
        }
    }

    /// Updates the working set of a pool.
    fn update_working(&mut self, pool: PoolId) {
        let mut ready = 0;
        let mut last = None;
        let mut activated = Vec::new();
        let current = self.pools.get(pool);
        for (position, server) in &current.servers {
            if ready >= current.working {
                break;
            }
            let takes_work = match server {
                PoolServer::Working(id) => self.may_work(*id),
                PoolServer::Dormant(dormant) => {
                    activated.push(position.clone());
                    dormant.takes_work() && !self.is_evacuated(&dormant.record.center)
                }
            };
            ready += usize::from(takes_work);
            last = Some(position.clone());
        }
        let is_all = ready < current.working;
        self.pools.get_mut(pool).last = last.filter(|_| !is_all);
        for position in &activated {
            self.activate(pool, position);
        }
        let service = self.pools.get(pool).key.service.clone();
        self.update_service_list(&service);
    }

    /// Rebuilds the list of working servers of a service.
    fn update_service_list(&mut self, service: &ServiceName) {
        let mut listed = Vec::new();
        for pool in self.pools.of_service(service) {
            for (position, server) in &pool.servers {
                if !pool.is_in_working_range(position) {
                    break;
                }
                if let PoolServer::Working(id) = server {
                    listed.push(*id);
                }
            }
        }
        self.by_service.insert(service.clone(), listed);
    }

    /// Enlarges the working set of pools whose servers are busy, and shrinks it where
    /// they are mostly idle.
    pub fn resize_pools(&mut self) {
        for pool in self.pools.ids() {
            let current = self.pools.get(pool);
            if current.key.region != self.place.region || current.servers.len() <= MIN_WORKING {
                continue;
            }
            let working = current
                .servers
                .iter()
                .take_while(|(p, _)| current.is_in_working_range(p));
            let (mut requests, mut slots) = (0.0, 0.0);
            for (_, server) in working {
                if let PoolServer::Working(id) = server {
                    requests += f64::from(self.servers[*id].work().requests);
                    slots += f64::from(self.servers[*id].record.slots);
                }
            }
            if slots > 0.0 && self.pools.get_mut(pool).resize(requests / slots) {
                self.update_working(pool);
            }
        }
    }

    /// Current id of a server instance. It differs from `id` if the instance's entry
    /// had expired and was written again.
    pub(crate) fn same_instance(&self, id: ServerId) -> ServerId {
        let record = &self.server(id).record;
        let latest = self.latest.get(&record.name);
        let last_working = latest.and_then(|latest| latest.last_working);
        last_working
            .filter(|prior| self.server(*prior).record.started_at == record.started_at)
            .unwrap_or(id)
    }

    /// The latest instance seen under a name.
    pub(crate) fn latest_instance(&self, name: &ServerName) -> Option<LatestInstance> {
        self.latest.get(name).copied()
    }

    fn record_latest(&mut self, now: Moment, record: &ServerRecord) {
        if self.latest.len() >= self.prune_len {
            let pools = &self.pools;
            self.latest.retain(|name, _| pools.has(name.as_str()));
            // If more servers than that are live, pruning for each new one would take
            // quadratic time.
            self.prune_len = START_TIMES_PRUNE_LEN.max(self.latest.len() * 2);
        }
        let latest = self.latest.entry(record.name.clone());
        let started_at = record.started_at;
        let latest = latest.or_insert(LatestInstance {
            started_at,
            received_at: now,
            last_working: None,
        });
        if latest.started_at < started_at {
            latest.started_at = started_at;
            latest.received_at = now;
        }
    }

    /// Records that a server's entry was removed, or that another instance responded.
    /// An instance that was not draining counts as crashed.
    pub fn remove_server(&mut self, now: Moment, name: &str) {
        let Some((pool, position, server)) = self.pools.remove(name) else {
            return;
        };
        if let PoolServer::Working(id) = server {
            self.by_name.remove(name);
            self.by_tag.remove(&self.servers[id].tag());
            self.by_instance.remove(&self.servers[id].instance_hash());
            if self.servers[id].takes_work() {
                self.record_crash(now, id);
            }
            self.servers[id].end_instance(now);
        }
        self.update_working_at(pool, &position);
    }

    fn update_all_pools(&mut self) {
        for pool in self.pools.ids() {
            self.update_working(pool);
        }
    }

    /// Records that a data centre is being evacuated.
    pub fn evacuate(&mut self, center: CenterName) {
        self.evacuated.insert(center);
        self.update_all_pools();
    }

    /// Records that the evacuation of a data centre has ended; its servers may be cold.
    pub fn end_evacuation(&mut self, now: Moment, center: &CenterName, table: Option<&RouteTable>) {
        if !self.evacuated.remove(center) {
            return;
        }
        let cold_duration = |service: &ServiceName| {
            let service = table.and_then(|table| table.service(service));
            service.map_or(Duration::ZERO, |service| service.cold_for)
        };
        for id in self.by_service.values().flatten() {
            let server = &mut self.servers[*id];
            if server.record.center == *center {
                let left = cold_duration(&server.record.service);
                server.mark_cold(now, left);
            }
        }
        let services = table.into_iter().flat_map(RouteTable::services);
        let longest = services.map(|service| service.cold_for).max();
        let until = now + longest.unwrap_or_default();
        self.cold_until.insert(center.clone(), until);
        self.update_all_pools();
    }
}
