//! The plan of a service: what is served of each class, and where.

use crate::class::{MAX_REGIONS, RegionMask};
use crate::demand::ServiceDemand;
use crate::fill::{FillClass, RegionCuts, fill};
use crate::place::{PlaceItem, Placement};
use crate::rules::PlanRules;

/// Demand that is assumed where callers ask for nothing, as a part of the usable capacity, so
/// that the plan says what happens to a first request. 1,000 of these take a ten-thousandth.
const PROBE: f64 = 1e-7;
/// Largest demand of a class and region, as a multiple of the usable capacity. Sums and
/// fractions of it stay exact enough.
const MAX_OFFERED: f64 = 1e6;
/// Largest number of times that amounts are computed. Each time adds the region sets that
/// the placement found to be exceeded; homes of few kinds need one.
const MAX_ROUNDS: usize = 32;
/// A region is full if at most this part of its usable capacity is free, and a class is
/// served if at most this part of it is refused, or refused if at most this part is served.
const NEGLIGIBLE: f64 = 1e-3;

/// How a class of callers in a region is served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClassStanding {
    /// Wholly.
    Served,
    /// In part.
    Partial,
    /// Not at all.
    Refused,
}

/// Where the work of one class and callers' region goes. The shares add up to 1.
#[derive(Clone, Debug, PartialEq)]
pub struct PlanShare {
    /// Share that is served, by serving region.
    pub served: Vec<f64>,
    /// Share that is refused.
    pub refused: f64,
}

/// Allocation of a service's capacity to classes and callers' regions.
///
/// ```
/// use onyxfall_capacity::*;
/// let class = |importance: &str, offered| ClassDemand {
///     importance: importance.parse().unwrap(),
///     homes: RegionMask::ALL,
///     offered: vec![WorkRate::clamped(offered), WorkRate::ZERO],
/// };
/// let demand = ServiceDemand {
///     capacity: vec![WorkRate::clamped(2.0), WorkRate::clamped(1.0)],
///     classes: vec![class("1.0", 2.0), class("0.0", 2.0)],
/// };
/// let rules = PlanRules { floor: 0.0, ..PlanRules::default() };
/// let plan = ServicePlan::compute(&demand, &rules);
/// assert_eq!(plan.standing(1, 0), ClassStanding::Served);
/// assert_eq!(plan.standing(0, 0), ClassStanding::Partial);
/// assert!((plan.share(0, 0).served[1] - 0.5).abs() < 1e-3);
/// assert!(plan.is_full(0));
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct ServicePlan {
    regions: usize,
    /// By class, then callers' region.
    shares: Vec<PlanShare>,
    full: RegionMask,
    /// The share of classes and regions that the demand does not list.
    unlisted: PlanShare,
}

impl ServicePlan {
    /// Computes the plan. The same arguments give the same plan on each VM.
    pub fn compute(demand: &ServiceDemand, rules: &PlanRules) -> Self {
        let offers = demand.classes.iter().map(|class| class.offered.len());
        let regions = offers
            .fold(demand.capacity.len(), usize::max)
            .min(MAX_REGIONS);
        let mut usable = usable_parts(demand, regions, rules);
        let whole: f64 = usable.iter().sum();
        let refused = PlanShare {
            served: vec![0.0; regions],
            refused: 1.0,
        };
        let mut plan = Self {
            regions,
            shares: vec![refused.clone(); demand.classes.len() * regions],
            full: RegionMask::ALL,
            unlisted: refused,
        };
        if whole > 0.0 {
            for part in &mut usable {
                *part /= whole;
            }
            plan.allocate(demand, rules, whole, &usable);
        }
        plan
    }

    /// Allocates `usable`, the parts of the `whole` usable capacity by region.
    fn allocate(&mut self, demand: &ServiceDemand, rules: &PlanRules, whole: f64, usable: &[f64]) {
        let all = RegionMask::first(self.regions);
        let offered = |class: usize, region: usize| {
            let offered = &demand.classes[class].offered;
            let rate = offered.get(region).map_or(0.0, |rate| rate.per_second());
            (rate / whole).clamp(PROBE, MAX_OFFERED)
        };
        let classes: Vec<FillClass> = (demand.classes.iter().enumerate())
            .map(|(index, class)| FillClass {
                importance: class.importance,
                homes: class.homes.and(all),
                offered: (0..self.regions).map(|region| offered(index, region)).sum(),
            })
            .collect();
        let mut order: Vec<usize> = (0..classes.len()).collect();
        order.sort_by_key(|index| classes[*index].importance);
        let steps: Vec<Vec<usize>> = order
            .chunk_by(|a, b| classes[*a].importance == classes[*b].importance)
            .map(<[usize]>::to_vec)
            .collect();

        let mut cuts = RegionCuts::of(&classes, usable);
        for round in 1..=MAX_ROUNDS {
            let served = fill(&classes, &steps, &cuts, rules);
            let items: Vec<PlaceItem> = order
                .iter()
                .flat_map(|index| (0..self.regions).map(move |origin| (*index, origin)))
                .map(|(index, origin)| PlaceItem {
                    homes: classes[index].homes,
                    origin,
                    amount: offered(index, origin) * served[index] / classes[index].offered,
                })
                .collect();
            let placement = Placement::of(&items, usable);
            let mut is_new = false;
            for regions in &placement.exceeded {
                is_new |= cuts.add(*regions, usable);
            }
            if is_new && round < MAX_ROUNDS {
                continue;
            }
            for (item, index) in order.iter().enumerate() {
                for origin in 0..self.regions {
                    let item = item * self.regions + origin;
                    let share = &mut self.shares[index * self.regions + origin];
                    for (region, served) in share.served.iter_mut().enumerate() {
                        *served = placement.amount(item, region) / offered(*index, origin);
                    }
                    share.refused = (1.0 - share.served.iter().sum::<f64>()).clamp(0.0, 1.0);
                }
            }
            self.full = (0..self.regions)
                .filter(|region| placement.free(*region) <= usable[*region] * NEGLIGIBLE)
                .collect();
            break;
        }
    }

    /// Where the work of a class and callers' region goes. Of a class or region that the
    /// demand did not list, all is refused.
    pub fn share(&self, class: usize, region: usize) -> &PlanShare {
        if region >= self.regions {
            return &self.unlisted;
        }
        let share = self.shares.get(class * self.regions + region);
        share.unwrap_or(&self.unlisted)
    }

    /// Whether all usable capacity of a region is allocated.
    pub fn is_full(&self, region: usize) -> bool {
        region >= self.regions || self.full.contains(region)
    }

    /// How a class of callers in a region is served.
    pub fn standing(&self, class: usize, region: usize) -> ClassStanding {
        match self.share(class, region).refused {
            refused if refused <= NEGLIGIBLE => ClassStanding::Served,
            refused if refused >= 1.0 - NEGLIGIBLE => ClassStanding::Refused,
            _ => ClassStanding::Partial,
        }
    }
}

/// Usable capacity by region, in seconds of server time per second.
fn usable_parts(demand: &ServiceDemand, regions: usize, rules: &PlanRules) -> Vec<f64> {
    let capacity = |region| demand.capacity.get(region).copied().unwrap_or_default();
    (0..regions)
        .map(|region| capacity(region).per_second() * rules.utilisation())
        .collect()
}
