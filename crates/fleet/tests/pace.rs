//! The pace that servers state: who uses which figure for how long, predictions and learning,
//! and the share of the work that slow servers get from many VMs, in virtual time.

mod support;

use std::collections::VecDeque;
use std::time::Duration;

use onyxfall_fleet::{
    AttemptResult, CallRequirements, CostSource, CostView, EngineLimits, FleetView, LocalOption,
    PaceReports, PaceSignal, PromptSize, ServerPace, ServerRecord, StartTime, WorkShare,
};
use onyxfall_policy::Moment;
use onyxfall_types::{ServerId, ServiceName};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use support::{at, needs, place, ready_server};

/// Lifetime of a VM's report.
const REPORT_TTL_MS: u64 = 400;
/// Time for which a figure of this VM takes precedence over the mean.
const OWN_TTL_MS: u64 = 100;
const USUAL: u32 = 100;

fn percent(percent: u32) -> PaceSignal {
    PaceSignal::Percent(ServerPace::new(percent).unwrap())
}

fn reported(vms: u32, percent: u64) -> WorkShare {
    WorkShare {
        paces: PaceReports { vms, percent },
        ..WorkShare::default()
    }
}

fn record(name: &str, started_at: u64) -> ServerRecord {
    ServerRecord {
        started_at: StartTime::from_millis(started_at),
        ..ready_server(name)
    }
}

/// View of a VM with one server.
fn view() -> (FleetView, ServerId) {
    let mut view = FleetView::new(place("vm0", &[("c0", "r0")]));
    view.put_server(at(0), record("s", 1), None);
    let id = view.find("s").unwrap();
    (view, id)
}

/// Request of `input` prompt tokens to a model server.
fn prompt_of(input: u64) -> CallRequirements {
    CallRequirements {
        engine: Some(EngineLimits {
            slots: 64,
            memory_tokens: 500_000,
            token_bytes: 1,
            keeps_backups: false,
        }),
        prompt: PromptSize {
            input,
            output: 100,
            ..PromptSize::default()
        },
        goal: Duration::from_secs(1),
        events: Some(50.0),
        ..needs()
    }
}

/// Information about a pace that a VM receives.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A response read at a time.
    Response(u64, PaceSignal),
    /// Reports of other VMs: number of VMs, and the sum of their figures.
    Reported(u64, u32, u64),
}

struct PaceCase {
    name: &'static str,
    steps: Vec<Step>,
    /// Paces by milliseconds since the start.
    paces: Vec<(u64, u32)>,
}

