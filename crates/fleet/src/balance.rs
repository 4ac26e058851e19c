//! Balancing of plain services between regions by request rates.
//!
//! A server of a plain service rejects requests once a few are queued, long before the
//! queueing time alone would justify a remote region, and the known queue length is
//! older than the queue. A region that is offered more requests than its servers can
//! serve therefore forwards a random part of them to regions that have reported spare
//! capacity. Every VM computes this part from the rates of all VMs of its region, so
//! that it does not oscillate.

use std::collections::BTreeMap;
use std::time::Duration;

use onyxfall_policy::Moment;
use onyxfall_types::{ServiceName, name_tag};

use crate::flow::FlowMeter;
use crate::switches::DecisionSwitch;
use crate::view::FleetView;

/// Decay time of rates. One of hundreds of VMs sends a service two or three requests
/// per second, and a load peak builds up within seconds.
const RATE_DECAY: Duration = Duration::from_secs(2);
/// Fraction of the capacity up to which a region keeps its requests. Beyond it, queues
/// grow so long that servers reject requests.
const KEEP_FRACTION: f64 = 0.8;
/// Fraction of the capacity up to which a region takes requests of other regions. In
/// their own regions they would be rejected more often.
const ACCEPT_FRACTION: f64 = 0.92;
/// Upper bound of the part of a region's requests that is forwarded.
const MAX_FORWARDED: f64 = 0.9;

/// Kind of requests that a rate counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RateKind {
    /// Requests of the region's own callers, once each.
    Offered,
    /// Requests forwarded by other regions.
    Relayed,
}

impl RateKind {
    /// All kinds.
    pub const ALL: [Self; 2] = [Self::Offered, Self::Relayed];

    /// Tag of this rate of a service in messages between VMs.
    ///
    /// ```
    /// use onyxfall_fleet::RateKind;
    /// assert_ne!(RateKind::Offered.tag("svc"), RateKind::Relayed.tag("svc"));
    /// ```
    pub fn tag(self, service: &str) -> u32 {
        let kind = match self {
            Self::Offered => "offered",
            Self::Relayed => "relayed",
        };
        name_tag(&format!("{kind} {service}"))
    }
}

/// Request rates of one service.
#[derive(Clone, Debug)]
pub(crate) struct ServiceRates {
    /// Rates of this VM, by kind.
    own: [FlowMeter; 2],
    /// Rates of the other VMs, by kind, in requests per second.
    peers: [f64; 2],
}

impl Default for ServiceRates {
    fn default() -> Self {
        Self {
            own: [FlowMeter::new(RATE_DECAY); 2],
            peers: [0.0; 2],
        }
    }
}

impl ServiceRates {
    /// Requests per second of a kind in the region.
    fn region_total(&self, now: Moment, kind: RateKind) -> f64 {
        self.own[kind as usize].per_second(now) + self.peers[kind as usize]
    }
}

/// Rates by service.
pub(crate) type RateTable = BTreeMap<ServiceName, ServiceRates>;

impl FleetView {
    /// Records a request for a service.
    pub fn record_request(&mut self, now: Moment, service: &ServiceName, kind: RateKind) {
        let rates = self.rates_mut().entry(service.clone()).or_default();
        rates.own[kind as usize].note(now, 1);
    }

    /// Tags and rates of the services with requests at this VM, in requests per second.
    pub fn own_rates(&self, now: Moment) -> impl Iterator<Item = (u32, f64)> {
        self.rates().iter().flat_map(move |(service, rates)| {
            RateKind::ALL.map(|kind| {
                let rate = rates.own[kind as usize].per_second(now);
                (kind.tag(service.as_str()), rate)
            })
        })
    }

    /// Sets the other VMs' rate with this tag. Returns whether a rate with this tag
    /// exists.
    pub fn set_peer_rate(&mut self, tag: u32, rate: f64) -> bool {
        let found = self.rates_mut().iter_mut().find_map(|(service, rates)| {
            let kinds = RateKind::ALL.into_iter();
            let mut kinds = kinds.filter(|kind| kind.tag(service.as_str()) == tag);
            kinds.next().map(|kind| (rates, kind))
        });
        let Some((rates, kind)) = found else {
            return false;
        };
        rates.peers[kind as usize] = rate;
        true
    }

    /// Part of the region's requests for a plain service that exceeds what it can serve
    /// well.
    pub fn overflow(&self, now: Moment, service: &ServiceName) -> f64 {
        let offered = self.region_rate(now, service, RateKind::Offered);
        if offered <= 0.0 || !self.switches().is_on(DecisionSwitch::RegionRates) {
            return 0.0;
        }
        (self.excess(now, service) / offered).clamp(0.0, MAX_FORWARDED)
    }

    /// Requests per second for a plain service beyond what this region can serve well;
    /// 0 if there are none.
    pub fn excess(&self, now: Moment, service: &ServiceName) -> f64 {
        let kept_rate = KEEP_FRACTION * self.plain_capacity(now, service);
        (self.plain_rate(now, service) - kept_rate).max(0.0)
    }

    /// Requests per second that a plain service's servers of this region can take from
    /// other regions.
    pub fn spare(&self, now: Moment, service: &ServiceName) -> f64 {
        let accepted_rate = ACCEPT_FRACTION * self.plain_capacity(now, service);
        (accepted_rate - self.plain_rate(now, service)).max(0.0)
    }

    fn plain_rate(&self, now: Moment, service: &ServiceName) -> f64 {
        let rates = RateKind::ALL.map(|kind| self.region_rate(now, service, kind));
        rates.iter().sum()
    }

    fn region_rate(&self, now: Moment, service: &ServiceName, kind: RateKind) -> f64 {
        let rates = self.rates().get(service);
        rates.map_or(0.0, |rates| rates.region_total(now, kind))
    }

    /// Requests per second that a plain service's servers of this region can serve.
    fn plain_capacity(&self, now: Moment, service: &ServiceName) -> f64 {
        let one = self.costs(service).plain_ms() / 1e3;
        let capacity = |id| {
            let server = self.server(id);
            let maximum = f64::from(server.record.slots) / one.max(f64::MIN_POSITIVE);
            server
                .limit(now)
                .map_or(maximum, |limit| maximum.min(limit.per_second()))
        };
        self.region_servers(service)
            .filter(|id| self.is_trusted(now, *id) && !self.server(*id).is_cold(now))
            .map(capacity)
            .sum()
    }
}
