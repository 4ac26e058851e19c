//! Rate limits that overloaded servers set for all VMs together.
//!
//! A server states its limit in each response for as long as the limit is in force. A VM
//! uses the limit of its own last response or, without one, the mean of what the other VMs
//! of the region report. Only the VMs that rank first for the server by rendezvous hashing
//! send to it, each at an equal share of the rate and without bursts, so that the total
//! stays below the limit however many VMs the region has.
//!
//! Invariants: a limit ends with a response without a limit to a request that was sent after
//! the last response that stated it, or [`LIMIT_TTL`] after that response; reports of other
//! VMs are never forwarded.

use std::time::Duration;

use onyxfall_policy::Moment;
use onyxfall_types::{RequestRate, ServerId};

use crate::cold::sender_rank;
use crate::view::FleetView;

/// Lifetime of a limit that no later response has confirmed or ended; longer than the longest
/// pause between two requests of one sender.
const LIMIT_TTL: Duration = Duration::from_secs(12);
/// Time for which a response without a limit overrides the reports of other VMs.
const LIFTED_TTL: Duration = Duration::from_secs(2);
/// Least rate of a sender, in requests a second: only a response shows that a limit has
/// ended.
const MIN_SENDER_RATE: f64 = 0.1;
/// Largest limit that is reported, in requests a second.
const MAX_REPORTED_RATE: f64 = 1e6;
/// VMs that may send to a server whose limit is less than one request a second.
const MIN_SENDERS: usize = 2;

/// Rate limit stated in a response of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum LimitSignal {
    /// The response states no limit.
    #[default]
    None,
    /// The server accepts this rate from all VMs together.
    Rate(RequestRate),
    /// The stated limit cannot be parsed.
    Malformed,
}

/// Sum of the limits that several VMs have read from responses of one server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LimitReports {
    /// Number of VMs that report a limit.
    pub vms: u32,
    /// Sum of the reported limits, in thousandths of a request a second.
    pub thousandths: u64,
}

impl LimitReports {
    /// The report of one VM that has read `rate`.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn of(rate: RequestRate) -> Self {
        Self {
            vms: 1,
            thousandths: (rate.per_second().min(MAX_REPORTED_RATE) * 1e3).round() as u64,
        }
    }

    /// Mean of the reported limits; `None` without a report.
    ///
    /// ```
    /// use onyxfall_fleet::LimitReports;
    /// let reports = LimitReports { vms: 2, thousandths: 5000 };
    /// assert_eq!(reports.mean().unwrap().per_second(), 2.5);
    /// assert!(LimitReports::default().mean().is_none());
    /// ```
    pub fn mean(self) -> Option<RequestRate> {
        let vms = (self.vms > 0).then_some(f64::from(self.vms))?;
        RequestRate::new(self.thousandths as f64 / 1e3 / vms)
    }

    /// Sum of both reports.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            vms: self.vms.saturating_add(other.vms),
            thousandths: self.thousandths.saturating_add(other.thousandths),
        }
    }

    /// The sum without `part`.
    #[must_use]
    pub fn without(self, part: Self) -> Self {
        Self {
            vms: self.vms.saturating_sub(part.vms),
            thousandths: self.thousandths.saturating_sub(part.thousandths),
        }
    }
}

/// Rate limit of one server instance as this VM has read it, and the time of the last send.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServerLimit {
    /// The last stated limit, and when it was read.
    stated: Option<(RequestRate, Moment)>,
    /// When a response last showed that the limit has ended.
    lifted: Option<Moment>,
    /// When the last request was sent.
    sent: Option<Moment>,
}

impl ServerLimit {
    /// Applies the limit of a response to a request that was sent at `sent`. Without `sent`
    /// the response belongs to another request and does not end a limit.
    pub(crate) fn apply(&mut self, now: Moment, signal: LimitSignal, sent: Option<Moment>) {
        match signal {
            LimitSignal::Rate(rate) => {
                self.stated = Some((rate, now));
                self.lifted = None;
            }
            LimitSignal::None => {
                let is_later = |sent| self.stated.is_none_or(|(_, stated)| sent > stated);
                if sent.is_some_and(is_later) {
                    self.stated = None;
                    self.lifted = Some(now);
                }
            }
            LimitSignal::Malformed => {}
        }
    }

    /// Records that a request is sent.
    pub(crate) fn record_sent(&mut self, now: Moment) {
        self.sent = Some(now);
    }

    /// The report of this VM to other VMs.
    pub(crate) fn report(&self, now: Moment) -> LimitReports {
        self.own_rate(now)
            .map_or(LimitReports::default(), LimitReports::of)
    }

