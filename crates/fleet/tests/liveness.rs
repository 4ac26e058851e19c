//! When servers are treated as unresponsive: votes, and false detection under random response
//! times.

mod support;

use std::time::Duration;

use onyxfall_fleet::{
    AttemptResult, CallRequirements, EngineLimits, FleetView, HomeRegions, PromptSize,
    ServerRecord, ServerVotes, WorkShare,
};
use onyxfall_policy::Moment;
use onyxfall_types::ServerId;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use support::{at, place, ready_server};

const ENGINE: EngineLimits = EngineLimits {
    slots: 24,
    memory_tokens: 500_000,
    token_bytes: 1000,
    keeps_backups: false,
};

fn view(vm: usize) -> (FleetView, ServerId) {
    let mut view = FleetView::new(place(&format!("vm{vm}"), &[("c0", "r0")]));
    let record = ServerRecord {
        slots: 24,
        ..ready_server("s")
    };
    view.put_server(at(0), record, None);
    let id = view.find("s").unwrap();
    (view, id)
}

fn needs() -> CallRequirements {
    CallRequirements {
        service: "svc".parse().unwrap(),
        engine: Some(ENGINE),
        prompt: PromptSize {
            input: 1000,
            output: 100,
            ..PromptSize::default()
        },
        goal: Duration::from_millis(600),
        urgency: 3,
        backlog_limit: None,
        deadline: at(3_600_000),
        events: None,
        homes: HomeRegions::Any,
        version: None,
    }
}

/// Gives each VM the sum of the others' votes.
fn exchange(views: &mut [FleetView], id: ServerId, now: Moment) {
    let votes: Vec<ServerVotes> = views
        .iter()
        .map(|view| view.server(id).own_work(now).votes)
        .collect();
    for (vm, view) in views.iter_mut().enumerate() {
        let sum = |field: fn(&ServerVotes) -> u32| -> u32 {
            let others = votes.iter().enumerate().filter(|(other, _)| *other != vm);
            others.map(|(_, votes)| field(votes)).sum()
        };
        let others = WorkShare {
            votes: ServerVotes {
                good: sum(|votes| votes.good),
                bad: sum(|votes| votes.bad),
            },
            ..WorkShare::default()
        };
        view.server_mut(id).set_others(now, others);
    }
}

struct VoteCase {
    name: &'static str,
    /// Observation of each VM.
    vms: &'static [Observation],
    is_unresponsive: bool,
}

/// Observation of a server by one VM.
#[derive(Clone, Copy)]
enum Observation {
    Response,
    Disconnect,
    Overdue,
    Nothing,
}

#[test]
fn several_votes_make_a_server_unresponsive() {
    use Observation::{Disconnect, Nothing, Overdue, Response};
    let cases = [
        VoteCase {
            name: "no VM has an observation",
            vms: &[Nothing, Nothing],
            is_unresponsive: false,
        },
        VoteCase {
            name: "one VM loses its connection",
            vms: &[Disconnect, Nothing, Nothing],
            is_unresponsive: false,
        },
        VoteCase {
            name: "two VMs lose their connections",
            vms: &[Disconnect, Disconnect, Nothing],
            is_unresponsive: true,
        },
        VoteCase {
            name: "two VMs have overdue responses",
            vms: &[Overdue, Overdue, Nothing],
            is_unresponsive: true,
        },
        VoteCase {
            name: "others have received responses",
            vms: &[Disconnect, Overdue, Response, Response],
            is_unresponsive: false,
        },
        VoteCase {
            name: "three bad votes against one good vote",
            vms: &[Disconnect, Disconnect, Overdue, Response],
            is_unresponsive: true,
        },
    ];
    for case in cases {
        let (mut views, id) = (Vec::new(), view(0).1);
        for (vm, observation) in case.vms.iter().enumerate() {
            let (mut view, _) = view(vm);
            match observation {
                Response => {
                    view.start_attempt(at(900), id, 1, &needs());
                    view.record_response(at(1900), id, 1);
                }
                Disconnect => {
                    view.start_attempt(at(900), id, 1, &needs());
                    view.end_attempt(at(1900), id, 1, AttemptResult::Broken, None);
                }
                Overdue => view.start_attempt(at(0), id, 1, &needs()),
                Nothing => {}
            }
            views.push(view);
        }
        exchange(&mut views, id, at(2000));
        for view in &views {
            assert_eq!(
                view.is_suspected(at(2000), id),
                case.is_unresponsive,
                "{}",
                case.name
            );
        }
    }
}

/// Ten VMs send a server requests whose first bytes take up to three times the predicted time.
/// One VM is paused repeatedly, and one has no network.
#[test]
fn a_server_that_responds_is_never_unresponsive() {
    let mut rng = StdRng::seed_from_u64(9);
    let (mut views, id) = (Vec::new(), view(0).1);
    for vm in 0..10 {
        views.push(view(vm).0);
    }
    let mut open: Vec<(u64, usize, u64)> = Vec::new();
    let mut attempt = 0;
    for now in (0..60_000).step_by(10) {
        let is_paused = |vm: usize| vm == 1 && now % 3000 < 300;
        for (vm, view) in views.iter_mut().enumerate() {
            if is_paused(vm) || !rng.random_bool(0.02) {
                continue;
            }
            attempt += 1;
            view.start_attempt(at(now), id, attempt, &needs());
            let expected = view.predict_first(at(now), id, &needs()).as_millis();
            let took = rng.random_range(5..=u64::try_from(expected).unwrap().max(10) * 3);
            open.push((now + took, vm, attempt));
        }
        let (due, rest): (Vec<_>, Vec<_>) = open
            .iter()
            .partition(|(end, vm, _)| *end <= now && !is_paused(*vm));
        open = rest;
        for (_, vm, attempt) in due {
            let has_network = vm != 2;
            if has_network {
                views[vm].record_response(at(now), id, attempt);
                views[vm].end_attempt(at(now), id, attempt, AttemptResult::Succeeded, None);
            } else {
                views[vm].end_attempt(at(now), id, attempt, AttemptResult::Broken, None);
            }
        }
        if now % 100 == 0 {
            exchange(&mut views, id, at(now));
            let is_unresponsive = views.iter().any(|view| view.is_suspected(at(now), id));
            assert!(!is_unresponsive, "at {now} ms");
        }
    }
}

