//! Checks the promises against what callers and servers observed.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use onyxfall_adapter::stub::ReceivedCall;
use onyxfall_fakes::ServerStub;

use crate::callers::CallReport;
use crate::deployment::{RequestKind, TEAM, VERSIONS};

/// Statuses that guarantee that a request has not run and never will.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];
/// Body of a plain response of the stub.
const PLAIN_RESPONSE: &str = "answer";

/// Declares [`BrokenPromise`] with the names of its variants.
macro_rules! broken_promises {
    ($($(#[$doc:meta])* $name:ident($($field:ty),+),)+) => {
        /// A promise that was broken.
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub(crate) enum BrokenPromise {
            $($(#[$doc])* $name($($field),+),)+
        }

        impl BrokenPromise {
            /// Names of all variants.
            pub(crate) const NAMES: &[&str] = &[$(stringify!($name)),+];
        }
    };
}

broken_promises! {
    /// A request that may run at most once ran more often.
    Doubled(String, usize),
    /// A caller received a status that guarantees that its request had not run, but it had.
    FalseNotRun(String, u16),
    /// A caller received the response to another request, or one that no server sent.
    WrongResponse(String, String),
    /// A stream has a gap or events of two versions, or ended regularly before its last event.
    BrokenStream(String, String),
    /// A response ended before its server had ended it.
    CutAnswer(String),
    /// A VM reverted to an older configuration.
    Reverted(String),
    /// A VM decided by an old copy of the store after a silence of the store.
    StaleCopy(String),
    /// A gateway process exited without a shutdown signal.
    Exited(String),
    /// Something did not recover after the faults.
    NotRecovered(String),
    /// A drained server received requests.
    SentAfterDrain(String),
    /// A server received requests after it had signalled that it is draining.
    SentWhileDraining(String),
    /// A server received requests during the backoff that it had asked for.
    SentDuringBackoff(String),
    /// A server received more requests than the limit that it had signalled.
    SentBeyondLimit(String),
    /// Servers received more repeats of requests, over all VMs, than the retry budget allows.
    RepeatedBeyondBudget(String),
    /// Callers of VMs without a path to any server were not served, or those of others were not.
    UnservedWithoutPath(String),
    /// Streams whose VM was killed were resumed by less than half of the share of new streams that
    /// began.
    NotResumed(String),
    /// Requests with a prompt part under which five servers had crashed were sent to servers.
    SentCrashingPart(String),
    /// Requests that share the other parts of such prompts were not served.
    UnservedBesidePart(String),
    /// Too many servers fell over because they had to reject requests for want of room.
    FellOver(String),
    /// A VM refused a request for load while the service was idle.
    RefusedWhileIdle(String),
    /// A less important kind of requests was served more often than a more important one.
    ServedOutOfOrder(String),
    /// A VM held more bytes than its bound.
    HeldBeyondBound(String),
    /// A server received the name of a team that does not own the caller's key.
    WrongTeam(String, Option<String>),
    /// A server received a caller's key.
    KeyForwarded(String),
}

impl fmt::Display for BrokenPromise {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

/// The checks of one run, updated during the run.
#[derive(Default)]
pub(crate) struct PromiseChecks {
    runs: BTreeMap<String, usize>,
    kinds: BTreeMap<String, RequestKind>,
    reported_not_run: BTreeMap<String, u16>,
    broken: BTreeSet<BrokenPromise>,
    /// Requests by status; 0 stands for no response.
    pub(crate) statuses: BTreeMap<u16, usize>,
    /// Requests that were not run, by kind and reason, for the report of a broken promise.
    refusals: BTreeMap<String, usize>,
}

impl PromiseChecks {
    /// Records that a promise is broken.
    pub(crate) fn record(&mut self, broken: BrokenPromise) {
        self.broken.insert(broken);
    }

    /// Records that a server ran a request.
    pub(crate) fn record_run(&mut self, run: &ReceivedCall) {
        let id = &run.request_id;
        *self.runs.entry(id.clone()).or_default() += 1;
        if run.team.as_deref() != Some(TEAM) {
            self.record(BrokenPromise::WrongTeam(id.clone(), run.team.clone()));
        }
        if run.has_key {
            self.record(BrokenPromise::KeyForwarded(id.clone()));
        }
    }

    /// Records the report of a caller.
    pub(crate) fn record_report(&mut self, report: CallReport) {
        let status = report.status.unwrap_or(0);
        *self.statuses.entry(status).or_default() += 1;
        if NOT_RUN_STATUSES.contains(&status) {
            self.reported_not_run.insert(report.id.clone(), status);
            let reason: String = report.body.trim().replace(|c: char| c.is_ascii_digit(), "");
            let refusal = format!("{:?}: {status} {reason}", report.kind);
            *self.refusals.entry(refusal).or_default() += 1;
        }
        if (200..300).contains(&status) {
            self.check_response(&report);
        }
        self.kinds.insert(report.id, report.kind);
    }

    fn check_response(&mut self, report: &CallReport) {
        let id = report.id.clone();
        if !report.is_own {
            let broken = BrokenPromise::WrongResponse(id, "not its own".to_owned());
            self.record(broken);
            return;
        }
        let received = report.stream();
        let is_part_of = |whole: String| {
            if report.is_whole {
                received == whole
            } else {
                whole.starts_with(&received)
            }
        };
        // All events are of servers of one version.
        let is_right = if report.kind.is_stream() {
            VERSIONS
                .map(ServerStub::stream_of)
                .into_iter()
                .any(is_part_of)
        } else {
            is_part_of(PLAIN_RESPONSE.to_owned())
        };
        if !is_right {
            self.record(BrokenPromise::BrokenStream(id, received));
        }
    }

    /// Requests that were not run, by kind and reason, the most frequent first.
    pub(crate) fn refusals(&self) -> Vec<(usize, &str)> {
        let refusals = self.refusals.iter();
        let mut refusals: Vec<_> = refusals.map(|(text, n)| (*n, text.as_str())).collect();
        refusals.sort_unstable_by(|a, b| b.cmp(a));
        refusals
    }

    /// The promises broken so far.
    pub(crate) fn broken(&self) -> Vec<BrokenPromise> {
        let mut broken = self.broken.clone();
        for (id, runs) in &self.runs {
            let runs_once = self.kinds.get(id).is_some_and(|kind| kind.runs_once());
            if runs_once && *runs > 1 {
                broken.insert(BrokenPromise::Doubled(id.clone(), *runs));
            }
            if let Some(status) = self.reported_not_run.get(id)
                && runs_once
            {
                broken.insert(BrokenPromise::FalseNotRun(id.clone(), *status));
            }
        }
        broken.into_iter().collect()
    }
}
