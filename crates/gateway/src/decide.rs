//! Routing decision: a server of this region, another region, or rejection.

use std::borrow::Cow;
use std::time::Duration;

use onyxfall_fleet::{
    CallRequirements, ChoicePolicy, DecisionSwitch, FleetView, LocalOption, RateKind, RemoteOption,
    RemoteSearch, RoundTrips, ServerChoice, TimePrediction, goes_remote,
};
use onyxfall_policy::Moment;
use onyxfall_types::{RefusalReason, RequestError, VmName, name_tag};
use rand::Rng;

use crate::attempt::ServerTarget;
use crate::call::{CallContext, CallOrigin, SharedCall};
use crate::gateway::Gateway;
use crate::relay::{PeerReason, PeerTarget};
use crate::report::millis;
use crate::serve::CallProgress;

/// Interval at which a request checks again for a server while none is usable.
const RECHECK_INTERVAL: Duration = Duration::from_millis(25);
/// Share of the latency goal for which a request waits for a usable server. A rejection
/// later than a quarter of the goal counts as late.
const PATIENCE_SHARE: f64 = 0.22;
/// Age up to which a VM may not have discovered the other regions, and the share of the
/// goal for which requests wait during that time. What waits that long is then served.
const STARTUP_TIME: Duration = Duration::from_millis(1500);
const STARTUP_PATIENCE_SHARE: f64 = 0.6;
/// Share of the goal up to which a prompt may be prefilled behind all others at a server.
/// Beyond it, a request delays others by more than its own value, and the more the longer
/// its prompt is; an early rejection lets the caller retry. On 24 days of three sites, 0.7
/// and 1.0 of the goal gave a mean value of 0.701 and 0.702, with 3.1 and 2.8 % of requests
/// rejected.
const OVERLOAD_SHARE: f64 = 1.0;
/// Share of the goal up to which a backlog is no reason to reject a request. Where hardly
/// anything is queued, rejecting a long prompt makes nothing else faster.
const IDLE_SHARE: f64 = 0.1;
/// Share of the goal within which another region must respond to a request that this one
/// has no capacity for. Predictions are off by some tens of milliseconds.
const OVERFLOW_SHARE: f64 = 0.75;
/// Share of the predicted time of a whole response that most responses need: a fifth
/// ended within 0.51 to 0.58 of it on three days with a load spike. A request is rejected
/// for its predicted end only if the caller is unlikely to receive the response. Rejecting
/// at the predicted time itself lost 0.008 of value on one site and gained 0.004 on another.
const LIKELY_SHARE: f64 = 0.6;
/// Range of the retry delay sent to rejected callers.
const RETRY_AFTER_RANGE: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_millis(900));
/// Share of a backoff, and least time, over which the retries of callers are spread after
/// its end, so that they do not all reach a server that has just recovered at once.
const BACKOFF_SPREAD_SHARE: f64 = 0.2;
const MIN_BACKOFF_SPREAD: Duration = Duration::from_millis(300);

/// Next step of a request.
pub(crate) enum RouteStep {
    /// Send it to a server of this region.
    Server(ServerTarget),
    /// Forward it to a VM of another region.
    Peer(PeerTarget),
    /// Decide again after a pause.
    Later(Duration),
    /// Reject it.
    Refuse(RequestError),
}

impl RouteStep {
    /// Whether the step makes an attempt.
    pub(crate) fn is_attempt(&self) -> bool {
        matches!(self, Self::Server(_) | Self::Peer(_))
    }
}

impl Gateway {
    /// Decides the next step of a request.
    pub(crate) fn decide(&self, call: &SharedCall, progress: &CallProgress) -> RouteStep {
        if let Some(step) = self.refuse_without_version(call) {
            return step;
        }
        if let Some(step) = self.decide_suspect(call, progress) {
            return step;
        }
        if let Some(step) = self.decide_version(call, progress) {
            return step;
        }
        let now = self.now();
        let needs = remaining_needs(call, progress);
        let excluded = self.excluded_servers(call, progress);
        let local =
            self.fleet
                .borrow_mut()
                .choose(now, &needs, &excluded, &mut *self.rng.borrow_mut());
        let is_unreached = self.is_unreached(call, local);
        let is_free = matches!(local, LocalOption::Free(_));
        if let Some(step) = (!is_free).then(|| self.decide_spare(call)).flatten() {
            return step;
        }
        if let Some(remote) = self.planned_remote(now, call, progress) {
            log::info!(
                request = call.request_id.as_str(),
                region = remote.region.as_str(),
                away_ms = millis(remote.predicted.first);
                "sent away by the capacity plan"
            );
            return self.forward(call, remote, progress);
        }
        if is_unreached && let Some(step) = self.decide_unreached(call, progress) {
            return step;
        }
        let remote = self
            .best_remote(now, call, progress)
            .filter(|remote| !self.is_too_late(call, &remote.predicted));
        match (local, remote) {
            (LocalOption::Free(choice), remote) => self.route(now, call, choice, remote, progress),
            (_, Some(remote)) => self.forward(call, remote, progress),
            (_, None) if is_unreached => self.wait_for_path(call),
            (LocalOption::Full, None) => {
                RouteStep::Refuse(overloaded("every server is full", call.needs.goal / 2))
            }
            (LocalOption::BackedOff(end), None) => self.wait_for_backoff(call, end - now),
            (LocalOption::Unavailable | LocalOption::Unreachable | LocalOption::None, None) => {
                self.wait_or_refuse(call, "no server is usable", call.needs.goal / 2)
            }
        }
    }

