//! Choice of a remote region for a request.
//!
//! Aggregators report the expected wait of a typical request at their region's servers.
//! A request is forwarded when its own region cannot meet the goal and another one,
//! round trip included, is faster by a margin. Work forwarded to a region counts as
//! load there until the region's report can include it. Work forwarded by the other VMs
//! of this region counts as well: if a hundred VMs counted only their own, all would
//! forward to the same region until its next report.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use onyxfall_policy::Moment;
use onyxfall_types::{RegionName, name_tag};
use rand::Rng;

use crate::call::CallRequirements;
use crate::flow::FlowMeter;
use crate::learn::RoundTrips;
use crate::predict::TimePrediction;

/// Fraction of the goal up to which a request stays in its region.
const LOCAL_GOAL_FRACTION: f64 = 0.5;
/// Minimum gain that outweighs the traffic between regions and a repeated prefill of
/// the prefix.
const REMOTE_MARGIN: Duration = Duration::from_millis(60);
/// Minimum prefill time that must be saved for a request to follow its prefix into
/// another region. Below it the traffic between regions costs more than is saved.
const MIN_PREFIX_GAIN: Duration = Duration::from_millis(12);
/// Weight of one response in the correction of a region's reported wait. Its VMs report
/// their best server as of one heartbeat ago, while requests go to the server that has
/// their prefix cached. Without the correction the median first byte took 1.2 to 1.5
/// times the predicted time.
const CORRECTION_WEIGHT: f64 = 0.03;
/// Bounds of the correction factor.
const CORRECTION_RANGE: (f64, f64) = (0.5, 4.0);
/// Maximum number of event gaps that is counted, against overflow.
const MAX_GAPS: f64 = 1e6;
/// Age after which the report of a region is ignored.
const REPORT_MAX_AGE: Duration = Duration::from_secs(4);
/// Time until a region's aggregators know of work that has arrived there: one report,
/// one aggregation and the transfer of both.
const REPORT_DELAY: Duration = Duration::from_millis(100);

/// Decay time of the rate of forwarded work. A region's report is renewed within half
/// of it.
const SENT_DECAY: Duration = Duration::from_millis(800);
/// Decay time after which a rate counts as the baseline. The baseline is already part
/// of the other region's reported load. Counting it again kept requests in their region
/// that were better forwarded (mean value of 27 days of three small sites 0.675, 0.679
/// without).
const BASELINE_DECAY: Duration = Duration::from_millis(1500);
/// Upper bound of a reported rate of forwarded work, in seconds of work per second.
const MAX_RATE: f64 = 10_000.0;

/// Load of one service in a region as reported by its aggregator.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServiceLoad {
    /// Expected time to the first byte of a typical request at the best server.
    pub wait: Duration,
    /// Part of `wait` that is caused by other requests.
    pub backlog: Duration,
    /// Number of servers that accept requests.
    pub usable: u32,
    /// Expected time between two events of a response.
    pub event_interval: Duration,
    /// Spare capacity of a plain service, in thousandths of a request per second.
    pub spare: u32,
    /// Capacity of a model service, in thousandths of a second of work per second.
    pub capacity: u32,
}

/// Work that was forwarded to a region.
#[derive(Clone, Copy, Debug)]
struct SentWork {
    at: Moment,
    service_tag: u32,
    work: Duration,
}

/// Last report of a region, and the work forwarded to it since.
#[derive(Clone, Debug)]
struct RegionReport {
    /// When the report was made.
    reported_at: Moment,
    /// Round-trip time to the region.
    trip: Duration,
    loads: BTreeMap<u32, ServiceLoad>,
    /// Work that this VM has forwarded there and that the report cannot include.
    sent: VecDeque<SentWork>,
    /// Rate of work that this VM forwards there by service, in microseconds per second.
    rates: BTreeMap<u32, FlowMeter>,
    /// The same rate for the other VMs of this region.
    peer_rates: BTreeMap<u32, PeerRate>,
}

