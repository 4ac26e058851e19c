//! Simulation of VMs that perform a rollout in virtual time: requests, exchange of counts,
//! and a store of records.
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
/// Steps until the other VMs of the region have received a VM's counts.
const EXCHANGE_STEPS: usize = 4;
/// Steps until all VMs have received a change of the store.
const WATCH_STEPS: usize = 3;
pub const ROUTES: [&str; 3] = ["long", "short", "look"];
/// Share of failures on all servers, by route.
const BASELINE_FAILURES: [f64; 3] = [0.0, 0.004, 0.14];
/// Relative spread of the response times.
const SPREAD: f64 = 0.35;
/// Share of the responses that a load peak slows, and the factor on their time.
const PEAK_SHARE: f64 = 0.25;
const PEAK_FACTOR: f64 = 4.0;
/// Percentage of servers with a grey failure, of both versions in each region, and the share
/// of their responses that fail.
const GREY_PERCENT: usize = 8;
const GREY_FAILURES: f64 = 0.4;
const ORDER: u64 = 7;

/// Behaviour of the new version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum VersionKind {
    Good,
    /// A share of its responses are failures.
    Fails(f64),
    /// A share of its responses is slower by a factor.
    Slows(f64, f64),
    /// A share fails, on the last route only.
    FailsOnRoute(f64),
    /// A share fails, from a time on.
    FailsLate(f64, Duration),
    /// A share fails, once the version gets most of the requests.
    FailsUnderLoad(f64),
    /// A share fails, in the first region only.
    FailsInRegion(f64),
}

/// Load that slows the servers of both versions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ScenarioLoad {
    /// Nothing.
    Steady,
    /// From a time on, a quarter of all responses take four times as long.
    PeakFrom(Duration),
    /// The same in every other interval of this length.
    Peaks(Duration),
}

impl ScenarioLoad {
    fn is_peak(self, now: Duration) -> bool {
        match self {
            Self::Steady => false,
            Self::PeakFrom(from) => now >= from,
            Self::Peaks(length) => (now.as_millis() / length.as_millis()) % 2 == 1,
        }
    }
}

/// A time in which servers of both versions send nothing.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Silence {
    pub from: Duration,
    pub to: Duration,
    /// Time that callers allow.
    pub allowed: Duration,
}

/// Time from which VMs take the servers for silent.
const SILENCE_OBSERVED: Duration = Duration::from_millis(450);

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutScenario {
    pub kind: VersionKind,
    pub seed: u64,
    /// Requests per second of the service.
    pub rate: f64,
    pub time: Duration,
    /// Whether some servers of both versions have grey failures.
    pub has_grey: bool,
    pub servers: usize,
    pub load: ScenarioLoad,
    pub silence: Option<Silence>,
}

impl RolloutScenario {
    pub fn new(kind: VersionKind, seed: u64) -> Self {
        Self {
            kind,
            seed,
            rate: 300.0,
            time: Duration::from_secs(12),
            has_grey: false,
            servers: 30,
            load: ScenarioLoad::Steady,
            silence: None,
        }
    }
}

/// Fault of the VMs or of the store during the rollout.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TestFault {
    None,
    /// VMs that write records are killed every second, and restart.
    WritersKilled,
    /// The store is unreachable for a time.
    StoreDown(Duration, Duration),
    /// All VMs restart at a moment.
    PowerLoss(Duration),
    /// The second region is partitioned from the store and the other region for a time.
    RegionCut(Duration, Duration),
    /// The order is withdrawn at a moment.
    Withdrawn(Duration),
    /// Servers of the new version never start.
    NoServers,
}

#[derive(Clone, Debug, Default)]
pub struct ScenarioResult {
    pub requests: usize,
    pub exposed: usize,
    pub state: Option<RolloutState>,
    pub ended: Option<Duration>,
    /// Time of the fiftieth response that was bad because of the version.
    pub fiftieth: Option<Duration>,
    /// Requests that went to the new version more than a second after that.
    pub late: usize,
    /// Requests that went to the new version after the VMs had received the record that
    /// aborted it.
    pub after_end: usize,
    /// Requests that went to old servers after the record was completed.
    pub to_stopped: usize,
    /// Final states that were written; more than one is a contradiction.
    pub ends: Vec<RolloutState>,
}

