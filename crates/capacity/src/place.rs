//! Where served work runs, with the least work outside its callers' region.
//!
//! A minimum-cost flow: work outside its callers' region costs 1, and each amount takes the
//! cheapest path, which may move work placed earlier. Shortest paths keep the placement
//! optimal after each amount. Three passes give shortest paths: at home (cost 0), then
//! directly into a region with free capacity (cost 1), then by a search. After the first
//! pass no path for what remains costs less than 1, since a region that could not take all
//! of its callers' work is full of it, and distances only grow.

use crate::class::RegionMask;
use crate::fill::ROUNDING;

/// Work of one class and callers' region.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlaceItem {
    pub(crate) homes: RegionMask,
    /// Callers' region.
    pub(crate) origin: usize,
    pub(crate) amount: f64,
}

impl PlaceItem {
    fn cost(&self, region: usize) -> i32 {
        i32::from(region != self.origin)
    }
}

/// A step of a path: an item that moves from the region before to this one.
#[derive(Clone, Copy, Debug)]
struct PathStep {
    cost: i32,
    hops: usize,
    /// Region and item that moves here from it; `None` for the work to be placed.
    from: Option<(usize, usize)>,
}

/// Cheapest move of placed work out of a region: cost and item.
type RegionMove = Option<(i32, usize)>;

/// Placement of items in regions.
#[derive(Clone, Debug)]
pub(crate) struct Placement<'a> {
    items: &'a [PlaceItem],
    regions: usize,
    /// By region, then item.
    placed: Vec<f64>,
    /// The cheapest move between each two regions, by the region that is left.
    moves: Vec<RegionMove>,
    /// Regions whose moves have to be found again, since the items in them have changed.
    changed: RegionMask,
    free: Vec<f64>,
    /// Sets of regions whose classes need more than their capacity. Empty if all is placed.
    pub(crate) exceeded: Vec<RegionMask>,
}

impl<'a> Placement<'a> {
    /// Places items, which are in order of importance: where one of several has to leave its
    /// region, it is the least important.
    pub(crate) fn of(items: &'a [PlaceItem], usable: &[f64]) -> Self {
        let mut placement = Self {
            items,
            regions: usable.len(),
            placed: vec![0.0; items.len() * usable.len()],
            moves: vec![None; usable.len() * usable.len()],
            changed: RegionMask::ALL,
            free: usable.to_vec(),
            exceeded: Vec::new(),
        };
        let mut left: Vec<f64> = items.iter().map(|item| item.amount).collect();
        for (index, item) in items.iter().enumerate() {
            if item.homes.contains(item.origin) {
                let amount = left[index].min(placement.free[item.origin]);
                left[index] -= placement.put(index, item.origin, amount);
            }
        }
        for (index, left) in left.iter_mut().enumerate() {
            *left -= placement.spread(index, *left);
            while *left > ROUNDING {
                let amount = placement.make_room(index, *left);
                if amount <= 0.0 {
                    break;
                }
                *left -= amount;
            }
        }
        placement
    }

    /// Amount of an item in a region.
    pub(crate) fn amount(&self, item: usize, region: usize) -> f64 {
        self.placed[region * self.items.len() + item]
    }

    /// Free capacity of a region.
    pub(crate) fn free(&self, region: usize) -> f64 {
        self.free[region]
    }

    fn put(&mut self, item: usize, region: usize, amount: f64) -> f64 {
        let placed = &mut self.placed[region * self.items.len() + item];
        let was_placed = *placed > ROUNDING;
        *placed += amount;
        if (*placed > ROUNDING) != was_placed {
            self.changed = self.changed.or(RegionMask::only(region));
        }
        self.free[region] = (self.free[region] - amount).max(0.0);
        amount
    }

    /// Places an item in regions with free capacity, in proportion to it, so that no region
    /// fills up before the others.
    fn spread(&mut self, item: usize, left: f64) -> f64 {
        let homes = self.items[item].homes;
        let free: f64 = homes
            .regions()
            .filter_map(|index| self.free.get(index))
            .sum();
        if left <= ROUNDING || free <= ROUNDING {
            return 0.0;
        }
        let part = (left / free).min(1.0);
        (0..self.regions)
            .filter(|region| homes.contains(*region))
            .map(|region| self.put(item, region, self.free[region] * part))
            .sum()
    }

