//! All interleavings of what may happen to the runs of a request.

use onyxfall_streams::{RunEvent, RunRace, RunSide, RunStep};

/// Events in a history.
const LENGTH: usize = 7;

/// What the caller of [`RunRace`] knows about one of its runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ModelRun {
    Absent,
    /// It was asked for, and no server has taken it yet.
    Asked,
    Open,
}

/// The runs as their owner sees them, apart from the decisions under test.
#[derive(Clone, Debug)]
struct RaceModel {
    race: RunRace,
    may_race: bool,
    first: ModelRun,
    second: ModelRun,
    /// Second runs since the first run last progressed, while it had not ended.
    paid: u32,
    is_over: bool,
    history: Vec<RunEvent>,
}

impl RaceModel {
    fn new(may_race: bool) -> Self {
        Self {
            race: RunRace::new(may_race),
            may_race,
            first: ModelRun::Open,
            second: ModelRun::Absent,
            paid: 0,
            is_over: false,
            history: Vec::new(),
        }
    }

    /// Events that can happen next.
    fn events(&self) -> Vec<RunEvent> {
        let mut events = Vec::new();
        if self.is_over {
            return events;
        }
        for (side, run) in [(RunSide::First, self.first), (RunSide::Second, self.second)] {
            if run == ModelRun::Open {
                events.push(RunEvent::Progressed(side));
                events.push(RunEvent::Completed(side));
                events.push(RunEvent::Ended(side));
            }
        }
        if self.first == ModelRun::Open {
            events.push(RunEvent::Suspected);
        }
        if self.second == ModelRun::Asked {
            events.push(RunEvent::Refused);
        }
        events
    }

    /// Whether the first run is under way.
    fn has_first(&self) -> bool {
        self.first == ModelRun::Open
    }

    fn apply(&mut self, event: RunEvent) {
        self.history.push(event);
        let had_first = self.has_first();
        match event {
            RunEvent::Ended(RunSide::First) => self.first = ModelRun::Absent,
            RunEvent::Ended(RunSide::Second) | RunEvent::Refused => {
                self.second = ModelRun::Absent;
            }
            RunEvent::Progressed(RunSide::First) => self.paid = 0,
            RunEvent::Suspected | RunEvent::Progressed(_) | RunEvent::Completed(_) => {}
        }
        match self.race.apply(event) {
            RunStep::Wait => self.check(self.has_run(), "waits without a run"),
            RunStep::Start => {
                self.check(self.second == ModelRun::Absent, "a third run");
                let is_silent_only = self.has_first();
                self.check(!is_silent_only || self.may_race, "ran twice on a suspicion");
                self.check(
                    !is_silent_only || self.paid == 0,
                    "paid twice for a silence",
                );
                self.second = ModelRun::Asked;
            }
            RunStep::Keep(side) => {
                self.check(event == RunEvent::Progressed(side), "kept the silent run");
                self.first = ModelRun::Open;
                self.second = ModelRun::Absent;
                self.paid = 0;
            }
            RunStep::Finish(side) => {
                self.check(event == RunEvent::Completed(side), "finished another run");
                self.is_over = true;
            }
            RunStep::GiveUp => {
                self.check(
                    !had_first && !self.has_run(),
                    "gave up with a run under way",
                );
                self.is_over = true;
            }
        }
    }

    fn has_run(&self) -> bool {
        self.has_first() || self.second != ModelRun::Absent
    }

    fn check(&self, holds: bool, what: &str) {
        assert!(
            holds,
            "{what}: may race {}: {:?}",
            self.may_race, self.history
        );
    }

    /// Plays all histories from here; returns their number.
    fn explore(&self) -> usize {
        if self.history.len() == LENGTH {
            return 1;
        }
        let mut count = 1;
        // A second run that was asked for is taken by a server, or not.
        if self.second == ModelRun::Asked {
            let mut taken = self.clone();
            taken.second = ModelRun::Open;
            taken.paid += u32::from(taken.has_first());
            count += taken.explore();
        }
        for event in self.events() {
            let mut next = self.clone();
            next.apply(event);
            count += next.explore();
        }
        count
    }
}

#[test]
fn no_interleaving_gives_up_a_run_or_runs_a_request_twice_without_leave() {
    let counts = [true, false].map(|may_race| RaceModel::new(may_race).explore());
    assert!(counts[0] > counts[1] && counts[1] > 100, "{counts:?}");
}

struct StepCase {
    name: &'static str,
    may_race: bool,
    events: &'static [RunEvent],
    steps: &'static [RunStep],
}

const CASES: [StepCase; 6] = [
    StepCase {
        name: "silent, then back while the second run is under way",
        may_race: true,
        events: &[
            RunEvent::Suspected,
            RunEvent::Progressed(RunSide::First),
            RunEvent::Suspected,
        ],
        steps: &[
            RunStep::Start,
            RunStep::Keep(RunSide::First),
            RunStep::Start,
        ],
    },
    StepCase {
        name: "silent, then dead: the second run is the answer",
        may_race: true,
        events: &[
            RunEvent::Suspected,
            RunEvent::Ended(RunSide::First),
            RunEvent::Progressed(RunSide::Second),
        ],
        steps: &[
            RunStep::Start,
            RunStep::Wait,
            RunStep::Keep(RunSide::Second),
        ],
    },
    StepCase {
        name: "no server takes the second run: asked again while the silence lasts",
        may_race: true,
        events: &[RunEvent::Suspected, RunEvent::Refused, RunEvent::Suspected],
        steps: &[RunStep::Start, RunStep::Wait, RunStep::Start],
    },
    StepCase {
        name: "the second run ends first: no third one for the same silence",
        may_race: true,
        events: &[
            RunEvent::Suspected,
            RunEvent::Ended(RunSide::Second),
            RunEvent::Suspected,
            RunEvent::Ended(RunSide::First),
        ],
        steps: &[RunStep::Start, RunStep::Wait, RunStep::Wait, RunStep::Start],
    },
    StepCase {
        name: "a request that runs once waits for proof",
        may_race: false,
        events: &[
            RunEvent::Suspected,
            RunEvent::Suspected,
            RunEvent::Ended(RunSide::First),
            RunEvent::Refused,
        ],
        steps: &[
            RunStep::Wait,
            RunStep::Wait,
            RunStep::Start,
            RunStep::GiveUp,
        ],
    },
    StepCase {
        name: "both runs are under way, the first one completes the answer",
        may_race: true,
        events: &[RunEvent::Suspected, RunEvent::Completed(RunSide::First)],
        steps: &[RunStep::Start, RunStep::Finish(RunSide::First)],
    },
];

#[test]
fn each_event_has_its_step() {
    for case in &CASES {
        let mut race = RunRace::new(case.may_race);
        let steps = case.events.iter().map(|event| race.apply(*event));
        assert_eq!(steps.collect::<Vec<_>>(), case.steps, "{}", case.name);
    }
}
