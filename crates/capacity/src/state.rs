//! Classes of requests to model services, the work that callers ask for, and the plan that
//! divides the capacity of all regions between the classes.
//!
//! Invariants: only model services whose requests differ in importance are planned;
//! without a recent report of another region there is no plan, and each request is decided
//! by itself.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::{
    ClassDemand, ClassStanding, ClassTag, Importance, LoadLedger, PlanRules, PlanShare, RegionMask,
    ServiceDemand, ServicePlan, WorkRate,
};
use onyxfall_fleet::{BacklogLimits, HomeRegions, RouteTable, TeamTable};
use onyxfall_policy::Moment;
use onyxfall_types::{RegionName, ServiceName, name_tag};

/// Highest team rank that is distinguished, so that a service has few classes.
const MAX_TEAM_RANK: u8 = 2;
/// Highest kind rank that has an urgency of its own at servers, so that ranks of kinds and teams
/// fit their urgency levels.
const MAX_KIND_RANK: u8 = 2;
/// Share of the time that callers of a class usually allow, below which a request counts as a
/// retry: its caller has already waited. Retries are no new demand.
const NEW_REQUEST_SHARE: f64 = 0.9;
/// Step by which a request moves the time that callers usually allow: 14 requests halve it, so
/// that one caller that allows more than the others soon no longer decides what a retry is.
const USUAL_STEP: f64 = 0.05;
/// Time in which the highest throughput of a server that was seen decays to 1/e: long enough to
/// keep it through a quiet time between two bursts.
const THROUGHPUT_DECAY: Duration = Duration::from_secs(30);

/// Time after a loss of servers for which their work dominates the measured work, as the work that
/// has waited does after a silence of all servers: four times the decay of the ledger's meters.
const LOST_WORK_FADE: Duration = Duration::from_secs(4);

/// A class of requests to one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestClass {
    /// Service that the requests are for.
    pub service: ServiceName,
    /// Importance of the requests.
    pub importance: Importance,
    /// Regions that may serve the class.
    pub homes: RegionMask,
    /// Name of the class in messages between VMs.
    pub tag: ClassTag,
}

/// Importance of a request from the priorities of its route and its team.
///
/// ```
/// use onyxfall_capacity::{importance, urgency};
/// assert!(urgency(importance(0, Some(1))) < urgency(importance(1, None)));
/// ```
pub fn importance(route: u8, team: Option<u8>) -> Importance {
    Importance {
        kind: route,
        team: team.unwrap_or(0).min(MAX_TEAM_RANK),
    }
}

/// Order of admission in a model server that follows the importance.
pub fn urgency(importance: Importance) -> u8 {
    importance.kind.min(MAX_KIND_RANK) * (MAX_TEAM_RANK + 1) + importance.team
}

/// Highest throughput of a service's servers, in seconds of estimated work per second and
/// server. Estimates of work ignore which prefixes are cached, so a busy server does more than
/// a second of estimated work in a second; without this measure a plan refuses what servers
/// could do.
#[derive(Clone, Copy, Debug)]
struct ServerThroughput {
    highest: f64,
    at: Moment,
    /// Number of usable servers at the last measurement.
    servers: usize,
    /// When servers were last lost. What they did counts as done for a while.
    lost_at: Option<Moment>,
    /// When a silence of all servers last ended. What waited for it is done at once.
    silence_end: Option<Moment>,
}

impl ServerThroughput {
    fn new(now: Moment) -> Self {
        Self {
            highest: 1.0,
            at: now,
            servers: 0,
            lost_at: None,
            silence_end: None,
        }
    }

    fn record(&mut self, now: Moment, done: WorkRate, servers: usize) {
        let age = (now - self.at).as_secs_f64() / THROUGHPUT_DECAY.as_secs_f64();
        let decayed = 1.0 + (self.highest - 1.0) * (-age).exp();
        if servers < self.servers {
            self.lost_at = Some(now);
        }
        self.servers = servers;
        let disturbed_at = self.lost_at.max(self.silence_end);
        let is_mixed = disturbed_at.is_some_and(|at| now - at < LOST_WORK_FADE);
        let seen = done.per_second() / servers.max(1) as f64;
        self.highest = if is_mixed { decayed } else { decayed.max(seen) };
        self.at = now;
    }
}

/// Time that callers of a class usually allow for a request: a running estimate of the median.
#[derive(Clone, Copy, Debug)]
struct UsualWait(Duration);

impl UsualWait {
    /// Records a request. Returns whether it is new, rather than a retry.
    fn record(&mut self, time_left: Duration) -> bool {
        let step = if time_left > self.0 {
            1.0 + USUAL_STEP
        } else {
            1.0 - USUAL_STEP
        };
        self.0 = self.0.mul_f64(step);
        time_left >= self.0.mul_f64(NEW_REQUEST_SHARE)
    }
}

