//! Limits of teams, held over all VMs together without asking anybody.
//!
//! Every VM meters what each team asks of it, and tells that rate by the overlay: to its
//! region within some 0.15 s, to other regions within some 0.6 s. All VMs work out the same
//! bucket from it: it fills with what all are asked for, times the chance at which all
//! admit, and drains by the limit's rate. While the bucket is low, everything is admitted;
//! once it is higher, requests are admitted by the chance at which the limit is just used
//! up, a little more often where refusals begin and never where the bucket is full. So a
//! flood is cut to the limit by all VMs alike, and what a limit allows is not refused
//! because it came to few VMs.
//!
//! Invariant: regions that do not hear each other use parts of the limit that are together
//! no more than the whole, and so do VMs that hear less than half of their region.

mod side;
mod usage;

use std::collections::HashMap;
use std::time::Duration;

use onyxfall_policy::Moment;
use onyxfall_types::RegionName;
use rand::Rng;

use crate::switches::QuotaMode;
use crate::team::QuotaLimit;
use side::{QuotaSide, SideBucket, SideState};
use usage::{FarDemand, TeamUsage};

/// Age at which a region's last word on a team is forgotten: it asks for nothing.
const WORD_LIFE: Duration = Duration::from_mins(1);
/// Seconds of the limit above the free part at which a bucket begins of which nothing is
/// known: where all VMs lose power in a flood, it was about full.
const START_S: f64 = 1.5;
/// Bounds of the time after which a refused caller is told to come back, and its spread.
const RETRY_AFTER_RANGE: (f64, f64) = (0.2, 5.0);
const RETRY_AFTER_SPREAD: (f64, f64) = (0.75, 1.25);
/// Units a second that another VM is believed to be asked for at most.
const MOST_DEMAND: f64 = 1e12;

/// How exactly limits must be held: in any window, a team may use its rate over the
/// window and its burst, times one and `over`, and `slack` beside.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaSettings {
    /// How limits are divided.
    pub way: QuotaMode,
    /// Length of the window.
    pub window: Duration,
    /// Part of the limit that may be used beside it.
    pub over: f64,
    /// Units that may be used beside it.
    pub slack: f64,
}

impl Default for QuotaSettings {
    /// Nothing beside the limit.
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
    /// Units that may come at once, beside those that drain in the window.
    fn capacity(&self, limit: &QuotaLimit) -> f64 {
        let drained = limit.rate * self.window.as_secs_f64();
        limit.burst * (1.0 + self.over) + drained * self.over + self.slack
    }

    /// Where a bucket is taken to stand of which nothing is known.
    fn start_level(&self, limit: &QuotaLimit) -> f64 {
        if self.way == QuotaMode::EqualParts {
            return 0.0;
        }
        let side = QuotaSide::alone(limit, 1, 0.0);
        let bucket = SideBucket::new(limit, self, &side);
        bucket.capacity.min(bucket.free + START_S * limit.rate)
    }
}

/// The VMs that share limits with this one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaPeers {
    /// Part of the region's VMs that this one hears, itself included.
    pub reachable_share: f64,
    /// VMs of all regions, this one included.
    pub vms: usize,
    /// Regions, this one included.
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

/// Whether a request is within its team's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum QuotaDecision {
    /// It is, and is counted.
    Admitted,
    /// It is not.
    Refused {
        /// When one like it is expected to be admitted.
        retry_after: Duration,
        /// Units a second that the team asks of the VMs that hear each other.
        demand: f64,
        /// Units in their bucket.
        level: f64,
    },
}

/// What teams use, as this VM knows it.
#[derive(Clone, Debug, Default)]
pub struct QuotaTable {
    settings: QuotaSettings,
    peers: QuotaPeers,
    /// By the tag of the team's name.
    teams: HashMap<u32, TeamUsage>,
}

impl QuotaTable {
    /// Sets how exactly limits are held.
    pub fn set_settings(&mut self, settings: QuotaSettings) {
        self.settings = settings;
    }

    /// Sets who shares limits with this VM.
    pub fn set_peers(&mut self, peers: QuotaPeers) {
        self.peers = peers;
    }

    /// Decides whether a request of `cost` units is within its team's limit, and counts
    /// it if it is. A team that is not known has no limit.
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
        let SideState {
            side,
            bucket,
            chance,
        } = usage.held;
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
            demand: side.demand,
            level: usage.level,
        }
    }

    /// Gives back what a request counted that was admitted and never ran.
    pub fn give_back(&mut self, team: u32, cost: u64) {
        if let Some(usage) = self.teams.get_mut(&team) {
            usage.level = (usage.level - cost as f64).max(0.0);
        }
    }

    /// What each team asks of this VM: its tag, and units a second.
    pub fn own_demand(&self, now: Moment) -> impl Iterator<Item = (u32, f64)> {
        let teams = self.teams.iter();
        teams.map(move |(tag, usage)| (*tag, usage.own.per_second(now)))
    }

    /// What each team asks of the region, in units a second.
    pub fn region_demand(&self, now: Moment) -> impl Iterator<Item = (u32, f64)> {
        let teams = self.teams.iter();
        teams.map(move |(tag, usage)| (*tag, usage.region_demand(now)))
    }

    /// What another region last told of the teams.
    pub fn demand_of(&self, region: &RegionName) -> impl Iterator<Item = (u32, f64)> {
        let teams = self.teams.iter();
        teams.filter_map(|(tag, usage)| Some((*tag, usage.far.get(region)?.rate)))
    }

    /// Sets what a team asks of the region's other VMs; whether the team is known.
    pub fn set_peer_demand(&mut self, now: Moment, team: u32, demand: f64) -> bool {
        let Some(usage) = self.teams.get_mut(&team) else {
            return false;
        };
        usage.near = demand.clamp(0.0, MOST_DEMAND);
        usage.settle(now, &self.settings, &self.peers);
        true
    }

    /// Takes what another region asks for, as it said at `said`; teams that it does not
    /// name ask for nothing there.
    pub fn hear(&mut self, said: Moment, region: &RegionName, demands: &[(u32, f64)]) {
        for usage in self.teams.values_mut() {
            if let Some(word) = usage.far.get_mut(region)
                && word.said < said
            {
                *word = FarDemand { rate: 0.0, said };
            }
        }
        for (team, rate) in demands {
            let Some(usage) = self.teams.get_mut(team) else {
                continue;
            };
            let rate = rate.clamp(0.0, MOST_DEMAND);
            let word = usage
                .far
                .entry(region.clone())
                .or_insert(FarDemand { rate, said });
            if word.said <= said {
                *word = FarDemand { rate, said };
            }
        }
    }

    /// Makes the teams of a configuration known with their limits, and forgets the others.
    pub fn set_teams(&mut self, now: Moment, teams: impl IntoIterator<Item = (u32, QuotaLimit)>) {
        let mut before = std::mem::take(&mut self.teams);
        for (team, limit) in teams {
            let known = before.remove(&team);
            let mut usage =
                known.unwrap_or_else(|| TeamUsage::new(now, limit, &self.settings, &self.peers));
            usage.limit = limit;
            usage.settle(now, &self.settings, &self.peers);
            self.teams.insert(team, usage);
        }
    }

    /// Lets time count: buckets drain, and regions that have told nothing for long are
    /// forgotten.
    pub fn tick(&mut self, now: Moment) {
        for usage in self.teams.values_mut() {
            usage.far.retain(|_, word| now - word.said < WORD_LIFE);
            usage.settle(now, &self.settings, &self.peers);
        }
    }
}
