//! Backlog limits that keep room at model servers for the more important kinds of requests.
//!
//! A kind with a long latency goal tolerates a backlog at which a kind with a shorter goal is
//! already late. If each kind were admitted up to its own goal, the tolerant one would fill the
//! servers beyond what the others can bear. So a kind is admitted at a server only while the
//! backlog there leaves the more important kinds of the same service most of their goal. This is
//! trunk reservation: it needs no rates and no messages, and acts as soon as the backlog is
//! known.
//!
//! Invariant: the limit of a kind never exceeds that of a more important kind of its service.

use std::collections::BTreeMap;
use std::time::Duration;

use onyxfall_types::ServiceName;

use crate::route::RouteTable;

/// Share of a kind's own goal that others' prompts may take. The rest is for its own prompt and
/// for the error of the prediction.
const OWN_SHARE: f64 = 0.8;
/// Share of the tightest goal of all more important kinds that the backlog may take. A request
/// of such a kind still has two thirds of its goal for its own prompt and for requests of its
/// kind that arrive at the same time.
const RESERVED_SHARE: f64 = 0.35;

/// Backlog limits of one service by kind, the most important one first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct ServiceLimits(Vec<(u8, Duration)>);

impl ServiceLimits {
    /// Computes the limits from the tightest goal of each kind.
    fn new(goals: &BTreeMap<u8, Duration>) -> Self {
        let mut limits = Vec::with_capacity(goals.len());
        let mut tightest: Option<Duration> = None;
        let mut previous = Duration::MAX;
        for (kind, goal) in goals {
            let own = goal.mul_f64(OWN_SHARE);
            let reserved = tightest.map_or(own, |goal| goal.mul_f64(RESERVED_SHARE).min(own));
            previous = previous.min(reserved);
            limits.push((*kind, previous));
            tightest = Some(tightest.map_or(*goal, |tightest| tightest.min(*goal)));
        }
        Self(limits)
    }

    fn of(&self, kind: u8) -> Option<Duration> {
        let found = self.0.iter().find(|(ranked, _)| *ranked == kind);
        found.map(|(_, limit)| *limit)
    }
}

/// Backlog limits of all model services of a configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BacklogLimits(BTreeMap<ServiceName, ServiceLimits>);

impl BacklogLimits {
    /// Computes the limits of the routes of a configuration. A service whose routes all have
    /// the same priority has none: there is nothing to reserve room for.
    pub fn new(table: &RouteTable) -> Self {
        let mut goals: BTreeMap<&ServiceName, BTreeMap<u8, Duration>> = BTreeMap::new();
        for route in table.routes() {
            for target in &route.targets {
                let is_model = |service: &ServiceName| {
                    table.service(service).is_some_and(|it| it.engine.is_some())
                };
                if is_model(&target.service) {
                    let kinds = goals.entry(&target.service).or_default();
                    let goal = kinds.entry(route.priority).or_insert(route.goal);
                    *goal = route.goal.min(*goal);
                }
            }
        }
        let contended = goals.into_iter().filter(|(_, kinds)| kinds.len() > 1);
        let limits = contended.map(|(name, kinds)| (name.clone(), ServiceLimits::new(&kinds)));
        Self(limits.collect())
    }

    /// Limit of a kind of requests to a service, by the priority of its route. `None` if the
    /// kind is limited by its goal alone.
    pub fn of(&self, service: &ServiceName, kind: u8) -> Option<Duration> {
        self.0.get(service)?.of(kind)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    struct LimitCase {
        name: &'static str,
        /// Priority and goal in milliseconds of each kind.
        goals: &'static [(u8, u64)],
        /// Expected limits in milliseconds, in the same order.
        limits: &'static [u64],
    }

    const LIMIT_CASES: &[LimitCase] = &[
        LimitCase {
            name: "a tolerant kind leaves room to an urgent one",
            goals: &[(0, 1000), (2, 2000)],
            limits: &[800, 350],
        },
        LimitCase {
            name: "an unimportant kind with a short goal is limited by that goal",
            goals: &[(0, 4000), (1, 500)],
            limits: &[3200, 400],
        },
        LimitCase {
            name: "the least important kind leaves room to the tightest goal above it",
            goals: &[(0, 3000), (1, 1000), (4, 9000)],
            limits: &[2400, 800, 350],
        },
        LimitCase {
            name: "a kind never gets a higher limit than a more important one",
            goals: &[(0, 400), (1, 4000), (2, 4000)],
            limits: &[320, 140, 140],
        },
    ];

    #[test]
    fn less_important_kinds_leave_room_at_servers() {
        for case in LIMIT_CASES {
            let goals = case.goals.iter();
            let goals = goals.map(|(kind, goal)| (*kind, Duration::from_millis(*goal)));
            let limits = ServiceLimits::new(&goals.collect());
            let found = case.goals.iter().map(|(kind, _)| limits.of(*kind));
            let expected = case.limits.iter().copied().map(Duration::from_millis);
            assert!(found.eq(expected.map(Some)), "{}: {limits:?}", case.name);
        }
    }
}
