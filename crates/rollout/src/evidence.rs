//! Counts of request outcomes on the old and on the new version.
//!
//! Counts only grow, and VMs receive each other's counts as sums under short tags. A sum
//! that decreases has lost a VM, but the counts of that VM are still valid, so the largest
//! received sum is used.

use std::collections::{BTreeMap, HashMap};

use onyxfall_types::{RegionName, RouteName, stable_hash};

/// Steps of slowness: ratios to the usual time from which a response counts as slow.
pub const SLOW_RATIOS: [f64; 4] = [1.5, 2.0, 3.0, 5.0];
/// Number of server groups in which the new version's responses are counted. A server with a
/// fault of its own affects only its group.
pub(crate) const GROUPS: usize = 16;

/// Side of a rollout: the old or the new version of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum VersionSide {
    /// Any version other than the ordered one.
    Old,
    /// The ordered version.
    New,
}

/// Outcome of a request on a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ResponseOutcome {
    /// A failure caused by the server.
    Failed,
    /// A success, with the ratio of its time to the usual time.
    Succeeded {
        /// Ratio to the usual time; `None` if that is not known.
        ratio: Option<f64>,
    },
}

/// Counts of responses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EvidenceCounts {
    /// All responses.
    pub answers: u64,
    /// Failures.
    pub failures: u64,
    /// Responses with a known time that reached each of [`SLOW_RATIOS`].
    pub slow: [u64; SLOW_RATIOS.len()],
    /// Responses with a known time.
    pub timed: u64,
}

impl EvidenceCounts {
    fn record(&mut self, outcome: ResponseOutcome) {
        self.answers += 1;
        match outcome {
            ResponseOutcome::Failed => self.failures += 1,
            ResponseOutcome::Succeeded { ratio: Some(ratio) } => {
                self.timed += 1;
                for (count, least) in self.slow.iter_mut().zip(SLOW_RATIOS) {
                    *count += u64::from(ratio >= least);
                }
            }
            ResponseOutcome::Succeeded { ratio: None } => {}
        }
    }

    fn combine(self, other: Self, with: fn(u64, u64) -> u64) -> Self {
        Self {
            answers: with(self.answers, other.answers),
            failures: with(self.failures, other.failures),
            slow: std::array::from_fn(|step| with(self.slow[step], other.slow[step])),
            timed: with(self.timed, other.timed),
        }
    }

    /// Sum with other counts.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        self.combine(other, u64::saturating_add)
    }

    /// Difference to earlier counts.
    #[must_use]
    pub fn since(self, before: Self) -> Self {
        self.combine(before, u64::saturating_sub)
    }
}

/// Short tag of counts in messages between VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EvidenceTag(pub u32);

/// Counts of this VM, of the other VMs of its region, and of other regions.
#[derive(Clone, Debug, Default)]
struct CountCell {
    own: EvidenceCounts,
    regional: EvidenceCounts,
    far: BTreeMap<RegionName, EvidenceCounts>,
    tag: u32,
}

/// Scope over which counts are summed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EvidenceScope {
    /// VMs of this region.
    Region,
    /// VMs of all regions.
    Fleet,
}

impl CountCell {
    fn total(&self, scope: EvidenceScope) -> EvidenceCounts {
        let regional = self.own.plus(self.regional);
        match scope {
            EvidenceScope::Region => regional,
            EvidenceScope::Fleet => self.far.values().fold(regional, |sum, far| sum.plus(*far)),
        }
    }
}

/// Counts of a route, from every source.
#[derive(Clone, Debug, Default)]
struct RouteCells {
    old: CountCell,
    new: [CountCell; GROUPS],
}

/// Summed counts of a route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct RouteCounts {
    /// Counts of the old version.
    pub(crate) old: EvidenceCounts,
    /// Counts of the new version, by groups of servers.
    pub(crate) new: [EvidenceCounts; GROUPS],
}

impl RouteCounts {
    pub(crate) fn plus(&self, other: &Self) -> Self {
        Self {
            old: self.old.plus(other.old),
            new: std::array::from_fn(|group| self.new[group].plus(other.new[group])),
        }
    }

    /// These counts, with those of the new version since `before` only.
    pub(crate) fn since(&self, before: &Self) -> Self {
        Self {
            old: self.old,
            new: std::array::from_fn(|group| self.new[group].since(before.new[group])),
        }
    }

    pub(crate) fn all_new(&self) -> EvidenceCounts {
        let none = EvidenceCounts::default();
        self.new.iter().fold(none, |sum, counts| sum.plus(*counts))
    }
}

/// Position of the counts with a tag.
#[derive(Clone, Debug)]
struct CellPosition {
    route: RouteName,
    /// Group of the new version; `None` for the old version.
    group: Option<usize>,
}

/// Outcomes of requests during a rollout.
#[derive(Clone, Debug)]
pub struct RolloutEvidence {
    /// Part of the tags that distinguishes them from those of other rollouts.
    scope: String,
    routes: BTreeMap<RouteName, RouteCells>,
    positions: HashMap<u32, CellPosition>,
}

