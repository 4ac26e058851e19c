//! Expected times of a request at a server, and learning from responses.
//!
//! A prediction is the learned cost of the service times the slowness and the pace of the
//! server. Samples of slow servers are divided by their slowness, so that a few of them do
//! not raise the learned cost of the whole service. All samples are divided by the pace, so
//! that a spell of slow work is not learned as slowness of the server; a sample is not used
//! if the pace changed meanwhile and the change explains it.

use std::time::Duration;

use onyxfall_policy::Moment;
use onyxfall_types::{ServerId, ServiceName, VmName};

use crate::call::CallRequirements;
use crate::learn::{CostReport, CostSource, CostView, EngineLoad, ServiceCosts};
use crate::server::{AttemptResult, ServerLoad, ServerState, SinceFirstByte};
use crate::switches::DecisionSwitch;
use crate::view::FleetView;

/// Minimum number of event gaps from which the event interval of a response is learned.
/// The time of one or two gaps is that of a network packet.
const MIN_GAPS: f64 = 4.0;
/// Number of event gaps assumed for a response of unknown length.
const DEFAULT_GAPS: f64 = 50.0;

/// Expected times of a request at a server, counted from sending it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TimePrediction {
    /// Time to the first byte.
    pub first: Duration,
    /// Time to the first byte if all prompts at the server were prefilled first,
    /// sequentially. It includes the delay that the request causes to those it
    /// overtakes.
    pub loaded: Duration,
    /// Part of `loaded` that is the prefill of other prompts.
    pub backlog: Duration,
    /// Time to the end of the response; equal to `first` where the length is unknown.
    pub whole: Duration,
}

impl FleetView {
    /// Predicts the times of a request that is sent to a server now.
    pub fn predict(&self, now: Moment, id: ServerId, needs: &CallRequirements) -> TimePrediction {
        let server = self.server(id);
        let slowness = server.slowness(now);
        let pace = server.pace(now).factor();
        let costs = self.costs(&needs.service);
        let scaled = |ms: f64| millis(ms * slowness * pace);
        match server.load(now, needs) {
            ServerLoad::Engine(load) => {
                let first = costs.first_ms(&load);
                let alone = costs.first_ms(&load.alone());
                let backlog = costs.read_ms(load.others());
                let events = events_ms(costs, &load, needs) * server.interval_slowness();
                TimePrediction {
                    first: scaled(first),
                    loaded: scaled(alone + backlog),
                    backlog: scaled(backlog),
                    whole: scaled(first) + millis(events * pace),
                }
            }
            ServerLoad::Plain(turns) => {
                let alone = costs.plain_ms();
                let first = scaled(alone * turns);
                TimePrediction {
                    first,
                    loaded: first,
                    backlog: scaled(alone * (turns - 1.0)),
                    whole: first,
                }
            }
        }
    }

    /// Whether the whole response is expected before the caller's deadline.
    pub fn is_in_time(
        &self,
        now: Moment,
        predicted: &TimePrediction,
        needs: &CallRequirements,
    ) -> bool {
        let is_checked = self.switches().is_on(DecisionSwitch::WholeAnswers);
        !is_checked || now + predicted.whole <= needs.deadline
    }

    /// Expected time to the first byte.
    pub fn predict_first(&self, now: Moment, id: ServerId, needs: &CallRequirements) -> Duration {
        self.predict(now, id, needs).first
    }

    /// Expected time between two events of a response at a server.
    pub fn predict_event_interval(
        &self,
        now: Moment,
        id: ServerId,
        needs: &CallRequirements,
    ) -> Duration {
        let server = self.server(id);
        let interval = match server.load(now, needs) {
            ServerLoad::Engine(load) => self.costs(&needs.service).pace_ms(&load, DEFAULT_GAPS),
            ServerLoad::Plain(_) => None,
        };
        let interval = interval.unwrap_or(0.0) * server.interval_slowness();
        millis(interval * server.pace(now).factor())
    }

    /// Work that a request adds to the servers of its service if `cached` tokens of its
    /// prompt need no prefill: the prefill time, or its share of a plain server's time.
    pub fn work_of(&self, needs: &CallRequirements, cached: u64) -> Duration {
        let costs = self.costs(&needs.service);
        if needs.engine.is_some() {
            return millis(costs.read_ms(needs.prompt.input.saturating_sub(cached)));
        }
        let servers = self.servers_of(&needs.service).iter();
        let slots = servers.map(|id| self.server(*id).record.slots).max();
        millis(costs.plain_ms() / f64::from(slots.unwrap_or(1).max(1)))
    }

    /// Time that servers of a service take to prefill `tokens` of a prompt.
    pub fn prefill_time(&self, service: &ServiceName, tokens: u64) -> Duration {
        millis(self.costs(service).read_ms(tokens))
    }

    /// Records that attempt `attempt` is sent to a server.
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

