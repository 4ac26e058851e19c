//! Table-driven tests of the parts of the router.

use std::time::Duration;

use onyxfall_policy::{
    CacheEvent, CircuitBreaker, LoadReport, MemberHeartbeat, MemberState, MemberTable,
    MemberTiming, Moment, PrefixKey, PrefixTable, QueuedRequest, ServerState, TicketError,
    TicketId, TicketLedger, TicketOutcome, TicketState, WaitId, WeightedQueue,
};
use onyxfall_types::{
    EntityId, Incarnation, KindId, RefusalReason, RequestError, RunVerdict, ServerId,
};

fn at(ms: u64) -> Moment {
    Moment::from_duration(Duration::from_millis(ms))
}

fn queued(id: u64, kind: usize, deadline: u64, service: u64) -> QueuedRequest<()> {
    QueuedRequest {
        id: WaitId(id),
        kind: KindId::from_index(kind),
        deadline: at(deadline),
        service: Duration::from_millis(service),
        payload: (),
    }
}

fn queue_of_two(values: [f64; 2]) -> WeightedQueue<()> {
    let mut queue = WeightedQueue::new(1000);
    queue.add_lane(KindId::from_index(0), values[0], 5);
    queue.add_lane(KindId::from_index(1), values[1], 5);
    queue
}

struct ShareCase {
    name: &'static str,
    values: [f64; 2],
    /// Deadlines of kind 0 and of kind 1.
    deadlines: [u64; 2],
    /// Minimum number of pops per kind, out of a hundred of equal service time.
    least: [usize; 2],
}

#[test]
fn deadlines_decide_and_every_lane_keeps_its_guarantee() {
    let late = 1_000_000;
    let cases = [
        ShareCase {
            name: "earliest deadline first",
            values: [1.0, 1.0],
            deadlines: [1000, late],
            least: [74, 24],
        },
        ShareCase {
            name: "earliest deadline first, other kind",
            values: [1.0, 1.0],
            deadlines: [late, 1000],
            least: [24, 74],
        },
        ShareCase {
            name: "value",
            values: [9.0, 1.0],
            deadlines: [late, 1000],
            least: [44, 54],
        },
        ShareCase {
            name: "no starvation",
            values: [1000.0, 1.0],
            deadlines: [1000, late],
            least: [96, 2],
        },
    ];
    for case in cases {
        let mut queue = queue_of_two(case.values);
        for id in 0..400 {
            let kind = usize::try_from(id % 2).unwrap();
            queue
                .push(queued(id, kind, case.deadlines[kind], 10))
                .unwrap();
        }
        let mut counts = [0; 2];
        for _ in 0..100 {
            let next = queue.pop(at(0)).next.unwrap();
            counts[next.kind.index()] += 1;
        }
        for kind in 0..2 {
            assert!(
                counts[kind] >= case.least[kind],
                "{}: {counts:?}",
                case.name
            );
        }
    }
}

#[test]
fn the_expected_wait_counts_what_is_due_before() {
    let mut queue = queue_of_two([1.0, 1.0]);
    for id in 0..10 {
        queue.push(queued(id, 1, 5000, 100)).unwrap();
    }
    let wait = |deadline| queue.expected_wait(KindId::from_index(0), at(deadline), 1.0);
    assert_eq!(wait(1000), Duration::ZERO, "no work is due before");
    assert!(
        wait(9000).is_zero(),
        "the lane's own guarantee bounds the wait"
    );
    let own = queue.expected_wait(KindId::from_index(1), at(9000), 1.0);
    assert_eq!(own, Duration::from_secs(1));
}

#[test]
fn a_lane_is_served_by_deadline_and_expired_requests_are_returned() {
    let mut queue = queue_of_two([1.0, 1.0]);
    queue.push(queued(1, 0, 500, 100)).unwrap();
    queue.push(queued(2, 0, 300, 100)).unwrap();
    queue.push(queued(3, 1, 150, 100)).unwrap();
    let popped = queue.pop(at(100));
    assert_eq!(
        popped.expired.iter().map(|r| r.id.0).collect::<Vec<_>>(),
        [3]
    );
    assert_eq!(popped.next.unwrap().id, WaitId(2));
    assert_eq!(queue.len(), 1);
}

#[test]
fn a_full_queue_returns_the_request() {
    let mut queue = WeightedQueue::new(1);
    queue.add_lane(KindId::from_index(0), 1.0, 5);
    queue.push(queued(1, 0, 10, 1)).unwrap();
    assert_eq!(queue.push(queued(2, 0, 10, 1)).unwrap_err().id, WaitId(2));
    assert!(queue.remove(WaitId(1)).is_some());
    assert!(queue.is_empty() && queue.work().is_zero());
}

