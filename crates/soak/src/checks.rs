//! The promises, checked against what callers and servers saw.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use onyxfall_adapter::stub::ReceivedCall;
use onyxfall_fakes::ServerStub;

use crate::callers::CallReport;
use crate::world::{RequestKind, TEAM};

/// Statuses that promise that a request has not run and never will.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];
/// Body of a plain answer of the stand-in.
const PLAIN_ANSWER: &str = "answer";

/// A promise that was broken.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum BrokenPromise {
    /// A request that may run at most once ran more often.
    Doubled(String, usize),
    /// A caller was told that its request had not run, but it had.
    FalseNotRun(String, u16),
    /// A caller got an answer that is not its own, or not a server's.
    WrongAnswer(String, String),
    /// A stream ended as if it were whole, or has a gap.
    BrokenStream(String, String),
    /// A VM went back to an older configuration.
    Reverted(String),
    /// A gateway ended by itself.
    Exited(String),
    /// Something did not come back after the faults.
    NotRecovered(String),
    /// A server that had left got work.
    SentAfterDrain(String),
    /// A server that had said that it leaves got work.
    SentWhileLeaving(String),
    /// A server that had asked for rest got work before its end.
    SentInRest(String),
    /// A server got more than the rate that it had named.
    SentBeyondLimit(String),
    /// A server was told another team than the one that holds the caller's key.
    WrongTeam(String, Option<String>),
    /// A server got a caller's key.
    KeyPassedOn(String),
}

impl fmt::Display for BrokenPromise {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

/// The checks of one run, fed while it goes on.
#[derive(Default)]
pub(crate) struct PromiseChecks {
    runs: BTreeMap<String, usize>,
    kinds: BTreeMap<String, RequestKind>,
    told_not_run: BTreeMap<String, u16>,
    broken: BTreeSet<BrokenPromise>,
    /// Requests by status; 0 stands for no answer.
    pub(crate) statuses: BTreeMap<u16, usize>,
}

impl PromiseChecks {
    /// Notes that a promise is broken.
    pub(crate) fn note(&mut self, broken: BrokenPromise) {
        self.broken.insert(broken);
    }

    /// Notes that a server ran a request.
    pub(crate) fn take_run(&mut self, run: &ReceivedCall) {
        let id = &run.request_id;
        *self.runs.entry(id.clone()).or_default() += 1;
        if run.team.as_deref() != Some(TEAM) {
            self.note(BrokenPromise::WrongTeam(id.clone(), run.team.clone()));
        }
        if run.has_key {
            self.note(BrokenPromise::KeyPassedOn(id.clone()));
        }
    }

    /// Takes what a caller saw.
    pub(crate) fn take_report(&mut self, report: CallReport) {
        let status = report.status.unwrap_or(0);
        *self.statuses.entry(status).or_default() += 1;
        if NOT_RUN_STATUSES.contains(&status) {
            self.told_not_run.insert(report.id.clone(), status);
        }
        if (200..300).contains(&status) {
            self.check_answer(&report);
        }
        self.kinds.insert(report.id, report.kind);
    }

    fn check_answer(&mut self, report: &CallReport) {
        let id = report.id.clone();
        if !report.is_own {
            let broken = BrokenPromise::WrongAnswer(id, "not its own".to_owned());
            self.note(broken);
            return;
        }
        let whole = if report.kind.is_stream() {
            ServerStub::whole_stream()
        } else {
            PLAIN_ANSWER.to_owned()
        };
        let is_right = if report.is_whole {
            report.body == whole
        } else {
            whole.starts_with(&report.body)
        };
        if !is_right {
            let broken = BrokenPromise::BrokenStream(id, report.body.clone());
            self.note(broken);
        }
    }

    /// The promises broken so far.
    pub(crate) fn broken(&self) -> Vec<BrokenPromise> {
        let mut broken = self.broken.clone();
        for (id, runs) in &self.runs {
            let runs_once = self.kinds.get(id).is_some_and(|kind| kind.runs_once());
            if runs_once && *runs > 1 {
                broken.insert(BrokenPromise::Doubled(id.clone(), *runs));
            }
            if let Some(status) = self.told_not_run.get(id)
                && runs_once
            {
                broken.insert(BrokenPromise::FalseNotRun(id.clone(), *status));
            }
        }
        broken.into_iter().collect()
    }
}
