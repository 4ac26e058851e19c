//! What one server does in single situations.

use std::time::Duration;

use onyxfall_server_model::{
    Admission, Answer, BreakPoint, Capacity, CrashPoint, Health, NextPart, Output, Rejection,
    RequestNumber, RequestedBackoff, RunRequest, RunState, ServerFault, ServerModel, StubFraming,
    StubSignals, StubTransfer,
};

const EVENTS: usize = 3;
const PAUSE: Duration = Duration::from_millis(20);

const fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

const STREAM: RunRequest = RunRequest {
    is_stream: true,
    received: None,
    is_from_copy: false,
    crash: None,
    pause: PAUSE,
};

/// A request that has arrived and was admitted.
fn admitted(server: &mut ServerModel, now: Duration) -> RequestNumber {
    let number = server.arrive(now);
    assert_eq!(server.admit(number, now), Admission::Run);
    number
}

fn parts(outputs: Vec<Output>) -> Vec<NextPart> {
    outputs.into_iter().map(|output| output.part).collect()
}

struct EndCase {
    name: &'static str,
    fault: ServerFault,
    framing: StubFraming,
    run: RunRequest,
    parts: &'static [NextPart],
    state: RunState,
}

const END_CASES: &[EndCase] = &[
    EndCase {
        name: "a complete stream",
        fault: ServerFault::None,
        framing: StubFraming::Chunks,
        run: STREAM,
        parts: &[
            NextPart::Event(0),
            NextPart::Event(1),
            NextPart::Event(2),
            NextPart::End,
        ],
        state: RunState::Finished,
    },
    EndCase {
        name: "a complete stream that ends with its connection",
        fault: ServerFault::None,
        framing: StubFraming::UntilClose,
        run: STREAM,
        parts: &[
            NextPart::Event(0),
            NextPart::Event(1),
            NextPart::Event(2),
            NextPart::End,
        ],
        state: RunState::Finished,
    },
    EndCase {
        name: "the rest of a stream",
        fault: ServerFault::None,
        framing: StubFraming::Chunks,
        run: RunRequest {
            received: Some(2),
            ..STREAM
        },
        parts: &[NextPart::Event(2), NextPart::End],
        state: RunState::Finished,
    },
    EndCase {
        name: "an empty rest that ends with its connection looks broken off",
        fault: ServerFault::None,
        framing: StubFraming::UntilClose,
        run: RunRequest {
            received: Some(3),
            ..STREAM
        },
        parts: &[NextPart::End],
        state: RunState::BrokenOff,
    },
    EndCase {
        name: "broken off inside an event",
        fault: ServerFault::BreaksStreams(BreakPoint::InEvent),
        framing: StubFraming::UntilClose,
        run: STREAM,
        parts: &[NextPart::Event(0), NextPart::HalfEvent(1), NextPart::Break],
        state: RunState::BrokenOff,
    },
    EndCase {
        name: "broken off before its first event",
        fault: ServerFault::BreaksStreams(BreakPoint::BeforeEvents),
        framing: StubFraming::Chunks,
        run: STREAM,
        parts: &[NextPart::Break],
        state: RunState::BrokenOff,
    },
    EndCase {
        name: "broken off before its end",
        fault: ServerFault::BreaksStreams(BreakPoint::BeforeEnd),
        framing: StubFraming::Chunks,
        run: STREAM,
        parts: &[
            NextPart::Event(0),
            NextPart::Event(1),
            NextPart::Event(2),
            NextPart::Break,
        ],
        state: RunState::BrokenOff,
    },
    EndCase {
        name: "continued from a copy, which is not broken off",
        fault: ServerFault::BreaksAndLosesBackups,
        framing: StubFraming::Chunks,
        run: RunRequest {
            received: Some(2),
            is_from_copy: true,
            ..STREAM
        },
        parts: &[NextPart::Event(2), NextPart::End],
        state: RunState::Finished,
    },
    EndCase {
        name: "stalled before its last event",
        fault: ServerFault::Stalls,
        framing: StubFraming::Chunks,
        run: STREAM,
        parts: &[NextPart::Event(0), NextPart::Event(1)],
        state: RunState::Running,
    },
    EndCase {
        name: "crashed after its first event",
        fault: ServerFault::None,
        framing: StubFraming::Chunks,
        run: RunRequest {
            crash: Some(CrashPoint::DuringAnswer),
            ..STREAM
        },
        parts: &[NextPart::Event(0)],
        state: RunState::BrokenOff,
    },
    EndCase {
        name: "crashed before the head",
        fault: ServerFault::None,
        framing: StubFraming::Chunks,
        run: RunRequest {
            crash: Some(CrashPoint::BeforeHead),
            ..STREAM
        },
        parts: &[],
        state: RunState::BrokenOff,
    },
];

