//! Classes of requests to model services, the work that callers ask for, and the plan that
//! divides the capacity of all regions between the classes.
//!
//! This module takes no part of the gateway, so that its decisions run in a test without a
//! network. Invariants: only model services whose requests differ in importance are planned;
//! without a recent report of another region there is no plan, and each request is decided
//! by itself.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use onyxfall_capacity::{
    ClassDemand, ClassStanding, ClassTag, Importance, LoadLedger, PlanRules, PlanShare, RegionMask,
    ServiceDemand, ServicePlan, WorkRate,
};
use onyxfall_fleet::{BacklogLimits, HomeRegions, RouteTable};
use onyxfall_policy::Moment;
use onyxfall_types::{RegionName, ServiceName, name_tag};

/// Highest team rank that is told apart, so that a service has few classes.
const MAX_TEAM_RANK: u8 = 2;
/// Highest kind rank that is told apart, so that ranks of kinds and teams fit the urgency
/// levels of servers.
const MAX_KIND_RANK: u8 = 2;

/// A class of requests to one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RequestClass {
    pub(crate) service: ServiceName,
    pub(crate) importance: Importance,
    /// Regions that may serve the class.
    pub(crate) homes: RegionMask,
    pub(crate) tag: ClassTag,
}

/// Importance of a request from the priorities of its route and its team.
pub(crate) fn importance(route: u8, team: Option<u8>) -> Importance {
    Importance {
        kind: route.min(MAX_KIND_RANK),
        team: team.unwrap_or(0).min(MAX_TEAM_RANK),
    }
}

/// Order of admission in a model server that follows the importance.
pub(crate) fn urgency(importance: Importance) -> u8 {
    importance.kind * (MAX_TEAM_RANK + 1) + importance.team
}

/// Capacity of a service in another region, as that region has reported it.
#[derive(Clone, Copy, Debug)]
struct ReportedCapacity {
    sent: Moment,
    rate: WorkRate,
}

/// Plan of one service, with the classes in the order of the plan.
#[derive(Clone, Debug)]
pub(crate) struct PlannedService {
    pub(crate) classes: Vec<RequestClass>,
    pub(crate) demand: ServiceDemand,
    pub(crate) plan: ServicePlan,
    pub(crate) computed_at: Moment,
}

/// Capacity of model services as this VM knows it.
#[derive(Clone, Debug)]
pub(crate) struct CapacityState {
    /// All regions, sorted, so that every VM numbers them alike.
    regions: Vec<RegionName>,
    own_region: usize,
    limits: BacklogLimits,
    classes: Vec<RequestClass>,
    ledger: LoadLedger,
    /// Reported capacity by region and service tag.
    reported: BTreeMap<(usize, u32), ReportedCapacity>,
    plans: BTreeMap<ServiceName, PlannedService>,
}

