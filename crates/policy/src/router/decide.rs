//! The decision about one request: run locally, forward, wait or refuse.

use std::time::Duration;

use onyxfall_bundle::AwayRule;
use onyxfall_types::{CenterId, ModelId, RefusalReason, RequestError};

use super::kinds::{ArrivalOrigin, RequestArrival, RouteStep, RoutingPolicy};
use super::{AttemptTarget, OpenAttempt, RequestRouter, refusal};
use crate::choose::{ChooseContext, ServerChoice};
use crate::moment::Moment;
use crate::queue::{QueuedRequest, WaitId};
use crate::remote::{RemoteChoice, RemoteContext, objective_score};

impl RequestRouter {
    pub(super) fn route(&mut self, now: Moment, arrival: RequestArrival) -> RouteStep {
        let kind = self.kind(arrival.kind);
        let (model, service) = (kind.model, self.estimates[arrival.kind].get());
        let remaining = arrival.deadline - now;
        if self.pools[model].queue.is_empty()
            && let Some(choice) = self.choose_local(now, &arrival)
            && choice.expected <= remaining.max(service)
        {
            return self.start_local(now, &arrival, choice);
        }
        if arrival.origin == ArrivalOrigin::Peer {
            let detail = "no free slot for a request from another data centre";
            return RouteStep::Refuse(RequestError::not_run(RefusalReason::Overloaded, detail));
        }
        let wait = self.local_wait(now, arrival.kind, arrival.deadline);
        let local = wait.map(|wait| wait + service);
        let remote = self.choose_remote(now, &arrival);
        if let Some(remote) = self.prefer_remote(now, model, local, remote) {
            return self.start_forward(&arrival, remote.center);
        }
        match (local, remote) {
            (Some(local), _) if local <= remaining => self.enqueue(arrival, service),
            (_, Some(remote)) => self.start_forward(&arrival, remote.center),
            (None, None) if service <= remaining && self.may_get_grant(now, &arrival) => {
                self.enqueue(arrival, service)
            }
            _ => RouteStep::Refuse(refusal(wait.or_else(|| self.backoff_left(now, model)))),
        }
    }

    /// Whether another data centre with a current digest serves the request's
    /// model, so that a grant may arrive while the request waits.
    fn may_get_grant(&self, now: Moment, arrival: &RequestArrival) -> bool {
        let kind = self.kind(arrival.kind);
        if self.settings.routing != RoutingPolicy::Expected || kind.away == AwayRule::Never {
            return false;
        }
        self.centers
            .iter()
            .filter(|(center, _)| *center != self.center)
            .filter(|(center, _)| !arrival.excluded_centers.contains(center))
            .filter(|(center, _)| {
                arrival
                    .allowed
                    .contains(self.bundle.centers[*center].region)
            })
            .any(|(_, view)| view.model(now, kind.model).is_some())
    }

    pub(super) fn prefer_remote(
        &mut self,
        now: Moment,
        model: ModelId,
        local: Option<Duration>,
        remote: Option<RemoteChoice>,
    ) -> Option<RemoteChoice> {
        let remote = remote?;
        let Some(local) = local else {
            return Some(remote);
        };
        let local = objective_score(&self.bundle.objective, local, Duration::ZERO);
        self.pools[model]
            .mode
            .accepts(now, local - remote.score)
            .then_some(remote)
    }

    pub(super) fn enqueue(&mut self, arrival: RequestArrival, service: Duration) -> RouteStep {
        let id = WaitId(self.next());
        let model = self.kind(arrival.kind).model;
        let request = QueuedRequest {
            id,
            kind: arrival.kind,
            deadline: arrival.deadline,
            service,
            payload: arrival,
        };
        match self.pools[model].queue.push(request) {
            Ok(()) => RouteStep::Wait(id),
            Err(_) => RouteStep::Refuse(refusal(None)),
        }
    }

    pub(super) fn choose_local(
        &mut self,
        now: Moment,
        arrival: &RequestArrival,
    ) -> Option<ServerChoice> {
        let kind = &self.bundle.kinds[arrival.kind];
        if !arrival
            .allowed
            .contains(self.bundle.centers[self.center].region)
        {
            return None;
        }
        let context = ChooseContext {
            now,
            pool: &self.pools[kind.model].servers,
            servers: &self.servers,
            prefixes: &self.prefixes,
            members: self.members,
            excluded: &arrival.excluded,
            eager: self.pools[kind.model].top_priority == Some(kind.priority),
            prefix: arrival.prefix,
            service: self.estimates[arrival.kind].get(),
            prefix_share: kind.prefix_share,
            cost_weight: self.bundle.objective.cost,
        };
        context.choose(&mut self.rng)
    }

    pub(super) fn choose_remote(
        &self,
        now: Moment,
        arrival: &RequestArrival,
    ) -> Option<RemoteChoice> {
        let kind = self.kind(arrival.kind);
        let barred = self.settings.routing != RoutingPolicy::Expected
            || arrival.origin == ArrivalOrigin::Peer
            || kind.away == AwayRule::Never;
        if barred {
            return None;
        }
        let service = self.estimates[arrival.kind].get();
        let context = RemoteContext {
            now,
            bundle: &self.bundle,
            centers: &self.centers,
            own_center: self.center,
            allowed: arrival.allowed,
            excluded: &arrival.excluded_centers,
            model: kind.model,
            service,
            cold_work: service.mul_f64(kind.prefix_share),
            remaining: arrival.deadline - now,
        };
        context.choose()
    }

    pub(super) fn start_local(
        &mut self,
        now: Moment,
        arrival: &RequestArrival,
        choice: ServerChoice,
    ) -> RouteStep {
        debug_assert!(
            arrival
                .allowed
                .contains(self.bundle.centers[self.center].region)
        );
        let attempt = self.next();
        self.servers[choice.server].start(now, attempt, choice.service);
        if let Some(prefix) = arrival.prefix {
            self.prefixes.record_routed(prefix, choice.server, now);
        }
        let target = AttemptTarget::Server(choice.server);
        let open = OpenAttempt {
            target,
            kind: arrival.kind,
            expected: choice.service,
        };
        self.open.insert(attempt, open);
        self.counts.local += 1;
        RouteStep::Run {
            attempt,
            server: choice.server,
        }
    }

    pub(super) fn start_forward(
        &mut self,
        arrival: &RequestArrival,
        center: CenterId,
    ) -> RouteStep {
        debug_assert!(
            arrival.origin == ArrivalOrigin::Caller,
            "a forwarded request is not forwarded again"
        );
        debug_assert!(arrival.allowed.contains(self.bundle.centers[center].region));
        let attempt = self.next();
        self.centers.start(center, self.kind(arrival.kind).model);
        let target = AttemptTarget::Center(center);
        let expected = self.estimates[arrival.kind].get();
        self.open.insert(
            attempt,
            OpenAttempt {
                target,
                kind: arrival.kind,
                expected,
            },
        );
        self.counts.remote += 1;
        RouteStep::Forward { attempt, center }
    }
}
