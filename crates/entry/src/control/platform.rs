//! Reads configuration, drains and membership hints from the platform service.
//!
//! Two entries of each data centre watch the service; the others receive the changes
//! through heartbeats. An outage of the service does not interrupt serving: what was
//! accepted stays in force.

use std::ops::ControlFlow;
use std::sync::Arc;
use std::time::Duration;

use onyxfall_bundle::{ContentDigest, HeadRecord, SignedBundle};
use onyxfall_platform::{PlatformError, PlatformKeys, VmRole, VmState, WatchEvent};
use onyxfall_policy::DrainSource;
use onyxfall_types::{Incarnation, ServerName};

use crate::control::config::offer_content;
use crate::control::directory::heartbeat_of_record;
use crate::control::{offer_records, publish_directory};
use crate::core::EntryCore;
use crate::supervisor::StopSignal;

/// Duties of the watchers. There are two, so that the data centre still receives
/// changes when one of the VMs is lost.
const WATCH_DUTIES: [&str; 2] = ["platform-watch-0", "platform-watch-1"];
const PUBLISHER_DUTY: &str = "platform-directory";
/// Delay before a watch that ended is reopened.
const WATCH_PAUSE: Duration = Duration::from_millis(100);
/// Delay after a watch that could not be opened.
const FAILED_WATCH_PAUSE: Duration = Duration::from_secs(1);
/// Share of the interval by which polls are spread.
const JITTER_SHARE: f64 = 0.3;

fn is_watcher(core: &EntryCore) -> bool {
    let has_duty = {
        let members = core.members.lock();
        WATCH_DUTIES.iter().any(|duty| members.has_duty(duty))
    };
    has_duty || has_no_bundle(core)
}

/// Whether this VM has no bundle yet; it then reads the service itself, whichever VM
/// has the duty.
fn has_no_bundle(core: &EntryCore) -> bool {
    core.bundle().is_none()
}

fn keys(core: &EntryCore) -> PlatformKeys {
    PlatformKeys::new(&core.settings.deployment)
}

fn jittered(interval: Duration) -> Duration {
    interval.mul_f64(1.0 + JITTER_SHARE * (rand::random::<f64>() - 0.5))
}

/// Watches the head and the drains until shutdown.
///
/// After a watch has opened, the head and the drains are read once, so that changes
/// made between two watches are not missed.
pub(crate) fn run_platform_watch(core: &Arc<EntryCore>, stop: &StopSignal) {
    let prefix = keys(core).drains();
    let root = prefix.trim_end_matches("drains/").to_owned();
    while !stop.is_stopped() {
        if !is_watcher(core) {
            stop.wait(jittered(core.settings.platform_interval));
            continue;
        }
        let mut is_open = false;
        let result = core.platform.watch(&root, &mut |event| {
            if !is_open {
                is_open = true;
                if let Err(e) = read_changes(core) {
                    log::debug!("platform read failed: {e}");
                }
            }
            apply_event(core, event);
            if stop.is_stopped() || !is_watcher(core) {
                return ControlFlow::Break(());
            }
            ControlFlow::Continue(())
        });
        let pause = if is_open {
            WATCH_PAUSE
        } else {
            FAILED_WATCH_PAUSE
        };
        if let Err(e) = result {
            log::debug!("platform watch failed: {e}");
        }
        stop.wait(jittered(pause));
    }
}

/// Polls the head, the drains and the list of VMs until shutdown.
pub(crate) fn run_platform_poll(core: &Arc<EntryCore>, stop: &StopSignal) {
    loop {
        if is_watcher(core)
            && let Err(e) = poll(core)
        {
            log::debug!("platform poll failed: {e}");
        }
        // A VM without a bundle polls sooner; jitter spreads such VMs.
        let is_new = has_no_bundle(core);
        let interval = core.settings.platform_interval;
        let pause = if is_new {
            interval.min(Duration::from_secs(1))
        } else {
            interval
        };
        if stop.wait(jittered(pause)) {
            return;
        }
    }
}

