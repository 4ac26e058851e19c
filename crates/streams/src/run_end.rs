//! Whether a run has ended at a server to which its connection was lost.
//!
//! The loss of a connection ends a run at most servers, but not at all of them, and some
//! answers are lost while their runs go on. A run that may happen only once continues at another server after it
//! has ended at the first one, or while nothing can reach that server.

use std::time::Duration;

/// Age that the report of a server may have: it shows the state of some hundred milliseconds
/// before. A run that has begun later than that may be missing from it.
const REPORT_AGE: Duration = Duration::from_secs(1);
/// Pause between questions. A report is older than that, so that shorter pauses show nothing new.
const ASK_PAUSE: Duration = Duration::from_millis(150);
/// Number of attempts in a row that reach no server before it counts as unreachable: a single
/// packet may be lost.
const UNREACHED_ATTEMPTS: u32 = 2;

/// What one question about a run at its server has shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunSighting {
    /// The report of the server lists the run.
    Running,
    /// The report of the server does not list the run.
    Absent,
    /// The server is known to have ended.
    ServerEnded,
    /// The server was not reached.
    Unreached,
    /// The server was reached and has not answered.
    Unanswered,
    /// The server does not report its runs.
    Unreported,
}

/// What to do about a run whose connection was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndStep {
    /// Continue the run at another server.
    Continue,
    /// Ask again after a pause.
    AskAfter(Duration),
    /// Leave the run, which may go on at its server.
    GiveUp,
}

/// The questions about one run, from the loss of its connection on.
#[derive(Clone, Debug)]
pub struct RunEndCheck {
    /// How long before the loss the run is known to have been under way.
    known_for: Duration,
    /// Time from the loss after which no further question is asked.
    patience: Duration,
    /// Number of attempts in a row that have not reached the server.
    unreached: u32,
}

impl RunEndCheck {
    /// A check of a run that was under way for `known_for` when its connection was lost. It ends
    /// after `patience`.
    pub const fn new(known_for: Duration, patience: Duration) -> Self {
        Self {
            known_for,
            patience,
            unreached: 0,
        }
    }

    /// Applies what a question has shown that was asked `waited` after the loss.
    ///
    /// ```
    /// use std::time::Duration;
    /// use onyxfall_streams::{EndStep, RunEndCheck, RunSighting};
    /// let seconds = Duration::from_secs;
    /// let mut check = RunEndCheck::new(seconds(3), seconds(2));
    /// let step = check.apply(RunSighting::Running, Duration::ZERO);
    /// assert!(matches!(step, EndStep::AskAfter(_)));
    /// assert_eq!(check.apply(RunSighting::Absent, seconds(1)), EndStep::Continue);
    /// ```
    pub fn apply(&mut self, sighting: RunSighting, waited: Duration) -> EndStep {
        self.unreached = match sighting {
            RunSighting::Unreached => self.unreached + 1,
            _ => 0,
        };
        let pause = match sighting {
            RunSighting::ServerEnded => return EndStep::Continue,
            RunSighting::Unreported => return EndStep::GiveUp,
            RunSighting::Unreached if self.unreached >= UNREACHED_ATTEMPTS => {
                return EndStep::Continue;
            }
            RunSighting::Absent => {
                let missing = REPORT_AGE.saturating_sub(self.known_for + waited);
                if missing.is_zero() {
                    return EndStep::Continue;
                }
                missing
            }
            RunSighting::Running | RunSighting::Unreached | RunSighting::Unanswered => ASK_PAUSE,
        };
        if waited + pause > self.patience {
            return EndStep::GiveUp;
        }
        EndStep::AskAfter(pause)
    }
}
