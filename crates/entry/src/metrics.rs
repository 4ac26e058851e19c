//! Counters and histograms, rendered as Prometheus text.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use hdrhistogram::Histogram;
use onyxfall_types::{KindName, RefusalReason, RunVerdict};
use onyxfall_wire::FrameClass;
use parking_lot::Mutex;

const QUANTILES: [f64; 4] = [0.5, 0.9, 0.95, 0.99];
/// Highest recorded time, ten minutes in microseconds.
const MAX_MICROS: u64 = 600_000_000;

/// Direction of bytes on peer links.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ByteFlow {
    In,
    Out,
}

#[derive(Default)]
struct KindMetrics {
    verdicts: BTreeMap<RunVerdict, u64>,
    refusals: BTreeMap<RefusalReason, u64>,
    first_byte: TimeHistogram,
    whole: TimeHistogram,
}

/// Histogram of times in microseconds.
struct TimeHistogram(Option<Histogram<u64>>);

impl Default for TimeHistogram {
    fn default() -> Self {
        Self(Histogram::new_with_bounds(1, MAX_MICROS, 3).ok())
    }
}

impl TimeHistogram {
    fn record(&mut self, time: Duration) {
        let micros = u64::try_from(time.as_micros()).unwrap_or(MAX_MICROS);
        if let Some(histogram) = &mut self.0 {
            histogram.saturating_record(micros.max(1));
        }
    }

    fn render(&self, out: &mut String, name: &str, kind: &KindName) {
        let Some(histogram) = &self.0 else { return };
        for quantile in QUANTILES {
            let seconds = histogram.value_at_quantile(quantile) as f64 / 1e6;
            let _ = writeln!(
                out,
                "{name}{{kind=\"{kind}\",quantile=\"{quantile}\"}} {seconds}"
            );
        }
        let _ = writeln!(out, "{name}_count{{kind=\"{kind}\"}} {}", histogram.len());
    }
}

/// Names of the plain counters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum CounterName {
    StrayFrames,
    DuplicateFrames,
    DroppedControl,
    AlarmOlderHead,
    AlarmBadBundle,
    CutAtShutdown,
    Observations,
    ObservationFailures,
    TicketRepeats,
    HeldRefusals,
    EvictedStrangers,
}

impl CounterName {
    const fn as_str(self) -> &'static str {
        match self {
            Self::StrayFrames => "onyxfall_stray_frames_total",
            Self::DuplicateFrames => "onyxfall_duplicate_frames_total",
            Self::DroppedControl => "onyxfall_dropped_control_frames_total",
            Self::AlarmOlderHead => "onyxfall_alarm_older_head_total",
            Self::AlarmBadBundle => "onyxfall_alarm_bad_bundle_total",
            Self::CutAtShutdown => "onyxfall_requests_cut_at_stop_total",
            Self::Observations => "onyxfall_observations_total",
            Self::ObservationFailures => "onyxfall_observation_failures_total",
            Self::TicketRepeats => "onyxfall_ticket_repeats_total",
            Self::HeldRefusals => "onyxfall_held_refusals_total",
            Self::EvictedStrangers => "onyxfall_evicted_strangers_total",
        }
    }
}

/// All metrics of an entry.
#[derive(Default)]
pub(crate) struct EntryMetrics {
    kinds: Mutex<BTreeMap<KindName, KindMetrics>>,
    counters: Mutex<BTreeMap<CounterName, u64>>,
    bytes: [[AtomicU64; 2]; 3],
}

impl EntryMetrics {
    pub(crate) fn count(&self, name: CounterName) {
        self.add(name, 1);
    }

    pub(crate) fn add(&self, name: CounterName, amount: u64) {
        *self.counters.lock().entry(name).or_default() += amount;
    }

    pub(crate) fn record_bytes(&self, class: FrameClass, flow: ByteFlow, len: usize) {
        self.bytes[class as usize][flow as usize].fetch_add(len as u64, Ordering::Relaxed);
    }

    pub(crate) fn record_response(&self, kind: &KindName, first_byte: Duration, whole: Duration) {
        let mut kinds = self.kinds.lock();
        let metrics = kinds.entry(kind.clone()).or_default();
        *metrics.verdicts.entry(RunVerdict::Ran).or_default() += 1;
        metrics.first_byte.record(first_byte);
        metrics.whole.record(whole);
    }

    pub(crate) fn record_refusal(
        &self,
        kind: &KindName,
        verdict: RunVerdict,
        reason: RefusalReason,
    ) {
        let mut kinds = self.kinds.lock();
        let metrics = kinds.entry(kind.clone()).or_default();
        *metrics.verdicts.entry(verdict).or_default() += 1;
        *metrics.refusals.entry(reason).or_default() += 1;
    }

    /// Renders all metrics as Prometheus text.
    pub(crate) fn render(&self) -> String {
        let mut out = String::new();
        for (kind, metrics) in self.kinds.lock().iter() {
            for (verdict, count) in &metrics.verdicts {
                let labels = format!("kind=\"{kind}\",verdict=\"{verdict}\"");
                let _ = writeln!(out, "onyxfall_requests_total{{{labels}}} {count}");
            }
            for (reason, count) in &metrics.refusals {
                let labels = format!("kind=\"{kind}\",reason=\"{reason}\"");
                let _ = writeln!(out, "onyxfall_refusals_total{{{labels}}} {count}");
            }
            metrics
                .first_byte
                .render(&mut out, "onyxfall_first_byte_seconds", kind);
            metrics
                .whole
                .render(&mut out, "onyxfall_answer_seconds", kind);
        }
        for (name, count) in self.counters.lock().iter() {
            let _ = writeln!(out, "{} {count}", name.as_str());
        }
        for class in FrameClass::ALL {
            for (flow, label) in [(ByteFlow::In, "in"), (ByteFlow::Out, "out")] {
                let count = self.bytes[class as usize][flow as usize].load(Ordering::Relaxed);
                let labels = format!("class=\"{}\",flow=\"{label}\"", class.as_str());
                let _ = writeln!(out, "onyxfall_peer_bytes_total{{{labels}}} {count}");
            }
        }
        out
    }
}
