//! State of one backend server as seen by this VM: entry, work and failures.

use std::collections::BTreeMap;
use std::time::Duration;

use onyxfall_policy::{CircuitBreaker, Moment, ServerBackoff};
use onyxfall_types::{RegionName, RequestRate};

use crate::brittle::BrittleRecord;
use crate::cached_prefixes::CachedPrefixes;
use crate::call::{CallRequirements, PromptSize};
use crate::cold::ColdShare;
use crate::ended::EndCheck;
use crate::flow::FlowMeter;
use crate::learn::EngineLoad;
use crate::limit::ServerLimit;
use crate::liveness::{LivenessRecord, ServerVotes};
use crate::pace::{PaceRecord, ServerPace};
use crate::record::{ServerPhase, ServerRecord};
use crate::signals::{AMBIGUOUS_DRAINING, AmbiguousSignals};
use crate::work::{PrefillTokens, WorkShare};

/// Decay time of the token flow to a server: long enough for a steady rate at a few
/// requests per second, and short compared with the lifetime of a prefix (tens of
/// seconds).
const FLOW_DECAY: Duration = Duration::from_secs(5);
/// Weight of a new sample in moving averages.
const SAMPLE_GAIN: f64 = 0.15;
/// Weight of a new sample of the interval between events. Many requests share it: one
/// slow response indicates the state of the batch at that time rather than of the
/// server.
const INTERVAL_GAIN: f64 = 0.05;
/// Time without a response after which the learned slowness is forgotten, and the time in which
/// it decays to 1/e from then on. A server that is predicted to be slow gets no request at light
/// load, so that nothing else would correct the figure. A VM of a large fleet sends a server one
/// request in some seconds.
const SLOWNESS_KEPT: Duration = Duration::from_secs(15);
const SLOWNESS_DECAY: Duration = Duration::from_secs(3);
/// Bounds of the learned slowness.
const SLOWNESS_RANGE: (f64, f64) = (0.8, 20.0);
/// Pause after a server has reported that it is full.
const FULL_PAUSE: Duration = Duration::from_millis(120);
/// Time after the expected first byte, and between two events of a stream, after which a
/// request counts as left without a byte. Callers accept pauses of this length in a stream.
const SILENCE: Duration = Duration::from_millis(400);
/// Interval at which one request tries a server that this VM doubts.
const TRIAL_INTERVAL: Duration = Duration::from_millis(500);
/// Fraction of a model server's memory that admitted requests may occupy.
const MAX_MEMORY_FRACTION: f64 = 0.9;
/// Outcome of an attempt at a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AttemptResult {
    /// The server sent its whole response.
    Succeeded,
    /// The server responded with an error of its own.
    Failed,
    /// The server could not be reached; the attempt never arrived.
    Unreachable,
    /// The connection was lost after the attempt was sent.
    Broken,
    /// Another run of the request answered first while the server was silent.
    Overtaken,
    /// The kernel ended the connection after the attempt was sent: the server's host has
    /// acknowledged nothing for a while, or the server has not read a large request.
    TimedOut,
    /// The server reported that it was full.
    Shed,
    /// The caller disconnected or the deadline passed; no information about the server.
    #[default]
    Unknown,
}

/// Load of a server when an attempt was sent to it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ServerLoad {
    /// Load of a model server.
    Engine(EngineLoad),
    /// Load of a plain server: number of service times that a request takes, queueing
    /// and its own included.
    Plain(f64),
}

#[derive(Clone, Copy, Debug)]
struct OpenAttempt {
    started: Moment,
    predicted: Duration,
    work: WorkShare,
    load: ServerLoad,
    /// Pace of the server that `predicted` assumes.
    pace: ServerPace,
    /// Time of the first byte, and the pace of the server then.
    first_byte: Option<(Moment, ServerPace)>,
}