    /// Refuses the rest of a stream if no server of the version that began it is left.
    fn refuse_without_version(&self, call: &CallContext) -> Option<RouteStep> {
        let version = call.needs.version.as_ref()?;
        let fleet = self.fleet.borrow();
        let regions = fleet.version_regions(&call.needs.service, version);
        let may_forward = self.may_forward(call);
        let own = &fleet.place().region;
        let mut regions = regions
            .iter()
            .filter(|region| may_forward || *region == own);
        if regions.any(|region| call.needs.allows_region(region)) {
            return None;
        }
        let detail = "no server of the version that began the stream is left";
        let error = RequestError::not_run(RefusalReason::Unresumable, detail);
        Some(RouteStep::Refuse(
            error.with_retry_after(RETRY_AFTER_RANGE.0),
        ))
    }

    /// Decides between a server of this region and another region.
    fn route(
        &self,
        now: Moment,
        call: &SharedCall,
        choice: ServerChoice,
        remote: Option<RemoteOption>,
        progress: &CallProgress,
    ) -> RouteStep {
        let fleet = self.fleet.borrow();
        let server = fleet.server(choice.server);
        if self.settings().switches.policy() == ChoicePolicy::Random {
            return self.route_at_random(now, call, &fleet, &choice, progress);
        }
        if let Some(remote) = self.draw_overflow_region(now, call, &fleet, progress) {
            return self.forward(call, remote, progress);
        }
        if let Some(remote) = remote {
            let pending_prefill = server.shared_prefill_tokens(now, &call.needs.prompt);
            let saved = fleet.prefill_time(&call.needs.service, pending_prefill);
            let (goal, local) = (call.needs.goal, choice.predicted.loaded);
            let remote_time = remote.predicted.loaded;
            // With limits by importance, a request is only refused if no region is under its
            // limit.
            let is_refused_here =
                call.needs.backlog_limit.is_some() && self.is_too_late(call, &choice.predicted);
            if is_refused_here || goes_remote(goal, local, saved, remote_time, remote.holds_prefix)
            {
                log::info!(
                    request = call.request_id.as_str(),
                    region = remote.region.as_str(),
                    goal_ms = millis(goal),
                    local_ms = millis(local),
                    away_ms = millis(remote_time),
                    unread_shared = pending_prefill,
                    holds_prefix = remote.holds_prefix;
                    "sent away"
                );
                return self.forward(call, remote, progress);
            }
        }
        if self.is_too_late(call, &choice.predicted) {
            let error = too_late(call, &choice.predicted);
            self.log_limit_refusal(call, &choice.predicted);
            let after = self.planned_retry(call, choice.predicted.backlog);
            return RouteStep::Refuse(match after {
                Some(after) => error.with_retry_after(after),
                None => error,
            });
        }
        RouteStep::Server(server_target(&fleet, &choice))
    }

    /// Draws a region for a request to a plain service while this region is offered more load
    /// than it can serve. `None` if the request stays here.
    fn draw_overflow_region(
        &self,
        now: Moment,
        call: &CallContext,
        fleet: &FleetView,
        progress: &CallProgress,
    ) -> Option<RemoteOption> {
        let needs = &call.needs;
        if needs.engine.is_some() || !self.may_forward(call) {
            return None;
        }
        // A server here rejected the request; the others of the region are as full.
        let is_rejected = progress.log.arrivals() > progress.log.runs();
        let overflow = if is_rejected {
            1.0
        } else {
            fleet.overflow(now, &needs.service)
        };
        let rng = &mut *self.rng.borrow_mut();
        if overflow <= 0.0 || !rng.random_bool(overflow.min(1.0)) {
            return None;
        }
        let excluded = self.unreachable_regions(&call.needs.service, &progress.vms);
        let trips = self.trips.borrow();
        let search = RemoteSearch {
            excluded: &excluded,
            ..plain_search(fleet, &trips, needs)
        };
        let limit = needs.goal.mul_f64(OVERFLOW_SHARE);
        let excess = if is_rejected {
            0.0
        } else {
            fleet.excess(now, &needs.service)
        };
        let table = self.remote_table.borrow();
        let remote = table.draw_spare(now, &search, limit, excess, rng)?;
        log::info!(
            request = call.request_id.as_str(),
            region = remote.region.as_str(),
            overflow,
            away_ms = millis(remote.predicted.first);
            "sent away, this region is offered more load than it can serve"
        );
        Some(remote)
    }

