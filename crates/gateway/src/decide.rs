//! Where a request goes: a server of this region, another region, or nowhere.

use std::borrow::Cow;
use std::time::Duration;

use onyxfall_fleet::{
    CallRequirements, ChoicePolicy, DecisionSwitch, FleetView, LocalOption, RateKind, RemoteOption,
    RemoteSearch, RoundTrips, ServerChoice, TimePrediction, goes_remote,
};
use onyxfall_policy::Moment;
use onyxfall_types::{RefusalReason, RequestError, name_tag};
use rand::Rng;

use crate::attempt::ServerTarget;
use crate::call::{CallContext, CallOrigin, SharedCall};
use crate::gateway::Gateway;
use crate::relay::{PeerReason, PeerTarget};
use crate::report::millis;
use crate::serve::CallProgress;

/// Pause between two looks for a server while none is usable.
const LOOK_AGAIN: Duration = Duration::from_millis(25);
/// Part of the goal for which a request waits for a usable server; a refusal
/// later than a quarter of the goal counts as late.
const PATIENCE_PART: f64 = 0.22;
/// Age up to which a VM may not have heard of the other regions yet, and the
/// part of the goal for which requests wait there: what waits is then served.
const YOUNG: Duration = Duration::from_millis(1500);
const YOUNG_PATIENCE_PART: f64 = 0.6;
/// Part of the goal up to which a prompt may be read behind all others at a server.
/// Beyond, a request makes more others late than it is worth, the longer its own
/// prompt the more; a refusal at once lets the caller come back. On 24 days of three
/// sites 0.7 and 1.0 of the goal brought a mean worth of 0.701 and 0.702, with 3.1 and
/// 2.8 % of requests refused.
const OVERLOAD_PART: f64 = 1.0;
/// Part of the goal up to which others' work is no reason to refuse: where hardly
/// anything waits, refusing a long prompt helps nobody.
const IDLE_PART: f64 = 0.1;
/// Part of the goal within which another region must answer a request that this one has
/// no room for: predictions err by some tens of milliseconds.
const SPILL_PART: f64 = 0.75;
/// Part of the expected time of a whole answer that most answers need: a fifth ended
/// within 0.51 to 0.58 of it on three days with a rush. A request is refused for its
/// end only if the caller will hardly get it. Refusing at the expected time itself
/// lost 0.008 of worth on one site, and won 0.004 on another.
const LIKELY_PART: f64 = 0.6;
/// Bounds of the time after which a refused caller is told to come back.
const RETRY_AFTER_RANGE: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_millis(900));
/// Part of a time of rest, and least time, over which callers that are told its end are
/// spread: they are not to come back in the same moment to a server that has just rested.
const REST_SPREAD_PART: f64 = 0.2;
const LEAST_REST_SPREAD: Duration = Duration::from_millis(300);

/// Where a request goes next.
pub(crate) enum RouteStep {
    /// To a server of this region.
    Server(ServerTarget),
    /// To a VM of another region.
    Peer(PeerTarget),
    /// Nowhere yet; look again after a pause.
    Later(Duration),
    /// Nowhere.
    Refuse(RequestError),
}

impl Gateway {
    /// Decides where a request goes next.
    pub(crate) fn decide(&self, call: &SharedCall, progress: &CallProgress) -> RouteStep {
        if let Some(step) = self.decide_suspect(call, progress) {
            return step;
        }
        if let Some(step) = self.decide_version(call, progress) {
            return step;
        }
        let now = self.now();
        let needs = remaining_needs(call, progress);
        let local = self.fleet.borrow_mut().choose(
            now,
            &needs,
            &progress.servers,
            &mut *self.rng.borrow_mut(),
        );
        let is_free = matches!(local, LocalOption::Free(_));
        if let Some(step) = (!is_free).then(|| self.decide_spare(call)).flatten() {
            return step;
        }
        let away = self
            .best_away(now, call, progress)
            .filter(|away| !self.is_too_late(call, &away.predicted));
        match (local, away) {
            (LocalOption::Free(choice), away) => self.weigh(now, call, choice, away, progress),
            (_, Some(away)) => self.send_away(call, away, progress),
            (LocalOption::Full, None) => {
                RouteStep::Refuse(overloaded("every server is full", call.needs.goal / 2))
            }
            (LocalOption::BackedOff(end), None) => self.wait_for_rest(call, end - now),
            (LocalOption::Unavailable | LocalOption::None, None) => {
                self.wait_or_refuse(call, "no server is usable", call.needs.goal / 2)
            }
        }
    }

