//! Counters and latency histograms in the Prometheus text format.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::held::HeldAccount;

const QUANTILES: [f64; 4] = [0.5, 0.9, 0.95, 0.99];
/// Largest recorded time in microseconds: two minutes.
const MAX_MICROS: u64 = 120_000_000;

/// Most teams with counters of their own; later teams are counted as `other`. A line is
/// some 70 bytes, so that a thousand teams add 150 KB to a scrape.
pub(crate) const MAX_TEAMS: usize = 1000;

/// Quota outcome of requested units.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum QuotaOutcome {
    /// The units were within the limit.
    Admitted,
    /// The units were beyond the limit.
    Refused,
    /// The units were within the limit and refunded because nothing ran.
    Refunded,
}

impl QuotaOutcome {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Admitted => "admitted",
            Self::Refused => "refused",
            Self::Refunded => "given-back",
        }
    }
}

/// All metrics of a gateway.
#[derive(Default)]
pub(crate) struct GatewayMetrics {
    ends: RefCell<BTreeMap<(String, String), u64>>,
    times: RefCell<BTreeMap<String, Histogram<u64>>>,
    counters: RefCell<BTreeMap<&'static str, u64>>,
    /// Calls to the store by cause.
    store_calls: RefCell<BTreeMap<&'static str, u64>>,
    /// Quota units by team and outcome.
    team_units: RefCell<BTreeMap<String, BTreeMap<QuotaOutcome, u64>>>,
    /// Bytes held for callers.
    held: HeldAccount,
}

impl GatewayMetrics {
    /// Creates metrics that include the bytes in `held`.
    pub(crate) fn new(held: HeldAccount) -> Self {
        Self {
            held,
            ..Self::default()
        }
    }

    /// Records the end of a request of `route`.
    pub(crate) fn record_end(&self, route: &str, outcome: &str, age: Duration) {
        let key = (route.to_owned(), outcome.to_owned());
        *self.ends.borrow_mut().entry(key).or_default() += 1;
        let mut times = self.times.borrow_mut();
        if !times.contains_key(route)
            && let Ok(histogram) = Histogram::new_with_bounds(1, MAX_MICROS, 2)
        {
            times.insert(route.to_owned(), histogram);
        }
        if let Some(histogram) = times.get_mut(route) {
            let micros = u64::try_from(age.as_micros()).unwrap_or(MAX_MICROS);
            histogram.saturating_record(micros.max(1));
        }
    }

    /// Counts one event.
    pub(crate) fn count(&self, name: &'static str) {
        self.count_more(name, 1);
    }

    /// Counts `events` events.
    pub(crate) fn count_more(&self, name: &'static str, events: u64) {
        if events > 0 {
            *self.counters.borrow_mut().entry(name).or_default() += events;
        }
    }

    /// Counts a call to the store.
    pub(crate) fn count_store_call(&self, cause: &'static str) {
        *self.store_calls.borrow_mut().entry(cause).or_default() += 1;
    }

    /// Counts units of a team's quota.
    pub(crate) fn count_team(&self, team: &str, outcome: QuotaOutcome, units: u64) {
        let mut teams = self.team_units.borrow_mut();
        let is_known = teams.contains_key(team) || teams.len() < MAX_TEAMS;
        let label = if is_known { team } else { "other" };
        let counts = teams.entry(label.to_owned()).or_default();
        let count = counts.entry(outcome).or_default();
        *count = count.saturating_add(units);
    }

    /// Renders all metrics.
    pub(crate) fn render(&self) -> String {
        let mut out = String::new();
        for ((route, outcome), count) in self.ends.borrow().iter() {
            let labels = format!("route=\"{route}\",outcome=\"{outcome}\"");
            let _ = writeln!(out, "onyxfall_requests_total{{{labels}}} {count}");
        }
        for (route, histogram) in self.times.borrow().iter() {
            for quantile in QUANTILES {
                let seconds = histogram.value_at_quantile(quantile) as f64 / 1e6;
                let labels = format!("route=\"{route}\",quantile=\"{quantile}\"");
                let _ = writeln!(out, "onyxfall_request_seconds{{{labels}}} {seconds}");
            }
        }
        for (cause, count) in self.store_calls.borrow().iter() {
            let _ = writeln!(
                out,
                "onyxfall_store_calls_total{{cause=\"{cause}\"}} {count}"
            );
        }
        for (team, counts) in self.team_units.borrow().iter() {
            for (outcome, units) in counts {
                let labels = format!("team=\"{team}\",outcome=\"{}\"", outcome.as_str());
                let _ = writeln!(out, "onyxfall_team_units_total{{{labels}}} {units}");
            }
        }
        let _ = writeln!(out, "onyxfall_held_bytes {}", self.held.held().bytes());
        for (name, count) in self.counters.borrow().iter() {
            let _ = writeln!(out, "{name} {count}");
        }
        out
    }
}