/// Guards against a figure that outlives its spell, and against a VM that ignores the figures
/// of the others.
#[test]
fn the_freshest_figure_applies() {
    use Step::{Reported, Response};
    let cases = [
        PaceCase {
            name: "nothing stated",
            steps: vec![Response(0, PaceSignal::None)],
            paces: vec![(0, USUAL), (1000, USUAL)],
        },
        PaceCase {
            name: "own figure, without others",
            steps: vec![Response(0, percent(400))],
            paces: vec![
                (0, 400),
                (OWN_TTL_MS, 400),
                (REPORT_TTL_MS - 1, 400),
                (REPORT_TTL_MS, USUAL),
            ],
        },
        PaceCase {
            name: "own figure first, then the mean that includes it",
            steps: vec![Response(0, percent(400)), Reported(0, 3, 300)],
            paces: vec![
                (OWN_TTL_MS - 1, 400),
                (OWN_TTL_MS, 175),
                (REPORT_TTL_MS - 1, 175),
                (REPORT_TTL_MS, 100),
            ],
        },
        PaceCase {
            name: "others only",
            steps: vec![Reported(0, 2, 500)],
            paces: vec![(0, 250), (1000, 250)],
        },
        PaceCase {
            name: "others until their reports have left the sum",
            steps: vec![Reported(0, 2, 800), Reported(450, 0, 0)],
            paces: vec![(450, USUAL)],
        },
        PaceCase {
            name: "the spell ends with the next response",
            steps: vec![Response(0, percent(400)), Response(50, percent(100))],
            paces: vec![(50, USUAL), (300, USUAL)],
        },
        PaceCase {
            name: "a response without a figure changes nothing",
            steps: vec![Response(0, percent(400)), Response(50, PaceSignal::None)],
            paces: vec![(50, 400), (REPORT_TTL_MS, USUAL)],
        },
        PaceCase {
            name: "after a malformed figure the pace is unknown",
            steps: vec![
                Response(0, percent(400)),
                Response(50, PaceSignal::Malformed),
            ],
            paces: vec![(50, USUAL)],
        },
        PaceCase {
            name: "a malformed figure is no report",
            steps: vec![Response(50, PaceSignal::Malformed), Reported(50, 1, 250)],
            paces: vec![(50, 250)],
        },
        PaceCase {
            name: "reports out of bounds",
            steps: vec![Reported(0, 1, u64::MAX)],
            paces: vec![(0, 10_000)],
        },
        PaceCase {
            name: "reports of zero",
            steps: vec![Reported(0, 4, 0)],
            paces: vec![(0, 10)],
        },
        PaceCase {
            name: "a sum without VMs",
            steps: vec![Reported(0, 0, 400)],
            paces: vec![(0, USUAL)],
        },
    ];
    for case in &cases {
        let (mut view, id) = view();
        for step in &case.steps {
            match *step {
                Step::Response(ms, signal) => {
                    view.apply_pace(at(ms), id, signal);
                }
                Step::Reported(ms, vms, sum) => {
                    view.server_mut(id).set_others(at(ms), reported(vms, sum));
                }
            }
        }
        for (ms, expected) in &case.paces {
            let pace = view.server(id).pace(at(*ms)).percent();
            assert_eq!(pace, *expected, "{}, at {ms} ms", case.name);
        }
    }
}

/// Guards against reports that circulate among VMs and never end, and against reports that
/// stay in the sums after they have expired.
#[test]
fn a_vm_reports_only_what_it_has_read_itself_and_only_while_it_is_fresh() {
    let (mut view, id) = view();
    view.server_mut(id).set_others(at(0), reported(3, 1200));
    assert_eq!(view.server(id).own_work(at(0)), WorkShare::default());
    view.apply_pace(at(0), id, percent(250));
    let last = at(REPORT_TTL_MS - 1);
    assert_eq!(view.server(id).own_work(last), reported(1, 250));
    let expired = view.server(id).own_work(at(REPORT_TTL_MS));
    assert_eq!(expired, WorkShare::default());
}

/// Guards against sums that drift when reports are replaced, and against overflow by absurd
/// figures of other VMs.
#[test]
fn reports_are_added_and_removed_with_the_work() {
    let sum = reported(2, 500).plus(reported(1, 100));
    assert_eq!(sum, reported(3, 600));
    assert_eq!(sum.without(reported(1, 100)), reported(2, 500));
    let most = reported(u32::MAX, u64::MAX);
    assert_eq!(most.plus(most), most);
    assert_eq!(reported(1, 100).without(most), WorkShare::default());
}

/// Guards against a server that is avoided after a restart for the pace of its former life.
#[test]
fn a_new_instance_starts_at_the_usual_pace() {
    let (mut view, former) = view();
    view.apply_pace(at(1000), former, percent(400));
    view.server_mut(former)
        .set_others(at(1000), reported(5, 2000));
    view.put_server(at(1010), record("s", 2), None);
    let later = view.find("s").unwrap();
    assert_ne!(later, former);
    assert_eq!(view.server(later).pace(at(1010)), ServerPace::USUAL);
    // A response of the former instance that arrives late.
    view.apply_pace(at(1020), former, percent(400));
    assert_eq!(view.server(later).pace(at(1020)), ServerPace::USUAL);
    assert_eq!(view.server(later).own_work(at(1020)), WorkShare::default());
}

