//! A VM that was suspended, and what it does about it before it goes on.
//!
//! Ages count a suspension by themselves, since they are read from a clock that does. What
//! remains is what timers and other processes know of: deadlines that have passed,
//! connections that the other side has closed, changes of the store that were missed.

use std::future::Future;
use std::pin::pin;
use std::rc::Rc;

use onyxfall_clock::BootInstant;

use crate::call::{CallContext, SharedCall};
use crate::gateway::Gateway;
use crate::report::millis;

impl Gateway {
    /// Looks whether this VM was suspended; before each request, and by time. It takes one
    /// reading of the steady clock, 0.05 us, beside that of `now`.
    pub(crate) fn check_suspension(&self, now: BootInstant) {
        let mut watch = self.suspension.get();
        let away = watch.look(now);
        self.suspension.set(watch);
        let Some(away) = away else {
            return;
        };
        self.metrics.count("onyxfall_suspensions_total");
        log::warn!(away_ms = millis(away); "was suspended");
        // Other sides have closed them, some without a trace.
        self.pool.clear();
        self.store.borrow_mut().note_missed(self.now());
        self.woken.notify_waiters();
    }
}

/// Waits for `future` until the caller's time is over, a suspension counted.
pub(crate) async fn within_deadline<T>(
    gateway: &Gateway,
    call: &CallContext,
    future: impl Future<Output = T>,
) -> Option<T> {
    let mut future = pin!(future);
    loop {
        // Timers stand still during a suspension.
        let woken = gateway.woken.notified();
        tokio::select! {
            done = future.as_mut() => return Some(done),
            () = tokio::time::sleep(call.time_left()) => return None,
            () = woken => {}
        }
    }
}

/// Ends when the caller's time is over, a suspension counted.
pub(crate) async fn wait_for_deadline(gateway: Rc<Gateway>, call: SharedCall) {
    let never = std::future::pending::<()>();
    within_deadline(&gateway, &call, never).await;
}
