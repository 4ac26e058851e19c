//! Where a request goes: a server of this region, another region, or nowhere.

use std::net::SocketAddr;
use std::time::Duration;

use onyxfall_fleet::{AwayOption, AwaySearch, LocalOption, ServerChoice, goes_away};
use onyxfall_policy::Moment;
use onyxfall_types::{RefusalReason, RequestError, name_tag};

use crate::attempt::ServerTarget;
use crate::call::{CallContext, SharedCall};
use crate::gateway::Gateway;
use crate::relay::PeerTarget;
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
/// Part of the goal up to which an expected first byte is worth its work. A late
/// answer earns a third and makes others late; a refusal at once lets the caller
/// come back. Chosen by trials on the bench: 0.4 to 1.6.
const OVERLOAD_PART: f64 = 0.7;
/// Bounds of the time after which a refused caller is told to come back.
const RETRY_AFTER_RANGE: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_millis(900));
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
        let now = self.now();
        let local = self.fleet.borrow_mut().choose(
            now,
            &call.needs,
            &progress.servers,
            &mut *self.rng.borrow_mut(),
        );
        let away = self
            .best_away(now, call, progress)
            .filter(|away| !is_too_late(call, away.predicted));
        match (local, away) {
            (LocalOption::Free(choice), away) => self.weigh(now, call, choice, away),
            (_, Some(away)) => self.send_away(call, away),
            (LocalOption::Full, None) => {
                RouteStep::Refuse(overloaded("every server is full", call.needs.goal / 2))
            }
            (LocalOption::Resting | LocalOption::None, None) => self.wait_or_refuse(call),
        }
    }

    /// Decides between a server of this region and another region.
    fn weigh(
        &self,
        now: Moment,
        call: &SharedCall,
        choice: ServerChoice,
        away: Option<AwayOption>,
    ) -> RouteStep {
        let fleet = self.fleet.borrow();
        let server = fleet.server(choice.server);
        if let Some(away) = away {
            let unread = server.unread_shared(now, &call.needs.prompt);
            let (goal, local) = (call.needs.goal, choice.predicted);
            if goes_away(goal, local, unread, away.predicted, away.holds_prefix) {
                log::info!(
                    request = call.request_id.as_str(),
                    target = away.vm.as_str(),
                    goal_ms = millis(goal),
                    local_ms = millis(local),
                    away_ms = millis(away.predicted),
                    unread_shared = unread,
                    holds_prefix = away.holds_prefix;
                    "sent away"
                );
                return self.send_away(call, away);
            }
        }
        if is_too_late(call, choice.predicted) {
            let after = choice.predicted.saturating_sub(call.needs.goal / 2);
            let detail = format!(
                "no server can answer in time: the best one after {} ms, the goal is {} ms",
                millis(choice.predicted),
                millis(call.needs.goal),
            );
            return RouteStep::Refuse(overloaded(&detail, after));
        }
        RouteStep::Server(ServerTarget {
            id: choice.server,
            name: server.record.name.to_string(),
            address: server.record.address,
            predicted: choice.predicted,
            reason: choice.reason,
        })
    }

    /// Waits for a server while the caller's patience lasts.
    fn wait_or_refuse(&self, call: &CallContext) -> RouteStep {
        let part = if self.started.elapsed() < YOUNG {
            YOUNG_PATIENCE_PART
        } else {
            PATIENCE_PART
        };
        let patience = call.needs.goal.mul_f64(part);
        if call.age() + LOOK_AGAIN < patience {
            return RouteStep::Later(LOOK_AGAIN);
        }
        RouteStep::Refuse(overloaded("no server is usable", call.needs.goal / 2))
    }

    fn send_away(&self, call: &CallContext, away: AwayOption) -> RouteStep {
        let tag = name_tag(call.needs.service.as_str());
        self.away.borrow_mut().note_sent(&away, tag);
        let port = self.settings().relay.port();
        let members = self.members.borrow();
        let Some(member) = members.get(&away.vm) else {
            let detail = "the VM of the other region is gone";
            return RouteStep::Refuse(overloaded(detail, Duration::ZERO));
        };
        let address = SocketAddr::new(member.beat.peer_address.ip(), port);
        RouteStep::Peer(PeerTarget {
            vm: away.vm,
            address,
            predicted: away.predicted,
        })
    }

    fn best_away(
        &self,
        now: Moment,
        call: &CallContext,
        progress: &CallProgress,
    ) -> Option<AwayOption> {
        if !call.may_leave() {
            return None;
        }
        let fleet = self.fleet.borrow();
        let search = AwaySearch {
            needs: &call.needs,
            service_tag: name_tag(call.needs.service.as_str()),
            own_region: &fleet.place().region,
            prefix_home: fleet.prefix_home(&call.needs),
            excluded: &progress.vms,
        };
        self.away.borrow().best(now, &search)
    }
}

fn is_too_late(call: &CallContext, predicted: Duration) -> bool {
    let bound = call.needs.goal.mul_f64(OVERLOAD_PART);
    predicted > bound.min(call.time_left())
}

fn overloaded(detail: &str, after: Duration) -> RequestError {
    let after = after.clamp(RETRY_AFTER_RANGE.0, RETRY_AFTER_RANGE.1);
    RequestError::not_run(RefusalReason::Overloaded, detail).with_retry_after(after)
}