#[test]
fn circuit_opens_probes_once_and_closes() {
    let mut circuit = CircuitBreaker::new();
    for _ in 0..5 {
        assert!(circuit.allows(at(0)));
        circuit.start(at(0));
        circuit.fail(at(0));
    }
    assert!(!circuit.allows(at(100)), "open after five failures");
    assert!(circuit.allows(at(600)));
    circuit.start(at(600));
    assert!(!circuit.allows(at(600)), "one probe at a time");
    circuit.fail(at(600));
    assert!(!circuit.allows(at(1500)), "the pause has doubled");
    circuit.start(at(1700));
    assert!(circuit.succeed());
    assert!(circuit.allows(at(1700)) && circuit.is_closed());
}

#[test]
fn a_cancelled_probe_allows_the_next_probe() {
    let mut circuit = CircuitBreaker::new();
    (0..5).for_each(|_| {
        circuit.fail(at(0));
    });
    circuit.start(at(600));
    circuit.record_unknown();
    assert!(circuit.allows(at(600)));
}

fn report(incarnation: u64, running: u32) -> LoadReport {
    LoadReport {
        incarnation: Incarnation::new(incarnation),
        running,
        queued: 0,
        draining: false,
    }
}

struct RoomCase {
    name: &'static str,
    own: u64,
    reported: Option<u32>,
    age_ms: u64,
    members: usize,
    room: bool,
}

#[test]
fn room_is_the_spare_capacity_and_at_least_an_equal_share() {
    let cases = [
        RoomCase {
            name: "idle",
            own: 0,
            reported: None,
            age_ms: 0,
            members: 1,
            room: true,
        },
        RoomCase {
            name: "filled by own requests",
            own: 5,
            reported: None,
            age_ms: 0,
            members: 1,
            room: false,
        },
        RoomCase {
            name: "filled by other senders",
            own: 2,
            reported: Some(7),
            age_ms: 0,
            members: 2,
            room: false,
        },
        RoomCase {
            name: "equal share",
            own: 1,
            reported: Some(9),
            age_ms: 0,
            members: 2,
            room: true,
        },
        RoomCase {
            name: "an old report decays",
            own: 3,
            reported: Some(7),
            age_ms: 60_000,
            members: 2,
            room: true,
        },
    ];
    for case in cases {
        let mut server = ServerState::new(4);
        for id in 0..case.own {
            server.start(at(0), id, Duration::from_hours(1));
        }
        if let Some(running) = case.reported {
            server.report(at(0), &report(1, running));
        }
        assert_eq!(
            server.has_room(at(case.age_ms), case.members, false),
            case.room,
            "{}",
            case.name
        );
    }
}

#[test]
fn an_overdue_response_marks_a_server_slow_before_it_ends() {
    let mut server = ServerState::new(4);
    server.start(at(0), 1, Duration::from_millis(100));
    assert!(server.slowness(at(100)) < 1.5);
    assert!(server.slowness(at(1000)) > 9.0);
    server.end(1);
    server.succeed(at(1000), 10.0);
    assert!(server.slowness(at(1000)) > 3.0);
}

#[test]
fn an_older_report_is_ignored_and_a_restart_resets_the_state() {
    let mut server = ServerState::new(4);
    assert!(!server.report(at(0), &report(2, 0)));
    assert!(!server.report(at(0), &report(1, 4)));
    assert!(server.busy(at(0)).abs() < 1e-9);
    assert!(server.report(at(0), &report(3, 0)), "restarted");
    assert!(
        server.allowance(at(0), 1) < 2.0,
        "the allowance ramps up after a restart"
    );
    assert!(server.allowance(at(6000), 1) > 3.9);
}

#[test]
fn gaps_in_cache_events_halve_the_confidence() {
    let (key, server) = (PrefixKey(9), ServerId::from_index(0));
    let mut table = PrefixTable::new(4);
    table.record_events(server, 0, &[CacheEvent::Stored(key)], at(0));
    let before = table.hit_chance(key, server, at(0));
    table.record_events(server, 0, &[CacheEvent::Evicted(key)], at(0));
    assert!(
        (table.hit_chance(key, server, at(0)) - before).abs() < 1e-9,
        "a repeat is ignored"
    );
    table.record_events(server, 5, &[CacheEvent::Stored(PrefixKey(1))], at(0));
    assert!(table.hit_chance(key, server, at(0)) < before * 0.6, "a gap");
    table.record_events(server, 6, &[CacheEvent::Evicted(key)], at(0));
    assert!(table.hit_chance(key, server, at(0)) == 0.0);
    (10..30).for_each(|p| table.record_routed(PrefixKey(p), server, at(0)));
    assert_eq!(table.len(), 4, "bounded");
}

