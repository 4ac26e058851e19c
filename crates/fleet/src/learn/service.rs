//! Cost model of one service, combined from this VM's observations and reports of other VMs.

use std::collections::BTreeMap;
use std::time::Duration;

use onyxfall_policy::Moment;
use onyxfall_types::VmName;

use super::engine::{EngineCosts, EngineLoad, bound_event_interval, bound_first};
use super::plain::{PlainCosts, bound_plain};

/// Most responses of one VM that count, so that a VM with many responses does not outweigh
/// recent observations.
const MAX_SAMPLES: u32 = 200;
/// Age at which a report of another VM expires.
const REPORT_TTL: Duration = Duration::from_secs(20);

/// Most VMs that one report can represent.
const MAX_VMS: u32 = 4096;

/// Source of a cost report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CostSource {
    /// A VM that reports its own observations.
    Member,
    /// A VM that reports observations of others.
    Aggregator,
}

/// Set of VMs whose observations a report of this VM contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CostView {
    /// This VM only.
    Own,
    /// This VM and the VMs that report their own observations to it.
    Partial,
    /// All VMs.
    All,
}

/// Costs of a service as learned by one VM or by several VMs together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CostReport {
    /// Number of VMs that the report represents; 0 counts as 1.
    pub vms: u32,
    /// Weights of the time to first byte.
    pub first: [f64; 5],
    /// Responses behind `first`.
    pub first_samples: u32,
    /// Weights of the interval between events.
    pub event_interval: [f64; 3],
    /// Responses behind `event_interval`.
    pub interval_samples: u32,
    /// Time of a request to a plain service in milliseconds.
    pub plain_ms: f64,
    /// Responses behind `plain_ms`.
    pub plain_samples: u32,
}

impl CostReport {
    /// The report with every figure clamped to its bounds.
    fn bounded(self) -> Self {
        Self {
            first: bound_first(&self.first),
            event_interval: bound_event_interval(&self.event_interval),
            plain_ms: bound_plain(self.plain_ms),
            vms: self.vms.clamp(1, MAX_VMS),
            ..self
        }
    }

    /// Number of responses that count, at most [`MAX_SAMPLES`] for each VM.
    fn weight(&self, samples: u32) -> f64 {
        f64::from(samples.min(MAX_SAMPLES.saturating_mul(self.vms.max(1))))
    }
}

/// Merged reports of other VMs.
#[derive(Clone, Debug, Default)]
struct RemoteCosts {
    engine: EngineCosts,
    first_samples: f64,
    interval_samples: f64,
    plain: PlainCosts,
    plain_samples: f64,
}

/// Sums of reports, weighted by the responses behind each.
#[derive(Clone, Copy, Debug, Default)]
struct CostSums {
    first: [f64; 5],
    first_samples: f64,
    event_interval: [f64; 3],
    interval_samples: f64,
    plain: f64,
    plain_samples: f64,
    vms: u32,
}

impl CostSums {
    /// Adds a report.
    fn add(mut self, report: &CostReport) -> Self {
        let first = report.weight(report.first_samples);
        let event_interval = report.weight(report.interval_samples);
        let plain = report.weight(report.plain_samples);
        add(&mut self.first, &report.first, first);
        add(
            &mut self.event_interval,
            &report.event_interval,
            event_interval,
        );
        self.plain += report.plain_ms * plain;
        self.first_samples += first;
        self.interval_samples += event_interval;
        self.plain_samples += plain;
        self.vms = self.vms.saturating_add(report.vms.max(1));
        self
    }

    /// Weighted mean of the added reports.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn mean(&self) -> CostReport {
        CostReport {
            vms: self.vms,
            first: self.first.map(|sum| sum / self.first_samples.max(1.0)),
            first_samples: self.first_samples as u32,
            event_interval: self
                .event_interval
                .map(|sum| sum / self.interval_samples.max(1.0)),
            interval_samples: self.interval_samples as u32,
            plain_ms: self.plain / self.plain_samples.max(1.0),
            plain_samples: self.plain_samples as u32,
        }
    }
}

/// A report of another VM.
#[derive(Clone, Copy, Debug)]
struct ReceivedReport {
    received: Moment,
    source: CostSource,
    report: CostReport,
}

/// Costs of one service.
#[derive(Clone, Debug, Default)]
pub struct ServiceCosts {
    engine: EngineCosts,
    plain: PlainCosts,
    reports: BTreeMap<VmName, ReceivedReport>,
    /// Merged `reports`.
    remote: RemoteCosts,
}

impl ServiceCosts {
    /// Expected time to first byte of a model server in milliseconds.
    pub fn first_ms(&self, load: &EngineLoad) -> f64 {
        let own = self.engine.first_ms(load);
        let remote = self.remote.engine.first_ms(load);
        mean(
            own,
            self.engine.first.samples(),
            remote,
            self.remote.first_samples,
        )
    }

