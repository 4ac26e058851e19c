//! Baseline policies for measurement: random and round-robin, without a queue.

use onyxfall_bundle::AwayRule;
use onyxfall_types::ServerId;
use rand::Rng;

use super::kinds::{ArrivalOrigin, RequestArrival, RouteStep};
use super::{RequestRouter, refusal};
use crate::choose::ServerChoice;
use crate::moment::Moment;

impl RequestRouter {
    pub(super) fn route_random(&mut self, now: Moment, arrival: &RequestArrival) -> RouteStep {
        let model = self.kind(arrival.kind).model;
        let is_local_only = arrival.origin == ArrivalOrigin::Peer
            || self.kind(arrival.kind).away == AwayRule::Never;
        let permitted: Vec<ServerId> = self
            .bundle
            .servers
            .iter()
            .filter(|(_, server)| server.models.contains(&model))
            .filter(|(_, server)| !is_local_only || server.center == self.center)
            .filter(|(_, server)| {
                arrival
                    .allowed
                    .contains(self.bundle.centers[server.center].region)
            })
            .map(|(id, _)| id)
            .collect();
        if permitted.is_empty() {
            return RouteStep::Refuse(refusal(None));
        }
        let server = permitted[self.rng.random_range(0..permitted.len())];
        let center = self.bundle.servers[server].center;
        if center != self.center {
            return self.start_forward(arrival, center);
        }
        self.start_baseline(now, arrival, server)
    }

    pub(super) fn route_round_robin(&mut self, now: Moment, arrival: &RequestArrival) -> RouteStep {
        let model = self.kind(arrival.kind).model;
        let pool = &mut self.pools[model];
        if pool.servers.is_empty() {
            return RouteStep::Refuse(refusal(None));
        }
        let server = pool.servers[pool.next_index % pool.servers.len()];
        pool.next_index += 1;
        self.start_baseline(now, arrival, server)
    }

    pub(super) fn start_baseline(
        &mut self,
        now: Moment,
        arrival: &RequestArrival,
        server: ServerId,
    ) -> RouteStep {
        let service = self.estimates[arrival.kind].get();
        self.start_local(
            now,
            arrival,
            ServerChoice {
                server,
                service,
                expected: service,
            },
        )
    }
}
