//! Invariants of the router, as properties over random input sequences.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use onyxfall_bundle::{ServiceBundle, parse_bundle};
use onyxfall_policy::{
    ArrivalOrigin, AttemptEnd, AttemptOutcome, CenterDigest, ModelDigest, Moment, PolicySettings,
    RegionSet, RequestArrival, RequestRouter, RetryBudget, RouteStep, RoutingPolicy,
};
use onyxfall_settings::IniDocument;
use onyxfall_types::{CenterId, EntityId, Incarnation, KindId, RunVerdict, VerdictCell};
use proptest::prelude::*;

const BUNDLE: &str = "
[bundle]
name = test
[region a]
[region b]
[region c]
[data-centre a1]
region = a
[data-centre b1]
region = b
[data-centre c1]
region = c
[model m]
[server s1]
data-centre = a1
address = 127.0.0.1:1
serves = m
slots = 2
[server s2]
data-centre = a1
address = 127.0.0.1:2
serves = m
slots = 2
[server s3]
data-centre = b1
address = 127.0.0.1:3
serves = m
[server s4]
data-centre = c1
address = 127.0.0.1:4
serves = m
[kind k0]
served-by = m
repeatable = yes
residency = anywhere
[kind k1]
served-by = m
repeatable = no
residency = a, b
[kind k2]
served-by = m
repeatable = yes
away = never
residency = home
";

fn bundle() -> Arc<ServiceBundle> {
    let document = IniDocument::parse("test.ini", BUNDLE).unwrap();
    Arc::new(parse_bundle(&document).unwrap())
}

#[derive(Clone, Debug)]
enum RouterInput {
    Arrive {
        kind: usize,
        allowed: u8,
        peer: bool,
        deadline_ms: u64,
    },
    End {
        pick: usize,
        outcome: u8,
        elapsed_ms: u64,
    },
    Digest {
        center: usize,
        grant: u32,
    },
    Drain {
        server: usize,
    },
    Poll,
    Pass {
        ms: u64,
    },
}

fn router_input() -> impl Strategy<Value = RouterInput> {
    prop_oneof![
        4 => (0..3_usize, 1..8_u8, any::<bool>(), 1..20_000_u64).prop_map(
            |(kind, allowed, peer, deadline_ms)| RouterInput::Arrive { kind, allowed, peer, deadline_ms }
        ),
        3 => (any::<usize>(), 0..4_u8, 1..5000_u64)
            .prop_map(|(pick, outcome, elapsed_ms)| RouterInput::End { pick, outcome, elapsed_ms }),
        2 => (1..3_usize, 0..6_u32)
            .prop_map(|(center, grant)| RouterInput::Digest { center, grant }),
        1 => (0..2_usize).prop_map(|server| RouterInput::Drain { server }),
        1 => Just(RouterInput::Poll),
        2 => (1..2000_u64).prop_map(|ms| RouterInput::Pass { ms }),
    ]
}

fn region_set(bits: u8) -> RegionSet {
    (0..3)
        .filter(|i| bits & (1 << i) != 0)
        .map(EntityId::from_index)
        .collect()
}

/// Replays inputs and checks every step against the invariants.
struct RouterReplay {
    bundle: Arc<ServiceBundle>,
    router: RequestRouter,
    now: Moment,
    sequence: u64,
    open: Vec<u64>,
    forwarded: BTreeMap<u64, CenterId>,
    arrivals: BTreeMap<u64, RequestArrival>,
    grants: BTreeMap<usize, u32>,
    drained: Vec<String>,
}

impl RouterReplay {
    fn new(routing: RoutingPolicy) -> Self {
        let bundle = bundle();
        let settings = PolicySettings {
            routing,
            queue_limit: 8,
            ..PolicySettings::default()
        };
        let center = bundle.center_id("a1").unwrap();
        let router = RequestRouter::new(Arc::clone(&bundle), center, settings, Moment::ZERO);
        Self {
            bundle,
            router,
            now: Moment::ZERO,
            sequence: 0,
            open: Vec::new(),
            forwarded: BTreeMap::new(),
            arrivals: BTreeMap::new(),
            grants: BTreeMap::new(),
            drained: Vec::new(),
        }
    }