fn beat(name: &str, incarnation: u64, leaving: bool) -> MemberHeartbeat {
    MemberHeartbeat {
        name: name.parse().unwrap(),
        center: "c".parse().unwrap(),
        region: "r".parse().unwrap(),
        incarnation: Incarnation::new(incarnation),
        leaving,
        address: "127.0.0.1:1".parse().unwrap(),
        peer_address: "127.0.0.1:2".parse().unwrap(),
    }
}

struct MemberCase {
    name: &'static str,
    beats: Vec<(u64, MemberHeartbeat)>,
    tick_ms: u64,
    expected: MemberState,
}

#[test]
fn member_states_follow_heartbeats_and_timeouts() {
    let cases = [
        MemberCase {
            name: "recent heartbeat",
            beats: vec![(0, beat("b", 1, false))],
            tick_ms: 1000,
            expected: MemberState::Alive,
        },
        MemberCase {
            name: "suspected after a timeout",
            beats: vec![(0, beat("b", 1, false))],
            tick_ms: 4000,
            expected: MemberState::Suspect,
        },
        MemberCase {
            name: "gone after a longer timeout",
            beats: vec![(0, beat("b", 1, false))],
            tick_ms: 11_000,
            expected: MemberState::Gone,
        },
        MemberCase {
            name: "the same incarnation cannot revoke leaving",
            beats: vec![(0, beat("b", 1, true)), (100, beat("b", 1, false))],
            tick_ms: 200,
            expected: MemberState::Leaving,
        },
        MemberCase {
            name: "a new incarnation is alive",
            beats: vec![(0, beat("b", 1, true)), (100, beat("b", 2, false))],
            tick_ms: 200,
            expected: MemberState::Alive,
        },
        MemberCase {
            name: "an older incarnation is ignored",
            beats: vec![(0, beat("b", 2, false)), (100, beat("b", 1, true))],
            tick_ms: 200,
            expected: MemberState::Alive,
        },
    ];
    for case in cases {
        let mut table = MemberTable::new(beat("a", 1, false), MemberTiming::default());
        for (ms, beat) in &case.beats {
            table.receive(at(*ms), beat);
        }
        table.tick(at(case.tick_ms));
        assert_eq!(
            table.get(&"b".parse().unwrap()).unwrap().state,
            case.expected,
            "{}",
            case.name
        );
    }
}

#[test]
fn a_vm_that_receives_a_later_incarnation_of_its_own_adopts_a_later_one() {
    let mut table = MemberTable::new(beat("a", 5, false), MemberTiming::default());
    assert!(!table.receive(at(0), &beat("a", 5, false)));
    assert!(table.receive(at(0), &beat("a", 9, false)));
    assert_eq!(table.own().incarnation, Incarnation::new(10));
}

#[test]
fn a_duty_moves_when_its_owner_is_unresponsive() {
    let mut table = MemberTable::new(beat("a", 1, false), MemberTiming::default());
    table.receive(at(0), &beat("b", 1, false));
    let duty = (0..50)
        .map(|i| format!("duty {i}"))
        .find(|duty| !table.has_duty(duty))
        .unwrap();
    table.tick(at(4000));
    assert!(table.has_duty(&duty));
}

fn ledger(incarnation: u64) -> TicketLedger {
    TicketLedger::new(
        "vm".parse().unwrap(),
        Incarnation::new(incarnation),
        [7; 32],
        4,
    )
}

#[test]
fn a_ticket_runs_once() {
    let mut ledger = ledger(1);
    let ticket = ledger.issue().unwrap();
    let parsed: TicketId = ticket.to_string().parse().unwrap();
    assert_eq!(ledger.redeem(&parsed), Ok(TicketState::Fresh));
    assert_eq!(ledger.redeem(&parsed), Ok(TicketState::Running));
    let error = RequestError::failed(RunVerdict::MayHaveRun, RefusalReason::Backend, "x");
    ledger.end(&parsed, TicketOutcome::Failed(error.clone()));
    let ended = TicketState::Ended(TicketOutcome::Failed(error));
    assert_eq!(ledger.redeem(&parsed), Ok(ended));
}

