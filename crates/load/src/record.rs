//! What a run measured.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::caller::{CallOutcome, CallResult};
use crate::scenario::LoadKind;

/// Ten minutes in microseconds.
const MAX_MICROS: u64 = 600_000_000;

/// Collects the results of one kind.
pub(crate) struct KindRecord {
    first_byte: Histogram<u64>,
    whole: Histogram<u64>,
    result: KindResult,
}

/// What one kind measured; times in milliseconds.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct KindResult {
    /// Requests whose arrival counts.
    pub requests: u64,
    /// Whole answers.
    pub answered: u64,
    /// Whole answers within the deadline.
    pub in_time: u64,
    /// Whole answers from another region.
    pub away: u64,
    /// Told not-run at last.
    pub not_run: u64,
    /// Told may-have-run.
    pub may_have_run: u64,
    /// Broken answers.
    pub broken: u64,
    /// No answer at all.
    pub lost: u64,
    /// Attempts of callers.
    pub attempts: u64,
    /// Quantiles to the first byte of whole answers: p50, p95, p99.
    pub first_byte_ms: [f64; 3],
    /// Quantiles to completion of whole answers: p50, p95, p99.
    pub whole_ms: [f64; 3],
    /// How much a completion counts.
    pub weight: f64,
}

/// What a run measured.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct LoadResult {
    /// Scenario.
    pub scenario: String,
    /// Label of the run, such as the policy.
    pub label: String,
    /// Seconds that count.
    pub seconds: f64,
    /// Per kind.
    pub kinds: BTreeMap<String, KindResult>,
    /// Completions within their deadline, weighted, per second.
    pub weighted_per_second: f64,
    /// Part of the whole answers that came from another region.
    pub away_share: f64,
    /// Server seconds worked per weighted completion.
    pub cost: f64,
    /// Requests that may not be repeated and ran more than once; must be 0.
    pub doubled_runs: u64,
    /// Runs of requests whose caller was told not-run; must be 0.
    pub false_not_run: u64,
    /// Control bytes a second per daemon, sent and received.
    pub control_bytes: f64,
    /// Retries of the entries per first attempt.
    pub retry_share: f64,
    /// Changes between sending away and not, per minute.
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

    pub(crate) fn note(&mut self, kind: &LoadKind, call: &CallResult) {
        let result = &mut self.result;
        result.requests += 1;
        result.attempts += u64::from(call.attempts);
        match call.outcome {
            CallOutcome::Answered => {
                result.answered += 1;
                result.in_time += u64::from(call.whole <= kind.deadline);
                result.away += u64::from(call.away);
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
