//! The state of one instance of a server.

use std::time::Duration;

use crate::answer::AnswerScript;
use crate::capacity::Occupancy;
use crate::{
    Answer, Capacity, CrashPoint, NextPart, RequestNumber, RequestRecord, RequestedBackoff,
    RunRequest, RunState, ServerFault, StubSignals, StubTransfer,
};

/// Time from the start of a run that crashes its server to the crash: a model server crashed 40 to
/// 180 ms after the start of a run.
pub const CRASH_AFTER: Duration = Duration::from_millis(40);

/// Why a server does not run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// It has no room.
    Full,
    /// It asks for backoff, in seconds as in the header.
    Backoff(&'static str),
    /// It rejects all requests.
    Unwanted,
    /// It says that the request is for another instance.
    Misdirected,
}

/// What a server does with a request that has arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It runs the request.
    Run,
    /// The request waits for a place; ask again when another one has ended.
    Wait,
    /// It does not run the request.
    Reject(Rejection),
}

/// What a server answers to a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// It is ready.
    Ready,
    /// It is full or draining.
    NotReady,
    /// It closes the connection.
    Closes,
    /// It does not answer.
    Never,
}

/// A part of an answer that was due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Output {
    /// The request.
    pub number: RequestNumber,
    /// The part of its answer; never [`NextPart::At`] or [`NextPart::Never`].
    pub part: NextPart,
}

#[derive(Debug)]
struct OpenRequest {
    record: RequestRecord,
    /// What is left of its answer; `None` before its run begins and after its end.
    answer: Option<AnswerScript>,
}

/// One instance of a server.
///
/// ```
/// use std::time::Duration;
/// use onyxfall_server_model::{Admission, Answer, NextPart, RunRequest, ServerModel};
///
/// let at = Duration::from_millis;
/// let mut server = ServerModel::new(3);
/// let number = server.arrive(at(0));
/// assert_eq!(server.admit(number, at(0)), Admission::Run);
/// let request = RunRequest { is_stream: true, pause: at(20), ..RunRequest::default() };
/// assert_eq!(server.begin(number, &request, at(0)), Answer::Stream);
/// server.set_silent(true);
/// assert_eq!(server.next(number, at(20)), NextPart::Never);
/// server.set_silent(false);
/// assert_eq!(server.next(number, at(1200)), NextPart::Event(0));
/// assert_eq!(server.next(number, at(1200)), NextPart::At(at(1220)));
/// ```
#[derive(Debug)]
pub struct ServerModel {
    /// Number of events of a stream.
    events: usize,
    capacity: Capacity,
    fault: ServerFault,
    signals: StubSignals,
    transfer: StubTransfer,
    is_silent: bool,
    is_crashed: bool,
    /// When a run that is under way crashes the server.
    crash_due: Option<Duration>,
    occupancy: Occupancy,
    requests: Vec<OpenRequest>,
}

impl ServerModel {
    /// A server whose streams have `events` events, without a fault or a bound.
    pub fn new(events: usize) -> Self {
        Self {
            events,
            capacity: Capacity::default(),
            fault: ServerFault::default(),
            signals: StubSignals::default(),
            transfer: StubTransfer::default(),
            is_silent: false,
            is_crashed: false,
            crash_due: None,
            occupancy: Occupancy::default(),
            requests: Vec::new(),
        }
    }

    /// Sets how many requests it takes.
    pub fn set_capacity(&mut self, capacity: Capacity) {
        self.capacity = capacity;
    }

    /// How many requests it takes.
    pub fn capacity(&self) -> Capacity {
        self.capacity
    }

    /// Sets how it handles the requests that it begins to run from now on.
    pub fn set_fault(&mut self, fault: ServerFault) {
        self.fault = fault;
    }

    /// How it handles requests.
    pub fn fault(&self) -> ServerFault {
        self.fault
    }

    /// Sets the signals in its responses.
    pub fn set_signals(&mut self, signals: StubSignals) {
        self.signals = signals;
    }

    /// Sets how it transfers the answers that it begins from now on.
    pub fn set_transfer(&mut self, transfer: StubTransfer) {
        self.transfer = transfer;
    }

    /// How it transfers its answers.
    pub fn transfer(&self) -> StubTransfer {
        self.transfer
    }

    /// Stops it, or lets it go on: a server that is silent takes and sends nothing, and what was due
    /// meanwhile is due at once when it goes on.
    pub fn set_silent(&mut self, is_silent: bool) {
        self.is_silent = is_silent;
    }

