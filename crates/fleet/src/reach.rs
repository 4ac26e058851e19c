//! Whether this VM reaches the backend servers of its region.
//!
//! A failed path and a failed server look the same to one request. They differ over the servers
//! of a service: if several fail at the same time and none of the others sends a byte, the path
//! of this VM has probably failed, and the servers may be well. The VM then abstains from the
//! votes on them, and its requests go by way of another VM.
//!
//! Paths are tracked by service, since the servers of different services may be in different
//! networks. Invariants: a byte from any server of the service ends the doubt, and so does a
//! connection that a server's host accepts, since a host does that while the server process is
//! silent; a lost path is never tried with a caller's request.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use onyxfall_policy::Moment;
use onyxfall_types::{ServerId, ServiceName};

use crate::view::FleetView;

/// Servers that must fail at the same time before the path is doubted, if the region has that
/// many.
const MIN_FAILED: usize = 2;
/// Time without a byte from any server after which the path may be doubted. Servers send
/// something every few milliseconds to a VM with requests at several of them.
const SILENCE: Duration = Duration::from_millis(250);
/// Time for which a doubt that a check has refuted is not raised again.
const REFUTED_FOR: Duration = Duration::from_secs(1);

/// Time for which requests wait for the first check of a path. Servers that crash together
/// raise the same doubts as a failed path; a check refutes them within a few milliseconds.
const SETTLING_TIME: Duration = Duration::from_millis(30);

/// State of this VM's paths to the servers of a service in its region.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PathState {
    /// Servers are reached.
    #[default]
    Open,
    /// Open connections work, and new ones cannot be established.
    OpenConnectionsOnly,
    /// Several servers are silent, and no check has shown why yet.
    Doubted,
    /// No server is reached.
    Lost,
}

impl PathState {
    /// Whether requests may be sent to servers.
    ///
    /// ```
    /// use onyxfall_fleet::PathState;
    /// assert!(PathState::OpenConnectionsOnly.may_send());
    /// assert!(!PathState::Doubted.may_send());
    /// ```
    pub const fn may_send(self) -> bool {
        matches!(self, Self::Open | Self::OpenConnectionsOnly)
    }

    /// Why a request that needs this path is not served here, if no server can take it. While the
    /// path is open, servers are silent or refuse connections; while it is doubted, no more is
    /// known.
    ///
    /// ```
    /// use onyxfall_fleet::PathState;
    /// assert_eq!(PathState::Open.unserved_reason(), "no server responds");
    /// ```
    pub const fn unserved_reason(self) -> &'static str {
        match self {
            Self::Open | Self::Doubted => "no server responds",
            Self::OpenConnectionsOnly | Self::Lost => "this VM reaches no server",
        }
    }

    /// Name in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Open => "open",
            Self::OpenConnectionsOnly => "open-connections-only",
            Self::Doubted => "doubted",
            Self::Lost => "lost",
        }
    }
}

/// How requests reach the servers of a service in this VM's region.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RegionReach {
    /// This VM reaches them.
    #[default]
    Own,
    /// Only other VMs of the region reach them.
    Neighbours,
    /// No VM of the region reaches them.
    None,
}

/// What the loss of a run's connection shows about the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossEvidence {
    /// The server has probably crashed.
    Crash,
    /// A check of the path will tell.
    Open,
    /// Nothing: the connection was lost with its path.
    None,
}

/// Whether a loss is judged at once or after a check of its path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossMoment {
    /// The connection has just been lost.
    AtOnce,
    /// A check of the path has ended since, or none was needed.
    AfterCheck,
}

impl LossEvidence {
    /// What a loss shows, given the state of the path to the server and whether the path
    /// `is_proved_lost`. Connections on a path that is lost time out whatever their servers do.
    /// A request that crashes its servers one after the other raises a doubt, too: its losses
    /// wait for the check, and count unless that proves the path lost.
    ///
    /// ```
    /// use onyxfall_fleet::{LossEvidence, LossMoment, PathState};
    /// let evidence = LossEvidence::of(PathState::Lost, false, LossMoment::AtOnce);
    /// assert_eq!(evidence, LossEvidence::None);
    /// ```
    pub const fn of(state: PathState, is_proved_lost: bool, moment: LossMoment) -> Self {
        match (state, moment) {
            (PathState::Doubted, _) => Self::Open,
            (PathState::Lost, LossMoment::AtOnce) => Self::None,
            _ if is_proved_lost => Self::None,
            _ => Self::Crash,
        }
    }
}

/// Result of a check of the paths to a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathCheck {
    /// This server has responded.
    Answered(ServerId),
    /// The host of a server has accepted a connection, and the server has sent nothing yet: the
    /// path is open, and the server may be silent.
    Accepted,
    /// A server that had given no reason for a doubt was not reached.
    SoundUnreached,
    /// No server was reached; the one that was asked had already failed, or there was none.
    Unreached,
}