impl RegionReport {
    /// Work forwarded there by all VMs of this region that the report cannot include.
    fn sent(&self, now: Moment, service_tag: u32) -> Duration {
        let own: Duration = self
            .sent
            .iter()
            .filter(|sent| sent.service_tag == service_tag)
            .map(|sent| sent.work)
            .sum();
        let excess = self
            .peer_rates
            .get(&service_tag)
            .map_or(0.0, |peer| peer.excess_over_baseline(now));
        let unreported_for = now - self.reported_at + unreported_before(self.trip);
        own + unreported_for.mul_f64(excess)
    }
}

/// Rate reported by other VMs, with its baseline.
#[derive(Clone, Copy, Debug, Default)]
struct PeerRate {
    /// Seconds of work per second.
    rate: f64,
    /// Exponential moving average of `rate`.
    baseline: f64,
    at: Moment,
}

impl PeerRate {
    fn set(&mut self, now: Moment, rate: f64) {
        self.baseline = self.baseline_at(now);
        self.rate = rate.clamp(0.0, MAX_RATE);
        self.at = now;
    }

    fn baseline_at(&self, now: Moment) -> f64 {
        let remaining = (-(now - self.at).as_secs_f64() / BASELINE_DECAY.as_secs_f64()).exp();
        self.rate + (self.baseline - self.rate) * remaining
    }

    /// Excess of the rate over its baseline, which the region's report already
    /// includes.
    fn excess_over_baseline(&self, now: Moment) -> f64 {
        (self.rate - self.baseline_at(now)).max(0.0)
    }
}

/// Time before a region's report in which forwarded work is not yet included in it.
fn unreported_before(trip: Duration) -> Duration {
    trip / 2 + REPORT_DELAY
}

/// Tag of the rate of work of a service that is forwarded to a region, for messages
/// between the VMs of the forwarding region.
fn rate_tag(region: &RegionName, service_tag: u32) -> u32 {
    name_tag(&format!("sent {region} {service_tag}"))
}

/// Parameters of a search for a region to forward a request to.
#[derive(Clone, Copy)]
pub struct RemoteSearch<'a> {
    /// Requirements of the request.
    pub needs: &'a CallRequirements,
    /// Tag of the service name.
    pub service_tag: u32,
    /// Region of this VM.
    pub own_region: &'a RegionName,
    /// Region that has the request's shared prefix cached, if any.
    pub prefix_home: Option<&'a RegionName>,
    /// Round-trip times to other regions.
    pub trips: &'a RoundTrips,
    /// Work that the request adds to a region that does not have its prefix cached.
    pub work: Duration,
    /// Work that the request adds to the region that has its prefix cached.
    pub work_with_prefix: Duration,
    /// Regions in which no VM is left to try.
    pub excluded: &'a [RegionName],
}

/// Region to which a request can be forwarded.
#[derive(Clone, Debug, PartialEq)]
pub struct RemoteOption {
    /// Name of the region.
    pub region: RegionName,
    /// Whether the request's shared prefix is cached in the region.
    pub holds_prefix: bool,
    /// Work that the request adds there.
    pub work: Duration,
    /// Expected times, including the round trip.
    pub predicted: TimePrediction,
}

/// Load reports of other regions.
#[derive(Clone, Debug, Default)]
pub struct RemoteTable {
    reports: BTreeMap<RegionName, RegionReport>,
    /// Mean logarithm of the ratio of measured to predicted time to first byte, by
    /// region.
    corrections: BTreeMap<RegionName, f64>,
}

impl RemoteTable {
    /// Applies a report of a region made at `reported_at`, with a round-trip time of
    /// `trip`. A report that is not newer than the last one is ignored.
    pub fn apply(
        &mut self,
        reported_at: Moment,
        region: &RegionName,
        trip: Duration,
        loads: BTreeMap<u32, ServiceLoad>,
    ) {
        let Some(report) = self.reports.get_mut(region) else {
            let report = RegionReport {
                reported_at,
                trip,
                loads,
                sent: VecDeque::new(),
                rates: BTreeMap::new(),
                peer_rates: BTreeMap::new(),
            };
            self.reports.insert(region.clone(), report);
            return;
        };
        if report.reported_at >= reported_at {
            return;
        }
        report.reported_at = reported_at;
        report.trip = trip;
        report.loads = loads;
        let unreported_for = unreported_before(trip);
        while report
            .sent
            .front()
            .is_some_and(|sent| sent.at + unreported_for < reported_at)
        {
            report.sent.pop_front();
        }
    }

