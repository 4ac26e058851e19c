//! What may be done about a run whose server has fallen silent.
//!
//! Silence can only be suspected to be the end of a server: a stopped process goes on when it is
//! continued. So a suspicion starts a second run where the request may run twice, and nothing
//! else; the connection of the first run stays open. Whichever run brings the next part of the
//! answer is kept, and the other one is cancelled. An answer is given up only if every run of it
//! has ended.

/// One of the two runs of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunSide {
    /// The run whose answer was forwarded so far.
    First,
    /// The run that was started while the first one was silent or after its end.
    Second,
}

/// What happened to the runs of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEvent {
    /// The server of the first run is suspected to have ended.
    Suspected,
    /// A part of the answer arrived.
    Progressed(RunSide),
    /// The answer is complete.
    Completed(RunSide),
    /// The run has ended for certain: its connection has ended, or the platform's store names
    /// another instance.
    Ended(RunSide),
    /// No server takes a second run now.
    Refused,
}

/// What to do about the runs of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunStep {
    /// Nothing: a run is under way.
    Wait,
    /// Ask for a second run. The first one continues if it has not ended.
    Start,
    /// This run goes on as the first one, and the other one is cancelled.
    Keep(RunSide),
    /// This run has completed the answer, and the other one is cancelled.
    Finish(RunSide),
    /// No run is left.
    GiveUp,
}

/// State of the second run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SecondRun {
    /// There is none, and one may be started.
    Absent,
    /// It is under way.
    Open,
    /// It has ended before the first run progressed.
    Ended,
}

/// The runs of one request: at most two at a time, and at most one second run for each silence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunRace {
    /// Whether the request may run a second time while its first run may go on.
    may_race: bool,
    has_first: bool,
    second: SecondRun,
}

impl RunRace {
    /// The race of a request with one run. A request that runs at most once never has a second
    /// run while its first one may go on.
    ///
    /// ```
    /// use onyxfall_streams::{RunEvent, RunRace, RunSide, RunStep};
    /// let mut race = RunRace::new(true);
    /// assert_eq!(race.apply(RunEvent::Suspected), RunStep::Start);
    /// let kept = race.apply(RunEvent::Progressed(RunSide::Second));
    /// assert_eq!(kept, RunStep::Keep(RunSide::Second));
    /// ```
    pub const fn new(may_race: bool) -> Self {
        Self {
            may_race,
            has_first: true,
            second: SecondRun::Absent,
        }
    }

    /// Whether both runs are under way.
    pub fn is_open(&self) -> bool {
        self.has_first && self.second == SecondRun::Open
    }

    /// Whether a suspicion would start a second run.
    ///
    /// ```
    /// use onyxfall_streams::RunRace;
    /// assert!(RunRace::new(true).may_start());
    /// assert!(!RunRace::new(false).may_start());
    /// ```
    pub fn may_start(&self) -> bool {
        self.may_race && self.has_first && self.second == SecondRun::Absent
    }

    /// Applies an event and returns what to do.
    ///
    /// ```
    /// use onyxfall_streams::{RunEvent, RunRace, RunSide, RunStep};
    /// let mut race = RunRace::new(false);
    /// assert_eq!(race.apply(RunEvent::Suspected), RunStep::Wait);
    /// assert_eq!(race.apply(RunEvent::Ended(RunSide::First)), RunStep::Start);
    /// assert_eq!(race.apply(RunEvent::Refused), RunStep::GiveUp);
    /// ```
    pub fn apply(&mut self, event: RunEvent) -> RunStep {
        match event {
            RunEvent::Suspected if self.may_start() => {
                self.second = SecondRun::Open;
                RunStep::Start
            }
            RunEvent::Suspected => RunStep::Wait,
            RunEvent::Progressed(side) => self.keep(side),
            RunEvent::Completed(side) => RunStep::Finish(side),
            RunEvent::Ended(RunSide::First) => {
                self.has_first = false;
                self.replace_first()
            }
            RunEvent::Ended(RunSide::Second) => {
                self.second = SecondRun::Ended;
                self.replace_first()
            }
            RunEvent::Refused if self.has_first => {
                self.second = SecondRun::Absent;
                RunStep::Wait
            }
            RunEvent::Refused => RunStep::GiveUp,
        }
    }

    fn keep(&mut self, side: RunSide) -> RunStep {
        let was_open = self.second == SecondRun::Open;
        self.has_first = true;
        self.second = SecondRun::Absent;
        if was_open {
            RunStep::Keep(side)
        } else {
            RunStep::Wait
        }
    }

    /// Asks for another run if none is under way.
    fn replace_first(&mut self) -> RunStep {
        if self.has_first || self.second == SecondRun::Open {
            return RunStep::Wait;
        }
        self.second = SecondRun::Open;
        RunStep::Start
    }
}