    /// The limit that this VM has read itself, if it has not expired.
    fn own_rate(&self, now: Moment) -> Option<RequestRate> {
        let (rate, stated) = self.stated?;
        (now - stated < LIMIT_TTL).then_some(rate)
    }

    /// The limit in force, given the `reports` of other VMs.
    pub(crate) fn rate(&self, now: Moment, reports: LimitReports) -> Option<RequestRate> {
        let is_lifted = self.lifted.is_some_and(|at| now - at < LIFTED_TTL);
        match self.own_rate(now) {
            Some(rate) => Some(rate),
            None if is_lifted => None,
            None => reports.mean(),
        }
    }

    /// Time until a VM that sends `share` requests a second may send the next request.
    fn wait(&self, now: Moment, share: f64) -> Duration {
        let pause = Duration::from_secs_f64(1.0 / share);
        self.sent
            .map_or(Duration::ZERO, |sent| (sent + pause) - now)
    }
}

impl FleetView {
    /// Applies the limit of a response to a request that was sent at `sent`. Without `sent`
    /// the response belongs to another request and does not end a limit.
    ///
    /// ```
    /// use onyxfall_fleet::{FleetView, LimitSignal, VmLocation};
    /// use onyxfall_types::RequestRate;
    /// # use onyxfall_fleet::{StartTime, ServerPhase, ServerRecord};
    /// # use onyxfall_policy::Moment;
    /// # let (center, region): (onyxfall_types::CenterName, onyxfall_types::RegionName) =
    /// #     ("c1".parse().unwrap(), "r1".parse().unwrap());
    /// # let mut fleet = FleetView::new(VmLocation {
    /// #     vm: "vm1".parse().unwrap(),
    /// #     center: center.clone(),
    /// #     region: region.clone(),
    /// #     centers: [(center.clone(), region)].into(),
    /// # });
    /// # let record = ServerRecord {
    /// #     name: "s1".parse().unwrap(),
    /// #     started_at: StartTime::UNKNOWN,
    /// #     service: "svc".parse().unwrap(),
    /// #     version: None,
    /// #     address: "10.0.0.1:80".parse().unwrap(),
    /// #     center,
    /// #     slots: 4,
    /// #     phase: ServerPhase::Ready,
    /// #     cold_left: std::time::Duration::ZERO,
    /// # };
    /// # fleet.put_server(Moment::ZERO, record, None);
    /// let server = fleet.find("s1").unwrap();
    /// let rate = RequestRate::new(2.5).unwrap();
    /// fleet.apply_limit(Moment::ZERO, server, LimitSignal::Rate(rate), Some(Moment::ZERO));
    /// assert_eq!(fleet.server(server).limit(Moment::ZERO), Some(rate));
    /// ```
    pub fn apply_limit(
        &mut self,
        now: Moment,
        id: ServerId,
        signal: LimitSignal,
        sent: Option<Moment>,
    ) {
        let id = self.same_instance(id);
        self.server_mut(id).limit_mut().apply(now, signal, sent);
    }

    /// Whether the limit of server `id` lets this VM send to it now.
    pub fn is_within_limit(&self, now: Moment, id: ServerId) -> bool {
        self.limit_wait(now, id).is_zero()
    }

    /// Time until the limit of server `id` lets this VM send to it; for a VM that is not a
    /// sender, the interval at which the server accepts requests.
    pub(crate) fn limit_wait(&self, now: Moment, id: ServerId) -> Duration {
        let server = self.server(id);
        let Some(rate) = server.limit(now) else {
            return Duration::ZERO;
        };
        let service = &server.record.service;
        let (own, others) = (&self.place().vm, self.sharing_vms(service));
        let senders = sender_count(rate);
        if sender_rank("limit", &server.record.name, own, others) >= senders {
            return Duration::from_secs_f64(1.0 / rate.per_second().max(MIN_SENDER_RATE));
        }
        // Without a list of the region's VMs, all senders are assumed to exist.
        let is_counted = self.is_only_sender(service) || !others.is_empty();
        let active_senders = if is_counted {
            senders.min(others.len() + 1)
        } else {
            senders
        };
        let share = (rate.per_second() / active_senders as f64).max(MIN_SENDER_RATE);
        server.limit_state().wait(now, share)
    }
}

/// Number of VMs that may send to a server with a limit. It is small, since all of them may
/// send a request at the same moment.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn sender_count(rate: RequestRate) -> usize {
    MIN_SENDERS.saturating_add(rate.per_second() as usize)
}
