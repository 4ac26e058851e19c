//! Times of a model server.
//!
//! A step of a batch costs a part of its own, a part for each running request and
//! a part for each prompt token read in it. So the time to a first byte grows with
//! the prompt's unread tokens, with the unread tokens that other requests have
//! there, which count for less if they are less urgent, and with the requests
//! under way; the time between two events grows with requests and with reading.

use std::time::Duration;

use super::linear::LinearFit;

/// Tokens, requests and reading in which inputs are counted, so that all weights
/// are of a like size.
const TOKEN_UNIT: f64 = 1e3;
const REQUEST_UNIT: f64 = 10.0;

/// Milliseconds to a first byte: a part of its own; for a thousand own unread
/// tokens; for a thousand of requests at least as urgent, and of less urgent ones;
/// for ten requests under way. The prior stands for an engine in the middle of
/// 20 to 200 tokens a millisecond.
const FIRST_PRIOR: [f64; 5] = [40.0, 20.0, 12.0, 5.0, 4.0];
/// From nothing to ten seconds of base, 1 token a millisecond and a batch in which
/// a single request costs a second: beyond lies no engine.
const FIRST_BOUNDS: [(f64, f64); 5] = [(0.0, 1e4), (0.1, 1e3), (0.0, 1e3), (0.0, 1e3), (0.0, 1e4)];
/// Milliseconds between two events: a part of its own, for ten requests under way,
/// and, once for the whole answer, for a thousand tokens that are being read when it
/// begins.
const PACE_PRIOR: [f64; 3] = [40.0, 8.0, 5.0];
const PACE_BOUNDS: [(f64, f64); 3] = [(0.0, 1e4), (0.0, 1e4), (0.0, 1e3)];

/// What a model server has to do when a request comes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineLoad {
    /// Prompt tokens of the request that it must read.
    pub own: u64,
    /// Unread tokens of other requests that are at least as urgent.
    pub ahead: u64,
    /// Unread tokens of other requests that are less urgent.
    pub behind: u64,
    /// Other requests under way.
    pub running: u32,
}

impl EngineLoad {
    /// Unread tokens of other requests.
    pub(crate) fn others(&self) -> u64 {
        self.ahead.saturating_add(self.behind)
    }

    /// The same with no other request.
    pub(crate) fn alone(&self) -> Self {
        Self {
            own: self.own,
            ..Self::default()
        }
    }

    fn first_input(&self) -> [f64; 5] {
        [
            1.0,
            self.own as f64 / TOKEN_UNIT,
            self.ahead as f64 / TOKEN_UNIT,
            self.behind as f64 / TOKEN_UNIT,
            f64::from(self.running) / REQUEST_UNIT,
        ]
    }

    fn pace_input(&self, gaps: f64) -> [f64; 3] {
        let reading = self
            .own
            .saturating_add(self.ahead)
            .saturating_add(self.behind);
        [
            1.0,
            f64::from(self.running) / REQUEST_UNIT,
            reading as f64 / TOKEN_UNIT / gaps.max(1.0),
        ]
    }
}

/// What the model servers of a service cost.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineCosts {
    pub(crate) first: LinearFit<5>,
    pub(crate) pace: LinearFit<3>,
}

impl Default for EngineCosts {
    fn default() -> Self {
        Self {
            first: LinearFit::new(FIRST_PRIOR, FIRST_BOUNDS),
            pace: LinearFit::new(PACE_PRIOR, PACE_BOUNDS),
        }
    }
}

impl EngineCosts {
    /// Expected milliseconds to a first byte.
    pub fn first_ms(&self, load: &EngineLoad) -> f64 {
        self.first.predict(&load.first_input())
    }

    /// Expected milliseconds between two events of an answer with so many gaps.
    pub fn pace_ms(&self, load: &EngineLoad, gaps: f64) -> f64 {
        self.pace.predict(&load.pace_input(gaps))
    }

    /// Milliseconds that a server takes to read `tokens` of a prompt.
    pub fn read_ms(&self, tokens: u64) -> f64 {
        self.first.weights()[1] * tokens as f64 / TOKEN_UNIT
    }

    /// Takes a first byte that came after `took`.
    pub fn learn_first(&mut self, load: &EngineLoad, took: Duration, doubt: f64) {
        let ms = took.as_secs_f64() * 1e3;
        self.first.learn(&load.first_input(), ms, doubt);
    }

    /// Takes the time from the first event of an answer to its last, over so many gaps.
    pub fn learn_rest(&mut self, load: &EngineLoad, took: Duration, gaps: f64, doubt: f64) {
        let ms = took.as_secs_f64() * 1e3 / gaps.max(1.0);
        self.pace.learn(&load.pace_input(gaps), ms, doubt);
    }

    /// Costs with weights from elsewhere, within their bounds.
    pub(crate) fn with_weights(first: &[f64; 5], pace: &[f64; 3]) -> Self {
        Self {
            first: LinearFit::new(bound_first(first), FIRST_BOUNDS),
            pace: LinearFit::new(bound_pace(pace), PACE_BOUNDS),
        }
    }
}

/// Weights of the time to a first byte, within their bounds.
pub(crate) fn bound_first(weights: &[f64; 5]) -> [f64; 5] {
    bounded(weights, &FIRST_BOUNDS)
}

/// Weights of the time between events, within their bounds.
pub(crate) fn bound_pace(weights: &[f64; 3]) -> [f64; 3] {
    bounded(weights, &PACE_BOUNDS)
}

/// Weights from elsewhere, within their bounds; what is no number becomes the least.
fn bounded<const N: usize>(weights: &[f64; N], bounds: &[(f64, f64); N]) -> [f64; N] {
    std::array::from_fn(|i| {
        let (low, high) = bounds[i];
        // `max` takes the bound if the weight is no number.
        weights[i].max(low).min(high)
    })
}
