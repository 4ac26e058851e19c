//! Which attempts of a request count against its limit.

use std::collections::BTreeSet;

use onyxfall_streams::{AttemptLog, MAX_ARRIVALS, MAX_UNREACHED};
use onyxfall_types::{EntityId, ServerId};

/// Attempts in a history.
const LENGTH: usize = 6;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// An attempt that may have run at the server with this number.
    Run(usize),
    /// The same at a server that another VM has not named.
    UnnamedRun,
    /// The same at a server that has ended by the verdict of another VM.
    EndedRun,
    Rejected,
    Unreached,
    /// The server with this number has ended for certain.
    Ended(usize),
}

struct LimitCase {
    name: &'static str,
    steps: &'static [Step],
    max_attempts: u32,
    has_attempt: bool,
}

const CASES: [LimitCase; 11] = [
    LimitCase {
        name: "no attempt yet",
        steps: &[],
        max_attempts: 1,
        has_attempt: true,
    },
    LimitCase {
        name: "a silent first run and its second run",
        steps: &[Step::Run(0), Step::Run(1)],
        max_attempts: 2,
        has_attempt: false,
    },
    LimitCase {
        name: "the silent server has ended",
        steps: &[Step::Run(0), Step::Run(1), Step::Ended(0)],
        max_attempts: 2,
        has_attempt: true,
    },
    LimitCase {
        name: "the server of a cancelled second run has ended",
        steps: &[Step::Run(0), Step::Run(1), Step::Ended(1)],
        max_attempts: 2,
        has_attempt: true,
    },
    LimitCase {
        name: "a server that was not tried has ended",
        steps: &[Step::Run(0), Step::Run(1), Step::Ended(2)],
        max_attempts: 2,
        has_attempt: false,
    },
    LimitCase {
        name: "both servers have ended",
        steps: &[Step::Run(0), Step::Run(1), Step::Ended(0), Step::Ended(1)],
        max_attempts: 2,
        has_attempt: true,
    },
    LimitCase {
        name: "three servers have ended: the request may crash them",
        steps: &[
            Step::Run(0),
            Step::EndedRun,
            Step::Run(1),
            Step::Ended(0),
            Step::Ended(1),
        ],
        max_attempts: 2,
        has_attempt: false,
    },
    LimitCase {
        name: "another VM lost the run with its server",
        steps: &[Step::Run(0), Step::EndedRun],
        max_attempts: 2,
        has_attempt: true,
    },
    LimitCase {
        name: "a VM of an older build lost the run",
        steps: &[Step::Run(0), Step::UnnamedRun],
        max_attempts: 2,
        has_attempt: false,
    },
    LimitCase {
        name: "another VM ran it at the same server, which has ended",
        steps: &[Step::Run(0), Step::Run(0), Step::Ended(0)],
        max_attempts: 1,
        has_attempt: true,
    },
    LimitCase {
        name: "rejections count as arrivals only",
        steps: &[Step::Rejected, Step::Rejected],
        max_attempts: 1,
        has_attempt: true,
    },
];

fn server(number: usize) -> ServerId {
    ServerId::from_index(number)
}

fn apply(log: &mut AttemptLog, step: Step) {
    match step {
        Step::Run(number) => log.record_run(Some(server(number))),
        Step::UnnamedRun => log.record_run(None),
        Step::EndedRun => log.record_ended_run(),
        Step::Rejected => log.record_rejection(),
        Step::Unreached => log.record_unreached(),
        Step::Ended(number) => log.record_end(server(number)),
    }
}

#[test]
fn attempts_at_ended_servers_do_not_count() {
    for case in &CASES {
        let mut log = AttemptLog::default();
        for step in case.steps {
            apply(&mut log, *step);
        }
        let has_attempt = log.has_attempt(case.max_attempts);
        assert_eq!(has_attempt, case.has_attempt, "{}", case.name);
    }
}

/// Whatever ends in whatever order, a request runs at no more live servers than allowed, reaches
/// servers at most [`MAX_ARRIVALS`] times, and never loses an attempt because a server ended.
#[test]
fn no_order_of_ends_breaks_a_limit() {
    const STEPS: [Step; 8] = [
        Step::Run(0),
        Step::Run(1),
        Step::UnnamedRun,
        Step::EndedRun,
        Step::Rejected,
        Step::Unreached,
        Step::Ended(0),
        Step::Ended(1),
    ];
    for max_attempts in 1..=3 {
        for mut history in 0..STEPS.len().pow(u32::try_from(LENGTH).unwrap()) {
            let mut log = AttemptLog::default();
            let mut runs: Vec<Option<usize>> = Vec::new();
            let mut ended = BTreeSet::new();
            for _ in 0..LENGTH {
                let step = STEPS[history % STEPS.len()];
                history /= STEPS.len();
                let had_attempt = log.has_attempt(max_attempts);
                if let Step::Ended(number) = step {
                    ended.insert(number);
                    apply(&mut log, step);
                    assert!(log.has_attempt(max_attempts) || !had_attempt);
                    continue;
                }
                if !had_attempt {
                    continue;
                }
                match step {
                    Step::Run(number) => runs.push(Some(number)),
                    Step::UnnamedRun => runs.push(None),
                    _ => {}
                }
                apply(&mut log, step);
                let is_live = |run: &&Option<usize>| run.is_none_or(|run| !ended.contains(&run));
                let live = runs.iter().filter(is_live).count();
                assert!(live <= usize::try_from(max_attempts).unwrap());
                assert!(log.arrivals() <= MAX_ARRIVALS);
                assert!(log.attempts() - log.arrivals() <= MAX_UNREACHED);
                assert_eq!(log.is_ended(), log.runs() > 0 && live == 0);
            }
        }
    }
}
