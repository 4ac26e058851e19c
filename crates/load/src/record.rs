//! Results of a run.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::caller::{CallOutcome, CallResult};
use crate::scenario::LoadKind;

/// Largest recorded latency: ten minutes, in microseconds.
const MAX_MICROS: u64 = 600_000_000;

/// Collects the results of one kind.
pub(crate) struct KindRecord {
    first_byte: Histogram<u64>,
    whole: Histogram<u64>,
    result: KindResult,
}

/// Results of one kind; times are in milliseconds.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct KindResult {
    /// Number of requests that arrived after the warm-up.
    pub requests: u64,
    /// Complete responses.
    pub answered: u64,
    /// Complete responses within the deadline.
    pub in_time: u64,
    /// Complete responses from another region.
    pub away: u64,
    /// Requests whose last attempt was reported as not run.
    pub not_run: u64,
    /// Requests reported as possibly run.
    pub may_have_run: u64,
    /// Responses that ended early.
    pub broken: u64,
    /// Requests without a response.
    pub lost: u64,
    /// Number of attempts of callers.
    pub attempts: u64,
    /// Latency quantiles to the first byte of complete responses: p50, p95, p99.
    pub first_byte_ms: [f64; 3],
    /// Latency quantiles to completion of complete responses: p50, p95, p99.
    pub whole_ms: [f64; 3],
    /// Weight of a completion.
    pub weight: f64,
}

/// Results of a run.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct LoadResult {
    /// Name of the scenario.
    pub scenario: String,
    /// Label of the run, such as the policy.
    pub label: String,
    /// Length of the load without the warm-up, in seconds.
    pub seconds: f64,
    /// Results by kind.
    pub kinds: BTreeMap<String, KindResult>,
    /// Weighted completions within their deadline, per second.
    pub weighted_per_second: f64,
    /// Share of the complete responses that came from another region.
    pub away_share: f64,
    /// Seconds of server work per weighted completion.
    pub cost: f64,
    /// Number of requests that must not be repeated but ran more than once; must be 0.
    pub doubled_runs: u64,
    /// Number of runs of requests that were reported as not run; must be 0.
    pub false_not_run: u64,
    /// Control bytes per second and daemon, sent and received.
    pub control_bytes: f64,
    /// Retries by the entries per first attempt.
    pub retry_share: f64,
    /// Switches between forwarding to other regions and not, per minute.
    pub switches_per_minute: f64,
}

impl KindRecord {
    pub(crate) fn new(kind: &LoadKind) -> Self {
        let histogram = || {
            Histogram::new_with_bounds(1, MAX_MICROS, 3)
                .unwrap_or_else(|_| unreachable!("constant bounds are valid"))
        };
        let result = KindResult {
            weight: kind.weight,
            ..KindResult::default()
        };
        Self {
            first_byte: histogram(),
            whole: histogram(),
            result,
        }
    }

    pub(crate) fn record(&mut self, kind: &LoadKind, call: &CallResult) {
        let result = &mut self.result;
        result.requests += 1;
        result.attempts += u64::from(call.attempts);
        match call.outcome {
            CallOutcome::Answered => {
                result.answered += 1;
                result.in_time += u64::from(call.whole <= kind.deadline);
                result.away += u64::from(call.is_remote);
                self.first_byte.saturating_record(micros(call.first_byte));
                self.whole.saturating_record(micros(call.whole));
            }
            CallOutcome::NotRun => result.not_run += 1,
            CallOutcome::MayHaveRun => result.may_have_run += 1,
            CallOutcome::Broken => result.broken += 1,
            CallOutcome::Lost => result.lost += 1,
        }
    }

    pub(crate) fn into_result(self) -> KindResult {
        let mut result = self.result;
        result.first_byte_ms = quantiles(&self.first_byte);
        result.whole_ms = quantiles(&self.whole);
        result
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(MAX_MICROS).max(1)
}

fn quantiles(histogram: &Histogram<u64>) -> [f64; 3] {
    [0.5, 0.95, 0.99].map(|q| histogram.value_at_quantile(q) as f64 / 1000.0)
}
