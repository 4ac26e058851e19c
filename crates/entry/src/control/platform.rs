//! Taking configuration, drains and hints from the platform's service.
//!
//! Two entries of a data centre watch it; the rest learn from their heartbeats.
//! An outage stops nothing: what was accepted stays in force.

use std::ops::ControlFlow;
use std::sync::Arc;
use std::time::Duration;

use onyxfall_bundle::{ContentDigest, HeadRecord, SignedBundle};
use onyxfall_platform::{PlatformError, PlatformKeys, VmRole, VmState, WatchEvent};
use onyxfall_policy::DrainSource;
use onyxfall_types::{Incarnation, ServerName};

use crate::control::config::offer_content;
use crate::control::directory::beat_of_record;
use crate::control::{offer_records, publish_directory};
use crate::core::EntryCore;
use crate::supervisor::StopSignal;

/// Duties of watching; two, so that one VM's loss does not blind the rest.
const WATCH_DUTIES: [&str; 2] = ["platform-watch-0", "platform-watch-1"];
const SPEAKER_DUTY: &str = "platform-directory";
/// Pause before a watch that ended is opened again.
const WATCH_PAUSE: Duration = Duration::from_millis(100);
/// Pause after a watch that could not be opened.
const FAILED_WATCH_PAUSE: Duration = Duration::from_secs(1);
/// Part of the interval by which polls are spread.
const JITTER: f64 = 0.3;

fn is_watcher(core: &EntryCore) -> bool {
    let has_duty = {
        let members = core.members.lock();
        WATCH_DUTIES.iter().any(|duty| members.has_duty(duty))
    };
    has_duty || core_is_new(core)
}

/// A VM without a bundle looks for itself, whoever has the duty.
fn core_is_new(core: &EntryCore) -> bool {
    core.bundle().is_none()
}

fn keys(core: &EntryCore) -> PlatformKeys {
    PlatformKeys::new(&core.settings.deployment)
}

fn jittered(interval: Duration) -> Duration {
    interval.mul_f64(1.0 + JITTER * (rand::random::<f64>() - 0.5))
}

/// Watches the head and the drains, until the stop.
///
/// What changed while no watch was open is read once a new one is, so that
/// nothing falls between two watches.
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
                    log::debug!("platform read: {e}");
                }
            }
            take_event(core, event);
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
            log::debug!("platform watch: {e}");
        }
        stop.wait(jittered(pause));
    }
}

/// Reads the head, the drains and the list now and then, until the stop.
pub(crate) fn run_platform_poll(core: &Arc<EntryCore>, stop: &StopSignal) {
    loop {
        if is_watcher(core)
            && let Err(e) = poll(core)
        {
            log::debug!("platform poll: {e}");
        }
        // A VM without a bundle or peers comes back soon, spread by jitter.
        let is_new = core_is_new(core);
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
    let speaks = core.members.lock().has_duty(SPEAKER_DUTY);
    if speaks {
        core.platform
            .publish(core.settings.center.as_str(), &publish_directory(core))?;
    }
    Ok(())
}

/// Reads the head and the drains.
fn read_changes(core: &Arc<EntryCore>) -> Result<(), PlatformError> {
    let keys = keys(core);
    if let Some(head) = core.platform.get(&keys.head())? {
        take_head(core, &head.value);
    }
    for drain in core.platform.list(&keys.drains())? {
        take_drain(core, &drain.key);
    }
    Ok(())
}

fn read_vms(core: &EntryCore) -> Result<(), PlatformError> {
    let list = core.platform.vm_list()?;
    let now = core.now();
    for record in &list.vms {
        match record.role {
            VmRole::Entry => {
                if let Some(beat) = beat_of_record(record) {
                    let mut members = core.members.lock();
                    members.hint(now, &beat);
                    if record.state == VmState::Leaving {
                        members.hint_leaving(&beat.name);
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

fn take_event(core: &Arc<EntryCore>, event: WatchEvent) {
    let WatchEvent::Put(found) = event else {
        return;
    };
    let keys = keys(core);
    if found.key == keys.head() {
        take_head(core, &found.value);
    } else if found.key.starts_with(&keys.drains()) {
        take_drain(core, &found.key);
    }
}

/// Takes a head and fetches the contents that it makes necessary.
fn take_head(core: &Arc<EntryCore>, text: &str) {
    let head: HeadRecord = match serde_json::from_str(text) {
        Ok(head) => head,
        Err(e) => return log::error!("alarm: the head cannot be read: {e}"),
    };
    let missing = offer_records(core, head.regions.into_values().collect());
    for digest in missing {
        match fetch_content(core, &digest) {
            Ok(Some(bundle)) => offer_content(core, bundle),
            Ok(None) => log::error!("alarm: content {digest:?} is not in the platform"),
            Err(e) => log::warn!("content {digest:?}: {e}"),
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

fn take_drain(core: &Arc<EntryCore>, key: &str) {
    let prefix = keys(core).drains();
    let Some(name) = key.strip_prefix(&prefix) else {
        return;
    };
    if name == core.settings.name.as_str() {
        log::info!("drained by an operator");
        core.ask_stop();
        return;
    }
    drain_server(core, name, DrainSource::Operator);
}

fn drain_server(core: &EntryCore, name: &str, source: DrainSource) {
    let Ok(name) = name.parse::<ServerName>() else {
        return;
    };
    let news = core.with_router(|router| {
        let is_known = router.bundle().server_id(name.as_str()).is_some();
        is_known && router.drain(&name, Incarnation::default())
    });
    if news == Some(true) {
        log::info!("server {name} is draining ({})", source.as_str());
    }
}
