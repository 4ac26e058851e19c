//! One backend server as this VM sees it: its entry, its work, its faults.

use std::collections::BTreeMap;
use std::time::Duration;

use onyxfall_policy::{CircuitBreaker, Moment, ServerBackoff};
use onyxfall_types::{RegionName, RequestRate};

use crate::cached_prefixes::CachedPrefixes;
use crate::call::{CallRequirements, PromptSize};
use crate::cold::ColdShare;
use crate::flow::FlowMeter;
use crate::learn::EngineLoad;
use crate::limit::ServerLimit;
use crate::liveness::{LivenessRecord, ServerVotes};
use crate::record::{ServerPhase, ServerRecord};
use crate::signals::{AMBIGUOUS_DRAINING, AmbiguousSignals};
use crate::work::{PrefillTokens, WorkShare};

/// Time in which what came to a server fades to a third: long enough for a steady
/// figure at a few requests a second, short against the life of a prefix (tens of
/// seconds).
const FLOW_FADE: Duration = Duration::from_secs(5);
/// Weight of a new sample in running estimates.
const SAMPLE_GAIN: f64 = 0.15;
/// The same for the pace of events, which many requests share: one slow answer says
/// more of the batch at that time than of the server.
const PACE_GAIN: f64 = 0.05;
/// Bounds of the learned slowness.
const SLOWNESS_RANGE: (f64, f64) = (0.8, 20.0);
/// Pause after a server has said that it is full.
const FULL_PAUSE: Duration = Duration::from_millis(120);
/// Part of a model server's memory that admitted requests may fill.
const MEMORY_PART: f64 = 0.9;
/// How an attempt at a server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// It gave its whole answer.
    Succeeded,
    /// It answered with a failure of its own.
    Failed,
    /// It could not be reached; the attempt never arrived.
    Unreachable,
    /// It broke off after the attempt was sent.
    Broken,
    /// It said that it was full.
    Shed,
    /// The caller left, or time ran out; says nothing of the server.
    Unknown,
}

/// What a server had to do when an attempt was sent to it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ServerLoad {
    /// A model server's.
    Engine(EngineLoad),
    /// How many turns of its slots a request to a plain service waits, its own
    /// included.
    Plain(f64),
}

#[derive(Clone, Copy, Debug)]
struct OpenAttempt {
    started: Moment,
    predicted: Duration,
    work: WorkShare,
    load: ServerLoad,
    answered: Option<Moment>,
}

/// What the first byte of an answer shows.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FirstByte {
    /// What the server had to do.
    pub(crate) load: ServerLoad,
    /// Time from the sending.
    pub(crate) took: Duration,
    /// How many times slower than expected the server is, this answer included.
    pub(crate) slowness: f64,
    /// How many times slower than usual this answer is.
    pub(crate) ratio: f64,
}

/// State of one life of a server.
#[derive(Clone, Debug)]
pub struct ServerState {
    /// Its entry as last seen.
    pub record: ServerRecord,
    /// Its region.
    pub region: RegionName,
    /// Hash of its life.
    life: u64,
    /// When its entry was first seen.
    seen: Moment,
    cold_until: Moment,
    cold_share: ColdShare,
    gone: bool,
    /// Another life has its name: what ran here has ended.
    is_replaced: bool,
    /// When it said in an answer that it leaves.
    leaving_since: Option<Moment>,
    rest: ServerBackoff,
    /// When it last asked for rest.
    rest_asked: Option<Moment>,
    limit: ServerLimit,
    full_until: Moment,
    circuit: CircuitBreaker,
    slowness: f64,
    pace_slowness: f64,
    flow: FlowMeter,
    open: BTreeMap<u64, OpenAttempt>,
    own: WorkShare,
    /// Other VMs' work, as they tell it.
    others: WorkShare,
    kept: CachedPrefixes,
    signs: LivenessRecord,
}

