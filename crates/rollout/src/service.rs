//! State of the rollout of one service on this VM.

use std::collections::BTreeMap;
use std::time::Duration;

use onyxfall_policy::Moment;
use onyxfall_types::{RegionName, RouteName, SoftwareVersion, StorePosition};
use rand::Rng;

use crate::canary::{CANARY_SHARE, CanaryShare};
use crate::evidence::{ResponseOutcome, RolloutEvidence, VersionSide};
use crate::history::EvidenceHistory;
use crate::judge::{BadMetric, RolloutJudgement};
use crate::order::RolloutOrder;
use crate::record::{RolloutReason, RolloutRecord, RolloutState};
use crate::timeline::RolloutTimeline;
use crate::unanswered::UnansweredRequests;

/// Minimum time between two judgements of the evidence.
const JUDGE_INTERVAL: Duration = Duration::from_millis(200);
/// Minimum number of responses of the new version for it to count as proved.
const MIN_ANSWERS: u64 = 10;
/// Number of responses of the new version that the canary phase aims for. If the usual canary
/// share would bring fewer before the shift, the larger share is used until this number is
/// reached, from the age on at which the request rate is known.
const SCARCE_ANSWERS: u64 = 40;
const RATE_AFTER: Duration = Duration::from_secs(2);
/// How long the old servers get no request after the record was completed. Later the same
/// versions may have servers again, by an ordinary release.
const COMPLETED_GATE: Duration = Duration::from_secs(15);
/// Age of the process from which an order that it receives was just written.
const LIVE_AFTER: Duration = Duration::from_secs(3);

/// Servers of a service in a region, by version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerCounts {
    /// Servers of any version other than the ordered one.
    pub old: usize,
    /// Servers of the ordered version.
    pub new: usize,
}

/// Phase of a rollout, which determines where requests of the service go.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RolloutPhase {
    /// The store has no record of a running rollout yet.
    Waiting,
    /// A canary share of the requests goes to the new version.
    Sampling,
    /// The region shifts its traffic.
    Shifting {
        /// Share of the requests that go to the new version.
        new_part: f64,
        /// Whether the old servers may serve requests for which the new ones have no room.
        old_is_spare: bool,
    },
    /// The new version has taken over and the old servers stop.
    Completed,
    /// The new version is aborted.
    RolledBack,
}

impl RolloutPhase {
    /// Name of the phase in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Waiting => "waiting",
            Self::Sampling => "sampling",
            Self::Shifting { .. } => "shifting",
            Self::Completed => "completed",
            Self::RolledBack => "rolled-back",
        }
    }
}

/// Which servers of a service may get requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionRule {
    /// The ordered version.
    pub target: SoftwareVersion,
    /// The side that requests go to by default.
    pub usual: VersionSide,
    /// Whether no request may start on the other side.
    pub other_is_closed: bool,
}

/// An order with the position at which it was written. The revision of the position
/// identifies the order, also across the eras of a restored store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PendingOrder {
    pub(crate) order: RolloutOrder,
    position: StorePosition,
}

impl PendingOrder {
    /// Number by which records refer to the order.
    pub(crate) fn number(&self) -> u64 {
        self.position.revision()
    }
}

/// A record with its revision in the store; 0 if it is not in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
struct StoredRecord {
    record: RolloutRecord,
    revision: u64,
    seen: Moment,
    /// Whether the store has lost the record, so that it must be written again.
    is_lost: bool,
}

/// Mark in the store that a region has started to shift its traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ShiftMark {
    order: u64,
    revision: u64,
    seen: Moment,
    /// Whether the store has lost the mark, so that it must be written again.
    is_lost: bool,
}

/// A write to the store that is due.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum DueWrite {
    /// The record of the rollout.
    Record(RolloutRecord),
    /// The mark that this region has started to shift its traffic.
    Shift,
}

/// State of the rollout of one service.
#[derive(Clone, Debug)]
pub(crate) struct ServiceRollout {
    order: Option<PendingOrder>,
    seen: Moment,
    stored: Option<StoredRecord>,
    marks: BTreeMap<RegionName, ShiftMark>,
    longest_answer: Duration,
    pub(crate) evidence: RolloutEvidence,
    /// Requests that count as failures if the silence of all servers lasts.
    pub(crate) unanswered: UnansweredRequests,
    history: EvidenceHistory,
    judged: Option<Moment>,
    pub(crate) judgement: RolloutJudgement,
    /// Metric by which this VM has judged the version bad.
    verdict: Option<BadMetric>,
    canary: CanaryShare,
}

impl ServiceRollout {
    pub(crate) fn new() -> Self {
        Self {
            order: None,
            seen: Moment::ZERO,
            stored: None,
            marks: BTreeMap::new(),
            longest_answer: Duration::ZERO,
            evidence: RolloutEvidence::new(""),
            unanswered: UnansweredRequests::default(),
            history: EvidenceHistory::default(),
            judged: None,
            judgement: RolloutJudgement::default(),
            verdict: None,
            canary: CanaryShare::default(),
        }
    }