impl OpenAttempt {
    /// Expected time to the first byte, given the pace of the server `now`. A server that has
    /// slowed down since the attempt was sent is not overdue for that reason; one that has
    /// become faster may have done most of the work at its former pace.
    fn expected(&self, now: ServerPace) -> Duration {
        if now <= self.pace {
            return self.predicted;
        }
        self.predicted.mul_f64(now.factor() / self.pace.factor())
    }
}

/// Measurements at the first byte of a response.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FirstByte {
    /// Load of the server when the attempt was sent.
    pub(crate) load: ServerLoad,
    /// Time since sending, divided by the server's pace; `None` if a change of the pace or a
    /// silence explains it.
    pub(crate) took: Option<Duration>,
    /// Slowness of the server relative to the prediction, this response included.
    pub(crate) slowness: f64,
    /// Ratio of this response's time to the usual one.
    pub(crate) ratio: f64,
    /// Whether the response came before its server would have counted as silent.
    pub(crate) is_usual: bool,
}

/// Measurements from the first byte of a response to now.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SinceFirstByte {
    /// Load of the server when the attempt was sent.
    pub(crate) load: ServerLoad,
    /// Time since the first byte.
    pub(crate) took: Duration,
    /// Pace of the server at the first byte.
    pub(crate) first_pace: ServerPace,
    /// Pace of the server now.
    pub(crate) last_pace: ServerPace,
}

/// State of one server instance.
#[derive(Clone, Debug)]
pub struct ServerState {
    /// Latest store entry.
    pub record: ServerRecord,
    /// Region of the server.
    pub region: RegionName,
    /// Hash of the instance.
    instance: u64,
    /// When the entry was first received.
    received_at: Moment,
    cold_until: Moment,
    cold_share: ColdShare,
    gone: bool,
    /// Another entry has taken the name: this state gets no further requests.
    is_replaced: bool,
    /// When a response first signalled that the server is draining.
    draining_since: Option<Moment>,
    backoff: ServerBackoff,
    /// When a backoff was last requested.
    backoff_requested_at: Option<Moment>,
    limit: ServerLimit,
    pace: PaceRecord,
    pub(crate) brittle: BrittleRecord,
    full_until: Moment,
    circuit: CircuitBreaker,
    slowness: f64,
    /// When `slowness` was last learned from a response.
    slowness_at: Moment,
    interval_slowness: f64,
    flow: FlowMeter,
    open: BTreeMap<u64, OpenAttempt>,
    /// When the last attempt was sent.
    last_start: Option<Moment>,
    own: WorkShare,
    /// Work of the other VMs, as reported by them.
    others: WorkShare,
    cached_prefixes: CachedPrefixes,
    liveness: LivenessRecord,
    /// When the server last sent something after all VMs had taken it for unresponsive.
    returned_at: Option<Moment>,
}

impl ServerState {
    /// Creates the state of a server seen for the first time.
    pub fn new(now: Moment, record: ServerRecord, region: RegionName, cold_rate: f64) -> Self {
        Self {
            received_at: now,
            cold_until: now + record.cold_left,
            cold_share: ColdShare::new(now, cold_rate),
            instance: record.instance().hash(),
            record,
            region,
            gone: false,
            is_replaced: false,
            draining_since: None,
            backoff: ServerBackoff::default(),
            backoff_requested_at: None,
            limit: ServerLimit::default(),
            pace: PaceRecord::default(),
            brittle: BrittleRecord::default(),
            full_until: Moment::ZERO,
            circuit: CircuitBreaker::new(),
            slowness: 1.0,
            slowness_at: now,
            interval_slowness: 1.0,
            flow: FlowMeter::new(FLOW_DECAY),
            open: BTreeMap::new(),
            last_start: None,
            own: WorkShare::default(),
            others: WorkShare::default(),
            cached_prefixes: CachedPrefixes::new(now),
            liveness: LivenessRecord::default(),
            returned_at: None,
        }
    }

