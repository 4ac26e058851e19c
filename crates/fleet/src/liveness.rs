//! Liveness votes on servers, summed over VMs.
//!
//! A server that loses power sends nothing, and one VM of a hundred sends it a request only
//! every 10 s: on its own, each VM would notice the loss by a request that hangs. So every
//! VM votes on each server that it works with: good if it has received a liveness signal of
//! the server lately, bad if a connection was lost since the last signal or a response is
//! long overdue. Votes are summed like work, and all VMs treat a server with enough bad
//! votes as unresponsive.
//!
//! Invariants: a VM has one vote, and a VM abstains while its path is not open
//! ([`crate::PathState`]), so that VMs whose own network is broken cannot make others treat a
//! healthy server as unresponsive.

use std::time::Duration;

use onyxfall_policy::Moment;

use crate::ended::EndCheck;

/// How long a liveness signal counts as a good vote. A busy server gives one VM of a
/// hundred a signal every second or two, and all of them together one every few
/// milliseconds.
const GOOD_TTL: Duration = Duration::from_millis(700);
/// How long a lost connection counts as a bad vote: the store reports servers that are gone
/// after about 4 s.
const BAD_TTL: Duration = Duration::from_secs(3);
/// A response is overdue after this multiple of its expected time, but not before
/// [`MIN_OVERDUE`]: under peak load, 1 in 100 first bytes took more than 4.2 times the
/// prediction.
const OVERDUE_FACTOR: f64 = 4.0;
const MIN_OVERDUE: Duration = Duration::from_millis(400);
/// Bad votes that make a server unresponsive: at least [`MIN_BAD`], and at least
/// [`BAD_PER_GOOD`] for each good vote.
const MIN_BAD: u32 = 2;
const BAD_PER_GOOD: u32 = 2;

/// Sum of liveness votes on a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerVotes {
    /// Number of VMs that have received a liveness signal lately.
    pub good: u32,
    /// Number of VMs that have lost a connection since, or whose response is long overdue.
    pub bad: u32,
}

impl ServerVotes {
    /// Whether the server is to be treated as unresponsive.
    ///
    /// ```
    /// use onyxfall_fleet::ServerVotes;
    /// assert!(ServerVotes { good: 0, bad: 2 }.is_unresponsive());
    /// assert!(!ServerVotes { good: 0, bad: 1 }.is_unresponsive());
    /// assert!(!ServerVotes { good: 3, bad: 5 }.is_unresponsive());
    /// ```
    pub const fn is_unresponsive(self) -> bool {
        self.bad >= MIN_BAD && self.bad >= self.good.saturating_mul(BAD_PER_GOOD)
    }

    /// Sum of both votes.
    pub(crate) fn plus(self, other: Self) -> Self {
        Self {
            good: self.good.saturating_add(other.good),
            bad: self.bad.saturating_add(other.bad),
        }
    }

    /// The votes without `other`, which is part of them.
    pub(crate) fn without(self, other: Self) -> Self {
        Self {
            good: self.good.saturating_sub(other.good),
            bad: self.bad.saturating_sub(other.bad),
        }
    }
}

/// Liveness of one server as this VM observes it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LivenessRecord {
    last_signal: Option<Moment>,
    last_disconnect: Option<Moment>,
    /// When an open connection was last lost.
    broken_at: Option<Moment>,
    /// When a connection could last not be established, unless there was a signal since.
    failed_dial: Option<Moment>,
    /// Last check of whether the server has ended, unless there was a signal since.
    end_check: Option<EndCheck>,
    /// When a check of whether the server has ended was last started.
    end_check_started: Option<Moment>,
}

impl LivenessRecord {
    /// Time of the last liveness signal.
    pub(crate) fn last_liveness(&self) -> Option<Moment> {
        self.last_signal
    }

    /// Records a liveness signal.
    pub(crate) fn record_liveness(&mut self, now: Moment) {
        self.last_signal = Some(now);
        self.failed_dial = None;
        self.end_check = None;
    }

    /// Records a check of whether the server has ended.
    pub(crate) fn record_end_check(&mut self, check: EndCheck) {
        self.end_check = Some(check);
    }

    /// Whether no check of whether the server has ended was started within `interval`. Records
    /// that one starts then.
    pub(crate) fn start_end_check(&mut self, now: Moment, interval: Duration) -> bool {
        let is_due = self.end_check_started.is_none_or(|at| now - at >= interval);
        if is_due {
            self.end_check_started = Some(now);
        }
        is_due
    }

    /// The last check of whether the server has ended since the last liveness signal.
    pub(crate) fn end_check(&self) -> Option<EndCheck> {
        self.end_check
    }

    /// Records that no connection could be established.
    pub(crate) fn record_failed_dial(&mut self, now: Moment) {
        self.failed_dial = Some(now);
        self.last_disconnect = Some(now);
    }

    /// Whether no connection could be established since the last liveness signal.
    pub(crate) fn is_undialled(&self) -> bool {
        self.failed_dial.is_some()
    }

    /// Whether an open connection was lost after `since` and no liveness signal came afterwards.
    pub(crate) fn is_broken_since(&self, since: Moment) -> bool {
        self.broken_at
            .is_some_and(|at| at > since && self.last_signal.is_none_or(|sign| sign < at))
    }

    /// Whether the response to an attempt that was sent at `started` is long overdue and the
    /// server has sent nothing else since.
    pub(crate) fn is_overdue(&self, now: Moment, started: Moment, expected: Duration) -> bool {
        let since = self.last_signal.map_or(started, |sign| sign.max(started));
        now - since >= expected.mul_f64(OVERDUE_FACTOR).max(MIN_OVERDUE)
    }

    /// Records that an attempt was given up because the server was silent. Without it, the vote
    /// would end with the attempt.
    pub(crate) fn record_silence(&mut self, now: Moment) {
        self.last_disconnect = Some(now);
    }

    /// Records that an open connection was lost.
    pub(crate) fn record_break(&mut self, now: Moment) {
        self.broken_at = Some(now);
        self.last_disconnect = Some(now);
    }

    /// The vote of this VM. `waiting` holds the start and the expected time of the attempt
    /// that has waited longest for its first byte.
    pub(crate) fn vote(&self, now: Moment, waiting: Option<(Moment, Duration)>) -> ServerVotes {
        let is_disconnected = self
            .last_disconnect
            .is_some_and(|at| now - at < BAD_TTL && self.last_signal.is_none_or(|sign| sign < at));
        let is_overdue =
            waiting.is_some_and(|(started, expected)| self.is_overdue(now, started, expected));
        if is_disconnected || is_overdue {
            return ServerVotes { good: 0, bad: 1 };
        }
        let is_alive = self.last_signal.is_some_and(|at| now - at < GOOD_TTL);
        ServerVotes {
            good: u32::from(is_alive),
            bad: 0,
        }
    }
}
