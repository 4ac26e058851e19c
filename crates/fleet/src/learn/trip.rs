//! Round-trip times to other regions, measured when connections are established.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use onyxfall_types::RegionName;

/// Most connection times that are kept for a region. The shortest is used, since no busy VM
/// and no lost packet has prolonged it.
const MAX_SAMPLES: usize = 8;
/// Round-trip time to a region before the first connection, that between neighbouring
/// continents. It is used only briefly, since every VM connects to all others.
const PRIOR: Duration = Duration::from_millis(100);
/// Connection times above this say nothing about the distance.
const MAX_CONNECT_TIME: Duration = Duration::from_secs(3);
/// Timeout of a first dial, in round trips, and an allowance for a VM that is not scheduled.
/// The kernel retransmits a lost SYN packet only after 1 s, and without this timeout the first
/// connection after a power loss came that late.
const DIAL_TRIPS: f64 = 1.5;
const DIAL_SLACK: Duration = Duration::from_millis(20);
/// Longest timeout of a dial.
const MAX_DIAL_TIMEOUT: Duration = Duration::from_millis(1500);

/// Round-trip times by region.
#[derive(Clone, Debug, Default)]
pub struct RoundTrips {
    regions: BTreeMap<RegionName, VecDeque<Duration>>,
}

impl RoundTrips {
    /// Records that a connection to a region was established after `took`.
    ///
    /// ```
    /// use onyxfall_fleet::RoundTrips;
    /// use std::time::Duration;
    /// let mut trips = RoundTrips::default();
    /// let far = "far".parse().unwrap();
    /// trips.note(&far, Duration::from_millis(1160));
    /// trips.note(&far, Duration::from_millis(160));
    /// assert_eq!(trips.to(&far), Duration::from_millis(160));
    /// ```
    pub fn note(&mut self, region: &RegionName, took: Duration) {
        if took > MAX_CONNECT_TIME {
            return;
        }
        let samples = self.regions.entry(region.clone()).or_default();
        if samples.len() >= MAX_SAMPLES {
            samples.pop_front();
        }
        samples.push_back(took);
    }

    /// Expected round-trip time to a region.
    pub fn to(&self, region: &RegionName) -> Duration {
        let shortest = self
            .regions
            .get(region)
            .and_then(|samples| samples.iter().min());
        shortest.copied().unwrap_or(PRIOR)
    }

    /// Dial timeout for a region, or for a VM whose region is unknown, after `failures` in a
    /// row. Each failure doubles the timeout.
    pub fn dial_limit(&self, region: Option<&RegionName>, failures: u32) -> Duration {
        let longest = || self.regions.keys().map(|region| self.to(region)).max();
        let trip = region.map_or_else(|| longest().unwrap_or(PRIOR), |region| self.to(region));
        let first = trip.mul_f64(DIAL_TRIPS) + DIAL_SLACK;
        first
            .saturating_mul(1 << failures.min(8))
            .min(MAX_DIAL_TIMEOUT)
    }
}
