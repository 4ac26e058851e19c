//! Counters and latency histograms in the Prometheus text format.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::time::Duration;

use hdrhistogram::Histogram;
use onyxfall_held::HeldAccount;
use onyxfall_types::RefusalReason;

const QUANTILES: [f64; 4] = [0.5, 0.9, 0.95, 0.99];
/// Largest recorded time in microseconds: two minutes.
const MAX_MICROS: u64 = 120_000_000;

/// Most teams with counters of their own; later teams are counted as `other`. A line is
/// some 70 bytes, so that a thousand teams add 150 KB to a scrape.
pub(crate) const MAX_TEAMS: usize = 1000;

/// Most classes of requests with refusal counters of their own; refusals of later classes are
/// counted as `other`. Plans are sized for 40 classes in 12 regions.
pub(crate) const MAX_CLASSES: usize = 500;
/// Label of the classes beyond the limit.
const OTHER_CLASSES: &str = "other";

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

/// Escapes text for the value of a label, as the Prometheus text format asks.
pub(crate) fn escape_label(text: &str) -> String {
    text.replace('\\', r"\\")
        .replace('"', r#"\""#)
        .replace('\n', r"\n")
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
    /// Refused requests by class and reason.
    refusals: RefCell<BTreeMap<String, BTreeMap<&'static str, u64>>>,
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

    /// Counts a refused request. Only the first refusal of a class allocates.
    ///
    /// `class_label` consists of names and digits and needs no escaping.
    pub(crate) fn count_refusal(&self, class_label: &str, reason: RefusalReason) {
        let mut classes = self.refusals.borrow_mut();
        let is_known = classes.contains_key(class_label);
        let label = if is_known || classes.len() < MAX_CLASSES {
            class_label
        } else {
            OTHER_CLASSES
        };
        if !classes.contains_key(label) {
            classes.insert(label.to_owned(), BTreeMap::new());
        }
        if let Some(reasons) = classes.get_mut(label) {
            *reasons.entry(reason.as_str()).or_default() += 1;
        }
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
        for (class, reasons) in self.refusals.borrow().iter() {
            for (reason, count) in reasons {
                let labels = format!("class=\"{class}\",reason=\"{reason}\"");
                let _ = writeln!(out, "onyxfall_class_refusals_total{{{labels}}} {count}");
            }
        }
        let _ = writeln!(out, "onyxfall_held_bytes {}", self.held.held().bytes());
        for (name, count) in self.counters.borrow().iter() {
            let _ = writeln!(out, "{name} {count}");
        }
        out
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn refusal_lines(metrics: &GatewayMetrics) -> Vec<String> {
        let rendered = metrics.render();
        let is_refusal = |line: &&str| line.starts_with("onyxfall_class_refusals_total");
        let lines = rendered.lines().filter(is_refusal);
        lines.map(ToOwned::to_owned).collect()
    }

    /// Guards against refusals that are counted under another class or reason.
    #[test]
    fn refusals_are_counted_by_class_and_reason() {
        let metrics = GatewayMetrics::default();
        metrics.count_refusal("search/0.1", RefusalReason::Overloaded);
        metrics.count_refusal("search/0.1", RefusalReason::Overloaded);
        metrics.count_refusal("search/0.1", RefusalReason::RateLimited);
        metrics.count_refusal("search/2.0", RefusalReason::Overloaded);
        assert_eq!(
            refusal_lines(&metrics),
            [
                "onyxfall_class_refusals_total{class=\"search/0.1\",reason=\"overloaded\"} 2",
                "onyxfall_class_refusals_total{class=\"search/0.1\",reason=\"rate-limited\"} 1",
                "onyxfall_class_refusals_total{class=\"search/2.0\",reason=\"overloaded\"} 1",
            ]
        );
    }

    /// Guards against a scrape that grows with the number of classes ever seen, and against
    /// lost counts beyond the limit.
    #[test]
    fn classes_beyond_the_limit_share_a_counter() {
        let metrics = GatewayMetrics::default();
        for class in 0..MAX_CLASSES + 30 {
            metrics.count_refusal(&format!("s/{class}"), RefusalReason::Overloaded);
        }
        metrics.count_refusal("s/0", RefusalReason::Overloaded);
        let lines = refusal_lines(&metrics);
        assert_eq!(lines.len(), MAX_CLASSES + 1);
        let other = "onyxfall_class_refusals_total{class=\"other\",reason=\"overloaded\"} 30";
        let first = "onyxfall_class_refusals_total{class=\"s/0\",reason=\"overloaded\"} 2";
        assert!(lines.iter().any(|line| line == other), "{lines:?}");
        assert!(lines.iter().any(|line| line == first), "{lines:?}");
    }
}
