//! Evening out the regions' plain services by rates.
//!
//! A plain service's server turns requests away once a few wait, long before waiting
//! alone would be a reason to leave the region; and what is known of its queue is older
//! than the queue. So a region that is offered more than its servers can do sends the
//! part beyond that away by chance, to regions that have told of spare capacity. Every
//! VM works it out from the rates of all VMs of its region, so that nothing swings.

use std::collections::BTreeMap;
use std::time::Duration;

use onyxfall_policy::Moment;
use onyxfall_types::{ServiceName, name_tag};

use crate::flow::FlowMeter;
use crate::switches::DecisionSwitch;
use crate::view::FleetView;

/// Time in which rates fade to a third: a VM of hundreds sends a service two or three
/// requests a second, and a rush builds up within seconds.
const RATE_FADE: Duration = Duration::from_secs(2);
/// Part of what servers can do up to which a region keeps its requests. Beyond, so much
/// waits that servers turn requests away.
const KEPT_PART: f64 = 0.8;
/// Part up to which it takes other regions' requests: those would be turned away more
/// often where they come from.
const TAKEN_PART: f64 = 0.92;
/// Part of a region's requests that leave it at most.
const MOST_AWAY: f64 = 0.9;

/// Which requests a rate counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RateKind {
    /// Requests of callers of the region, once each.
    Offered,
    /// Requests that other regions have passed on.
    Relayed,
}

impl RateKind {
    /// Both kinds.
    pub const ALL: [Self; 2] = [Self::Offered, Self::Relayed];

    /// Short name of this rate of a service in messages between VMs.
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

/// Rates of one service.
#[derive(Clone, Debug)]
pub(crate) struct ServiceRates {
    /// This VM's, by kind.
    own: [FlowMeter; 2],
    /// The other VMs', by kind, in requests a second.
    told: [f64; 2],
}

impl Default for ServiceRates {
    fn default() -> Self {
        Self {
            own: [FlowMeter::new(RATE_FADE); 2],
            told: [0.0; 2],
        }
    }
}

impl ServiceRates {
    /// Requests of a kind in the region, each second.
    fn of_region(&self, now: Moment, kind: RateKind) -> f64 {
        self.own[kind as usize].per_second(now) + self.told[kind as usize]
    }
}

/// Rates by service.
pub(crate) type RateTable = BTreeMap<ServiceName, ServiceRates>;

impl FleetView {
    /// Notes a request for a service.
    pub fn record_request(&mut self, now: Moment, service: &ServiceName, kind: RateKind) {
        let rates = self.rates_mut().entry(service.clone()).or_default();
        rates.own[kind as usize].note(now, 1);
    }

    /// This VM's rates of services that are known: the short name of each, and requests
    /// a second.
    pub fn own_rates(&self, now: Moment) -> impl Iterator<Item = (u32, f64)> {
        self.rates().iter().flat_map(move |(service, rates)| {
            RateKind::ALL.map(|kind| {
                let rate = rates.own[kind as usize].per_second(now);
                (kind.tag(service.as_str()), rate)
            })
        })
    }

    /// Sets the other VMs' rate with this short name; whether there is such a rate.
    pub fn set_peer_rate(&mut self, tag: u32, rate: f64) -> bool {
        let named = self.rates_mut().iter_mut().find_map(|(service, rates)| {
            let kinds = RateKind::ALL.into_iter();
            let mut kinds = kinds.filter(|kind| kind.tag(service.as_str()) == tag);
            kinds.next().map(|kind| (rates, kind))
        });
        let Some((rates, kind)) = named else {
            return false;
        };
        rates.told[kind as usize] = rate;
        true
    }

    /// Part of the region's requests for a plain service that it cannot serve well.
    pub fn overflow(&self, now: Moment, service: &ServiceName) -> f64 {
        let offered = self.region_rate(now, service, RateKind::Offered);
        if offered <= 0.0 || !self.switches().is_on(DecisionSwitch::RegionRates) {
            return 0.0;
        }
        (self.excess(now, service) / offered).clamp(0.0, MOST_AWAY)
    }

    /// Requests a second for a plain service that are more than this region can serve
    /// well; 0 if it can.
    pub fn excess(&self, now: Moment, service: &ServiceName) -> f64 {
        let kept = KEPT_PART * self.plain_capacity(now, service);
        (self.plain_rate(now, service) - kept).max(0.0)
    }

    /// Requests a second that a plain service's servers of this region can take from
    /// other regions.
    pub fn spare(&self, now: Moment, service: &ServiceName) -> f64 {
        let taken = TAKEN_PART * self.plain_capacity(now, service);
        (taken - self.plain_rate(now, service)).max(0.0)
    }

    fn plain_rate(&self, now: Moment, service: &ServiceName) -> f64 {
        let rates = RateKind::ALL.map(|kind| self.region_rate(now, service, kind));
        rates.iter().sum()
    }

    fn region_rate(&self, now: Moment, service: &ServiceName, kind: RateKind) -> f64 {
        let rates = self.rates().get(service);
        rates.map_or(0.0, |rates| rates.of_region(now, kind))
    }

    /// Requests a second that a plain service's servers of this region can do.
    fn plain_capacity(&self, now: Moment, service: &ServiceName) -> f64 {
        let one = self.costs(service).plain_ms() / 1e3;
        let capacity = |id| {
            let server = self.server(id);
            let able = f64::from(server.record.slots) / one.max(f64::MIN_POSITIVE);
            server
                .limit(now)
                .map_or(able, |limit| able.min(limit.per_second()))
        };
        self.near_servers(service)
            .filter(|id| self.is_trusted(now, *id) && !self.server(*id).is_cold(now))
            .map(capacity)
            .sum()
    }
}