/// Guards against a pace that is lost when the entry of a server expires and is written again.
#[test]
fn the_same_instance_keeps_its_pace() {
    let (mut view, before) = view();
    view.apply_pace(at(1000), before, percent(400));
    view.remove_server(at(1010), "s");
    view.put_server(at(1020), record("s", 1), None);
    let after = view.find("s").unwrap();
    assert_eq!(view.server(after).pace(at(1050)).percent(), 400);
    view.apply_pace(at(1060), before, percent(160));
    assert_eq!(view.server(after).pace(at(1060)).percent(), 160);
}

/// Learned weights of the first byte, intervals and plain requests.
fn learned(view: &FleetView) -> Vec<f64> {
    let service: ServiceName = "svc".parse().unwrap();
    let reports = view.cost_reports(CostView::Own);
    let report = reports
        .filter(|(name, _)| **name == service)
        .map(|(_, report)| report)
        .next();
    report.map_or(Vec::new(), |report| {
        let weights = report.first.into_iter().chain(report.event_interval);
        weights.chain([report.plain_ms]).collect()
    })
}

/// Figures and times of an attempt.
#[derive(Clone, Copy)]
struct Attempt {
    /// Figures read before the send, with the head and with the end.
    signals: [PaceSignal; 3],
    /// Times to the first byte and from there to the end, relative to the usual ones.
    factors: [f64; 2],
}

/// Usual time to the first byte and from there to the end, over ten intervals.
const FIRST: Duration = Duration::from_millis(100);
const REST: Duration = Duration::from_millis(400);

/// Runs attempts one after the other, each like the next one of `kinds`. Returns a time at
/// which all figures have expired.
fn run_attempts(view: &mut FleetView, needs: &CallRequirements, kinds: &[Attempt]) -> Moment {
    let id = view.find("s").unwrap();
    let mut now = at(1000);
    for (attempt, kind) in (0..200).zip(kinds.iter().cycle()) {
        now = now + Duration::from_secs(1);
        view.apply_pace(now, id, kind.signals[0]);
        view.start_attempt(now, id, attempt, needs);
        now = now + FIRST.mul_f64(kind.factors[0]);
        view.apply_pace(now, id, kind.signals[1]);
        view.record_response(now, id, attempt);
        now = now + REST.mul_f64(kind.factors[1]);
        view.apply_pace(now, id, kind.signals[2]);
        view.end_attempt(now, id, attempt, AttemptResult::Succeeded, Some(11));
    }
    now + Duration::from_secs(10)
}

/// Guards against changes for servers that state no pace, and against a usual pace that is
/// treated otherwise than none: predictions and learned costs must be the same to the bit.
#[test]
fn the_usual_pace_changes_nothing() {
    for needs in [needs(), prompt_of(3000)] {
        let outcomes = [PaceSignal::None, percent(USUAL)].map(|signal| {
            let (mut view, id) = view();
            let odd = Attempt {
                signals: [signal; 3],
                factors: [1.234_57, 0.913],
            };
            let even = Attempt {
                factors: [0.677, 1.377],
                ..odd
            };
            let now = run_attempts(&mut view, &needs, &[odd, even]);
            view.apply_pace(now, id, signal);
            (
                view.predict(now, id, &needs),
                view.predict_event_interval(now, id, &needs),
                learned(&view),
            )
        });
        assert_eq!(outcomes[0], outcomes[1]);
    }
}

