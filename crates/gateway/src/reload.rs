//! Reloads the settings on SIGHUP, and when the file changes without a signal.

use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, SystemTime};

use tokio::signal::unix::{SignalKind, signal};

use onyxfall_clock::BootInstant;

use crate::gateway::Gateway;
use crate::settings::load_settings;

/// Interval at which the file's modification time is polled.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Starts the task that reloads changed settings.
pub(crate) fn start(gateway: &Rc<Gateway>, path: PathBuf) {
    let gateway = Rc::clone(gateway);
    tokio::task::spawn_local(async move {
        let mut hangup = match signal(SignalKind::hangup()) {
            Ok(hangup) => hangup,
            Err(e) => {
                log::error!(error:% = e; "no SIGHUP handler; settings will not reload");
                return;
            }
        };
        let mut last_modified = modified_at(&path);
        loop {
            let signalled = tokio::select! {
                _ = hangup.recv() => true,
                () = tokio::time::sleep(POLL_INTERVAL) => false,
            };
            let modified = modified_at(&path);
            if signalled || modified != last_modified {
                last_modified = modified;
                reload(&gateway, &path);
            }
        }
    });
}

fn modified_at(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path)
        .and_then(|data| data.modified())
        .ok()
}

/// Loads the settings and puts them into force. If they are invalid, the old ones stay.
fn reload(gateway: &Gateway, path: &Path) {
    match load_settings(path) {
        Ok(settings) => {
            onyxfall_clock::advance_clock(settings.clock_offset);
            gateway.set_settings(settings);
            gateway.check_suspension(BootInstant::now());
            log::info!("settings reloaded");
        }
        Err(e) => log::error!(error:% = e; "settings not reloaded; the old ones stay"),
    }
}