/// Rank and homes of the teams of a configuration, each combination once. Without teams, all
/// requests count as those of one team without rank and bounds.
fn team_kinds(table: &RouteTable) -> Vec<(Option<u8>, HomeRegions)> {
    let mut kinds = Vec::new();
    for (_, rule) in table.teams().into_iter().flat_map(TeamTable::iter) {
        let kind = (rule.priority, rule.homes.clone());
        if !kinds.contains(&kind) {
            kinds.push(kind);
        }
    }
    if kinds.is_empty() {
        kinds.push((None, HomeRegions::Any));
    }
    kinds
}

/// Tag of the work that servers of a service in a region have done. It is exchanged like the
/// demand of a class, under an importance that no class has.
fn done_tag(service: &ServiceName) -> ClassTag {
    let none = Importance {
        kind: u8::MAX,
        team: u8::MAX,
    };
    ClassTag::of(service, none, RegionMask::EMPTY)
}

/// Capacity of a service in another region, as that region has reported it.
#[derive(Clone, Copy, Debug)]
struct ReportedCapacity {
    sent: Moment,
    rate: WorkRate,
}

/// Plan of one service, with the classes in the order of the plan.
#[derive(Clone, Debug)]
pub struct PlannedService {
    /// Classes of the service.
    pub classes: Vec<RequestClass>,
    /// Work that the plan divides the capacity for.
    pub demand: ServiceDemand,
    /// Division of the capacity.
    pub plan: ServicePlan,
    /// When the plan was computed.
    pub computed_at: Moment,
}

/// Capacity of model services as this VM knows it.
#[derive(Clone, Debug)]
pub struct CapacityState {
    /// All regions, sorted, so that every VM numbers them alike.
    regions: Vec<RegionName>,
    own_region: usize,
    limits: BacklogLimits,
    classes: Vec<RequestClass>,
    ledger: LoadLedger,
    /// Capacity that other regions have reported, by region and service tag.
    reported: BTreeMap<(usize, u32), ReportedCapacity>,
    plans: BTreeMap<ServiceName, PlannedService>,
    /// Time that callers of a class usually allow for a request.
    usual_waits: BTreeMap<ClassTag, UsualWait>,
    throughput: BTreeMap<ServiceName, ServerThroughput>,
    /// Capacity of this region as of the last plan.
    own_capacity: BTreeMap<ServiceName, WorkRate>,
}

impl CapacityState {
    /// Creates a state without classes for a VM in `own`.
    pub fn new(regions: impl IntoIterator<Item = RegionName>, own: &RegionName) -> Self {
        let sorted: BTreeSet<RegionName> = regions.into_iter().collect();
        let regions: Vec<RegionName> = sorted.into_iter().collect();
        let own_region = regions.iter().position(|name| name == own).unwrap_or(0);
        Self {
            ledger: LoadLedger::new(own_region),
            own_region,
            regions,
            limits: BacklogLimits::default(),
            classes: Vec::new(),
            reported: BTreeMap::new(),
            plans: BTreeMap::new(),
            usual_waits: BTreeMap::new(),
            throughput: BTreeMap::new(),
            own_capacity: BTreeMap::new(),
        }
    }

    /// Applies the routes and teams of a configuration.
    pub fn set_table(&mut self, table: &RouteTable) {
        self.limits = BacklogLimits::new(table);
        let teams = team_kinds(table);
        let mut classes: BTreeMap<ClassTag, RequestClass> = BTreeMap::new();
        for route in table.routes() {
            let planned = route.targets.iter().map(|target| &target.service);
            let planned =
                planned.filter(|service| self.limits.of(service, route.priority).is_some());
            for service in planned {
                for (priority, homes) in &teams {
                    let importance = importance(route.priority, *priority);
                    let homes = self.mask(&route.homes.and(homes));
                    let tag = ClassTag::of(service, importance, homes);
                    let service = service.clone();
                    let class = RequestClass {
                        service,
                        importance,
                        homes,
                        tag,
                    };
                    classes.insert(tag, class);
                }
            }
        }
        let services: BTreeSet<&ServiceName> =
            classes.values().map(|class| &class.service).collect();
        let done = services.into_iter().map(done_tag);
        self.ledger.set_classes(classes.keys().copied().chain(done));
        self.usual_waits
            .retain(|class, _| classes.contains_key(class));
        let is_planned = |service: &ServiceName| {
            let mut planned = classes.values();
            planned.any(|class| class.service == *service)
        };
        self.throughput.retain(|service, _| is_planned(service));
        self.own_capacity.retain(|service, _| is_planned(service));
        self.reported.clear();
        self.classes = classes.into_values().collect();
        self.classes.sort_by(|a, b| {
            let key = |class: &RequestClass| (class.importance, class.tag);
            key(a).cmp(&key(b))
        });
        self.plans.clear();
    }