    fn apply(&mut self, input: &RouterInput) {
        match *input {
            RouterInput::Arrive {
                kind,
                allowed,
                peer,
                deadline_ms,
            } => {
                let arrival = RequestArrival {
                    kind: KindId::from_index(kind),
                    allowed: region_set(allowed),
                    prefix: None,
                    deadline: self.now + Duration::from_millis(deadline_ms),
                    origin: if peer {
                        ArrivalOrigin::Peer
                    } else {
                        ArrivalOrigin::Caller
                    },
                    excluded: Vec::new(),
                    excluded_centers: Vec::new(),
                };
                let step = self.router.arrive(self.now, arrival.clone());
                self.check(&arrival, &step);
                if let RouteStep::Wait(id) = step {
                    self.arrivals.insert(id.0, arrival);
                }
            }
            RouterInput::End {
                pick,
                outcome,
                elapsed_ms,
            } => self.end(pick, outcome, elapsed_ms),
            RouterInput::Digest { center, grant } => {
                self.sequence += 1;
                self.grants.insert(center, grant);
                let model = self.bundle.model_id("m").unwrap();
                let models = vec![ModelDigest {
                    model,
                    free: grant,
                    wait: Duration::ZERO,
                    grant,
                }];
                let center = CenterId::from_index(center);
                let digest = CenterDigest {
                    center,
                    sequence: self.sequence,
                    models,
                };
                self.router.receive_center(self.now, &digest);
            }
            RouterInput::Drain { server } => {
                let name = ["s1", "s2"][server];
                self.router
                    .drain(&name.parse().unwrap(), Incarnation::default());
                self.drained.push(name.to_owned());
            }
            RouterInput::Poll => {
                for (id, step) in self.router.poll(self.now) {
                    let arrival = self
                        .arrivals
                        .remove(&id.0)
                        .expect("a waiting request gets one step");
                    self.check(&arrival, &step);
                }
            }
            RouterInput::Pass { ms } => self.now = self.now + Duration::from_millis(ms),
        }
    }

    fn end(&mut self, pick: usize, outcome: u8, elapsed_ms: u64) {
        if self.open.is_empty() {
            return;
        }
        let attempt = self.open.swap_remove(pick % self.open.len());
        self.forwarded.remove(&attempt);
        let outcome = match outcome {
            0 => AttemptOutcome::Success,
            1 => AttemptOutcome::Failed,
            2 => AttemptOutcome::Refused,
            _ => AttemptOutcome::Cancelled,
        };
        let elapsed = Duration::from_millis(elapsed_ms);
        self.router.end(
            self.now,
            &AttemptEnd {
                attempt,
                outcome,
                elapsed,
            },
        );
    }

    fn check(&mut self, arrival: &RequestArrival, step: &RouteStep) {
        match step {
            RouteStep::Run { attempt, server } => {
                let server = &self.bundle.servers[*server];
                let region = self.bundle.centers[server.center].region;
                assert!(
                    arrival.allowed.contains(region),
                    "run outside the residency limit"
                );
                assert_eq!(
                    server.center,
                    self.router.center(),
                    "run in another data centre"
                );
                assert!(
                    !self.drained.contains(&server.name.to_string()),
                    "work for a drained server"
                );
                self.open.push(*attempt);
            }
            RouteStep::Forward { attempt, center } => {
                let region = self.bundle.centers[*center].region;
                assert!(
                    arrival.allowed.contains(region),
                    "forwarded outside the residency limit"
                );
                assert_eq!(
                    arrival.origin,
                    ArrivalOrigin::Caller,
                    "a peer's request was forwarded"
                );
                self.open.push(*attempt);
                self.forwarded.insert(*attempt, *center);
                let open_there = self.forwarded.values().filter(|c| *c == center).count();
                let grant = self.grants.get(&center.index()).copied().unwrap_or(0);
                assert!(
                    open_there <= grant as usize,
                    "more open requests than granted"
                );
            }
            RouteStep::Refuse(error) => assert_eq!(error.verdict, RunVerdict::NotRun),
            RouteStep::Wait(_) => {
                assert_eq!(
                    arrival.origin,
                    ArrivalOrigin::Caller,
                    "a peer's request must not wait"
                );
            }
        }
    }
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 256,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn steps_keep_the_invariants(inputs in prop::collection::vec(router_input(), 1..120)) {
        let mut replay = RouterReplay::new(RoutingPolicy::Expected);
        for input in &inputs {
            replay.apply(input);
        }
    }

    #[test]
    fn local_only_never_forwards(inputs in prop::collection::vec(router_input(), 1..80)) {
        let mut replay = RouterReplay::new(RoutingPolicy::LocalOnly);
        for input in &inputs {
            replay.apply(input);
        }
        prop_assert_eq!(replay.router.counts().remote, 0);
    }

    #[test]
    fn same_inputs_same_decisions(inputs in prop::collection::vec(router_input(), 1..80)) {
        let run = || {
            let mut replay = RouterReplay::new(RoutingPolicy::Expected);
            for input in &inputs {
                replay.apply(input);
            }
            (replay.router.counts(), replay.open)
        };
        prop_assert_eq!(run(), run());
    }

    #[test]
    fn retries_stay_within_a_tenth(firsts in prop::collection::vec(any::<bool>(), 1..2000)) {
        let mut budget = RetryBudget::new();
        let (mut recorded, mut granted) = (0_u32, 0_u32);
        for first in firsts {
            if first {
                budget.record_first();
                recorded += 1;
            } else if budget.try_spend() {
                granted += 1;
            }
            prop_assert!(f64::from(granted) <= 1.0 + f64::from(recorded) / 10.0 + 1e-6);
        }
    }

    #[test]
    fn a_verdict_never_decreases(raises in prop::collection::vec(0..3_u8, 1..20)) {
        let cell = VerdictCell::new();
        let mut before = cell.get();
        for raise in raises {
            cell.raise([RunVerdict::NotRun, RunVerdict::MayHaveRun, RunVerdict::Ran][raise as usize]);
            prop_assert!(cell.get() >= before);
            before = cell.get();
        }
    }
}
