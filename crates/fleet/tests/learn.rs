//! What is learned of engines, plain services, answers and distances.

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

/// Answers after which an estimate must hold.
const LEARNING: usize = 50;
/// Error that is allowed then, in the median of many requests.
const ALLOWED: f64 = 0.1;

/// An engine: a step reads prompts and makes one token for each request.
#[derive(Clone, Copy, Debug)]
struct EngineCase {
    name: &'static str,
    /// Prompt tokens read in a millisecond.
    read_rate: f64,
    /// Milliseconds of a step without any request, and for each request.
    step_ms: f64,
    step_ms_each: f64,
    batch: u32,
    /// Largest deviation of one answer, as a factor.
    noise: f64,
}

impl EngineCase {
    fn first_ms(&self, load: &EngineLoad) -> f64 {
        let step = self.step_ms + self.step_ms_each * f64::from(load.running);
        let tokens = load.own as f64 + 0.8 * load.ahead as f64 + 0.3 * load.behind as f64;
        10.0 + 3.0 * step + tokens / self.read_rate
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

    /// Median error of predictions, relative to the truth.
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
    name: "in the middle",
    read_rate: 57.0,
    step_ms: 4.0,
    step_ms_each: 0.09,
    batch: 64,
    noise: 1.3,
};

const ENGINES: &[EngineCase] = &[
    USUAL,
    EngineCase {
        name: "slow reader",
        read_rate: 20.0,
        step_ms: 12.0,
        ..USUAL
    },
    EngineCase {
        name: "fast reader, large batch",
        read_rate: 200.0,
        step_ms: 2.0,
        batch: 256,
        ..USUAL
    },
    EngineCase {
        name: "small batch",
        read_rate: 112.0,
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
fn engines_are_known_after_fifty_answers() {
    for case in ENGINES {
        for seed in 0..5 {
            let mut rng = StdRng::seed_from_u64(seed);
            let mut costs = EngineCosts::default();
            for _ in 0..LEARNING {
                case.observe(&mut rng, &mut costs, 1.0);
            }
            let error = case.error(&mut rng, &costs);
            assert!(error < ALLOWED, "{}, seed {seed}: {error:.3}", case.name);
        }
    }
}

#[test]
fn a_change_of_the_engine_is_followed() {
    for (before, after) in [(1.0, 2.5), (1.0, 0.4)] {
        for seed in 0..5 {
            let mut rng = StdRng::seed_from_u64(seed);
            let mut costs = EngineCosts::default();
            for _ in 0..500 {
                USUAL.observe(&mut rng, &mut costs, before);
            }
            let changed = EngineCase {
                read_rate: USUAL.read_rate / after,
                step_ms: USUAL.step_ms * after,
                ..USUAL
            };
            for _ in 0..3 * LEARNING {
                changed.observe(&mut rng, &mut costs, 1.0);
            }
            let error = changed.error(&mut rng, &costs);
            assert!(
                error < 2.0 * ALLOWED,
                "{after} times, seed {seed}: {error:.3}"
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
        deadline: at(u64::MAX / 2000),
        events: None,
        homes: HomeRegions::Any,
    }
}

/// Sends one request to each server in turn; each takes `factor` of what it should.
fn play(view: &mut FleetView, servers: &[(ServerId, f64)], rounds: u64) {
    let mut rng = StdRng::seed_from_u64(7);
    for round in 0..rounds {
        for (index, (server, factor)) in servers.iter().enumerate() {
            let id = round * servers.len() as u64 + index as u64;
            let now = id * 1000;
            let input = rng.random_range(100..10_000);
            let took = (40.0 + input as f64 / 30.0) * factor;
            view.start_attempt(at(now), *server, id, &needs(id, input));
            let end = Moment::from_duration(Duration::from_secs_f64((now as f64 + took) / 1e3));
            view.note_answer(end, *server, id);
            view.end_attempt(end, *server, id, AttemptResult::Succeeded, None);
        }
    }
}

#[test]
fn slow_servers_are_known_and_do_not_slow_the_picture_of_others() {
    let mut view = view();
    let servers: Vec<(ServerId, f64)> = (0..10)
        .map(|i| {
            let factor = if i < 3 { 5.0 } else { 1.0 };
            (add_server(&mut view, &format!("s{i}"), 64), factor)
        })
        .collect();
    play(&mut view, &servers, 20);
    let fresh = needs(u64::MAX, 6000);
    for (server, factor) in servers {
        let predicted = view
            .predict_first(at(1_000_000_000), server, &fresh)
            .as_secs_f64()
            * 1e3;
        let truth = (40.0 + 6000.0 / 30.0) * factor;
        let ratio = predicted / truth;
        assert!(
            (0.75..1.33).contains(&ratio),
            "factor {factor}: {predicted:.0} of {truth:.0} ms"
        );
    }
}

#[test]
fn without_learning_the_prior_stands() {
    let mut view = view();
    let server = add_server(&mut view, "s", 64);
    let before = view.predict_first(at(0), server, &needs(1, 5000));
    let off = DecisionSwitches::new("expected".parse().unwrap(), [DecisionSwitch::LearnedCosts]);
    view.set_switches(off);
    // What is learned of the one server is its slowness; of the service, nothing.
    play(&mut view, &[(server, 5.0)], 20);
    assert_eq!(view.cost_reports(CostView::Own).count(), 0);
    assert!(
        view.prefill_time(&"svc".parse().unwrap(), 1000) == Duration::from_millis(20),
        "{before:?}"
    );
}

#[test]
fn a_fresh_vm_takes_what_others_have_learned() {
    let mut learned = view();
    let server = add_server(&mut learned, "s", 64);
    play(&mut learned, &[(server, 1.0)], 100);
    let (service, report) = learned.cost_reports(CostView::Own).next().unwrap();
    let mut fresh = view();
    let server = add_server(&mut fresh, "s", 64);
    assert!(!fresh.receive_costs(
        at(0),
        &"vm1".parse().unwrap(),
        CostSource::Member,
        service,
        report
    ));
    let predicted = fresh
        .predict_first(at(0), server, &needs(1, 6000))
        .as_secs_f64()
        * 1e3;
    assert!(
        (predicted / 240.0 - 1.0).abs() < ALLOWED,
        "{predicted:.0} of 240 ms"
    );
}

struct ReportCase {
    name: &'static str,
    report: CostReport,
    absurd: bool,
}

#[test]
fn absurd_reports_are_bounded() {
    let usual = CostReport {
        vms: 1,
        first: [40.0, 20.0, 12.0, 5.0, 4.0],
        first_samples: 100,
        pace: [40.0, 8.0, 8.0],
        pace_samples: 100,
        plain_ms: 20.0,
        plain_samples: 100,
    };
    let cases = [
        ReportCase {
            name: "usual",
            report: usual,
            absurd: false,
        },
        ReportCase {
            name: "no number",
            report: CostReport {
                first: [f64::NAN; 5],
                ..usual
            },
            absurd: true,
        },
        ReportCase {
            name: "negative",
            report: CostReport {
                pace: [-1.0, 8.0, 8.0],
                ..usual
            },
            absurd: true,
        },
        ReportCase {
            name: "endless",
            report: CostReport {
                plain_ms: f64::INFINITY,
                ..usual
            },
            absurd: true,
        },
        ReportCase {
            name: "nothing costs anything",
            report: CostReport {
                first: [0.0; 5],
                plain_ms: 0.0,
                ..usual
            },
            absurd: true,
        },
    ];
    let load = EngineLoad {
        own: 1000,
        ..EngineLoad::default()
    };
    for case in cases {
        let mut costs = ServiceCosts::default();
        let absurd = costs.hear(
            at(0),
            &"vm1".parse().unwrap(),
            CostSource::Member,
            case.report,
        );
        assert_eq!(absurd, case.absurd, "{}", case.name);
        for ms in [costs.first_ms(&load), costs.plain_ms(), costs.read_ms(1000)] {
            assert!(ms.is_finite() && ms > 0.0, "{}: {ms}", case.name);
        }
    }
}

#[test]
fn a_prefix_is_kept_for_as_long_as_memory_lasts() {
    struct LifeCase {
        name: &'static str,
        /// Requests of 10,000 fresh tokens that follow, one each 100 ms, to a server
        /// whose memory holds 100 of them.
        following: u64,
        /// Tokens a second that another VM tells of.
        told: u64,
        unread: u64,
    }
    let cases = [
        LifeCase {
            name: "nothing follows",
            following: 0,
            told: 0,
            unread: 0,
        },
        LifeCase {
            name: "less follows than memory holds",
            following: 90,
            told: 0,
            unread: 0,
        },
        LifeCase {
            name: "more follows than memory holds",
            following: 110,
            told: 0,
            unread: 5000,
        },
        LifeCase {
            name: "another VM fills it",
            following: 60,
            told: 100_000,
            unread: 5000,
        },
    ];
    for case in cases {
        let mut view = view();
        let server = add_server(&mut view, "s", 64);
        let first = needs(u64::MAX, 5000);
        let told = WorkShare {
            flow: case.told,
            ..WorkShare::default()
        };
        view.server_mut(server).set_others(at(0), told);
        for number in 0..=case.following {
            let now = at(number * 100);
            let call = if number == 0 {
                first.clone()
            } else {
                needs(number, 10_000)
            };
            view.start_attempt(now, server, number, &call);
            view.note_answer(now, server, number);
            view.end_attempt(now, server, number, AttemptResult::Succeeded, None);
        }
        let now = at(case.following * 100);
        let unread = view.server(server).prefill_tokens(now, &first.prompt);
        assert_eq!(unread, case.unread, "{}", case.name);
    }
}

#[test]
fn dials_wait_for_a_round_trip_and_longer_each_time() {
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
            name: "unknown, twice in vain",
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
            name: "far, in vain for long",
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
    /// Whatever is observed, estimates are numbers, and nothing divides by nothing.
    #[test]
    fn estimates_stay_sound(
        seen in prop::collection::vec(
            (0_u64..u64::MAX, 0_u64..u64::MAX, any::<u32>(), 0_u64..10_000_000, 0.0_f64..100.0),
            0..200,
        ),
        lengths in prop::collection::vec((0_u64..1_000_000, any::<u32>()), 0..50),
    ) {
        let mut costs = EngineCosts::default();
        let mut plain = PlainCosts::default();
        for (own, ahead, running, took, doubt) in seen {
            let load = EngineLoad { own: own >> 20, ahead: ahead >> 20, behind: 0, running };
            let took = Duration::from_micros(took);
            costs.learn_first(&load, took, doubt);
            costs.learn_rest(&load, took, f64::from(running), doubt);
            plain.learn(took, doubt);
            prop_assert!(costs.first_ms(&load).is_finite());
            prop_assert!(costs.pace_ms(&load, f64::from(running)).is_finite());
            prop_assert!(plain.service_ms().is_finite() && plain.service_ms() > 0.0);
        }
        let mut answers = ResponseLengths::default();
        for (tokens, events) in lengths {
            answers.learn("r", tokens, events);
            let expected = answers.expected("r", tokens);
            prop_assert!(expected.is_none_or(f64::is_finite));
        }
    }
}
