//! Random histories of a server in virtual time.

use std::time::Duration;

use onyxfall_server_model::{
    Admission, Answer, BreakPoint, Capacity, CrashPoint, NextPart, Output, RequestNumber,
    RunRequest, RunState, ServerFault, ServerModel, StubFraming, StubTransfer,
};
use proptest::prelude::*;

const EVENTS: usize = 3;
const PLACES: u32 = 2;
const ROOM: u32 = 5;
/// Longer than any answer takes after the last step of a history.
const REST: Duration = Duration::from_secs(2);

const FAULTS: [ServerFault; 8] = [
    ServerFault::None,
    ServerFault::Fails,
    ServerFault::Rejects,
    ServerFault::Closes,
    ServerFault::WrongResponse,
    ServerFault::Disconnects,
    ServerFault::BreaksStreams(BreakPoint::InEvent),
    ServerFault::BreaksStreams(BreakPoint::BeforeEvents),
];

#[derive(Clone, Debug)]
enum Step {
    Arrive { is_stream: bool, is_crashing: bool },
    Leave(usize),
    Wait(u64),
    Silent(bool),
    Fault(usize),
    Framing(bool),
    Crash,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (any::<bool>(), prop::bool::weighted(0.02))
            .prop_map(|(is_stream, is_crashing)| Step::Arrive { is_stream, is_crashing }),
        2 => (0..20_usize).prop_map(Step::Leave),
        8 => (1..60_u64).prop_map(Step::Wait),
        3 => any::<bool>().prop_map(Step::Silent),
        2 => (0..FAULTS.len()).prop_map(Step::Fault),
        1 => any::<bool>().prop_map(Step::Framing),
        1 => Just(Step::Crash),
    ]
}

/// A server, and those of its requests that have not been decided on.
struct History {
    server: ServerModel,
    now: Duration,
    pending: Vec<(RequestNumber, RunRequest)>,
    numbers: Vec<RequestNumber>,
    outputs: Vec<Output>,
    is_silent: bool,
}

impl History {
    fn new() -> Self {
        let mut server = ServerModel::new(EVENTS);
        server.set_capacity(Capacity {
            places: Some(PLACES),
            room: Some(ROOM),
        });
        Self {
            server,
            now: Duration::ZERO,
            pending: Vec::new(),
            numbers: Vec::new(),
            outputs: Vec::new(),
            is_silent: false,
        }
    }

    /// Decides on the requests that wait, the first one first.
    fn admit(&mut self) {
        for (number, run) in std::mem::take(&mut self.pending) {
            match self.server.admit(number, self.now) {
                Admission::Wait => self.pending.push((number, run)),
                Admission::Reject(_) => self.server.leave(number, self.now),
                Admission::Run => {
                    let answer = self.server.begin(number, &run, self.now);
                    if answer == Answer::Closed {
                        self.server.leave(number, self.now);
                    }
                }
            }
        }
    }

    fn play(&mut self, step: &Step) {
        let is_out = self.is_silent || self.server.is_crashed();
        match *step {
            Step::Arrive {
                is_stream,
                is_crashing,
            } if !self.server.is_crashed() => {
                let number = self.server.arrive(self.now);
                self.numbers.push(number);
                let run = RunRequest {
                    is_stream,
                    crash: is_crashing.then_some(CrashPoint::DuringAnswer),
                    pause: Duration::from_millis(20),
                    ..RunRequest::default()
                };
                self.pending.push((number, run));
            }
            Step::Leave(index) => {
                if let Some(number) = self.numbers.get(index).copied() {
                    self.server.leave(number, self.now);
                    self.pending.retain(|(other, _)| *other != number);
                }
            }
            Step::Wait(millis) => {
                self.now += Duration::from_millis(millis);
                let sent = self.server.advance(self.now);
                assert!(sent.is_empty() || !is_out, "sent while silent or crashed");
                self.outputs.extend(sent);
            }
            Step::Silent(is_silent) => {
                self.is_silent = is_silent;
                self.server.set_silent(is_silent);
            }
            Step::Fault(index) => self.server.set_fault(FAULTS[index]),
            Step::Framing(is_delimited) => self.server.set_transfer(StubTransfer {
                framing: if is_delimited {
                    StubFraming::Chunks
                } else {
                    StubFraming::UntilClose
                },
                ..StubTransfer::default()
            }),
            Step::Crash => self.server.crash(self.now),
            Step::Arrive { .. } => {}
        }
        if !self.server.is_crashed() {
            self.admit();
        }
        self.check();
    }

    fn check(&self) {
        let server = &self.server;
        assert!(server.placed() <= PLACES as usize);
        assert!(server.waiting() + server.placed() <= ROOM as usize);
        let open = server
            .records()
            .filter(|record| record.done.is_none())
            .count();
        assert_eq!(open, server.under_way() as usize);
        let mut running = server
            .records()
            .filter(|record| record.run == RunState::Running);
        assert!(running.all(|record| record.done.is_none()));
        let count = server
            .records()
            .filter(|record| record.run == RunState::Running)
            .count();
        assert!(count <= PLACES as usize, "{count} runs at {PLACES} places");
    }

    /// Checks that the parts of each answer are in order, and end at most once.
    fn check_outputs(&self) {
        for number in &self.numbers {
            let parts = self
                .outputs
                .iter()
                .filter(|output| output.number == *number);
            let mut next = 0;
            let mut has_ended = false;
            for output in parts {
                assert!(!has_ended, "a part after the end of request {number:?}");
                match output.part {
                    NextPart::Event(index) | NextPart::HalfEvent(index) => {
                        assert_eq!(index, next);
                        next += 1;
                    }
                    NextPart::End | NextPart::Break => has_ended = true,
                    NextPart::At(_) | NextPart::Never => panic!("not a part"),
                }
            }
            let record = self.server.record(*number);
            if record.run == RunState::NotRun {
                assert_eq!(next, 0, "a part of a request that has not run");
            }
            if record.run == RunState::Finished {
                assert!(has_ended && next > 0);
            }
        }
    }
}

fn play(steps: &[Step]) -> History {
    let mut history = History::new();
    for step in steps {
        history.play(step);
    }
    history
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2000))]

    #[test]
    fn places_order_and_ends_hold_in_all_histories(
        steps in prop::collection::vec(step(), 1..120),
    ) {
        let mut history = play(&steps);
        history.check_outputs();
        let again = play(&steps);
        prop_assert_eq!(&history.outputs, &again.outputs);

        // A server that goes on ends every answer that is under way, and its queue.
        history.play(&Step::Silent(false));
        let begun = history.now;
        while history.now < begun + REST {
            history.play(&Step::Wait(20));
        }
        history.check_outputs();
        prop_assert_eq!(history.server.under_way(), 0);
    }
}