    /// Counts a request for the arrival rates of its service at its first attempt.
    pub(crate) fn record_rate(&self, call: &CallContext, progress: &CallProgress) {
        if progress.log.attempts() > 0 {
            return;
        }
        let kind = match &call.origin {
            CallOrigin::Caller => RateKind::Offered,
            // The VM that received it has counted it as offered to this region.
            CallOrigin::Peer(vm) if self.is_near(vm) => return,
            CallOrigin::Peer(_) => RateKind::Relayed,
        };
        let now = self.now();
        let mut fleet = self.fleet.borrow_mut();
        fleet.record_request(now, &call.needs.service, kind);
    }

    fn is_near(&self, vm: &VmName) -> bool {
        let overlay = self.overlay.borrow();
        let roster = overlay.roster();
        roster.get(vm).is_some_and(|vm| roster.is_near(&vm.record))
    }

    /// Whether a request may be forwarded to another region.
    fn may_forward(&self, call: &CallContext) -> bool {
        let policy = self.settings().switches.policy();
        let is_local_only = matches!(policy, ChoicePolicy::LocalOnly | ChoicePolicy::RoundRobin);
        !is_local_only && call.may_forward() && self.is_on(DecisionSwitch::SendAway)
    }

    /// Forwards the request to a random region, weighted by usable servers; a baseline policy.
    fn route_at_random(
        &self,
        now: Moment,
        call: &SharedCall,
        fleet: &FleetView,
        choice: &ServerChoice,
        progress: &CallProgress,
    ) -> RouteStep {
        let trips = self.trips.borrow();
        let search = plain_search(fleet, &trips, &call.needs);
        let servers = fleet.servers_of(&call.needs.service).iter();
        let own = servers.filter(|id| fleet.server(**id).region == fleet.place().region);
        let own = u32::try_from(own.count()).unwrap_or(u32::MAX);
        let remote = if call.may_forward() {
            let rng = &mut *self.rng.borrow_mut();
            self.remote_table.borrow().draw(now, &search, own, rng)
        } else {
            None
        };
        match remote {
            Some(remote) => self.forward(call, remote, progress),
            None => RouteStep::Server(server_target(fleet, choice)),
        }
    }

    /// Waits up to a share of the request's goal, then rejects it with retry delay `after`.
    pub(crate) fn wait_or_refuse(
        &self,
        call: &CallContext,
        detail: &str,
        after: Duration,
    ) -> RouteStep {
        let share = if self.started.elapsed() < STARTUP_TIME {
            STARTUP_PATIENCE_SHARE
        } else {
            PATIENCE_SHARE
        };
        let patience = call.needs.goal.mul_f64(share);
        if call.age() + RECHECK_INTERVAL < patience {
            return RouteStep::Later(RECHECK_INTERVAL);
        }
        RouteStep::Refuse(overloaded(detail, after))
    }

    /// Waits if a server accepts requests again, in `left`, soon enough for the request.
    /// Otherwise rejects the request at once with a retry delay of `left` and a random
    /// spread, since no earlier chance is known.
    pub(crate) fn wait_for_backoff(&self, call: &CallContext, left: Duration) -> RouteStep {
        let patience = call.needs.goal.mul_f64(PATIENCE_SHARE);
        if call.age() + left.max(RECHECK_INTERVAL) < patience {
            return RouteStep::Later(RECHECK_INTERVAL);
        }
        let spread = left.mul_f64(BACKOFF_SPREAD_SHARE).max(MIN_BACKOFF_SPREAD);
        let part = self.rng.borrow_mut().random::<f64>();
        let after = left.max(RETRY_AFTER_RANGE.0) + spread.mul_f64(part);
        let detail = "every server is in backoff or at its limit";
        let error = RequestError::not_run(RefusalReason::Overloaded, detail);
        RouteStep::Refuse(error.with_retry_after(after))
    }

    fn forward(
        &self,
        call: &CallContext,
        remote: RemoteOption,
        progress: &CallProgress,
    ) -> RouteStep {
        let Some(target) = self.relay_target(&remote.region, &call.needs.service, &progress.vms)
        else {
            let detail = "no VM of the other region is reachable";
            return RouteStep::Refuse(overloaded(detail, Duration::ZERO));
        };
        let tag = name_tag(call.needs.service.as_str());
        let now = self.now();
        self.remote_table
            .borrow_mut()
            .record_sent(now, &remote, tag);
        RouteStep::Peer(PeerTarget {
            vm: target.vm,
            address: target.address,
            region: remote.region,
            predicted: remote.predicted,
            reason: PeerReason::Remote,
        })
    }

