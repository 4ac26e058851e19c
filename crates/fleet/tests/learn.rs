//! Learned costs of engines and plain services, response lengths and round-trip times.

mod support;

use std::time::Duration;

use onyxfall_fleet::{
    AttemptResult, CallRequirements, CostReport, CostSource, CostView, DecisionSwitch,
    DecisionSwitches, EngineCosts, EngineLimits, EngineLoad, FleetView, HomeRegions, PlainCosts,
    PromptPart, PromptSize, ResponseLengths, RoundTrips, ServerRecord, ServiceCosts, WorkShare,
};
use onyxfall_policy::Moment;
use onyxfall_types::ServerId;
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use support::{at, place, ready_server};

/// Responses after which an estimate must be accurate.
const TRAINING_RESPONSES: usize = 50;
/// Largest median error of an accurate estimate.
const MAX_ERROR: f64 = 0.1;

/// Simulated engine: a step prefills prompts and generates one token for each request.
#[derive(Clone, Copy, Debug)]
struct EngineCase {
    name: &'static str,
    /// Prompt tokens prefilled in a millisecond.
    prefill_rate: f64,
    /// Milliseconds of a step: fixed part, and part for each request.
    step_ms: f64,
    step_ms_each: f64,
    batch: u32,
    /// Largest deviation of one response, as a factor.
    noise: f64,
}

impl EngineCase {
    fn first_ms(&self, load: &EngineLoad) -> f64 {
        let step = self.step_ms + self.step_ms_each * f64::from(load.running);
        let tokens = load.own as f64 + 0.8 * load.ahead as f64 + 0.3 * load.behind as f64;
        10.0 + 3.0 * step + tokens / self.prefill_rate
    }

    fn load(&self, rng: &mut StdRng) -> EngineLoad {
        EngineLoad {
            own: rng.random_range(50..15_000),
            ahead: rng.random_range(0..30_000),
            behind: rng.random_range(0..10_000),
            running: rng.random_range(0..self.batch),
        }
    }

    fn observe(&self, rng: &mut StdRng, costs: &mut EngineCosts, slowness: f64) {
        let load = self.load(rng);
        let noise = rng.random_range(1.0 / self.noise..self.noise);
        let took = Duration::from_secs_f64(self.first_ms(&load) * noise * slowness / 1e3);
        costs.learn_first(&load, took, 1.0);
    }

    /// Median error of predictions, relative to the true value.
    fn error(&self, rng: &mut StdRng, costs: &EngineCosts) -> f64 {
        let mut errors: Vec<f64> = (0..400)
            .map(|_| {
                let load = self.load(rng);
                (costs.first_ms(&load) / self.first_ms(&load) - 1.0).abs()
            })
            .collect();
        errors.sort_by(f64::total_cmp);
        errors[errors.len() / 2]
    }
}

const USUAL: EngineCase = EngineCase {
    name: "medium",
    prefill_rate: 57.0,
    step_ms: 4.0,
    step_ms_each: 0.09,
    batch: 64,
    noise: 1.3,
};

const ENGINES: &[EngineCase] = &[
    USUAL,
    EngineCase {
        name: "slow prefill",
        prefill_rate: 20.0,
        step_ms: 12.0,
        ..USUAL
    },
    EngineCase {
        name: "fast prefill, large batch",
        prefill_rate: 200.0,
        step_ms: 2.0,
        batch: 256,
        ..USUAL
    },
    EngineCase {
        name: "small batch",
        prefill_rate: 112.0,
        step_ms: 3.2,
        batch: 16,
        ..USUAL
    },
    EngineCase {
        name: "no noise",
        noise: 1.000_1,
        ..USUAL
    },
];

#[test]
fn engine_costs_are_accurate_after_fifty_responses() {
    for case in ENGINES {
        for seed in 0..5 {
            let mut rng = StdRng::seed_from_u64(seed);
            let mut costs = EngineCosts::default();
            for _ in 0..TRAINING_RESPONSES {
                case.observe(&mut rng, &mut costs, 1.0);
            }
            let error = case.error(&mut rng, &costs);
            assert!(error < MAX_ERROR, "{}, seed {seed}: {error:.3}", case.name);
        }
    }
}

