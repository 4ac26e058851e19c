//! Attempts of one request: which servers they went to, and which of these have ended.

use std::collections::BTreeSet;

use onyxfall_types::ServerId;

/// Most times that one request may reach a server, including rejections and servers that have
/// ended, so that a request which crashes its servers cannot go on for ever.
pub const MAX_ARRIVALS: u32 = 3;
/// Attempts without a connection after which a request is rejected.
pub const MAX_UNREACHED: u32 = 6;

/// Attempts of one request so far.
///
/// An attempt at a server that has ended for certain does not count against the attempts that the
/// route allows: it can do no more work. It still counts against [`MAX_ARRIVALS`].
///
/// ```
/// use onyxfall_streams::AttemptLog;
/// # use onyxfall_types::{EntityId, ServerId};
/// let server = ServerId::from_index(0);
/// let mut log = AttemptLog::default();
/// log.record_run(Some(server));
/// assert!(!log.has_attempt(1));
/// log.record_end(server);
/// assert!(log.has_attempt(1));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AttemptLog {
    /// Servers of the attempts that may have run; `None` if another VM has not named its server.
    runs: Vec<Option<ServerId>>,
    /// Servers that have ended for certain.
    ended: BTreeSet<ServerId>,
    /// Runs at servers that have ended by the verdict of another VM.
    ended_elsewhere: u32,
    rejections: u32,
    unreached: u32,
}

impl AttemptLog {
    /// Records an attempt that may have run at `server`; `None` if it is not known.
    pub fn record_run(&mut self, server: Option<ServerId>) {
        self.runs.push(server);
    }

    /// Records an attempt that may have run at a server of another VM which has ended.
    pub fn record_ended_run(&mut self) {
        self.ended_elsewhere += 1;
    }

    /// Records an attempt that reached a server and has not run.
    pub fn record_rejection(&mut self) {
        self.rejections += 1;
    }

    /// Records an attempt that reached no server.
    pub fn record_unreached(&mut self) {
        self.unreached += 1;
    }

    /// Records that a server has ended for certain, before or after any attempt at it.
    pub fn record_end(&mut self, server: ServerId) {
        self.ended.insert(server);
    }

    /// Number of attempts that may have run.
    pub fn runs(&self) -> u32 {
        count(self.runs.len()) + self.ended_elsewhere
    }

    /// Number of attempts that reached a server.
    pub fn arrivals(&self) -> u32 {
        self.runs() + self.rejections
    }

    /// Number of attempts, including those that reached no server.
    pub fn attempts(&self) -> u32 {
        self.arrivals() + self.unreached
    }

    /// Whether another attempt may be made where `max_attempts` servers may run the request.
    pub fn has_attempt(&self, max_attempts: u32) -> bool {
        self.has_arrival() && count(self.counted().count()) < max_attempts
    }

    /// Whether another attempt could be made if every server so far had ended.
    pub fn has_arrival(&self) -> bool {
        self.arrivals() < MAX_ARRIVALS && self.unreached < MAX_UNREACHED
    }

    /// Servers that may have run the request and whose end is not known.
    pub fn unproved(&self) -> BTreeSet<ServerId> {
        self.counted().flatten().collect()
    }

    /// Whether the request may have run, and all servers that may have run it have ended.
    pub fn is_ended(&self) -> bool {
        self.runs() > 0 && self.counted().next().is_none()
    }

    fn counted(&self) -> impl Iterator<Item = Option<ServerId>> + '_ {
        let runs = self.runs.iter().copied();
        runs.filter(|server| server.is_none_or(|server| !self.ended.contains(&server)))
    }
}

fn count(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