/// Guards against a prediction of which a part ignores the pace.
#[test]
fn all_predicted_times_are_multiplied() {
    for needs in [needs(), prompt_of(3000)] {
        for (pace, factor) in [(400, 4.0), (60, 0.6), (10_000, 100.0)] {
            let (mut view, id) = view();
            let busy = WorkShare {
                requests: 9,
                prefill: onyxfall_fleet::PrefillTokens::of(0, 5000),
                ..WorkShare::default()
            };
            view.server_mut(id).set_others(at(0), busy);
            let now = at(10_000_000);
            let times = |view: &FleetView| {
                let predicted = view.predict(now, id, &needs);
                let interval = view.predict_event_interval(now, id, &needs);
                [
                    predicted.first,
                    predicted.loaded,
                    predicted.backlog,
                    predicted.whole,
                    interval,
                ]
            };
            let usual = times(&view);
            view.apply_pace(now, id, percent(pace));
            for (slow, usual) in times(&view).into_iter().zip(usual) {
                let expected = usual.mul_f64(factor);
                let error = slow.abs_diff(expected);
                assert!(
                    error < Duration::from_micros(1),
                    "{slow:?}, {expected:?} at {pace}"
                );
            }
        }
    }
}

struct LearnCase {
    name: &'static str,
    /// Figures read before the send, with the head and with the end.
    figures: [u32; 3],
    /// Times to the first byte and from there to the end, relative to the usual ones of the
    /// server, as far as the pace causes them.
    factors: [f64; 2],
    /// True slowness of the server.
    slowness: f64,
}

/// Guards against a spell of slow work that is learned as slowness of the server or as the cost
/// of the service, and against true slowness that is hidden by spells.
#[test]
fn a_spell_is_not_learned() {
    let case = |name, figures, factors| LearnCase {
        name,
        figures,
        factors,
        slowness: 1.0,
    };
    let slow = |name, figures, factors| LearnCase {
        slowness: 2.0,
        ..case(name, figures, factors)
    };
    let cases = [
        case("as usual", [100, 100, 100], [1.0, 1.0]),
        case("within a spell", [400, 400, 400], [4.0, 4.0]),
        case("within a fast spell", [60, 60, 60], [0.6, 0.6]),
        case("a spell begins at once", [100, 400, 400], [4.0, 4.0]),
        case("a spell begins half-way", [100, 400, 400], [2.5, 4.0]),
        case("a spell begins late", [100, 400, 400], [1.05, 4.0]),
        case("a spell ends at once", [400, 100, 100], [1.0, 1.0]),
        case("a spell ends half-way", [400, 100, 100], [2.5, 1.0]),
        case("a spell ends late", [400, 100, 100], [4.0, 1.0]),
        case("a spell ends in the stream", [400, 400, 100], [4.0, 2.0]),
        slow("slow as usual", [100, 100, 100], [1.0, 1.0]),
        slow("slow within a spell", [400, 400, 400], [4.0, 4.0]),
        slow("slow, and a spell begins", [100, 400, 400], [4.0, 4.0]),
        slow("slow, and a spell ends", [400, 100, 100], [2.5, 1.0]),
    ];
    let usual = Attempt {
        signals: [PaceSignal::None; 3],
        factors: [1.0; 2],
    };
    for case in cases {
        let (mut view, id) = view();
        let needs = prompt_of(3000);
        // The costs are learned first, so that the usual times are known.
        run_attempts(&mut view, &needs, &[usual]);
        let slowed = |factors: [f64; 2]| factors.map(|factor| factor * case.slowness);
        let within = Attempt {
            signals: case.figures.map(percent),
            factors: slowed(case.factors),
        };
        let outside = Attempt {
            factors: slowed(usual.factors),
            ..usual
        };
        // Nothing can be learned if the pace changes in every attempt, so that a change of the
        // slowness takes some others.
        let kinds = [within, outside];
        let kinds = if case.slowness > 1.0 {
            &kinds[..]
        } else {
            &kinds[..1]
        };
        let now = run_attempts(&mut view, &needs, kinds);
        let first = view.predict(now, id, &needs).first.as_secs_f64() / FIRST.as_secs_f64();
        let interval = view.predict_event_interval(now, id, &needs);
        let interval = interval.as_secs_f64() * 10.0 / REST.as_secs_f64();
        for (part, ratio) in [("first byte", first), ("interval", interval)] {
            let error = (ratio / case.slowness - 1.0).abs();
            assert!(error < 0.1, "{}: {part} at {ratio:.3}", case.name);
        }
    }
}

