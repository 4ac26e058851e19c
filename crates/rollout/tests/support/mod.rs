//! VMs that carry out roll-outs in virtual time: requests, counts that they tell each
//! other, and a store of records.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::time::Duration;

use onyxfall_policy::Moment;
use onyxfall_rollout::{
    EvidenceCounts, EvidenceTag, ResponseOutcome, RolloutOrder, RolloutPhase, RolloutRecord,
    RolloutState, RolloutTable, RolloutWrite, ServerCounts, StoreWriter, VersionSide,
};
use onyxfall_types::{RegionName, RouteName, ServiceName};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

pub const STEP: Duration = Duration::from_millis(50);
/// Time until what one VM has counted is known to the others of its region.
const TELL_STEPS: usize = 4;
/// Time until a change of the store is known to all VMs.
const WATCH_STEPS: usize = 3;
pub const ROUTES: [&str; 3] = ["long", "short", "look"];
/// Failures that all servers bring, by route.
const USUAL_FAILURES: [f64; 3] = [0.0, 0.004, 0.14];
/// Answers that take half as long again as usual, or more, by the spread of the load.
const SPREAD: f64 = 0.35;
/// Part of the answers that a rush slows, and how many times as long they take.
const RUSH_PART: f64 = 0.25;
const RUSH_TIMES: f64 = 4.0;
/// Percent of the servers that fail by themselves, of both versions in each region, and
/// part of their answers that do.
const GREY_PERCENT: usize = 8;
const GREY_FAILURES: f64 = 0.4;
const ORDER: u64 = 7;

/// How a version is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum VersionKind {
    Good,
    /// Part of its answers are failures.
    Fails(f64),
    /// Part of its answers take so many times as long.
    Slows(f64, f64),
    /// The same on the last route only.
    FailsOnRoute(f64),
    /// The same from a time on.
    FailsLate(f64, Duration),
    /// The same once it gets most of the requests.
    FailsUnderLoad(f64),
    /// The same in the first region only.
    FailsInRegion(f64),
}

/// What slows the servers of both versions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PlayLoad {
    /// Nothing.
    Steady,
    /// From a time on a quarter of all answers take four times as long.
    RushFrom(Duration),
    /// The same in every other spell of such a length.
    Spells(Duration),
}