#[test]
fn costs_adapt_to_a_change_of_the_engine() {
    for (before, after) in [(1.0, 2.5), (1.0, 0.4)] {
        for seed in 0..5 {
            let mut rng = StdRng::seed_from_u64(seed);
            let mut costs = EngineCosts::default();
            for _ in 0..500 {
                USUAL.observe(&mut rng, &mut costs, before);
            }
            let changed = EngineCase {
                prefill_rate: USUAL.prefill_rate / after,
                step_ms: USUAL.step_ms * after,
                ..USUAL
            };
            for _ in 0..3 * TRAINING_RESPONSES {
                changed.observe(&mut rng, &mut costs, 1.0);
            }
            let error = changed.error(&mut rng, &costs);
            assert!(
                error < 2.0 * MAX_ERROR,
                "factor {after}, seed {seed}: {error:.3}"
            );
        }
    }
}

fn view() -> FleetView {
    FleetView::new(place("vm0", &[("c0", "r0")]))
}

fn add_server(view: &mut FleetView, name: &str, slots: u32) -> ServerId {
    let record = ServerRecord {
        slots,
        ..ready_server(name)
    };
    view.put_server(at(0), record, None);
    view.find(name).unwrap()
}

fn needs(id: u64, input: u64) -> CallRequirements {
    CallRequirements {
        service: "svc".parse().unwrap(),
        engine: Some(EngineLimits {
            slots: 64,
            memory_tokens: 1_000_000,
            token_bytes: 18_432,
            keeps_backups: true,
        }),
        prompt: PromptSize {
            parts: vec![PromptPart { id, tokens: input }],
            input,
            output: 10,
            output_guess: None,
        },
        goal: Duration::from_secs(1),
        urgency: 5,
        backlog_limit: None,
        deadline: at(u64::MAX / 2000),
        events: None,
        homes: HomeRegions::Any,
        version: None,
    }
}

/// Sends requests to the servers in turn; each takes `factor` times the normal time.
fn simulate(view: &mut FleetView, servers: &[(ServerId, f64)], rounds: u64) {
    let mut rng = StdRng::seed_from_u64(7);
    for round in 0..rounds {
        for (index, (server, factor)) in servers.iter().enumerate() {
            let id = round * servers.len() as u64 + index as u64;
            let now = id * 1000;
            let input = rng.random_range(100..10_000);
            let took = (40.0 + input as f64 / 30.0) * factor;
            view.start_attempt(at(now), *server, id, &needs(id, input));
            let end = Moment::from_duration(Duration::from_secs_f64((now as f64 + took) / 1e3));
            view.record_response(end, *server, id);
            view.end_attempt(end, *server, id, AttemptResult::Succeeded, None);
        }
    }
}

#[test]
fn slow_servers_are_detected_and_do_not_affect_estimates_of_others() {
    let mut view = view();
    let servers: Vec<(ServerId, f64)> = (0..10)
        .map(|i| {
            let factor = if i < 3 { 5.0 } else { 1.0 };
            (add_server(&mut view, &format!("s{i}"), 64), factor)
        })
        .collect();
    simulate(&mut view, &servers, 20);
    let fresh = needs(u64::MAX, 6000);
    for (server, factor) in servers {
        let predicted = view
            .predict_first(at(200_000), server, &fresh)
            .as_secs_f64()
            * 1e3;
        let expected = (40.0 + 6000.0 / 30.0) * factor;
        let ratio = predicted / expected;
        assert!(
            (0.75..1.33).contains(&ratio),
            "factor {factor}: {predicted:.0} of {expected:.0} ms"
        );
    }
}