    /// Decides between a server of this region and another region.
    fn weigh(
        &self,
        now: Moment,
        call: &SharedCall,
        choice: ServerChoice,
        away: Option<RemoteOption>,
        progress: &CallProgress,
    ) -> RouteStep {
        let fleet = self.fleet.borrow();
        let server = fleet.server(choice.server);
        if self.settings().switches.policy() == ChoicePolicy::Random {
            return self.weigh_at_random(now, call, &fleet, &choice, progress);
        }
        if let Some(away) = self.spill(now, call, &fleet, progress) {
            return self.send_away(call, away, progress);
        }
        if let Some(away) = away {
            let unread = server.shared_prefill_tokens(now, &call.needs.prompt);
            let saved = fleet.prefill_time(&call.needs.service, unread);
            let (goal, local) = (call.needs.goal, choice.predicted.loaded);
            let there = away.predicted.loaded;
            if goes_remote(goal, local, saved, there, away.holds_prefix) {
                log::info!(
                    request = call.request_id.as_str(),
                    region = away.region.as_str(),
                    goal_ms = millis(goal),
                    local_ms = millis(local),
                    away_ms = millis(there),
                    unread_shared = unread,
                    holds_prefix = away.holds_prefix;
                    "sent away"
                );
                return self.send_away(call, away, progress);
            }
        }
        if self.is_too_late(call, &choice.predicted) {
            return RouteStep::Refuse(too_late(call, &choice.predicted));
        }
        RouteStep::Server(server_target(&fleet, &choice))
    }

    /// The region that a request to a plain service goes to since this one is offered
    /// more than it can do, by chance.
    fn spill(
        &self,
        now: Moment,
        call: &CallContext,
        fleet: &FleetView,
        progress: &CallProgress,
    ) -> Option<RemoteOption> {
        let needs = &call.needs;
        if needs.engine.is_some() || !self.leaves(call) {
            return None;
        }
        // A server here has turned it away: the others of the region are as full.
        let is_turned_away = progress.arrivals > progress.runs;
        let overflow = if is_turned_away {
            1.0
        } else {
            fleet.overflow(now, &needs.service)
        };
        let rng = &mut *self.rng.borrow_mut();
        if overflow <= 0.0 || !rng.random_bool(overflow.min(1.0)) {
            return None;
        }
        let excluded = self.closed_regions(&progress.vms);
        let trips = self.trips.borrow();
        let search = RemoteSearch {
            excluded: &excluded,
            ..plain_search(fleet, &trips, needs)
        };
        let limit = needs.goal.mul_f64(SPILL_PART);
        let excess = if is_turned_away {
            0.0
        } else {
            fleet.excess(now, &needs.service)
        };
        let away = self.remote_table.borrow();
        let drawn = away.draw_spare(now, &search, limit, excess, rng)?;
        log::info!(
            request = call.request_id.as_str(),
            region = drawn.region.as_str(),
            overflow,
            away_ms = millis(drawn.predicted.first);
            "sent away, more is offered here than can be done"
        );
        Some(drawn)
    }

    /// Counts a request for the rates of its service, with its first attempt.
    pub(crate) fn record_request(&self, call: &CallContext, progress: &CallProgress) {
        if progress.arrivals + progress.unreached > 0 {
            return;
        }
        let kind = match call.origin {
            CallOrigin::Caller => RateKind::Offered,
            CallOrigin::Peer(_) => RateKind::Relayed,
        };
        let now = self.now();
        let mut fleet = self.fleet.borrow_mut();
        fleet.record_request(now, &call.needs.service, kind);
    }