    /// Whether a response would come too late to be worth its work: the backlog is too long,
    /// or the caller will have disconnected.
    pub(crate) fn is_too_late(&self, call: &CallContext, predicted: &TimePrediction) -> bool {
        let refuses = self.is_on(DecisionSwitch::RefusePredicted);
        let is_full = refuses
            && predicted.backlog > call.needs.goal.mul_f64(IDLE_SHARE)
            && predicted.loaded > call.needs.goal.mul_f64(OVERLOAD_SHARE);
        let time_left = call.time_left();
        let is_full = is_full || !call.needs.allows_backlog(predicted.backlog);
        let is_disconnected = predicted.whole.mul_f64(LIKELY_SHARE) > time_left
            && self.is_on(DecisionSwitch::WholeAnswers);
        is_full || is_disconnected || predicted.first > time_left
    }

    /// The region in which the capacity plan serves a request, if it is another one that can
    /// respond in time.
    fn planned_remote(
        &self,
        now: Moment,
        call: &CallContext,
        progress: &CallProgress,
    ) -> Option<RemoteOption> {
        let is_first = progress.log.attempts() == 0;
        let is_planned = call.class.is_some() && self.is_on(DecisionSwitch::PlannedRegions);
        if !is_planned || !is_first || !self.may_forward(call) {
            return None;
        }
        let excluded = self.unreachable_regions(&call.needs.service, &progress.vms);
        let fleet = self.fleet.borrow();
        let trips = self.trips.borrow();
        let search = RemoteSearch {
            excluded: &excluded,
            ..plain_search(&fleet, &trips, &call.needs)
        };
        let table = self.remote_table.borrow();
        let planned = self.planned_option(call, table.options(now, &search));
        planned.filter(|remote| !self.is_too_late(call, &remote.predicted))
    }

    fn best_remote(
        &self,
        now: Moment,
        call: &CallContext,
        progress: &CallProgress,
    ) -> Option<RemoteOption> {
        if !self.may_forward(call) {
            return None;
        }
        let excluded = self.unreachable_regions(&call.needs.service, &progress.vms);
        let fleet = self.fleet.borrow();
        let trips = self.trips.borrow();
        let search = RemoteSearch {
            prefix_home: fleet.prefix_home(&call.needs),
            excluded: &excluded,
            ..plain_search(&fleet, &trips, &call.needs)
        };
        self.remote_table.borrow().best(now, &search)
    }
}

/// Requirements of the rest of a request: for a stream, of the events not yet sent.
fn remaining_needs<'a>(
    call: &'a CallContext,
    progress: &CallProgress,
) -> Cow<'a, CallRequirements> {
    if progress.events == 0 {
        return Cow::Borrowed(&call.needs);
    }
    let mut needs = call.needs.clone();
    needs.events = needs
        .events
        .map(|events| (events - f64::from(progress.events)).max(1.0));
    Cow::Owned(needs)
}

/// A search without a preferred prefix home and without excluded regions.
fn plain_search<'a>(
    fleet: &'a FleetView,
    trips: &'a RoundTrips,
    needs: &'a CallRequirements,
) -> RemoteSearch<'a> {
    RemoteSearch {
        needs,
        service_tag: name_tag(needs.service.as_str()),
        own_region: &fleet.place().region,
        prefix_home: None,
        trips,
        work: fleet.work_of(needs, 0),
        work_with_prefix: fleet.work_of(needs, needs.prompt.shared_tokens()),
        excluded: &[],
    }
}

pub(crate) fn server_target(fleet: &FleetView, choice: &ServerChoice) -> ServerTarget {
    let server = fleet.server(choice.server);
    ServerTarget {
        id: choice.server,
        name: server.record.name.to_string(),
        address: server.record.address,
        predicted: choice.predicted,
        reason: choice.reason,
    }
}

fn too_late(call: &CallContext, predicted: &TimePrediction) -> RequestError {
    let after = predicted.backlog.saturating_sub(call.needs.goal / 2);
    let detail = format!(
        "no server can respond in time: the first byte is predicted after {} ms and the end after {} ms, with a goal of {} ms and a caller timeout of {} ms",
        millis(predicted.first),
        millis(predicted.whole),
        millis(call.needs.goal),
        millis(call.time_left()),
    );
    overloaded(&detail, after)
}

fn overloaded(detail: &str, after: Duration) -> RequestError {
    let after = after.clamp(RETRY_AFTER_RANGE.0, RETRY_AFTER_RANGE.1);
    RequestError::not_run(RefusalReason::Overloaded, detail).with_retry_after(after)
}