    /// Applies a newer entry of the same instance.
    pub fn update(&mut self, now: Moment, record: ServerRecord) {
        if !record.cold_left.is_zero() {
            self.cold_until = self.cold_until.max(now + record.cold_left);
        }
        self.record = record;
    }

    /// Marks the server as cold for `left`.
    pub fn mark_cold(&mut self, now: Moment, left: Duration) {
        self.cold_until = self.cold_until.max(now + left);
    }

    /// Records that the entry of the instance has left the store, and drops its cached prefixes.
    /// The votes of other VMs would stay as they are, since VMs vote on servers with entries only,
    /// while some servers serve on without one.
    pub(crate) fn end_instance(&mut self, now: Moment) {
        self.gone = true;
        self.others.votes = ServerVotes::default();
        self.cached_prefixes = CachedPrefixes::new(now);
    }

    /// Records that another entry has taken the name of the server.
    pub(crate) fn replace(&mut self) {
        self.gone = true;
        self.is_replaced = true;
    }

    /// Whether another entry has taken the name of the server.
    pub fn is_replaced(&self) -> bool {
        self.is_replaced
    }

    /// Hash of the instance, the same on every VM.
    pub fn instance_hash(&self) -> u64 {
        self.instance
    }

    /// Short tag of the instance for frequent messages: the lower half of its hash.
    pub fn tag(&self) -> u32 {
        let [_, _, _, _, a, b, c, d] = self.instance.to_be_bytes();
        u32::from_be_bytes([a, b, c, d])
    }

    /// When the entry was first received.
    pub(crate) fn seen(&self) -> Moment {
        self.received_at
    }

    /// Whether the instance has ended.
    pub fn is_gone(&self) -> bool {
        self.gone
    }

    /// Whether the server is cold, that is, can take only few requests.
    pub fn is_cold(&self, now: Moment) -> bool {
        now < self.cold_until
    }

    /// Whether the entry and the responses of the server allow new requests.
    pub fn takes_work(&self) -> bool {
        !self.gone && self.draining_since.is_none() && self.record.phase == ServerPhase::Ready
    }

    /// Whether the circuit breaker and the requested backoff allow an attempt.
    pub fn is_trusted(&self, now: Moment) -> bool {
        self.circuit.allows(now) && now >= self.full_until && self.is_backoff_over(now)
    }

    /// Records that the server is draining. Returns whether this was unknown.
    pub(crate) fn record_draining(&mut self, now: Moment) -> bool {
        let is_new = self.draining_since.is_none();
        self.draining_since.get_or_insert(now);
        is_new
    }

    /// When a response first signalled that the server is draining, if any did.
    pub(crate) fn leaving_since(&self) -> Option<Moment> {
        self.draining_since
    }

    /// Records a backoff of `time` requested by the server. Returns whether this
    /// extends the current backoff.
    pub(crate) fn record_backoff(&mut self, now: Moment, time: Duration) -> bool {
        let before = self.backoff.end(now);
        self.backoff.request(now, time);
        self.backoff_requested_at = Some(now);
        self.backoff.end(now) > before
    }

    /// Request rate that the server accepts from all VMs together, if it has set a
    /// limit.
    pub fn limit(&self, now: Moment) -> Option<RequestRate> {
        self.limit.rate(now, self.others.limits)
    }

    pub(crate) fn limit_state(&self) -> &ServerLimit {
        &self.limit
    }

    pub(crate) fn limit_mut(&mut self) -> &mut ServerLimit {
        &mut self.limit
    }

    /// How long work takes at the server now, by what this VM and the others have read.
    pub fn pace(&self, now: Moment) -> ServerPace {
        self.pace.pace(now, self.others.paces)
    }

    pub(crate) fn pace_mut(&mut self) -> &mut PaceRecord {
        &mut self.pace
    }

