//! The backend servers that there are, as this VM knows them.
//!
//! Servers come and go by themselves; each life has a name and a [`ServerId`]
//! that is never used again, so that the end of an attempt always finds the
//! life that it was sent to.
//!
//! Invariant: a life that was seen leaving or gone never gets new work.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use onyxfall_policy::Moment;
use onyxfall_rollout::VersionRule;
use onyxfall_types::{
    CenterName, EntityMap, RegionName, ServerId, ServerName, ServiceName, VmName,
};

use crate::backup::CrashTable;
use crate::balance::RateTable;
use crate::call::CallRequirements;
use crate::flow::FlowMeter;
use crate::instance::StartTime;
use crate::learn::ServiceCosts;
use crate::pools::{
    DormantServer, LEAST_WORKING, PoolId, PoolKey, PoolPosition, PoolServer, PoolTable,
};
use crate::record::ServerRecord;
use crate::route::RouteTable;
use crate::server::ServerState;
use crate::switches::{DecisionSwitch, DecisionSwitches};

/// Delay that is accepted for 1,000 tokens of a shared part that need not be read again,
/// where the settings name none. Short shared parts are held to their server by it: on a
/// day with a loss of power 15.1 M tokens of shared parts were read again without, 11.2 M
/// with it, and worth was 0.692 and 0.708; on three days with a rush 0.589 and 0.592.
pub const REPREFILL_PENALTY: Duration = Duration::from_millis(200);
/// Requests for each slot of a plain service's server up to which it gets more, beside
/// those that have ended since they were told. With 2 and nothing beside, a hundred VMs
/// took a busy server for full until they knew better and all sent to the other one: 21
/// of 100 requests took three times their own time, where now 3 do (test `herd`).
const PLAIN_TURNS: f64 = 3.0;
/// Time in which requests that were drawn fade to a third: a VM of hundreds sends a
/// service two to five requests a second.
const DRAWN_FADE: Duration = Duration::from_secs(3);

/// Births that are kept at least, those of servers that are gone included: 100 bytes each,
/// and twice the servers of the largest plan before the gone ones are dropped.
const MOST_BIRTHS: usize = 24_000;

/// Where this VM stands.
#[derive(Clone, Debug)]
pub struct VmLocation {
    /// Its name.
    pub vm: VmName,
    /// Its data centre.
    pub center: CenterName,
    /// Its region.
    pub region: RegionName,
    /// The region of every data centre.
    pub centers: BTreeMap<CenterName, RegionName>,
}

/// The latest life under a name.
#[derive(Clone, Copy, Debug)]
struct LatestLife {
    born: StartTime,
    /// The latest one that this VM has worked with.
    worked: Option<ServerId>,
}

/// The fleet.
#[derive(Clone, Debug)]
pub struct FleetView {
    place: VmLocation,
    servers: EntityMap<ServerId, ServerState>,
    by_name: HashMap<ServerName, ServerId>,
    /// The same by the tag of its life, which messages between VMs carry.
    by_tag: HashMap<u32, ServerId>,
    /// The same by the whole hash, which tells lives apart among tens of thousands.
    by_life: HashMap<u64, ServerId>,
    /// Servers that this VM works with.
    by_service: BTreeMap<ServiceName, Vec<ServerId>>,
    pools: PoolTable,
    /// Until when the servers of a data centre that was taken back may be cold.
    chilled: BTreeMap<CenterName, Moment>,
    /// Unix time of the moment zero, by which births become moments.
    unix_start: Duration,
    /// The latest life that was seen under each name, also of servers that are gone.
    latest: HashMap<ServerName, LatestLife>,
    /// Births from which those of servers that are gone are dropped.
    most_births: usize,
    evacuated: BTreeSet<CenterName>,
    region_vms: Vec<VmName>,
    is_alone: bool,
    switches: DecisionSwitches,
    costs: BTreeMap<ServiceName, ServiceCosts>,
    crashes: CrashTable,
    /// Costs of a service of which nothing is known.
    prior: ServiceCosts,
    /// Number of choices so far, for the baseline that takes servers in turn.
    turn: usize,
    /// How old other VMs' work is when it is known here.
    knowledge_age: Duration,
    /// Requests of each service whose server was chosen by its load.
    drawn: BTreeMap<ServiceName, FlowMeter>,
    rates: RateTable,
    /// Delay that is accepted for 1,000 tokens of a shared part that need not be read
    /// again.
    reprefill_penalty: Duration,
    /// Which versions of services may have requests, where two have servers.
    pub(crate) version_rules: BTreeMap<ServiceName, VersionRule>,
}

