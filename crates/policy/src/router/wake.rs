//! Waiting requests: which can start, which have expired.

use std::sync::Arc;

use onyxfall_bundle::AwayRule;
use onyxfall_types::{ModelId, ServerId};

use super::kinds::{RequestArrival, RouteStep, RoutingPolicy};
use super::{RequestRouter, refusal};
use crate::moment::Moment;
use crate::queue::{QueuedRequest, WaitId};

impl RequestRouter {
    /// Returns the steps of waiting requests that can start or have expired.
    pub fn poll(&mut self, now: Moment) -> Vec<(WaitId, RouteStep)> {
        let mut steps = Vec::new();
        let busy: Vec<ModelId> = self
            .pools
            .iter()
            .filter(|(_, pool)| !pool.queue.is_empty())
            .map(|(id, _)| id)
            .collect();
        for model in busy {
            self.poll_expired(now, model, &mut steps);
            self.poll_local(now, model, &mut steps);
            self.poll_remote(now, model, &mut steps);
        }
        steps
    }

    pub(super) fn poll_expired(
        &mut self,
        now: Moment,
        model: ModelId,
        steps: &mut Vec<(WaitId, RouteStep)>,
    ) {
        for request in self.pools[model].queue.take_expired(now) {
            self.counts.expired += 1;
            let wait = self.local_wait(now, request.kind, request.deadline);
            steps.push((request.id, RouteStep::Refuse(refusal(wait))));
        }
    }

    pub(super) fn poll_local(
        &mut self,
        now: Moment,
        model: ModelId,
        steps: &mut Vec<(WaitId, RouteStep)>,
    ) {
        while self.has_room(now, model) {
            let Some(request) = self.pools[model].queue.pop(now).next else {
                return;
            };
            let step = if let Some(choice) = self.choose_local(now, &request.payload) {
                self.start_local(now, &request.payload, choice)
            } else {
                RouteStep::Refuse(refusal(self.local_wait(
                    now,
                    request.kind,
                    request.deadline,
                )))
            };
            steps.push((request.id, step));
        }
    }

    /// Forwards waiting requests while that completes them sooner than waiting.
    pub(super) fn poll_remote(
        &mut self,
        now: Moment,
        model: ModelId,
        steps: &mut Vec<(WaitId, RouteStep)>,
    ) {
        if self.settings.routing != RoutingPolicy::Expected {
            return;
        }
        loop {
            let bundle = Arc::clone(&self.bundle);
            let movable = |request: &QueuedRequest<RequestArrival>| {
                bundle.kinds[request.kind].away == AwayRule::Allowed
            };
            let Some(request) = self.pools[model].queue.pop_last(movable) else {
                return;
            };
            let local = self
                .local_wait(now, request.kind, request.deadline)
                .map(|wait| wait + request.service);
            let remote = self.choose_remote(now, &request.payload);
            if let Some(remote) = self.prefer_remote(now, model, local, remote) {
                steps.push((
                    request.id,
                    self.start_forward(&request.payload, remote.center),
                ));
                continue;
            }
            let back = self.pools[model].queue.push(request);
            debug_assert!(back.is_ok(), "a popped request fits back into the queue");
            return;
        }
    }

    /// Whether a server has room for the next request of the queue.
    pub(super) fn has_room(&self, now: Moment, model: ModelId) -> bool {
        let pool = &self.pools[model];
        let eager = pool
            .queue
            .first_priority()
            .is_some_and(|p| pool.top_priority == Some(p));
        let has_room = |id: &ServerId| self.servers[*id].has_room(now, self.members, eager);
        !pool.queue.is_empty() && pool.servers.iter().any(has_room)
    }

    /// Removes a waiting request whose caller disconnected; returns whether it was
    /// waiting.
    pub fn cancel(&mut self, id: WaitId) -> bool {
        self.pools
            .iter_mut()
            .any(|(_, pool)| pool.queue.remove(id).is_some())
    }
}
