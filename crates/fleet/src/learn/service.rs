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

/// VMs that one report stands for at most.
const MOST_VMS: u32 = 4096;

/// Who tells a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CostSource {
    /// A VM, of what it has learned itself.
    Member,
    /// A VM, of what others have learned.
    Aggregator,
}

/// Whose answers a report of this VM rests on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CostView {
    /// Its own.
    Own,
    /// Its own and those of VMs that tell theirs to it.
    Partial,
    /// Those of every VM.
    All,
}

/// What one VM, or several together, have learned of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CostReport {
    /// VMs behind it; 0 stands for one.
    pub vms: u32,
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
            vms: self.vms.clamp(1, MOST_VMS),
            ..self
        }
    }

    /// Answers that count: of each VM only so many.
    fn weight(&self, samples: u32) -> f64 {
        f64::from(samples.min(MOST_SAMPLES.saturating_mul(self.vms.max(1))))
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

/// Sums of reports, each by the answers behind it.
#[derive(Clone, Copy, Debug, Default)]
struct CostSums {
    first: [f64; 5],
    first_samples: f64,
    pace: [f64; 3],
    pace_samples: f64,
    plain: f64,
    plain_samples: f64,
    vms: u32,
}

impl CostSums {
    fn add(mut self, report: &CostReport) -> Self {
        let first = report.weight(report.first_samples);
        let pace = report.weight(report.pace_samples);
        let plain = report.weight(report.plain_samples);
        add(&mut self.first, &report.first, first);
        add(&mut self.pace, &report.pace, pace);
        self.plain += report.plain_ms * plain;
        self.first_samples += first;
        self.pace_samples += pace;
        self.plain_samples += plain;
        self.vms = self.vms.saturating_add(report.vms.max(1));
        self
    }

    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn mean(&self) -> CostReport {
        CostReport {
            vms: self.vms,
            first: self.first.map(|sum| sum / self.first_samples.max(1.0)),
            first_samples: self.first_samples as u32,
            pace: self.pace.map(|sum| sum / self.pace_samples.max(1.0)),
            pace_samples: self.pace_samples as u32,
            plain_ms: self.plain / self.plain_samples.max(1.0),
            plain_samples: self.plain_samples as u32,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct HeardReport {
    heard: Moment,
    teller: CostSource,
    report: CostReport,
}

/// What is known of one service.
#[derive(Clone, Debug, Default)]
pub struct ServiceCosts {
    engine: EngineCosts,
    plain: PlainCosts,
    reports: BTreeMap<VmName, HeardReport>,
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

    /// What this VM tells others. A report of others' answers goes only to VMs that
    /// do not tell it back, so that no figure comes back as news. None before the
    /// first answer.
    pub fn report(&self, view: CostView) -> Option<CostReport> {
        let own = CostReport {
            vms: 1,
            first: *self.engine.first.weights(),
            first_samples: self.engine.first.samples(),
            pace: *self.engine.pace.weights(),
            pace_samples: self.engine.pace.samples(),
            plain_ms: self.plain.service_ms(),
            plain_samples: self.plain.samples(),
        };
        let others = self
            .reports
            .values()
            .filter(|heard| match view {
                CostView::Own => false,
                CostView::Partial => heard.teller == CostSource::Member,
                CostView::All => true,
            })
            .map(|heard| &heard.report);
        let sums = others.fold(CostSums::default().add(&own), CostSums::add);
        let mut report = sums.mean();
        if report.first_samples == 0 {
            report.first = own.first;
        }
        if report.pace_samples == 0 {
            report.pace = own.pace;
        }
        if report.plain_samples == 0 {
            report.plain_ms = own.plain_ms;
        }
        (report.first_samples + report.plain_samples > 0).then_some(report)
    }

    /// Takes what another VM tells; whether a figure was absurd and had to be bounded.
    pub fn hear(
        &mut self,
        now: Moment,
        vm: &VmName,
        teller: CostSource,
        report: CostReport,
    ) -> bool {
        let bounded = report.bounded();
        let heard = HeardReport {
            heard: now,
            teller,
            report: bounded,
        };
        self.reports.insert(vm.clone(), heard);
        self.reports
            .retain(|_, held| now - held.heard < REPORT_LIFE);
        self.told = merge(self.reports.values().map(|held| &held.report));
        let is_same = CostReport {
            vms: bounded.vms,
            ..report
        };
        bounded != is_same
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
    let sums = reports.fold(CostSums::default(), CostSums::add);
    let mean = sums.mean();
    ToldCosts {
        engine: EngineCosts::with_weights(&mean.first, &mean.pace),
        first_samples: sums.first_samples,
        pace_samples: sums.pace_samples,
        plain: PlainCosts::with_time(mean.plain_ms),
        plain_samples: sums.plain_samples,
    }
}

fn add<const N: usize>(sum: &mut [f64; N], weights: &[f64; N], factor: f64) {
    for (sum, weight) in sum.iter_mut().zip(weights) {
        *sum += weight * factor;
    }
}