    /// Current backoff, if `passes` accepts the time of its request.
    pub(crate) fn requested_backoff(
        &self,
        passes: impl Fn(Option<Moment>) -> bool,
    ) -> Option<ServerBackoff> {
        passes(self.backoff_requested_at).then_some(self.backoff)
    }

    /// Applies signals that may be those of a former instance.
    pub(crate) fn apply_ambiguous(&mut self, now: Moment, signals: &AmbiguousSignals) {
        if signals.drains {
            self.backoff.request(now, AMBIGUOUS_DRAINING);
        }
        if let Some(backoff) = signals.backoff {
            self.backoff.join(backoff);
        }
    }

    /// Whether the requested backoff is over.
    pub(crate) fn is_backoff_over(&self, now: Moment) -> bool {
        self.backoff.allows(now)
    }

    /// End of the requested backoff; none if it is over.
    pub fn backoff_end(&self, now: Moment) -> Option<Moment> {
        self.backoff.end(now)
    }

    /// Copies the signals of the same instance from before its entry had expired.
    pub(crate) fn inherit_signals(&mut self, before: &Self) {
        self.record = self.record.clone().with_phase_after(before.record.phase);
        self.draining_since = before.draining_since;
        self.backoff = before.backoff;
        self.backoff_requested_at = before.backoff_requested_at;
        self.limit = before.limit;
        self.pace = before.pace;
        self.brittle = before.brittle;
    }

    /// This VM's share of the server's rate while it is cold.
    pub fn cold_share(&mut self) -> &mut ColdShare {
        &mut self.cold_share
    }

    /// This VM's own work at the server.
    pub fn own_work(&self, now: Moment) -> WorkShare {
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let flow = self.flow.per_second(now).round() as u64;
        WorkShare {
            flow,
            votes: self.own_vote(now),
            limits: self.limit.report(now),
            paces: self.pace.report(now),
            ..self.own
        }
    }

    /// This VM's vote on whether the server is responsive.
    fn own_vote(&self, now: Moment) -> ServerVotes {
        self.liveness.vote(now, self.longest_waiting(now))
    }

    /// Start and expected time of the attempt that has waited longest for its first byte.
    fn longest_waiting(&self, now: Moment) -> Option<(Moment, Duration)> {
        let waiting = self.open.values().find(|open| open.first_byte.is_none())?;
        Some((waiting.started, waiting.expected(self.pace(now))))
    }

    /// Votes of the other VMs on whether the server is responsive.
    pub(crate) fn others_votes(&self) -> ServerVotes {
        self.others.votes
    }

    /// Whether the server may be the reason why requests fail: it is silent, cannot be connected
    /// to, or has lost a connection and sent nothing since.
    pub(crate) fn is_failing(&self, now: Moment) -> bool {
        self.liveness.is_undialled() || self.is_broken() || self.is_silent(now)
    }

    /// Whether a connection to the server was lost, and nothing was received from it afterwards.
    pub(crate) fn is_broken(&self) -> bool {
        self.liveness.is_broken_since(Moment::ZERO)
    }

    /// Records a check of whether the server has ended.
    pub(crate) fn record_end_check(&mut self, check: EndCheck) {
        self.liveness.record_end_check(check);
    }

    /// Records that a check of whether the server has ended starts, if none did for `interval`.
    pub(crate) fn start_end_check(&mut self, now: Moment, interval: Duration) -> bool {
        self.liveness.start_end_check(now, interval)
    }

    /// The last check of whether the server has ended, if nothing was received since.
    pub(crate) fn end_check(&self) -> Option<EndCheck> {
        self.liveness.end_check()
    }

    /// Whether a connection to the server was lost after `since`, and nothing was received from
    /// it afterwards.
    pub(crate) fn is_broken_since(&self, since: Moment) -> bool {
        self.liveness.is_broken_since(since)
    }

