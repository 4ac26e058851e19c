//! Work that callers ask for, by class and callers' region.
//!
//! A VM measures its own callers, is told the sum of the other VMs of its region, and
//! receives the sums of other regions. Invariants: figures from elsewhere are clamped and
//! never add a class; a report that is out of date counts as nothing, so that each side of a
//! partition plans with its own demand.

use std::collections::BTreeMap;
use std::time::Duration;

use onyxfall_policy::Moment;
use onyxfall_types::PLAN_REPORT_LIFETIME;

use crate::class::{ClassTag, MAX_REGIONS};
use crate::rate::WorkRate;

/// Time in which recorded work decays to 1/e. A burst lasts for seconds, and a plan that
/// follows single requests would change with each of them.
const METER_DECAY: Duration = Duration::from_secs(1);
/// Largest work of one request that is recorded, so that one wrong estimate does not fill a
/// plan.
const MAX_WORK: Duration = Duration::from_mins(1);

/// Meter of a decaying rate.
#[derive(Clone, Copy, Debug, Default)]
struct WorkMeter {
    /// Seconds of work.
    sum: f64,
    at: Moment,
}

impl WorkMeter {
    fn record(&mut self, now: Moment, work: Duration) {
        let now = now.max(self.at);
        self.sum = self.decayed(now) + work.min(MAX_WORK).as_secs_f64();
        self.at = now;
    }

    fn decayed(&self, now: Moment) -> f64 {
        let age = (now - self.at).as_secs_f64() / METER_DECAY.as_secs_f64();
        self.sum * (-age).exp()
    }

    fn rate(&self, now: Moment) -> WorkRate {
        WorkRate::clamped(self.decayed(now) / METER_DECAY.as_secs_f64())
    }
}

/// Work of one class in the region of this VM.
#[derive(Clone, Copy, Debug, Default)]
struct ClassFlow {
    own: WorkMeter,
    /// Whether callers of this VM ever asked for the class.
    is_recorded: bool,
    peers: WorkRate,
}

impl ClassFlow {
    fn rate(&self, now: Moment) -> WorkRate {
        WorkRate::clamped(self.own.rate(now).per_second() + self.peers.per_second())
    }
}

/// Last report of another region.
#[derive(Clone, Debug)]
struct RegionFlows {
    sent: Moment,
    flows: BTreeMap<u32, WorkRate>,
}

/// What was out of range in a report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReceivedFlows {
    /// Figures that were clamped.
    pub clamped: usize,
    /// Figures of classes that this VM does not know.
    pub unknown: usize,
}

/// Demand by class and callers' region, as one VM knows it.
///
/// ```
/// use onyxfall_capacity::{ClassTag, Importance, LoadLedger, RegionMask};
/// use onyxfall_policy::Moment;
/// use std::time::Duration;
/// let class = ClassTag::of(&"chat".parse().unwrap(), Importance::default(), RegionMask::ALL);
/// let mut ledger = LoadLedger::new(0);
/// ledger.set_classes([class]);
/// ledger.record(Moment::ZERO, class, Duration::from_millis(250));
/// ledger.set_peer_flow(class.get(), 1_000_000);
/// assert_eq!(ledger.offered(Moment::ZERO, class, 0).to_string(), "1.250 s/s");
/// ```
#[derive(Clone, Debug)]
pub struct LoadLedger {
    own_region: usize,
    classes: BTreeMap<u32, ClassFlow>,
    reports: BTreeMap<usize, RegionFlows>,
}

impl LoadLedger {
    /// Creates a ledger without classes for a VM in `own_region`, an index into the sorted
    /// list of regions.
    pub const fn new(own_region: usize) -> Self {
        Self {
            own_region,
            classes: BTreeMap::new(),
            reports: BTreeMap::new(),
        }
    }

    /// Sets the index of the VM's region after a change of the list of regions. The reports
    /// of other regions are dropped, since their indexes may have changed.
    pub fn set_own_region(&mut self, region: usize) {
        self.own_region = region;
        self.reports.clear();
    }

    /// Sets the classes of the configuration. Those already known keep their figures, and
    /// others are dropped.
    pub fn set_classes(&mut self, classes: impl IntoIterator<Item = ClassTag>) {
        let mut known = std::mem::take(&mut self.classes);
        self.classes = classes
            .into_iter()
            .map(|class| (class.get(), known.remove(&class.get()).unwrap_or_default()))
            .collect();
    }

    /// Records the work of a caller's request. Retries at other servers and requests from
    /// other VMs must not be recorded. A class that is not known yet is added.
    pub fn record(&mut self, now: Moment, class: ClassTag, work: Duration) {
        let flow = self.classes.entry(class.get()).or_default();
        flow.own.record(now, work);
        flow.is_recorded = true;
    }

