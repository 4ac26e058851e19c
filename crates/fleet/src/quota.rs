//! Limits of teams, held over all VMs together without asking anybody.
//!
//! Every VM meters what each team asks of it, and tells that rate by the overlay: to its
//! region within some 0.15 s, to other regions within some 0.6 s. A region keeps a bucket
//! for each team that drains by the region's part of the limit. While the bucket is low,
//! everything is admitted; once it is higher, requests are admitted by the chance at which
//! the region's part is used up, a little more often below the middle of the bucket and
//! less often above it. So a flood is cut to the limit by all VMs alike, and what a limit
//! allows is not refused because it came to few VMs.
//!
//! Invariant: the parts of all regions together are at most the limit and what the other
//! regions leave of it by their last word; regions that hear nothing of each other divide
//! it by what they last knew.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use onyxfall_policy::Moment;
use onyxfall_types::RegionName;
use rand::Rng;

use crate::flow::FlowMeter;
use crate::switches::QuotaWay;
use crate::team::QuotaLimit;

/// Time in which what a team asks for fades to a third. A flood of 4.2 times the limit is
/// measured to nine tenths after 1.1 s; half a second more would let 0.8 s of the limit
/// more through, half as much makes small teams' rates swing by half.
const DEMAND_FADE: Duration = Duration::from_millis(150);
/// Age up to which a region's word on a team counts as its demand of now. Words come each
/// 0.4 s, and need 0.2 s for their way.
const FRESH_WORD: Duration = Duration::from_millis(1500);
/// Age at which a region's last word on a team is forgotten: it asks for nothing.
const WORD_LIFE: Duration = Duration::from_mins(1);
/// Time in which a region's part of what is asked for becomes the usual one.
const PART_FADE: Duration = Duration::from_millis(500);
/// Part of a bucket that is always free of refusals.
const FREE_PART: f64 = 0.1;
/// Seconds of the limit that are kept in reserve for what others admit before a flood is
/// known: 3.2 times the limit too much for 0.4 s.
const RESERVE_S: f64 = 2.4;
/// Seconds of the limit above the free part at which a bucket begins of which nothing is
/// known: where all VMs lose power in a flood, it was about full.
const START_S: f64 = 1.5;
/// How often requests are admitted where refusals begin, relative to what uses the limit
/// up; none are where the bucket is full.
const FIRST_CHANCE: f64 = 1.25;
/// Least part of its region's VMs that a VM must hear to act for the whole region.
const MAJORITY: f64 = 0.5;
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
    pub way: QuotaWay,
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
            way: QuotaWay::Pooled,
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
        if self.way == QuotaWay::EqualParts {
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
    pub heard_part: f64,
    /// VMs of all regions, this one included.
    pub vms: usize,
    /// Regions, this one included.
    pub regions: usize,
}

