//! State of the paths of a VM to the servers of its region.

mod support;

use onyxfall_fleet::{
    AttemptResult, FleetView, LocalOption, LossEvidence, LossMoment, PathCheck, PathState,
    RegionReach, ServerVotes,
};
use onyxfall_policy::Moment;
use onyxfall_types::{ServerId, ServiceName};
use rand::SeedableRng;
use rand::rngs::StdRng;
use support::{at, needs, place, ready_server};

/// Interval at which paths are evaluated.
const TICK_MS: u64 = 100;

fn service() -> ServiceName {
    needs().service
}

/// View of a region with servers `s0`, `s1` and so on.
fn view(servers: usize) -> (FleetView, Vec<ServerId>) {
    let mut view = FleetView::new(place("vm0", &[("c0", "r0")]));
    let names: Vec<String> = (0..servers).map(|number| format!("s{number}")).collect();
    for name in &names {
        view.put_server(at(0), ready_server(name), None);
    }
    let ids = names.iter().map(|name| view.find(name).unwrap()).collect();
    (view, ids)
}

/// How a check of a path ends.
#[derive(Clone, Copy, Debug)]
enum CheckEnd {
    Answered,
    Accepted,
    Unreached,
}

/// A check by a server that had not failed.
fn check(server: ServerId, end: CheckEnd) -> PathCheck {
    match end {
        Answered => PathCheck::Answered(server),
        Accepted => PathCheck::Accepted,
        Unreached => PathCheck::SoundUnreached,
    }
}

/// What happens at a server, by its number.
#[derive(Clone, Copy, Debug)]
enum Event {
    Send(usize),
    Respond(usize),
    Break(usize),
    Dial(usize, bool),
    /// A check of the path by this server, which had not failed before.
    Check(usize, CheckEnd),
}

use CheckEnd::{Accepted, Answered, Unreached};
use Event::{Break, Check, Dial, Respond, Send};
use PathState::{Doubted, Lost, Open, OpenConnectionsOnly};

struct PathCase {
    name: &'static str,
    servers: usize,
    /// Events with their time in milliseconds.
    events: &'static [(u64, Event)],
    /// State at a time in milliseconds.
    state: (u64, PathState),
}

/// Plays the events up to the time of the expected state.
fn play(case: &PathCase) -> (FleetView, Vec<ServerId>) {
    let (mut view, ids) = view(case.servers);
    let end = case.state.0;
    let mut events = case.events.iter().peekable();
    for now in 0..=end {
        while let Some((_, event)) = events.next_if(|(at, _)| *at == now) {
            apply(&mut view, &ids, at(now), *event);
        }
        if now.is_multiple_of(TICK_MS) || now == end {
            view.refresh_paths(at(now));
        }
    }
    (view, ids)
}

fn apply(view: &mut FleetView, ids: &[ServerId], now: Moment, event: Event) {
    // One attempt at a time is under way at each server, with the server's number as its id.
    match event {
        Event::Send(server) => view.start_attempt(now, ids[server], server as u64, &needs()),
        Event::Respond(server) => {
            view.record_response(now, ids[server], server as u64);
            view.end_attempt(
                now,
                ids[server],
                server as u64,
                AttemptResult::Succeeded,
                None,
            );
        }
        Event::Break(server) => {
            view.end_attempt(now, ids[server], server as u64, AttemptResult::Broken, None);
        }
        Event::Dial(server, is_established) => view.record_dial(ids[server], is_established),
        Event::Check(server, end) => {
            view.record_check(now, &service(), check(ids[server], end));
        }
    }
}

#[test]
fn paths_are_judged_by_several_servers_at_once() {
    for case in SILENCES.iter().chain(&LOST_CONNECTIONS) {
        let (view, _) = play(case);
        assert_eq!(view.path_state(&service()), case.state.1, "{}", case.name);
    }
}