impl FleetView {
    /// A view that knows no server.
    pub fn new(place: VmLocation) -> Self {
        Self {
            place,
            servers: EntityMap::new(),
            by_name: HashMap::new(),
            by_tag: HashMap::new(),
            by_life: HashMap::new(),
            by_service: BTreeMap::new(),
            pools: PoolTable::default(),
            chilled: BTreeMap::new(),
            unix_start: Duration::ZERO,
            latest: HashMap::new(),
            most_births: MOST_BIRTHS,
            evacuated: BTreeSet::new(),
            region_vms: Vec::new(),
            is_alone: false,
            switches: DecisionSwitches::default(),
            costs: BTreeMap::new(),
            crashes: CrashTable::new(),
            prior: ServiceCosts::default(),
            turn: 0,
            knowledge_age: Duration::ZERO,
            drawn: BTreeMap::new(),
            rates: RateTable::new(),
            reprefill_penalty: REPREFILL_PENALTY,
            version_rules: BTreeMap::new(),
        }
    }

    /// Sets the Unix time of the moment zero.
    pub fn set_unix_start(&mut self, start: Duration) {
        self.unix_start = start;
    }

    /// The moment of a birth by this VM's clock; zero for those before it.
    pub(crate) fn moment_of(&self, born: StartTime) -> Moment {
        let born = Duration::from_millis(born.millis());
        Moment::from_duration(born.saturating_sub(self.unix_start))
    }

    /// Where this VM stands.
    pub fn place(&self) -> &VmLocation {
        &self.place
    }

    /// The VMs of this region, this one included or not.
    pub fn region_vms(&self) -> &[VmName] {
        &self.region_vms
    }

    /// Sets the VMs of this region.
    pub fn set_region_vms(&mut self, vms: Vec<VmName>) {
        self.region_vms = vms;
    }

    /// Sets whether this VM is known to be the only one of its region.
    pub fn set_alone(&mut self, is_alone: bool) {
        self.is_alone = is_alone;
    }

    /// Whether this VM is known to be the only one of its region.
    pub(crate) fn is_alone(&self) -> bool {
        self.is_alone
    }

    /// Sets how old other VMs' work is when it is known here.
    pub fn set_knowledge_age(&mut self, age: Duration) {
        self.knowledge_age = age;
    }

    /// Notes that the server of a request is chosen by its load.
    pub(crate) fn note_drawn(&mut self, now: Moment, service: &ServiceName) {
        let meter = self.drawn.entry(service.clone());
        meter.or_insert(FlowMeter::new(DRAWN_FADE)).note(now, 1);
    }

    /// Requests of a service that the other VMs of the region are expected to send
    /// until this VM knows of them: each as many as this one.
    pub(crate) fn unknown_requests(&self, now: Moment, service: &ServiceName) -> f64 {
        let rate = self.drawn.get(service).map_or(0.0, |m| m.per_second(now));
        rate * self.region_vms.len() as f64 * self.knowledge_age.as_secs_f64()
    }

    /// Sets the delay that is accepted for 1,000 tokens of a shared part that need not
    /// be read again.
    pub fn set_reprefill_penalty(&mut self, delay: Duration) {
        self.reprefill_penalty = delay;
    }

    pub(crate) fn reprefill_penalty(&self) -> Duration {
        self.reprefill_penalty
    }

    /// Which mechanisms are on.
    pub fn switches(&self) -> &DecisionSwitches {
        &self.switches
    }

    /// Turns mechanisms on and off.
    pub fn set_switches(&mut self, switches: DecisionSwitches) {
        self.switches = switches;
    }

    /// What is known of the costs of a service.
    pub(crate) fn costs(&self, service: &ServiceName) -> &ServiceCosts {
        self.costs.get(service).unwrap_or(&self.prior)
    }

    /// What is known of the costs of a service, to correct it.
    pub(crate) fn costs_mut(&mut self, service: &ServiceName) -> &mut ServiceCosts {
        self.costs.entry(service.clone()).or_default()
    }

    /// What is known of the costs of every service.
    pub(crate) fn all_costs(&self) -> impl Iterator<Item = (&ServiceName, &ServiceCosts)> {
        self.costs.iter()
    }

    /// Crashes seen lately.
    pub(crate) fn crashes(&self) -> &CrashTable {
        &self.crashes
    }

    /// Crashes seen lately, to note one.
    pub(crate) fn crashes_mut(&mut self) -> &mut CrashTable {
        &mut self.crashes
    }