/// Guards against a test of learning that passes because nothing is learned.
#[test]
fn a_spell_that_is_not_stated_is_learned() {
    let (mut view, id) = view();
    let needs = prompt_of(3000);
    let attempt = |factor| Attempt {
        signals: [PaceSignal::None; 3],
        factors: [factor; 2],
    };
    run_attempts(&mut view, &needs, &[attempt(1.0)]);
    let now = run_attempts(&mut view, &needs, &[attempt(4.0)]);
    let ratio = view.predict(now, id, &needs).first.as_secs_f64() / FIRST.as_secs_f64();
    assert!((3.5..4.5).contains(&ratio), "{ratio:.3}");
}

/// Guards against a server that is taken for slow or unresponsive because a spell has begun
/// since a request was sent to it.
#[test]
fn a_spell_does_not_make_a_request_overdue() {
    for (signal, is_overdue) in [(PaceSignal::None, true), (percent(400), false)] {
        let (mut view, id) = view();
        let needs = prompt_of(3000);
        view.start_attempt(at(0), id, 1, &needs);
        let predicted = view.predict(at(0), id, &needs).first;
        let later = at(0) + predicted.mul_f64(4.5).max(Duration::from_millis(450));
        view.apply_pace(later, id, signal);
        let server = view.server(id);
        assert_eq!(server.slowness(later) > 1.0, is_overdue, "{signal:?}");
        assert_eq!(server.votes(later).bad > 0, is_overdue, "{signal:?}");
    }
}

const VMS: usize = 36;
const SERVERS: usize = 9;
const SLOW_SERVERS: usize = 3;
/// Start and end of the slow spell.
const SPELL_MS: (u64, u64) = (2000, 3000);
const RUN_MS: u64 = 4500;
/// Interval at which VMs receive each other's work.
const UPDATE_MS: u64 = 60;
/// Time after which the work of a VM that no longer reports leaves the sums.
const WORK_TTL_MS: u64 = 1300;
/// Interval at which VMs receive each other's learned costs.
const COSTS_MS: u64 = 500;
/// Prompt tokens that a server prefills in a millisecond at the usual pace.
const PREFILL_RATE: f64 = 60.0;
/// Time from the end of the prefill to the first byte, and from there to the end.
const FIXED_MS: f64 = 20.0;
const DECODE_MS: f64 = 100.0;
const TOKENS: std::ops::Range<u64> = 500..2500;

#[derive(Clone, Copy)]
struct Run {
    vm: usize,
    attempt: u64,
    sent: u64,
    /// Milliseconds left at the usual pace to the first byte, after the prefill, and from
    /// there to the end.
    first_left: f64,
    rest_left: f64,
}

/// Simulated model server: prefills prompts one after the other.
#[derive(Clone, Default)]
struct Engine {
    /// Prompts in order, with the tokens that are left.
    prompts: VecDeque<(f64, Run)>,
    /// Requests whose prompt is prefilled.
    running: Vec<Run>,
}

impl Engine {
    /// Runs for a millisecond in which work takes `factor` times as long as usual. Returns the
    /// requests that send their first byte and those that end.
    fn step(&mut self, factor: f64) -> (Vec<Run>, Vec<Run>) {
        let time = 1.0 / factor;
        let mut firsts = Vec::new();
        for run in &mut self.running {
            if run.first_left > 0.0 {
                run.first_left -= time;
                if run.first_left <= 0.0 {
                    firsts.push(*run);
                }
            } else {
                run.rest_left -= time;
            }
        }
        let (ended, running) = self.running.iter().partition(|run| run.rest_left <= 0.0);
        self.running = running;
        let mut tokens = PREFILL_RATE * time;
        while let Some((left, run)) = self.prompts.front_mut() {
            *left -= tokens;
            if *left > 0.0 {
                break;
            }
            tokens = -*left;
            self.running.push(*run);
            self.prompts.pop_front();
        }
        (firsts, ended)
    }
}