fn poll(core: &Arc<EntryCore>) -> Result<(), PlatformError> {
    read_vms(core)?;
    read_changes(core)?;
    let is_publisher = core.members.lock().has_duty(PUBLISHER_DUTY);
    if is_publisher {
        core.platform
            .publish(core.settings.center.as_str(), &publish_directory(core))?;
    }
    Ok(())
}

/// Reads the head and the drains.
fn read_changes(core: &Arc<EntryCore>) -> Result<(), PlatformError> {
    let keys = keys(core);
    if let Some(head) = core.platform.get(&keys.head())? {
        apply_head(core, &head.value);
    }
    for drain in core.platform.list(&keys.drains())? {
        apply_drain(core, &drain.key);
    }
    Ok(())
}

fn read_vms(core: &EntryCore) -> Result<(), PlatformError> {
    let list = core.platform.vm_list()?;
    let now = core.now();
    for record in &list.vms {
        match record.role {
            VmRole::Entry => {
                if let Some(heartbeat) = heartbeat_of_record(record) {
                    let mut members = core.members.lock();
                    members.hint(now, &heartbeat);
                    if record.state == VmState::Leaving {
                        members.hint_leaving(&heartbeat.name);
                    }
                }
            }
            VmRole::Backend if record.state == VmState::Leaving => {
                drain_server(core, &record.name, DrainSource::PlatformList);
            }
            VmRole::Backend => {}
        }
    }
    Ok(())
}

fn apply_event(core: &Arc<EntryCore>, event: WatchEvent) {
    let WatchEvent::Put(found) = event else {
        return;
    };
    let keys = keys(core);
    if found.key == keys.head() {
        apply_head(core, &found.value);
    } else if found.key.starts_with(&keys.drains()) {
        apply_drain(core, &found.key);
    }
}

/// Applies a head and fetches the contents that it requires.
fn apply_head(core: &Arc<EntryCore>, text: &str) {
    let head: HeadRecord = match serde_json::from_str(text) {
        Ok(head) => head,
        Err(e) => return log::error!("alarm: the head cannot be parsed: {e}"),
    };
    let missing = offer_records(core, head.regions.into_values().collect());
    for digest in missing {
        match fetch_content(core, &digest) {
            Ok(Some(bundle)) => offer_content(core, bundle),
            Ok(None) => log::error!("alarm: content {digest:?} is not in the platform"),
            Err(e) => log::warn!("fetching content {digest:?} failed: {e}"),
        }
    }
}

fn fetch_content(
    core: &EntryCore,
    digest: &ContentDigest,
) -> Result<Option<SignedBundle>, PlatformError> {
    let keys = keys(core);
    let Some(text) = core.platform.get(&keys.bundle(digest))? else {
        return Ok(None);
    };
    let mut bundle = SignedBundle::unsigned(text.value);
    let prefix = keys.signatures(digest);
    for signature in core.platform.list(&prefix)? {
        let name = signature
            .key
            .strip_prefix(&prefix)
            .and_then(|name| name.parse().ok());
        let text = serde_json::from_str(&signature.value).ok();
        if let (Some(name), Some(text)) = (name, text) {
            bundle.signatures.insert(name, text);
        }
    }
    Ok(Some(bundle))
}

fn apply_drain(core: &Arc<EntryCore>, key: &str) {
    let prefix = keys(core).drains();
    let Some(name) = key.strip_prefix(&prefix) else {
        return;
    };
    if name == core.settings.name.as_str() {
        log::info!("drained by an operator");
        core.request_shutdown();
        return;
    }
    drain_server(core, name, DrainSource::Operator);
}

fn drain_server(core: &EntryCore, name: &str, source: DrainSource) {
    let Ok(name) = name.parse::<ServerName>() else {
        return;
    };
    let is_new = core.with_router(|router| {
        let is_known = router.bundle().server_id(name.as_str()).is_some();
        is_known && router.drain(&name, Incarnation::default())
    });
    if is_new == Some(true) {
        log::info!("server {name} is draining ({})", source.as_str());
    }
}