    /// Whether the server owes this VM a byte: a first byte that is overdue, or the next event
    /// of a stream.
    pub(crate) fn is_silent(&self, now: Moment) -> bool {
        let pace = self.pace(now);
        self.open.values().any(|open| {
            let since = self
                .last_liveness()
                .map_or(open.started, |at| at.max(open.started));
            let expected = match open.first_byte {
                None => open.expected(pace),
                Some(_) => Duration::ZERO,
            };
            now - since >= expected + SILENCE
        })
    }

    /// Whether this VM's own experience speaks against sending the server a request: it cannot
    /// be connected to, or owes a response for long. One request at a time may try it.
    pub(crate) fn is_doubted(&self, now: Moment) -> bool {
        if self.liveness.is_undialled() && !self.circuit.allows(now) {
            return true;
        }
        let is_overdue = self
            .longest_waiting(now)
            .is_some_and(|(started, expected)| self.liveness.is_overdue(now, started, expected));
        is_overdue && self.last_start.is_some_and(|at| now - at < TRIAL_INTERVAL)
    }

    /// Votes of all VMs on whether the server is responsive.
    pub fn votes(&self, now: Moment) -> ServerVotes {
        self.others.votes.plus(self.own_vote(now))
    }

    /// Last liveness signal that this VM has received from the server.
    pub fn last_liveness(&self) -> Option<Moment> {
        self.liveness.last_liveness()
    }

    /// Records a liveness signal.
    pub fn record_liveness(&mut self, now: Moment) {
        let last = self.last_liveness();
        if last.is_none_or(|at| now - at >= SILENCE) && self.votes(now).is_unresponsive() {
            self.returned_at = Some(now);
        }
        self.liveness.record_liveness(now);
    }

    /// Whether a silence of the server has ended after `since`, or one of all servers of its
    /// service, the last of which ended at `silence_end`. Times that hold one tell nothing of how
    /// fast the server works.
    fn has_returned_since(&self, since: Moment, silence_end: Option<Moment>) -> bool {
        self.returned_at
            .max(silence_end)
            .is_some_and(|at| at > since)
    }

    /// Sets the total work of the other VMs at the server.
    pub fn set_others(&mut self, now: Moment, work: WorkShare) {
        self.others = work;
        self.cached_prefixes.set_remote_flow(now, work.flow);
    }

    /// Requests and memory of this VM's own work at the server.
    pub(crate) fn own_share(&self) -> WorkShare {
        self.own
    }

    /// Total known work at the server.
    pub fn work(&self) -> WorkShare {
        self.own.plus(self.others)
    }

    /// Whether the server has capacity for another request. A plain service's server
    /// takes `requests_per_slot` requests per slot.
    pub(crate) fn has_room(&self, needs: &CallRequirements, requests_per_slot: f64) -> bool {
        let work = self.work();
        match needs.engine {
            None => f64::from(work.requests) < f64::from(self.record.slots) * requests_per_slot,
            Some(engine) => {
                let usable_memory = MAX_MEMORY_FRACTION * engine.memory_tokens as f64;
                work.requests < engine.slots
                    && (work.memory + needs.prompt.memory()) as f64 <= usable_memory.max(1.0)
            }
        }
    }

    /// Prompt tokens that the server would have to prefill.
    pub fn prefill_tokens(&self, now: Moment, prompt: &PromptSize) -> u64 {
        prompt.input.saturating_sub(self.cached_tokens(now, prompt))
    }

    /// Tokens of shared parts that the server would have to prefill.
    pub fn shared_prefill_tokens(&self, now: Moment, prompt: &PromptSize) -> u64 {
        let shared = prompt.shared_tokens();
        shared.saturating_sub(self.cached_tokens(now, prompt))
    }

    fn cached_tokens(&self, now: Moment, prompt: &PromptSize) -> u64 {
        self.cached_prefixes
            .tokens_of(now, prompt, self.work().memory)
    }