impl ScenarioResult {
    pub fn exposed_share(&self) -> f64 {
        self.exposed as f64 / self.requests.max(1) as f64
    }
}

/// An outcome of a request during a silence.
struct DelayedOutcome {
    at: Duration,
    vm: usize,
    route: usize,
    side: VersionSide,
    instance: u64,
    is_answered: bool,
    /// Whether its caller's time was over while the servers were known to be silent.
    is_unanswered: bool,
}

struct Vm {
    table: RolloutTable,
    region: usize,
    started: Duration,
    /// Number of store changes that the VM has applied.
    applied: usize,
}

enum Change {
    Record(RolloutRecord),
    Shift(RegionName, u64),
    Withdrawn,
}

pub struct RolloutSimulation {
    scenario: RolloutScenario,
    fault: TestFault,
    rng: StdRng,
    vms: Vec<Vm>,
    /// Store changes with their revision and step.
    changes: Vec<(u64, usize, Change)>,
    step: usize,
    bad: usize,
    result: ScenarioResult,
    sent: Vec<Vec<BTreeMap<u32, EvidenceCounts>>>,
    grey: Vec<bool>,
    record: Option<(u64, RolloutRecord)>,
    marks: BTreeMap<RegionName, u64>,
    delayed: Vec<DelayedOutcome>,
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

/// Draws the servers with grey failures: the same number for both versions, since a version
/// with more of them is worse.
fn draw_grey(scenario: &RolloutScenario, rng: &mut StdRng) -> Vec<bool> {
    let mut grey = vec![false; scenario.servers * 2 * REGIONS];
    let count = scenario.servers * GREY_PERCENT / 100;
    let count = if scenario.has_grey { count } else { 0 };
    for side in grey.chunks_mut(scenario.servers) {
        for server in rand::seq::index::sample(rng, side.len(), count) {
            side[server] = true;
        }
    }
    grey
}

impl RolloutSimulation {
    pub fn new(scenario: RolloutScenario, fault: TestFault) -> Self {
        let mut rng = StdRng::seed_from_u64(scenario.seed);
        let grey = draw_grey(&scenario, &mut rng);
        let mut simulation = Self {
            scenario,
            fault,
            rng,
            vms: Vec::new(),
            changes: Vec::new(),
            step: 0,
            bad: 0,
            result: ScenarioResult::default(),
            sent: Vec::new(),
            grey,
            record: None,
            marks: BTreeMap::new(),
            delayed: Vec::new(),
        };
        for number in 0..VMS {
            let vm = simulation.start_vm(number % REGIONS);
            simulation.vms.push(vm);
        }
        simulation
    }

    fn now(&self) -> Duration {
        STEP * u32::try_from(self.step).unwrap()
    }

    fn start_vm(&self, at: usize) -> Vm {
        let started = self.now();
        let mut table = RolloutTable::new(region(at), started);
        let is_first = self.step == 0;
        // A VM that started before the order has a process age of 10 s.
        let seen = Moment::from_duration(if is_first {
            Duration::from_secs(10)
        } else {
            Duration::ZERO
        });
        if !matches!(self.fault, TestFault::Withdrawn(at) if self.now() >= at) {
            table.apply_order(seen, ORDER, order(self.scenario.time));
        }
        let routes: Vec<RouteName> = ROUTES.iter().map(|route| route.parse().unwrap()).collect();
        table.set_routes(&service(), &routes, Duration::from_secs(3));
        Vm {
            table,
            region: at,
            started: if is_first { Duration::ZERO } else { started },
            applied: 0,
        }
    }

    fn moment(&self, vm: usize) -> Moment {
        let vm = &self.vms[vm];
        let lead = if vm.started.is_zero() {
            Duration::from_secs(10)
        } else {
            Duration::ZERO
        };
        Moment::from_duration(self.now().saturating_sub(vm.started) + lead)
    }