/// What the servers of a service in the region show at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct PathEvidence {
    /// Number of servers that may get work.
    pub(crate) servers: usize,
    /// Number of them that owe this VM a byte.
    pub(crate) silent: usize,
    /// Number of them with connections that were lost within [`SILENCE`].
    pub(crate) broken: usize,
    /// When a server last sent a byte.
    pub(crate) last_sign: Option<Moment>,
    /// Number of them that are unresponsive by the votes of all VMs, and of the others that a VM
    /// has lately received something from.
    pub(crate) unresponsive: usize,
    pub(crate) responsive: usize,
}

impl PathEvidence {
    /// Whether all servers with work are silent, to this VM or by the votes of all VMs.
    fn is_joint_silence(&self, is_silent: bool) -> bool {
        let is_voted = self.unresponsive >= required_failures(self.servers).max(1);
        is_silent || (is_voted && self.responsive == 0)
    }
}

/// Tracks the paths to the servers of one service.
#[derive(Clone, Debug, Default)]
pub(crate) struct PathMonitor {
    state: PathState,
    /// When the state last changed.
    since: Moment,
    /// Whether a check has failed in this state.
    is_checked: bool,
    /// Whether a check has failed by a server that had given no reason for the doubt.
    is_proved: bool,
    /// Servers to which no connection could be established since the last one that was; at
    /// most [`MIN_FAILED`].
    failed_dials: BTreeSet<ServerId>,
    /// When a check last refuted a doubt.
    refuted: Option<Moment>,
    silence: SilenceRecord,
}

/// Silences of the servers of a service, which interrupt responses that take their usual time.
///
/// Invariant: after a silence, the next one is recorded only once a response has taken its usual
/// time. Otherwise the times of a service that has become slow would never be learned.
#[derive(Clone, Copy, Debug, Default)]
struct SilenceRecord {
    /// Whether a response has taken its usual time since the last silence.
    is_usual: bool,
    /// When a silence that goes on was first observed.
    open_since: Option<Moment>,
    /// When the last silence ended.
    ended_at: Option<Moment>,
}

impl SilenceRecord {
    /// Applies whether the servers are silent together, and when one of them last sent a byte.
    fn observe(&mut self, now: Moment, is_silent: bool, last_sign: Option<Moment>) {
        match (self.open_since, last_sign) {
            (Some(since), Some(sign)) if sign > since => self.end(sign),
            (None, _) if is_silent && self.is_usual => {
                self.open_since = Some(now);
                self.is_usual = false;
            }
            _ => {}
        }
    }

    fn end(&mut self, now: Moment) {
        if self.open_since.take().is_some() {
            self.ended_at = Some(now);
        }
    }
}

impl PathMonitor {
    fn set(&mut self, now: Moment, state: PathState) {
        if self.state != state {
            self.state = state;
            self.since = now;
            self.is_checked = false;
            self.is_proved &= !state.may_send();
        }
    }

    /// Applies what the servers show.
    fn update(&mut self, now: Moment, evidence: PathEvidence) {
        let has_sign = |at: Moment| evidence.last_sign.is_some_and(|sign| sign > at);
        let required = required_failures(evidence.servers);
        let is_silent = evidence.silent >= required.max(1) && !has_sign(now.before(SILENCE));
        let is_joint = evidence.is_joint_silence(is_silent);
        self.silence.observe(now, is_joint, evidence.last_sign);
        if evidence.servers == 0 {
            self.set(now, PathState::Open);
            return;
        }
        if !self.state.may_send() {
            if has_sign(self.since) {
                self.set(now, self.state_of_dials(evidence.servers));
            }
            return;
        }
        let was_refuted = self.refuted.is_some_and(|at| now - at < REFUTED_FOR);
        let is_broken = evidence.broken >= required;
        if (is_silent || is_broken) && !was_refuted {
            self.set(now, PathState::Doubted);
        } else {
            self.set(now, self.state_of_dials(evidence.servers));
        }
    }

    fn state_of_dials(&self, servers: usize) -> PathState {
        if self.failed_dials.len() >= required_failures(servers) {
            PathState::OpenConnectionsOnly
        } else {
            PathState::Open
        }
    }

    fn record_dial(&mut self, server: ServerId, is_established: bool) {
        if is_established {
            self.failed_dials.clear();
        } else if self.failed_dials.len() < MIN_FAILED {
            self.failed_dials.insert(server);
        }
    }

    /// Raises a doubt because another path was found lost.
    fn doubt(&mut self, now: Moment) {
        if self.state == PathState::Open {
            self.set(now, PathState::Doubted);
        }
    }

