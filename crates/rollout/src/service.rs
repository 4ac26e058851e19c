//! The roll-out of one service, as this VM knows it.

use std::collections::BTreeMap;
use std::time::Duration;

use onyxfall_policy::Moment;
use onyxfall_types::{RegionName, RouteName, SoftwareVersion, StorePosition};
use rand::Rng;

use crate::evidence::{RolloutEvidence, VersionSide};
use crate::history::EvidenceHistory;
use crate::judge::{BadMetric, RolloutJudgement};
use crate::order::RolloutOrder;
use crate::record::{RolloutReason, RolloutRecord, RolloutState};
use crate::sample::{CanaryShare, SAMPLE_PART};
use crate::timeline::RolloutTimeline;

/// Time between two looks at the evidence.
const JUDGE_INTERVAL: Duration = Duration::from_millis(200);
/// Answers of the new version in a region without which it is not proved there.
const LEAST_ANSWERS: u64 = 10;
/// Answers until which the sample is larger where the usual one would not bring so many
/// before the traffic moves, and the age from which that is known.
const SCARCE_ANSWERS: u64 = 40;
const RATE_AFTER: Duration = Duration::from_secs(2);
/// How long nothing is sent to the old servers after the record has said that they stop.
/// Later the same versions may have servers again, by an ordinary release.
const COMPLETED_GATE: Duration = Duration::from_secs(15);
/// Age of the process from which an order that it sees was just written.
const LIVE_AFTER: Duration = Duration::from_secs(3);

/// Servers of a service in a region, by version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerCounts {
    /// Of any other version than the one that is ordered.
    pub old: usize,
    /// Of the one that is ordered.
    pub new: usize,
}

/// Where requests of a service go.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RolloutPhase {
    /// The store's record does not say yet that the roll-out runs.
    Waiting,
    /// A sample goes to the new version.
    Sampling,
    /// The region moves its traffic.
    Shifting {
        /// Part of the requests that go to the new version.
        new_part: f64,
        /// Whether the old servers may take what the new ones cannot.
        old_is_spare: bool,
    },
    /// The old servers stop.
    Completed,
    /// The new version is given up.
    RolledBack,
}

impl RolloutPhase {
    /// Word for logs and metrics.
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

/// Which servers of a service may have requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionRule {
    /// The version that is ordered.
    pub target: SoftwareVersion,
    /// The side that requests go to unless something else is said.
    pub usual: VersionSide,
    /// Whether nothing at all may begin at the other side.
    pub other_is_closed: bool,
}

/// An order with the position at which it was written. Its revision tells orders apart,
/// and is the same in the eras of a store that was restored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PendingOrder {
    pub(crate) order: RolloutOrder,
    position: StorePosition,
}

impl PendingOrder {
    /// Number by which records name it.
    pub(crate) fn number(&self) -> u64 {
        self.position.revision()
    }
}

/// A record with the revision at which it stands in the store; 0 if it does not.
#[derive(Clone, Debug, PartialEq, Eq)]
struct HeldRecord {
    record: RolloutRecord,
    revision: u64,
    seen: Moment,
    /// The store has lost it, and has it to be written again.
    is_lost: bool,
}

/// A region's word that it moves its traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ShiftMark {
    order: u64,
    revision: u64,
    seen: Moment,
    /// The store has lost it, and has it to be written again.
    is_lost: bool,
}

/// A change of the store that is due.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum DueWrite {
    /// The record of the roll-out.
    Record(RolloutRecord),
    /// The word that this region moves its traffic.
    Shift,
}

/// The roll-out of a service.
#[derive(Clone, Debug)]
pub(crate) struct ServiceRollout {
    order: Option<PendingOrder>,
    seen: Moment,
    held: Option<HeldRecord>,
    marks: BTreeMap<RegionName, ShiftMark>,
    longest_answer: Duration,
    pub(crate) evidence: RolloutEvidence,
    history: EvidenceHistory,
    judged: Option<Moment>,
    pub(crate) judgement: RolloutJudgement,
    /// In which way this VM has found the version bad.
    verdict: Option<BadMetric>,
    sample: CanaryShare,
}

impl ServiceRollout {
    pub(crate) fn new() -> Self {
        Self {
            order: None,
            seen: Moment::ZERO,
            held: None,
            marks: BTreeMap::new(),
            longest_answer: Duration::ZERO,
            evidence: RolloutEvidence::new(""),
            history: EvidenceHistory::default(),
            judged: None,
            judgement: RolloutJudgement::default(),
            verdict: None,
            sample: CanaryShare::default(),
        }
    }

