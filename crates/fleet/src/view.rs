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
use crate::call::CallNeeds;
use crate::flow::FlowMeter;
use crate::learn::ServiceCosts;
use crate::life::ServerBirth;
use crate::record::ServerRecord;
use crate::route::RouteTable;
use crate::server::ServerState;
use crate::switches::{DecisionSwitch, DecisionSwitches};

/// Delay that is accepted for 1,000 tokens of a shared part that need not be read again,
/// where the settings name none. Short shared parts are held to their server by it: on a
/// day with a loss of power 15.1 M tokens of shared parts were read again without, 11.2 M
/// with it, and worth was 0.692 and 0.708; on three days with a rush 0.589 and 0.592.
pub const REREAD_PRICE: Duration = Duration::from_millis(200);
/// Requests for each slot of a plain service's server up to which it gets more, beside
/// those that have ended since they were told. With 2 and nothing beside, a hundred VMs
/// took a busy server for full until they knew better and all sent to the other one: 21
/// of 100 requests took three times their own time, where now 3 do (test `herd`).
const PLAIN_TURNS: f64 = 3.0;
/// Time in which requests that were drawn fade to a third: a VM of hundreds sends a
/// service two to five requests a second.
const DRAWN_FADE: Duration = Duration::from_secs(3);

/// Births that are kept, those of servers that are gone included: 100 bytes each, and
/// twice the servers of the largest plan before the gone ones are dropped.
const MOST_BIRTHS: usize = 24_000;

/// Where this VM stands.
#[derive(Clone, Debug)]
pub struct VmPlace {
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
    born: ServerBirth,
    id: ServerId,
}

/// The fleet.
#[derive(Clone, Debug)]
pub struct FleetView {
    place: VmPlace,
    servers: EntityMap<ServerId, ServerState>,
    by_name: HashMap<ServerName, ServerId>,
    /// The same by the tag of its life, which messages between VMs carry.
    by_tag: HashMap<u32, ServerId>,
    /// The same by the whole hash, which tells lives apart among tens of thousands.
    by_life: HashMap<u64, ServerId>,
    by_service: BTreeMap<ServiceName, Vec<ServerId>>,
    /// Unix time of the moment zero, by which births become moments.
    unix_start: Duration,
    /// The latest life that was seen under each name, also of servers that are gone.
    latest: HashMap<ServerName, LatestLife>,
    evacuated: BTreeSet<CenterName>,
    region_vms: Vec<VmName>,
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
    reread_price: Duration,
    /// Which versions of services may have requests, where two have servers.
    pub(crate) version_rules: BTreeMap<ServiceName, VersionRule>,
}

impl FleetView {
    /// A view that knows no server.
    pub fn new(place: VmPlace) -> Self {
        Self {
            place,
            servers: EntityMap::new(),
            by_name: HashMap::new(),
            by_tag: HashMap::new(),
            by_life: HashMap::new(),
            by_service: BTreeMap::new(),
            unix_start: Duration::ZERO,
            latest: HashMap::new(),
            evacuated: BTreeSet::new(),
            region_vms: Vec::new(),
            switches: DecisionSwitches::default(),
            costs: BTreeMap::new(),
            crashes: CrashTable::new(),
            prior: ServiceCosts::default(),
            turn: 0,
            knowledge_age: Duration::ZERO,
            drawn: BTreeMap::new(),
            rates: RateTable::new(),
            reread_price: REREAD_PRICE,
            version_rules: BTreeMap::new(),
        }
    }

    /// Sets the Unix time of the moment zero.
    pub fn set_unix_start(&mut self, start: Duration) {
        self.unix_start = start;
    }

    /// The moment of a birth by this VM's clock; zero for those before it.
    pub(crate) fn moment_of(&self, born: ServerBirth) -> Moment {
        let born = Duration::from_millis(born.millis());
        Moment::from_duration(born.saturating_sub(self.unix_start))
    }