    /// Rates of services.
    pub(crate) fn rates(&self) -> &RateTable {
        &self.rates
    }

    /// Rates of services, to change them.
    pub(crate) fn rates_mut(&mut self) -> &mut RateTable {
        &mut self.rates
    }

    /// Servers by service, region and version.
    pub(crate) fn pools(&self) -> &PoolTable {
        &self.pools
    }

    /// A number that grows with each choice.
    pub(crate) fn next_turn(&mut self) -> usize {
        self.turn = self.turn.wrapping_add(1);
        self.turn
    }

    /// State of a server.
    pub fn server(&self, id: ServerId) -> &ServerState {
        &self.servers[id]
    }

    /// State of a server, to change it.
    pub fn server_mut(&mut self, id: ServerId) -> &mut ServerState {
        &mut self.servers[id]
    }

    /// A server by the name of its life.
    pub fn find(&self, name: &str) -> Option<ServerId> {
        self.by_name.get(name).copied()
    }

    /// A server that is not gone by the tag of its life.
    pub fn find_tag(&self, tag: u32) -> Option<ServerId> {
        self.by_tag.get(&tag).copied()
    }

    /// A server that is not gone by the hash of its life.
    pub fn find_instance(&self, hash: u64) -> Option<ServerId> {
        self.by_life.get(&hash).copied()
    }

    /// Whether a region has servers of a service that take work.
    pub fn has_servers_in(&self, service: &ServiceName, region: &RegionName) -> bool {
        let mut servers = self.servers_of(service).iter();
        servers.any(|id| self.server(*id).region == *region && self.takes_work(*id))
    }

    /// The servers of a service that are not gone.
    pub fn servers_of(&self, service: &ServiceName) -> &[ServerId] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Every server that is not gone.
    pub fn live(&self) -> impl Iterator<Item = (ServerId, &ServerState)> {
        self.by_service
            .values()
            .flatten()
            .map(|id| (*id, &self.servers[*id]))
    }

    /// Whether servers of a data centre must get nothing.
    pub fn is_evacuated(&self, center: &CenterName) -> bool {
        self.evacuated.contains(center)
    }

    /// Whether a server's entry, data centre and version let it have new work.
    pub(crate) fn takes_work(&self, id: ServerId) -> bool {
        self.may_work(id) && self.is_usual_version(id)
    }

    /// Whether a server's entry and data centre let it have new work.
    pub(crate) fn may_work(&self, id: ServerId) -> bool {
        let server = self.server(id);
        server.takes_work() && !self.is_evacuated(&server.record.center)
    }

    /// The servers of a service in this region that may have new work.
    pub(crate) fn near_servers(&self, service: &ServiceName) -> impl Iterator<Item = ServerId> {
        self.servers_of(service)
            .iter()
            .copied()
            .filter(|id| self.server(*id).region == self.place.region && self.takes_work(*id))
    }

    /// The servers of this region that a request could be sent to at once.
    pub fn free_servers(
        &self,
        now: Moment,
        needs: &CallRequirements,
    ) -> impl Iterator<Item = ServerId> {
        self.near_servers(&needs.service).filter(move |id| {
            let server = self.server(*id);
            self.is_trusted(now, *id)
                && !server.is_cold(now)
                && self.has_room(*id, needs)
                && self.is_within_limit(now, *id)
        })
    }

    /// Whether a server may be sent an attempt: neither this VM's breaker, nor a rest that
    /// the server wants, nor the votes of all VMs speak against it.
    pub(crate) fn is_trusted(&self, now: Moment, id: ServerId) -> bool {
        let server = self.server(id);
        server.is_trusted(now) && !self.is_silent(now, id)
    }

    /// Whether a server is taken for silent by the votes of all VMs, or has started again
    /// since.
    pub fn is_silent(&self, now: Moment, id: ServerId) -> bool {
        let server = self.server(id);
        let votes = self.switches().is_on(DecisionSwitch::ServerVotes);
        server.is_replaced() || (votes && server.votes(now).is_silent())
    }

    /// Whether another request fits a server. Of other VMs' requests to a plain service
    /// some have ended since they were told.
    pub(crate) fn has_room(&self, id: ServerId, needs: &CallRequirements) -> bool {
        let one = self.costs(&needs.service).plain_ms() / 1e3;
        let ended = self.knowledge_age.as_secs_f64() / one.max(f64::MIN_POSITIVE);
        self.server(id).has_room(needs, PLAIN_TURNS + ended)
    }