    /// Takes the operator's order. Another one than before begins with no evidence.
    pub(crate) fn take_order(&mut self, now: Moment, revision: u64, order: RolloutOrder) {
        let position = StorePosition::from_order(revision);
        let order = PendingOrder { order, position };
        if self.is_written_again(&order) {
            self.renumber(order);
            return;
        }
        let (ordered, number) = (&order.order, order.number());
        let scope = format!("{}/{}/{number}", ordered.service, ordered.target);
        self.evidence = RolloutEvidence::new(&scope);
        self.history = EvidenceHistory::default();
        self.judgement = RolloutJudgement::default();
        self.verdict = None;
        self.seen = now;
        self.order = Some(order);
    }

    /// Whether an order is the one that is held: at the same revision, or written again
    /// after the store was restored from a copy that lacked it.
    fn is_written_again(&self, order: &PendingOrder) -> bool {
        self.order.as_ref().is_some_and(|held| {
            let is_later_era = order.position.era() > held.position.era();
            held.order == order.order && (is_later_era || held.number() == order.number())
        })
    }

    /// Goes on with the order that is held under the number that it has now. What stands
    /// under another number in the store has to be written again.
    fn renumber(&mut self, order: PendingOrder) {
        let number = order.number();
        let before = self.order.replace(order).map(|held| held.number());
        if before == Some(number) {
            return;
        }
        if let Some(held) = &mut self.held
            && Some(held.record.order) == before
        {
            held.record.order = number;
            held.is_lost = true;
        }
        for mark in self.marks.values_mut() {
            if Some(mark.order) == before {
                mark.order = number;
                mark.is_lost = true;
            }
        }
    }

    /// The operator has taken the order back.
    pub(crate) fn withdraw(&mut self) {
        self.order = None;
    }

    pub(crate) fn order(&self) -> Option<&PendingOrder> {
        self.order.as_ref()
    }

    /// Takes the store's record.
    pub(crate) fn take_record(&mut self, now: Moment, revision: u64, record: RolloutRecord) {
        if let Some(held) = &mut self.held {
            if held.revision >= revision {
                return;
            }
            let is_ended = held.record.state != RolloutState::Running;
            let is_same = held.record.order == record.order;
            if is_same && is_ended && record.state == RolloutState::Running {
                // An end is final: this is an older copy of the record.
                held.revision = revision;
                held.is_lost = true;
                return;
            }
        }
        let seen = now;
        self.held = Some(HeldRecord {
            record,
            revision,
            seen,
            is_lost: false,
        });
    }

    /// Notes that the record no longer stands in the store.
    pub(crate) fn remove_record(&mut self) {
        if let Some(held) = &mut self.held {
            held.revision = 0;
            held.is_lost = true;
        }
    }

    /// Notes that a region's word no longer stands in the store.
    pub(crate) fn lose_mark(&mut self, region: &RegionName) {
        if let Some(mark) = self.marks.get_mut(region) {
            mark.revision = 0;
            mark.is_lost = true;
        }
    }

