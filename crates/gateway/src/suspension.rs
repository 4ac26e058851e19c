//! Detection of a suspension of this VM, and recovery from it.
//!
//! Ages include a suspension, since they are read from a clock that advances during it. What
//! remains is what timers and other processes keep track of: deadlines that have passed,
//! connections that the other side has closed, and store changes that were missed.

use std::future::Future;
use std::pin::pin;
use std::rc::Rc;

use onyxfall_clock::BootInstant;

use crate::call::{CallContext, SharedCall};
use crate::gateway::Gateway;
use crate::report::millis;

impl Gateway {
    /// Checks whether this VM was suspended; called before each request and periodically. The
    /// check costs one more reading of the steady clock than `now`, 0.05 us.
    pub(crate) fn check_suspension(&self, now: BootInstant) {
        let mut watch = self.suspension.get();
        let suspended_for = watch.look(now);
        self.suspension.set(watch);
        let Some(suspended_for) = suspended_for else {
            return;
        };
        self.metrics.count("onyxfall_suspensions_total");
        log::warn!(away_ms = millis(suspended_for); "was suspended");
        // The other sides have closed these connections, some without this VM noticing.
        self.pool.clear();
        self.store.borrow_mut().record_missed_changes(self.now());
        self.origins.restart_history(self.now());
        self.woken.notify_waiters();
    }
}

/// Waits for `future` until the caller's deadline, which passes during a suspension too.
pub(crate) async fn within_deadline<T>(
    gateway: &Gateway,
    call: &CallContext,
    future: impl Future<Output = T>,
) -> Option<T> {
    let mut future = pin!(future);
    loop {
        // Timers do not advance during a suspension.
        let woken = gateway.woken.notified();
        tokio::select! {
            done = future.as_mut() => return Some(done),
            () = tokio::time::sleep(call.time_left()) => return None,
            () = woken => {}
        }
    }
}

/// Waits until the caller's deadline, which passes during a suspension too.
pub(crate) async fn wait_for_deadline(gateway: Rc<Gateway>, call: SharedCall) {
    let never = std::future::pending::<()>();
    within_deadline(&gateway, &call, never).await;
}