    /// Takes a server's entry. One of an earlier life changes nothing, whatever way it
    /// came; one of a later life ends the life before.
    pub fn put_server(&mut self, now: Moment, record: ServerRecord, table: Option<&RouteTable>) {
        let Some(region) = self.place.centers.get(&record.center).cloned() else {
            self.remove_server(now, record.name.as_str());
            return;
        };
        let latest = self.latest.get(&record.name).copied();
        if latest.is_some_and(|latest| latest.born > record.born) {
            return;
        }
        if self.update_server(now, &record, &region) {
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
        self.note_latest(&record);
        let record = self.with_shared_names(record, pool);
        let place = self.pools.add(pool, DormantServer { record, seen: now });
        self.settle_at(pool, &place);
    }

    /// Takes a newer entry of a server that is known; false if it is of another life, or
    /// of a server that is not known.
    fn update_server(&mut self, now: Moment, record: &ServerRecord, region: &RegionName) -> bool {
        let Some(pool) = self.pools.pool_of(record.name.as_str()) else {
            return false;
        };
        let key = &self.pools.get(pool).key;
        let is_same_pool =
            key.service == record.service && key.region == *region && key.version == record.version;
        let record = self.with_shared_names(record.clone(), pool);
        let worked = self.find(record.name.as_str());
        let servers = &mut self.servers;
        let held = match self.pools.entry_mut(&record.name) {
            Some(PoolServer::Working(id)) => &mut servers[*id].record,
            Some(PoolServer::Dormant(dormant)) => &mut dormant.record,
            None => return false,
        };
        if held.born != record.born || !is_same_pool {
            self.remove_server(now, record.name.as_str());
            if let Some(id) = worked {
                self.servers[id].replace();
            }
            return false;
        }
        let record = record.leaving_as(held.phase);
        let is_other_phase = held.phase != record.phase;
        if let Some(id) = worked {
            self.servers[id].update(now, record);
        } else if let Some(PoolServer::Dormant(dormant)) = self.pools.entry_mut(&record.name) {
            dormant.update(now, record);
        }
        if is_other_phase {
            self.settle(pool);
        }
        true
    }

    /// An entry whose service and data centre are the names that the others have, so that
    /// ten thousand entries do not hold as many copies of them.
    fn with_shared_names(&self, record: ServerRecord, pool: PoolId) -> ServerRecord {
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

    /// Begins to work with a server.
    fn wake(&mut self, pool: PoolId, place: &PoolPosition) {
        let held = self.pools.get_mut(pool).servers.get_mut(place);
        let Some(PoolServer::Dormant(dormant)) = held else {
            return;
        };
        let DormantServer { record, seen } = (**dormant).clone();
        let region = self.pools.get(pool).key.region.clone();
        let cold_rate = self.pools.get(pool).cold_rate;
        let (name, born) = (record.name.clone(), record.born);
        let chilled = self.chilled.get(&record.center).copied();
        let mut state = ServerState::new(seen, record, region, cold_rate);
        if let Some(until) = chilled {
            state.chill(seen, until - seen);
        }
        let worked = self.latest.get(&name).and_then(|latest| latest.worked);
        match worked {
            Some(former) if self.servers[former].record.born == born => {
                state.inherit_signals(&self.servers[former]);
            }
            Some(former) => state.apply_ambiguous(seen, &self.ambiguous_signals(former, born)),
            None => {}
        }
        let id = self.servers.push(state);
        let servers = &mut self.pools.get_mut(pool).servers;
        servers.insert(place.clone(), PoolServer::Working(id));
        if let Some(latest) = self.latest.get_mut(&name) {
            latest.worked = Some(id);
        }
        self.by_tag.insert(self.servers[id].tag(), id);
        self.by_life.insert(self.servers[id].instance_hash(), id);
        self.by_name.insert(name, id);
    }

    /// Works out with which servers of a pool this VM works, after a change at a place.
    fn settle_at(&mut self, pool: PoolId, place: &PoolPosition) {
        if self.pools.get(pool).is_within(place) {
            self.settle(pool);
        }
    }

    /// Works out with which servers of a pool this VM works.
    fn settle(&mut self, pool: PoolId) {
        let mut ready = 0;
        let mut last = None;
        let mut woken = Vec::new();
        let held = self.pools.get(pool);
        for (place, server) in &held.servers {
            if ready >= held.working {
                break;
            }
            let takes_work = match server {
                PoolServer::Working(id) => self.may_work(*id),
                PoolServer::Dormant(dormant) => {
                    woken.push(place.clone());
                    dormant.takes_work() && !self.is_evacuated(&dormant.record.center)
                }
            };
            ready += usize::from(takes_work);
            last = Some(place.clone());
        }
        let is_all = ready < held.working;
        self.pools.get_mut(pool).last = last.filter(|_| !is_all);
        for place in &woken {
            self.wake(pool, place);
        }
        let service = self.pools.get(pool).key.service.clone();
        self.list_working(&service);
    }

    /// Lists the servers of a service that this VM works with.
    fn list_working(&mut self, service: &ServiceName) {
        let mut listed = Vec::new();
        for pool in self.pools.of_service(service) {
            for (place, server) in &pool.servers {
                if !pool.is_within(place) {
                    break;
                }
                if let PoolServer::Working(id) = server {
                    listed.push(*id);
                }
            }
        }
        self.by_service.insert(service.clone(), listed);
    }

    /// Works with more servers where those that are worked with are busy, and with fewer
    /// where they have next to nothing to do.
    pub fn resize_pools(&mut self) {
        for pool in self.pools.ids() {
            let held = self.pools.get(pool);
            if held.key.region != self.place.region || held.servers.len() <= LEAST_WORKING {
                continue;
            }
            let working = held.servers.iter().take_while(|(p, _)| held.is_within(p));
            let (mut requests, mut slots) = (0.0, 0.0);
            for (_, server) in working {
                if let PoolServer::Working(id) = server {
                    requests += f64::from(self.servers[*id].work().requests);
                    slots += f64::from(self.servers[*id].record.slots);
                }
            }
            if slots > 0.0 && self.pools.get_mut(pool).resize(requests / slots) {
                self.settle(pool);
            }
        }
    }

    /// The id under which the life of a server is known now: another one where its entry
    /// had lapsed since.
    pub(crate) fn same_instance(&self, id: ServerId) -> ServerId {
        let record = &self.server(id).record;
        let latest = self.latest.get(&record.name);
        let worked = latest.and_then(|latest| latest.worked);
        worked
            .filter(|worked| self.server(*worked).record.born == record.born)
            .unwrap_or(id)
    }

    fn note_latest(&mut self, record: &ServerRecord) {
        if self.latest.len() >= self.most_births {
            let pools = &self.pools;
            self.latest.retain(|name, _| pools.has(name.as_str()));
            // Where more servers live than that, a look for each new one would be a look
            // at all.
            self.most_births = MOST_BIRTHS.max(self.latest.len() * 2);
        }
        let latest = self.latest.entry(record.name.clone());
        let born = record.born;
        let latest = latest.or_insert(LatestLife { born, worked: None });
        latest.born = born;
    }

    /// Notes that a server's entry is gone, or that another life answered. One that did
    /// not say that it leaves has crashed, as far as anybody can tell.
    pub fn remove_server(&mut self, now: Moment, name: &str) {
        let Some((pool, place, server)) = self.pools.remove(name) else {
            return;
        };
        if let PoolServer::Working(id) = server {
            self.by_name.remove(name);
            self.by_tag.remove(&self.servers[id].tag());
            self.by_life.remove(&self.servers[id].instance_hash());
            if self.servers[id].takes_work() {
                self.note_crash(now, id);
            }
            self.servers[id].end_life(now);
        }
        self.settle_at(pool, &place);
    }

    fn settle_all(&mut self) {
        for pool in self.pools.ids() {
            self.settle(pool);
        }
    }

    /// Notes that a data centre is being evacuated.
    pub fn evacuate(&mut self, center: CenterName) {
        self.evacuated.insert(center);
        self.settle_all();
    }

    /// Notes that a data centre is taken back; its servers may be cold.
    pub fn end_evacuation(&mut self, now: Moment, center: &CenterName, table: Option<&RouteTable>) {
        if !self.evacuated.remove(center) {
            return;
        }
        let cold_for = |service: &ServiceName| {
            let service = table.and_then(|table| table.service(service));
            service.map_or(Duration::ZERO, |service| service.cold_for)
        };
        for id in self.by_service.values().flatten() {
            let server = &mut self.servers[*id];
            if server.record.center == *center {
                let left = cold_for(&server.record.service);
                server.chill(now, left);
            }
        }
        let services = table.into_iter().flat_map(RouteTable::services);
        let longest = services.map(|service| service.cold_for).max();
        let until = now + longest.unwrap_or_default();
        self.chilled.insert(center.clone(), until);
        self.settle_all();
    }
}
