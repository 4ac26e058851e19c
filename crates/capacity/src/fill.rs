//! How much of each class is served, without saying where.
//!
//! Work may run anywhere within its homes, so amounts can be placed exactly if, for each set
//! of regions, the classes whose homes lie within the set need no more than its capacity
//! (Hall's condition). Classes are raised by equal fractions until such a set is exhausted;
//! the classes within it then stay as they are. This gives the exact fair fractions where
//! rounds of fixed steps differ by up to a step. Of all sets only unions of homes matter.

use crate::class::{Importance, RegionMask};
use crate::rules::PlanRules;

/// Largest number of region sets that is listed in advance. With few distinct homes, all are;
/// otherwise sets are added as [`crate::place`] finds them.
const MAX_LISTED: usize = 256;
/// Rounding error of sums, as a part of the whole capacity.
pub(crate) const ROUNDING: f64 = 1e-12;

/// A class as seen by the allocation. Rates are parts of the usable capacity of all regions.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FillClass {
    pub(crate) importance: Importance,
    pub(crate) homes: RegionMask,
    /// Over all callers' regions.
    pub(crate) offered: f64,
}

/// A set of regions and what is free in it.
#[derive(Clone, Copy, Debug)]
struct RegionCut {
    regions: RegionMask,
    free: f64,
}

/// The sets of regions whose capacity limits what is served.
#[derive(Clone, Debug)]
pub(crate) struct RegionCuts(Vec<RegionCut>);

impl RegionCuts {
    /// The unions of the homes of `classes`, up to a bound.
    pub(crate) fn of(classes: &[FillClass], usable: &[f64]) -> Self {
        let mut cuts = Self(Vec::new());
        let all = RegionMask::first(usable.len());
        cuts.add(all, usable);
        for class in classes {
            if cuts.add(class.homes, usable) {
                for index in 0..cuts.0.len() {
                    if cuts.0.len() >= MAX_LISTED {
                        break;
                    }
                    cuts.add(cuts.0[index].regions.or(class.homes), usable);
                }
            }
        }
        cuts
    }

    /// Adds a set. Returns whether it is new.
    pub(crate) fn add(&mut self, regions: RegionMask, usable: &[f64]) -> bool {
        if self.0.iter().any(|cut| cut.regions == regions) {
            return false;
        }
        let free = regions
            .regions()
            .filter_map(|index| usable.get(index))
            .sum();
        self.0.push(RegionCut { regions, free });
        true
    }
}

/// Allocation of capacity to classes.
struct ClassFill<'a> {
    classes: &'a [FillClass],
    cuts: Vec<RegionCut>,
    served: Vec<f64>,
}

impl ClassFill<'_> {
    /// Serves `wanted` of each of these classes, or the same fraction of it, with at most
    /// `budget` for all.
    fn raise(&mut self, mut wanted: Vec<(usize, f64)>, mut budget: f64) {
        wanted.retain(|(_, want)| *want > 0.0);
        let mut level = 0.0;
        while level < 1.0 && budget > ROUNDING && !wanted.is_empty() {
            let total: f64 = wanted.iter().map(|(_, want)| want).sum();
            let mut step = f64::min(1.0 - level, budget / total);
            let needs: Vec<f64> = (self.cuts.iter())
                .map(|cut| self.need_within(cut.regions, &wanted))
                .collect();
            for (cut, need) in self.cuts.iter().zip(&needs) {
                if *need > 0.0 {
                    step = step.min(cut.free / need);
                }
            }
            for (class, want) in &wanted {
                self.served[*class] += step * want;
            }
            for (cut, need) in self.cuts.iter_mut().zip(&needs) {
                cut.free = (cut.free - step * need).max(0.0);
            }
            level += step;
            budget -= step * total;
            let before = wanted.len();
            wanted.retain(|(class, _)| !self.is_exhausted(self.classes[*class].homes));
            if wanted.len() == before {
                // Nothing but the level or the budget was limiting.
                break;
            }
        }
    }

    /// What the classes that must run within `regions` want.
    fn need_within(&self, regions: RegionMask, wanted: &[(usize, f64)]) -> f64 {
        let within = wanted
            .iter()
            .filter(|(class, _)| self.classes[*class].homes.is_within(regions));
        within.map(|(_, want)| want).sum()
    }

    fn is_exhausted(&self, homes: RegionMask) -> bool {
        let mut cuts = self.cuts.iter();
        cuts.any(|cut| cut.free <= ROUNDING && homes.is_within(cut.regions))
    }

    /// What all classes of a kind are served.
    fn kind_served(&self, kind: u8) -> f64 {
        let classes = self.classes.iter().zip(&self.served);
        classes
            .filter(|(class, _)| class.importance.kind == kind)
            .map(|(_, served)| served)
            .sum()
    }
}

/// Part of the whole capacity to which the kind of a class is limited.
type KindLimit<'a> = &'a dyn Fn(Importance) -> f64;

/// What is served of each class. `steps` lists classes of equal importance, in order of
/// importance.
pub(crate) fn fill(
    classes: &[FillClass],
    steps: &[Vec<usize>],
    cuts: &RegionCuts,
    rules: &PlanRules,
) -> Vec<f64> {
    let mut fill = ClassFill {
        classes,
        cuts: cuts.0.clone(),
        served: vec![0.0; classes.len()],
    };
    let reserve = |importance| rules.reserve(importance).min(rules.cap(importance));
    let cap = |importance| rules.cap(importance);
    // Reserves, floors, the rest: the part of its demand up to which a class is served, and
    // the limit of its kind.
    let phases: [(f64, KindLimit); 3] = [(1.0, &reserve), (rules.floor(), &cap), (1.0, &cap)];
    for (part, limit) in phases {
        for step in steps {
            let importance = classes[step[0]].importance;
            let budget = limit(importance) - fill.kind_served(importance.kind);
            let wanted = step
                .iter()
                .map(|class| (*class, classes[*class].offered * part - fill.served[*class]))
                .collect();
            fill.raise(wanted, budget);
        }
    }
    fill.served
}