    /// Where this VM stands.
    pub fn place(&self) -> &VmPlace {
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
    pub fn set_reread_price(&mut self, delay: Duration) {
        self.reread_price = delay;
    }

    pub(crate) fn reread_price(&self) -> Duration {
        self.reread_price
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
    pub fn find_life(&self, hash: u64) -> Option<ServerId> {
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
    pub fn free_servers(&self, now: Moment, needs: &CallNeeds) -> impl Iterator<Item = ServerId> {
        self.near_servers(&needs.service).filter(move |id| {
            let server = self.server(*id);
            self.is_trusted(now, *id) && !server.is_cold(now) && self.has_room(*id, needs)
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
    pub(crate) fn has_room(&self, id: ServerId, needs: &CallNeeds) -> bool {
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
        if let Some(id) = self.find(record.name.as_str()) {
            if self.servers[id].record.born == record.born {
                self.servers[id].update(now, record);
                return;
            }
            self.remove_server(now, record.name.as_str());
            self.servers[id].replace();
        }
        let service = table.and_then(|table| table.service(&record.service));
        let cold_rate = service.map_or(0.0, |service| service.cold_rate);
        let (name, service, born) = (record.name.clone(), record.service.clone(), record.born);
        let mut state = ServerState::new(now, record, region, cold_rate);
        match latest {
            Some(latest) if latest.born == born => state.inherit_word(&self.servers[latest.id]),
            Some(latest) => state.take_doubtful(now, &self.doubtful_words(latest.id, born)),
            None => {}
        }
        let id = self.servers.push(state);
        self.note_latest(name.clone(), LatestLife { born, id });
        self.by_tag.insert(self.servers[id].tag(), id);
        self.by_life.insert(self.servers[id].life_hash(), id);
        self.by_name.insert(name, id);
        self.by_service.entry(service).or_default().push(id);
    }

    /// The id under which the life of a server is known now: another one where its entry
    /// had lapsed since.
    pub(crate) fn same_life(&self, id: ServerId) -> ServerId {
        let record = &self.server(id).record;
        let latest = self.latest.get(&record.name);
        let same = latest.filter(|latest| latest.born == record.born);
        same.map_or(id, |latest| latest.id)
    }

    fn note_latest(&mut self, name: ServerName, latest: LatestLife) {
        if self.latest.len() >= MOST_BIRTHS {
            let by_name = &self.by_name;
            self.latest.retain(|name, _| by_name.contains_key(name));
        }
        self.latest.insert(name, latest);
    }

    /// Notes that a server's entry is gone, or that another life answered. One that did
    /// not say that it leaves has crashed, as far as anybody can tell.
    pub fn remove_server(&mut self, now: Moment, name: &str) {
        let Some(id) = self.by_name.remove(name) else {
            return;
        };
        self.by_tag.remove(&self.servers[id].tag());
        self.by_life.remove(&self.servers[id].life_hash());
        if self.servers[id].takes_work() {
            self.note_crash(now, id);
        }
        self.servers[id].end_life();
        for ids in self.by_service.values_mut() {
            ids.retain(|other| *other != id);
        }
    }

    /// Notes that a data centre is being evacuated.
    pub fn evacuate(&mut self, center: CenterName) {
        self.evacuated.insert(center);
    }

    /// Notes that a data centre is taken back; its servers may be cold.
    pub fn take_back(&mut self, now: Moment, center: &CenterName, table: Option<&RouteTable>) {
        if !self.evacuated.remove(center) {
            return;
        }
        for ids in self.by_service.values() {
            for id in ids {
                let server = &mut self.servers[*id];
                if server.record.center == *center {
                    let service = table.and_then(|table| table.service(&server.record.service));
                    let cold_for = service.map_or(Duration::ZERO, |service| service.cold_for);
                    server.chill(now, cold_for);
                }
            }
        }
    }
}
