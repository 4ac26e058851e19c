//! One backend server as this VM sees it: its entry, its work, its faults.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use onyxfall_policy::{CircuitBreaker, Moment};
use onyxfall_types::{RegionName, VmName};

use crate::call::{CallNeeds, PromptSize};
use crate::cold::ColdShare;
use crate::record::{ServerPhase, ServerRecord};

/// Prompt tokens that a model server reads in a millisecond; from the users'
/// sheets. Slower servers are found by their answers ([`ServerState::slowness`]).
const READ_TOKENS_PER_MS: f64 = 112.0;
/// Time to a first token beside reading the prompt; measured on a calm day.
const FIRST_TOKEN_BASE: Duration = Duration::from_millis(60);
/// How long a prefix counts as kept; model servers drop what is unused longest,
/// and at the sheets' load their memory turns over in about ten seconds.
const PREFIX_LIFE: Duration = Duration::from_secs(10);
/// Prefixes remembered for one server.
const PREFIX_LIMIT: usize = 2048;
/// Weight of a new sample in running estimates.
const SAMPLE_GAIN: f64 = 0.15;
/// Bounds of the learned slowness.
const SLOWNESS_RANGE: (f64, f64) = (0.8, 20.0);
/// Pause after a server has said that it is full.
const FULL_PAUSE: Duration = Duration::from_millis(120);
/// Part of a model server's memory that admitted requests may fill.
const MEMORY_PART: f64 = 0.9;
/// Service time of a plain service before any answer.
const PLAIN_PRIOR: Duration = Duration::from_millis(30);

/// Time that a model server takes to read `tokens` of a prompt.
pub fn read_time(tokens: u64) -> Duration {
    Duration::from_secs_f64(tokens as f64 / READ_TOKENS_PER_MS / 1e3)
}

/// Work of one VM at one server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkShare {
    /// Requests under way.
    pub requests: u32,
    /// Prompt tokens not yet known to be read.
    pub unread: u64,
    /// Memory that the requests will hold, in tokens.
    pub memory: u64,
}

impl WorkShare {
    fn add(self, other: Self) -> Self {
        Self {
            requests: self.requests + other.requests,
            unread: self.unread + other.unread,
            memory: self.memory + other.memory,
        }
    }
}

/// How an attempt at a server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// It gave its whole answer.
    Succeeded,
    /// It answered with a failure of its own.
    Failed,
    /// It could not be reached, or broke off.
    Broken,
    /// It said that it was full.
    Shed,
    /// The caller left, or time ran out; says nothing of the server.
    Unknown,
}

#[derive(Clone, Copy, Debug)]
struct OpenAttempt {
    started: Moment,
    predicted: Duration,
    work: WorkShare,
    has_answered: bool,
}

/// State of one life of a server.
#[derive(Clone, Debug)]
pub struct ServerState {
    /// Its entry as last seen.
    pub record: ServerRecord,
    /// Its region.
    pub region: RegionName,
    cold_until: Moment,
    cold_share: ColdShare,
    gone: bool,
    full_until: Moment,
    circuit: CircuitBreaker,
    slowness: f64,
    service_ms: f64,
    open: BTreeMap<u64, OpenAttempt>,
    own: WorkShare,
    others: BTreeMap<VmName, WorkShare>,
    kept: HashMap<u64, Moment>,
}

impl ServerState {
    /// A server seen for the first time.
    pub fn new(now: Moment, record: ServerRecord, region: RegionName, cold_rate: f64) -> Self {
        Self {
            cold_until: now + record.cold_left,
            cold_share: ColdShare::new(now, cold_rate),
            record,
            region,
            gone: false,
            full_until: Moment::ZERO,
            circuit: CircuitBreaker::new(),
            slowness: 1.0,
            service_ms: PLAIN_PRIOR.as_secs_f64() * 1e3,
            open: BTreeMap::new(),
            own: WorkShare::default(),
            others: BTreeMap::new(),
            kept: HashMap::new(),
        }
    }

    /// Takes a newer entry of the same life.
    pub fn update(&mut self, now: Moment, record: ServerRecord) {
        if !record.cold_left.is_zero() {
            self.cold_until = self.cold_until.max(now + record.cold_left);
        }
        self.record = record;
    }

    /// Notes that it is cold for `left`.
    pub fn chill(&mut self, now: Moment, left: Duration) {
        self.cold_until = self.cold_until.max(now + left);
    }

    /// Notes that this life has ended.
    pub fn end_life(&mut self) {
        self.gone = true;
    }

    /// Whether this life has ended.
    pub fn is_gone(&self) -> bool {
        self.gone
    }

    /// Whether it bears only few requests.
    pub fn is_cold(&self, now: Moment) -> bool {
        now < self.cold_until
    }

    /// Whether its entry lets it have new work.
    pub fn takes_work(&self) -> bool {
        !self.gone && self.record.phase == ServerPhase::Ready
    }

    /// Whether its breaker lets an attempt pass.
    pub fn is_trusted(&self, now: Moment) -> bool {
        self.circuit.allows(now) && now >= self.full_until
    }

    /// The share of its rate while it is cold.
    pub fn cold_share(&mut self) -> &mut ColdShare {
        &mut self.cold_share
    }

    /// Requests under way from this VM.
    pub fn own_work(&self) -> WorkShare {
        self.own
    }