#[test]
fn without_learning_the_prior_is_used() {
    let mut view = view();
    let server = add_server(&mut view, "s", 64);
    let before = view.predict_first(at(0), server, &needs(1, 5000));
    let off = DecisionSwitches::new("expected".parse().unwrap(), [DecisionSwitch::LearnedCosts]);
    view.set_switches(off);
    // Only the slowness of the server is learned, and no costs of the service.
    simulate(&mut view, &[(server, 5.0)], 20);
    assert_eq!(view.cost_reports(CostView::Own).count(), 0);
    assert!(
        view.prefill_time(&"svc".parse().unwrap(), 1000) == Duration::from_millis(20),
        "{before:?}"
    );
}

#[test]
fn a_new_vm_uses_costs_that_others_have_learned() {
    let mut learned = view();
    let server = add_server(&mut learned, "s", 64);
    simulate(&mut learned, &[(server, 1.0)], 100);
    let (service, report) = learned.cost_reports(CostView::Own).next().unwrap();
    let mut new = view();
    let server = add_server(&mut new, "s", 64);
    assert!(!new.receive_costs(
        at(0),
        &"vm1".parse().unwrap(),
        CostSource::Member,
        service,
        report
    ));
    let predicted = new
        .predict_first(at(0), server, &needs(1, 6000))
        .as_secs_f64()
        * 1e3;
    assert!(
        (predicted / 240.0 - 1.0).abs() < MAX_ERROR,
        "{predicted:.0} of 240 ms"
    );
}

struct ReportCase {
    name: &'static str,
    report: CostReport,
    is_out_of_bounds: bool,
}

#[test]
fn reports_out_of_bounds_are_clamped() {
    let usual = CostReport {
        vms: 1,
        first: [40.0, 20.0, 12.0, 5.0, 4.0],
        first_samples: 100,
        event_interval: [40.0, 8.0, 8.0],
        interval_samples: 100,
        plain_ms: 20.0,
        plain_samples: 100,
    };
    let cases = [
        ReportCase {
            name: "usual",
            report: usual,
            is_out_of_bounds: false,
        },
        ReportCase {
            name: "not a number",
            report: CostReport {
                first: [f64::NAN; 5],
                ..usual
            },
            is_out_of_bounds: true,
        },
        ReportCase {
            name: "negative",
            report: CostReport {
                event_interval: [-1.0, 8.0, 8.0],
                ..usual
            },
            is_out_of_bounds: true,
        },
        ReportCase {
            name: "infinite",
            report: CostReport {
                plain_ms: f64::INFINITY,
                ..usual
            },
            is_out_of_bounds: true,
        },
        ReportCase {
            name: "zero costs",
            report: CostReport {
                first: [0.0; 5],
                plain_ms: 0.0,
                ..usual
            },
            is_out_of_bounds: true,
        },
    ];
    let load = EngineLoad {
        own: 1000,
        ..EngineLoad::default()
    };
    for case in cases {
        let mut costs = ServiceCosts::default();
        let is_out_of_bounds = costs.receive(
            at(0),
            &"vm1".parse().unwrap(),
            CostSource::Member,
            case.report,
        );
        assert_eq!(is_out_of_bounds, case.is_out_of_bounds, "{}", case.name);
        for ms in [costs.first_ms(&load), costs.plain_ms(), costs.read_ms(1000)] {
            assert!(ms.is_finite() && ms > 0.0, "{}: {ms}", case.name);
        }
    }
}

