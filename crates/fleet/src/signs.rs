//! Signs of life of a server, pooled over VMs.
//!
//! A server that loses power says nothing, and a VM of a hundred sends it a request each
//! ten seconds: alone, each VM would learn of it by a request of its own that hangs. So
//! every VM votes on each server that it deals with: good if the server has given a sign
//! of life to it lately, bad if a connection broke since the last sign, or an answer is
//! long overdue. Votes are summed like work, and a server with enough bad ones is taken
//! for silent by all.
//!
//! Invariant: a VM has one vote, so that one whose own network is broken cannot make
//! others take a healthy server for silent.

use std::time::Duration;

use onyxfall_policy::Moment;

/// How long a sign of life counts as a good vote. A busy server gives one VM of a
/// hundred a sign each second or two, and all of them together one each few
/// milliseconds.
const GOOD_LIFE: Duration = Duration::from_millis(700);
/// How long a broken connection counts as a bad vote: the store names servers that are
/// gone after some four seconds.
const BAD_LIFE: Duration = Duration::from_secs(3);
/// An answer is overdue after so many times its expected time, and not before the least
/// time: 1 in 100 first bytes took more than 4.2 times the prediction on days with a
/// rush.
const OVERDUE_FACTOR: f64 = 4.0;
const LEAST_OVERDUE: Duration = Duration::from_millis(400);
/// Bad votes that it takes, and so many for each good one.
const LEAST_BAD: u32 = 2;
const BAD_PER_GOOD: u32 = 2;

/// Votes on whether a server lives.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerVotes {
    /// VMs that have had a sign of life lately.
    pub good: u32,
    /// VMs whose connection broke since, or whose answer is long overdue.
    pub bad: u32,
}

impl ServerVotes {
    /// Whether the server is to be taken for silent.
    ///
    /// ```
    /// use onyxfall_fleet::ServerVotes;
    /// assert!(ServerVotes { good: 0, bad: 2 }.is_silent());
    /// assert!(!ServerVotes { good: 0, bad: 1 }.is_silent());
    /// assert!(!ServerVotes { good: 3, bad: 5 }.is_silent());
    /// ```
    pub const fn is_silent(self) -> bool {
        self.bad >= LEAST_BAD && self.bad >= self.good.saturating_mul(BAD_PER_GOOD)
    }

    pub(crate) fn plus(self, other: Self) -> Self {
        Self {
            good: self.good.saturating_add(other.good),
            bad: self.bad.saturating_add(other.bad),
        }
    }

    pub(crate) fn without(self, other: Self) -> Self {
        Self {
            good: self.good.saturating_sub(other.good),
            bad: self.bad.saturating_sub(other.bad),
        }
    }
}

/// What one VM has seen of a server.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LivenessRecord {
    last_liveness: Option<Moment>,
    last_break: Option<Moment>,
}

impl LivenessRecord {
    /// The last sign of life.
    pub(crate) fn last_liveness(&self) -> Option<Moment> {
        self.last_liveness
    }

    /// Notes a sign of life.
    pub(crate) fn record_liveness(&mut self, now: Moment) {
        self.last_liveness = Some(now);
    }

    /// Notes that a connection broke, or could not be made.
    pub(crate) fn record_disconnect(&mut self, now: Moment) {
        self.last_break = Some(now);
    }

    /// This VM's vote; `waiting` are the start and the expected time of the attempt that
    /// has waited longest for its first byte.
    pub(crate) fn vote(&self, now: Moment, waiting: Option<(Moment, Duration)>) -> ServerVotes {
        let is_broken = self.last_break.is_some_and(|at| {
            now - at < BAD_LIFE && self.last_liveness.is_none_or(|sign| sign < at)
        });
        let is_overdue = waiting.is_some_and(|(started, expected)| {
            let since = self.last_liveness.map_or(started, |sign| sign.max(started));
            now - since >= expected.mul_f64(OVERDUE_FACTOR).max(LEAST_OVERDUE)
        });
        if is_broken || is_overdue {
            return ServerVotes { good: 0, bad: 1 };
        }
        let is_heard = self.last_liveness.is_some_and(|at| now - at < GOOD_LIFE);
        ServerVotes {
            good: u32::from(is_heard),
            bad: 0,
        }
    }
}