#[test]
fn an_answer_ends_as_its_fault_and_framing_say() {
    for case in END_CASES {
        let mut server = ServerModel::new(EVENTS);
        server.set_fault(case.fault);
        server.set_transfer(StubTransfer {
            framing: case.framing,
            ..StubTransfer::default()
        });
        let number = admitted(&mut server, at(0));
        server.begin(number, &case.run, at(0));
        let steps = (0..20).flat_map(|step| parts(server.advance(at(step * 20))));
        let sent: Vec<NextPart> = steps.collect();
        assert_eq!(sent, case.parts, "{}", case.name);
        assert_eq!(server.record(number).run, case.state, "{}", case.name);
    }
}

#[test]
fn what_was_due_during_a_silence_is_sent_when_it_ends() {
    let mut server = ServerModel::new(EVENTS);
    let number = admitted(&mut server, at(0));
    assert_eq!(server.begin(number, &STREAM, at(0)), Answer::Stream);
    assert_eq!(parts(server.advance(at(20))), [NextPart::Event(0)]);
    server.set_silent(true);
    assert!(server.advance(at(1300)).is_empty());
    assert_eq!(server.check_health(at(1300)), Health::Never);
    let late = server.arrive(at(1300));
    assert_eq!(server.admit(late, at(1300)), Admission::Wait);
    server.set_silent(false);
    assert_eq!(parts(server.advance(at(1301))), [NextPart::Event(1)]);
    assert_eq!(server.next(number, at(1301)), NextPart::At(at(1321)));
    assert_eq!(server.admit(late, at(1301)), Admission::Run);
    assert_eq!(server.record(number).run, RunState::Running);
}

#[test]
fn requests_wait_for_a_place_in_the_order_of_arrival() {
    let mut server = ServerModel::new(EVENTS);
    server.set_capacity(Capacity {
        places: Some(1),
        room: Some(3),
    });
    let first = admitted(&mut server, at(0));
    let [second, third, fourth] = [(); 3].map(|()| server.arrive(at(1)));
    // Read in another order than they have arrived.
    assert_eq!(
        server.admit(fourth, at(1)),
        Admission::Reject(Rejection::Full)
    );
    server.leave(fourth, at(1));
    assert_eq!(server.admit(second, at(2)), Admission::Wait);
    assert_eq!(server.admit(third, at(2)), Admission::Wait);
    assert_eq!((server.placed(), server.waiting()), (1, 2));
    server.leave(first, at(3));
    assert_eq!(server.admit(third, at(3)), Admission::Wait);
    assert_eq!(server.admit(second, at(3)), Admission::Run);
    // One that waits and is given up leaves the queue.
    server.leave(third, at(4));
    server.leave(second, at(4));
    assert_eq!((server.placed(), server.waiting()), (0, 0));
    assert_eq!(server.record(third).run, RunState::NotRun);
}

