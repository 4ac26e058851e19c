//! Randomised choice among servers that lets many VMs together fill them evenly.
//!
//! VMs decide on load data of the same age. If all of them chose the least loaded
//! server, it would get every request until its load is known, and overflow. Each VM
//! therefore draws at random: the work that all other VMs are expected to add until
//! then is distributed over the least loaded servers up to a common level, and a server
//! is drawn with a probability in proportion to its part of this work. Without such
//! work the least loaded server is chosen.

/// Level up to which `work` fills the servers with the lowest cost; infinite if there
/// is no server.
pub(crate) fn fill_level(costs: &[f64], work: f64) -> f64 {
    let mut ranked = costs.to_vec();
    ranked.sort_unstable_by(f64::total_cmp);
    let mut sum = 0.0;
    let mut level = f64::INFINITY;
    for (index, cost) in ranked.iter().enumerate() {
        if *cost >= level {
            break;
        }
        sum += cost;
        level = (work + sum) / (index + 1) as f64;
    }
    level
}

/// Index of the server drawn by `point`, from 0 to 1; none if there is no server.
/// `costs` and `work` are in the same unit.
///
/// ```
/// use onyxfall_fleet::draw_by_level;
/// // Filled up to a level of 4: three quarters on the first server, one on the second.
/// let costs = [1.0, 3.0, 9.0];
/// assert_eq!(draw_by_level(&costs, 4.0, 0.7), Some(0));
/// assert_eq!(draw_by_level(&costs, 4.0, 0.8), Some(1));
/// assert_eq!(draw_by_level(&costs, 0.0, 0.8), Some(0));
/// ```
pub fn draw_by_level(costs: &[f64], work: f64, point: f64) -> Option<usize> {
    let cheapest = (0..costs.len()).min_by(|a, b| costs[*a].total_cmp(&costs[*b]))?;
    if work <= 0.0 {
        return Some(cheapest);
    }
    let level = fill_level(costs, work);
    let mut left = point * work;
    for (index, cost) in costs.iter().enumerate() {
        left -= (level - cost).max(0.0);
        if left < 0.0 {
            return Some(index);
        }
    }
    Some(cheapest)
}