    /// The reports of other regions that are still valid: region, time of the report
    /// and loads.
    pub fn reports(
        &self,
        now: Moment,
    ) -> impl Iterator<Item = (&RegionName, Moment, &BTreeMap<u32, ServiceLoad>)> {
        self.reports
            .iter()
            .filter(move |(_, report)| now - report.reported_at < REPORT_MAX_AGE)
            .map(|(region, report)| (region, report.reported_at, &report.loads))
    }

    /// Records that a first byte came from a region after `took` where `predicted` was
    /// expected.
    pub fn record_first(&mut self, region: &RegionName, predicted: Duration, took: Duration) {
        let ratio = took.as_secs_f64().max(1e-3) / predicted.as_secs_f64().max(1e-3);
        let correction = self.corrections.entry(region.clone()).or_default();
        let (least, most) = CORRECTION_RANGE;
        *correction = (*correction + CORRECTION_WEIGHT * ratio.ln()).clamp(least.ln(), most.ln());
    }

    /// Factor by which work in a region takes longer than reported.
    fn correction(&self, region: &RegionName) -> f64 {
        self.corrections
            .get(region)
            .map_or(1.0, |correction| correction.exp())
    }

    /// Records that a request is forwarded to the region of an option.
    pub fn record_sent(&mut self, now: Moment, option: &RemoteOption, service_tag: u32) {
        if let Some(report) = self.reports.get_mut(&option.region) {
            let meter = report.rates.entry(service_tag);
            let micros = u64::try_from(option.work.as_micros()).unwrap_or(u64::MAX);
            meter
                .or_insert(FlowMeter::new(SENT_DECAY))
                .note(now, micros);
            report.sent.push_back(SentWork {
                at: now,
                service_tag,
                work: option.work,
            });
        }
    }

    /// Tags and rates of the work that this VM forwards to regions, in seconds of work
    /// per second.
    pub fn own_rates(&self, now: Moment) -> impl Iterator<Item = (u32, f64)> {
        self.reports.iter().flat_map(move |(region, report)| {
            report.rates.iter().map(move |(service_tag, meter)| {
                let rate = meter.per_second(now) / 1e6;
                (rate_tag(region, *service_tag), rate)
            })
        })
    }

    /// Sets the other VMs' rate with this tag, in seconds of work per second. Returns
    /// whether a rate with this tag exists.
    pub fn set_peer_rate(&mut self, now: Moment, tag: u32, rate: f64) -> bool {
        for (region, report) in &mut self.reports {
            for service_tag in report.loads.keys() {
                if rate_tag(region, *service_tag) == tag {
                    report
                        .peer_rates
                        .entry(*service_tag)
                        .or_default()
                        .set(now, rate);
                    return true;
                }
            }
        }
        false
    }

    /// The best other region, if any may run the request.
    pub fn best(&self, now: Moment, search: &RemoteSearch<'_>) -> Option<RemoteOption> {
        self.options(now, search)
            .min_by_key(|option| option.predicted.first)
    }

