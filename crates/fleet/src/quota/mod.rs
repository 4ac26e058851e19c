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

mod credit;
mod own;
mod partition;
mod spent;
mod usage;

use std::collections::HashMap;
use std::time::Duration;

use onyxfall_policy::Moment;
use onyxfall_types::{RegionName, name_tag};
use rand::Rng;

use crate::switches::{QuotaMode, QuotaSpend};
use crate::team::QuotaLimit;
pub use own::QuotaReceipt;
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
/// Fraction of the time that a caller has left up to which it honours a retry time.
const RETRY_FRACTION: f64 = 1.0 / 3.0;
/// Largest demand that is accepted from other VMs, in units a second.
const MAX_DEMAND: f64 = 1e12;

/// Required accuracy of quotas. In any window, a team may use its rate times the window plus
/// its burst, multiplied by one plus `over`, and `slack` in addition.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaSettings {
    /// How quotas are divided among VMs.
    pub way: QuotaMode,
    /// How a team that exceeds its quota spends it.
    pub spend: QuotaSpend,
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
            spend: QuotaSpend::Even,
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

/// A request that is to be admitted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaRequest {
    /// Units that it counts against the quota.
    pub cost: u64,
    /// Importance of its kind; 0 is the highest.
    pub rank: u8,
    /// Time that the caller has left.
    pub time_left: Duration,
}

/// Demand and usage of a team, in units a second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TeamFlow {
    /// Tag of the team.
    pub team: u32,
    /// Units a second that were asked for.
    pub demand: f64,
    /// Units a second that were admitted and not refunded; `None` if they are not metered.
    pub used: Option<f64>,
}

/// What a flow under a tag of its own says of a team.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FlowKind {
    /// Usage of the VMs that meter it.
    Used,
    /// Demand on the VMs that meter their usage. It tells the demand whose usage is unknown.
    Metered,
}

impl FlowKind {
    const ALL: [Self; 2] = [Self::Used, Self::Metered];

    /// Tag of a team's flow in messages between VMs.
    fn tag(self, team: u32) -> u32 {
        let word = match self {
            Self::Used => "used",
            Self::Metered => "metered",
        };
        name_tag(&format!("{word} team {team:08x}"))
    }
}