/// Requests sent in a span of time to slow and to other servers.
#[derive(Clone, Copy, Debug, Default)]
struct SentWork {
    slow: u32,
    usual: u32,
}

impl SentWork {
    fn plus(self, other: Self) -> Self {
        Self {
            slow: self.slow + other.slow,
            usual: self.usual + other.usual,
        }
    }

    /// Work of a slow server relative to that of another one.
    fn part(self) -> f64 {
        let others = (SERVERS - SLOW_SERVERS) as f64;
        f64::from(self.slow) / SLOW_SERVERS as f64 / (f64::from(self.usual) / others)
    }
}

struct Site {
    views: Vec<FleetView>,
    ids: Vec<ServerId>,
    engines: Vec<Engine>,
    /// Work of each VM at each server as the others last received it.
    received: Vec<Vec<WorkShare>>,
    /// Whether servers state their pace.
    states_pace: bool,
    sent: Vec<(u64, bool)>,
    /// Times from sending to the first byte, by the time of sending.
    firsts: Vec<(u64, u64)>,
    refused: u32,
}

impl Site {
    fn new(states_pace: bool) -> Self {
        let names: Vec<String> = (0..VMS).map(|vm| format!("vm{vm}")).collect();
        let views: Vec<FleetView> = (0..VMS)
            .map(|vm| {
                let mut view = FleetView::new(place(&names[vm], &[("c0", "r0")]));
                for server in 0..SERVERS {
                    view.put_server(at(0), record(&format!("s{server}"), 1), None);
                }
                let others = names.iter().filter(|name| **name != names[vm]);
                view.set_region_vms(others.map(|name| name.parse().unwrap()).collect());
                view.set_knowledge_age(Duration::from_millis(UPDATE_MS));
                view
            })
            .collect();
        let ids = (0..SERVERS)
            .map(|server| views[0].find(&format!("s{server}")).unwrap())
            .collect();
        Self {
            views,
            ids,
            engines: vec![Engine::default(); SERVERS],
            received: vec![vec![WorkShare::default(); SERVERS]; VMS],
            states_pace,
            sent: Vec::new(),
            firsts: Vec::new(),
            refused: 0,
        }
    }

    fn pace(server: usize, now: u64) -> ServerPace {
        let is_slow = server < SLOW_SERVERS && (SPELL_MS.0..SPELL_MS.1).contains(&now);
        ServerPace::new(if is_slow { 400 } else { USUAL }).unwrap()
    }

    /// Sends a request from a VM to the server that it chooses.
    fn send(&mut self, now: u64, vm: usize, attempt: u64, rng: &mut StdRng) {
        let needs = CallRequirements {
            events: None,
            ..prompt_of(rng.random_range(TOKENS))
        };
        let view = &mut self.views[vm];
        let LocalOption::Free(choice) = view.choose(at(now), &needs, &[], rng) else {
            self.refused += 1;
            return;
        };
        view.start_attempt(at(now), choice.server, attempt, &needs);
        let server = self.ids.iter().position(|id| *id == choice.server).unwrap();
        self.sent.push((now, server < SLOW_SERVERS));
        let run = Run {
            vm,
            attempt,
            sent: now,
            first_left: FIXED_MS,
            rest_left: DECODE_MS,
        };
        let engine = &mut self.engines[server];
        engine.prompts.push_back((needs.prompt.input as f64, run));
    }

    /// Runs the servers for a millisecond and delivers their responses.
    fn respond(&mut self, now: u64) {
        for server in 0..SERVERS {
            let id = self.ids[server];
            let pace = Self::pace(server, now);
            let (firsts, ended) = self.engines[server].step(pace.factor());
            for run in firsts {
                let view = &mut self.views[run.vm];
                if self.states_pace {
                    view.apply_pace(at(now), id, PaceSignal::Percent(pace));
                }
                view.record_response(at(now), id, run.attempt);
                self.firsts.push((run.sent, now - run.sent));
            }
            for run in ended {
                let view = &mut self.views[run.vm];
                view.end_attempt(at(now), id, run.attempt, AttemptResult::Succeeded, None);
            }
        }
    }

