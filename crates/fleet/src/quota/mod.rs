//! Team quotas, enforced over all VMs together without coordination.
//!
//! Every VM meters the demand of each team and publishes the rate through the overlay: to its
//! region within about 0.15 s, to other regions within about 0.6 s. From these rates all VMs
//! compute the same leaky bucket. It fills with the total demand times the admission
//! probability and drains at the rate of the quota. While its level is low, everything is
//! admitted. Above that, requests are admitted with the probability that just uses up the
//! quota, slightly raised where refusals begin and falling to zero at a full bucket. So all
//! VMs reduce excess demand alike, and requests within a quota are not refused because they
//! arrived at few VMs.
//!
//! Invariant: regions that receive no updates from each other use shares of the quota that add
//! up to at most the whole, and so do VMs that are connected to less than half of their
//! region.

mod partition;
mod usage;

use std::collections::HashMap;
use std::time::Duration;

use onyxfall_policy::Moment;
use onyxfall_types::RegionName;
use rand::Rng;

use crate::switches::QuotaMode;
use crate::team::QuotaLimit;
use partition::{PartitionBucket, PartitionState, QuotaPartition};
use usage::{RemoteDemand, TeamUsage};

/// Age at which the last demand of a region for a team expires and counts as zero.
const DEMAND_TTL: Duration = Duration::from_mins(1);
/// Initial level of a bucket without history above its free part, in seconds of the quota's
/// rate. If all VMs lose power under excess demand, the bucket was about full.
const INITIAL_LEVEL_S: f64 = 1.5;
/// Bounds in seconds of the retry time that a refused caller gets, and its random spread.
const RETRY_AFTER_RANGE: (f64, f64) = (0.2, 5.0);
const RETRY_AFTER_SPREAD: (f64, f64) = (0.75, 1.25);
/// Largest demand that is accepted from other VMs, in units a second.
const MAX_DEMAND: f64 = 1e12;

/// Required accuracy of quotas. In any window, a team may use its rate times the window plus
/// its burst, multiplied by one plus `over`, and `slack` in addition.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaSettings {
    /// How quotas are divided among VMs.
    pub way: QuotaMode,
    /// Length of the window.
    pub window: Duration,
    /// Fraction of the quota that may be used in addition.
    pub over: f64,
    /// Units that may be used in addition.
    pub slack: f64,
}

impl Default for QuotaSettings {
    /// Settings that allow nothing beyond the quota.
    fn default() -> Self {
        Self {
            way: QuotaMode::Pooled,
            window: Duration::from_secs(8),
            over: 0.0,
            slack: 0.0,
        }
    }
}

impl QuotaSettings {
    /// Capacity of the bucket: units that may be used at once, in addition to those that drain
    /// in the window.
    fn capacity(&self, limit: &QuotaLimit) -> f64 {
        let drained = limit.rate * self.window.as_secs_f64();
        limit.burst * (1.0 + self.over) + drained * self.over + self.slack
    }

    /// Initial level of a bucket without history.
    fn initial_level(&self, limit: &QuotaLimit) -> f64 {
        if self.way == QuotaMode::EqualParts {
            return 0.0;
        }
        let partition = QuotaPartition::alone(limit, 1, 0.0);
        let bucket = PartitionBucket::new(limit, self, &partition);
        bucket
            .capacity
            .min(bucket.free + INITIAL_LEVEL_S * limit.rate)
    }
}

/// The VMs that share quotas with this VM.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaPeers {
    /// Fraction of the region's VMs that this VM is connected to, itself included.
    pub reachable_share: f64,
    /// Number of VMs of all regions, this one included.
    pub vms: usize,
    /// Number of regions, this one included.
    pub regions: usize,
}

impl Default for QuotaPeers {
    fn default() -> Self {
        Self {
            reachable_share: 1.0,
            vms: 1,
            regions: 1,
        }
    }
}

/// Decision whether a request is within its team's quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum QuotaDecision {
    /// The request is admitted and counted.
    Admitted,
    /// The request is refused.
    Refused {
        /// Time after which a similar request is expected to be admitted.
        retry_after: Duration,
        /// Demand of the team at the VMs of the partition, in units a second.
        demand: f64,
        /// Level of the partition's bucket in units.
        level: f64,
    },
}

/// Quota usage of all teams, as tracked by this VM.
#[derive(Clone, Debug, Default)]
pub struct QuotaTable {
    settings: QuotaSettings,
    peers: QuotaPeers,
    /// Usage by team tag.
    teams: HashMap<u32, TeamUsage>,
}

impl QuotaTable {
    /// Sets the required accuracy of quotas.
    pub fn set_settings(&mut self, settings: QuotaSettings) {
        self.settings = settings;
    }

    /// Sets the VMs that share quotas with this VM.
    pub fn set_peers(&mut self, peers: QuotaPeers) {
        self.peers = peers;
    }

