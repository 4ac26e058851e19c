//! Proof that a server instance has ended.
//!
//! Silence and a connection that timed out are no proof: a stopped process and a cut path end
//! too. An entry that has left the store is none either, since some servers serve on without one.

use std::time::Duration;

use onyxfall_policy::Moment;
use onyxfall_types::ServerId;

use crate::reach::PathState;
use crate::view::FleetView;

/// Time without a byte after which a server is checked. Most servers that work answer or write an
/// event more often.
const QUIET: Duration = Duration::from_millis(100);
/// Interval between checks of a server that is silent only. All its streams ask for them, and a
/// stopped process accepts connections until its queue of them is full.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// What became of a connection that was dialled to a server only to learn whether it has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndCheck {
    /// It was established: a process listens there.
    Accepted,
    /// The machine refused it: no process listens there.
    Refused,
    /// It was not established in time.
    Unanswered,
}

/// Latest entry under a server's name in the platform's store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryState {
    /// The server takes new requests.
    Ready,
    /// It is draining: it may refuse connections while it completes its requests.
    Draining,
    /// There is none. It may serve on as a draining one does.
    Gone,
}

/// What is known about the end of a server instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndEvidence {
    /// The latest entry under its name in the store.
    pub entry: EntryState,
    /// Whether an open connection to it was lost and nothing has arrived from it since.
    pub is_broken: bool,
    /// Last check since anything arrived from it.
    pub check: Option<EndCheck>,
}

impl EndEvidence {
    /// Whether the evidence proves that what was sent to the instance has ended. A process that was
    /// stopped keeps its port and its connections, and a cut path loses them while the store keeps
    /// the entry. A later instance in the store may be the one that requests were sent to.
    ///
    /// ```
    /// use onyxfall_fleet::{EndCheck, EndEvidence, EntryState};
    /// let crashed = EndEvidence {
    ///     entry: EntryState::Ready,
    ///     is_broken: true,
    ///     check: Some(EndCheck::Refused),
    /// };
    /// assert!(crashed.is_proof());
    /// let stopped = EndEvidence { check: Some(EndCheck::Accepted), ..crashed };
    /// assert!(!stopped.is_proof());
    /// ```
    pub fn is_proof(self) -> bool {
        match self.check {
            Some(EndCheck::Refused) => self.is_broken || self.entry == EntryState::Ready,
            Some(EndCheck::Unanswered) => self.is_broken && self.entry == EntryState::Gone,
            Some(EndCheck::Accepted) | None => false,
        }
    }
}

impl FleetView {
    /// Whether a server is known to have ended. While this VM reaches no server of the service,
    /// its checks prove nothing.
    pub fn is_proved_ended(&self, id: ServerId) -> bool {
        let server = self.server(id);
        let is_reached = self.path_state(&server.record.service) != PathState::Lost;
        let evidence = EndEvidence {
            entry: self.entry_state(id),
            is_broken: server.is_broken(),
            check: server.end_check().filter(|_| is_reached),
        };
        evidence.is_proof()
    }

    /// State of the latest entry under the name of a server.
    fn entry_state(&self, id: ServerId) -> EntryState {
        let latest = self.find(self.server(id).record.name.as_str());
        let server = self.server(latest.unwrap_or(id));
        if server.is_gone() {
            EntryState::Gone
        } else if server.takes_work() {
            EntryState::Ready
        } else {
            EntryState::Draining
        }
    }

    /// Whether a check may prove that a server has ended: it is in this region, and it has lost
    /// a connection or sent nothing for a while.
    pub fn may_have_ended(&self, now: Moment, id: ServerId) -> bool {
        let server = self.server(id);
        let is_quiet = server
            .last_liveness()
            .is_none_or(|sign| now - sign >= QUIET);
        server.region == self.place().region && (server.is_broken() || is_quiet)
    }

    /// Whether a check of a server that may be silent only is due; records that it starts.
    pub fn start_end_check(&mut self, now: Moment, id: ServerId) -> bool {
        self.server_mut(id).start_end_check(now, CHECK_INTERVAL)
    }

    /// Records a check of whether a server has ended.
    pub fn record_end_check(&mut self, id: ServerId, check: EndCheck) {
        self.server_mut(id).record_end_check(check);
    }
}
