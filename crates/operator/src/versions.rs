//! Progress of service rollouts, read from the metrics of gateways.
//!
//! Each gateway reports its phase of the rollout, which determines where it sends
//! requests, the weight of the evidence against the new version, and the counts of both
//! versions that it has received, including those of other VMs. Counts therefore overlap
//! between VMs: the report shows the maximum of each count over the VMs, and the phase of
//! every VM.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Label values of a metric, by label name.
pub(crate) type MetricLabels<'a> = BTreeMap<&'a str, &'a str>;

/// Response counts of one version on one route.
#[derive(Clone, Debug, Default, PartialEq)]
struct VersionCounts {
    answers: f64,
    failures: f64,
    /// Slow responses by the minimum ratio of their time to the usual time.
    slow: BTreeMap<String, f64>,
}

/// Progress of the rollout of one service.
#[derive(Clone, Debug, Default, PartialEq)]
struct VersionProgress {
    /// VMs by phase and by the reported reason for it.
    phases: BTreeMap<(String, String), BTreeSet<String>>,
    /// Maximum weight of the evidence against the version.
    weight: f64,
    /// Counts by route and version, old or new.
    counts: BTreeMap<(String, String), VersionCounts>,
}

/// Progress of all rollouts, collected from the queried VMs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct VersionReport {
    /// Progress by service and ordered version.
    services: BTreeMap<(String, String), VersionProgress>,
}

impl VersionReport {
    /// Adds the metrics of a VM.
    ///
    /// ```
    /// use onyxfall_operator::VersionReport;
    /// let mut report = VersionReport::default();
    /// let metrics = "onyxfall_rollout{service=\"s\",version=\"v2\",phase=\"sampling\"} 1\n";
    /// report.read("vm1", metrics);
    /// assert!(report.to_string().contains("sampling"));
    /// ```
    pub fn read(&mut self, vm: &str, metrics: &str) {
        for line in metrics.lines() {
            self.add_line(vm, line);
        }
    }

    fn add_line(&mut self, vm: &str, line: &str) -> Option<()> {
        let (name, rest) = line.strip_prefix("onyxfall_rollout")?.split_once('{')?;
        let (labels, value) = rest.split_once("} ")?;
        let labels = parse_labels(labels);
        let value: f64 = value.parse().ok()?;
        let label = |name: &str| labels.get(name).copied().map(str::to_owned);
        let key = (label("service")?, label("version")?);
        let progress = self.services.entry(key).or_default();
        if name.is_empty() {
            let reason = label("reason").unwrap_or_default();
            let vms = progress
                .phases
                .entry((label("phase")?, reason))
                .or_default();
            vms.insert(vm.to_owned());
            return Some(());
        }
        if name == "_weight" {
            progress.weight = progress.weight.max(value);
            return Some(());
        }
        let counts = progress.counts.entry((label("route")?, label("side")?));
        let counts = counts.or_default();
        match name {
            "_answers" => counts.answers = counts.answers.max(value),
            "_failures" => counts.failures = counts.failures.max(value),
            "_slow" => {
                let slow = counts.slow.entry(label("ratio")?).or_default();
                *slow = slow.max(value);
            }
            _ => {}
        }
        Some(())
    }

    /// Whether no VM reported a rollout.
    pub fn is_empty(&self) -> bool {
        self.services.is_empty()
    }
}

/// Parses labels of the form `name="value"`, separated by commas.
pub(crate) fn parse_labels(labels: &str) -> MetricLabels<'_> {
    let pairs = labels.split(',').filter_map(|pair| pair.split_once('='));
    let pairs = pairs.map(|(name, value)| (name, value.trim_matches('"')));
    pairs.collect()
}

impl fmt::Display for VersionReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for ((service, version), progress) in &self.services {
            writeln!(f, "{service} to {version}, weight {:.1}", progress.weight)?;
            for ((phase, reason), vms) in &progress.phases {
                let vms: Vec<&str> = vms.iter().map(String::as_str).collect();
                let reason_text = if reason.is_empty() || reason == "none" {
                    String::new()
                } else {
                    format!(" ({reason})")
                };
                writeln!(f, "  {phase}{reason_text}: {}", vms.join(" "))?;
            }
            for ((route, side), counts) in &progress.counts {
                write!(
                    f,
                    "  {route:<24} {side:<4} {:>8} answers {:>8} failures",
                    counts.answers, counts.failures
                )?;
                for (ratio, slow) in &counts.slow {
                    write!(f, " {slow:>6} slow x{ratio}")?;
                }
                writeln!(f)?;
            }
        }
        Ok(())
    }
}