    /// Whether it has crashed.
    pub fn is_crashed(&self) -> bool {
        self.is_crashed
    }

    /// Crashes it: all its connections end.
    pub fn crash(&mut self, now: Duration) {
        if self.is_crashed {
            return;
        }
        self.is_crashed = true;
        for request in &mut self.requests {
            request.answer = None;
            request.record.end(RunState::BrokenOff);
            request.record.done.get_or_insert(now);
        }
        self.occupancy.clear();
    }

    /// Number of requests that have arrived and not ended.
    pub fn under_way(&self) -> u32 {
        self.occupancy.under_way()
    }

    /// Number of requests that have a place.
    pub fn placed(&self) -> usize {
        self.occupancy.placed()
    }

    /// Number of requests that wait for a place.
    pub fn waiting(&self) -> usize {
        self.occupancy.waiting()
    }

    /// What it has recorded of each request, in the order of arrival.
    pub fn records(&self) -> impl ExactSizeIterator<Item = &RequestRecord> {
        self.requests.iter().map(|request| &request.record)
    }

    /// What it has recorded of a request.
    pub fn record(&self, number: RequestNumber) -> &RequestRecord {
        &self.requests[number.index()].record
    }

    /// Records that a request has arrived.
    pub fn arrive(&mut self, now: Duration) -> RequestNumber {
        self.occupancy.arrive();
        self.requests.push(OpenRequest {
            record: RequestRecord::new(now),
            answer: None,
        });
        RequestNumber::from_index(self.requests.len() - 1)
    }

    /// The backoff for which a request is rejected: only some requests are asked for it.
    fn backoff_for(&self, number: RequestNumber) -> Option<RequestedBackoff> {
        let backoff = self.signals.backoff;
        backoff.filter(|backoff| number.get().is_multiple_of(backoff.every))
    }

    /// Decides on a request that has arrived and been read. A server without room that says that it
    /// is brittle may crash by rejecting it.
    pub fn admit(&mut self, number: RequestNumber, now: Duration) -> Admission {
        if self.is_silent || self.is_crashed {
            return Admission::Wait;
        }
        // One that waits was decided on before.
        if self.occupancy.is_waiting(number) {
            return self.place(number);
        }
        if self.rejects_for_room(now) {
            return Admission::Reject(Rejection::Full);
        }
        if let Some(backoff) = self.backoff_for(number) {
            return Admission::Reject(Rejection::Backoff(backoff.seconds));
        }
        match self.fault {
            ServerFault::Rejects => Admission::Reject(Rejection::Unwanted),
            ServerFault::Replaced => Admission::Reject(Rejection::Misdirected),
            _ => self.place(number),
        }
    }

    fn place(&mut self, number: RequestNumber) -> Admission {
        if self.occupancy.take_place(number, self.capacity) {
            Admission::Run
        } else {
            Admission::Wait
        }
    }

    /// Whether the requests under way exceed the room, which is counted as a rejection.
    fn rejects_for_room(&mut self, now: Duration) -> bool {
        if !self.occupancy.is_over(self.capacity) {
            return false;
        }
        let rejected = self.occupancy.reject(now);
        let tolerated = self
            .signals
            .brittle
            .and_then(|text| text.parse::<f64>().ok());
        if tolerated.is_some_and(|tolerated| rejected as f64 > tolerated) {
            self.crash(now);
        }
        true
    }

    /// What it answers to a health check, which takes no place.
    pub fn check_health(&mut self, now: Duration) -> Health {
        if self.is_silent || self.is_crashed {
            return Health::Never;
        }
        if self.rejects_for_room(now) {
            return Health::NotReady;
        }
        match self.fault {
            ServerFault::Unresponsive => Health::Never,
            ServerFault::Closes => Health::Closes,
            _ if self.signals.is_draining => Health::NotReady,
            _ => Health::Ready,
        }
    }

