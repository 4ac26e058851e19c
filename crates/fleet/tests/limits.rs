//! The rate that a server in need takes is shared by the VMs of its region without asking.

mod support;

use std::time::Duration;

use onyxfall_fleet::{AttemptResult, FleetView, LimitReports, LimitSignal, LocalOption, WorkShare};
use onyxfall_policy::Moment;
use onyxfall_types::{RequestRate, ServerId, VmName};
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;
use support::{at, needs, place, ready_server};

const WINDOW_MS: u64 = 4000;
/// Requests in a window that are allowed beside one and a half times the limit.
const SLACK: f64 = 5.0;
const STEP_MS: u64 = 25;
const HOUR_MS: u64 = 3_600_000;
/// Time for which a limit holds that no later answer has named or ended.
const NAMED_LIFE_MS: u64 = 12_000;

fn vm(number: usize) -> VmName {
    format!("vm{number}").parse().unwrap()
}

fn rate(per_second: f64) -> LimitSignal {
    LimitSignal::Rate(RequestRate::new(per_second).unwrap())
}

fn told(vms: u32, thousandths: u64) -> WorkShare {
    WorkShare {
        limits: LimitReports { vms, thousandths },
        ..WorkShare::default()
    }
}

/// A VM of a region of several, with one server.
fn view_of(own: usize, others: &[usize]) -> FleetView {
    let mut view = FleetView::new(place(&format!("vm{own}"), &[("c0", "r0")]));
    view.put_server(at(0), ready_server("s"), None);
    view.set_region_vms(others.iter().map(|other| vm(*other)).collect());
    view.set_alone(others.is_empty());
    view
}

fn server_of(view: &FleetView) -> ServerId {
    view.find("s").unwrap()
}

fn choose(view: &mut FleetView, now: Moment) -> LocalOption {
    view.choose(now, &needs(), &[], &mut StdRng::seed_from_u64(1))
}

/// Sends where the VM may, and takes the answer at once.
fn try_send(view: &mut FleetView, now: Moment, attempt: u64, word: LimitSignal) -> bool {
    let LocalOption::Free(choice) = choose(view, now) else {
        return false;
    };
    view.start_attempt(now, choice.server, attempt, &needs());
    view.apply_limit(now, choice.server, word, Some(now));
    view.end_attempt(now, choice.server, attempt, AttemptResult::Succeeded, None);
    true
}

/// Moments at which VMs send that always have something to send.
fn arrivals(views: &mut [FleetView], word: LimitSignal, from_ms: u64, to_ms: u64) -> Vec<u64> {
    let mut arrivals = Vec::new();
    for ms in (from_ms..to_ms).step_by(usize::try_from(STEP_MS).unwrap()) {
        for view in &mut *views {
            if try_send(view, at(ms), ms, word) {
                arrivals.push(ms);
            }
        }
    }
    arrivals
}

fn busiest_window(arrivals: &[u64]) -> usize {
    let within = |first: &u64| {
        let window = *first..*first + WINDOW_MS;
        arrivals.iter().filter(|ms| window.contains(ms)).count()
    };
    arrivals.iter().map(within).max().unwrap_or_default()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(32))]

    /// VMs that all want to send keep the limit, also where some do not see one of the
    /// others, and use most of it.
    #[test]
    fn a_limit_is_kept_and_used(
        limit in 0.0_f64..12.0,
        vms in 1_usize..40,
        hidden in 0_usize..40,
        blind in 0_usize..40,
    ) {
        let mut views: Vec<FleetView> = (0..vms)
            .map(|own| {
                let sees = |other: &usize| *other != own && (own != blind || *other != hidden);
                view_of(own, &(0..vms).filter(sees).collect::<Vec<_>>())
            })
            .collect();
        for view in &mut views {
            let server = server_of(view);
            view.apply_limit(at(0), server, rate(limit), Some(at(0)));
        }
        let arrivals = arrivals(&mut views, rate(limit), 0, 10_000);
        let most = busiest_window(&arrivals);
        let window_s = Duration::from_millis(WINDOW_MS).as_secs_f64();
        let allowed = 1.5 * window_s * limit + SLACK;
        prop_assert!(most as f64 <= allowed, "{most} of {allowed}");
        prop_assert!(arrivals.len() as f64 >= (0.8 * limit * 10.0).floor());
    }
}

/// What a VM hears of a limit, in this order.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// An answer to a request that was sent at the first moment, read at the second.
    Answer(u64, u64, LimitSignal),
    /// An answer that is another request's.
    Stray(u64, LimitSignal),
    /// What the other VMs have read: VMs, and thousandths of a request a second.
    Told(u64, u32, u64),
}

struct BeliefCase {
    name: &'static str,
    steps: Vec<Step>,
    /// Limits in force, by moment.
    limits: Vec<(u64, Option<f64>)>,
}

