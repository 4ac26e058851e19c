//! Expected times of a request at a server, and what answers teach.
//!
//! A prediction is the learned cost of the service times the server's own
//! slowness. Servers that are slow by themselves teach what they would have taken
//! at the usual speed, so that a few of them do not slow the picture of all.

use std::time::Duration;

use onyxfall_policy::Moment;
use onyxfall_types::{ServerId, ServiceName, VmName};

use crate::call::CallRequirements;
use crate::learn::{CostReport, CostSource, CostView, EngineLoad, ServiceCosts};
use crate::server::{AttemptResult, ServerLoad, ServerState};
use crate::switches::DecisionSwitch;
use crate::view::FleetView;

/// Gaps between events of an answer from which its pace counts: the time of one or
/// two is that of a network packet.
const LEAST_GAPS: f64 = 4.0;
/// Gaps of an answer whose length is not known.
const USUAL_GAPS: f64 = 50.0;

/// Expected times of a request at a server, from its sending.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TimePrediction {
    /// To the first byte.
    pub first: Duration,
    /// To the first byte if all prompts that are there were read before, one after the
    /// other: what the request costs those that it goes before counts in it.
    pub loaded: Duration,
    /// The part of `loaded` that is the reading of others' prompts.
    pub backlog: Duration,
    /// To the end of the answer; the same where the length is not known.
    pub whole: Duration,
}

impl FleetView {
    /// Expected times of a request that is sent to a server now.
    pub fn predict(&self, now: Moment, id: ServerId, needs: &CallRequirements) -> TimePrediction {
        let server = self.server(id);
        let slowness = server.slowness(now);
        let costs = self.costs(&needs.service);
        let in_time = |ms: f64| millis(ms * slowness);
        match server.load(now, needs) {
            ServerLoad::Engine(load) => {
                let first = costs.first_ms(&load);
                let alone = costs.first_ms(&load.alone());
                let backlog = costs.read_ms(load.others());
                TimePrediction {
                    first: in_time(first),
                    loaded: in_time(alone + backlog),
                    backlog: in_time(backlog),
                    whole: in_time(first)
                        + millis(rest_ms(costs, &load, needs) * server.pace_slowness()),
                }
            }
            ServerLoad::Plain(turns) => {
                let alone = costs.plain_ms();
                let first = in_time(alone * turns);
                TimePrediction {
                    first,
                    loaded: first,
                    backlog: in_time(alone * (turns - 1.0)),
                    whole: first,
                }
            }
        }
    }

    /// Whether the whole answer is expected before the caller leaves.
    pub fn is_in_time(
        &self,
        now: Moment,
        predicted: &TimePrediction,
        needs: &CallRequirements,
    ) -> bool {
        let counts = self.switches().is_on(DecisionSwitch::WholeAnswers);
        !counts || now + predicted.whole <= needs.deadline
    }

    /// Expected time to the first byte.
    pub fn predict_first(&self, now: Moment, id: ServerId, needs: &CallRequirements) -> Duration {
        self.predict(now, id, needs).first
    }

    /// Expected time between two events of an answer at a server.
    pub fn predict_event_interval(
        &self,
        now: Moment,
        id: ServerId,
        needs: &CallRequirements,
    ) -> Duration {
        let server = self.server(id);
        let pace = match server.load(now, needs) {
            ServerLoad::Engine(load) => self.costs(&needs.service).pace_ms(&load, USUAL_GAPS),
            ServerLoad::Plain(_) => None,
        };
        millis(pace.unwrap_or(0.0) * server.pace_slowness())
    }

    /// Work that a request brings to the servers of its service where `kept` of its
    /// prompt need not be read: the reading, or its part of a plain server's time.
    pub fn work_of(&self, needs: &CallRequirements, kept: u64) -> Duration {
        let costs = self.costs(&needs.service);
        if needs.engine.is_some() {
            return millis(costs.read_ms(needs.prompt.input.saturating_sub(kept)));
        }
        let servers = self.servers_of(&needs.service).iter();
        let slots = servers.map(|id| self.server(*id).record.slots).max();
        millis(costs.plain_ms() / f64::from(slots.unwrap_or(1).max(1)))
    }

    /// Time that servers of a service take to read `tokens` of a prompt.
    pub fn prefill_time(&self, service: &ServiceName, tokens: u64) -> Duration {
        millis(self.costs(service).read_ms(tokens))
    }

    /// Notes that attempt `attempt` is sent to a server.
    pub fn start_attempt(
        &mut self,
        now: Moment,
        id: ServerId,
        attempt: u64,
        needs: &CallRequirements,
    ) {
        let predicted = self.predict_first(now, id, needs);
        self.server_mut(id).start(now, attempt, needs, predicted);
    }