    /// Runs for a quarter longer than the order's time.
    pub fn run(mut self) -> ScenarioResult {
        while self.now() < self.scenario.time.mul_f64(1.25) {
            self.inject_fault();
            for vm in 0..VMS {
                self.receive(vm);
                self.serve(vm);
            }
            self.note_delayed();
            self.exchange_counts();
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

    fn inject_fault(&mut self) {
        let now = self.now();
        match self.fault {
            TestFault::WritersKilled if self.step.is_multiple_of(20) && self.step > 0 => {
                for number in 0..REGIONS {
                    self.vms[number] = self.start_vm(number % REGIONS);
                }
            }
            TestFault::PowerLoss(at) if now >= at && now < at + STEP => {
                for number in 0..VMS {
                    self.vms[number] = self.start_vm(number % REGIONS);
                }
                self.sent.clear();
            }
            TestFault::Withdrawn(at) if now >= at && now < at + STEP => {
                self.changes.push((0, self.step, Change::Withdrawn));
            }
            _ => {}
        }
    }

    fn is_cut(&self, vm: usize) -> bool {
        let now = self.now();
        match self.fault {
            TestFault::StoreDown(from, to) => (from..to).contains(&now),
            TestFault::RegionCut(from, to) => self.vms[vm].region == 1 && (from..to).contains(&now),
            _ => false,
        }
    }

    fn receive(&mut self, vm: usize) {
        if self.is_cut(vm) {
            return;
        }
        let now = self.moment(vm);
        let ready = self.step.saturating_sub(WATCH_STEPS);
        while let Some((revision, step, change)) = self.changes.get(self.vms[vm].applied) {
            if *step > ready && self.step >= WATCH_STEPS {
                break;
            }
            let table = &mut self.vms[vm].table;
            match change {
                Change::Record(record) => {
                    table.apply_record(now, &service(), *revision, record.clone());
                }
                Change::Shift(region, order) => {
                    table.apply_shift(now, &service(), region.clone(), *order, *revision);
                }
                Change::Withdrawn => table.withdraw(&service()),
            }
            self.vms[vm].applied += 1;
        }
    }

    fn serve(&mut self, vm: usize) {
        let mean = self.scenario.rate * STEP.as_secs_f64() / VMS as f64;
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
            if self.fault == TestFault::NoServers {
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
        let has_most =
            matches!(phase, Some(RolloutPhase::Shifting { new_part, .. }) if new_part > 0.4);
        self.respond(vm, side, usual == VersionSide::Old, has_most);
    }

    fn respond(&mut self, vm: usize, side: VersionSide, is_canary: bool, has_most: bool) {
        let route = self.rng.random_range(0..ROUTES.len());
        let region = self.vms[vm].region;
        let among = if side == VersionSide::New && is_canary {
            6.max(self.scenario.servers.div_ceil(20))
                .min(self.scenario.servers)
        } else {
            self.scenario.servers
        };
        let number = self.rng.random_range(0..among);
        let is_new = usize::from(side == VersionSide::New);
        let server = (region * 2 + is_new) * self.scenario.servers + number;
        let instance = server as u64 * 0x9e37_79b9 + 11;
        let at = self.now();
        let silence = self.scenario.silence;
        if let Some(silence) = silence.filter(|it| (it.from..it.to).contains(&at)) {
            let given_up = at + silence.allowed;
            self.delayed.push(DelayedOutcome {
                at: given_up.min(silence.to),
                vm,
                route,
                side,
                instance,
                is_answered: silence.to <= given_up,
                is_unanswered: (silence.from + SILENCE_OBSERVED..silence.to).contains(&given_up),
            });
            return;
        }
        let mut failures = BASELINE_FAILURES[route];
        if self.grey[server] {
            failures += GREY_FAILURES;
        }
        let spread: f64 = (0..4).map(|_| self.rng.random::<f64>()).sum::<f64>() / 2.0 - 1.0;
        let mut ratio = (1.0 + spread * SPREAD).max(0.3);
        let mut is_bad = false;
        if self.scenario.load.is_peak(self.now()) && self.rng.random_bool(PEAK_SHARE) {
            ratio *= PEAK_FACTOR;
        }
        if side == VersionSide::New {
            let draw = |share: f64, rng: &mut StdRng| rng.random_bool(share);
            let now = self.now();
            let rng = &mut self.rng;
            let fails = match self.scenario.kind {
                VersionKind::Good | VersionKind::Slows(..) => false,
                VersionKind::Fails(share) => draw(share, rng),
                VersionKind::FailsOnRoute(share) => route == 2 && draw(share, rng),
                VersionKind::FailsLate(share, from) => now >= from && draw(share, rng),
                VersionKind::FailsUnderLoad(share) => has_most && draw(share, rng),
                VersionKind::FailsInRegion(share) => region == 0 && draw(share, rng),
            };
            if let VersionKind::Slows(share, factor) = self.scenario.kind
                && draw(share, rng)
            {
                ratio *= factor;
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
            // The times of servers that have just started are not used: they are slow.
            let is_warm = side == VersionSide::Old || self.now() >= Duration::from_secs(3);
            ResponseOutcome::Succeeded {
                ratio: is_warm.then_some(ratio),
            }
        };
        let table = &mut self.vms[vm].table;
        table.note(&service(), ROUTES[route], side, instance, outcome);
    }

    /// Notes the outcomes of requests that ended during or with a silence.
    fn note_delayed(&mut self) {
        let now = self.now();
        let delayed = std::mem::take(&mut self.delayed);
        let (due, later) = delayed.into_iter().partition(|it| it.at <= now);
        self.delayed = later;
        for outcome in due {
            let moment = self.moment(outcome.vm);
            let table = &mut self.vms[outcome.vm].table;
            let (side, instance) = (outcome.side, outcome.instance);
            let route = ROUTES[outcome.route];
            if outcome.is_unanswered {
                table.note_unanswered(moment, &service(), route, side, instance);
                continue;
            }
            let result = if outcome.is_answered {
                ResponseOutcome::Succeeded { ratio: Some(1.0) }
            } else {
                ResponseOutcome::Failed
            };
            table.note(&service(), route, side, instance, result);
        }
        let Some(silence) = self.scenario.silence else {
            return;
        };
        for vm in 0..VMS {
            let moment = self.moment(vm);
            let end = (now >= silence.to).then_some(moment);
            self.vms[vm].table.settle_unanswered(moment, |_| end);
        }
    }

    /// Sends the counts within each region.
    fn exchange_counts(&mut self) {
        let own: Vec<BTreeMap<u32, EvidenceCounts>> = self
            .vms
            .iter()
            .map(|vm| vm.table.own_evidence().map(|(t, c)| (t.0, c)).collect())
            .collect();
        self.sent.push(own);
        if self.sent.len() < EXCHANGE_STEPS {
            return;
        }
        let received = self.sent.remove(0);
        for to in 0..VMS {
            let mut sums: BTreeMap<u32, EvidenceCounts> = BTreeMap::new();
            for from in (0..VMS).filter(|from| *from != to) {
                if self.vms[from].region == self.vms[to].region {
                    for (tag, counts) in &received[from] {
                        let sum = sums.entry(*tag).or_default();
                        *sum = sum.plus(*counts);
                    }
                }
            }
            for (tag, counts) in sums {
                self.vms[to].table.set_regional(EvidenceTag(tag), counts);
            }
        }
        self.exchange_regions();
    }

    /// Sends the counts of each region to the others, from its first VM.
    fn exchange_regions(&mut self) {
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
        let new = if self.fault == TestFault::NoServers {
            0
        } else {
            self.scenario.servers
        };
        let counts = ServerCounts {
            old: self.scenario.servers,
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
                self.apply_write(write);
            }
        }
    }

    fn apply_write(&mut self, write: RolloutWrite) {
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

pub fn simulate(scenario: RolloutScenario, fault: TestFault) -> ScenarioResult {
    RolloutSimulation::new(scenario, fault).run()
}
