//! When a member of an aggregator receives the pending work of other VMs.
//!
//! Work that is sent at a fixed interval is outdated most times that it is needed, and sent in
//! vain at most other times. So a member reports when its own work has changed, its aggregator
//! sends digests at a long interval while anything changes, and a member that is about to
//! choose a server first queries its aggregator, over a link inside the data centre.
//!
//! Invariant: a choice waits for a reply only once. After an aggregator has failed to reply, no
//! choice waits for it until it has sent a digest.

use std::cell::Cell;
use std::time::Duration;

use onyxfall_fleet::DecisionSwitch;
use onyxfall_policy::Moment;
use tokio::sync::Notify;

use crate::gateway::Gateway;

/// Age from which a digest is outdated and is queried again: work whose requests take a few
/// tenths of a second has hardly changed before.
const FRESH_FOR: Duration = Duration::from_millis(60);
/// How long a choice waits for the reply: a round trip inside a data centre takes a few tenths
/// of a millisecond.
const QUERY_TIMEOUT: Duration = Duration::from_millis(3);

/// Notifications for the links between a member and its aggregator, and the times of the last
/// digest and query.
#[derive(Debug, Default)]
pub(crate) struct WorkQueries {
    digest_at: Cell<Option<Moment>>,
    queried_at: Cell<Option<Moment>>,
    answered: Notify,
    /// Wakes the link on which this VM reports, to send a query.
    pub(crate) query_now: Notify,
    /// Wakes the same link when this VM's own work has changed.
    pub(crate) own_changed: Notify,
    /// Wakes the links to members when any VM's work has changed.
    pub(crate) changed: Notify,
}

impl Gateway {
    /// Records that this VM has started or finished a request.
    pub(crate) fn record_own_change(&self) {
        self.queries.own_changed.notify_one();
        self.queries.changed.notify_waiters();
    }

    /// Records that a digest of an aggregator has arrived.
    pub(crate) fn record_digest(&self) {
        self.queries.digest_at.set(Some(self.now()));
        self.queries.queried_at.set(None);
        self.queries.answered.notify_waiters();
    }

    /// Queries the aggregator for the work of other VMs, if this VM reports to one and its last
    /// digest is outdated.
    pub(crate) async fn query_before_choice(&self) {
        let now = self.now();
        let is_fresh = self
            .queries
            .digest_at
            .get()
            .is_some_and(|digest_at| now - digest_at < FRESH_FOR);
        if is_fresh || !self.is_on(DecisionSwitch::NearHeartbeats) || !self.is_member() {
            return;
        }
        let queried_at = self.queries.queried_at.get().unwrap_or_else(|| {
            self.queries.queried_at.set(Some(now));
            self.queries.query_now.notify_one();
            now
        });
        let remaining = QUERY_TIMEOUT.saturating_sub(now - queried_at);
        if remaining.is_zero() {
            return;
        }
        let answered = self.queries.answered.notified();
        if tokio::time::timeout(remaining, answered).await.is_err() {
            self.metrics.count("onyxfall_unanswered_asks_total");
        }
    }
}