    /// Places up to `left` of an item along the cheapest path that ends in a region with
    /// free capacity. Returns the amount, or 0 if there is no such path.
    fn make_room(&mut self, item: usize, left: f64) -> f64 {
        self.update_moves();
        let steps = self.search(item);
        let reached = || (0..self.regions).filter_map(|region| Some((region, steps[region]?)));
        let Some((end, _)) = reached()
            .filter(|(region, _)| self.free[*region] > ROUNDING)
            .min_by_key(|(region, step)| (step.cost, step.hops, *region))
        else {
            self.exceeded
                .push(reached().map(|(region, _)| region).collect());
            return 0.0;
        };
        let mut moves = Vec::new();
        let mut to = end;
        while let Some((region, moved)) = steps[to].and_then(|step| step.from) {
            moves.push((moved, region, to));
            to = region;
            if moves.len() > self.regions {
                // Only rounding errors could close a cycle of paths.
                return 0.0;
            }
        }
        let amount = moves
            .iter()
            .map(|(moved, region, _)| self.amount(*moved, *region))
            .fold(left.min(self.free[end]), f64::min);
        for (moved, region, to) in moves {
            self.put(moved, region, -amount);
            self.put(moved, to, amount);
        }
        self.put(item, to, amount)
    }

    /// The cheapest path of an item to each region that it can reach, by Bellman-Ford, since
    /// a move back to the callers' region has a negative cost. Of paths of equal cost the
    /// one with the fewest moves is taken.
    fn search(&self, item: usize) -> Vec<Option<PathStep>> {
        let item = &self.items[item];
        let start = |region| {
            let cost = item.cost(region);
            let (hops, from) = (0, None);
            (item.homes.contains(region)).then_some(PathStep { cost, hops, from })
        };
        let mut steps: Vec<Option<PathStep>> = (0..self.regions).map(start).collect();
        let mut improved = item.homes;
        for _ in 0..self.regions {
            let mut next = RegionMask::EMPTY;
            for from in improved.regions().take_while(|from| *from < self.regions) {
                let Some(step) = steps[from] else { continue };
                let edges = &self.moves[from * self.regions..][..self.regions];
                for (to, (known, edge)) in steps.iter_mut().zip(edges).enumerate() {
                    let Some((cost, moved)) = *edge else { continue };
                    let (cost, hops) = (step.cost + cost, step.hops + 1);
                    if known.is_none_or(|known| (cost, hops) < (known.cost, known.hops)) {
                        let from = Some((from, moved));
                        *known = Some(PathStep { cost, hops, from });
                        next = next.or(RegionMask::only(to));
                    }
                }
            }
            if next.is_empty() {
                break;
            }
            improved = next;
        }
        steps
    }

    /// Finds the cheapest moves out of regions whose items have changed; of the least
    /// important item among equals.
    fn update_moves(&mut self) {
        let count = self.items.len();
        for from in (0..self.regions).filter(|region| self.changed.contains(*region)) {
            let moves = &mut self.moves[from * self.regions..][..self.regions];
            moves.fill(None);
            let placed = &self.placed[from * count..][..count];
            // Regions to which a move is known, by its cost: -1, at most 0, at most 1.
            let mut known = [RegionMask::EMPTY; 3];
            for (index, item) in self.items.iter().enumerate().rev() {
                if placed[index] <= ROUNDING {
                    continue;
                }
                let home = RegionMask::only(item.origin);
                let others = item.homes.without(RegionMask::only(from));
                let by_cost = if item.origin == from {
                    [RegionMask::EMPTY, RegionMask::EMPTY, others]
                } else {
                    [others.and(home), others.without(home), RegionMask::EMPTY]
                };
                for (level, cost) in (-1..=1).enumerate() {
                    let found = by_cost[level].without(known[level]);
                    for to in found.regions() {
                        moves[to] = Some((cost, index));
                    }
                    for known in &mut known[level..] {
                        *known = known.or(found);
                    }
                }
            }
        }
        self.changed = RegionMask::EMPTY;
    }
}
