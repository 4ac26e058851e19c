//! What is known of one service: learned here, and told by other VMs.

use std::collections::BTreeMap;
use std::time::Duration;

use onyxfall_policy::Moment;
use onyxfall_types::VmName;

use super::engine::{EngineCosts, EngineLoad, bound_first, bound_pace};
use super::plain::{PlainCosts, bound_plain};

/// Answers of one VM that count at most, so that one that has seen many does not
/// outweigh news.
const MOST_SAMPLES: u32 = 200;
/// Age at which what another VM told counts no longer.
const REPORT_LIFE: Duration = Duration::from_secs(20);

/// What one VM has learned of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CostReport {
    /// Weights of the time to a first byte.
    pub first: [f64; 5],
    /// Answers behind them.
    pub first_samples: u32,
    /// Weights of the time between events.
    pub pace: [f64; 3],
    /// Answers behind them.
    pub pace_samples: u32,
    /// Milliseconds of a request to a plain service.
    pub plain_ms: f64,
    /// Answers behind it.
    pub plain_samples: u32,
}

impl CostReport {
    /// The same with every figure within its bounds.
    fn bounded(self) -> Self {
        Self {
            first: bound_first(&self.first),
            pace: bound_pace(&self.pace),
            plain_ms: bound_plain(self.plain_ms),
            ..self
        }
    }
}

/// What other VMs have learned, merged.
#[derive(Clone, Debug, Default)]
struct ToldCosts {
    engine: EngineCosts,
    first_samples: f64,
    pace_samples: f64,
    plain: PlainCosts,
    plain_samples: f64,
}

/// What is known of one service.
#[derive(Clone, Debug, Default)]
pub struct ServiceCosts {
    engine: EngineCosts,
    plain: PlainCosts,
    reports: BTreeMap<VmName, (Moment, CostReport)>,
    told: ToldCosts,
}

impl ServiceCosts {
    /// Expected milliseconds to a first byte of a model server.
    pub fn first_ms(&self, load: &EngineLoad) -> f64 {
        let own = self.engine.first_ms(load);
        let told = self.told.engine.first_ms(load);
        mean(
            own,
            self.engine.first.samples(),
            told,
            self.told.first_samples,
        )
    }

    /// Expected milliseconds between two events of an answer with so many gaps; none
    /// before any was seen.
    pub fn pace_ms(&self, load: &EngineLoad, gaps: f64) -> Option<f64> {
        let own = self.engine.pace.samples();
        if own == 0 && self.told.pace_samples == 0.0 {
            return None;
        }
        let told = self.told.engine.pace_ms(load, gaps);
        Some(mean(
            self.engine.pace_ms(load, gaps),
            own,
            told,
            self.told.pace_samples,
        ))
    }

    /// Milliseconds that a model server takes to read `tokens` of a prompt.
    pub fn read_ms(&self, tokens: u64) -> f64 {
        let own = self.engine.read_ms(tokens);
        let told = self.told.engine.read_ms(tokens);
        mean(
            own,
            self.engine.first.samples(),
            told,
            self.told.first_samples,
        )
    }

    /// Expected milliseconds of a request to a plain service.
    pub fn plain_ms(&self) -> f64 {
        let (own, told) = (self.plain.service_ms(), self.told.plain.service_ms());
        mean(own, self.plain.samples(), told, self.told.plain_samples)
    }

    /// What was learned here, to correct it.
    pub fn engine_mut(&mut self) -> &mut EngineCosts {
        &mut self.engine
    }

    /// What was learned here of a plain service, to correct it.
    pub fn plain_mut(&mut self) -> &mut PlainCosts {
        &mut self.plain
    }

    /// What this VM tells others: only what it has learned itself, so that no
    /// figure comes back as news. None before the first answer.
    pub fn report(&self) -> Option<CostReport> {
        let report = CostReport {
            first: *self.engine.first.weights(),
            first_samples: self.engine.first.samples(),
            pace: *self.engine.pace.weights(),
            pace_samples: self.engine.pace.samples(),
            plain_ms: self.plain.service_ms(),
            plain_samples: self.plain.samples(),
        };
        (report.first_samples + report.plain_samples > 0).then_some(report)
    }

    /// Takes what another VM has learned; whether a figure was absurd and had to be
    /// bounded.
    pub fn hear(&mut self, now: Moment, vm: &VmName, report: CostReport) -> bool {
        let bounded = report.bounded();
        self.reports.insert(vm.clone(), (now, bounded));
        self.reports.retain(|_, (at, _)| now - *at < REPORT_LIFE);
        self.told = merge(self.reports.values().map(|(_, report)| report));
        bounded != report
    }
}

/// The mean of an estimate of this VM and of others', by their answers.
fn mean(own: f64, own_samples: u32, told: f64, told_samples: f64) -> f64 {
    let weight = f64::from(own_samples.min(MOST_SAMPLES));
    let total = weight + told_samples;
    if total <= 0.0 {
        return own;
    }
    (own * weight + told * told_samples) / total
}

fn merge<'a>(reports: impl Iterator<Item = &'a CostReport>) -> ToldCosts {
    let (mut first, mut pace, mut plain) = ([0.0; 5], [0.0; 3], 0.0);
    let mut told = ToldCosts::default();
    for report in reports {
        let weight = |samples: u32| f64::from(samples.min(MOST_SAMPLES));
        add(&mut first, &report.first, weight(report.first_samples));
        add(&mut pace, &report.pace, weight(report.pace_samples));
        plain += report.plain_ms * weight(report.plain_samples);
        told.first_samples += weight(report.first_samples);
        told.pace_samples += weight(report.pace_samples);
        told.plain_samples += weight(report.plain_samples);
    }
    let first = first.map(|sum| sum / told.first_samples.max(1.0));
    let pace = pace.map(|sum| sum / told.pace_samples.max(1.0));
    told.engine = EngineCosts::with_weights(&first, &pace);
    told.plain = PlainCosts::with_time(plain / told.plain_samples.max(1.0));
    told
}

fn add<const N: usize>(sum: &mut [f64; N], weights: &[f64; N], factor: f64) {
    for (sum, weight) in sum.iter_mut().zip(weights) {
        *sum += weight * factor;
    }
}
