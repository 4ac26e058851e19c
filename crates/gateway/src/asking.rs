//! When a member of an aggregator hears what other VMs have under way.
//!
//! What is told at a fixed pace is old at most moments at which it is needed, and told in
//! vain at most others. So a member reports when its own work has changed, its aggregator
//! tells it at a slow pace while anything changes, and a member that is about to choose a
//! server asks first, over a link inside its data centre.
//!
//! Invariant: a choice waits for an answer only once; an aggregator that does not answer is
//! not waited for until it has told something.

use std::cell::Cell;
use std::time::Duration;

use onyxfall_fleet::DecisionSwitch;
use onyxfall_policy::Moment;
use tokio::sync::Notify;

use crate::gateway::Gateway;

/// Age from which what was told is asked for anew: work that lasts for some tenths of a
/// second has hardly changed before.
const FRESH: Duration = Duration::from_millis(60);
/// How long a choice waits for the answer: a round trip inside a data centre takes some
/// tenths of a millisecond.
const ASK_WAIT: Duration = Duration::from_millis(3);

/// What wakes the links of a member and of its aggregator, and when it was told last.
#[derive(Debug, Default)]
pub(crate) struct WorkQueries {
    told: Cell<Option<Moment>>,
    asked: Cell<Option<Moment>>,
    answered: Notify,
    /// Wakes the link on which this VM reports, to ask.
    pub(crate) ask_now: Notify,
    /// Wakes the same when this VM's own work has changed.
    pub(crate) own_changed: Notify,
    /// Wakes the links to members when anybody's work has changed.
    pub(crate) changed: Notify,
}

impl Gateway {
    /// Notes that this VM has begun or ended a request.
    pub(crate) fn record_own_change(&self) {
        self.queries.own_changed.notify_one();
        self.queries.changed.notify_waiters();
    }

    /// Notes that an aggregator has told its sum.
    pub(crate) fn note_digest(&self) {
        self.queries.told.set(Some(self.now()));
        self.queries.asked.set(None);
        self.queries.answered.notify_waiters();
    }

    /// Hears what others have under way, where this VM reports to an aggregator and was
    /// told long ago.
    pub(crate) async fn query_before_choice(&self) {
        let now = self.now();
        let is_fresh = self
            .queries
            .told
            .get()
            .is_some_and(|told| now - told < FRESH);
        if is_fresh || !self.is_on(DecisionSwitch::NearHeartbeats) || !self.is_member() {
            return;
        }
        let asked = self.queries.asked.get().unwrap_or_else(|| {
            self.queries.asked.set(Some(now));
            self.queries.ask_now.notify_one();
            now
        });
        let left = ASK_WAIT.saturating_sub(now - asked);
        if left.is_zero() {
            return;
        }
        let answered = self.queries.answered.notified();
        if tokio::time::timeout(left, answered).await.is_err() {
            self.metrics.count("onyxfall_unanswered_asks_total");
        }
    }
}