const SILENCES: [PathCase; 15] = [
    PathCase {
        name: "no requests",
        servers: 3,
        events: &[],
        state: (5000, Open),
    },
    PathCase {
        name: "one of several servers is silent",
        servers: 3,
        events: &[(0, Send(0))],
        state: (3000, Open),
    },
    PathCase {
        name: "two servers are silent",
        servers: 3,
        events: &[(0, Send(0)), (0, Send(1))],
        state: (900, Doubted),
    },
    PathCase {
        name: "two servers are silent while a third responds",
        servers: 3,
        events: &[
            (0, Send(0)),
            (0, Send(1)),
            (700, Send(2)),
            (750, Respond(2)),
        ],
        state: (900, Open),
    },
    PathCase {
        name: "the only server is silent",
        servers: 1,
        events: &[(0, Send(0))],
        state: (900, Doubted),
    },
    PathCase {
        name: "a check is not answered",
        servers: 3,
        events: &[(0, Send(0)), (0, Send(1)), (901, Check(2, Unreached))],
        state: (905, Lost),
    },
    PathCase {
        name: "a check is answered",
        servers: 3,
        events: &[(0, Send(0)), (0, Send(1)), (901, Check(2, Answered))],
        state: (1500, Open),
    },
    PathCase {
        name: "still silent long after a check was answered",
        servers: 3,
        events: &[(0, Send(0)), (0, Send(1)), (901, Check(2, Answered))],
        state: (2500, Doubted),
    },
    PathCase {
        name: "a connection for a check is accepted",
        servers: 3,
        events: &[(0, Send(0)), (0, Send(1)), (901, Check(2, Accepted))],
        state: (905, Open),
    },
    PathCase {
        name: "still silent long after a connection was accepted",
        servers: 3,
        events: &[(0, Send(0)), (0, Send(1)), (901, Check(2, Accepted))],
        state: (2500, Doubted),
    },
    PathCase {
        name: "a path that is cut after a connection was accepted",
        servers: 3,
        events: &[
            (0, Send(0)),
            (0, Send(1)),
            (901, Check(2, Accepted)),
            (2200, Check(2, Unreached)),
        ],
        state: (2205, Lost),
    },
    PathCase {
        name: "a connection is accepted on a lost path",
        servers: 3,
        events: &[
            (0, Send(0)),
            (0, Send(1)),
            (901, Check(2, Unreached)),
            (1200, Check(1, Accepted)),
        ],
        state: (1201, Open),
    },
    PathCase {
        name: "the only server is silent and accepts a connection",
        servers: 1,
        events: &[(0, Send(0)), (901, Check(0, Accepted))],
        state: (1800, Open),
    },
    PathCase {
        name: "a lost path gives a byte",
        servers: 3,
        events: &[
            (0, Send(0)),
            (0, Send(1)),
            (901, Check(2, Unreached)),
            (1000, Respond(0)),
        ],
        state: (1100, Open),
    },
    PathCase {
        name: "failed checks do not end by themselves",
        servers: 3,
        events: &[
            (0, Send(0)),
            (0, Send(1)),
            (901, Check(2, Unreached)),
            (1200, Check(1, Unreached)),
        ],
        state: (9000, Lost),
    },
];

const LOST_CONNECTIONS: [PathCase; 6] = [
    PathCase {
        name: "connections to two servers are lost together",
        servers: 3,
        events: &[(0, Send(0)), (0, Send(1)), (10, Break(0)), (20, Break(1))],
        state: (100, Doubted),
    },
    PathCase {
        name: "connections to two servers are lost one after the other",
        servers: 3,
        events: &[(0, Send(0)), (0, Send(1)), (10, Break(0)), (290, Break(1))],
        state: (300, Open),
    },
    PathCase {
        name: "new connections fail at one server",
        servers: 3,
        events: &[(0, Dial(0, false)), (10, Dial(0, false))],
        state: (100, Open),
    },
    PathCase {
        name: "new connections fail at two servers",
        servers: 3,
        events: &[(0, Dial(0, false)), (10, Dial(1, false))],
        state: (100, OpenConnectionsOnly),
    },
    PathCase {
        name: "a connection for a check is accepted after others failed",
        servers: 3,
        events: &[
            (0, Dial(0, false)),
            (10, Dial(1, false)),
            (120, Check(2, Accepted)),
        ],
        state: (200, Open),
    },
    PathCase {
        name: "a new connection is established after others failed",
        servers: 3,
        events: &[
            (0, Dial(0, false)),
            (10, Dial(1, false)),
            (20, Dial(2, true)),
        ],
        state: (100, Open),
    },
];