impl PlayLoad {
    fn is_rush(self, now: Duration) -> bool {
        match self {
            Self::Steady => false,
            Self::RushFrom(from) => now >= from,
            Self::Spells(length) => (now.as_millis() / length.as_millis()) % 2 == 1,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutPlay {
    pub kind: VersionKind,
    pub seed: u64,
    /// Requests a second of the service.
    pub rate: f64,
    pub time: Duration,
    /// Whether servers of both versions fail by themselves.
    pub has_grey: bool,
    pub servers: usize,
    pub load: PlayLoad,
}

impl RolloutPlay {
    pub fn new(kind: VersionKind, seed: u64) -> Self {
        Self {
            kind,
            seed,
            rate: 300.0,
            time: Duration::from_secs(12),
            has_grey: false,
            servers: 30,
            load: PlayLoad::Steady,
        }
    }
}

/// What happens to the VMs and the store on the way.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PlayFault {
    None,
    /// VMs that write records are killed each second, and start anew.
    WritersKilled,
    /// The store takes and tells nothing.
    StoreDown(Duration, Duration),
    /// All VMs start anew at a moment.
    PowerLoss(Duration),
    /// The second region neither hears the store nor writes.
    RegionCut(Duration, Duration),
    /// The order is taken back.
    Withdrawn(Duration),
    /// Servers of the new version never come.
    NoServers,
}

#[derive(Clone, Debug, Default)]
pub struct PlayResult {
    pub requests: usize,
    pub exposed: usize,
    pub state: Option<RolloutState>,
    pub ended: Option<Duration>,
    /// Time of the fiftieth answer that was bad because of the version.
    pub fiftieth: Option<Duration>,
    /// Requests that went to the new version more than a second after that.
    pub late: usize,
    /// Requests that went to the new version after the record had given it up, and was
    /// known.
    pub after_end: usize,
    /// Requests that went to old servers after the record had said that they stop.
    pub to_stopped: usize,
    /// Ends that were written; more than one is a contradiction.
    pub ends: Vec<RolloutState>,
}

impl PlayResult {
    pub fn exposed_part(&self) -> f64 {
        self.exposed as f64 / self.requests.max(1) as f64
    }
}

struct Vm {
    table: RolloutTable,
    region: usize,
    born: Duration,
    /// Changes of the store that it has heard.
    heard: usize,
}

enum Change {
    Record(RolloutRecord),
    Shift(RegionName, u64),
    Withdrawn,
}

pub struct RolloutWorld {
    play: RolloutPlay,
    fault: PlayFault,
    rng: StdRng,
    vms: Vec<Vm>,
    /// Changes with their revision and step.
    changes: Vec<(u64, usize, Change)>,
    step: usize,
    bad: usize,
    result: PlayResult,
    told: Vec<Vec<BTreeMap<u32, EvidenceCounts>>>,
    grey: Vec<bool>,
    record: Option<(u64, RolloutRecord)>,
    marks: BTreeMap<RegionName, u64>,
}

pub const VMS: usize = 8;
const REGIONS: usize = 2;

fn service() -> ServiceName {
    "svc".parse().unwrap()
}

fn region(number: usize) -> RegionName {
    format!("r{number}").parse().unwrap()
}

fn order(time: Duration) -> RolloutOrder {
    RolloutOrder {
        service: service(),
        target: "v2".parse().unwrap(),
        time,
    }
}

/// Which servers fail by themselves: as many of either version, since a version with more
/// of them is worse.
fn draw_grey(play: &RolloutPlay, rng: &mut StdRng) -> Vec<bool> {
    let mut grey = vec![false; play.servers * 2 * REGIONS];
    let count = play.servers * GREY_PERCENT / 100;
    let count = if play.has_grey { count } else { 0 };
    for side in grey.chunks_mut(play.servers) {
        for server in rand::seq::index::sample(rng, side.len(), count) {
            side[server] = true;
        }
    }
    grey
}

impl RolloutWorld {
    pub fn new(play: RolloutPlay, fault: PlayFault) -> Self {
        let mut rng = StdRng::seed_from_u64(play.seed);
        let grey = draw_grey(&play, &mut rng);
        let mut world = Self {
            play,
            fault,
            rng,
            vms: Vec::new(),
            changes: Vec::new(),
            step: 0,
            bad: 0,
            result: PlayResult::default(),
            told: Vec::new(),
            grey,
            record: None,
            marks: BTreeMap::new(),
        };
        for number in 0..VMS {
            let vm = world.start_vm(number % REGIONS);
            world.vms.push(vm);
        }
        world
    }

    fn now(&self) -> Duration {
        STEP * u32::try_from(self.step).unwrap()
    }

    fn start_vm(&self, at: usize) -> Vm {
        let born = self.now();
        let mut table = RolloutTable::new(region(at), born);
        let is_first = self.step == 0;
        // A VM that was there before the order is not young.
        let seen = Moment::from_duration(if is_first {
            Duration::from_secs(10)
        } else {
            Duration::ZERO
        });
        if !matches!(self.fault, PlayFault::Withdrawn(at) if self.now() >= at) {
            table.take_order(seen, ORDER, order(self.play.time));
        }
        let routes: Vec<RouteName> = ROUTES.iter().map(|route| route.parse().unwrap()).collect();
        table.set_routes(&service(), &routes, Duration::from_secs(3));
        Vm {
            table,
            region: at,
            born: if is_first { Duration::ZERO } else { born },
            heard: 0,
        }
    }

    fn moment(&self, vm: usize) -> Moment {
        let vm = &self.vms[vm];
        let lead = if vm.born.is_zero() {
            Duration::from_secs(10)
        } else {
            Duration::ZERO
        };
        Moment::from_duration(self.now().saturating_sub(vm.born) + lead)
    }

    /// Plays a quarter longer than the order's time.
    pub fn run(mut self) -> PlayResult {
        while self.now() < self.play.time.mul_f64(1.25) {
            self.break_things();
            for vm in 0..VMS {
                self.hear(vm);
                self.serve(vm);
            }
            self.tell();
            for vm in 0..VMS {
                let now = self.moment(vm);
                self.vms[vm].table.judge(now);
            }
            self.write();
            self.step += 1;
        }
        self.result.state = self.record.as_ref().map(|(_, record)| record.state);
        self.result
    }

    fn break_things(&mut self) {
        let now = self.now();
        match self.fault {
            PlayFault::WritersKilled if self.step.is_multiple_of(20) && self.step > 0 => {
                for number in 0..REGIONS {
                    self.vms[number] = self.start_vm(number % REGIONS);
                }
            }
            PlayFault::PowerLoss(at) if now >= at && now < at + STEP => {
                for number in 0..VMS {
                    self.vms[number] = self.start_vm(number % REGIONS);
                }
                self.told.clear();
            }
            PlayFault::Withdrawn(at) if now >= at && now < at + STEP => {
                self.changes.push((0, self.step, Change::Withdrawn));
            }
            _ => {}
        }
    }

    fn is_cut(&self, vm: usize) -> bool {
        let now = self.now();
        match self.fault {
            PlayFault::StoreDown(from, to) => (from..to).contains(&now),
            PlayFault::RegionCut(from, to) => self.vms[vm].region == 1 && (from..to).contains(&now),
            _ => false,
        }
    }

    fn hear(&mut self, vm: usize) {
        if self.is_cut(vm) {
            return;
        }
        let now = self.moment(vm);
        let ready = self.step.saturating_sub(WATCH_STEPS);
        while let Some((revision, step, change)) = self.changes.get(self.vms[vm].heard) {
            if *step > ready && self.step >= WATCH_STEPS {
                break;
            }
            let table = &mut self.vms[vm].table;
            match change {
                Change::Record(record) => {
                    table.take_record(now, &service(), *revision, record.clone());
                }
                Change::Shift(region, order) => {
                    table.take_shift(now, &service(), region.clone(), *order, *revision);
                }
                Change::Withdrawn => table.withdraw(&service()),
            }
            self.vms[vm].heard += 1;
        }
    }

    fn serve(&mut self, vm: usize) {
        let mean = self.play.rate * STEP.as_secs_f64() / VMS as f64;
        let mut left = mean;
        while left > 0.0 {
            if left >= 1.0 || self.rng.random_bool(left) {
                self.request(vm);
            }
            left -= 1.0;
        }
    }

    fn request(&mut self, vm: usize) {
        let now = self.moment(vm);
        let at = self.now();
        self.result.requests += 1;
        let phase = self.vms[vm].table.phase(now, &service());
        let rng = &mut self.rng;
        let other = self.vms[vm].table.other_side(now, &service(), rng);
        let usual = match phase {
            Some(RolloutPhase::Shifting { .. } | RolloutPhase::Completed) => VersionSide::New,
            _ => VersionSide::Old,
        };
        let side = other.unwrap_or(usual);
        if side == VersionSide::New && usual == VersionSide::Old {
            if self.fault == PlayFault::NoServers {
                return;
            }
            self.vms[vm].table.claim_canary(&service());
        }
        let state = self.record.as_ref().map(|(_, record)| record.state);
        if side == VersionSide::New && state != Some(RolloutState::Completed) {
            self.result.exposed += 1;
            let known = self.result.ended.map(|ended| ended + STEP * 4);
            let is_cut = self.is_cut(vm);
            if state == Some(RolloutState::RolledBack) && known.is_some_and(|k| at >= k) && !is_cut
            {
                self.result.after_end += 1;
            }
            let fiftieth = self.result.fiftieth;
            if fiftieth.is_some_and(|time| at > time + Duration::from_secs(1)) && !is_cut {
                self.result.late += 1;
            }
        }
        if side == VersionSide::Old && state == Some(RolloutState::Completed) {
            self.result.to_stopped += 1;
        }
        let is_most =
            matches!(phase, Some(RolloutPhase::Shifting { new_part, .. }) if new_part > 0.4);
        self.answer(vm, side, usual == VersionSide::Old, is_most);
    }

    fn answer(&mut self, vm: usize, side: VersionSide, is_sample: bool, is_most: bool) {
        let route = self.rng.random_range(0..ROUTES.len());
        let region = self.vms[vm].region;
        let among = if side == VersionSide::New && is_sample {
            6.max(self.play.servers.div_ceil(20)).min(self.play.servers)
        } else {
            self.play.servers
        };
        let number = self.rng.random_range(0..among);
        let is_new = usize::from(side == VersionSide::New);
        let server = (region * 2 + is_new) * self.play.servers + number;
        let mut failures = USUAL_FAILURES[route];
        if self.grey[server] {
            failures += GREY_FAILURES;
        }
        let spread: f64 = (0..4).map(|_| self.rng.random::<f64>()).sum::<f64>() / 2.0 - 1.0;
        let mut ratio = (1.0 + spread * SPREAD).max(0.3);
        let mut is_bad = false;
        if self.play.load.is_rush(self.now()) && self.rng.random_bool(RUSH_PART) {
            ratio *= RUSH_TIMES;
        }
        if side == VersionSide::New {
            let draw = |part: f64, rng: &mut StdRng| rng.random_bool(part);
            let now = self.now();
            let rng = &mut self.rng;
            let fails = match self.play.kind {
                VersionKind::Good | VersionKind::Slows(..) => false,
                VersionKind::Fails(part) => draw(part, rng),
                VersionKind::FailsOnRoute(part) => route == 2 && draw(part, rng),
                VersionKind::FailsLate(part, from) => now >= from && draw(part, rng),
                VersionKind::FailsUnderLoad(part) => is_most && draw(part, rng),
                VersionKind::FailsInRegion(part) => region == 0 && draw(part, rng),
            };
            if let VersionKind::Slows(part, times) = self.play.kind
                && draw(part, rng)
            {
                ratio *= times;
                is_bad = true;
            }
            if fails {
                failures = 1.0;
                is_bad = true;
            }
        }
        if is_bad {
            self.bad += 1;
            if self.bad == 50 {
                self.result.fiftieth = Some(self.now());
            }
        }
        let outcome = if self.rng.random_bool(failures.min(1.0)) {
            ResponseOutcome::Failed
        } else {
            // Servers that have just started are slow, and say nothing.
            let is_warm = side == VersionSide::Old || self.now() >= Duration::from_secs(3);
            ResponseOutcome::Succeeded {
                ratio: is_warm.then_some(ratio),
            }
        };
        let life = server as u64 * 0x9e37_79b9 + 11;
        let table = &mut self.vms[vm].table;
        table.note(&service(), ROUTES[route], side, life, outcome);
    }

    /// Tells the counts within each region.
    fn tell(&mut self) {
        let own: Vec<BTreeMap<u32, EvidenceCounts>> = self
            .vms
            .iter()
            .map(|vm| vm.table.own_evidence().map(|(t, c)| (t.0, c)).collect())
            .collect();
        self.told.push(own);
        if self.told.len() < TELL_STEPS {
            return;
        }
        let told = self.told.remove(0);
        for to in 0..VMS {
            let mut sums: BTreeMap<u32, EvidenceCounts> = BTreeMap::new();
            for from in (0..VMS).filter(|from| *from != to) {
                if self.vms[from].region == self.vms[to].region {
                    for (tag, counts) in &told[from] {
                        let sum = sums.entry(*tag).or_default();
                        *sum = sum.plus(*counts);
                    }
                }
            }
            for (tag, counts) in sums {
                self.vms[to].table.set_regional(EvidenceTag(tag), counts);
            }
        }
        self.tell_regions();
    }

    /// Tells the counts of each region to the others, by its first VM.
    fn tell_regions(&mut self) {
        for from in 0..REGIONS {
            let counts: Vec<_> = self.vms[from].table.region_evidence().collect();
            for to in 0..VMS {
                if self.vms[to].region == from || self.is_cut(to) || self.is_cut(from) {
                    continue;
                }
                for (tag, counts) in &counts {
                    self.vms[to].table.set_far(&region(from), *tag, *counts);
                }
            }
        }
    }

    fn write(&mut self) {
        let new = if self.fault == PlayFault::NoServers {
            0
        } else {
            self.play.servers
        };
        let counts = ServerCounts {
            old: self.play.servers,
            new,
        };
        let servers: BTreeMap<_, _> = (0..REGIONS).map(|n| (region(n), counts)).collect();
        // The first two VMs of each region write.
        for vm in 0..REGIONS * 2 {
            if self.is_cut(vm) {
                continue;
            }
            let now = self.moment(vm);
            let writer = StoreWriter {
                rank: u32::try_from(vm).unwrap(),
                near_rank: u32::try_from(vm / REGIONS).unwrap(),
            };
            let table = &mut self.vms[vm].table;
            for write in table.due_writes(now, writer, |_, _| servers.clone()) {
                self.take_write(write);
            }
        }
    }

    fn take_write(&mut self, write: RolloutWrite) {
        let revision = 100 + self.changes.len() as u64;
        match write {
            RolloutWrite::Record {
                expected, record, ..
            } => {
                if self.record.as_ref().map_or(0, |(at, _)| *at) != expected {
                    return;
                }
                if record.state != RolloutState::Running {
                    self.result.ended.get_or_insert(self.now());
                    self.result.ends.push(record.state);
                }
                self.record = Some((revision, record.clone()));
                self.changes
                    .push((revision, self.step, Change::Record(record)));
            }
            RolloutWrite::Shift {
                region,
                expected,
                order,
                ..
            } => {
                if self.marks.get(&region).copied().unwrap_or(0) != expected {
                    return;
                }
                self.marks.insert(region.clone(), revision);
                self.changes
                    .push((revision, self.step, Change::Shift(region, order)));
            }
        }
    }
}

pub fn play(play: RolloutPlay, fault: PlayFault) -> PlayResult {
    RolloutWorld::new(play, fault).run()
}