/// Time from a server's last liveness signal until every VM treats it as unresponsive.
#[test]
fn a_server_that_loses_power_under_load_is_detected_within_a_second() {
    let (mut views, id) = (Vec::new(), view(0).1);
    for vm in 0..10 {
        let (mut view, _) = view(vm);
        for number in 0..20 {
            let now = number * 100 + 7 * vm as u64;
            view.start_attempt(at(now), id, number, &needs());
            if now < 1000 {
                view.record_response(at(now + 40), id, number);
                view.end_attempt(at(now + 40), id, number, AttemptResult::Succeeded, None);
            }
        }
        views.push(view);
    }
    exchange(&mut views, id, at(1100));
    assert!(!views[0].is_suspected(at(1100), id));
    exchange(&mut views, id, at(2000));
    for view in &views {
        assert!(view.is_suspected(at(2000), id));
    }
}

/// Without this, a server that was slow once gets no request at light load ever again.
#[test]
fn learned_slowness_is_forgotten_while_no_request_is_sent() {
    let (mut view, id) = view(0);
    let fresh = view.predict(at(0), id, &needs()).first;
    for number in 0..20 {
        let now = number * 1000;
        view.start_attempt(at(now), id, number, &needs());
        view.record_response(at(now) + fresh * 8, id, number);
        view.end_attempt(at(now + 990), id, number, AttemptResult::Succeeded, None);
    }
    let predict = |now| view.server(id).slowness(at(now));
    let learned = predict(20_000);
    assert!(learned > 1.3, "{learned}");
    assert!(predict(30_000) > 1.3, "{}", predict(30_000));
    assert!(predict(45_000) < 1.05, "{}", predict(45_000));
}

struct ReturnCase {
    name: &'static str,
    /// Whether the other VMs hear nothing from the server either.
    is_silent_for_all: bool,
    /// Whether the late response may change what is predicted.
    is_learned: bool,
}

/// A server that was stopped for a second is as fast as before.
#[test]
fn a_silence_is_not_learned_as_slowness() {
    let cases = [
        ReturnCase {
            name: "silent for all VMs",
            is_silent_for_all: true,
            is_learned: false,
        },
        ReturnCase {
            name: "slow for one VM",
            is_silent_for_all: false,
            is_learned: true,
        },
    ];
    for case in &cases {
        let (mut views, id) = (Vec::new(), view(0).1);
        let mut before = Duration::ZERO;
        for vm in 0..2 {
            let (mut view, _) = view(vm);
            for number in 0..20 {
                let now = number * 100;
                view.start_attempt(at(now), id, number, &needs());
                view.record_response(at(now + 40), id, number);
                view.end_attempt(at(now + 40), id, number, AttemptResult::Succeeded, None);
            }
            before = view.predict(at(1990), id, &needs()).first;
            if vm == 0 || case.is_silent_for_all {
                view.start_attempt(at(2000), id, 100, &needs());
            }
            views.push(view);
        }
        if !case.is_silent_for_all {
            views[1].server_mut(id).record_liveness(at(3150));
        }
        exchange(&mut views, id, at(3150));
        views[0].record_response(at(3200), id, 100);
        views[0].end_attempt(at(3200), id, 100, AttemptResult::Succeeded, None);
        let after = views[0].predict(at(3200), id, &needs()).first;
        let is_learned = after > before.mul_f64(1.02);
        let name = case.name;
        assert_eq!(
            is_learned, case.is_learned,
            "{name}: {before:?} to {after:?}"
        );
    }
}

struct LapsedEntry {
    name: &'static str,
    /// When the entry is written again, in milliseconds.
    returns: Option<u64>,
}

/// VMs vote on servers with entries only, so that the last votes would stay.
#[test]
fn a_server_that_serves_on_without_its_entry_is_not_suspected() {
    let cases = [
        LapsedEntry {
            name: "its entry stays away",
            returns: None,
        },
        LapsedEntry {
            name: "its entry returns",
            returns: Some(1500),
        },
    ];
    for case in cases {
        let (mut view, id) = view(0);
        view.start_attempt(at(100), id, 1, &needs());
        let silent = WorkShare {
            votes: ServerVotes { good: 0, bad: 3 },
            ..WorkShare::default()
        };
        view.server_mut(id).set_others(at(1000), silent);
        assert!(view.is_suspected(at(1000), id), "{}", case.name);
        view.remove_server(at(1100), "s");
        if let Some(returns) = case.returns {
            view.put_server(at(returns), ready_server("s"), None);
        }
        for ms in (1600..10_000).step_by(100) {
            view.server_mut(id).record_liveness(at(ms));
            assert!(!view.is_suspected(at(ms), id), "{} at {ms} ms", case.name);
        }
    }
}