/// Decision whether a request is within its team's quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum QuotaDecision {
    /// The request is admitted and counted.
    Admitted(QuotaReceipt),
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
    /// Team and kind of the flows with tags of their own.
    flows: HashMap<u32, (u32, FlowKind)>,
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

    /// Decides whether a request is within its team's quota, and counts it if it is. An unknown team has no quota.
    ///
    /// ```
    /// use onyxfall_fleet::{QuotaDecision, QuotaLimit, QuotaRequest, QuotaTable, QuotaUnit};
    /// use onyxfall_policy::Moment;
    /// use rand::SeedableRng;
    /// let mut rng = rand::rngs::StdRng::seed_from_u64(1);
    /// let limit = QuotaLimit { rate: 10.0, burst: 10.0, unit: QuotaUnit::Requests };
    /// let mut table = QuotaTable::default();
    /// table.set_teams(Moment::ZERO, [(7, limit)]);
    /// let now = Moment::from_duration(std::time::Duration::from_secs(60));
    /// let time_left = std::time::Duration::from_secs(2);
    /// let request = QuotaRequest { cost: 1, rank: 0, time_left };
    /// let decision = table.admit(now, 7, &request, &mut rng);
    /// assert!(matches!(decision, QuotaDecision::Admitted(_)));
    /// ```
    pub fn admit(
        &mut self,
        now: Moment,
        team: u32,
        request: &QuotaRequest,
        rng: &mut impl Rng,
    ) -> QuotaDecision {
        let Some(usage) = self.teams.get_mut(&team) else {
            return QuotaDecision::Admitted(QuotaReceipt::default());
        };
        usage.own.note(now, request.cost);
        usage.settle(now, &self.settings, &self.peers);
        let PartitionState {
            partition,
            bucket,
            chance,
        } = usage.state;
        let cost = request.cost as f64;
        let point = rng.random::<f64>();
        let is_admitted = match self.settings.spend {
            QuotaSpend::Even => point < chance,
            QuotaSpend::ByImportance => {
                let terms = usage.state.terms(self.peers.vms);
                let credit = &mut usage.credit;
                credit.admits(now, &terms, request.rank, cost, point)
            }
        };
        if is_admitted {
            usage.level += cost;
            usage.own_used.admit(now, cost);
            return QuotaDecision::Admitted(usage.own_part.admit(cost));
        }
        let wait = bucket.wait(usage.level, cost);
        let wait = wait.clamp(RETRY_AFTER_RANGE.0, RETRY_AFTER_RANGE.1);
        let is_excess = partition.demand > partition.rate;
        let wait = if self.settings.spend == QuotaSpend::ByImportance && is_excess {
            // The more is refused, the longer the span over which retries are spread.
            let latest = request.time_left.as_secs_f64() * RETRY_FRACTION;
            let first = wait.min(latest);
            first + (latest - first) * (1.0 - chance) * rng.random::<f64>()
        } else {
            wait * rng.random_range(RETRY_AFTER_SPREAD.0..RETRY_AFTER_SPREAD.1)
        };
        QuotaDecision::Refused {
            retry_after: Duration::from_secs_f64(wait),
            demand: partition.demand,
            level: usage.level,
        }
    }

    /// Refunds the cost of a request that was admitted with `receipt` but never ran. By
    /// importance, what has drained already is refunded only up to an allowance: subtracted from
    /// later usage, it admits more than the quota.
    pub fn give_back(&mut self, now: Moment, team: u32, cost: u64, receipt: QuotaReceipt) {
        let Some(usage) = self.teams.get_mut(&team) else {
            return;
        };
        let mut cost = cost as f64;
        if self.settings.spend == QuotaSpend::ByImportance {
            usage.settle(now, &self.settings, &self.peers);
            let allowance = usage.state.terms(self.peers.vms).step();
            cost = usage.own_part.refund(now, cost, receipt, allowance);
            usage.own_used.refund(now, cost);
            usage.credit.give_back(cost);
        }
        usage.level = (usage.level - cost).max(0.0);
    }

    /// Demand of each team at this VM, as its tag and units a second.
    pub fn own_demand(&self, now: Moment) -> impl Iterator<Item = (u32, f64)> {
        let teams = self.teams.iter();
        teams.map(move |(tag, usage)| (*tag, usage.own.per_second(now)))
    }

    /// Flows of this VM for the sums of its region, as tags and units a second: the demand of
    /// each team and, where quotas are spent by importance, its usage.
    pub fn own_flows(&self, now: Moment) -> impl Iterator<Item = (u32, f64)> {
        let metered = self.flows.iter().filter(|_| self.meters_usage());
        let metered = metered.filter_map(move |(tag, (team, kind))| {
            let usage = self.teams.get(team)?;
            let flow = match kind {
                FlowKind::Used => usage.own_used.per_second(now),
                FlowKind::Metered => usage.own.per_second(now),
            };
            Some((*tag, flow))
        });
        self.own_demand(now).chain(metered)
    }

    /// Demand and usage of each team in this region.
    pub fn region_flows(&self, now: Moment) -> impl Iterator<Item = TeamFlow> {
        let meters_usage = self.meters_usage();
        self.teams.iter().map(move |(tag, usage)| TeamFlow {
            team: *tag,
            demand: usage.region_demand(now),
            used: meters_usage.then(|| usage.region_used(now)),
        })
    }

    /// Last reported demand and usage of each team in another region.
    pub fn flows_of(&self, region: &RegionName) -> impl Iterator<Item = TeamFlow> {
        self.teams.iter().filter_map(|(tag, usage)| {
            let report = usage.remote.get(region)?;
            Some(TeamFlow {
                team: *tag,
                demand: report.rate,
                used: report.used,
            })
        })
    }

    fn meters_usage(&self) -> bool {
        self.settings.spend == QuotaSpend::ByImportance
    }

    /// Sets the sum of a flow of [`Self::own_flows`] at the other VMs of this region. Returns
    /// whether the tag is known.
    pub fn set_peer_flow(&mut self, now: Moment, tag: u32, flow: f64) -> bool {
        let Some((team, kind)) = self.flows.get(&tag) else {
            return self.set_peer_demand(now, tag, flow);
        };
        let Some(usage) = self.teams.get_mut(team) else {
            return false;
        };
        let flow = flow.clamp(0.0, MAX_DEMAND);
        match kind {
            FlowKind::Used => usage.peers_used = flow,
            FlowKind::Metered => usage.peers_metered = flow,
        }
        usage.settle(now, &self.settings, &self.peers);
        true
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

    /// Records the demand and usage of teams in another region, which were sent at `sent`. Teams that are not
    /// listed have no demand there.
    pub fn receive(&mut self, sent: Moment, region: &RegionName, flows: &[TeamFlow]) {
        for usage in self.teams.values_mut() {
            if let Some(latest) = usage.remote.get_mut(region)
                && latest.sent < sent
            {
                *latest = RemoteDemand {
                    rate: 0.0,
                    used: None,
                    sent,
                };
            }
        }
        for flow in flows {
            let Some(usage) = self.teams.get_mut(&flow.team) else {
                continue;
            };
            let report = RemoteDemand {
                rate: flow.demand.clamp(0.0, MAX_DEMAND),
                used: flow.used.map(|used| used.clamp(0.0, MAX_DEMAND)),
                sent,
            };
            let latest = usage.remote.entry(region.clone()).or_insert(report);
            if latest.sent <= sent {
                *latest = report;
            }
        }
    }

    /// Sets the teams of a configuration with their quotas, and drops all other teams.
    pub fn set_teams(&mut self, now: Moment, teams: impl IntoIterator<Item = (u32, QuotaLimit)>) {
        let mut previous = std::mem::take(&mut self.teams);
        self.flows.clear();
        for (team, limit) in teams {
            let known = previous.remove(&team);
            let mut usage =
                known.unwrap_or_else(|| TeamUsage::new(now, limit, &self.settings, &self.peers));
            usage.limit = limit;
            usage.settle(now, &self.settings, &self.peers);
            self.teams.insert(team, usage);
            let flows = FlowKind::ALL.map(|kind| (kind.tag(team), (team, kind)));
            self.flows.extend(flows);
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

#[cfg(test)]
mod tests;