    /// Backlog limit of a kind of requests to a service.
    pub fn backlog_limit(&self, service: &ServiceName, route: u8) -> Option<Duration> {
        self.limits.of(service, route)
    }

    /// Backlog limit of a class.
    pub fn class_limit(&self, class: &RequestClass) -> Option<Duration> {
        self.limits.of(&class.service, class.importance.kind)
    }

    /// Names of the regions in a set; empty if every region is.
    pub fn names_of(&self, mask: RegionMask) -> Vec<RegionName> {
        if mask == RegionMask::ALL {
            return Vec::new();
        }
        let named = self.regions.iter().enumerate();
        let named = named.filter(|(index, _)| mask.contains(*index));
        named.map(|(_, name)| name.clone()).collect()
    }

    /// The class of a request; `None` if its service is not planned.
    pub fn class(
        &self,
        service: &ServiceName,
        importance: Importance,
        homes: &HomeRegions,
    ) -> Option<ClassTag> {
        let mask = self.mask(homes);
        let found = self.classes.iter().find(|class| {
            class.importance == importance && class.homes == mask && class.service == *service
        });
        found.map(|class| class.tag)
    }

    fn mask(&self, homes: &HomeRegions) -> RegionMask {
        match homes {
            HomeRegions::Any => RegionMask::ALL,
            HomeRegions::Only(names) => {
                let known = names.iter().filter_map(|name| self.region_index(name));
                known.collect()
            }
        }
    }

    /// Work by class and region.
    pub fn ledger(&self) -> &LoadLedger {
        &self.ledger
    }

    /// Work by class and region, to be updated.
    pub fn ledger_mut(&mut self) -> &mut LoadLedger {
        &mut self.ledger
    }

    /// Number of a region, the same on every VM; `None` if it is unknown.
    ///
    /// ```
    /// use onyxfall_capacity::CapacityState;
    /// let regions = ["south", "north"].map(|name| name.parse().unwrap());
    /// let state = CapacityState::new(regions.clone(), &regions[0]);
    /// assert_eq!(state.region_index(&regions[0]), Some(1));
    /// ```
    pub fn region_index(&self, region: &RegionName) -> Option<usize> {
        self.regions.iter().position(|name| name == region)
    }

    /// Records the work of a caller's request, unless the request is a retry.
    pub fn record_offered(
        &mut self,
        now: Moment,
        class: ClassTag,
        time_left: Duration,
        work: Duration,
    ) {
        let usual = self.usual_waits.entry(class);
        if usual.or_insert(UsualWait(time_left)).record(time_left) {
            self.ledger.record(now, class, work);
        }
    }

    /// Records work that a server of this region has done.
    pub fn record_done(&mut self, now: Moment, service: &ServiceName, work: Duration) {
        if self.classes.iter().any(|class| class.service == *service) {
            self.ledger.record(now, done_tag(service), work);
        }
    }

    /// Records when a silence of all servers of a service last ended.
    pub fn record_silence(&mut self, service: &ServiceName, ended_at: Moment) {
        if let Some(throughput) = self.throughput.get_mut(service) {
            throughput.silence_end = Some(ended_at);
        }
    }

    /// Capacity of a service in this region.
    pub fn own_capacity(&self, service: &ServiceName) -> WorkRate {
        self.own_capacity.get(service).copied().unwrap_or_default()
    }

    /// Records the capacity of a service that another region has reported.
    pub fn receive_capacity(
        &mut self,
        sent: Moment,
        region: usize,
        service_tag: u32,
        rate: WorkRate,
    ) {
        let tag_of = |class: &RequestClass| name_tag(class.service.as_str());
        if !self
            .classes
            .iter()
            .any(|class| tag_of(class) == service_tag)
        {
            return;
        }
        let reported = ReportedCapacity { sent, rate };
        let last = self
            .reported
            .entry((region, service_tag))
            .or_insert(reported);
        if last.sent <= sent {
            *last = reported;
        }
    }

    /// Capacity of a service in a region; zero if the region's last report is out of date.
    fn capacity_in(&self, now: Moment, region: usize, service: &ServiceName) -> WorkRate {
        if region == self.own_region {
            return self.own_capacity(service);
        }
        if !self.ledger.is_current(now, region) {
            return WorkRate::ZERO;
        }
        let reported = self.reported.get(&(region, name_tag(service.as_str())));
        reported.map_or(WorkRate::ZERO, |reported| reported.rate)
    }