    /// Decides whether a request of `cost` units is within its team's quota, and counts it if
    /// it is. An unknown team has no quota.
    ///
    /// ```
    /// use onyxfall_fleet::{QuotaDecision, QuotaLimit, QuotaTable, QuotaUnit};
    /// use onyxfall_policy::Moment;
    /// use rand::SeedableRng;
    /// let mut rng = rand::rngs::StdRng::seed_from_u64(1);
    /// let limit = QuotaLimit { rate: 10.0, burst: 10.0, unit: QuotaUnit::Requests };
    /// let mut table = QuotaTable::default();
    /// table.set_teams(Moment::ZERO, [(7, limit)]);
    /// let now = Moment::from_duration(std::time::Duration::from_secs(60));
    /// assert_eq!(table.admit(now, 7, 1, &mut rng), QuotaDecision::Admitted);
    /// ```
    pub fn admit(
        &mut self,
        now: Moment,
        team: u32,
        cost: u64,
        rng: &mut impl Rng,
    ) -> QuotaDecision {
        let Some(usage) = self.teams.get_mut(&team) else {
            return QuotaDecision::Admitted;
        };
        usage.own.note(now, cost);
        usage.settle(now, &self.settings, &self.peers);
        let PartitionState {
            partition,
            bucket,
            chance,
        } = usage.state;
        let cost = cost as f64;
        if rng.random::<f64>() < chance {
            usage.level += cost;
            return QuotaDecision::Admitted;
        }
        let spread = rng.random_range(RETRY_AFTER_SPREAD.0..RETRY_AFTER_SPREAD.1);
        let wait = bucket.wait(usage.level, cost);
        let wait = wait.clamp(RETRY_AFTER_RANGE.0, RETRY_AFTER_RANGE.1) * spread;
        QuotaDecision::Refused {
            retry_after: Duration::from_secs_f64(wait),
            demand: partition.demand,
            level: usage.level,
        }
    }

    /// Refunds the cost of a request that was admitted but never ran.
    pub fn give_back(&mut self, team: u32, cost: u64) {
        if let Some(usage) = self.teams.get_mut(&team) {
            usage.level = (usage.level - cost as f64).max(0.0);
        }
    }

    /// Demand of each team at this VM, as its tag and units a second.
    pub fn own_demand(&self, now: Moment) -> impl Iterator<Item = (u32, f64)> {
        let teams = self.teams.iter();
        teams.map(move |(tag, usage)| (*tag, usage.own.per_second(now)))
    }

    /// Demand of each team in this region, as its tag and units a second.
    pub fn region_demand(&self, now: Moment) -> impl Iterator<Item = (u32, f64)> {
        let teams = self.teams.iter();
        teams.map(move |(tag, usage)| (*tag, usage.region_demand(now)))
    }

    /// Last reported demand of each team in another region, as its tag and units a second.
    pub fn demand_of(&self, region: &RegionName) -> impl Iterator<Item = (u32, f64)> {
        let teams = self.teams.iter();
        teams.filter_map(|(tag, usage)| Some((*tag, usage.remote.get(region)?.rate)))
    }

    /// Sets a team's demand at the other VMs of this region. Returns whether the team is known.
    pub fn set_peer_demand(&mut self, now: Moment, team: u32, demand: f64) -> bool {
        let Some(usage) = self.teams.get_mut(&team) else {
            return false;
        };
        usage.peers = demand.clamp(0.0, MAX_DEMAND);
        usage.settle(now, &self.settings, &self.peers);
        true
    }

    /// Records the demands of another region, which were sent at `sent`. Teams that are not
    /// listed have no demand there.
    pub fn receive(&mut self, sent: Moment, region: &RegionName, demands: &[(u32, f64)]) {
        for usage in self.teams.values_mut() {
            if let Some(latest) = usage.remote.get_mut(region)
                && latest.sent < sent
            {
                *latest = RemoteDemand { rate: 0.0, sent };
            }
        }
        for (team, rate) in demands {
            let Some(usage) = self.teams.get_mut(team) else {
                continue;
            };
            let rate = rate.clamp(0.0, MAX_DEMAND);
            let latest = usage
                .remote
                .entry(region.clone())
                .or_insert(RemoteDemand { rate, sent });
            if latest.sent <= sent {
                *latest = RemoteDemand { rate, sent };
            }
        }
    }

    /// Sets the teams of a configuration with their quotas, and drops all other teams.
    pub fn set_teams(&mut self, now: Moment, teams: impl IntoIterator<Item = (u32, QuotaLimit)>) {
        let mut previous = std::mem::take(&mut self.teams);
        for (team, limit) in teams {
            let known = previous.remove(&team);
            let mut usage =
                known.unwrap_or_else(|| TeamUsage::new(now, limit, &self.settings, &self.peers));
            usage.limit = limit;
            usage.settle(now, &self.settings, &self.peers);
            self.teams.insert(team, usage);
        }
    }

    /// Advances time: drains buckets and drops demands of other regions that have expired.
    pub fn tick(&mut self, now: Moment) {
        for usage in self.teams.values_mut() {
            usage
                .remote
                .retain(|_, demand| now - demand.sent < DEMAND_TTL);
            usage.settle(now, &self.settings, &self.peers);
        }
    }
}