    /// Whether a request may leave the region.
    fn leaves(&self, call: &CallContext) -> bool {
        let policy = self.settings().switches.policy();
        let stays = matches!(policy, ChoicePolicy::LocalOnly | ChoicePolicy::RoundRobin);
        !stays && call.may_leave() && self.is_on(DecisionSwitch::SendAway)
    }

    /// Sends the request to a region drawn by its usable servers; a baseline.
    fn weigh_at_random(
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
        let drawn = if call.may_leave() {
            let rng = &mut *self.rng.borrow_mut();
            self.remote_table.borrow().draw(now, &search, own, rng)
        } else {
            None
        };
        match drawn {
            Some(away) => self.send_away(call, away, progress),
            None => RouteStep::Server(server_target(fleet, choice)),
        }
    }

    /// Waits while the caller's patience lasts; then refuses, to come back `after`.
    pub(crate) fn wait_or_refuse(
        &self,
        call: &CallContext,
        detail: &str,
        after: Duration,
    ) -> RouteStep {
        let part = if self.started.elapsed() < YOUNG {
            YOUNG_PATIENCE_PART
        } else {
            PATIENCE_PART
        };
        let patience = call.needs.goal.mul_f64(part);
        if call.age() + LOOK_AGAIN < patience {
            return RouteStep::Later(LOOK_AGAIN);
        }
        RouteStep::Refuse(overloaded(detail, after))
    }

    /// Waits where a server may have work again within the caller's patience; otherwise
    /// refuses at once, to come back when the first of them may: nothing else that the
    /// caller could wait for is known.
    pub(crate) fn wait_for_rest(&self, call: &CallContext, left: Duration) -> RouteStep {
        let patience = call.needs.goal.mul_f64(PATIENCE_PART);
        if call.age() + left.max(LOOK_AGAIN) < patience {
            return RouteStep::Later(LOOK_AGAIN);
        }
        let spread = left.mul_f64(REST_SPREAD_PART).max(LEAST_REST_SPREAD);
        let part = self.rng.borrow_mut().random::<f64>();
        let after = left.max(RETRY_AFTER_RANGE.0) + spread.mul_f64(part);
        let detail = "every server wants nothing from this VM for a while";
        let error = RequestError::not_run(RefusalReason::Overloaded, detail);
        RouteStep::Refuse(error.with_retry_after(after))
    }

    fn send_away(
        &self,
        call: &CallContext,
        away: RemoteOption,
        progress: &CallProgress,
    ) -> RouteStep {
        let Some(target) = self.relay_target(&away.region, &progress.vms) else {
            let detail = "no VM of the other region is left";
            return RouteStep::Refuse(overloaded(detail, Duration::ZERO));
        };
        let tag = name_tag(call.needs.service.as_str());
        let now = self.now();
        self.remote_table.borrow_mut().note_sent(now, &away, tag);
        RouteStep::Peer(PeerTarget {
            vm: target.vm,
            address: target.address,
            region: away.region,
            predicted: away.predicted,
            reason: PeerReason::Away,
        })
    }

    /// Whether an answer comes too late to be worth its work: there is too much before
    /// it, or the caller will have left.
    pub(crate) fn is_too_late(&self, call: &CallContext, predicted: &TimePrediction) -> bool {
        let refuses = self.is_on(DecisionSwitch::RefusePredicted);
        let is_full = refuses
            && predicted.backlog > call.needs.goal.mul_f64(IDLE_PART)
            && predicted.loaded > call.needs.goal.mul_f64(OVERLOAD_PART);
        let time_left = call.time_left();
        let is_cut = predicted.whole.mul_f64(LIKELY_PART) > time_left
            && self.is_on(DecisionSwitch::WholeAnswers);
        is_full || is_cut || predicted.first > time_left
    }

    fn best_away(
        &self,
        now: Moment,
        call: &CallContext,
        progress: &CallProgress,
    ) -> Option<RemoteOption> {
        if !self.leaves(call) {
            return None;
        }
        let excluded = self.closed_regions(&progress.vms);
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

/// What a request needs from here on: of a stream, what the caller does not have yet.
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

/// A search that follows no prefix and leaves no VM out.
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
        "no server can answer in time: the best one begins after {} ms and ends after {} ms, the goal is {} ms, the caller leaves after {} ms",
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