    /// Exchanges the work of all VMs. Those in `silent` no longer report; their last work
    /// stays in the sums.
    fn exchange(&mut self, now: u64, silent: &[usize]) {
        for (vm, view) in self.views.iter().enumerate() {
            if silent.contains(&vm) {
                continue;
            }
            for (server, id) in self.ids.iter().enumerate() {
                self.received[vm][server] = view.server(*id).own_work(at(now));
            }
        }
        for (server, id) in self.ids.iter().enumerate() {
            let shares = self.received.iter().map(|shares| shares[server]);
            let all = shares.fold(WorkShare::default(), WorkShare::plus);
            for (vm, view) in self.views.iter_mut().enumerate() {
                let others = all.without(self.received[vm][server]);
                view.server_mut(*id).set_others(at(now), others);
            }
        }
    }

    /// Exchanges the learned costs of all VMs.
    fn share_costs(&mut self, now: u64) {
        let mut reports = Vec::new();
        for view in &self.views {
            let vm = view.place().vm.clone();
            let own = view.cost_reports(CostView::Own);
            reports.extend(own.map(|(service, report)| (vm.clone(), service.clone(), report)));
        }
        for view in &mut self.views {
            let own = view.place().vm.clone();
            for (vm, service, report) in reports.iter().filter(|(vm, _, _)| *vm != own) {
                view.receive_costs(at(now), vm, CostSource::Member, service, *report);
            }
        }
    }

    fn run(mut self, seed: u64, rate: f64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut attempt = 0;
        for now in 0..RUN_MS {
            self.respond(now);
            if now % UPDATE_MS == 0 {
                self.exchange(now, &[]);
            }
            if now % COSTS_MS == 0 {
                self.share_costs(now);
            }
            if rng.random_bool(rate / 1000.0) {
                attempt += 1;
                let vm = rng.random_range(0..VMS);
                self.send(now, vm, attempt, &mut rng);
            }
        }
        self
    }

    fn sent_in(&self, span: (u64, u64)) -> SentWork {
        let mut work = SentWork::default();
        for (at, is_slow) in &self.sent {
            if (span.0..span.1).contains(at) {
                work.slow += u32::from(*is_slow);
                work.usual += u32::from(!is_slow);
            }
        }
        work
    }

    /// Requests of a thousand sent in a span whose first byte takes longer than `limit`.
    fn late_in(&self, span: (u64, u64), limit: u64) -> usize {
        let firsts = self.firsts.iter();
        let times: Vec<u64> = firsts
            .filter(|(at, _)| (span.0..span.1).contains(at))
            .map(|(_, took)| *took)
            .collect();
        let late = times.iter().filter(|took| **took > limit).count();
        late * 1000 / times.len().max(1)
    }
}

struct SpanCase {
    name: &'static str,
    span: (u64, u64),
    /// Range of the work of a slow server relative to that of another one.
    part: (f64, f64),
}

struct LoadCase {
    name: &'static str,
    /// Requests a second of all VMs.
    rate: f64,
}