impl RolloutEvidence {
    /// Creates empty evidence. VMs exchange counts of the rollout with the same `scope`.
    pub fn new(scope: &str) -> Self {
        Self {
            scope: scope.to_owned(),
            routes: BTreeMap::new(),
            positions: HashMap::new(),
        }
    }

    /// Adds a route, so that received counts of it can be assigned.
    pub fn add_route(&mut self, route: &RouteName) {
        if self.routes.contains_key(route) {
            return;
        }
        let mut cells = RouteCells::default();
        cells.old.tag = self.add_tag(route, None);
        for group in 0..GROUPS {
            cells.new[group].tag = self.add_tag(route, Some(group));
        }
        self.routes.insert(route.clone(), cells);
    }

    fn add_tag(&mut self, route: &RouteName, group: Option<usize>) -> u32 {
        let cell = group.map_or_else(|| "old".to_owned(), |group| group.to_string());
        let hash = stable_hash(&["rollout", &self.scope, route.as_str(), &cell]);
        let [_, _, _, _, a, b, c, d] = hash.to_be_bytes();
        let tag = u32::from_be_bytes([a, b, c, d]);
        let route = route.clone();
        self.positions.insert(tag, CellPosition { route, group });
        tag
    }

    /// Records an outcome that this VM observed. `instance` is the hash of the server
    /// instance.
    pub fn record(
        &mut self,
        route: &str,
        side: VersionSide,
        instance: u64,
        outcome: ResponseOutcome,
    ) {
        let Some(cells) = self.routes.get_mut(route) else {
            return;
        };
        let cell = match side {
            VersionSide::Old => &mut cells.old,
            VersionSide::New => &mut cells.new[group_of(instance)],
        };
        cell.own.record(outcome);
    }

    /// Nonzero counts of this VM, for the other VMs of its region.
    pub fn own(&self) -> impl Iterator<Item = (EvidenceTag, EvidenceCounts)> {
        self.nonzero_counts(|cell| cell.own)
    }

    /// Nonzero counts of this region, for other regions.
    pub fn of_region(&self) -> impl Iterator<Item = (EvidenceTag, EvidenceCounts)> {
        self.nonzero_counts(|cell| cell.total(EvidenceScope::Region))
    }

    /// Nonzero counts received from another region.
    pub fn of_far(
        &self,
        region: &RegionName,
    ) -> impl Iterator<Item = (EvidenceTag, EvidenceCounts)> {
        self.nonzero_counts(|cell| cell.far.get(region).copied().unwrap_or_default())
    }

    fn nonzero_counts(
        &self,
        counts: impl Fn(&CountCell) -> EvidenceCounts,
    ) -> impl Iterator<Item = (EvidenceTag, EvidenceCounts)> {
        let cells = self.routes.values();
        let cells = cells.flat_map(|cells| std::iter::once(&cells.old).chain(&cells.new));
        cells
            .map(move |cell| (EvidenceTag(cell.tag), counts(cell)))
            .filter(|(_, counts)| counts.answers > 0)
    }

    /// Applies the sum of the counts of the other VMs of the region; returns whether the tag
    /// is known.
    pub fn set_regional(&mut self, tag: EvidenceTag, counts: EvidenceCounts) -> bool {
        let cell = self.cell(tag);
        let is_known = cell.is_some();
        if let Some(cell) = cell {
            cell.regional = cell.regional.combine(counts, u64::max);
        }
        is_known
    }

    /// Applies the counts of another region; returns whether the tag is known.
    pub fn set_far(
        &mut self,
        region: &RegionName,
        tag: EvidenceTag,
        counts: EvidenceCounts,
    ) -> bool {
        let cell = self.cell(tag);
        let is_known = cell.is_some();
        if let Some(cell) = cell {
            let far = cell.far.entry(region.clone()).or_default();
            *far = far.combine(counts, u64::max);
        }
        is_known
    }

    fn cell(&mut self, tag: EvidenceTag) -> Option<&mut CountCell> {
        let position = self.positions.get(&tag.0)?;
        let cells = self.routes.get_mut(&position.route)?;
        Some(match position.group {
            None => &mut cells.old,
            Some(group) => &mut cells.new[group],
        })
    }

    /// Summed counts by route.
    pub(crate) fn counts(&self, scope: EvidenceScope) -> BTreeMap<RouteName, RouteCounts> {
        let sums = self.routes.iter().map(|(route, cells)| {
            let counts = RouteCounts {
                old: cells.old.total(scope),
                new: std::array::from_fn(|group| cells.new[group].total(scope)),
            };
            (route.clone(), counts)
        });
        sums.collect()
    }

    /// Counts of the old and of the new version by route, summed over all VMs.
    pub fn by_route(&self) -> impl Iterator<Item = (&RouteName, EvidenceCounts, EvidenceCounts)> {
        self.routes.iter().map(|(route, cells)| {
            let none = EvidenceCounts::default();
            let new = cells.new.iter();
            let scope = EvidenceScope::Fleet;
            let new = new.fold(none, |sum, cell| sum.plus(cell.total(scope)));
            (route, cells.old.total(scope), new)
        })
    }
}

fn group_of(instance: u64) -> usize {
    usize::try_from(instance % GROUPS as u64).unwrap_or_default()
}