    fn record_check(&mut self, now: Moment, check: PathCheck) {
        match check {
            PathCheck::Answered(_) | PathCheck::Accepted => {
                self.is_proved = false;
                self.failed_dials.clear();
                self.refuted = Some(now);
                self.set(now, PathState::Open);
            }
            PathCheck::SoundUnreached | PathCheck::Unreached => {
                if self.state == PathState::Doubted {
                    self.set(now, PathState::Lost);
                }
                self.is_checked = true;
                self.is_proved |= check == PathCheck::SoundUnreached;
            }
        }
    }
}

fn required_failures(servers: usize) -> usize {
    MIN_FAILED.min(servers)
}

/// Paths by service, and how requests reach the servers of the region.
#[derive(Clone, Debug, Default)]
pub(crate) struct PathTable {
    monitors: BTreeMap<ServiceName, PathMonitor>,
    reach: BTreeMap<ServiceName, RegionReach>,
    /// Whether any path is not open. Paths are looked up for each candidate of each request.
    has_closed: bool,
}

impl PathTable {
    fn monitor_mut(&mut self, service: &ServiceName) -> &mut PathMonitor {
        self.monitors.entry(service.clone()).or_default()
    }

    fn update_closed(&mut self) {
        let mut states = self.monitors.values().map(|monitor| monitor.state);
        self.has_closed = states.any(|state| state != PathState::Open);
    }
}

impl FleetView {
    /// State of this VM's paths to the servers of a service in its region.
    pub fn path_state(&self, service: &ServiceName) -> PathState {
        if !self.paths.has_closed {
            return PathState::Open;
        }
        let monitor = self.paths.monitors.get(service);
        monitor.map_or(PathState::Open, |monitor| monitor.state)
    }

    /// Whether the first check of a path that is not open may still show that it is.
    pub fn is_path_settling(&self, now: Moment, service: &ServiceName) -> bool {
        let monitor = self.paths.monitors.get(service);
        monitor.is_some_and(|monitor| {
            monitor.state != PathState::Open
                && !monitor.is_checked
                && now - monitor.since < SETTLING_TIME
        })
    }

    /// Whether the paths to a service are open, and have been for `time`.
    pub(crate) fn is_path_open_for(
        &self,
        now: Moment,
        service: &ServiceName,
        time: Duration,
    ) -> bool {
        let monitor = self.paths.monitors.get(service);
        monitor.is_none_or(|monitor| {
            let has_changed = monitor.since > Moment::ZERO && now - monitor.since < time;
            monitor.state == PathState::Open && !has_changed
        })
    }

    /// States of the paths to all services that were used so far.
    pub fn path_states(&self) -> impl Iterator<Item = (&ServiceName, PathState)> {
        let monitors = self.paths.monitors.iter();
        monitors.map(|(service, monitor)| (service, monitor.state))
    }

    /// Applies what the servers of the region show now.
    pub fn refresh_paths(&mut self, now: Moment) {
        let mut shown: BTreeMap<ServiceName, PathEvidence> = BTreeMap::new();
        for (id, server) in self.live() {
            if server.region != self.place().region || !self.may_work(id) {
                continue;
            }
            let service = &server.record.service;
            if !shown.contains_key(service) {
                shown.insert(service.clone(), PathEvidence::default());
            }
            if let Some(evidence) = shown.get_mut(service) {
                evidence.servers += 1;
                evidence.silent += usize::from(server.is_silent(now));
                evidence.broken += usize::from(server.is_broken_since(now.before(SILENCE)));
                evidence.last_sign = evidence.last_sign.max(server.last_liveness());
                let votes = server.votes(now);
                evidence.unresponsive += usize::from(votes.is_unresponsive());
                evidence.responsive += usize::from(votes.good > 0 && !votes.is_unresponsive());
            }
        }
        for (service, monitor) in &mut self.paths.monitors {
            monitor.update(now, shown.remove(service).unwrap_or_default());
        }
        for (service, evidence) in shown {
            self.paths.monitor_mut(&service).update(now, evidence);
        }
        self.paths.update_closed();
    }

    /// Whether all servers of a service that owe this VM a byte have been silent together since
    /// the last response.
    pub fn is_service_silent(&self, service: &ServiceName) -> bool {
        let monitor = self.paths.monitors.get(service);
        monitor.is_some_and(|monitor| monitor.silence.open_since.is_some())
    }

    /// When a silence of all servers of a service last ended.
    pub fn silence_end(&self, service: &ServiceName) -> Option<Moment> {
        self.paths.monitors.get(service)?.silence.ended_at
    }

    /// Records that a server of a service has begun a response, which ends a silence.
    pub(crate) fn end_silence(&mut self, now: Moment, service: &ServiceName) {
        if let Some(monitor) = self.paths.monitors.get_mut(service) {
            monitor.silence.end(now);
        }
    }

