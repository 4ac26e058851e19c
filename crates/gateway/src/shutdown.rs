//! Graceful shutdown, from the signal to the end of the process.
//!
//! The VM is removed from the directory at once but keeps serving, since callers keep the
//! old list for a while. Towards the end of the grace period it accepts only requests that
//! will end in time, and closes each connection after its response. The process ends
//! shortly before the platform would kill it.

use std::rc::Rc;
use std::time::Duration;

use tokio::signal::unix::{SignalKind, signal};

use crate::gateway::Gateway;
use crate::links::notify_all;
use onyxfall_clock::BootInstant;

/// Time after the signal during which all requests are accepted: callers keep their VM lists
/// for two seconds. Later, only requests whose whole timeout fits the grace period are
/// accepted, because the platform counts a later one that is cut off against this VM.
const ACCEPT_ALL_FOR: Duration = Duration::from_millis(2800);
/// Time after the signal at which responses start to close their connections.
const CLOSE_AFTER: Duration = Duration::from_millis(2200);
/// Time between the end of the process and the end of the grace period.
const END_MARGIN: Duration = Duration::from_millis(800);
/// Time between the close of idle connections and the end of the process.
const FINAL_RESPONSES: Duration = Duration::from_millis(600);
/// Least time that the process keeps serving after the signal.
const MIN_SERVING: Duration = Duration::from_secs(5);
/// Interval of the check whether all requests have ended.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Waits for a shutdown signal, serves until the end of the grace period and returns.
pub(crate) async fn run(gateway: &Rc<Gateway>) {
    wait_for_signal().await;
    gateway.shutdown_requested.set(Some(BootInstant::now()));
    log::info!(open = gateway.open_requests.get(); "stopping");
    notify_all(gateway);
    let end = shutdown_end(gateway);
    while BootInstant::now() < end {
        tokio::time::sleep(POLL_INTERVAL).await;
        let has_served = shutdown_age(gateway) >= Some(MIN_SERVING);
        if has_served && gateway.open_requests.get() == 0 && gateway.open_streams() == 0 {
            break;
        }
    }
    let cut = gateway.open_requests.get() + gateway.open_streams();
    log::info!(cut; "stopped");
}

async fn wait_for_signal() {
    let (Ok(mut term), Ok(mut int)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    ) else {
        log::error!("cannot install signal handlers; graceful shutdown is unavailable");
        return std::future::pending().await;
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
}

fn shutdown_age(gateway: &Gateway) -> Option<Duration> {
    gateway.shutdown_requested.get().map(BootInstant::elapsed)
}

fn grace_left(gateway: &Gateway) -> Option<Duration> {
    let grace = gateway.settings().stop_grace;
    shutdown_age(gateway).map(|age| grace.saturating_sub(age + END_MARGIN))
}

fn shutdown_end(gateway: &Gateway) -> BootInstant {
    BootInstant::now() + grace_left(gateway).unwrap_or_default()
}

/// Whether a request that may take `time_left` is still accepted.
pub(crate) fn accepts(gateway: &Gateway, time_left: Duration) -> bool {
    let (Some(age), Some(left)) = (shutdown_age(gateway), grace_left(gateway)) else {
        return true;
    };
    age < ACCEPT_ALL_FOR || time_left <= left
}

/// Whether responses close their connections.
pub(crate) fn closes_connections(gateway: &Gateway) -> bool {
    shutdown_age(gateway).is_some_and(|age| age >= CLOSE_AFTER)
}

/// Waits until idle connections are to be closed.
pub(crate) async fn wait_for_close(gateway: &Gateway) {
    loop {
        match grace_left(gateway) {
            None => tokio::time::sleep(Duration::from_secs(1)).await,
            Some(left) if left <= FINAL_RESPONSES => return,
            Some(left) => tokio::time::sleep(left.saturating_sub(FINAL_RESPONSES)).await,
        }
    }
}
