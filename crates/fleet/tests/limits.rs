//! The rate limit of an overloaded server is shared by the VMs of its region without
//! coordination.

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
/// Requests in a window that are allowed in addition to 1.5 times the limit.
const SLACK: f64 = 5.0;
const STEP_MS: u64 = 25;
const HOUR_MS: u64 = 3_600_000;
/// Lifetime of a limit that no later response has confirmed or ended.
const LIMIT_TTL_MS: u64 = 12_000;

fn vm(number: usize) -> VmName {
    format!("vm{number}").parse().unwrap()
}

fn rate(per_second: f64) -> LimitSignal {
    LimitSignal::Rate(RequestRate::new(per_second).unwrap())
}

fn reported(vms: u32, thousandths: u64) -> WorkShare {
    WorkShare {
        limits: LimitReports { vms, thousandths },
        ..WorkShare::default()
    }
}

/// View of VM `own` in a region with the VMs `others` and one server.
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

/// Sends an attempt if the VM may, and applies the response at once.
fn try_send(view: &mut FleetView, now: Moment, attempt: u64, signal: LimitSignal) -> bool {
    let LocalOption::Free(choice) = choose(view, now) else {
        return false;
    };
    view.start_attempt(now, choice.server, attempt, &needs());
    view.apply_limit(now, choice.server, signal, Some(now));
    view.end_attempt(now, choice.server, attempt, AttemptResult::Succeeded, None);
    true
}

/// Times at which VMs send that always have requests to send.
fn arrivals(views: &mut [FleetView], signal: LimitSignal, from_ms: u64, to_ms: u64) -> Vec<u64> {
    let mut arrivals = Vec::new();
    for ms in (from_ms..to_ms).step_by(usize::try_from(STEP_MS).unwrap()) {
        for view in &mut *views {
            if try_send(view, at(ms), ms, signal) {
                arrivals.push(ms);
            }
        }
    }
    arrivals
}

/// Most arrivals in a window.
fn busiest_window(arrivals: &[u64]) -> usize {
    let within = |first: &u64| {
        let window = *first..*first + WINDOW_MS;
        arrivals.iter().filter(|ms| window.contains(ms)).count()
    };
    arrivals.iter().map(within).max().unwrap_or_default()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(32))]

    /// VMs that always have requests stay within the limit and use most of it, even if one of
    /// them does not see one of the others.
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

/// Information about a limit that a VM receives.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A response to a request that was sent at the first time and read at the second.
    Response(u64, u64, LimitSignal),
    /// A response that belongs to another request.
    Stray(u64, LimitSignal),
    /// Reports of other VMs: number of VMs, and thousandths of a request a second.
    Reported(u64, u32, u64),
}

struct LimitCase {
    name: &'static str,
    steps: Vec<Step>,
    /// Limits in force, by milliseconds since the start.
    limits: Vec<(u64, Option<f64>)>,
}

#[test]
fn a_limit_holds_until_a_later_response_has_none() {
    use Step::{Reported, Response, Stray};
    let none = LimitSignal::None;
    let cases = [
        LimitCase {
            name: "stated and no longer stated",
            steps: vec![Response(0, 100, rate(2.0)), Response(200, 300, none)],
            limits: vec![(300, None)],
        },
        LimitCase {
            name: "an older response read after the one that states the limit",
            steps: vec![Response(50, 100, rate(2.0)), Response(0, 110, none)],
            limits: vec![(110, Some(2.0)), (5000, Some(2.0))],
        },
        LimitCase {
            name: "a response of another request",
            steps: vec![Response(0, 100, rate(2.0)), Stray(300, none)],
            limits: vec![(300, Some(2.0))],
        },
        LimitCase {
            name: "a malformed signal",
            steps: vec![
                Response(0, 100, rate(2.0)),
                Response(200, 300, LimitSignal::Malformed),
            ],
            limits: vec![(300, Some(2.0))],
        },
        LimitCase {
            name: "another rate",
            steps: vec![Response(0, 100, rate(2.0)), Response(0, 200, rate(4.0))],
            limits: vec![(200, Some(4.0))],
        },
        LimitCase {
            name: "no further response",
            steps: vec![Response(0, 0, rate(2.0))],
            limits: vec![(LIMIT_TTL_MS - 1, Some(2.0)), (LIMIT_TTL_MS, None)],
        },
        LimitCase {
            name: "reported by others only",
            steps: vec![Reported(0, 2, 5000)],
            limits: vec![(0, Some(2.5)), (HOUR_MS, Some(2.5))],
        },
        LimitCase {
            name: "reported by others until they report no limit",
            steps: vec![Reported(0, 2, 5000), Reported(100, 0, 0)],
            limits: vec![(100, None)],
        },
        LimitCase {
            name: "an own response overrides reports of others",
            steps: vec![Reported(0, 1, 2000), Response(100, 200, none)],
            limits: vec![(200, None), (2300, Some(2.0))],
        },
    ];
    for case in &cases {
        let mut view = view_of(0, &[1]);
        let id = server_of(&view);
        for step in &case.steps {
            match *step {
                Response(sent, read, rate) => view.apply_limit(at(read), id, rate, Some(at(sent))),
                Stray(read, rate) => view.apply_limit(at(read), id, rate, None),
                Reported(ms, vms, thousandths) => {
                    view.server_mut(id)
                        .set_others(at(ms), reported(vms, thousandths));
                }
            }
        }
        for (ms, expected) in &case.limits {
            let limit = view.server(id).limit(at(*ms));
            let limit = limit.map(RequestRate::per_second);
            assert_eq!(limit, *expected, "{}, at {ms} ms", case.name);
        }
    }
}

/// Reports of other VMs are not forwarded, since a limit would then never end.
#[test]
fn a_vm_reports_only_limits_that_it_has_read_itself() {
    let mut view = view_of(0, &[1]);
    let server = server_of(&view);
    view.server_mut(server).set_others(at(0), reported(3, 6000));
    let own = view.server(server).own_work(at(0)).limits;
    assert_eq!(own, LimitReports::default());
    view.apply_limit(at(0), server, rate(1.5), Some(at(0)));
    let own = view.server(server).own_work(at(0)).limits;
    assert_eq!(own, reported(1, 1500).limits);
}

#[test]
fn the_next_send_time_is_reported_if_every_server_has_a_limit() {
    let mut view = view_of(0, &[]);
    assert!(try_send(&mut view, at(0), 1, rate(2.0)));
    assert_eq!(choose(&mut view, at(100)), LocalOption::BackedOff(at(500)));
    let alone = view.choose_alone(at(100), &needs(), &[]);
    assert_eq!(alone, LocalOption::BackedOff(at(500)));
    assert_eq!(view.free_servers(at(100), &needs()).count(), 0);
    assert!(matches!(choose(&mut view, at(500)), LocalOption::Free(_)));
}

/// A VM that is not a sender learns the end of a limit from the others.
#[test]
fn every_vm_uses_the_server_again_after_its_limit() {
    const VMS: usize = 12;
    let all = 0..VMS;
    for own in all.clone() {
        let others: Vec<usize> = all.clone().filter(|other| *other != own).collect();
        let mut view = view_of(own, &others);
        let server = server_of(&view);
        view.server_mut(server).set_others(at(0), reported(3, 3000));
        view.server_mut(server)
            .set_others(at(100), WorkShare::default());
        assert!(
            matches!(choose(&mut view, at(100)), LocalOption::Free(_)),
            "vm{own}"
        );
    }
}