impl CapacityState {
    /// Creates a state without classes for a VM in `own`.
    pub(crate) fn new(regions: impl IntoIterator<Item = RegionName>, own: &RegionName) -> Self {
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
        }
    }

    /// Applies the routes and teams of a configuration.
    pub(crate) fn set_table(&mut self, table: &RouteTable) {
        self.limits = BacklogLimits::new(table);
        let mut teams: Vec<(Option<u8>, HomeRegions)> = Vec::new();
        for (_, rule) in table.teams().into_iter().flat_map(|teams| teams.iter()) {
            let team = (rule.priority, rule.homes.clone());
            if !teams.contains(&team) {
                teams.push(team);
            }
        }
        if teams.is_empty() {
            teams.push((None, HomeRegions::Any));
        }
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
        self.ledger.set_classes(classes.keys().copied());
        self.classes = classes.into_values().collect();
        self.classes.sort_by(|a, b| {
            let key = |class: &RequestClass| (class.importance, class.tag);
            key(a).cmp(&key(b))
        });
        self.plans.clear();
    }

    /// Backlog limit of a kind of requests to a service.
    pub(crate) fn backlog_limit(&self, service: &ServiceName, route: u8) -> Option<Duration> {
        self.limits.of(service, route)
    }

    /// The class of a request; `None` if its service is not planned.
    pub(crate) fn class(
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
                let index = |name| self.regions.iter().position(|region| region == name);
                names.iter().filter_map(index).collect()
            }
        }
    }

    pub(crate) fn ledger(&self) -> &LoadLedger {
        &self.ledger
    }

    pub(crate) fn ledger_mut(&mut self) -> &mut LoadLedger {
        &mut self.ledger
    }

    pub(crate) fn region_index(&self, region: &RegionName) -> Option<usize> {
        self.regions.iter().position(|name| name == region)
    }

    /// Records the capacity of a service that another region has reported.
    pub(crate) fn receive_capacity(
        &mut self,
        sent: Moment,
        region: usize,
        service_tag: u32,
        rate: WorkRate,
    ) {
        let reported = ReportedCapacity { sent, rate };
        let last = self
            .reported
            .entry((region, service_tag))
            .or_insert(reported);
        if last.sent <= sent {
            *last = reported;
        }
    }

    /// Capacity of a service that another region has reported, to forward it.
    pub(crate) fn reported_capacity(&self, region: usize, service_tag: u32) -> WorkRate {
        let reported = self.reported.get(&(region, service_tag));
        reported.map_or(WorkRate::ZERO, |reported| reported.rate)
    }

    /// The services that are planned.
    pub(crate) fn services(&self) -> BTreeSet<ServiceName> {
        self.classes
            .iter()
            .map(|class| class.service.clone())
            .collect()
    }

    /// Computes the plan of a service whose capacity in this region is `own_capacity`. There is
    /// none if no other region has reported recently.
    pub(crate) fn refresh(
        &mut self,
        now: Moment,
        service: &ServiceName,
        own_capacity: WorkRate,
        rules: &PlanRules,
    ) {
        let is_current = |region: usize| self.ledger.is_current(now, region);
        let others = (0..self.regions.len()).filter(|region| *region != self.own_region);
        if !others.clone().any(is_current) && others.count() > 0 {
            self.plans.remove(service);
            return;
        }
        let tag = name_tag(service.as_str());
        let capacity = |region: usize| {
            if region == self.own_region {
                own_capacity
            } else if is_current(region) {
                self.reported_capacity(region, tag)
            } else {
                WorkRate::ZERO
            }
        };
        let regions = 0..self.regions.len();
        let classes = self
            .classes
            .iter()
            .filter(|class| class.service == *service);
        let classes: Vec<RequestClass> = classes.cloned().collect();
        let demand = ServiceDemand {
            capacity: regions.clone().map(capacity).collect(),
            classes: classes
                .iter()
                .map(|class| ClassDemand {
                    importance: class.importance,
                    homes: class.homes,
                    offered: regions
                        .clone()
                        .map(|region| self.ledger.offered(now, class.tag, region))
                        .collect(),
                })
                .collect(),
        };
        let plan = ServicePlan::compute(&demand, rules);
        let planned = PlannedService {
            classes,
            demand,
            plan,
            computed_at: now,
        };
        self.plans.insert(service.clone(), planned);
    }

    /// All plans, for operators.
    pub(crate) fn plans(&self) -> &BTreeMap<ServiceName, PlannedService> {
        &self.plans
    }

    pub(crate) fn regions(&self) -> &[RegionName] {
        &self.regions
    }

    fn planned(&self, service: &ServiceName, class: ClassTag) -> Option<(&PlannedService, usize)> {
        let planned = self.plans.get(service)?;
        let index = planned.classes.iter().position(|it| it.tag == class)?;
        Some((planned, index))
    }

    /// Share of a class from callers of this region.
    pub(crate) fn share(&self, service: &ServiceName, class: ClassTag) -> Option<&PlanShare> {
        let (planned, index) = self.planned(service, class)?;
        Some(planned.plan.share(index, self.own_region))
    }

    /// Standing of a class from callers of this region.
    pub(crate) fn standing(&self, service: &ServiceName, class: ClassTag) -> Option<ClassStanding> {
        let (planned, index) = self.planned(service, class)?;
        Some(planned.plan.standing(index, self.own_region))
    }

    /// Region in which the plan serves a request of a class. `point`, from 0 to 1, is uniform
    /// over requests and the same for requests with the same shared prefix, so that a prefix
    /// is prefilled in few regions. `None` if there is no plan or the region is this VM's own.
    pub(crate) fn planned_region(
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