#[test]
fn a_limit_holds_until_a_later_answer_names_none() {
    use Step::{Answer, Stray, Told};
    let none = LimitSignal::None;
    let cases = [
        BeliefCase {
            name: "named and no longer named",
            steps: vec![Answer(0, 100, rate(2.0)), Answer(200, 300, none)],
            limits: vec![(300, None)],
        },
        BeliefCase {
            name: "an older answer overtaken by the one that names it",
            steps: vec![Answer(50, 100, rate(2.0)), Answer(0, 110, none)],
            limits: vec![(110, Some(2.0)), (5000, Some(2.0))],
        },
        BeliefCase {
            name: "an answer of another request",
            steps: vec![Answer(0, 100, rate(2.0)), Stray(300, none)],
            limits: vec![(300, Some(2.0))],
        },
        BeliefCase {
            name: "a malformed word",
            steps: vec![
                Answer(0, 100, rate(2.0)),
                Answer(200, 300, LimitSignal::Malformed),
            ],
            limits: vec![(300, Some(2.0))],
        },
        BeliefCase {
            name: "another rate",
            steps: vec![Answer(0, 100, rate(2.0)), Answer(0, 200, rate(4.0))],
            limits: vec![(200, Some(4.0))],
        },
        BeliefCase {
            name: "never heard again",
            steps: vec![Answer(0, 0, rate(2.0))],
            limits: vec![(NAMED_LIFE_MS - 1, Some(2.0)), (NAMED_LIFE_MS, None)],
        },
        BeliefCase {
            name: "told by others only",
            steps: vec![Told(0, 2, 5000)],
            limits: vec![(0, Some(2.5)), (HOUR_MS, Some(2.5))],
        },
        BeliefCase {
            name: "told by others until they know better",
            steps: vec![Told(0, 2, 5000), Told(100, 0, 0)],
            limits: vec![(100, None)],
        },
        BeliefCase {
            name: "an own answer counts more than what others told",
            steps: vec![Told(0, 1, 2000), Answer(100, 200, none)],
            limits: vec![(200, None), (2300, Some(2.0))],
        },
    ];
    for case in &cases {
        let mut view = view_of(0, &[1]);
        let server = server_of(&view);
        for step in &case.steps {
            match *step {
                Answer(sent, read, word) => {
                    view.apply_limit(at(read), server, word, Some(at(sent)))
                }
                Stray(read, word) => view.apply_limit(at(read), server, word, None),
                Told(ms, vms, thousandths) => {
                    view.server_mut(server)
                        .set_others(at(ms), told(vms, thousandths));
                }
            }
        }
        for (ms, expected) in &case.limits {
            let limit = view.server(server).limit(at(*ms));
            let limit = limit.map(RequestRate::per_second);
            assert_eq!(limit, *expected, "{}, at {ms} ms", case.name);
        }
    }
}

/// Belief that others told is not told on: it would never end.
#[test]
fn only_what_a_vm_has_read_itself_is_told() {
    let mut view = view_of(0, &[1]);
    let server = server_of(&view);
    view.server_mut(server).set_others(at(0), told(3, 6000));
    let own = view.server(server).own_work(at(0)).limits;
    assert_eq!(own, LimitReports::default());
    view.apply_limit(at(0), server, rate(1.5), Some(at(0)));
    let own = view.server(server).own_work(at(0)).limits;
    assert_eq!(own, told(1, 1500).limits);
}

#[test]
fn where_every_server_has_a_limit_the_next_turn_is_told() {
    let mut view = view_of(0, &[]);
    assert!(try_send(&mut view, at(0), 1, rate(2.0)));
    assert_eq!(choose(&mut view, at(100)), LocalOption::BackedOff(at(500)));
    let alone = view.choose_alone(at(100), &needs(), &[]);
    assert_eq!(alone, LocalOption::BackedOff(at(500)));
    assert_eq!(view.free_servers(at(100), &needs()).count(), 0);
    assert!(matches!(choose(&mut view, at(500)), LocalOption::Free(_)));
}

/// A VM that is no sender learns the end from the others.
#[test]
fn every_vm_uses_the_server_again_after_its_limit() {
    const VMS: usize = 12;
    let all = 0..VMS;
    for own in all.clone() {
        let others: Vec<usize> = all.clone().filter(|other| *other != own).collect();
        let mut view = view_of(own, &others);
        let server = server_of(&view);
        view.server_mut(server).set_others(at(0), told(3, 3000));
        view.server_mut(server)
            .set_others(at(100), WorkShare::default());
        assert!(
            matches!(choose(&mut view, at(100)), LocalOption::Free(_)),
            "vm{own}"
        );
    }
}
