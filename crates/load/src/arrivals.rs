//! Poisson arrivals, drawn before the run so that they depend on the seed alone.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::scenario::LoadScenario;

/// A request to send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlannedArrival {
    /// Time of arrival, from the start of the load.
    pub at: Duration,
    /// Index of the region in the scenario.
    pub region: usize,
    /// Index of the request kind in the scenario.
    pub kind: usize,
    /// Number of the prompt prefix.
    pub prefix: u64,
    /// Index of the entry in the region.
    pub entry: usize,
}

/// Draws the arrivals of a scenario, in order of time.
///
/// ```
/// use onyxfall_load::{parse_scenario, plan_arrivals};
/// let text = "[load]\nname = a\nduration-ms = 1000\n[region r]\nentries = 127.0.0.1:1\n\
///             [kind k]\nrate = 50/s\n";
/// let scenario = parse_scenario("a.ini", text).unwrap();
/// assert_eq!(plan_arrivals(&scenario), plan_arrivals(&scenario));
/// ```
pub fn plan_arrivals(scenario: &LoadScenario) -> Vec<PlannedArrival> {
    let mut arrivals = Vec::new();
    for region in 0..scenario.regions.len() {
        for kind in 0..scenario.kinds.len() {
            let stream = (region as u64) << 32 | kind as u64;
            let rng = StdRng::seed_from_u64(scenario.seed ^ stream.wrapping_mul(0x9e37_79b9));
            plan_stream(scenario, region, kind, rng, &mut arrivals);
        }
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    arrivals
}

/// Draws arrivals of one kind in one region by thinning: draws at the peak rate, and keeps
/// each draw with the probability of the rate at its time over the peak rate.
fn plan_stream(
    scenario: &LoadScenario,
    region: usize,
    kind: usize,
    mut rng: StdRng,
    arrivals: &mut Vec<PlannedArrival>,
) {
    let rate_shape = &scenario.regions[region].rate_shape;
    let peak = scenario.kinds[kind].rate.per_second() * rate_shape.peak();
    if peak <= 0.0 {
        return;
    }
    let mut at = Duration::ZERO;
    loop {
        let draw: f64 = rng.random::<f64>().max(f64::MIN_POSITIVE);
        at += Duration::from_secs_f64(-draw.ln() / peak);
        if at >= scenario.duration {
            return;
        }
        let kept = rng.random::<f64>() < rate_shape.factor(at) / rate_shape.peak();
        let prefix = rng.random_range(0..scenario.kinds[kind].prefixes);
        let entry = rng.random_range(0..scenario.regions[region].entries.len());
        if kept {
            arrivals.push(PlannedArrival {
                at,
                region,
                kind,
                prefix,
                entry,
            });
        }
    }
}