    /// Options of all other regions that may run the request.
    pub fn options<'a>(
        &'a self,
        now: Moment,
        search: &'a RemoteSearch<'_>,
    ) -> impl Iterator<Item = RemoteOption> + 'a {
        self.reports
            .iter()
            .filter(move |(region, report)| {
                *region != search.own_region
                    && search.needs.allows_region(region)
                    && now - report.reported_at < REPORT_MAX_AGE
                    && !search.excluded.contains(region)
            })
            .filter_map(move |(region, report)| self.option(now, region, report, search))
    }

    fn option(
        &self,
        now: Moment,
        region: &RegionName,
        report: &RegionReport,
        search: &RemoteSearch<'_>,
    ) -> Option<RemoteOption> {
        let load = report.loads.get(&search.service_tag)?;
        if load.usable == 0 {
            return None;
        }
        let holds_prefix = search.prefix_home == Some(region);
        let added_work = if holds_prefix {
            search.work_with_prefix
        } else {
            search.work
        };
        let sent = report.sent(now, search.service_tag) / load.usable;
        let correction = self.correction(region);
        let remote_time = (load.wait + sent + added_work).mul_f64(correction);
        let first = search.trips.to(region) + remote_time;
        let gaps = (search.needs.events.unwrap_or(1.0) - 1.0).max(0.0);
        let whole = first + load.event_interval.mul_f64(gaps.min(MAX_GAPS));
        Some(RemoteOption {
            region: region.clone(),
            holds_prefix,
            work: added_work,
            predicted: TimePrediction {
                first,
                loaded: first,
                backlog: (load.backlog + sent).mul_f64(correction),
                whole,
            },
        })
    }

    /// Draws a region with a probability in proportion to its spare capacity for a
    /// plain service, among those that respond within `limit`. Returns none with the
    /// probability that all of them together cannot take `excess` requests per second.
    pub fn draw_spare(
        &self,
        now: Moment,
        search: &RemoteSearch<'_>,
        limit: Duration,
        excess: f64,
        rng: &mut impl Rng,
    ) -> Option<RemoteOption> {
        let options: Vec<(f64, RemoteOption)> = self
            .options(now, search)
            .filter(|option| option.predicted.first <= limit)
            .map(|option| {
                let load = self.reports[&option.region].loads.get(&search.service_tag);
                let spare = load.map_or(0.0, |load| f64::from(load.spare) / 1e3);
                (spare, option)
            })
            .collect();
        let total: f64 = options.iter().map(|(spare, _)| spare).sum();
        let mut point = rng.random::<f64>() * total.max(excess);
        for (spare, option) in options {
            if point < spare {
                return Some(option);
            }
            point -= spare;
        }
        None
    }

    /// Draws a region with a probability in proportion to its usable servers,
    /// `own_usable` of them in this region. Returns none if this region is drawn.
    pub fn draw(
        &self,
        now: Moment,
        search: &RemoteSearch<'_>,
        own_usable: u32,
        rng: &mut impl Rng,
    ) -> Option<RemoteOption> {
        let options: Vec<RemoteOption> = self.options(now, search).collect();
        let usable = |option: &RemoteOption| {
            let load = self.reports[&option.region].loads.get(&search.service_tag);
            load.map_or(0, |load| load.usable)
        };
        let total = own_usable.saturating_add(options.iter().map(usable).sum());
        let mut point = rng.random_range(0..total.max(1));
        for option in options {
            if point < usable(&option) {
                return Some(option);
            }
            point -= usable(&option);
        }
        None
    }
}

/// Whether a request is better forwarded than sent to a server of its region that
/// responds after `local`. `saved` is the prefill time saved if the other region has
/// its prefix cached.
///
/// ```
/// use onyxfall_fleet::goes_remote;
/// use std::time::Duration;
/// let ms = Duration::from_millis;
/// assert!(!goes_remote(ms(600), ms(200), ms(0), ms(120), false));
/// assert!(goes_remote(ms(600), ms(900), ms(0), ms(200), false));
/// assert!(goes_remote(ms(1000), ms(200), ms(45), ms(250), true));
/// ```
pub fn goes_remote(
    goal: Duration,
    local: Duration,
    saved: Duration,
    remote: Duration,
    holds_prefix: bool,
) -> bool {
    let stay = goal.mul_f64(LOCAL_GOAL_FRACTION);
    let is_faster = local > stay && remote + REMOTE_MARGIN < local;
    let saves_prefill = holds_prefix && saved >= MIN_PREFIX_GAIN && remote <= stay;
    is_faster || saves_prefill
}
