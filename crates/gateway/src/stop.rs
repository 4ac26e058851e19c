//! The planned stop: from the order to the end of the process.
//!
//! The VM leaves the directory at once and serves on, since callers keep the
//! old list for a while. Towards the end of the grace it takes only requests
//! that will be over in time, and closes each connection after its answer. The
//! process ends shortly before the platform would kill it.

use std::rc::Rc;
use std::time::Duration;

use tokio::signal::unix::{SignalKind, signal};

use crate::gateway::Gateway;
use crate::links::tell_all;
use onyxfall_clock::BootInstant;

/// Time after the order in which requests are taken as ever: callers hold lists
/// for two seconds. Later, only those are taken whose whole time fits the grace:
/// the platform holds a later one that is cut against this VM.
const ACCEPT_ALL: Duration = Duration::from_millis(2800);
/// Time after the order when answers begin to close their connections.
const CLOSE_AFTER: Duration = Duration::from_millis(2200);
/// Time before the end of the grace when the process ends.
const END_MARGIN: Duration = Duration::from_millis(800);
/// Time before the process's end when idle connections are closed.
const LAST_ANSWERS: Duration = Duration::from_millis(600);
/// Least time that the process serves on after the order.
const LEAST_SERVED: Duration = Duration::from_secs(5);
/// Look whether everything is over.
const LOOK: Duration = Duration::from_millis(100);

/// Waits for the order to stop, serves out the grace and returns.
pub(crate) async fn run(gateway: &Rc<Gateway>) {
    wait_for_order().await;
    gateway.shutdown_requested.set(Some(BootInstant::now()));
    log::info!(open = gateway.open_requests.get(); "stopping");
    tell_all(gateway);
    let end = end_of(gateway);
    while BootInstant::now() < end {
        tokio::time::sleep(LOOK).await;
        let served_on = age_of_stop(gateway) >= Some(LEAST_SERVED);
        if served_on && gateway.open_requests.get() == 0 && gateway.open_streams() == 0 {
            break;
        }
    }
    let cut = gateway.open_requests.get() + gateway.open_streams();
    log::info!(cut; "stopped");
}

async fn wait_for_order() {
    let (Ok(mut term), Ok(mut int)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    ) else {
        log::error!("no signal handler; the process cannot stop by plan");
        return std::future::pending().await;
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
}

fn age_of_stop(gateway: &Gateway) -> Option<Duration> {
    gateway.shutdown_requested.get().map(BootInstant::elapsed)
}

fn grace_left(gateway: &Gateway) -> Option<Duration> {
    let grace = gateway.settings().stop_grace;
    age_of_stop(gateway).map(|age| grace.saturating_sub(age + END_MARGIN))
}

fn end_of(gateway: &Gateway) -> BootInstant {
    BootInstant::now() + grace_left(gateway).unwrap_or_default()
}

/// Whether a request that may take `time_left` is still taken.
pub(crate) fn accepts(gateway: &Gateway, time_left: Duration) -> bool {
    let (Some(age), Some(left)) = (age_of_stop(gateway), grace_left(gateway)) else {
        return true;
    };
    age < ACCEPT_ALL || time_left <= left
}

/// Whether answers close their connections.
pub(crate) fn closes_connections(gateway: &Gateway) -> bool {
    age_of_stop(gateway).is_some_and(|age| age >= CLOSE_AFTER)
}

/// Waits until idle connections are to be closed.
pub(crate) async fn wait_for_close(gateway: &Gateway) {
    loop {
        match grace_left(gateway) {
            None => tokio::time::sleep(Duration::from_secs(1)).await,
            Some(left) if left <= LAST_ANSWERS => return,
            Some(left) => tokio::time::sleep(left.saturating_sub(LAST_ANSWERS)).await,
        }
    }
}