/// Guards against dozens of VMs that keep sending to servers in a slow spell, or that avoid
/// them after it. Slow servers get somewhat less than a quarter of the work of the others:
/// they first work off what they received before the VMs knew, and a server without work is
/// chosen only if the queues of the others are longer than its own prefill takes.
#[test]
fn slow_servers_get_their_part_of_the_work() {
    const SEEDS: u64 = 6;
    /// Time to the first byte above which a request counts as late.
    const LATE_MS: u64 = 300;
    let (start, end) = SPELL_MS;
    let spans = [
        SpanCase {
            name: "before the spell",
            span: (start - 1000, start),
            part: (0.9, 1.1),
        },
        SpanCase {
            name: "0.3 s after its start",
            span: (start + 300, end),
            part: (0.12, 0.27),
        },
        SpanCase {
            name: "0.5 s after its end",
            span: (end + 500, end + 1500),
            part: (0.88, 1.12),
        },
    ];
    let loads = [
        LoadCase {
            name: "56 % of what the servers can prefill in the spell",
            rate: 150.0,
        },
        LoadCase {
            name: "85 %",
            rate: 230.0,
        },
        LoadCase {
            name: "107 %",
            rate: 290.0,
        },
    ];
    for load in loads {
        let run = |states_pace| -> Vec<Site> {
            (0..SEEDS)
                .map(|seed| Site::new(states_pace).run(seed, load.rate))
                .collect()
        };
        let (stated, silent) = (run(true), run(false));
        let part = |sites: &[Site], span| {
            let sent = sites.iter().map(|site| site.sent_in(span));
            sent.fold(SentWork::default(), SentWork::plus).part()
        };
        for case in &spans {
            let (with, without) = (part(&stated, case.span), part(&silent, case.span));
            println!(
                "{}, {}: {with:.3}, unstated {without:.3}",
                load.name, case.name
            );
            let (least, most) = case.part;
            let is_expected = (least..=most).contains(&with);
            assert!(is_expected, "{}, {}: {with:.3}", load.name, case.name);
        }
        let late = |sites: &[Site]| -> usize {
            let late = sites.iter().map(|site| site.late_in(SPELL_MS, LATE_MS));
            late.sum::<usize>() / sites.len()
        };
        let (with, without) = (late(&stated), late(&silent));
        println!("{}: {with} of 1000 late, unstated {without}", load.name);
        assert!(with < without, "{}: {with} late, {without}", load.name);
    }
}

struct DeadCase {
    name: &'static str,
    /// VMs that read the usual pace when VM 0 dies.
    live: usize,
    /// Pace at another VM by milliseconds since the death.
    paces: Vec<(u64, u32)>,
}

/// Guards against the last figure of a dead VM that makes a server seem slow for good, or that
/// outweighs what others read.
#[test]
fn the_figure_of_a_dead_vm_leaves_the_mean() {
    let cases = [
        DeadCase {
            name: "no other VM has read a figure",
            live: 0,
            paces: vec![(60, 400), (1260, 400), (1320, 100)],
        },
        DeadCase {
            name: "three other VMs have",
            live: 3,
            paces: vec![(60, 175), (360, 175), (420, 400), (1320, 100)],
        },
    ];
    for case in cases {
        let mut site = Site::new(true);
        let id = site.ids[0];
        site.views[0].apply_pace(at(0), id, percent(400));
        for view in &mut site.views[1..=case.live] {
            view.apply_pace(at(0), id, percent(USUAL));
        }
        site.exchange(0, &[]);
        for now in (UPDATE_MS..=WORK_TTL_MS + UPDATE_MS).step_by(60) {
            if now >= WORK_TTL_MS {
                site.received[0] = vec![WorkShare::default(); SERVERS];
            }
            site.exchange(now, &[0]);
            let expected = case.paces.iter().find(|(ms, _)| *ms == now);
            if let Some((ms, expected)) = expected {
                let pace = site.views[VMS - 1].server(id).pace(at(now)).percent();
                assert_eq!(pace, *expected, "{}, at {ms} ms", case.name);
            }
        }
    }
    // A figure of its own overrides that of a dead VM at once.
    let mut site = Site::new(true);
    let id = site.ids[0];
    site.views[0].apply_pace(at(0), id, percent(400));
    site.exchange(0, &[]);
    let other = &mut site.views[1];
    other.apply_pace(at(300), id, percent(USUAL));
    assert_eq!(other.server(id).pace(at(300)), ServerPace::USUAL);
}
