//! What came of requests at the old and at the new version.
//!
//! Counts only grow, and each VM's counts reach the others as sums under short tags. A
//! sum that falls has lost a VM; what that VM had seen still holds, so the largest sum
//! that was told counts.

use std::collections::{BTreeMap, HashMap};

use onyxfall_types::{RegionName, RouteName, stable_hash};

/// Times slower than usual from which an answer counts as slow, in steps.
pub const SLOW_RATIOS: [f64; 4] = [1.5, 2.0, 3.0, 5.0];
/// Groups of servers by which the new version's answers are counted: a server that fails
/// by itself is in one of them.
pub(crate) const GROUPS: usize = 16;

/// A version of a service while two have servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum VersionSide {
    /// Any other than the one that is ordered.
    Old,
    /// The one that is ordered.
    New,
}

/// How an answer of a server was.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ResponseOutcome {
    /// A failure of the server's own.
    Failed,
    /// A success that took so many times as long as usual.
    Succeeded {
        /// Times the usual; none where that is not known.
        ratio: Option<f64>,
    },
}

/// Counts of answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EvidenceCounts {
    /// Answers.
    pub answers: u64,
    /// Those that were failures.
    pub failures: u64,
    /// Those whose time is known, by [`SLOW_RATIOS`] that they reached.
    pub slow: [u64; SLOW_RATIOS.len()],
    /// Those whose time is known.
    pub timed: u64,
}

impl EvidenceCounts {
    fn note(&mut self, outcome: ResponseOutcome) {
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

    /// These counts and others.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        self.combine(other, u64::saturating_add)
    }

    /// These counts without earlier ones.
    #[must_use]
    pub fn since(self, before: Self) -> Self {
        self.combine(before, u64::saturating_sub)
    }
}

/// Short name of counts in messages between VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EvidenceTag(pub u32);

/// Counts of this VM, of the others of its region, and of other regions.
#[derive(Clone, Debug, Default)]
struct CountCell {
    own: EvidenceCounts,
    told: EvidenceCounts,
    far: BTreeMap<RegionName, EvidenceCounts>,
    tag: u32,
}

/// Whose counts are summed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EvidenceScope {
    /// Those of this region.
    Region,
    /// Those of all.
    Fleet,
}

impl CountCell {
    fn total(&self, scope: EvidenceScope) -> EvidenceCounts {
        let near = self.own.plus(self.told);
        match scope {
            EvidenceScope::Region => near,
            EvidenceScope::Fleet => self.far.values().fold(near, |sum, far| sum.plus(*far)),
        }
    }
}

/// Counts of a route.
#[derive(Clone, Debug, Default)]
struct RouteCells {
    old: CountCell,
    new: [CountCell; GROUPS],
}

/// Sums of a route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct RouteCounts {
    /// At the old version.
    pub(crate) old: EvidenceCounts,
    /// At the new version, by groups of servers.
    pub(crate) new: [EvidenceCounts; GROUPS],
}

impl RouteCounts {
    pub(crate) fn plus(&self, other: &Self) -> Self {
        Self {
            old: self.old.plus(other.old),
            new: std::array::from_fn(|group| self.new[group].plus(other.new[group])),
        }
    }

    /// These counts, with what the new version did since `before` only.
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

/// Where counts with a tag stand.
#[derive(Clone, Debug)]
struct CellPlace {
    route: RouteName,
    /// Group of the new version; none for the old one.
    group: Option<usize>,
}

/// What came of requests during a roll-out.
#[derive(Clone, Debug)]
pub struct RolloutEvidence {
    /// What tells its tags from those of other roll-outs.
    scope: String,
    routes: BTreeMap<RouteName, RouteCells>,
    places: HashMap<u32, CellPlace>,
}

impl RolloutEvidence {
    /// No evidence yet. Counts that VMs tell each other belong together by `scope`.
    pub fn new(scope: &str) -> Self {
        Self {
            scope: scope.to_owned(),
            routes: BTreeMap::new(),
            places: HashMap::new(),
        }
    }

    /// Makes a route known, so that what others tell of it is understood.
    pub fn add_route(&mut self, route: &RouteName) {
        if self.routes.contains_key(route) {
            return;
        }
        let mut cells = RouteCells::default();
        cells.old.tag = self.place(route, None);
        for group in 0..GROUPS {
            cells.new[group].tag = self.place(route, Some(group));
        }
        self.routes.insert(route.clone(), cells);
    }

    fn place(&mut self, route: &RouteName, group: Option<usize>) -> u32 {
        let cell = group.map_or_else(|| "old".to_owned(), |group| group.to_string());
        let hash = stable_hash(&["rollout", &self.scope, route.as_str(), &cell]);
        let [_, _, _, _, a, b, c, d] = hash.to_be_bytes();
        let tag = u32::from_be_bytes([a, b, c, d]);
        let route = route.clone();
        self.places.insert(tag, CellPlace { route, group });
        tag
    }

    /// Notes an answer that this VM has seen. `life` is the hash of the server's life.
    pub fn note(&mut self, route: &str, side: VersionSide, life: u64, outcome: ResponseOutcome) {
        let Some(cells) = self.routes.get_mut(route) else {
            return;
        };
        let cell = match side {
            VersionSide::Old => &mut cells.old,
            VersionSide::New => &mut cells.new[group_of(life)],
        };
        cell.own.note(outcome);
    }

    /// Counts of this VM that are not zero, to tell the others of its region.
    pub fn own(&self) -> impl Iterator<Item = (EvidenceTag, EvidenceCounts)> {
        self.told_counts(|cell| cell.own)
    }

    /// Counts of this region that are not zero, to tell other regions.
    pub fn of_region(&self) -> impl Iterator<Item = (EvidenceTag, EvidenceCounts)> {
        self.told_counts(|cell| cell.total(EvidenceScope::Region))
    }

    /// Counts that another region has told.
    pub fn of_far(
        &self,
        region: &RegionName,
    ) -> impl Iterator<Item = (EvidenceTag, EvidenceCounts)> {
        self.told_counts(|cell| cell.far.get(region).copied().unwrap_or_default())
    }

    fn told_counts(
        &self,
        counts: impl Fn(&CountCell) -> EvidenceCounts,
    ) -> impl Iterator<Item = (EvidenceTag, EvidenceCounts)> {
        let cells = self.routes.values();
        let cells = cells.flat_map(|cells| std::iter::once(&cells.old).chain(&cells.new));
        cells
            .map(move |cell| (EvidenceTag(cell.tag), counts(cell)))
            .filter(|(_, counts)| counts.answers > 0)
    }

    /// Takes the sum of the counts of the other VMs of the region; whether the tag is
    /// known.
    pub fn set_regional(&mut self, tag: EvidenceTag, counts: EvidenceCounts) -> bool {
        let cell = self.cell(tag);
        let is_known = cell.is_some();
        if let Some(cell) = cell {
            cell.told = cell.told.combine(counts, u64::max);
        }
        is_known
    }

    /// Takes the counts of another region; whether the tag is known.
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
        let place = self.places.get(&tag.0)?;
        let cells = self.routes.get_mut(&place.route)?;
        Some(match place.group {
            None => &mut cells.old,
            Some(group) => &mut cells.new[group],
        })
    }

    /// Sums by route.
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

    /// Sums of the old and of the new version by route, of all VMs.
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

fn group_of(life: u64) -> usize {
    usize::try_from(life % GROUPS as u64).unwrap_or_default()
}