#[test]
fn a_request_that_waits_is_not_rejected_for_later_ones() {
    let mut server = ServerModel::new(EVENTS);
    server.set_capacity(Capacity {
        places: Some(1),
        room: Some(2),
    });
    let first = admitted(&mut server, at(0));
    let second = server.arrive(at(1));
    assert_eq!(server.admit(second, at(1)), Admission::Wait);
    let third = server.arrive(at(2));
    assert_eq!(server.admit(second, at(2)), Admission::Wait);
    assert_eq!(
        server.admit(third, at(2)),
        Admission::Reject(Rejection::Full)
    );
    server.leave(first, at(3));
    assert_eq!(server.admit(second, at(3)), Admission::Run);
}

#[test]
fn a_draining_server_says_so_and_serves_on() {
    let mut server = ServerModel::new(EVENTS);
    server.set_signals(StubSignals {
        is_draining: true,
        ..StubSignals::default()
    });
    assert_eq!(server.check_health(at(0)), Health::NotReady);
    let number = admitted(&mut server, at(0));
    server.begin(number, &STREAM, at(0));
    assert!(server.respond(number, None).is_draining);
    let sent = (0..10).flat_map(|step| parts(server.advance(at(step * 20))));
    assert_eq!(sent.last(), Some(NextPart::End));
}

#[test]
fn every_third_request_is_asked_for_backoff() {
    let mut server = ServerModel::new(EVENTS);
    let backoff = RequestedBackoff {
        seconds: "0.7",
        every: 3,
    };
    server.set_signals(StubSignals {
        backoff: Some(backoff),
        ..StubSignals::default()
    });
    let admissions = [(); 6].map(|()| {
        let number = server.arrive(at(0));
        server.admit(number, at(0)) != Admission::Run
    });
    assert_eq!(admissions, [false, false, true, false, false, true]);
}

#[test]
fn a_request_that_waited_when_a_backoff_began_is_not_asked_for_it() {
    let mut server = ServerModel::new(EVENTS);
    server.set_capacity(Capacity {
        places: Some(1),
        room: None,
    });
    let first = admitted(&mut server, at(0));
    let second = server.arrive(at(1));
    assert_eq!(server.admit(second, at(1)), Admission::Wait);
    let backoff = RequestedBackoff {
        seconds: "1",
        every: 1,
    };
    server.set_signals(StubSignals {
        backoff: Some(backoff),
        ..StubSignals::default()
    });
    server.leave(first, at(2));
    assert_eq!(server.admit(second, at(2)), Admission::Run);
    server.begin(second, &STREAM, at(2));
    assert_eq!(server.respond(second, None).backoff, None);
    let third = server.arrive(at(3));
    let rejection = Rejection::Backoff("1");
    assert_eq!(server.admit(third, at(3)), Admission::Reject(rejection));
    assert_eq!(
        server.respond(third, Some(rejection)).backoff,
        Some(backoff)
    );
}

#[test]
fn a_brittle_server_crashes_by_rejections_within_a_second() {
    let mut server = ServerModel::new(EVENTS);
    server.set_capacity(Capacity {
        room: Some(0),
        ..Capacity::default()
    });
    server.set_signals(StubSignals {
        brittle: Some("2"),
        ..StubSignals::default()
    });
    for millis in [0, 900, 1950] {
        let number = server.arrive(at(millis));
        server.admit(number, at(millis));
        server.leave(number, at(millis));
        assert!(!server.is_crashed());
    }
    for millis in [2000, 2010] {
        let number = server.arrive(at(millis));
        server.admit(number, at(millis));
    }
    assert!(server.is_crashed());
}

/// The run would be recorded as one that goes on.
#[test]
fn a_request_that_was_admitted_before_a_crash_does_not_run_after_it() {
    let mut server = ServerModel::new(EVENTS);
    let number = admitted(&mut server, at(0));
    server.crash(at(1));
    assert_eq!(server.begin(number, &STREAM, at(2)), Answer::Closed);
    assert_eq!(server.record(number).run, RunState::BrokenOff);
}