    /// Begins to run a request that was admitted.
    pub fn begin(&mut self, number: RequestNumber, run: &RunRequest, now: Duration) -> Answer {
        let (fault, framing) = (self.fault, self.transfer.framing);
        let request = &mut self.requests[number.index()];
        request.record.run = RunState::Running;
        if self.is_crashed {
            request.record.end(RunState::BrokenOff);
            return Answer::Closed;
        }
        if run.crash.is_some() {
            let due = now + CRASH_AFTER;
            self.crash_due = Some(self.crash_due.map_or(due, |other| other.min(due)));
        }
        let is_silent = match run.crash {
            Some(CrashPoint::BeforeHead) => true,
            Some(CrashPoint::DuringAnswer) => !run.is_stream,
            None => false,
        };
        let answer = match fault {
            ServerFault::Fails | ServerFault::FailsWith(_) => {
                // A stream that another server has begun cannot go on with an error, and no
                // caller may get a status that promises that the request has not run.
                let is_promise = matches!(fault, ServerFault::FailsWith(_));
                if is_promise || run.received.is_some() {
                    request.record.end(RunState::BrokenOff);
                }
                Answer::Failure
            }
            ServerFault::Closes => {
                request.record.end(RunState::BrokenOff);
                return Answer::Closed;
            }
            ServerFault::Unresponsive => return Answer::Never,
            _ if is_silent => return Answer::Never,
            _ if run.is_stream => Answer::Stream,
            _ => Answer::Whole,
        };
        if fault == ServerFault::WrongResponse {
            request.record.end(RunState::BrokenOff);
        }
        request.answer = Some(if answer == Answer::Stream {
            AnswerScript::stream(run, self.events, fault, framing, now)
        } else {
            AnswerScript::whole(framing)
        });
        answer
    }

    /// Begins the response to a request that was run, or rejected for `rejection`; returns the
    /// signals in it. A request that waited when a backoff began is run, and not asked for it.
    pub fn respond(&mut self, number: RequestNumber, rejection: Option<Rejection>) -> StubSignals {
        let mut signals = self.signals;
        let is_backoff = matches!(rejection, Some(Rejection::Backoff(_)));
        signals.backoff = self.backoff_for(number).filter(|_| is_backoff);
        let request = &mut self.requests[number.index()];
        request.record.signals = signals;
        let whole = || AnswerScript::whole(crate::StubFraming::Chunks);
        request.answer.get_or_insert_with(whole);
        signals
    }

    /// Whether the answer to a request is to be broken off.
    pub fn breaks(&self, number: RequestNumber) -> bool {
        let answer = &self.requests[number.index()].answer;
        answer.as_ref().is_some_and(|answer| answer.breaks)
    }

    /// Takes the next part of the answer to a request if it is due.
    pub fn next(&mut self, number: RequestNumber, now: Duration) -> NextPart {
        if self.is_silent {
            return NextPart::Never;
        }
        let OpenRequest { record, answer } = &mut self.requests[number.index()];
        let Some(script) = answer else {
            return NextPart::Never;
        };
        let part = script.next(now);
        match part {
            NextPart::Event(_) | NextPart::HalfEvent(_) => record.has_sent = true,
            NextPart::End => {
                // Without a delimiter, an empty body may also have broken off before its first event.
                let is_complete = script.is_delimited || record.has_sent;
                record.end(if is_complete {
                    RunState::Finished
                } else {
                    RunState::BrokenOff
                });
                *answer = None;
            }
            NextPart::Break => {
                record.end(RunState::BrokenOff);
                *answer = None;
            }
            NextPart::At(_) | NextPart::Never => {}
        }
        part
    }

    /// Records that the connection of a request has ended, which frees its place.
    pub fn leave(&mut self, number: RequestNumber, now: Duration) {
        let request = &mut self.requests[number.index()];
        if request.record.done.is_some() {
            return;
        }
        request.answer = None;
        request.record.done = Some(now);
        request.record.end(RunState::Abandoned);
        self.occupancy.leave(number);
    }

    /// When a run under way crashes the server.
    pub fn crash_due(&self) -> Option<Duration> {
        self.crash_due.filter(|_| !self.is_crashed)
    }

    /// Plays the server up to `now` in memory: crashes it if that is due, and takes all parts that
    /// are due, in the order of the requests. A request whose answer has ended leaves.
    pub fn advance(&mut self, now: Duration) -> Vec<Output> {
        let mut outputs = Vec::new();
        if self.is_silent || self.is_crashed {
            return outputs;
        }
        if self.crash_due.is_some_and(|due| due <= now) {
            self.crash(now);
            return outputs;
        }
        for index in 0..self.requests.len() {
            let number = RequestNumber::from_index(index);
            loop {
                let part = self.next(number, now);
                match part {
                    NextPart::At(_) | NextPart::Never => break,
                    NextPart::End | NextPart::Break => {
                        outputs.push(Output { number, part });
                        self.leave(number, now);
                        break;
                    }
                    NextPart::Event(_) | NextPart::HalfEvent(_) => {
                        outputs.push(Output { number, part });
                    }
                }
            }
        }
        outputs
    }
}