    /// The services that are planned.
    pub fn services(&self) -> BTreeSet<ServiceName> {
        self.classes
            .iter()
            .map(|class| class.service.clone())
            .collect()
    }

    /// Computes the plan of a service that has `servers` usable servers in this region. There
    /// is none if no other region has reported recently.
    pub fn refresh(
        &mut self,
        now: Moment,
        service: &ServiceName,
        servers: usize,
        rules: &PlanRules,
    ) {
        self.measure_capacity(now, service, servers);
        if !self.receives_reports(now) {
            self.plans.remove(service);
            return;
        }
        let classes = self.classes.iter();
        let classes = classes.filter(|class| class.service == *service);
        let classes: Vec<RequestClass> = classes.cloned().collect();
        let demand = self.demand(now, service, &classes);
        let plan = ServicePlan::compute(&demand, rules);
        let planned = PlannedService {
            classes,
            demand,
            plan,
            computed_at: now,
        };
        self.plans.insert(service.clone(), planned);
    }

    /// Updates the capacity of a service in this region from the work that its servers do.
    fn measure_capacity(&mut self, now: Moment, service: &ServiceName, servers: usize) {
        let done = self.ledger.offered(now, done_tag(service), self.own_region);
        let throughput = self.throughput.entry(service.clone());
        let throughput = throughput.or_insert(ServerThroughput::new(now));
        throughput.record(now, done, servers);
        let capacity = WorkRate::clamped(throughput.highest * servers as f64);
        self.own_capacity.insert(service.clone(), capacity);
    }

    /// Whether another region has reported recently, or there is no other region.
    fn receives_reports(&self, now: Moment) -> bool {
        let mut others = (0..self.regions.len()).filter(|region| *region != self.own_region);
        self.regions.len() <= 1 || others.any(|region| self.ledger.is_current(now, region))
    }

    /// Capacity of a service and demand of its classes, by region.
    fn demand(
        &self,
        now: Moment,
        service: &ServiceName,
        classes: &[RequestClass],
    ) -> ServiceDemand {
        let regions = 0..self.regions.len();
        let class_demand = |class: &RequestClass| ClassDemand {
            importance: class.importance,
            homes: class.homes,
            offered: regions
                .clone()
                .map(|region| self.ledger.offered(now, class.tag, region))
                .collect(),
        };
        ServiceDemand {
            capacity: regions
                .clone()
                .map(|region| self.capacity_in(now, region, service))
                .collect(),
            classes: classes.iter().map(class_demand).collect(),
        }
    }

    /// All plans, for operators.
    pub fn plans(&self) -> &BTreeMap<ServiceName, PlannedService> {
        &self.plans
    }

    /// All regions, sorted by name.
    pub fn regions(&self) -> &[RegionName] {
        &self.regions
    }

    fn planned(&self, service: &ServiceName, class: ClassTag) -> Option<(&PlannedService, usize)> {
        let planned = self.plans.get(service)?;
        let index = planned.classes.iter().position(|it| it.tag == class)?;
        Some((planned, index))
    }

    /// Share of a class from callers of this region.
    pub fn share(&self, service: &ServiceName, class: ClassTag) -> Option<&PlanShare> {
        let (planned, index) = self.planned(service, class)?;
        Some(planned.plan.share(index, self.own_region))
    }

    /// Name of a class in logs and metrics: its service and importance.
    pub fn class_label(&self, tag: ClassTag) -> Option<String> {
        let class = self.classes.iter().find(|class| class.tag == tag)?;
        Some(format!("{}/{}", class.service, class.importance))
    }

    /// Standing of a class from callers of this region.
    pub fn standing(&self, service: &ServiceName, class: ClassTag) -> Option<ClassStanding> {
        let (planned, index) = self.planned(service, class)?;
        Some(planned.plan.standing(index, self.own_region))
    }

    /// Region in which the plan serves a request of a class. `point`, from 0 to 1, is uniform
    /// over requests and the same for requests with the same shared prefix, so that a prefix
    /// is prefilled in few regions. `None` if there is no plan or the region is this VM's own.
    pub fn planned_region(
        &self,
        service: &ServiceName,
        class: ClassTag,
        point: f64,
    ) -> Option<&RegionName> {
        let share = self.share(service, class)?;
        let total: f64 = share.served.iter().sum();
        let mut left = point * total;
        // The own region takes the first points, so that a growing share sent away moves as
        // few prefixes as possible.
        let own = share.served.get(self.own_region).copied().unwrap_or(0.0);
        if total <= 0.0 || left < own {
            return None;
        }
        left -= own;
        for (region, served) in share.served.iter().enumerate() {
            if region == self.own_region {
                continue;
            }
            if left < *served {
                return self.regions.get(region);
            }
            left -= served;
        }
        None
    }
}

#[cfg(test)]
mod tests;