    /// Applies the operator's order. A new order starts with empty evidence.
    pub(crate) fn apply_order(&mut self, now: Moment, revision: u64, order: RolloutOrder) {
        let position = StorePosition::from_order(revision);
        let order = PendingOrder { order, position };
        if self.is_rewritten(&order) {
            self.renumber(order);
            return;
        }
        let (ordered, number) = (&order.order, order.number());
        let scope = format!("{}/{}/{number}", ordered.service, ordered.target);
        self.evidence = RolloutEvidence::new(&scope);
        self.unanswered = UnansweredRequests::default();
        self.history = EvidenceHistory::default();
        self.judgement = RolloutJudgement::default();
        self.verdict = None;
        self.seen = now;
        self.order = Some(order);
    }

    /// Whether an order is the current one: at the same revision, or written again after the
    /// store was restored from a copy without it.
    fn is_rewritten(&self, order: &PendingOrder) -> bool {
        self.order.as_ref().is_some_and(|current| {
            let is_later_era = order.position.era() > current.position.era();
            current.order == order.order && (is_later_era || current.number() == order.number())
        })
    }

    /// Continues the current order under its new number. Records and marks that the store has
    /// under the old number must be written again.
    fn renumber(&mut self, order: PendingOrder) {
        let number = order.number();
        let before = self.order.replace(order).map(|current| current.number());
        if before == Some(number) {
            return;
        }
        if let Some(stored) = &mut self.stored
            && Some(stored.record.order) == before
        {
            stored.record.order = number;
            stored.is_lost = true;
        }
        for mark in self.marks.values_mut() {
            if Some(mark.order) == before {
                mark.order = number;
                mark.is_lost = true;
            }
        }
    }

    /// Applies the operator's withdrawal of the order.
    pub(crate) fn withdraw(&mut self) {
        self.order = None;
    }

    pub(crate) fn order(&self) -> Option<&PendingOrder> {
        self.order.as_ref()
    }

    /// Applies the store's record.
    pub(crate) fn apply_record(&mut self, now: Moment, revision: u64, record: RolloutRecord) {
        if let Some(stored) = &mut self.stored {
            if stored.revision >= revision {
                return;
            }
            let is_ended = stored.record.state != RolloutState::Running;
            let is_same = stored.record.order == record.order;
            if is_same && is_ended && record.state == RolloutState::Running {
                // A final state is never left: the store has an older copy of the record.
                stored.revision = revision;
                stored.is_lost = true;
                return;
            }
        }
        let seen = now;
        self.stored = Some(StoredRecord {
            record,
            revision,
            seen,
            is_lost: false,
        });
    }

    /// Records that the store has lost the record.
    pub(crate) fn remove_record(&mut self) {
        if let Some(stored) = &mut self.stored {
            stored.revision = 0;
            stored.is_lost = true;
        }
    }

    /// Records that the store has lost a region's mark.
    pub(crate) fn remove_mark(&mut self, region: &RegionName) {
        if let Some(mark) = self.marks.get_mut(region) {
            mark.revision = 0;
            mark.is_lost = true;
        }
    }

    /// Applies a region's mark that it has started to shift its traffic.
    pub(crate) fn apply_mark(
        &mut self,
        now: Moment,
        region: RegionName,
        order: u64,
        revision: u64,
    ) {
        let before = self.marks.get(&region);
        if before.is_some_and(|mark| mark.revision >= revision) {
            return;
        }
        let seen = before.filter(|mark| mark.order == order);
        let seen = seen.map_or(now, |mark| mark.seen);
        let mark = ShiftMark {
            order,
            revision,
            seen,
            is_lost: false,
        };
        self.marks.insert(region, mark);
    }

    /// Revision of a region's mark; 0 if the store has none.
    pub(crate) fn mark_revision(&self, region: &RegionName) -> u64 {
        self.marks.get(region).map_or(0, |mark| mark.revision)
    }

    /// Revision of the record; 0 if the store has none.
    pub(crate) fn record_revision(&self) -> u64 {
        self.stored.as_ref().map_or(0, |stored| stored.revision)
    }

    /// Sets the routes of the service and the longest time of their responses.
    pub(crate) fn set_routes(&mut self, routes: &[RouteName], longest_answer: Duration) {
        for route in routes {
            self.evidence.add_route(route);
        }
        self.longest_answer = longest_answer;
    }

    /// The record of the current order; after a withdrawal the last record.
    fn current(&self) -> Option<&StoredRecord> {
        let stored = self.stored.as_ref()?;
        let order = self.order.as_ref().map(PendingOrder::number);
        order
            .is_none_or(|order| order == stored.record.order)
            .then_some(stored)
    }