    /// Takes a region's word that it moves its traffic.
    pub(crate) fn take_mark(&mut self, now: Moment, region: RegionName, order: u64, revision: u64) {
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

    /// Revision of a region's word; 0 if there is none.
    pub(crate) fn mark_revision(&self, region: &RegionName) -> u64 {
        self.marks.get(region).map_or(0, |mark| mark.revision)
    }

    /// Revision of the record; 0 if there is none.
    pub(crate) fn record_revision(&self) -> u64 {
        self.held.as_ref().map_or(0, |held| held.revision)
    }

    /// Makes the routes of the service known, and how long their answers may take.
    pub(crate) fn set_routes(&mut self, routes: &[RouteName], longest_answer: Duration) {
        for route in routes {
            self.evidence.add_route(route);
        }
        self.longest_answer = longest_answer;
    }

    /// The record that answers the order in force; of a withdrawn order the last one.
    fn current(&self) -> Option<&HeldRecord> {
        let held = self.held.as_ref()?;
        let order = self.order.as_ref().map(PendingOrder::number);
        order
            .is_none_or(|order| order == held.record.order)
            .then_some(held)
    }

    /// Time since the roll-out began.
    fn age(&self, now: Moment, unix_start: Duration) -> Duration {
        let is_live = self.seen - Moment::ZERO >= LIVE_AFTER;
        let told = self.current().map(|held| held.record.began_ms);
        let told = told.filter(|_| !is_live).map(|began| {
            let began = Duration::from_millis(began);
            (unix_start + (now - Moment::ZERO)).saturating_sub(began)
        });
        told.unwrap_or_default().max(now - self.seen)
    }

    fn timeline(&self) -> RolloutTimeline {
        let time = self.order.as_ref().map_or(Duration::ZERO, |o| o.order.time);
        RolloutTimeline::new(time, self.longest_answer)
    }

    /// Where requests go now in a region; none if they go anywhere.
    pub(crate) fn phase(
        &self,
        now: Moment,
        unix_start: Duration,
        region: &RegionName,
    ) -> Option<RolloutPhase> {
        let state = self.current().map(|held| held.record.state);
        match (state, &self.order) {
            (Some(RolloutState::Completed), _) => {
                let seen = self.current().map_or(now, |held| held.seen);
                (now - seen < COMPLETED_GATE).then_some(RolloutPhase::Completed)
            }
            // An order that is taken back: the version gets nothing before the record says so.
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

    /// Why it has ended, or this VM has given it up.
    pub(crate) fn reason(&self) -> RolloutReason {
        let told = self.current().map(|held| held.record.reason);
        match (told, self.verdict) {
            (Some(RolloutReason::None) | None, Some(metric)) => metric.reason(),
            (told, _) => told.unwrap_or_default(),
        }
    }

    /// Which servers may have requests, in a phase.
    pub(crate) fn rule(&self, phase: RolloutPhase) -> Option<VersionRule> {
        let target = match (&self.order, &self.held) {
            (Some(order), _) => order.order.target.clone(),
            (None, Some(held)) => held.record.target.clone(),
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

    /// The side that a new request goes to, where that is not the usual one.
    pub(crate) fn other_side(
        &mut self,
        now: Moment,
        phase: RolloutPhase,
        rng: &mut impl Rng,
    ) -> Option<VersionSide> {
        match phase {
            RolloutPhase::Sampling => {
                let is_scarce = self.is_scarce(now);
                self.sample
                    .count(is_scarce, rng)
                    .then_some(VersionSide::New)
            }
            RolloutPhase::Shifting { new_part, .. } => {
                (!rng.random_bool(new_part)).then_some(VersionSide::Old)
            }
            RolloutPhase::Waiting | RolloutPhase::Completed | RolloutPhase::RolledBack => None,
        }
    }

    /// Whether so few requests come that the usual sample would prove nothing.
    fn is_scarce(&self, now: Moment) -> bool {
        let age = now - self.seen;
        let rate = self.judgement.old_answers as f64 / age.as_secs_f64().max(1.0);
        let usual = rate * SAMPLE_PART * self.timeline().shift_at.as_secs_f64();
        let is_enough = self.judgement.answers >= SCARCE_ANSWERS || usual >= SCARCE_ANSWERS as f64;
        age >= RATE_AFTER && !is_enough
    }

    /// Counts a request that is sent to the new version as one of the sample.
    pub(crate) fn claim_canary(&mut self) {
        self.sample.take();
    }

    /// Looks at the evidence; the verdict, if it is new.
    pub(crate) fn judge(&mut self, now: Moment) -> Option<BadMetric> {
        let is_running = self
            .current()
            .is_some_and(|held| held.record.state == RolloutState::Running);
        let is_due = self.judged.is_none_or(|at| now - at >= JUDGE_INTERVAL);
        if !is_running || !is_due || self.verdict.is_some() {
            return None;
        }
        self.judged = Some(now);
        self.judgement = self.history.judge(now, &self.evidence);
        self.verdict = self.judgement.bad();
        self.verdict
    }

    /// Whether the new version does as well as the old one in this region.
    fn is_proved(&self) -> bool {
        self.judgement.is_clear() && self.judgement.answers >= LEAST_ANSWERS
    }

    /// The change of the store that is due.
    pub(crate) fn due(
        &self,
        now: Moment,
        unix_start: Duration,
        region: &RegionName,
        servers: &BTreeMap<RegionName, ServerCounts>,
    ) -> Option<DueWrite> {
        let Some(order) = &self.order else {
            let held = self.held.as_ref()?;
            let is_running = held.record.state == RolloutState::Running;
            return is_running.then(|| end(&held.record, RolloutReason::Withdrawn));
        };
        let Some(held) = self.current() else {
            return self.beginning(now, unix_start, order, servers);
        };
        if held.is_lost {
            return Some(DueWrite::Record(held.record.clone()));
        }
        if held.record.state != RolloutState::Running {
            return None;
        }
        let own_mark = self.marks.get(region);
        if own_mark.is_some_and(|mark| mark.is_lost && mark.order == order.number()) {
            return Some(DueWrite::Shift);
        }
        if let Some(metric) = self.verdict {
            return Some(end(&held.record, metric.reason()));
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
        if is_shifted && age >= steps.complete_at {
            return Some(end(&held.record, RolloutReason::Proved));
        }
        let is_late = !is_shifted && age >= steps.give_up_at;
        is_late.then(|| end(&held.record, RolloutReason::Unproved))
    }

    /// The first record of an order. Where no server has another version, there is nothing
    /// to move.
    fn beginning(
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

/// The record of a roll-out that has ended.
fn end(record: &RolloutRecord, reason: RolloutReason) -> DueWrite {
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
