//! Checks the retry budget: arrivals beyond the first of each request, over all VMs and servers.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use onyxfall_fakes::{ArrivedRequest, ServerFault};
use onyxfall_fleet::BudgetLimits;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::checks::BrokenPromise;
use crate::plan::{Fault, PlannedFault, RunSize};
use crate::signals::CallTimes;

/// Time for which all servers fail, so that every request that may be repeated is.
pub(crate) const PRESSURE: Duration = Duration::from_secs(6);
/// Time for which a killed VM is down.
const DOWN: Duration = Duration::from_millis(200);

/// Whether a seed has a narrow retry budget, and a phase that presses against it. Other seeds
/// leave room for the second runs and resumptions that further checks are about.
pub(crate) const fn has_narrow_budget(seed: u64) -> bool {
    seed.is_multiple_of(2)
}

/// The retry budget of a seed.
pub(crate) const fn budget_of(seed: u64) -> BudgetLimits {
    let (ratio, extra) = if has_narrow_budget(seed) {
        (0.1, 12.0)
    } else {
        (1.0, 100.0)
    };
    BudgetLimits {
        ratio,
        extra,
        window: Duration::from_secs(10),
    }
}

/// Plans the faults under pressure: all servers fail, and VMs are killed in series.
pub(crate) fn draw_pressure(seed: u64, size: &RunSize) -> Vec<PlannedFault> {
    let rng = &mut StdRng::seed_from_u64(seed);
    let fails = |server| PlannedFault {
        at: Duration::ZERO,
        until: PRESSURE,
        fault: Fault::Server(server, ServerFault::Fails),
    };
    let mut kill = |vm| {
        let at = rng.random_range(PRESSURE / 4..PRESSURE / 4 * 3);
        PlannedFault {
            at,
            until: at + DOWN,
            fault: Fault::Kill(vm),
        }
    };
    let mut plan: Vec<PlannedFault> = (0..size.servers).map(fails).collect();
    // One VM serves on throughout.
    plan.extend((1..size.vms).map(&mut kill));
    plan.sort_by_key(|planned| planned.at);
    plan
}

/// The most repeats of a window, and those allowed in it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RepeatCount {
    pub(crate) repeats: usize,
    pub(crate) allowed: f64,
}

/// The window in which the repeats exceed the budget by the most, or come nearest to it. Its
/// requests are those that callers sent in it, in the one before it or in the one half a window
/// before it, whichever are the most.
pub(crate) fn most_repeats(
    calls: &BTreeMap<String, CallTimes>,
    arrivals: &[ArrivedRequest],
    limits: &BudgetLimits,
) -> Option<RepeatCount> {
    let mut requests: Vec<Instant> = calls.values().map(|call| call.sent).collect();
    requests.sort_unstable();
    let mut by_request: BTreeMap<&str, Vec<Instant>> = BTreeMap::new();
    for arrived in arrivals {
        let times = by_request.entry(&arrived.request_id).or_default();
        times.push(arrived.at);
    }
    let repeats = by_request.into_values().flat_map(|mut times| {
        times.sort_unstable();
        times.into_iter().skip(1)
    });
    let mut repeats: Vec<Instant> = repeats.collect();
    repeats.sort_unstable();
    let counts = repeats.iter().map(|start| {
        let starts = [Duration::ZERO, limits.window / 2, limits.window];
        let starts = starts.map(|before| start.checked_sub(before).unwrap_or(*start));
        let requests = starts.map(|from| count_from(&requests, from, limits.window));
        let most = requests.into_iter().max().unwrap_or(0);
        RepeatCount {
            repeats: count_from(&repeats, *start, limits.window),
            allowed: limits.ratio * most as f64 + limits.extra,
        }
    });
    let excess = |count: &RepeatCount| count.repeats as f64 - count.allowed;
    counts.max_by(|a, b| excess(a).total_cmp(&excess(b)))
}

/// The promise that a count breaks.
pub(crate) fn check_repeats(count: RepeatCount) -> Option<BrokenPromise> {
    let RepeatCount { repeats, allowed } = count;
    let is_broken = repeats as f64 > allowed;
    is_broken.then(|| BrokenPromise::RepeatedBeyondBudget(format!("{repeats} of {allowed:.1}")))
}

/// Number of times within one window from `start` on.
fn count_from(times: &[Instant], start: Instant, window: Duration) -> usize {
    let index = |end: Instant| times.partition_point(|time| *time < end);
    index(start + window) - index(start)
}
