//! The rate that a server in need takes from all VMs together.
//!
//! A server names its limit in its answers for as long as it needs one. A VM believes its
//! own last answer; where it has none, the mean of what the other VMs of the region have
//! read. Only the VMs that rank first for the server by rendezvous hashing send to it,
//! each with an equal part of the rate and never two requests at once, so that a large
//! region cannot exceed a small limit by one request of each VM.
//!
//! Invariants: a belief ends with an answer to a request that was sent after the last one
//! that named a limit, or when no VM has read it for [`NAMED_LIFE`]; what other VMs told
//! is never told on.

use std::time::Duration;

use onyxfall_policy::Moment;
use onyxfall_types::{RequestRate, ServerId};

use crate::cold::sender_rank;
use crate::view::FleetView;

/// Time for which a limit holds that no later answer has named or ended. It is longer than
/// the longest pause between two requests of one sender.
const NAMED_LIFE: Duration = Duration::from_secs(12);
/// Time after an answer without a limit for which it counts more than what others told.
const LIFTED_LIFE: Duration = Duration::from_secs(2);
/// Requests a second that a sender makes at least: only an answer tells that a limit has
/// ended.
const LEAST_SHARE: f64 = 0.1;
/// Requests a second that other VMs are told at most; a larger limit binds nobody.
const MOST_TOLD: f64 = 1e6;
/// VMs that may send to a server that takes less than one request a second.
const LEAST_SENDERS: usize = 2;

/// Whether a server names in an answer how many requests a second it takes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum LimitWord {
    /// It names none.
    #[default]
    None,
    /// It takes so many, from all VMs together.
    Rate(RequestRate),
    /// It names something that is no rate.
    Malformed,
}

/// Limits of one server that several VMs have read, summed up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ToldLimits {
    /// VMs that have read one.
    pub vms: u32,
    /// Sum of what they read, in thousandths of a request a second.
    pub thousandths: u64,
}

impl ToldLimits {
    /// What one VM has read.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn of(rate: RequestRate) -> Self {
        Self {
            vms: 1,
            thousandths: (rate.per_second().min(MOST_TOLD) * 1e3).round() as u64,
        }
    }

    /// The mean of what was read; none if nobody has read a limit.
    ///
    /// ```
    /// use onyxfall_fleet::ToldLimits;
    /// let told = ToldLimits { vms: 2, thousandths: 5000 };
    /// assert_eq!(told.mean().unwrap().per_second(), 2.5);
    /// assert!(ToldLimits::default().mean().is_none());
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
    /// Takes the word of an answer to a request that was sent at `sent`; without that
    /// moment the answer is another request's, and its silence shows nothing.
    pub(crate) fn take(&mut self, now: Moment, word: LimitWord, sent: Option<Moment>) {
        match word {
            LimitWord::Rate(rate) => {
                self.named = Some((rate, now));
                self.lifted = None;
            }
            LimitWord::None => {
                let is_later = |sent| self.named.is_none_or(|(_, named)| sent > named);
                if sent.is_some_and(is_later) {
                    self.named = None;
                    self.lifted = Some(now);
                }
            }
            LimitWord::Malformed => {}
        }
    }

    /// Notes that a request is sent.
    pub(crate) fn note_sent(&mut self, now: Moment) {
        self.sent = Some(now);
    }

    /// The limit that this VM has read itself, for other VMs.
    pub(crate) fn own(&self, now: Moment) -> ToldLimits {
        self.own_rate(now)
            .map_or(ToldLimits::default(), ToldLimits::of)
    }

    fn own_rate(&self, now: Moment) -> Option<RequestRate> {
        let (rate, named) = self.named?;
        (now - named < NAMED_LIFE).then_some(rate)
    }

    /// The limit in force, where other VMs have `told` theirs.
    pub(crate) fn rate(&self, now: Moment, told: ToldLimits) -> Option<RequestRate> {
        let is_lifted = self.lifted.is_some_and(|at| now - at < LIFTED_LIFE);
        match self.own_rate(now) {
            Some(rate) => Some(rate),
            None if is_lifted => None,
            None => told.mean(),
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
    /// Takes what the answer to a request that was sent at `sent` says of its server's
    /// limit; without that moment the answer is not that request's own.
    ///
    /// ```
    /// use onyxfall_fleet::{FleetView, LimitWord, VmPlace};
    /// use onyxfall_types::RequestRate;
    /// # use onyxfall_fleet::{ServerBirth, ServerPhase, ServerRecord};
    /// # use onyxfall_policy::Moment;
    /// # let (center, region): (onyxfall_types::CenterName, onyxfall_types::RegionName) =
    /// #     ("c1".parse().unwrap(), "r1".parse().unwrap());
    /// # let mut fleet = FleetView::new(VmPlace {
    /// #     vm: "vm1".parse().unwrap(),
    /// #     center: center.clone(),
    /// #     region: region.clone(),
    /// #     centers: [(center.clone(), region)].into(),
    /// # });
    /// # let record = ServerRecord {
    /// #     name: "s1".parse().unwrap(),
    /// #     born: ServerBirth::UNKNOWN,
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
    /// fleet.take_limit(Moment::ZERO, server, LimitWord::Rate(rate), Some(Moment::ZERO));
    /// assert_eq!(fleet.server(server).limit(Moment::ZERO), Some(rate));
    /// ```
    pub fn take_limit(&mut self, now: Moment, id: ServerId, word: LimitWord, sent: Option<Moment>) {
        let id = self.same_life(id);
        self.server_mut(id).limit_mut().take(now, word, sent);
    }

    /// Whether the limit that a server names lets this VM send to it now.
    pub fn is_within_limit(&self, now: Moment, id: ServerId) -> bool {
        self.limit_wait(now, id).is_zero()
    }

    /// Time until the limit that a server names lets this VM send to it. A VM that is no
    /// sender is told when the server takes the next request of anybody.
    pub(crate) fn limit_wait(&self, now: Moment, id: ServerId) -> Duration {
        let server = self.server(id);
        let Some(rate) = server.limit(now) else {
            return Duration::ZERO;
        };
        let (own, others) = (&self.place().vm, self.region_vms());
        let senders = senders_of(rate);
        if sender_rank("limit", &server.record.name, own, others) >= senders {
            return Duration::from_secs_f64(1.0 / rate.per_second().max(LEAST_SHARE));
        }
        // A VM that has heard of no other one yet cannot tell how many send.
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

/// VMs that may send to a server with a limit: few enough that one request of each at once
/// stays far below what the limit lets through in some seconds.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn senders_of(rate: RequestRate) -> usize {
    LEAST_SENDERS.saturating_add(rate.per_second() as usize)
}
