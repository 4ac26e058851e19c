//! Reloads the settings on SIGHUP, and when the file changes without a signal.

use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, SystemTime};

use tokio::signal::unix::{SignalKind, signal};

use onyxfall_clock::BootInstant;

use crate::gateway::Gateway;
use crate::settings::load_settings;

/// Pause between two looks at the file's time of change.
const LOOK: Duration = Duration::from_secs(2);

/// Starts watching for new settings.
pub(crate) fn start(gateway: &Rc<Gateway>, path: PathBuf) {
    let gateway = Rc::clone(gateway);
    tokio::task::spawn_local(async move {
        let mut hangup = match signal(SignalKind::hangup()) {
            Ok(hangup) => hangup,
            Err(e) => {
                log::error!(error:% = e; "no handler for SIGHUP");
                return;
            }
        };
        let mut seen = changed_at(&path);
        loop {
            let signalled = tokio::select! {
                _ = hangup.recv() => true,
                () = tokio::time::sleep(LOOK) => false,
            };
            let changed = changed_at(&path);
            if signalled || changed != seen {
                seen = changed;
                reload(&gateway, &path);
            }
        }
    });
}

fn changed_at(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path)
        .and_then(|data| data.modified())
        .ok()
}

/// Takes settings that are whole; others leave the old ones in force.
fn reload(gateway: &Gateway, path: &Path) {
    match load_settings(path) {
        Ok(settings) => {
            onyxfall_clock::advance_clock(settings.ahead);
            gateway.set_settings(settings);
            gateway.check_suspension(BootInstant::now());
            log::info!("settings reloaded");
        }
        Err(e) => log::error!(error:% = e; "settings not reloaded; the old ones stay"),
    }
}