    /// Records the first byte of an attempt. Returns the ratio of its time to the usual
    /// one.
    pub fn record_response(&mut self, now: Moment, id: ServerId, attempt: u64) -> Option<f64> {
        let service = self.server(id).record.service.clone();
        self.end_silence(now, &service);
        let silence_end = self.silence_end(&service);
        let server = self.server_mut(id);
        let first_byte = server.record_first_byte(now, attempt, silence_end)?;
        if first_byte.is_usual {
            self.record_usual_response(&service);
        }
        // Times of a cold server do not apply to a warm one.
        if !self.learns_costs() || self.server(id).is_cold(now) {
            return Some(first_byte.ratio);
        }
        let Some(took) = first_byte.took else {
            return Some(first_byte.ratio);
        };
        let factor = self.relative_slowness(id, first_byte.slowness);
        let took = took.div_f64(factor);
        let uncertainty = factor.max(1.0 / factor);
        let costs = self.costs_mut(&service);
        match first_byte.load {
            ServerLoad::Engine(load) => costs.engine_mut().learn_first(&load, took, uncertainty),
            ServerLoad::Plain(turns) => costs.plain_mut().learn(took, turns),
        }
        Some(first_byte.ratio)
    }

    /// Records the end of an attempt, with the number of `events` received if the
    /// response is a stream. Returns the ratio of their interval to the usual one, if
    /// known.
    pub fn end_attempt(
        &mut self,
        now: Moment,
        id: ServerId,
        attempt: u64,
        result: AttemptResult,
        events: Option<u32>,
    ) -> Option<f64> {
        let server = self.server(id);
        let silence_end = self.silence_end(&server.record.service);
        let since = server.since_first_byte(now, attempt, silence_end);
        self.server_mut(id).end(now, attempt, result);
        if result == AttemptResult::Shed {
            self.record_brittle_rejection(now, id);
        }
        let gaps = f64::from(events.unwrap_or(0).saturating_sub(1));
        let has_interval = result == AttemptResult::Succeeded && gaps >= MIN_GAPS;
        match (since, has_interval) {
            (Some(since), true) => self.learn_events(now, id, &since, gaps),
            _ => None,
        }
    }

    fn learn_events(
        &mut self,
        now: Moment,
        id: ServerId,
        since: &SinceFirstByte,
        gaps: f64,
    ) -> Option<f64> {
        let ServerLoad::Engine(load) = &since.load else {
            return None;
        };
        if !self.learns_costs() || self.server(id).is_cold(now) {
            return None;
        }
        let service = self.server(id).record.service.clone();
        let predicted = self.costs(&service).pace_ms(load, gaps);
        let interval = since.took.div_f64(gaps);
        let ratio = predicted.map(|ms| interval.as_secs_f64() * 1e3 / ms.max(f64::MIN_POSITIVE));
        // Without a prediction the larger pace applies, so that no slow spell is learned as
        // the usual interval.
        let observed = ratio.map_or(f64::INFINITY, |ratio| {
            ratio / self.server(id).interval_slowness()
        });
        let pace = since.first_pace.factor_until(since.last_pace, observed)?;
        let ratio = ratio.map(|ratio| ratio / pace);
        if let Some(ratio) = ratio {
            self.server_mut(id).record_event_interval(ratio);
        }
        let factor = self.server(id).interval_slowness();
        let took = since.took.div_f64(pace).div_f64(factor);
        let costs = self.costs_mut(&service);
        costs
            .engine_mut()
            .learn_rest(load, took, gaps, factor.max(1.0 / factor));
        ratio
    }

    /// Reports of the costs of each service for other VMs.
    pub fn cost_reports(&self, view: CostView) -> impl Iterator<Item = (&ServiceName, CostReport)> {
        self.all_costs()
            .filter_map(move |(service, costs)| Some((service, costs.report(view)?)))
    }

    /// Applies another VM's report of the costs of a service. Returns whether a figure
    /// was out of bounds and had to be clamped.
    pub fn receive_costs(
        &mut self,
        now: Moment,
        vm: &VmName,
        source: CostSource,
        service: &ServiceName,
        report: CostReport,
    ) -> bool {
        self.learns_costs() && self.costs_mut(service).receive(now, vm, source, report)
    }

    fn learns_costs(&self) -> bool {
        self.switches().is_on(DecisionSwitch::LearnedCosts)
    }

    /// Slowness of a server relative to the median of its service in this region.
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

/// Milliseconds from the first event of a response to its end.
fn events_ms(costs: &ServiceCosts, load: &EngineLoad, needs: &CallRequirements) -> f64 {
    let gaps = (needs.events.unwrap_or(1.0) - 1.0).max(0.0);
    costs.pace_ms(load, gaps).unwrap_or(0.0) * gaps
}

/// Upper bound of a predicted time. Beyond it all requests are late.
const MAX_PREDICTED_MS: f64 = 3_600_000.0;

fn millis(ms: f64) -> Duration {
    Duration::from_secs_f64(ms.clamp(0.0, MAX_PREDICTED_MS) / 1e3)
}
