//! Cost model of model servers.
//!
//! The time of a batch step has a fixed part, a part for each running request and a part for
//! each prompt token that is prefilled in the step. So the time to first byte grows with the
//! tokens of the prompt that are not yet prefilled, with the pending prefill tokens of other
//! requests at the server, which count less if those are less urgent, and with the number of
//! running requests. The time between two events grows with running requests and prefill.

use std::time::Duration;

use super::linear::LinearFit;

/// Units in which tokens and requests are counted as inputs, so that all weights have a
/// similar magnitude.
const TOKEN_UNIT: f64 = 1e3;
const REQUEST_UNIT: f64 = 10.0;

/// Prior weights of the time to first byte in milliseconds: fixed part; per thousand prefill
/// tokens of the request; per thousand of other requests that are at least as urgent; per
/// thousand of less urgent requests; per ten running requests. The prior describes an engine
/// in the middle of the range from 20 to 200 tokens a millisecond.
const FIRST_PRIOR: [f64; 5] = [40.0, 20.0, 12.0, 5.0, 4.0];
/// Bounds of the weights, beyond those of any engine: a fixed part of up to 10 s, a prefill
/// rate of 1 token a millisecond, and a batch in which a single request costs 1 s.
const FIRST_BOUNDS: [(f64, f64); 5] = [(0.0, 1e4), (0.1, 1e3), (0.0, 1e3), (0.0, 1e3), (0.0, 1e4)];
/// Prior weights of the interval between two events in milliseconds: fixed part; per ten
/// running requests; per thousand tokens that are being prefilled when the response begins,
/// spread over the whole response.
const EVENT_INTERVAL_PRIOR: [f64; 3] = [40.0, 8.0, 5.0];
const EVENT_INTERVAL_BOUNDS: [(f64, f64); 3] = [(0.0, 1e4), (0.0, 1e4), (0.0, 1e3)];

/// Load of a model server when a request arrives.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineLoad {
    /// Prompt tokens of the request that have to be prefilled.
    pub own: u64,
    /// Pending prefill tokens of other requests that are at least as urgent.
    pub ahead: u64,
    /// Pending prefill tokens of other requests that are less urgent.
    pub behind: u64,
    /// Other requests in progress.
    pub running: u32,
}

impl EngineLoad {
    /// Pending prefill tokens of all other requests.
    pub(crate) fn others(&self) -> u64 {
        self.ahead.saturating_add(self.behind)
    }

    /// The same request on an otherwise idle server.
    pub(crate) fn alone(&self) -> Self {
        Self {
            own: self.own,
            ..Self::default()
        }
    }

    /// Model input of the time to first byte.
    fn first_input(&self) -> [f64; 5] {
        [
            1.0,
            self.own as f64 / TOKEN_UNIT,
            self.ahead as f64 / TOKEN_UNIT,
            self.behind as f64 / TOKEN_UNIT,
            f64::from(self.running) / REQUEST_UNIT,
        ]
    }

    /// Model input of the interval between events, for a response with `gaps` intervals.
    fn event_interval_input(&self, gaps: f64) -> [f64; 3] {
        let prefill = self
            .own
            .saturating_add(self.ahead)
            .saturating_add(self.behind);
        [
            1.0,
            f64::from(self.running) / REQUEST_UNIT,
            prefill as f64 / TOKEN_UNIT / gaps.max(1.0),
        ]
    }
}

/// Learned cost model of the model servers of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineCosts {
    pub(crate) first: LinearFit<5>,
    pub(crate) event_interval: LinearFit<3>,
}

impl Default for EngineCosts {
    fn default() -> Self {
        Self {
            first: LinearFit::new(FIRST_PRIOR, FIRST_BOUNDS),
            event_interval: LinearFit::new(EVENT_INTERVAL_PRIOR, EVENT_INTERVAL_BOUNDS),
        }
    }
}

impl EngineCosts {
    /// Expected time to first byte in milliseconds.
    pub fn first_ms(&self, load: &EngineLoad) -> f64 {
        self.first.predict(&load.first_input())
    }

    /// Expected interval between two events in milliseconds, for a response with `gaps`
    /// intervals.
    pub fn pace_ms(&self, load: &EngineLoad, gaps: f64) -> f64 {
        self.event_interval
            .predict(&load.event_interval_input(gaps))
    }

    /// Expected time to prefill `tokens` of a prompt in milliseconds.
    pub fn read_ms(&self, tokens: u64) -> f64 {
        self.first.weights()[1] * tokens as f64 / TOKEN_UNIT
    }

    /// Learns from a first byte that arrived after `took`. Larger values of `uncertainty` reduce the
    /// weight of the observation.
    pub fn learn_first(&mut self, load: &EngineLoad, took: Duration, uncertainty: f64) {
        let ms = took.as_secs_f64() * 1e3;
        self.first.learn(&load.first_input(), ms, uncertainty);
    }

    /// Learns from the time `took` between the first and the last event of a response with
    /// `gaps` intervals.
    pub fn learn_rest(&mut self, load: &EngineLoad, took: Duration, gaps: f64, uncertainty: f64) {
        let ms = took.as_secs_f64() * 1e3 / gaps.max(1.0);
        self.event_interval
            .learn(&load.event_interval_input(gaps), ms, uncertainty);
    }

    /// Creates a cost model from weights that were learned elsewhere, clamped to their bounds.
    pub(crate) fn with_weights(first: &[f64; 5], event_interval: &[f64; 3]) -> Self {
        Self {
            first: LinearFit::new(bound_first(first), FIRST_BOUNDS),
            event_interval: LinearFit::new(
                bound_event_interval(event_interval),
                EVENT_INTERVAL_BOUNDS,
            ),
        }
    }
}

/// Clamps weights of the time to first byte to their bounds.
pub(crate) fn bound_first(weights: &[f64; 5]) -> [f64; 5] {
    bounded(weights, &FIRST_BOUNDS)
}

/// Clamps weights of the interval between events to their bounds.
pub(crate) fn bound_event_interval(weights: &[f64; 3]) -> [f64; 3] {
    bounded(weights, &EVENT_INTERVAL_BOUNDS)
}

/// Clamps weights to their bounds; NaN becomes the lower bound.
fn bounded<const N: usize>(weights: &[f64; N], bounds: &[(f64, f64); N]) -> [f64; N] {
    std::array::from_fn(|i| {
        let (low, high) = bounds[i];
        // `max` returns the bound if the weight is NaN.
        weights[i].max(low).min(high)
    })
}