#[test]
fn a_path_is_proved_lost_by_a_server_that_had_not_failed() {
    for check in [PathCheck::SoundUnreached, PathCheck::Unreached] {
        let (mut view, _) = play(&SILENCES[2]);
        assert_eq!(view.path_state(&service()), Doubted);
        view.record_check(at(901), &service(), check);
        assert_eq!(view.path_state(&service()), Lost);
        let is_proved = check == PathCheck::SoundUnreached;
        assert_eq!(view.is_path_proved_lost(&service()), is_proved);
        view.record_check(at(1200), &service(), PathCheck::Accepted);
        assert!(!view.is_path_proved_lost(&service()), "after a connection");
    }
}

#[test]
fn requests_wait_for_the_first_check_of_a_path_only() {
    let (mut view, ids) = view(3);
    view.record_dial(ids[0], false);
    view.record_dial(ids[1], false);
    view.refresh_paths(at(1000));
    assert!(view.is_path_settling(at(1000), &service()));
    assert_eq!(view.unreached_services().count(), 0, "before a check");
    assert!(!view.is_path_settling(at(1100), &service()));
    view.record_check(at(1010), &service(), check(ids[2], Unreached));
    assert!(!view.is_path_settling(at(1011), &service()));
    assert_eq!(view.path_state(&service()), OpenConnectionsOnly);
    assert_eq!(view.unreached_services().count(), 1, "after a check");
    view.record_check(at(1020), &service(), check(ids[2], Answered));
    assert!(!view.is_path_settling(at(1021), &service()));
    assert_eq!(view.path_state(&service()), Open);
}

const SILENT: PathCase = PathCase {
    name: "two of three servers are silent, and a check is not answered",
    servers: 3,
    events: &[
        (0, Event::Send(0)),
        (0, Event::Send(1)),
        (901, Event::Check(2, Unreached)),
    ],
    state: (2000, PathState::Lost),
};

#[test]
fn a_vm_that_reaches_no_server_does_not_vote_against_sound_ones() {
    let (view, ids) = play(&SILENT);
    for id in ids {
        assert_eq!(view.own_work(at(2000), id).votes, ServerVotes::default());
        assert_eq!(view.votes(at(2000), id), ServerVotes::default());
    }
}

/// Guards against a check of silent servers that withdraws votes, ends in a message to other VMs
/// or counts as a liveness signal.
#[test]
fn a_check_tells_silent_servers_from_a_lost_path() {
    let case = PathCase {
        name: "two of three servers are silent, and a check is accepted",
        servers: 3,
        events: &[(0, Send(0)), (0, Send(1)), (901, Check(0, Accepted))],
        state: (1300, Open),
    };
    let (mut view, ids) = play(&case);
    assert_eq!(view.path_state(&service()), Open);
    assert_eq!(view.unreached_services().count(), 0);
    let bad = ServerVotes { good: 0, bad: 1 };
    let unknown = ServerVotes::default();
    for (id, votes) in ids.iter().zip([bad, bad, unknown]) {
        assert_eq!(view.own_work(at(1300), *id).votes, votes);
        assert_eq!(view.server(*id).last_liveness(), None);
    }
    let evidence = view.loss_evidence(&service(), LossMoment::AfterCheck);
    assert_eq!(evidence, LossEvidence::Crash, "the path was not lost");
    // Once the servers go on, nothing of the silence is left.
    for number in 0..2 {
        apply(&mut view, &ids, at(1400), Respond(number));
    }
    view.refresh_paths(at(1400));
    assert_eq!(view.path_state(&service()), Open);
    assert_eq!(view.free_servers(at(1400), &needs()).count(), 3);
    for id in &ids[..2] {
        let good = ServerVotes { good: 1, bad: 0 };
        assert_eq!(view.own_work(at(1400), *id).votes, good);
    }
}