impl Default for QuotaPeers {
    fn default() -> Self {
        Self {
            heard_part: 1.0,
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

/// What another region told of a team.
#[derive(Clone, Copy, Debug)]
struct FarDemand {
    rate: f64,
    said: Moment,
}

/// One team as this VM knows it.
#[derive(Clone, Debug)]
struct TeamUsage {
    limit: QuotaLimit,
    /// Units that are asked of this VM.
    own: FlowMeter,
    /// The same of the region's other VMs, in units a second.
    near: f64,
    far: BTreeMap<RegionName, FarDemand>,
    /// Units that the side has admitted and that have not drained.
    level: f64,
    /// The part of them that is not known, but may have been admitted before this process
    /// began. It drains first, and counts only while more than the limit is asked for:
    /// where all VMs are started anew, teams that keep to their limit lose nothing.
    assumed: f64,
    /// When the level was last worked out, and what held from then on.
    at: Moment,
    held: SideState,
    /// The region's part of the demand while all regions were heard.
    usual_part: f64,
    /// When it was last noted.
    part_at: Moment,
}

/// What holds between two looks at a team.
#[derive(Clone, Copy, Debug)]
struct SideState {
    side: QuotaSide,
    bucket: SideBucket,
    /// Chance at which requests are admitted.
    chance: f64,
}

impl SideState {
    fn new(limit: &QuotaLimit, settings: &QuotaSettings, side: QuotaSide, level: f64) -> Self {
        let bucket = SideBucket::new(limit, settings, &side);
        Self {
            side,
            bucket,
            chance: bucket.chance(level, side.demand),
        }
    }
}

impl TeamUsage {
    /// A team of which nothing is known: what it used before this process began may have
    /// filled its bucket.
    fn new(now: Moment, limit: QuotaLimit, settings: &QuotaSettings, peers: &QuotaPeers) -> Self {
        let level = settings.start_level(&limit);
        let side = QuotaSide::alone(&limit, 1, 0.0);
        Self {
            limit,
            own: FlowMeter::new(DEMAND_FADE),
            near: 0.0,
            far: BTreeMap::new(),
            level,
            assumed: level,
            at: now,
            held: SideState::new(&limit, settings, side, 0.0),
            usual_part: 1.0 / peers.regions.max(1) as f64,
            part_at: now,
        }
    }

    fn region_demand(&self, now: Moment) -> f64 {
        self.own.per_second(now) + self.near
    }

    fn far_demand(&self) -> f64 {
        self.far.values().map(|word| word.rate).sum()
    }

    /// Whether every region that asked for something was heard lately.
    fn hears_regions(&self, now: Moment) -> bool {
        let mut words = self.far.values();
        words.all(|word| now - word.said < FRESH_WORD || word.rate <= 0.0)
    }

    /// What this VM's side may use. A side that hears all others shares one bucket with
    /// them; one that does not has a part of its own, in the belief that the others use
    /// theirs.
    fn side(&mut self, now: Moment, peers: &QuotaPeers) -> QuotaSide {
        let limit = self.limit;
        let (near, far) = (self.region_demand(now), self.far_demand());
        let hears_regions = self.hears_regions(now);
        if hears_regions {
            self.note_part(now, near, far);
        }
        if hears_regions && peers.heard_part >= MAJORITY {
            return QuotaSide {
                rate: limit.rate,
                part: 1.0,
                demand: near + far,
                others: self.near + far,
            };
        }
        // What was usual may have moved: half of it, and half of an equal part.
        let equal = 1.0 / peers.regions.max(1) as f64;
        let region = f64::midpoint(self.usual_part, equal);
        let heard = if peers.heard_part < MAJORITY {
            peers.heard_part
        } else {
            1.0
        };
        QuotaSide {
            rate: limit.rate * region * heard,
            part: region * heard,
            demand: near,
            others: self.near,
        }
    }

    /// Notes the region's part of what is asked for.
    fn note_part(&mut self, now: Moment, near: f64, far: f64) {
        if near + far <= 0.0 {
            return;
        }
        let fade = (now - self.part_at).as_secs_f64() / PART_FADE.as_secs_f64();
        let seen = near / (near + far);
        self.usual_part = seen + (self.usual_part - seen) * (-fade).exp();
        self.part_at = now;
    }

    /// Lets time count: the bucket drains, and others have been admitted.
    fn settle(&mut self, now: Moment, settings: &QuotaSettings, peers: &QuotaPeers) {
        let seconds = (now - self.at).as_secs_f64();
        let others = self.held.side.others * self.held.chance;
        let drained = self.held.side.rate * seconds;
        self.level = (self.level + others * seconds - drained).max(0.0);
        self.assumed = (self.assumed - drained).clamp(0.0, self.level);
        self.at = now;
        let side = match settings.way {
            QuotaWay::Pooled => self.side(now, peers),
            QuotaWay::EqualParts => {
                QuotaSide::alone(&self.limit, peers.vms, self.own.per_second(now))
            }
        };
        let counted = if side.demand > side.rate {
            self.level
        } else {
            self.level - self.assumed
        };
        self.held = SideState::new(&self.limit, settings, side, counted);
    }
}

/// What a side, the VMs that hear each other, may use of a limit.
#[derive(Clone, Copy, Debug)]
struct QuotaSide {
    /// Units a second.
    rate: f64,
    /// The same as a part of the limit.
    part: f64,
    /// Units a second that are asked of the side.
    demand: f64,
    /// The same without this VM.
    others: f64,
}

impl QuotaSide {
    /// One of `count` VMs that share a limit equally and tell each other nothing.
    fn alone(limit: &QuotaLimit, count: usize, demand: f64) -> Self {
        let part = 1.0 / count.max(1) as f64;
        Self {
            rate: limit.rate * part,
            part,
            demand,
            others: 0.0,
        }
    }
}

/// The bucket of a side.
#[derive(Clone, Copy, Debug)]
struct SideBucket {
    rate: f64,
    /// Level up to which nothing is refused.
    free: f64,
    capacity: f64,
}

impl SideBucket {
    fn new(limit: &QuotaLimit, settings: &QuotaSettings, side: &QuotaSide) -> Self {
        let capacity = settings.capacity(limit) * side.part;
        let free = (capacity - RESERVE_S * side.rate).max(capacity * FREE_PART);
        Self {
            rate: side.rate,
            free,
            capacity,
        }
    }

    /// Chance at which a request is admitted.
    fn chance(&self, level: f64, demand: f64) -> f64 {
        if level < self.free {
            return 1.0;
        }
        let beyond = (self.capacity - self.free).max(f64::MIN_POSITIVE);
        let fill = ((level - self.free) / beyond).clamp(0.0, 1.0);
        let used_up = (self.rate / demand.max(f64::MIN_POSITIVE)).min(1.0);
        (used_up * FIRST_CHANCE * (1.0 - fill)).clamp(0.0, 1.0)
    }

    /// Seconds until a request of `cost` would be within the limit if nothing else came.
    /// Times as long as others that ask for the same take as well cost 0.004 to 0.014 of
    /// worth on two days with a flood: callers came back too late.
    fn wait(&self, level: f64, cost: f64) -> f64 {
        let too_much = (level + cost - self.free).max(cost);
        too_much / self.rate.max(f64::MIN_POSITIVE)
    }
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
    pub fn told_by(&self, region: &RegionName) -> impl Iterator<Item = (u32, f64)> {
        let teams = self.teams.iter();
        teams.filter_map(|(tag, usage)| Some((*tag, usage.far.get(region)?.rate)))
    }

    /// Sets what a team asks of the region's other VMs; whether the team is known.
    pub fn set_near(&mut self, now: Moment, team: u32, demand: f64) -> bool {
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