#[test]
fn a_prefix_is_cached_until_the_memory_is_full() {
    struct CacheCase {
        name: &'static str,
        /// Requests of 10,000 new tokens that follow, one every 100 ms, to a server whose
        /// memory holds 100 of them.
        following: u64,
        /// Tokens a second that another VM reports.
        reported: u64,
        /// Tokens of the prefix that have to be prefilled at the end.
        prefill: u64,
    }
    let cases = [
        CacheCase {
            name: "no requests follow",
            following: 0,
            reported: 0,
            prefill: 0,
        },
        CacheCase {
            name: "fewer tokens follow than the memory holds",
            following: 90,
            reported: 0,
            prefill: 0,
        },
        CacheCase {
            name: "more tokens follow than the memory holds",
            following: 110,
            reported: 0,
            prefill: 5000,
        },
        CacheCase {
            name: "another VM fills the memory",
            following: 60,
            reported: 100_000,
            prefill: 5000,
        },
    ];
    for case in cases {
        let mut view = view();
        let server = add_server(&mut view, "s", 64);
        let first = needs(u64::MAX, 5000);
        let remote = WorkShare {
            flow: case.reported,
            ..WorkShare::default()
        };
        view.server_mut(server).set_others(at(0), remote);
        for number in 0..=case.following {
            let now = at(number * 100);
            let call = if number == 0 {
                first.clone()
            } else {
                needs(number, 10_000)
            };
            view.start_attempt(now, server, number, &call);
            view.record_response(now, server, number);
            view.end_attempt(now, server, number, AttemptResult::Succeeded, None);
        }
        let now = at(case.following * 100);
        let prefill = view.server(server).prefill_tokens(now, &first.prompt);
        assert_eq!(prefill, case.prefill, "{}", case.name);
    }
}

#[test]
fn dial_timeouts_cover_a_round_trip_and_grow_with_failures() {
    struct DialCase {
        name: &'static str,
        seen_ms: &'static [u64],
        failures: u32,
        expected_ms: u64,
    }
    let cases = [
        DialCase {
            name: "unknown",
            seen_ms: &[],
            failures: 0,
            expected_ms: 170,
        },
        DialCase {
            name: "unknown, after two failures",
            seen_ms: &[],
            failures: 2,
            expected_ms: 680,
        },
        DialCase {
            name: "near",
            seen_ms: &[1],
            failures: 0,
            expected_ms: 21,
        },
        DialCase {
            name: "far, one packet lost",
            seen_ms: &[1300, 300],
            failures: 0,
            expected_ms: 470,
        },
        DialCase {
            name: "far, after many failures",
            seen_ms: &[300],
            failures: 40,
            expected_ms: 1500,
        },
    ];
    let region = "r1".parse().unwrap();
    for case in cases {
        let mut trips = RoundTrips::default();
        for ms in case.seen_ms {
            trips.note(&region, Duration::from_millis(*ms));
        }
        let limit = trips.dial_limit(Some(&region), case.failures);
        assert!(
            limit.as_millis().abs_diff(u128::from(case.expected_ms)) <= 1,
            "{}: {limit:?}",
            case.name
        );
    }
}

proptest! {
    /// Estimates stay finite under any observations, and no division by zero occurs.
    #[test]
    fn estimates_stay_finite(
        seen in prop::collection::vec(
            (0_u64..u64::MAX, 0_u64..u64::MAX, any::<u32>(), 0_u64..10_000_000, 0.0_f64..100.0),
            0..200,
        ),
        lengths in prop::collection::vec((0_u64..1_000_000, any::<u32>()), 0..50),
    ) {
        let mut costs = EngineCosts::default();
        let mut plain = PlainCosts::default();
        for (own, ahead, running, took, uncertainty) in seen {
            let load = EngineLoad { own: own >> 20, ahead: ahead >> 20, behind: 0, running };
            let took = Duration::from_micros(took);
            costs.learn_first(&load, took, uncertainty);
            costs.learn_rest(&load, took, f64::from(running), uncertainty);
            plain.learn(took, uncertainty);
            prop_assert!(costs.first_ms(&load).is_finite());
            prop_assert!(costs.pace_ms(&load, f64::from(running)).is_finite());
            prop_assert!(plain.service_ms().is_finite() && plain.service_ms() > 0.0);
        }
        let mut responses = ResponseLengths::default();
        for (tokens, events) in lengths {
            responses.learn("r", tokens, events);
            let expected = responses.expected("r", tokens);
            prop_assert!(expected.is_none_or(f64::is_finite));
        }
    }
}
