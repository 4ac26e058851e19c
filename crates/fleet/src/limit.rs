//! Rate limits that servers in need name for all VMs together.
//!
//! A server names its limit in each answer for as long as it has one. A VM goes by its own
//! last answer; without one, by the mean of what the other VMs of the region report. Only
//! the VMs that rank first for the server by rendezvous hashing send to it, each at an equal
//! share of the rate and without bursts: the total stays below the limit however many VMs
//! the region has.
//!
//! Invariants: a limit ends with an answer to a request that was sent after the last one
//! that named it, or [`NAMED_LIFE`] after that; reports of other VMs are never forwarded.

use std::time::Duration;

use onyxfall_policy::Moment;
use onyxfall_types::{RequestRate, ServerId};

use crate::cold::sender_rank;
use crate::view::FleetView;

/// Lifetime of a limit that no later answer has confirmed or ended; longer than the longest
/// pause between two requests of one sender.
const NAMED_LIFE: Duration = Duration::from_secs(12);
/// Time for which an own answer without a limit overrides reports of other VMs.
const LIFTED_LIFE: Duration = Duration::from_secs(2);
/// Requests a second that a sender makes at least: only an answer tells that a limit has
/// ended.
const LEAST_SHARE: f64 = 0.1;
/// Largest limit that is reported, in requests a second.
const MOST_REPORTED: f64 = 1e6;
/// VMs that may send to a server that takes less than one request a second.
const LEAST_SENDERS: usize = 2;

/// Whether a server names in an answer how many requests a second it takes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum LimitSignal {
    /// It names none.
    #[default]
    None,
    /// It takes so many, from all VMs together.
    Rate(RequestRate),
    /// It names something that is no rate.
    Malformed,
}

/// Limits of one server as several VMs have read them, summed up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LimitReports {
    /// VMs that report one.
    pub vms: u32,
    /// Sum of the limits, in thousandths of a request a second.
    pub thousandths: u64,
}

impl LimitReports {
    /// The report of one VM.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn of(rate: RequestRate) -> Self {
        Self {
            vms: 1,
            thousandths: (rate.per_second().min(MOST_REPORTED) * 1e3).round() as u64,
        }
    }

    /// Mean of the limits; none without a report.
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

    /// Both together.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            vms: self.vms.saturating_add(other.vms),
            thousandths: self.thousandths.saturating_add(other.thousandths),
        }
    }

    /// The rest without a part.
    #[must_use]
    pub fn without(self, part: Self) -> Self {
        Self {
            vms: self.vms.saturating_sub(part.vms),
            thousandths: self.thousandths.saturating_sub(part.thousandths),
        }
    }
}

/// What this VM has read of the limit of one life of a server, and when it sent there.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServerLimit {
    named: Option<(RequestRate, Moment)>,
    /// When an answer last showed that there is none.
    lifted: Option<Moment>,
    /// When the last request was sent.
    sent: Option<Moment>,
}

impl ServerLimit {
    /// Takes the limit of an answer to a request that was sent at `sent`. Without that
    /// moment the answer belongs to another request and does not end a limit.
    pub(crate) fn take(&mut self, now: Moment, word: LimitSignal, sent: Option<Moment>) {
        match word {
            LimitSignal::Rate(rate) => {
                self.named = Some((rate, now));
                self.lifted = None;
            }
            LimitSignal::None => {
                let is_later = |sent| self.named.is_none_or(|(_, named)| sent > named);
                if sent.is_some_and(is_later) {
                    self.named = None;
                    self.lifted = Some(now);
                }
            }
            LimitSignal::Malformed => {}
        }
    }

    /// Notes that a request is sent.
    pub(crate) fn note_sent(&mut self, now: Moment) {
        self.sent = Some(now);
    }

    /// What this VM reports to others.
    pub(crate) fn report(&self, now: Moment) -> LimitReports {
        self.own_rate(now)
            .map_or(LimitReports::default(), LimitReports::of)
    }

    fn own_rate(&self, now: Moment) -> Option<RequestRate> {
        let (rate, named) = self.named?;
        (now - named < NAMED_LIFE).then_some(rate)
    }

    /// The limit in force, given the reports of other VMs.
    pub(crate) fn rate(&self, now: Moment, reports: LimitReports) -> Option<RequestRate> {
        let is_lifted = self.lifted.is_some_and(|at| now - at < LIFTED_LIFE);
        match self.own_rate(now) {
            Some(rate) => Some(rate),
            None if is_lifted => None,
            None => reports.mean(),
        }
    }

    /// Time until a VM that sends `share` requests a second may send the next one.
    fn wait(&self, now: Moment, share: f64) -> Duration {
        let pause = Duration::from_secs_f64(1.0 / share);
        self.sent
            .map_or(Duration::ZERO, |sent| (sent + pause) - now)
    }
}

impl FleetView {
    /// Takes the limit of an answer to a request that was sent at `sent`; without that
    /// moment the answer belongs to another request.
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
    /// #     born: StartTime::UNKNOWN,
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
        word: LimitSignal,
        sent: Option<Moment>,
    ) {
        let id = self.same_instance(id);
        self.server_mut(id).limit_mut().take(now, word, sent);
    }

    /// Whether the limit of a server lets this VM send to it now.
    pub fn is_within_limit(&self, now: Moment, id: ServerId) -> bool {
        self.limit_wait(now, id).is_zero()
    }

    /// Time until the limit of a server lets this VM send to it; for a VM that is no sender,
    /// the interval at which the server accepts requests.
    pub(crate) fn limit_wait(&self, now: Moment, id: ServerId) -> Duration {
        let server = self.server(id);
        let Some(rate) = server.limit(now) else {
            return Duration::ZERO;
        };
        let (own, others) = (&self.place().vm, self.region_vms());
        let senders = sender_count(rate);
        if sender_rank("limit", &server.record.name, own, others) >= senders {
            return Duration::from_secs_f64(1.0 / rate.per_second().max(LEAST_SHARE));
        }
        // Without knowledge of the region's VMs, all senders may be there.
        let is_counted = self.is_alone() || !others.is_empty();
        let sending = if is_counted {
            senders.min(others.len() + 1)
        } else {
            senders
        };
        let share = (rate.per_second() / sending as f64).max(LEAST_SHARE);
        server.limit_state().wait(now, share)
    }
}

/// VMs that may send to a server with a limit: few, since each may send one request at the
/// same moment.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn sender_count(rate: RequestRate) -> usize {
    LEAST_SENDERS.saturating_add(rate.per_second() as usize)
}