    /// Time since the start of the rollout.
    fn age(&self, now: Moment, unix_start: Duration) -> Duration {
        let is_live = self.seen - Moment::ZERO >= LIVE_AFTER;
        let began = self.current().map(|stored| stored.record.began_ms);
        let age = began.filter(|_| !is_live).map(|began| {
            let began = Duration::from_millis(began);
            (unix_start + (now - Moment::ZERO)).saturating_sub(began)
        });
        age.unwrap_or_default().max(now - self.seen)
    }

    fn timeline(&self) -> RolloutTimeline {
        let time = self.order.as_ref().map_or(Duration::ZERO, |o| o.order.time);
        RolloutTimeline::new(time, self.longest_answer)
    }

    /// Phase of the rollout in a region; `None` if requests may go to any version.
    pub(crate) fn phase(
        &self,
        now: Moment,
        unix_start: Duration,
        region: &RegionName,
    ) -> Option<RolloutPhase> {
        let state = self.current().map(|stored| stored.record.state);
        match (state, &self.order) {
            (Some(RolloutState::Completed), _) => {
                let seen = self.current().map_or(now, |stored| stored.seen);
                (now - seen < COMPLETED_GATE).then_some(RolloutPhase::Completed)
            }
            // After a withdrawal the version is closed before the record is rolled back.
            (Some(RolloutState::RolledBack), _) | (Some(RolloutState::Running), None) => {
                Some(RolloutPhase::RolledBack)
            }
            (None, None) => None,
            (None, Some(_)) => Some(RolloutPhase::Waiting),
            (Some(RolloutState::Running), Some(_)) if self.verdict.is_some() => {
                Some(RolloutPhase::RolledBack)
            }
            (Some(RolloutState::Running), Some(order)) => {
                let mark = self.marks.get(region);
                let mark = mark.filter(|mark| mark.order == order.number());
                let Some(mark) = mark else {
                    return Some(RolloutPhase::Sampling);
                };
                let (steps, age) = (self.timeline(), self.age(now, unix_start));
                let shifted = age.saturating_sub(now - mark.seen);
                Some(RolloutPhase::Shifting {
                    new_part: steps.new_part(age, shifted),
                    old_is_spare: age < steps.old_end,
                })
            }
        }
    }

    /// Why the rollout has ended, or why this VM has judged the version bad.
    pub(crate) fn reason(&self) -> RolloutReason {
        let recorded = self.current().map(|stored| stored.record.reason);
        match (recorded, self.verdict) {
            (Some(RolloutReason::None) | None, Some(metric)) => metric.reason(),
            (recorded, _) => recorded.unwrap_or_default(),
        }
    }

    /// Which servers may get requests in a phase.
    pub(crate) fn rule(&self, phase: RolloutPhase) -> Option<VersionRule> {
        let target = match (&self.order, &self.stored) {
            (Some(order), _) => order.order.target.clone(),
            (None, Some(stored)) => stored.record.target.clone(),
            (None, None) => return None,
        };
        let (usual, other_is_closed) = match phase {
            RolloutPhase::Waiting | RolloutPhase::RolledBack => (VersionSide::Old, true),
            RolloutPhase::Sampling => (VersionSide::Old, false),
            RolloutPhase::Shifting { .. } => (VersionSide::New, false),
            RolloutPhase::Completed => (VersionSide::New, true),
        };
        Some(VersionRule {
            target,
            usual,
            other_is_closed,
        })
    }

    /// The side that a new request goes to, if that is not the default one.
    pub(crate) fn other_side(
        &mut self,
        now: Moment,
        phase: RolloutPhase,
        rng: &mut impl Rng,
    ) -> Option<VersionSide> {
        match phase {
            RolloutPhase::Sampling => {
                let is_scarce = self.is_scarce(now);
                self.canary
                    .count(is_scarce, rng)
                    .then_some(VersionSide::New)
            }
            RolloutPhase::Shifting { new_part, .. } => {
                (!rng.random_bool(new_part)).then_some(VersionSide::Old)
            }
            RolloutPhase::Waiting | RolloutPhase::Completed | RolloutPhase::RolledBack => None,
        }
    }

    /// Whether there are so few requests that the usual canary share would prove nothing.
    fn is_scarce(&self, now: Moment) -> bool {
        let age = now - self.seen;
        let rate = self.judgement.old_answers as f64 / age.as_secs_f64().max(1.0);
        let usual = rate * CANARY_SHARE * self.timeline().shift_at.as_secs_f64();
        let is_enough = self.judgement.answers >= SCARCE_ANSWERS || usual >= SCARCE_ANSWERS as f64;
        age >= RATE_AFTER && !is_enough
    }