    /// Work that callers of this VM ask for: tag and microseconds per second. Classes whose
    /// rate has fallen to zero are included, so that receivers learn of it.
    pub fn own_flows(&self, now: Moment) -> impl Iterator<Item = (u32, u64)> {
        self.classes
            .iter()
            .filter(|(_, flow)| flow.is_recorded)
            .map(move |(tag, flow)| (*tag, flow.own.rate(now).micros()))
    }

    /// Sets the sum of the other VMs of the region, in microseconds per second. Returns
    /// whether the tag is that of a known class; otherwise nothing changes.
    pub fn set_peer_flow(&mut self, tag: u32, micros: u64) -> bool {
        let Some(flow) = self.classes.get_mut(&tag) else {
            return false;
        };
        flow.peers = WorkRate::from_micros(micros);
        true
    }

    /// Sets the sums of the other VMs of the region to zero, for classes that a new total no
    /// longer contains.
    pub fn clear_peer_flows(&mut self) {
        for flow in self.classes.values_mut() {
            flow.peers = WorkRate::ZERO;
        }
    }

    /// Work that callers of the region ask for, without classes at zero: tag and microseconds
    /// per second.
    pub fn region_flows(&self, now: Moment) -> impl Iterator<Item = (u32, u64)> {
        self.classes
            .iter()
            .map(move |(tag, flow)| (*tag, flow.rate(now).micros()))
            .filter(|(_, micros)| *micros > 0)
    }

    /// Replaces the report of another region. `sent` is when it was made, in this VM's time.
    /// A report that is older than the last one, of this VM's region or of a region
    /// beyond the 32nd is ignored. Of several figures for a class the last one counts.
    ///
    /// ```
    /// use onyxfall_capacity::{ClassTag, Importance, LoadLedger, RegionMask, WorkRate};
    /// use onyxfall_policy::Moment;
    /// let class = ClassTag::of(&"chat".parse().unwrap(), Importance::default(), RegionMask::ALL);
    /// let mut ledger = LoadLedger::new(0);
    /// ledger.set_classes([class]);
    /// let received = ledger.receive(Moment::ZERO, 1, &[(class.get(), u64::MAX), (7, 1)]);
    /// assert_eq!((received.clamped, received.unknown), (1, 1));
    /// assert_eq!(ledger.offered(Moment::ZERO, class, 1), WorkRate::MAX);
    /// ```
    pub fn receive(&mut self, sent: Moment, region: usize, flows: &[(u32, u64)]) -> ReceivedFlows {
        let mut received = ReceivedFlows::default();
        let is_late = self
            .reports
            .get(&region)
            .is_some_and(|last| last.sent > sent);
        if region == self.own_region || region >= MAX_REGIONS || is_late {
            return received;
        }
        let mut known = BTreeMap::new();
        for &(tag, micros) in flows {
            if self.classes.contains_key(&tag) {
                received.clamped += usize::from(micros > WorkRate::MAX.micros());
                known.insert(tag, WorkRate::from_micros(micros));
            } else {
                received.unknown += 1;
            }
        }
        let report = RegionFlows { sent, flows: known };
        self.reports.insert(region, report);
        received
    }

    /// Work that callers of another region ask for, as its last report has it: tag and
    /// microseconds per second.
    pub fn reported_flows(&self, region: usize) -> impl Iterator<Item = (u32, u64)> {
        let flows = self.reports.get(&region).map(|report| report.flows.iter());
        flows
            .into_iter()
            .flatten()
            .map(|(tag, rate)| (*tag, rate.micros()))
    }

    /// Age of the last report of a region; zero for this VM's own, `None` if there is none.
    pub fn report_age(&self, now: Moment, region: usize) -> Option<Duration> {
        if region == self.own_region {
            return Some(Duration::ZERO);
        }
        Some(now - self.reports.get(&region)?.sent)
    }

    /// Whether the figures of a region count. The capacity of a region whose figures do not
    /// count must be taken as zero.
    pub fn is_current(&self, now: Moment, region: usize) -> bool {
        self.report_age(now, region)
            .is_some_and(|age| age <= PLAN_REPORT_LIFETIME)
    }

    /// Work of a class that callers of a region ask for; zero if the region's report is out
    /// of date.
    pub fn offered(&self, now: Moment, class: ClassTag, region: usize) -> WorkRate {
        if region == self.own_region {
            let flow = self.classes.get(&class.get());
            return flow.map_or(WorkRate::ZERO, |flow| flow.rate(now));
        }
        if !self.is_current(now, region) {
            return WorkRate::ZERO;
        }
        let flows = self.reports.get(&region).map(|report| &report.flows);
        flows
            .and_then(|flows| flows.get(&class.get()).copied())
            .unwrap_or_default()
    }
}