    /// Notes the first byte of an attempt; how many times slower than usual it came.
    pub fn note_answer(&mut self, now: Moment, id: ServerId, attempt: u64) -> Option<f64> {
        let seen = self.server_mut(id).answer(now, attempt)?;
        // A cold server's times say nothing of a warm one's.
        if !self.learns() || self.server(id).is_cold(now) {
            return Some(seen.ratio);
        }
        let factor = self.relative_slowness(id, seen.slowness);
        let took = seen.took.div_f64(factor);
        let doubt = factor.max(1.0 / factor);
        let service = self.server(id).record.service.clone();
        let costs = self.costs_mut(&service);
        match seen.load {
            ServerLoad::Engine(load) => costs.engine_mut().learn_first(&load, took, doubt),
            ServerLoad::Plain(turns) => costs.plain_mut().learn(took, turns),
        }
        Some(seen.ratio)
    }

    /// Notes the end of an attempt; `events` of its answer have come, if it is a
    /// stream. How many times slower than usual they came, if that is known.
    pub fn end_attempt(
        &mut self,
        now: Moment,
        id: ServerId,
        attempt: u64,
        result: AttemptResult,
        events: Option<u32>,
    ) -> Option<f64> {
        let since = self.server(id).since_answer(now, attempt);
        self.server_mut(id).end(now, attempt, result);
        let gaps = f64::from(events.unwrap_or(0).saturating_sub(1));
        let is_whole = result == AttemptResult::Succeeded && gaps >= LEAST_GAPS;
        match (since, is_whole) {
            (Some((ServerLoad::Engine(load), took)), true) => {
                self.learn_rest(now, id, &load, took, gaps)
            }
            _ => None,
        }
    }

    fn learn_rest(
        &mut self,
        now: Moment,
        id: ServerId,
        load: &EngineLoad,
        took: Duration,
        gaps: f64,
    ) -> Option<f64> {
        if !self.learns() || self.server(id).is_cold(now) {
            return None;
        }
        let service = self.server(id).record.service.clone();
        let predicted = self.costs(&service).pace_ms(load, gaps);
        let pace = took.div_f64(gaps);
        let ratio = predicted.map(|ms| pace.as_secs_f64() * 1e3 / ms.max(f64::MIN_POSITIVE));
        if let Some(ratio) = ratio {
            self.server_mut(id).note_pace(ratio);
        }
        let factor = self.server(id).pace_slowness();
        let took = took.div_f64(factor);
        let costs = self.costs_mut(&service);
        costs
            .engine_mut()
            .learn_rest(load, took, gaps, factor.max(1.0 / factor));
        ratio
    }

    /// What this VM tells others of the costs of each service.
    pub fn cost_reports(&self, view: CostView) -> impl Iterator<Item = (&ServiceName, CostReport)> {
        self.all_costs()
            .filter_map(move |(service, costs)| Some((service, costs.report(view)?)))
    }

    /// Takes what another VM tells of the costs of a service; whether a figure was
    /// absurd and had to be bounded.
    pub fn receive_costs(
        &mut self,
        now: Moment,
        vm: &VmName,
        teller: CostSource,
        service: &ServiceName,
        report: CostReport,
    ) -> bool {
        self.learns() && self.costs_mut(service).receive(now, vm, teller, report)
    }

    fn learns(&self) -> bool {
        self.switches().is_on(DecisionSwitch::LearnedCosts)
    }

    /// How much slower a server is than the median of its service in this region.
    fn relative_slowness(&self, id: ServerId, slowness: f64) -> f64 {
        let server = self.server(id);
        let mut others: Vec<f64> = self
            .servers_of(&server.record.service)
            .iter()
            .map(|other| self.server(*other))
            .filter(|other| other.region == server.region)
            .map(ServerState::learned_slowness)
            .collect();
        if others.is_empty() {
            return 1.0;
        }
        let middle = others.len() / 2;
        let (_, median, _) = others.select_nth_unstable_by(middle, f64::total_cmp);
        slowness / median.max(f64::MIN_POSITIVE)
    }
}

/// Milliseconds from the first event of an answer to its end.
fn rest_ms(costs: &ServiceCosts, load: &EngineLoad, needs: &CallRequirements) -> f64 {
    let gaps = (needs.events.unwrap_or(1.0) - 1.0).max(0.0);
    costs.pace_ms(load, gaps).unwrap_or(0.0) * gaps
}

/// Longest time that is predicted: beyond, every request is late alike.
const LONGEST_MS: f64 = 3_600_000.0;

fn millis(ms: f64) -> Duration {
    Duration::from_secs_f64(ms.clamp(0.0, LONGEST_MS) / 1e3)
}