#[test]
fn no_request_is_placed_on_a_path_that_is_not_open() {
    for (state, end) in [(PathState::Doubted, 900), (PathState::Lost, 2000)] {
        let case = PathCase {
            state: (end, state),
            ..SILENT
        };
        let (mut view, ids) = play(&case);
        assert_eq!(view.path_state(&service()), state);
        let mut rng = StdRng::seed_from_u64(1);
        let option = view.choose(at(end), &needs(), &[], &mut rng);
        assert_eq!(option, LocalOption::Unreachable, "{state:?}");
        assert!(ids.iter().all(|id| !view.may_send(at(end), *id)));
    }
}

#[test]
fn servers_count_as_usable_while_other_vms_reach_them() {
    let reaches = [
        (RegionReach::Own, 1),
        (RegionReach::Neighbours, 3),
        (RegionReach::None, 0),
    ];
    for (reach, usable) in reaches {
        let (mut view, ids) = play(&SILENT);
        // What this VM sees of two servers would close its circuit breakers.
        for id in &ids[..2] {
            let result = AttemptResult::Unreachable;
            view.end_attempt(at(2000), *id, 9, result, None);
        }
        view.set_region_reach(&service(), reach);
        assert_eq!(
            view.usable_servers(at(2000), &service()),
            usable,
            "{reach:?}"
        );
    }
}

#[test]
fn a_doubted_server_gets_one_trial_at_a_time() {
    let (mut view, ids) = view(2);
    let mut rng = StdRng::seed_from_u64(1);
    // The other server keeps the path open.
    view.start_attempt(at(0), ids[0], 0, &needs());
    let mut trials = 0;
    let mut number = 10;
    for now in (500..3500).step_by(50) {
        view.start_attempt(at(now), ids[1], number, &needs());
        view.record_response(at(now), ids[1], number);
        view.end_attempt(at(now), ids[1], number, AttemptResult::Succeeded, None);
        number += 1;
        let excluded = [ids[1]];
        if let LocalOption::Free(choice) = view.choose(at(now), &needs(), &excluded, &mut rng) {
            assert_eq!(choice.server, ids[0]);
            trials += 1;
            view.start_attempt(at(now), ids[0], number, &needs());
            number += 1;
        }
    }
    let most = (3500 - 500) / 500 + 1;
    assert!(
        (1..=most).contains(&trials),
        "{trials} trials, {most} allowed"
    );
}

struct LossCase {
    name: &'static str,
    state: PathState,
    is_proved_lost: bool,
    moment: LossMoment,
    evidence: LossEvidence,
}

/// Guards against crashes that are not counted, and against suspects that are made by a lost path.
#[test]
fn a_connection_lost_with_its_path_is_no_evidence_of_a_crash() {
    use LossMoment::{AfterCheck, AtOnce};
    let case = |name, state, is_proved_lost, moment, evidence| LossCase {
        name,
        state,
        is_proved_lost,
        moment,
        evidence,
    };
    let cases = [
        case(
            "the path is open",
            PathState::Open,
            false,
            AtOnce,
            LossEvidence::Crash,
        ),
        case(
            "only new connections fail",
            PathState::OpenConnectionsOnly,
            false,
            AtOnce,
            LossEvidence::Crash,
        ),
        case(
            "a check is due",
            PathState::Doubted,
            false,
            AtOnce,
            LossEvidence::Open,
        ),
        case(
            "a check is running",
            PathState::Doubted,
            false,
            AfterCheck,
            LossEvidence::Open,
        ),
        case(
            "the path was lost before",
            PathState::Lost,
            false,
            AtOnce,
            LossEvidence::None,
        ),
        case(
            "a sound server does not respond",
            PathState::Lost,
            true,
            AfterCheck,
            LossEvidence::None,
        ),
        case(
            "all servers may have ended",
            PathState::Lost,
            false,
            AfterCheck,
            LossEvidence::Crash,
        ),
        case(
            "the check has succeeded",
            PathState::Open,
            false,
            AfterCheck,
            LossEvidence::Crash,
        ),
    ];
    for case in cases {
        let evidence = LossEvidence::of(case.state, case.is_proved_lost, case.moment);
        assert_eq!(evidence, case.evidence, "{}", case.name);
    }
}