    /// Load of the server for a request that is sent now.
    pub(crate) fn load(&self, now: Moment, needs: &CallRequirements) -> ServerLoad {
        let work = self.work();
        if needs.engine.is_none() {
            let slots = f64::from(self.record.slots.max(1));
            let waiting = (f64::from(work.requests) + 1.0 - slots).max(0.0);
            return ServerLoad::Plain(1.0 + waiting / slots);
        }
        let ahead = work.prefill.up_to(needs.urgency);
        ServerLoad::Engine(EngineLoad {
            own: self.prefill_tokens(now, &needs.prompt),
            ahead,
            behind: work.prefill.total() - ahead,
            running: work.requests,
        })
    }

    /// Ratio of response times to predictions. An overdue attempt counts immediately.
    pub fn slowness(&self, now: Moment) -> f64 {
        let overdue = self
            .open
            .values()
            .next()
            .filter(|open| open.first_byte.is_none())
            .map_or(0.0, |open| {
                let expected = open.expected(self.pace(now));
                (now - open.started).as_secs_f64() / expected.as_secs_f64().max(1e-3)
            });
        // Up to three times the prediction is within the normal variance of a busy
        // batch.
        let overdue = if overdue > 3.0 { overdue / 3.0 } else { 0.0 };
        self.remembered_slowness(now)
            .max(overdue)
            .clamp(SLOWNESS_RANGE.0, SLOWNESS_RANGE.1)
    }

    /// Records that the server holds a backup of a run.
    pub fn hold_copy(&mut self, memory: u64) {
        self.own = self.own.plus(backup_share(memory));
    }

    /// Records that a backup is no longer needed.
    pub fn drop_copy(&mut self, memory: u64) {
        self.own = self.own.without(backup_share(memory));
    }

    /// The learned slowness, less what is forgotten of it.
    fn remembered_slowness(&self, now: Moment) -> f64 {
        let idle = (now - self.slowness_at).saturating_sub(SLOWNESS_KEPT);
        let kept = (-idle.as_secs_f64() / SLOWNESS_DECAY.as_secs_f64()).exp();
        self.slowness.powf(kept)
    }

    /// Learned ratio of response times to predictions.
    pub(crate) fn learned_slowness(&self) -> f64 {
        self.slowness
    }

    /// Learned ratio of event intervals to predictions.
    pub(crate) fn interval_slowness(&self) -> f64 {
        self.interval_slowness
    }

    /// Records that the events of a response took `ratio` times the predicted time.
    pub(crate) fn record_event_interval(&mut self, ratio: f64) {
        let ratio = ratio.clamp(SLOWNESS_RANGE.0, SLOWNESS_RANGE.1);
        self.interval_slowness *= (ratio / self.interval_slowness).powf(INTERVAL_GAIN);
    }

    /// Records that attempt `id` is sent, with its first byte expected after
    /// `predicted` at the current pace.
    pub(crate) fn start(
        &mut self,
        now: Moment,
        id: u64,
        needs: &CallRequirements,
        predicted: Duration,
    ) {
        let load = self.load(now, needs);
        let prefill = self.prefill_tokens(now, &needs.prompt);
        let work = WorkShare {
            requests: 1,
            prefill: PrefillTokens::of(needs.urgency, prefill),
            memory: needs.prompt.memory(),
            ..WorkShare::default()
        };
        if self.circuit.allows(now) {
            self.circuit.start(now);
        }
        self.backoff.record_sent(id);
        self.limit.record_sent(now);
        self.own = self.own.plus(work);
        let added_tokens = prefill + needs.prompt.likely_output();
        self.flow.note(now, added_tokens);
        self.cached_prefixes.bring(added_tokens);
        if let Some(engine) = needs.engine {
            self.cached_prefixes.set_capacity(engine.memory_tokens);
        }
        let attempt = OpenAttempt {
            started: now,
            predicted,
            work,
            load,
            pace: self.pace(now),
            first_byte: None,
        };
        self.open.insert(id, attempt);
        self.last_start = Some(now);
        self.cached_prefixes
            .touch(now, &needs.prompt, self.work().memory);
    }

