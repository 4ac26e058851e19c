//! Round trips to other regions, from how long connections take to come up.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use onyxfall_types::RegionName;

/// Connections of a region that are remembered. The shortest counts: it met no
/// busy VM and no lost packet.
const REMEMBERED: usize = 8;
/// Round trip to a region to which no connection came up yet: neighbouring
/// continents. It decides nothing for long, since every VM greets all others.
const PRIOR: Duration = Duration::from_millis(100);
/// Connections that took longer say nothing of the distance.
const LONGEST: Duration = Duration::from_secs(3);
/// Limit of a first dial, in round trips, and the time that a VM may be without
/// its processor. A lost opening packet is sent again by the kernel after a
/// second, and so late came the first link after a loss of power without this limit.
const DIAL_TRIPS: f64 = 1.5;
const DIAL_SLACK: Duration = Duration::from_millis(20);
/// Longest limit of a dial.
const LONGEST_DIAL: Duration = Duration::from_millis(1500);

/// Round trips by region.
#[derive(Clone, Debug, Default)]
pub struct RoundTrips {
    regions: BTreeMap<RegionName, VecDeque<Duration>>,
}

impl RoundTrips {
    /// Notes that a connection to a region came up after `took`.
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
        if took > LONGEST {
            return;
        }
        let taken = self.regions.entry(region.clone()).or_default();
        if taken.len() >= REMEMBERED {
            taken.pop_front();
        }
        taken.push_back(took);
    }

    /// Expected round trip to a region.
    pub fn to(&self, region: &RegionName) -> Duration {
        let shortest = self
            .regions
            .get(region)
            .and_then(|taken| taken.iter().min());
        shortest.copied().unwrap_or(PRIOR)
    }

    /// How long to wait for a connection to a region, or to a VM whose region is
    /// unknown, after `failures` in a row: twice as long each time.
    pub fn dial_limit(&self, region: Option<&RegionName>, failures: u32) -> Duration {
        let longest = || self.regions.keys().map(|region| self.to(region)).max();
        let trip = region.map_or_else(|| longest().unwrap_or(PRIOR), |region| self.to(region));
        let first = trip.mul_f64(DIAL_TRIPS) + DIAL_SLACK;
        first.saturating_mul(1 << failures.min(8)).min(LONGEST_DIAL)
    }
}