#[test]
fn a_ticket_that_was_not_run_may_be_used_again() {
    let mut ledger = ledger(1);
    let ticket = ledger.issue().unwrap();
    assert_eq!(ledger.redeem(&ticket), Ok(TicketState::Fresh));
    let error = RequestError::not_run(RefusalReason::Overloaded, "x");
    ledger.end(&ticket, TicketOutcome::Failed(error));
    assert_eq!(ledger.redeem(&ticket), Ok(TicketState::Fresh));
}

#[test]
fn tickets_of_other_incarnations_and_forged_ones_are_refused() {
    let ticket = ledger(1).issue().unwrap();
    assert_eq!(ledger(2).redeem(&ticket), Err(TicketError::NotIssued));
    let forged: TicketId = format!("vm~1~0~{}", "00".repeat(16)).parse().unwrap();
    assert_eq!(ledger(1).redeem(&forged), Err(TicketError::NotIssued));
    for text in ["", "vm", "vm~1~0", "vm~1~0~zz", "vm~x~0~00", "a~1~0~00~00"] {
        assert_eq!(
            text.parse::<TicketId>(),
            Err(TicketError::Malformed),
            "{text}"
        );
    }
}

#[test]
fn an_evicted_ticket_is_not_fresh() {
    let mut ledger = ledger(1);
    let first = ledger.issue().unwrap();
    for _ in 0..4 {
        ledger.issue().unwrap();
    }
    assert_eq!(ledger.redeem(&first), Err(TicketError::Evicted));
}

#[test]
fn running_tickets_are_never_evicted() {
    let mut ledger = ledger(1);
    for _ in 0..4 {
        let ticket = ledger.issue().unwrap();
        ledger.redeem(&ticket).unwrap();
    }
    assert_eq!(ledger.issue().unwrap_err(), TicketError::TooMany);
}

#[test]
fn members_of_another_data_centre_follow_its_lists() {
    let remote = |name: &str| MemberHeartbeat {
        center: "other".parse().unwrap(),
        ..beat(name, 1, false)
    };
    let center = "other".parse().unwrap();
    let state = |table: &MemberTable, name: &str| table.get(&name.parse().unwrap()).unwrap().state;
    let mut table = MemberTable::new(beat("a", 1, false), MemberTiming::default());
    table.receive_members(at(0), &center, &[remote("x"), remote("y")]);
    let hash = table.serving_hash(&center);
    table.receive_center(at(9000), &center);
    table.tick(at(11_000));
    assert_eq!(
        state(&table, "x"),
        MemberState::Alive,
        "refreshed by the data centre"
    );
    table.receive_members(at(11_000), &center, &[remote("x")]);
    assert_eq!(state(&table, "y"), MemberState::Suspect, "no longer listed");
    assert_ne!(table.serving_hash(&center), hash);
    table.receive_members(at(11_500), &center, &[remote("x"), remote("y")]);
    assert_eq!(state(&table, "y"), MemberState::Alive, "listed again");
    assert_eq!(table.serving_hash(&center), hash);
}

#[test]
fn a_better_priority_goes_first_but_not_beyond_the_guarantee() {
    let mut queue = WeightedQueue::new(1000);
    queue.add_lane(KindId::from_index(0), 1.0, 4);
    queue.add_lane(KindId::from_index(1), 1.0, 6);
    for id in 0..200 {
        let kind = usize::try_from(id % 2).unwrap();
        queue.push(queued(id, kind, 1_000_000, 10)).unwrap();
    }
    assert_eq!(queue.first_priority(), Some(4));
    let firsts = (0..100)
        .filter(|_| queue.pop(at(0)).next.unwrap().kind.index() == 0)
        .count();
    assert!((74..=76).contains(&firsts), "{firsts}");
}

#[test]
fn an_eager_request_may_queue_in_a_server() {
    let mut server = ServerState::new(4);
    for id in 0..5 {
        server.start(at(0), id, Duration::from_hours(1));
    }
    assert!(!server.has_room(at(0), 1, false));
    assert!(server.has_room(at(0), 1, true));
}

#[test]
fn an_unresponsive_server_gets_no_work_until_a_probe() {
    let mut server = ServerState::new(4);
    server.record_unresponsive(at(0));
    assert!(
        server.is_usable(at(0)),
        "a server that never reported is left alone"
    );
    server.report(at(0), &report(1, 0));
    server.record_unresponsive(at(0));
    assert!(!server.is_usable(at(100)));
    assert!(server.is_usable(at(600)), "a probe after the pause");
}