    /// Sets what another VM has under way there.
    pub fn set_others(&mut self, vm: &VmName, work: WorkShare) {
        if work == WorkShare::default() {
            self.others.remove(vm);
        } else {
            self.others.insert(vm.clone(), work);
        }
    }

    /// All work under way there, as far as known.
    pub fn work(&self) -> WorkShare {
        self.others.values().fold(self.own, |sum, w| sum.add(*w))
    }

    /// Whether another request fits.
    pub fn has_room(&self, needs: &CallNeeds) -> bool {
        let work = self.work();
        match needs.engine {
            None => work.requests < self.record.slots.saturating_mul(2),
            Some(engine) => {
                let room = MEMORY_PART * engine.memory_tokens as f64;
                work.requests < engine.slots
                    && (work.memory + needs.prompt.memory()) as f64 <= room.max(1.0)
            }
        }
    }

    /// Prompt tokens that it would have to read.
    pub fn unread_tokens(&self, now: Moment, prompt: &PromptSize) -> u64 {
        prompt.input.saturating_sub(self.kept_tokens(now, prompt))
    }

    /// Tokens of parts that others share and that it would have to read.
    pub fn unread_shared(&self, now: Moment, prompt: &PromptSize) -> u64 {
        let shared = prompt.shared_tokens();
        shared.saturating_sub(self.kept_tokens(now, prompt))
    }

    fn kept_tokens(&self, now: Moment, prompt: &PromptSize) -> u64 {
        prompt
            .prefixes()
            .take_while(|(key, _)| self.kept.get(key).is_some_and(|at| now - *at < PREFIX_LIFE))
            .map(|(_, tokens)| tokens)
            .last()
            .unwrap_or(0)
    }

    /// Expected time to the first byte of an answer.
    pub fn predict(&self, now: Moment, needs: &CallNeeds) -> Duration {
        let work = self.work();
        let ms = if needs.engine.is_some() {
            let unread = work.unread + self.unread_tokens(now, &needs.prompt);
            (FIRST_TOKEN_BASE + read_time(unread)).as_secs_f64() * 1e3
        } else {
            let slots = f64::from(self.record.slots.max(1));
            let turns = 1.0 + (f64::from(work.requests + 1) - slots).max(0.0) / slots;
            self.service_ms * turns
        };
        Duration::from_secs_f64(ms * self.slowness(now) / 1e3)
    }

    /// How many times slower than expected it answers; an attempt that is
    /// overdue counts at once.
    pub fn slowness(&self, now: Moment) -> f64 {
        let overdue = self
            .open
            .values()
            .next()
            .filter(|open| !open.has_answered)
            .map_or(0.0, |open| {
                (now - open.started).as_secs_f64() / open.predicted.as_secs_f64().max(1e-3)
            });
        // Up to three times the prediction is the usual spread of a busy batch.
        let overdue = if overdue > 3.0 { overdue / 3.0 } else { 0.0 };
        self.slowness
            .max(overdue)
            .clamp(SLOWNESS_RANGE.0, SLOWNESS_RANGE.1)
    }

    /// Notes that attempt `id` is sent.
    pub fn start(&mut self, now: Moment, id: u64, needs: &CallNeeds) {
        let predicted = self.predict(now, needs);
        let work = WorkShare {
            requests: 1,
            unread: self.unread_tokens(now, &needs.prompt),
            memory: needs.prompt.memory(),
        };
        if self.circuit.allows(now) {
            self.circuit.start(now);
        }
        self.own = self.own.add(work);
        let attempt = OpenAttempt {
            started: now,
            predicted,
            work,
            has_answered: false,
        };
        self.open.insert(id, attempt);
        self.keep(now, &needs.prompt);
    }

    /// Notes the first byte of attempt `id`.
    pub fn answer(&mut self, now: Moment, id: u64) {
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        if open.has_answered {
            return;
        }
        open.has_answered = true;
        self.own.unread -= open.work.unread;
        let (took, predicted) = (now - open.started, open.predicted);
        open.work.unread = 0;
        let ratio = took.as_secs_f64() / predicted.as_secs_f64().max(1e-3);
        let ratio = (ratio * self.slowness).clamp(SLOWNESS_RANGE.0, SLOWNESS_RANGE.1);
        self.slowness += SAMPLE_GAIN * (ratio - self.slowness);
        self.circuit.succeed();
    }

    /// Notes the end of attempt `id`.
    pub fn end(&mut self, now: Moment, id: u64, result: AttemptResult) {
        if let Some(open) = self.open.remove(&id) {
            self.own.requests -= open.work.requests;
            self.own.unread -= open.work.unread;
            self.own.memory -= open.work.memory;
        }
        match result {
            AttemptResult::Succeeded => {
                self.circuit.succeed();
            }
            AttemptResult::Failed => {
                self.circuit.fail(now);
            }
            AttemptResult::Broken => {
                self.circuit.fail(now);
                self.circuit.trip(now);
            }
            AttemptResult::Shed => {
                self.circuit.forget();
                self.full_until = now + FULL_PAUSE;
            }
            AttemptResult::Unknown => self.circuit.forget(),
        }
    }

    fn keep(&mut self, now: Moment, prompt: &PromptSize) {
        if self.kept.len() >= PREFIX_LIMIT {
            self.kept.retain(|_, at| now - *at < PREFIX_LIFE);
        }
        if self.kept.len() < PREFIX_LIMIT {
            self.kept
                .extend(prompt.prefixes().map(|(key, _)| (key, now)));
        }
    }
}