    /// Records that a response of a service has taken its usual time.
    pub(crate) fn record_usual_response(&mut self, service: &ServiceName) {
        if let Some(monitor) = self.paths.monitors.get_mut(service) {
            monitor.silence.is_usual = true;
        }
    }

    /// Records whether a new connection to a server could be established.
    pub fn record_dial(&mut self, id: ServerId, is_established: bool) {
        let service = self.server(id).record.service.clone();
        let monitor = self.paths.monitor_mut(&service);
        monitor.record_dial(id, is_established);
    }

    /// Records a check of the paths to a service. A path that is found lost raises a doubt about
    /// those to other services.
    ///
    /// ```
    /// use onyxfall_fleet::{FleetView, PathCheck, PathState, VmLocation};
    /// # use onyxfall_policy::Moment;
    /// # let (center, region): (onyxfall_types::CenterName, onyxfall_types::RegionName) =
    /// #     ("c1".parse().unwrap(), "r1".parse().unwrap());
    /// # let mut fleet = FleetView::new(VmLocation {
    /// #     vm: "vm1".parse().unwrap(),
    /// #     center: center.clone(),
    /// #     region: region.clone(),
    /// #     centers: [(center, region)].into(),
    /// # });
    /// let service = "svc".parse().unwrap();
    /// // Without a doubt, a failed check shows nothing about the path.
    /// fleet.record_check(Moment::ZERO, &service, PathCheck::Unreached);
    /// assert_eq!(fleet.path_state(&service), PathState::Open);
    /// ```
    pub fn record_check(&mut self, now: Moment, service: &ServiceName, check: PathCheck) {
        if let PathCheck::Answered(id) = check {
            self.server_mut(id).record_liveness(now);
        }
        let monitor = self.paths.monitor_mut(service);
        let before = monitor.state;
        monitor.record_check(now, check);
        if before != PathState::Lost && monitor.state == PathState::Lost {
            for monitor in self.paths.monitors.values_mut() {
                monitor.doubt(now);
            }
        }
        self.paths.update_closed();
    }

    /// Services that this VM does not reach, as a check has confirmed.
    pub fn unreached_services(&self) -> impl Iterator<Item = &ServiceName> {
        let monitors = self.paths.monitors.iter();
        let unreached = monitors.filter(|(_, monitor)| match monitor.state {
            PathState::Open | PathState::Doubted => false,
            PathState::OpenConnectionsOnly => monitor.is_checked,
            PathState::Lost => true,
        });
        unreached.map(|(service, _)| service)
    }

    /// Whether the paths to a service are lost beyond doubt: a check has not reached a server that
    /// had not failed either. Otherwise all servers may have ended.
    pub fn is_path_proved_lost(&self, service: &ServiceName) -> bool {
        let monitor = self.paths.monitors.get(service);
        monitor.is_some_and(|monitor| monitor.state != PathState::Open && monitor.is_proved)
    }

    /// What the loss of a run's connection to a server of a service shows.
    pub fn loss_evidence(&self, service: &ServiceName, moment: LossMoment) -> LossEvidence {
        let is_proved_lost = self.is_path_proved_lost(service);
        LossEvidence::of(self.path_state(service), is_proved_lost, moment)
    }

    /// Servers by which the paths to a service can be checked, with the result of a check that
    /// does not reach them: those first that have given no reason for a doubt, then those that
    /// have sent a byte most recently.
    pub fn servers_to_check(
        &self,
        now: Moment,
        service: &ServiceName,
    ) -> Vec<(ServerId, PathCheck)> {
        let rank = |id: &ServerId| {
            let server = self.server(*id);
            (server.is_failing(now), Reverse(server.last_liveness()), *id)
        };
        let mut servers: Vec<ServerId> = self
            .servers_of(service)
            .iter()
            .copied()
            .filter(|id| self.server(*id).region == self.place().region && self.may_work(*id))
            .collect();
        servers.sort_by_cached_key(rank);
        let unreached = |id: &ServerId| {
            if self.server(*id).is_failing(now) {
                PathCheck::Unreached
            } else {
                PathCheck::SoundUnreached
            }
        };
        let servers = servers.into_iter();
        servers.map(|id| (id, unreached(&id))).collect()
    }

    /// Sets how requests reach the servers of a service in this region.
    pub fn set_region_reach(&mut self, service: &ServiceName, reach: RegionReach) {
        if self.region_reach(service) != reach {
            self.paths.reach.insert(service.clone(), reach);
        }
    }

    /// How requests reach the servers of a service in this region.
    pub fn region_reach(&self, service: &ServiceName) -> RegionReach {
        self.paths.reach.get(service).copied().unwrap_or_default()
    }
}