    /// Records the first byte of attempt `id`. `silence_end` is when a silence of all servers of
    /// the service last ended.
    pub(crate) fn record_first_byte(
        &mut self,
        now: Moment,
        id: u64,
        silence_end: Option<Moment>,
    ) -> Option<FirstByte> {
        let open = self.open.get(&id)?;
        if open.first_byte.is_some() {
            return None;
        }
        let started = open.started;
        self.record_liveness(now);
        let has_returned = self.has_returned_since(started, silence_end);
        let pace = self.pace(now);
        self.backoff.record_taken(id);
        let open = self.open.get_mut(&id)?;
        open.first_byte = Some((now, pace));
        let prefilled = WorkShare {
            prefill: open.work.prefill,
            ..WorkShare::default()
        };
        self.own = self.own.without(prefilled);
        open.work = open.work.without(prefilled);
        let (took, predicted, load) = (now - open.started, open.predicted, open.load);
        let is_usual = !has_returned && took < predicted + SILENCE;
        let ratio = took.as_secs_f64() / predicted.as_secs_f64().max(1e-3) * open.pace.factor();
        let factor = open.pace.factor_until(pace, ratio);
        let factor = factor.filter(|_| !has_returned);
        let took = factor.map(|factor| took.div_f64(factor));
        let ratio = factor.map_or(1.0, |factor| ratio / factor);
        let ratio = (ratio * self.slowness).clamp(SLOWNESS_RANGE.0, SLOWNESS_RANGE.1);
        // The mean of the logarithms is close to the median, with half of all responses
        // below it.
        if took.is_some() {
            let before = self.remembered_slowness(now);
            self.slowness = before * (ratio / before).powf(SAMPLE_GAIN);
            self.slowness_at = now;
        }
        self.circuit.succeed();
        let slowness = self.slowness;
        Some(FirstByte {
            load,
            took,
            slowness,
            ratio,
            is_usual,
        })
    }

    /// Measurements since the first byte of attempt `id`.
    pub(crate) fn since_first_byte(
        &self,
        now: Moment,
        id: u64,
        silence_end: Option<Moment>,
    ) -> Option<SinceFirstByte> {
        let open = self.open.get(&id)?;
        let (first_byte_at, first_pace) = open.first_byte?;
        if self.has_returned_since(first_byte_at, silence_end) {
            return None;
        }
        Some(SinceFirstByte {
            load: open.load,
            took: now - first_byte_at,
            first_pace,
            last_pace: self.pace(now),
        })
    }

    /// Records the end of attempt `id`.
    pub fn end(&mut self, now: Moment, id: u64, result: AttemptResult) {
        if let Some(open) = self.open.remove(&id) {
            self.own = self.own.without(open.work);
        }
        self.backoff.record_end(id);
        match result {
            AttemptResult::Succeeded => {
                self.liveness.record_liveness(now);
                self.circuit.succeed();
            }
            AttemptResult::Failed => {
                self.circuit.fail(now);
            }
            AttemptResult::Unreachable => {
                self.liveness.record_failed_dial(now);
                self.circuit.fail(now);
                self.circuit.trip(now);
            }
            AttemptResult::Broken => {
                self.liveness.record_break(now);
                self.circuit.fail(now);
                self.circuit.trip(now);
            }
            AttemptResult::Overtaken | AttemptResult::TimedOut => {
                self.liveness.record_silence(now);
                self.circuit.record_unknown();
            }
            AttemptResult::Shed => {
                self.liveness.record_liveness(now);
                self.circuit.record_unknown();
                self.full_until = now + FULL_PAUSE;
            }
            AttemptResult::Unknown => self.circuit.record_unknown(),
        }
    }
}

/// Work of a backup at the server that holds it: memory only.
fn backup_share(memory: u64) -> WorkShare {
    WorkShare {
        memory,
        ..WorkShare::default()
    }
}