    /// Counts a request to the new version against the canary share.
    pub(crate) fn claim_canary(&mut self) {
        self.canary.claim();
    }

    /// Counts the requests of a silence that has lasted as failures. `silence_end` is when a
    /// silence of all servers last ended.
    pub(crate) fn settle_unanswered(&mut self, now: Moment, silence_end: Option<Moment>) {
        for request in self.unanswered.settle(now, silence_end) {
            let (side, instance) = (request.side, request.instance);
            let outcome = ResponseOutcome::Failed;
            self.evidence
                .record(&request.route, side, instance, outcome);
        }
    }

    /// Judges the evidence; returns the verdict if it is new.
    pub(crate) fn judge(&mut self, now: Moment) -> Option<BadMetric> {
        let is_running = self
            .current()
            .is_some_and(|stored| stored.record.state == RolloutState::Running);
        let is_due = self.judged.is_none_or(|at| now - at >= JUDGE_INTERVAL);
        if !is_running || !is_due || self.verdict.is_some() {
            return None;
        }
        self.judged = Some(now);
        self.judgement = self.history.judge(now, &self.evidence);
        self.verdict = self.judgement.bad();
        self.verdict
    }

    /// Whether the new version is proved to do as well as the old one.
    fn is_proved(&self) -> bool {
        self.judgement.is_clear() && self.judgement.answers >= MIN_ANSWERS
    }

    /// The write to the store that is due, if any.
    pub(crate) fn due(
        &self,
        now: Moment,
        unix_start: Duration,
        region: &RegionName,
        servers: &BTreeMap<RegionName, ServerCounts>,
    ) -> Option<DueWrite> {
        let Some(order) = &self.order else {
            let stored = self.stored.as_ref()?;
            let is_running = stored.record.state == RolloutState::Running;
            return is_running.then(|| final_record(&stored.record, RolloutReason::Withdrawn));
        };
        let Some(stored) = self.current() else {
            return self.first_record(now, unix_start, order, servers);
        };
        if stored.is_lost {
            return Some(DueWrite::Record(stored.record.clone()));
        }
        if stored.record.state != RolloutState::Running {
            return None;
        }
        let own_mark = self.marks.get(region);
        if own_mark.is_some_and(|mark| mark.is_lost && mark.order == order.number()) {
            return Some(DueWrite::Shift);
        }
        if let Some(metric) = self.verdict {
            return Some(final_record(&stored.record, metric.reason()));
        }
        let (steps, age) = (self.timeline(), self.age(now, unix_start));
        let has_shifted = |region: &RegionName| {
            let mark = self.marks.get(region);
            mark.is_some_and(|mark| mark.order == order.number())
        };
        let own = servers.get(region).copied().unwrap_or_default();
        let is_turn = (steps.shift_at..steps.shift_until).contains(&age);
        if is_turn && !has_shifted(region) && own.new > 0 && self.is_proved() {
            return Some(DueWrite::Shift);
        }
        let mut serving = servers.iter().filter(|(_, n)| n.old + n.new > 0).peekable();
        let is_shifted =
            serving.peek().is_some() && serving.all(|(region, n)| n.new > 0 && has_shifted(region));
        // The old servers stop at the completion, so that it waits for the end of a silence.
        if is_shifted && age >= steps.complete_at && !self.unanswered.may_count(now) {
            return Some(final_record(&stored.record, RolloutReason::Proved));
        }
        let is_late = !is_shifted && age >= steps.abort_at;
        is_late.then(|| final_record(&stored.record, RolloutReason::Unproved))
    }

    /// The first record of an order. It is completed at once if no server has another
    /// version.
    fn first_record(
        &self,
        now: Moment,
        unix_start: Duration,
        order: &PendingOrder,
        servers: &BTreeMap<RegionName, ServerCounts>,
    ) -> Option<DueWrite> {
        let old: usize = servers.values().map(|counts| counts.old).sum();
        let new: usize = servers.values().map(|counts| counts.new).sum();
        if old == 0 && new == 0 {
            return None;
        }
        let began = unix_start + (self.seen.min(now) - Moment::ZERO);
        let (state, reason) = if old == 0 {
            (RolloutState::Completed, RolloutReason::Proved)
        } else {
            (RolloutState::Running, RolloutReason::None)
        };
        Some(DueWrite::Record(RolloutRecord {
            order: order.number(),
            target: order.order.target.clone(),
            began_ms: u64::try_from(began.as_millis()).unwrap_or(u64::MAX),
            state,
            reason,
        }))
    }
}

/// The final record of a rollout.
fn final_record(record: &RolloutRecord, reason: RolloutReason) -> DueWrite {
    let state = if reason == RolloutReason::Proved {
        RolloutState::Completed
    } else {
        RolloutState::RolledBack
    };
    DueWrite::Record(RolloutRecord {
        state,
        reason,
        ..record.clone()
    })
}
