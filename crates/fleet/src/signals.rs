//! Signals that a server sends about itself in response headers, and the state that this
//! VM derives from them.
//!
//! Draining is a property of a server instance and never ends within it: whatever the store
//! or another VM reports about that instance later is older information. The store entry
//! alone is not enough: the store can be 11 s late in accepting it, and requests reached a
//! draining server for that long. Both signals hold for this VM only: each VM learns of
//! draining from its own first response, and backoff that is asked of one VM does not apply
//! to the others.
//!
//! A server that restarts under its name may respond before its new entry is known here, so
//! its signals are recorded for the former instance. Once the entry is known, its start time
//! resolves this: signals that were read after it may belong to the later instance, which
//! then gets no work for a while. Without this, a VM whose connection to the store was
//! delayed sent work to a restarted server 0.4 s after that server had signalled draining.

use std::time::Duration;

use onyxfall_policy::{Moment, ServerBackoff};
use onyxfall_types::ServerId;

use crate::brittle::BrittleSignal;
use crate::instance::StartTime;
use crate::limit::LimitSignal;
use crate::pace::PaceSignal;
use crate::view::FleetView;

/// Least time by which a start time must be later than a signal for the signal to be
/// attributed to the former instance, since clocks of servers and VMs may differ. A draining
/// server keeps serving for at least 3 s before it can restart.
pub(crate) const CLOCK_TOLERANCE: Duration = Duration::from_secs(1);
/// Backoff of an instance that may have signalled draining: draining servers were seen to
/// keep serving for 12 s. After it, one request probes the server.
pub(crate) const AMBIGUOUS_DRAINING: Duration = Duration::from_secs(20);

/// Signals recorded for a former instance that may belong to the current one.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AmbiguousSignals {
    /// Whether the server may be draining.
    pub(crate) drains: bool,
    /// The backoff that the server may have asked for.
    pub(crate) backoff: Option<ServerBackoff>,
}

/// Backoff request in the response of a server that rejected a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BackoffSignal {
    /// No backoff is requested.
    #[default]
    None,
    /// This VM must send no requests for this long.
    For(Duration),
    /// The duration cannot be parsed.
    Malformed,
}

/// Signals of a server, read from the headers of one response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerSignals {
    /// Whether the server is draining.
    pub is_draining: bool,
    /// The backoff that the server asks for.
    pub backoff: BackoffSignal,
    /// The request rate that the server accepts.
    pub limit: LimitSignal,
    /// How long work takes at the server at this moment.
    pub pace: PaceSignal,
    /// The rejections that the server bears.
    pub brittle: BrittleSignal,
}

/// Changes of this VM's state of a server that signals have caused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SignalChanges {
    /// The server is newly known to be draining.
    pub drains: bool,
    /// Backoff has started or has been extended.
    pub backs_off: bool,
}

impl FleetView {
    /// Applies the signals of a server instance.
    ///
    /// ```
    /// use onyxfall_fleet::{FleetView, ServerSignals, VmLocation, SignalChanges};
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
    /// let signals = ServerSignals { is_draining: true, ..ServerSignals::default() };
    /// assert!(fleet.apply_signals(Moment::ZERO, server, &signals).drains);
    /// assert!(!fleet.server(server).takes_work());
    /// assert_eq!(fleet.apply_signals(Moment::ZERO, server, &signals), SignalChanges::default());
    /// ```
    pub fn apply_signals(
        &mut self,
        now: Moment,
        id: ServerId,
        signals: &ServerSignals,
    ) -> SignalChanges {
        let id = self.same_instance(id);
        let server = self.server_mut(id);
        let drains = signals.is_draining && server.record_draining(now);
        let backs_off = match signals.backoff {
            BackoffSignal::For(time) => server.record_backoff(now, time),
            BackoffSignal::None | BackoffSignal::Malformed => false,
        };
        self.mark_later_instance_ambiguous(now, id);
        SignalChanges { drains, backs_off }
    }

    /// Applies signals recorded for a former instance to the later one, if they may be its.
    fn mark_later_instance_ambiguous(&mut self, now: Moment, former: ServerId) {
        let name = &self.server(former).record.name;
        let Some(later) = self.find(name.as_str()).filter(|id| *id != former) else {
            return;
        };
        let signals = self.ambiguous_signals(former, self.server(later).record.started_at);
        self.server_mut(later).apply_ambiguous(now, &signals);
    }

    /// Signals recorded for a former instance that may be those of the instance that started
    /// at `started_at`.
    pub(crate) fn ambiguous_signals(
        &self,
        former: ServerId,
        started_at: StartTime,
    ) -> AmbiguousSignals {
        let started_at = self.moment_of(started_at);
        let former = self.server(former);
        let is_ambiguous =
            |read: Option<Moment>| read.is_some_and(|at| started_at <= at + CLOCK_TOLERANCE);
        AmbiguousSignals {
            drains: is_ambiguous(former.leaving_since()),
            backoff: former.requested_backoff(is_ambiguous),
        }
    }

    /// Whether an attempt at server `id` may be written to a connection now. This is checked again just before
    /// the send, since the request may have waited for a connection after the choice.
    pub fn may_send(&self, now: Moment, id: ServerId) -> bool {
        self.may_work(id)
            && !self.is_closed_version(id)
            && self.server(id).backoff_end(now).is_none()
            && self.path_state(&self.server(id).record.service).may_send()
            && !self.is_suspected(now, id)
    }

    /// Whether the backoff and the rate limit of server `id` let this VM send to it now.
    pub(crate) fn takes_now(&self, now: Moment, id: ServerId) -> bool {
        self.server(id).is_backoff_over(now) && self.is_within_limit(now, id)
    }

    /// The earliest time at which one of `servers` may get work; none if one may get it now.
    pub(crate) fn earliest_hold_end(&self, now: Moment, servers: &[ServerId]) -> Option<Moment> {
        if servers.iter().any(|id| self.takes_now(now, *id)) {
            return None;
        }
        let end = |id: &ServerId| {
            let backoff_end = self.server(*id).backoff_end(now).unwrap_or(now);
            backoff_end.max(now + self.limit_wait(now, *id))
        };
        servers.iter().map(end).min()
    }
}