impl ServerState {
    /// A server seen for the first time.
    pub fn new(now: Moment, record: ServerRecord, region: RegionName, cold_rate: f64) -> Self {
        Self {
            seen: now,
            cold_until: now + record.cold_left,
            cold_share: ColdShare::new(now, cold_rate),
            life: record.life().hash(),
            record,
            region,
            gone: false,
            is_replaced: false,
            leaving_since: None,
            rest: ServerBackoff::default(),
            rest_asked: None,
            limit: ServerLimit::default(),
            full_until: Moment::ZERO,
            circuit: CircuitBreaker::new(),
            slowness: 1.0,
            pace_slowness: 1.0,
            flow: FlowMeter::new(FLOW_FADE),
            open: BTreeMap::new(),
            own: WorkShare::default(),
            others: WorkShare::default(),
            kept: CachedPrefixes::new(now),
            signs: LivenessRecord::default(),
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

    /// Notes that this life has ended. What it kept is forgotten with it.
    pub(crate) fn end_life(&mut self, now: Moment) {
        self.gone = true;
        self.kept = CachedPrefixes::new(now);
    }

    /// Notes that the server has started again: this life has ended, and what ran here.
    pub(crate) fn replace(&mut self) {
        self.gone = true;
        self.is_replaced = true;
    }

    /// Whether the server has started again since.
    pub fn is_replaced(&self) -> bool {
        self.is_replaced
    }

    /// Hash of this life, the same on every VM.
    pub fn instance_hash(&self) -> u64 {
        self.life
    }

    /// Short tag of this life in frequent messages: the low half of its hash.
    pub fn tag(&self) -> u32 {
        let [_, _, _, _, a, b, c, d] = self.life.to_be_bytes();
        u32::from_be_bytes([a, b, c, d])
    }

    /// When its entry was first seen.
    pub(crate) fn seen(&self) -> Moment {
        self.seen
    }

    /// Whether this life has ended.
    pub fn is_gone(&self) -> bool {
        self.gone
    }

    /// Whether it bears only few requests.
    pub fn is_cold(&self, now: Moment) -> bool {
        now < self.cold_until
    }

    /// Whether its entry and its answers let it have new work.
    pub fn takes_work(&self) -> bool {
        !self.gone && self.leaving_since.is_none() && self.record.phase == ServerPhase::Ready
    }

    /// Whether its breaker and the rest that it wants let an attempt pass.
    pub fn is_trusted(&self, now: Moment) -> bool {
        self.circuit.allows(now) && now >= self.full_until && self.is_backoff_over(now)
    }

    /// Notes that it leaves; whether that is news.
    pub(crate) fn record_draining(&mut self, now: Moment) -> bool {
        let is_news = self.leaving_since.is_none();
        self.leaving_since.get_or_insert(now);
        is_news
    }

    /// When it said that it leaves, if it did.
    pub(crate) fn leaving_since(&self) -> Option<Moment> {
        self.leaving_since
    }

    /// Notes that it wants nothing from this VM for `time`; whether it rests for longer by
    /// that.
    pub(crate) fn record_backoff(&mut self, now: Moment, time: Duration) -> bool {
        let before = self.rest.end(now);
        self.rest.ask(now, time);
        self.rest_asked = Some(now);
        self.rest.end(now) > before
    }

    /// The rate that it takes from all VMs together, if it is in need.
    pub fn limit(&self, now: Moment) -> Option<RequestRate> {
        self.limit.rate(now, self.others.limits)
    }

    pub(crate) fn limit_state(&self) -> &ServerLimit {
        &self.limit
    }

    pub(crate) fn limit_mut(&mut self) -> &mut ServerLimit {
        &mut self.limit
    }

    /// The rest that it wants, if the moment of the asking passes.
    pub(crate) fn requested_backoff(
        &self,
        passes: impl Fn(Option<Moment>) -> bool,
    ) -> Option<ServerBackoff> {
        passes(self.rest_asked).then_some(self.rest)
    }

    /// Counts what a former life seems to have said.
    pub(crate) fn apply_ambiguous(&mut self, now: Moment, words: &AmbiguousSignals) {
        if words.leaves {
            self.rest.ask(now, AMBIGUOUS_DRAINING);
        }
        if let Some(rest) = words.rest {
            self.rest.join(rest);
        }
    }

    /// Whether it may be chosen as far as the rest goes that it wants.
    pub(crate) fn is_backoff_over(&self, now: Moment) -> bool {
        self.rest.allows(now)
    }

    /// End of the rest that it wants; none if that is over.
    pub fn backoff_end(&self, now: Moment) -> Option<Moment> {
        self.rest.end(now)
    }

    /// Takes over what the same life said of itself before its entry had lapsed.
    pub(crate) fn inherit_signals(&mut self, before: &Self) {
        self.record = self.record.clone().leaving_as(before.record.phase);
        self.leaving_since = before.leaving_since;
        self.rest = before.rest;
        self.rest_asked = before.rest_asked;
        self.limit = before.limit;
    }

    /// The share of its rate while it is cold.
    pub fn cold_share(&mut self) -> &mut ColdShare {
        &mut self.cold_share
    }

    /// What this VM has under way there.
    pub fn own_work(&self, now: Moment) -> WorkShare {
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let flow = self.flow.per_second(now).round() as u64;
        WorkShare {
            flow,
            votes: self.own_vote(now),
            limits: self.limit.report(now),
            ..self.own
        }
    }

    /// This VM's vote on whether it lives.
    fn own_vote(&self, now: Moment) -> ServerVotes {
        let waiting = self.open.values().find(|open| open.answered.is_none());
        let waiting = waiting.map(|open| (open.started, open.predicted));
        self.signs.vote(now, waiting)
    }

    /// The votes of all VMs on whether it lives.
    pub fn votes(&self, now: Moment) -> ServerVotes {
        self.others.votes.plus(self.own_vote(now))
    }

    /// The last sign of life that this VM has had of it.
    pub fn last_liveness(&self) -> Option<Moment> {
        self.signs.last_liveness()
    }

    /// Notes a sign of life.
    pub fn record_liveness(&mut self, now: Moment) {
        self.signs.record_liveness(now);
    }

    /// Sets what all other VMs have under way there.
    pub fn set_others(&mut self, now: Moment, work: WorkShare) {
        self.others = work;
        self.kept.set_remote_flow(now, work.flow);
    }

    /// All work under way there, as far as known.
    pub fn work(&self) -> WorkShare {
        self.own.plus(self.others)
    }

    /// Whether another request fits. A plain service's server takes `turns` for each
    /// of its slots.
    pub(crate) fn has_room(&self, needs: &CallRequirements, turns: f64) -> bool {
        let work = self.work();
        match needs.engine {
            None => f64::from(work.requests) < f64::from(self.record.slots) * turns,
            Some(engine) => {
                let room = MEMORY_PART * engine.memory_tokens as f64;
                work.requests < engine.slots
                    && (work.memory + needs.prompt.memory()) as f64 <= room.max(1.0)
            }
        }
    }

    /// Prompt tokens that it would have to read.
    pub fn prefill_tokens(&self, now: Moment, prompt: &PromptSize) -> u64 {
        prompt.input.saturating_sub(self.kept_tokens(now, prompt))
    }

    /// Tokens of parts that others share and that it would have to read.
    pub fn shared_prefill_tokens(&self, now: Moment, prompt: &PromptSize) -> u64 {
        let shared = prompt.shared_tokens();
        shared.saturating_sub(self.kept_tokens(now, prompt))
    }

    fn kept_tokens(&self, now: Moment, prompt: &PromptSize) -> u64 {
        self.kept.tokens_of(now, prompt, self.work().memory)
    }

    /// What it has to do when a request comes now.
    pub(crate) fn load(&self, now: Moment, needs: &CallRequirements) -> ServerLoad {
        let work = self.work();
        if needs.engine.is_none() {
            let slots = f64::from(self.record.slots.max(1));
            let waiting = (f64::from(work.requests) + 1.0 - slots).max(0.0);
            return ServerLoad::Plain(1.0 + waiting / slots);
        }
        let ahead = work.unread.up_to(needs.urgency);
        ServerLoad::Engine(EngineLoad {
            own: self.prefill_tokens(now, &needs.prompt),
            ahead,
            behind: work.unread.total() - ahead,
            running: work.requests,
        })
    }

    /// How many times slower than expected it answers; an attempt that is
    /// overdue counts at once.
    pub fn slowness(&self, now: Moment) -> f64 {
        let overdue = self
            .open
            .values()
            .next()
            .filter(|open| open.answered.is_none())
            .map_or(0.0, |open| {
                (now - open.started).as_secs_f64() / open.predicted.as_secs_f64().max(1e-3)
            });
        // Up to three times the prediction is the usual spread of a busy batch.
        let overdue = if overdue > 3.0 { overdue / 3.0 } else { 0.0 };
        self.slowness
            .max(overdue)
            .clamp(SLOWNESS_RANGE.0, SLOWNESS_RANGE.1)
    }

    /// Notes that it holds a copy of a run.
    pub fn hold_copy(&mut self, memory: u64) {
        self.own = self.own.plus(copy_share(memory));
    }

    /// Notes that the copy is no longer needed.
    pub fn drop_copy(&mut self, memory: u64) {
        self.own = self.own.without(copy_share(memory));
    }

    /// How many times slower than expected its answers came.
    pub(crate) fn learned_slowness(&self) -> f64 {
        self.slowness
    }

    /// How many times slower than expected its events follow each other.
    pub(crate) fn pace_slowness(&self) -> f64 {
        self.pace_slowness
    }

    /// Notes that the events of an answer took `ratio` of the expected time.
    pub(crate) fn note_pace(&mut self, ratio: f64) {
        let ratio = ratio.clamp(SLOWNESS_RANGE.0, SLOWNESS_RANGE.1);
        self.pace_slowness *= (ratio / self.pace_slowness).powf(PACE_GAIN);
    }

    /// Notes that attempt `id` is sent; its first byte is expected after `predicted`.
    pub(crate) fn start(
        &mut self,
        now: Moment,
        id: u64,
        needs: &CallRequirements,
        predicted: Duration,
    ) {
        let load = self.load(now, needs);
        let unread = self.prefill_tokens(now, &needs.prompt);
        let work = WorkShare {
            requests: 1,
            unread: PrefillTokens::of(needs.urgency, unread),
            memory: needs.prompt.memory(),
            ..WorkShare::default()
        };
        if self.circuit.allows(now) {
            self.circuit.start(now);
        }
        self.rest.note_sent(id);
        self.limit.note_sent(now);
        self.own = self.own.plus(work);
        let brought = unread + needs.prompt.likely_output();
        self.flow.note(now, brought);
        self.kept.bring(brought);
        if let Some(engine) = needs.engine {
            self.kept.set_capacity(engine.memory_tokens);
        }
        let attempt = OpenAttempt {
            started: now,
            predicted,
            work,
            load,
            answered: None,
        };
        self.open.insert(id, attempt);
        self.kept.touch(now, &needs.prompt, self.work().memory);
    }

    /// Notes the first byte of attempt `id`.
    pub(crate) fn answer(&mut self, now: Moment, id: u64) -> Option<FirstByte> {
        let open = self.open.get_mut(&id)?;
        if open.answered.is_some() {
            return None;
        }
        open.answered = Some(now);
        self.rest.note_taken(id);
        self.signs.record_liveness(now);
        let read = WorkShare {
            unread: open.work.unread,
            ..WorkShare::default()
        };
        self.own = self.own.without(read);
        open.work = open.work.without(read);
        let (took, predicted, load) = (now - open.started, open.predicted, open.load);
        let ratio = took.as_secs_f64() / predicted.as_secs_f64().max(1e-3);
        let ratio = (ratio * self.slowness).clamp(SLOWNESS_RANGE.0, SLOWNESS_RANGE.1);
        // The mean of logarithms lies near the median, and half of all answers below it.
        self.slowness *= (ratio / self.slowness).powf(SAMPLE_GAIN);
        self.circuit.succeed();
        let slowness = self.slowness;
        Some(FirstByte {
            load,
            took,
            slowness,
            ratio,
        })
    }

    /// What the server had to do when attempt `id` was sent, and the time since its
    /// first byte.
    pub(crate) fn since_answer(&self, now: Moment, id: u64) -> Option<(ServerLoad, Duration)> {
        let open = self.open.get(&id)?;
        Some((open.load, now - open.answered?))
    }

    /// Notes the end of attempt `id`.
    pub fn end(&mut self, now: Moment, id: u64, result: AttemptResult) {
        if let Some(open) = self.open.remove(&id) {
            self.own = self.own.without(open.work);
        }
        self.rest.note_end(id);
        match result {
            AttemptResult::Succeeded => {
                self.signs.record_liveness(now);
                self.circuit.succeed();
            }
            AttemptResult::Failed => {
                self.circuit.fail(now);
            }
            AttemptResult::Unreachable | AttemptResult::Broken => {
                self.signs.record_disconnect(now);
                self.circuit.fail(now);
                self.circuit.trip(now);
            }
            AttemptResult::Shed => {
                self.signs.record_liveness(now);
                self.circuit.forget();
                self.full_until = now + FULL_PAUSE;
            }
            AttemptResult::Unknown => self.circuit.forget(),
        }
    }
}

/// The work that a copy is at the server that holds it: memory, and nothing to do.
fn copy_share(memory: u64) -> WorkShare {
    WorkShare {
        memory,
        ..WorkShare::default()
    }
}