    /// Expected interval between two events in milliseconds, for a response with `gaps`
    /// intervals; `None` before any interval was observed.
    pub fn pace_ms(&self, load: &EngineLoad, gaps: f64) -> Option<f64> {
        let own = self.engine.event_interval.samples();
        if own == 0 && self.remote.interval_samples == 0.0 {
            return None;
        }
        let remote = self.remote.engine.pace_ms(load, gaps);
        Some(mean(
            self.engine.pace_ms(load, gaps),
            own,
            remote,
            self.remote.interval_samples,
        ))
    }

    /// Expected time of a model server to prefill `tokens` of a prompt in milliseconds.
    pub fn read_ms(&self, tokens: u64) -> f64 {
        let own = self.engine.read_ms(tokens);
        let remote = self.remote.engine.read_ms(tokens);
        mean(
            own,
            self.engine.first.samples(),
            remote,
            self.remote.first_samples,
        )
    }

    /// Expected time of a request to a plain service in milliseconds.
    pub fn plain_ms(&self) -> f64 {
        let (own, remote) = (self.plain.service_ms(), self.remote.plain.service_ms());
        mean(own, self.plain.samples(), remote, self.remote.plain_samples)
    }

    /// This VM's own cost model of model servers, for learning.
    pub fn engine_mut(&mut self) -> &mut EngineCosts {
        &mut self.engine
    }

    /// This VM's own request time of a plain service, for learning.
    pub fn plain_mut(&mut self) -> &mut PlainCosts {
        &mut self.plain
    }

    /// Report of this VM to others; `None` before the first response. A report that contains
    /// observations of others must go only to VMs that do not report them back, so that no
    /// observation counts twice.
    pub fn report(&self, view: CostView) -> Option<CostReport> {
        let own = CostReport {
            vms: 1,
            first: *self.engine.first.weights(),
            first_samples: self.engine.first.samples(),
            event_interval: *self.engine.event_interval.weights(),
            interval_samples: self.engine.event_interval.samples(),
            plain_ms: self.plain.service_ms(),
            plain_samples: self.plain.samples(),
        };
        let others = self
            .reports
            .values()
            .filter(|received| match view {
                CostView::Own => false,
                CostView::Partial => received.source == CostSource::Member,
                CostView::All => true,
            })
            .map(|received| &received.report);
        let sums = others.fold(CostSums::default().add(&own), CostSums::add);
        let mut report = sums.mean();
        if report.first_samples == 0 {
            report.first = own.first;
        }
        if report.interval_samples == 0 {
            report.event_interval = own.event_interval;
        }
        if report.plain_samples == 0 {
            report.plain_ms = own.plain_ms;
        }
        (report.first_samples + report.plain_samples > 0).then_some(report)
    }

    /// Records a report of another VM. Returns whether a figure was out of bounds and had to be
    /// clamped.
    pub fn receive(
        &mut self,
        now: Moment,
        vm: &VmName,
        source: CostSource,
        report: CostReport,
    ) -> bool {
        let bounded = report.bounded();
        let received = ReceivedReport {
            received: now,
            source,
            report: bounded,
        };
        self.reports.insert(vm.clone(), received);
        self.reports
            .retain(|_, received| now - received.received < REPORT_TTL);
        self.remote = merge(self.reports.values().map(|received| &received.report));
        let is_same = CostReport {
            vms: bounded.vms,
            ..report
        };
        bounded != is_same
    }
}

/// Mean of an estimate of this VM and one of other VMs, weighted by the responses behind each.
fn mean(own: f64, own_samples: u32, remote: f64, remote_samples: f64) -> f64 {
    let weight = f64::from(own_samples.min(MAX_SAMPLES));
    let total = weight + remote_samples;
    if total <= 0.0 {
        return own;
    }
    (own * weight + remote * remote_samples) / total
}

/// Merges reports of other VMs.
fn merge<'a>(reports: impl Iterator<Item = &'a CostReport>) -> RemoteCosts {
    let sums = reports.fold(CostSums::default(), CostSums::add);
    let mean = sums.mean();
    RemoteCosts {
        engine: EngineCosts::with_weights(&mean.first, &mean.event_interval),
        first_samples: sums.first_samples,
        interval_samples: sums.interval_samples,
        plain: PlainCosts::with_time(mean.plain_ms),
        plain_samples: sums.plain_samples,
    }
}

/// Adds `weights`, multiplied by `factor`, to `sum`.
fn add<const N: usize>(sum: &mut [f64; N], weights: &[f64; N], factor: f64) {
    for (sum, weight) in sum.iter_mut().zip(weights) {
        *sum += weight * factor;
    }
}
