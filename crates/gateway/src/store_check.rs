//! Checks of the watch of the store.
//!
//! A store that was unresponsive for a moment never answers the watches that it has received or
//! answered meanwhile, and their connections stay open. A short call over another connection
//! shows what they would have brought. `onyxfall_fleet` decides when a check is due: one VM of
//! the fleet checks often, and the others once they are behind it.

use std::time::Duration;

use onyxfall_adapter::{EventBatch, StoreError, WATCHED_PREFIX, read_batch, watch_request};
use onyxfall_fleet::{CheckCause, WatchCheck};
use onyxfall_policy::Moment;
use onyxfall_types::StorePosition;

use crate::gateway::Gateway;
use crate::store::{apply_batch, note_answer};
use crate::store_client::{CallError, StoreClient};

/// Interval at which a VM decides whether to check its watch.
const DECISION_INTERVAL: Duration = Duration::from_millis(50);
/// Shortest pause after a check that the store has rejected.
const FAILED_PAUSE: Duration = Duration::from_millis(300);
/// How long the store may hold the call that checks a watch: it answers at once.
const CHECK_WAIT: Duration = Duration::from_millis(1);
/// How long a watch may take to bring the changes that a check has found.
const WATCH_GRACE: Duration = Duration::from_millis(100);

/// Checks an open watch whenever that is due. Returns the changes that the watch should have
/// brought, once there are any, and when they were all changes.
pub(crate) async fn find_missed_changes(
    gateway: &Gateway,
    checker: &mut StoreClient,
    after: StorePosition,
) -> Result<(EventBatch, Moment), CallError> {
    let mut check = WatchCheck::default();
    loop {
        tokio::time::sleep(DECISION_INTERVAL).await;
        let now = gateway.now();
        let rank = || gateway.check_rank();
        let cause = check.cause(now, gateway.is_behind_peers(), gateway.copy_age(), rank);
        let Some(cause) = cause else { continue };
        let batch = match check_watch(checker, after).await {
            Ok(batch) => batch,
            Err(CallError::Store(error)) if !matches!(error, StoreError::Refused(_)) => {
                return Err(error.into());
            }
            Err(e) => {
                log::debug!("cannot check the watch: {e}");
                let pause = match e {
                    CallError::TimedOut => Duration::ZERO,
                    _ => FAILED_PAUSE,
                };
                check.record_failed(gateway.now(), pause, gateway.check_rank());
                continue;
            }
        };
        if !batch.events.is_empty() {
            // A change that came during the check arrives with the watch at the same time.
            tokio::time::sleep(WATCH_GRACE).await;
            record_lost_watch(gateway, cause, after, &batch);
            return Ok((batch, now));
        }
        note_answer(gateway, batch.position);
        apply_batch(gateway, batch);
        check.record_unchanged(gateway.now());
        gateway.record_copy_proof(now);
        // The other VMs learn of it before it is their turn.
        gateway.send_updates_now.notify_waiters();
    }
}

/// Asks the store for the changes after a position, without waiting for any.
async fn check_watch(
    checker: &mut StoreClient,
    after: StorePosition,
) -> Result<EventBatch, CallError> {
    let request = watch_request(&checker.host(), WATCHED_PREFIX, after, CHECK_WAIT);
    let reply = checker.call_repeatedly(request, "check").await?;
    Ok(read_batch(
        after,
        reply.status,
        &reply.headers,
        &reply.body,
    )?)
}

fn record_lost_watch(
    gateway: &Gateway,
    cause: CheckCause,
    after: StorePosition,
    batch: &EventBatch,
) {
    log::warn!(
        cause = cause.as_str(),
        after:% = after,
        position:% = batch.position,
        changes = batch.events.len();
        "the store has lost a watch"
    );
    gateway.metrics.count("onyxfall_lost_watches_total");
    gateway.store.borrow_mut().record_outage(gateway.now());
}
